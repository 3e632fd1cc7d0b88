#include <string.h>

#include "agree/codec.h"
#include "core/rule.h"
#include "usage/merge_state.h"

/*
 * After this time without messages from a daemon, the daemons that have its
 * rows relay them: the lease holder may be new, and the owner of the rows may
 * have failed.
 */
#define USAGE_RELAY_US INT64_C(5000000)

/* Upper bounds of encoded sizes: the header, and the numbers of a row. */
#define USAGE_HEAD_BYTES 96
#define USAGE_ROW_BYTES 80

static void usage_set_peer(struct usage_peer *peer, uint64_t member, bool all)
{
	if (peer->member == member)
		return;
	memset(peer, 0, sizeof(*peer));
	peer->member = member;
	peer->all = all;
	peer->burst_us = -1;
}

void usage_peers(struct usage *usage, uint64_t in_charge, uint64_t copy)
{
	uint64_t self = usage->self->member;

	usage_set_peer(&usage->peers[0], in_charge == self ? 0 : in_charge,
		       true);
	usage_set_peer(&usage->peers[1],
		       copy == self || copy == in_charge ? 0 : copy, false);
}

static struct usage_peer *usage_find_peer(struct usage *usage, uint64_t member)
{
	size_t i;

	for (i = 0; member && i < 2; i++)
		if (usage->peers[i].member == member)
			return &usage->peers[i];
	return NULL;
}

void usage_relay_silent(struct usage *usage, int64_t now_us)
{
	struct usage_origin *origin;
	struct usage_origin *next;
	struct usage_row *row;

	map_foreach(origin, next, &usage->origins, node) {
		if (origin == usage->self || origin->relayed ||
		    (origin->heard_us >= 0 &&
		     now_us - origin->heard_us < USAGE_RELAY_US))
			continue;
		origin->relayed = true;
		list_foreach(row, &origin->rows, by_origin)
			usage_touch(usage, row);
	}
}

/* The first row changed after `change`; usage.changed is in that order. */
static struct list *usage_changed_after(struct usage *usage, uint64_t change)
{
	struct list *at = &usage->changed;

	while (at->prev != &usage->changed &&
	       container_of(at->prev, struct usage_row, by_change)->change >
		       change)
		at = at->prev;
	return at;
}

static bool usage_row_is_for(const struct usage *usage,
			     const struct usage_peer *peer,
			     const struct usage_row *row)
{
	return row->origin == usage->self ||
	       (peer->all && row->origin->relayed);
}

static json_t *usage_pack_row(const struct usage_row *row)
{
	const struct usage_counters *counters = &row->counters;

	return json_pack("[o o I s s I I I I]", codec_uint(row->origin->member),
			 codec_uint(row->origin->incarnation),
			 (json_int_t)row->window, row->organisation,
			 row->class_name, (json_int_t)counters->requests,
			 (json_int_t)counters->prompt_tokens,
			 (json_int_t)counters->output_tokens,
			 (json_int_t)counters->wasted_tokens);
}

/* As many rows from `*at` on as fit; sets `*to` to the last change covered. */
static json_t *usage_pack_rows(struct usage *usage,
			       const struct usage_peer *peer, struct list **at,
			       size_t limit, uint64_t *to)
{
	json_t *rows = json_array();
	size_t used = USAGE_HEAD_BYTES;

	for (; *at != &usage->changed; *at = (*at)->next) {
		const struct usage_row *row =
			container_of(*at, struct usage_row, by_change);
		size_t size = USAGE_ROW_BYTES + strlen(row->organisation) +
			      strlen(row->class_name);

		if (usage_row_is_for(usage, peer, row)) {
			if (used + size > limit)
				break;
			used += size;
			json_array_append_new(rows, usage_pack_row(row));
		}
		*to = row->change;
	}
	return rows;
}

/* Whether a message may be sent now: every second, or until all is sent. */
static bool usage_is_due(struct usage *usage, struct usage_peer *peer,
			 int64_t now_us)
{
	if (peer->burst_us == now_us)
		return !peer->complete;
	if (peer->burst_us >= 0 && now_us - peer->burst_us < USAGE_SEND_US)
		return false;
	if (peer->sent > peer->acknowledged &&
	    now_us - peer->progress_us >= USAGE_RESEND_US) {
		peer->sent = peer->acknowledged;
		peer->progress_us = now_us;
	}
	if (peer->sent == peer->acknowledged)
		peer->progress_us = now_us;
	return true;
}

bool usage_next_message(struct usage *usage, uint64_t member, int64_t now_us,
			size_t limit, struct bytes *out)
{
	struct usage_peer *peer = usage_find_peer(usage, member);
	struct list *at;
	uint64_t to;
	json_t *rows;
	json_t *message;

	if (!peer || !usage_is_due(usage, peer, now_us))
		return false;
	at = usage_changed_after(usage, peer->sent);
	to = peer->sent;
	rows = usage_pack_rows(usage, peer, &at, limit, &to);
	peer->complete = at == &usage->changed;
	message = json_pack("{ss so sI so so sb so}", "kind", "rows", "life",
			    codec_uint(usage->self->incarnation), "window",
			    (json_int_t)usage->window, "from",
			    codec_uint(peer->sent), "to", codec_uint(to),
			    "complete", peer->complete, "rows", rows);
	codec_encode(message, out);
	json_decref(message);
	peer->sent = to;
	peer->burst_us = now_us;
	return true;
}

/* More than any site counts; sums of thousands of them don't overflow. */
#define USAGE_COUNT_MAX INT64_C(1000000000000000)

struct usage_wire_row {
	uint64_t member;
	uint64_t incarnation;
	int64_t window;
	const char *organisation;
	const char *class_name;
	struct usage_counters counters;
};

static bool usage_read_row(json_t *item, struct usage_wire_row *row)
{
	json_int_t member;
	json_int_t incarnation;
	json_int_t window;
	json_int_t n[4];
	size_t i;

	if (json_unpack(item, "[I I I s s I I I I]", &member, &incarnation,
			&window, &row->organisation, &row->class_name, &n[0],
			&n[1], &n[2], &n[3]) < 0)
		return false;
	row->member = (uint64_t)member;
	row->incarnation = (uint64_t)incarnation;
	row->window = window;
	row->counters = (struct usage_counters){ n[0], n[1], n[2], n[3] };
	for (i = 0; i < 4; i++)
		if (n[i] < 0 || n[i] > USAGE_COUNT_MAX)
			return false;
	return window >= -1 && strlen(row->organisation) < RULE_NAME_SIZE &&
	       strlen(row->class_name) < RULE_NAME_SIZE;
}

static bool usage_raise(int64_t *counter, int64_t value)
{
	if (value <= *counter)
		return false;
	*counter = value;
	return true;
}

static void usage_merge_row(struct usage *usage,
			    const struct usage_wire_row *wire)
{
	struct usage_origin *origin =
		usage_origin(usage, wire->member, wire->incarnation);
	struct usage_row *row;
	bool raised;

	if (origin == usage->self)
		return;
	row = usage_row(usage, origin, wire->window, wire->organisation,
			wire->class_name);
	raised = usage_raise(&row->counters.requests, wire->counters.requests);
	raised |= usage_raise(&row->counters.prompt_tokens,
			      wire->counters.prompt_tokens);
	raised |= usage_raise(&row->counters.output_tokens,
			      wire->counters.output_tokens);
	raised |= usage_raise(&row->counters.wasted_tokens,
			      wire->counters.wasted_tokens);
	if (raised || !row->change)
		usage_touch(usage, row);
}

/*
 * Acknowledges only changes received without a gap. A message that was lost
 * with its link shows in "from" of the next one and is sent again.
 */
static void usage_note_message(struct usage_origin *origin, const json_t *body,
			       int64_t now_us)
{
	uint64_t from = codec_uint_value(json_object_get(body, "from"));
	uint64_t to = codec_uint_value(json_object_get(body, "to"));
	int64_t window = codec_int(body, "window", -1);

	origin->heard_us = now_us;
	origin->relayed = false;
	if (window > origin->window)
		origin->window = window;
	if (from > origin->received)
		return;
	if (to > origin->received)
		origin->received = to;
	if (json_is_true(json_object_get(body, "complete")) &&
	    window - 1 > origin->passed)
		origin->passed = window - 1;
}

static enum result usage_take_rows(struct usage *usage, uint64_t peer,
				   const json_t *body, int64_t now_us,
				   struct bytes *reply)
{
	uint64_t life = codec_uint_value(json_object_get(body, "life"));
	json_t *rows = json_object_get(body, "rows");
	struct usage_origin *origin;
	struct usage_wire_row row;
	json_t *answer;
	json_t *item;
	size_t i;

	if (!json_is_array(rows))
		return RESULT_MESSAGE_MALFORMED;
	json_array_foreach(rows, i, item)
		if (!usage_read_row(item, &row))
			return RESULT_MESSAGE_MALFORMED;
	json_array_foreach(rows, i, item) {
		usage_read_row(item, &row);
		usage_merge_row(usage, &row);
	}
	origin = usage_origin(usage, peer, life);
	if (origin == usage->self)
		return RESULT_MESSAGE_MALFORMED;
	usage_note_message(origin, body, now_us);
	answer =
		json_pack("{ss so so}", "kind", "have", "life",
			  codec_uint(life), "to", codec_uint(origin->received));
	codec_encode(answer, reply);
	json_decref(answer);
	return RESULT_OK;
}

/* A peer that restarted lost what it had acknowledged: send all rows again. */
static enum result usage_take_have(struct usage *usage, uint64_t member,
				   const json_t *body, int64_t now_us)
{
	struct usage_peer *peer = usage_find_peer(usage, member);
	uint64_t to = codec_uint_value(json_object_get(body, "to"));

	if (codec_uint_value(json_object_get(body, "life")) !=
		    usage->self->incarnation ||
	    !peer)
		return RESULT_OK;
	if (to > usage->change)
		return RESULT_MESSAGE_MALFORMED;
	if (to != peer->acknowledged)
		peer->progress_us = now_us;
	if (to < peer->acknowledged)
		peer->sent = to;
	peer->acknowledged = to;
	if (peer->sent < to)
		peer->sent = to;
	return RESULT_OK;
}

enum result usage_receive(struct usage *usage, uint64_t peer,
			  const struct bytes *body, int64_t now_us,
			  struct bytes *reply)
{
	json_t *message = codec_decode(body->data, body->len);
	const char *kind = codec_text(message, "kind", "");
	enum result code = RESULT_MESSAGE_MALFORMED;

	if (!strcmp(kind, "rows"))
		code = usage_take_rows(usage, peer, message, now_us, reply);
	else if (!strcmp(kind, "have"))
		code = usage_take_have(usage, peer, message, now_us);
	json_decref(message);
	return code;
}
