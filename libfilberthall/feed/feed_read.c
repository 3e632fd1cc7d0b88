#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "agree/member.h"
#include "base/alloc.h"
#include "core/pack.h"
#include "feed/feed_read.h"

/* What is packed and claims to be longer is malformed. */
#define FEED_DOCUMENT_MOST (64 * 1024 * 1024)

/* A record that is to be kept for longer is malformed. */
#define FEED_AFFINITY_US_MOST INT64_C(86400000000)

/* What has been heard longer ago than ten years is malformed. */
#define FEED_AGE_US_MOST INT64_C(315360000000000)

/* Items in a list of one message; a larger one is malformed. */
#define FEED_LIST_MOST 16384

static bool read_text(const struct unpacked *items, size_t i, char *out,
		      size_t size)
{
	char *text = unpack_text(items, i, size - 1);

	if (!text)
		return false;
	memcpy(out, text, strlen(text) + 1);
	free(text);
	return true;
}

bool feed_read_name(const struct unpacked *items, size_t i,
		    char name[BACKEND_NAME_SIZE])
{
	return read_text(items, i, name, BACKEND_NAME_SIZE);
}

static bool read_flag(const struct unpacked *items, size_t i, bool *flag)
{
	int64_t value;

	if (!unpack_int(items, i, &value))
		return false;
	*flag = value != 0;
	return true;
}

static bool read_age(const struct unpacked *items, size_t i, int64_t *age_us)
{
	return unpack_int(items, i, age_us) && *age_us >= -FEED_AGE_US_MOST &&
	       *age_us <= FEED_AGE_US_MOST;
}

static void read_reach(const struct unpacked *items, struct feed_reach *reach)
{
	size_t i;

	if (!feed_read_name(items, 4, reach->callers))
		reach->callers[0] = '\0';
	for (i = 5; i < items->n && reach->n_lost < FEED_LOST_MOST; i++)
		if (unpack_uint(items, i, &reach->lost[reach->n_lost]))
			reach->n_lost++;
}

/* Releases before these items know neither FEED_MARKS nor evacuations. */
static bool read_poll(const struct unpacked *items, struct feed_poll *poll)
{
	read_reach(items, &poll->reach);
	if (!read_flag(items, 2, &poll->marks))
		poll->marks = false;
	if (!unpack_int(items, 3, &poll->evacuations))
		poll->evacuations = 0;
	return unpack_int(items, 1, &poll->sent_us);
}

static bool read_marks(const struct unpacked *items, struct feed_marks *marks)
{
	return read_age(items, 1, &marks->age_us) &&
	       unpack_bytes(items, 2, &marks->bytes, &marks->len) &&
	       marks->len % REGISTRATION_SHORT_ID_BYTES == 0;
}

static bool read_bundle(const struct unpacked *items,
			struct feed_bundle *bundle)
{
	int64_t unpacked;

	if (!read_age(items, 1, &bundle->age_us) ||
	    !unpack_int(items, 2, &unpacked) || unpacked < 0 ||
	    unpacked > FEED_DOCUMENT_MOST)
		return false;
	bundle->unpacked = (size_t)unpacked;
	return unpack_bytes(items, 3, &bundle->bytes, &bundle->len);
}

/* Releases before these items gave equal ones, by the number. */
static void read_interval(const struct unpacked *items,
			  struct feed_state *state)
{
	int64_t begin;
	int64_t end;

	state->interval_begin = 0;
	state->interval_end = 0;
	if (!unpack_int(items, 8, &begin) || !unpack_int(items, 9, &end) ||
	    begin < 0 || end < begin || end > INTERVAL_UNITS)
		return;
	state->interval_begin = (double)begin / INTERVAL_UNITS;
	state->interval_end = (double)end / INTERVAL_UNITS;
}

static bool read_state(const struct unpacked *items, struct feed_state *state)
{
	/* Releases before these items said nothing of the others. */
	if (!unpack_int(items, 5, &state->entry_vms))
		state->entry_vms = 0;
	if (!unpack_int(items, 6, &state->number))
		state->number = -1;
	if (!unpack_int(items, 7, &state->known_us))
		state->known_us = 0;
	read_interval(items, state);
	return unpack_int(items, 1, &state->echo_us) &&
	       unpack_int(items, 2, &state->age_us) &&
	       unpack_int(items, 3, &state->version) &&
	       unpack_int(items, 4, &state->wall_us);
}

/* Releases before this item take and send documents as they are. */
static bool read_fetch(const struct unpacked *items, struct feed_fetch *fetch)
{
	if (!read_flag(items, 1, &fetch->packed))
		fetch->packed = false;
	return true;
}

static bool read_document(const struct unpacked *items,
			  struct feed_document *document)
{
	int64_t unpacked;

	if (!unpack_int(items, 3, &unpacked))
		unpacked = 0;
	if (unpacked < 0 || unpacked > FEED_DOCUMENT_MOST)
		return false;
	document->unpacked = (size_t)unpacked;
	return unpack_int(items, 1, &document->version) &&
	       unpack_bytes(items, 2, &document->text, &document->len);
}

/* Releases before this item redirect operators to the leader. */
static bool read_clock(const struct unpacked *items, struct feed_clock *clock)
{
	if (!read_flag(items, 2, &clock->changes))
		clock->changes = false;
	if (!read_flag(items, 3, &clock->evacuations))
		clock->evacuations = false;
	return unpack_int(items, 1, &clock->wall_us);
}

static bool read_change(const struct unpacked *items,
			struct feed_change *change)
{
	return unpack_uint(items, 1, &change->call) &&
	       unpack_int(items, 2, &change->version) &&
	       unpack_bytes(items, 3, &change->text, &change->len);
}

static bool read_changed(const struct unpacked *items,
			 struct feed_changed *changed)
{
	return unpack_uint(items, 1, &changed->call) &&
	       unpack_int(items, 2, &changed->code);
}

static bool read_evacuate(const struct unpacked *items,
			  struct feed_evacuate *evacuate)
{
	return unpack_uint(items, 1, &evacuate->call) &&
	       feed_read_name(items, 2, evacuate->order.zone) &&
	       read_flag(items, 3, &evacuate->order.evacuate) &&
	       unpack_int(items, 4, &evacuate->order.revision);
}

bool feed_unpack_evacuations(const struct unpacked *items,
			     struct evacuations *evacuations)
{
	char zone[BACKEND_NAME_SIZE];
	int64_t revision;
	bool evacuated;
	size_t i;

	if (!unpack_int(items, 1, &evacuations->revision) || (items->n - 2) % 3)
		return false;
	for (i = 2; i < items->n; i += 3)
		if (!feed_read_name(items, i, zone) ||
		    !read_flag(items, i + 1, &evacuated) ||
		    !unpack_int(items, i + 2, &revision) ||
		    !evacuations_set(evacuations, zone, evacuated, revision))
			return false;
	return true;
}

static bool read_member(const struct unpacked *items,
			struct feed_member *member)
{
	if (!unpack_uint(items, 1, &member->id) ||
	    !read_flag(items, 3, &member->removed))
		return false;
	member->address = unpack_text(items, 2, BACKEND_NAME_SIZE);
	return member->address != NULL;
}

static bool read_registration(const struct unpacked *items,
			      struct registration *told, int64_t *age_us)
{
	/* Releases before these items know of no cold servers, no versions. */
	if (!unpack_int(items, 13, &told->cold_ms))
		told->cold_ms = 0;
	if (!feed_read_name(items, 14, told->version))
		told->version[0] = '\0';
	return feed_read_name(items, 1, told->id) &&
	       feed_read_name(items, 2, told->address) &&
	       feed_read_name(items, 3, told->service) &&
	       feed_read_name(items, 4, told->zone) &&
	       unpack_int(items, 5, &told->started_ms) &&
	       unpack_int(items, 6, &told->sequence) &&
	       unpack_int(items, 7, &told->slots) &&
	       unpack_int(items, 8, &told->leaves_ms) &&
	       read_flag(items, 9, &told->cheap) &&
	       read_flag(items, 10, &told->leaving) &&
	       read_flag(items, 11, &told->gone) &&
	       read_age(items, 12, age_us) && registration_is_usable(told);
}

static bool read_end(const struct unpacked *items, struct registry_end *end)
{
	int64_t age_us;

	if (!feed_read_name(items, 1, end->id) ||
	    !unpack_int(items, 2, &end->wall_ms) ||
	    !unpack_int(items, 3, &age_us) || age_us < 0 ||
	    age_us > 2 * REGISTRY_TOMBSTONE_US)
		return false;
	end->at_us = -age_us;
	return true;
}

static bool read_alive(const struct unpacked *items,
		       struct feed_message *message)
{
	size_t n = (items->n - 1) / 3;
	size_t i;

	if (n > FEED_LIST_MOST || items->n != 3 * n + 1)
		return false;
	message->alive = xcalloc(n + 1, sizeof(*message->alive));
	message->n_alive = n;
	for (i = 0; i < n; i++) {
		struct feed_alive *alive = &message->alive[i];

		if (!feed_read_name(items, 3 * i + 1, alive->id) ||
		    !unpack_int(items, 3 * i + 2, &alive->started_ms) ||
		    !read_age(items, 3 * i + 3, &alive->age_us))
			return false;
	}
	return true;
}

bool feed_unpack_begun(const struct unpacked *items, struct feed_begun *begun)
{
	size_t n = items->n / 2 - 1;
	size_t i;

	if (items->n < 2 || items->n % 2 || n > FEED_LIST_MOST ||
	    !unpack_int(items, 1, &begun->window))
		return false;
	begun->counts = xcalloc(n + 1, sizeof(*begun->counts));
	begun->n_counts = n;
	for (i = 0; i < n; i++) {
		struct feed_count *count = &begun->counts[i];

		count->organisation =
			unpack_text(items, 2 * i + 2, FEED_DOCUMENT_MOST);
		if (!count->organisation ||
		    !unpack_int(items, 2 * i + 3, &count->requests))
			return false;
	}
	return true;
}

static bool read_retry_window(const struct unpacked *items, size_t at,
			      struct retry_window *window)
{
	size_t i;

	if (items->n != at + 1 + 2 * (RETRY_STEPS + 1) ||
	    !unpack_int(items, at, &window->step) || window->step < 0)
		return false;
	for (i = 0; i <= RETRY_STEPS; i++) {
		struct retry_counts *counts = &window->steps[i];

		if (!feed_read_count(items, at + 2 * i + 1, &counts->fresh) ||
		    !feed_read_count(items, at + 2 * i + 2, &counts->retries))
			return false;
	}
	return true;
}

static bool read_retries(const struct unpacked *items,
			 struct retry_report *report)
{
	return read_text(items, 1, report->vm, sizeof(report->vm)) &&
	       unpack_uint(items, 2, &report->process) &&
	       read_text(items, 3, report->pool, sizeof(report->pool)) &&
	       unpack_int(items, 4, &report->made_us) &&
	       unpack_int(items, 5, &report->age_us) && report->age_us >= 0 &&
	       unpack_int(items, 6, &report->step_us) && report->step_us > 0 &&
	       read_retry_window(items, 7, &report->window) &&
	       report->window.step < INT64_MAX / 4 / report->step_us;
}

static bool read_ways(const struct unpacked *items, struct feed_ways *ways)
{
	size_t i;

	if (!unpack_uint(items, 1, &ways->service) ||
	    items->n > FEED_WAYS_MOST + 2)
		return false;
	for (i = 2; i < items->n; i++)
		if (!feed_read_name(items, i, ways->callers[ways->n++]))
			return false;
	return true;
}

static bool read_neighbours(const struct unpacked *items,
			    struct feed_neighbours *neighbours)
{
	size_t i;

	if ((items->n - 1) % FEED_NEIGHBOUR_ITEMS ||
	    items->n - 1 > FEED_NEIGHBOUR_ITEMS * FEED_NEIGHBOURS_MOST)
		return false;
	for (i = 1; i < items->n; i += FEED_NEIGHBOUR_ITEMS) {
		struct feed_neighbour *one = &neighbours->list[neighbours->n++];

		if (!unpack_uint(items, i, &one->id) ||
		    !feed_read_name(items, i + 1, one->links) ||
		    !feed_read_name(items, i + 2, one->callers))
			return false;
	}
	return true;
}

static bool read_key(const struct unpacked *items, size_t i,
		     struct affinity_key *key)
{
	const char *bytes;
	size_t len;

	if (!unpack_bytes(items, i, &bytes, &len) || len != sizeof(key->bytes))
		return false;
	memcpy(key->bytes, bytes, len);
	return true;
}

static bool read_affinity(const struct unpacked *items, size_t at,
			  struct affinity *affinity)
{
	return read_key(items, at, &affinity->key) &&
	       unpack_uint(items, at + 1, &affinity->owner) &&
	       unpack_uint(items, at + 2, &affinity->service) &&
	       unpack_uint(items, at + 3, &affinity->version) &&
	       unpack_int(items, at + 4, &affinity->expires_us) &&
	       affinity->expires_us >= 0 &&
	       affinity->expires_us <= FEED_AFFINITY_US_MOST;
}

static bool read_affinities(const struct unpacked *items,
			    struct feed_message *message)
{
	size_t n = (items->n - 1) / FEED_AFFINITY_ITEMS;
	size_t i;

	if (n > FEED_AFFINITIES_MOST || items->n != FEED_AFFINITY_ITEMS * n + 1)
		return false;
	message->affinities = xcalloc(n + 1, sizeof(*message->affinities));
	message->n_affinities = n;
	for (i = 0; i < n; i++)
		if (!read_affinity(items, FEED_AFFINITY_ITEMS * i + 1,
				   &message->affinities[i]))
			return false;
	return true;
}

static bool read_affinity_ask(const struct unpacked *items,
			      struct feed_affinity_ask *ask)
{
	size_t i;

	if (items->n > FEED_SERVICES_MOST + 3 ||
	    !read_key(items, 1, &ask->key) ||
	    !read_flag(items, 2, &ask->forward))
		return false;
	for (i = 3; i < items->n; i++)
		if (!unpack_uint(items, i, &ask->services[ask->n_services++]))
			return false;
	return true;
}

static bool read_affinity_none(const struct unpacked *items,
			       struct feed_affinity_none *none)
{
	/* Earlier releases don't tell them. */
	if (!unpack_int(items, 3, &none->voters) || none->voters < 0 ||
	    none->voters > MEMBER_MAX || !read_flag(items, 4, &none->votes))
		none->voters = 0;
	return read_key(items, 1, &none->key) &&
	       read_flag(items, 2, &none->versions_differ);
}

static bool read_items(struct feed_message *message,
		       const struct unpacked *items)
{
	int64_t kind;

	if (!unpack_int(items, 0, &kind))
		return false;
	message->kind = (enum feed_kind)kind;
	switch (kind) {
	case FEED_POLL:
		return read_poll(items, &message->u.poll);
	case FEED_STATE:
		return read_state(items, &message->u.state);
	case FEED_FETCH:
		return read_fetch(items, &message->u.fetch);
	case FEED_DOCUMENT:
		return read_document(items, &message->u.document);
	case FEED_MEMBER:
		return read_member(items, &message->u.member);
	case FEED_REGISTRATION:
		return read_registration(items, &message->u.registration,
					 &message->age_us);
	case FEED_ALIVE:
		return read_alive(items, message);
	case FEED_BEGUN:
		return feed_unpack_begun(items, &message->u.begun);
	case FEED_CLOCK:
		return read_clock(items, &message->u.clock);
	case FEED_CHANGE:
		return read_change(items, &message->u.change);
	case FEED_CHANGED:
		return read_changed(items, &message->u.changed);
	case FEED_EVACUATE:
		return read_evacuate(items, &message->u.evacuate);
	case FEED_EVACUATIONS:
		evacuations_init(&message->u.evacuations);
		return feed_unpack_evacuations(items, &message->u.evacuations);
	case FEED_MARKS:
		return read_marks(items, &message->u.marks);
	case FEED_BUNDLE:
		return read_bundle(items, &message->u.bundle);
	case FEED_LIMIT:
		return feed_read_limit(items, &message->u.limit);
	case FEED_CRASHES:
		return feed_read_crashes(items, &message->u.crashes);
	case FEED_WAYS:
		return read_ways(items, &message->u.ways);
	case FEED_NEIGHBOURS:
		return read_neighbours(items, &message->u.neighbours);
	case FEED_AFFINITIES:
		return read_affinities(items, message);
	case FEED_AFFINITY_ASK:
		return read_affinity_ask(items, &message->u.affinity_ask);
	case FEED_AFFINITY_NONE:
		return read_affinity_none(items, &message->u.affinity_none);
	case FEED_UNSERVED:
		return feed_read_unserved(items, &message->u.unserved);
	case FEED_SHORT:
		return feed_read_short(items, &message->u.tier_short);
	case FEED_DEMAND:
		return unpack_int(items, 1, &message->u.demand) &&
		       message->u.demand >= 0 && message->u.demand < INT32_MAX;
	case FEED_END:
		return read_end(items, &message->u.end);
	case FEED_PART:
		return feed_read_part(items, &message->u.part);
	case FEED_RETRIES:
		return read_retries(items, &message->u.retries);
	default:
		return false;
	}
}

bool feed_read(struct feed_message *message, const char *data, size_t len)
{
	struct unpacked items;
	bool read;

	memset(message, 0, sizeof(*message));
	if (!unpack_array(&items, data, len))
		return false;
	read = read_items(message, &items);
	unpack_clear(&items);
	if (!read)
		feed_clear(message);
	return read;
}

void feed_clear(struct feed_message *message)
{
	free(message->alive);
	message->alive = NULL;
	free(message->affinities);
	message->affinities = NULL;
	if (message->kind == FEED_MEMBER)
		free(message->u.member.address);
	if (message->kind == FEED_BEGUN)
		feed_begun_clear(&message->u.begun);
	if (message->kind == FEED_EVACUATIONS)
		evacuations_clear(&message->u.evacuations);
	memset(&message->u, 0, sizeof(message->u));
}
