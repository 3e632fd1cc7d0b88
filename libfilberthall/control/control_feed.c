/*
 * Messages about the group for entry VMs and other control VMs: the newest
 * version and how fresh it is, the document, the addresses of control VMs.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/compression.h"
#include "control/control_state.h"
#include "document/encoding.h"

/* Interval at which this VM's wall clock is sent to the other control VMs. */
#define CLOCK_US INT64_C(1000000)

void control_send(struct control *control, enum audience audience,
		  struct bytes *body, struct effects *effects)
{
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &control->peers, node)
		if (peer->observer == (audience == TO_ENTRY))
			feed_send(effects, peer->id, body);
	bytes_clear(body);
}

static int compare_id(const void *a, const void *b)
{
	uint64_t x = (*(struct feed_peer *const *)a)->id;
	uint64_t y = (*(struct feed_peer *const *)b)->id;

	return (x > y) - (x < y);
}

/** Entry VMs are numbered in the order of their ids, alike on control VMs. */
void control_number_entry_vms(struct control *control)
{
	struct feed_peer **entries =
		xcalloc(control->peers.count + 1, sizeof(*entries));
	struct feed_peer *peer;
	struct feed_peer *next;
	int i;

	control->entry_vms = 0;
	control->neighbours_revision++;
	map_foreach(peer, next, &control->peers, node)
		if (peer->observer)
			entries[control->entry_vms++] = peer;
	qsort(entries, (size_t)control->entry_vms, sizeof(struct feed_peer *),
	      compare_id);
	for (i = 0; i < control->entry_vms; i++)
		entries[i]->number = i;
	free(entries);
}

static struct feed_state state_now(const struct control *control,
				   int64_t echo_us, int64_t now_us)
{
	int64_t fresh_us = raft_fresh_us(control->raft, now_us);
	struct feed_state state = {
		.echo_us = echo_us,
		.age_us = fresh_us > INT64_MIN / 8 ? now_us - fresh_us : -1,
		.version = control->ledger.version,
		.wall_us = wall_time_us(&control->wall, now_us),
		.entry_vms =
			roster_seen(&control->roster,
				    control->options.retry_window_us, now_us),
		.number = -1,
		.known_us = now_us - control->retries_since_us,
	};

	return state;
}

void control_send_version(struct control *control, int64_t now_us,
			  struct effects *effects)
{
	struct feed_state state = state_now(control, 0, now_us);
	struct bytes body = { 0 };

	feed_write_state(&body, &state);
	control_send(control, TO_ENTRY, &body, effects);
}

/* Entry VMs of earlier releases ignore the message. */
void control_send_evacuations(struct control *control, struct effects *effects)
{
	struct bytes body = { 0 };

	if (!control->ledger.evacuations.revision)
		return;
	feed_write_evacuations(&body, &control->ledger.evacuations);
	control_send(control, TO_ENTRY, &body, effects);
}

static void write_member(struct bytes *body, const struct member *member,
			 bool removed)
{
	struct feed_member message = {
		.id = member->id,
		.address = (char *)member->address,
		.removed = removed,
	};

	feed_write_member(body, &message);
}

static void open_link(const struct control *control,
		      const struct member *member, struct effects *effects)
{
	struct effect *effect;

	if (member->id == control->options.self)
		return;
	effect = effects_add(effects, EFFECT_LINK_OPEN);
	effect->u.link_open.peer = member->id;
	effect->u.link_open.name = xstrdup(member->vm);
	effect->u.link_open.address = xstrdup(member->address);
	effect->u.link_open.zone = xstrdup(member->zone);
}

static void close_link(const struct member *member, struct effects *effects)
{
	effects_add(effects, EFFECT_LINK_CLOSE)->u.link_close.peer = member->id;
}

/**
 * Tell entry VMs which control VMs came and went, and keep links to them.
 *
 * Links must be opened from what the folder says as well: after a loss of
 * power, two of three survivors that only dialled the seeds, which had lost
 * their disks, never met, and as the third's log was behind, none of them
 * could be elected.
 */
void control_send_members(struct control *control, struct effects *effects)
{
	const struct members *members = raft_members(control->raft);
	struct bytes body = { 0 };
	size_t i;

	for (i = 0; i < control->announced.count; i++) {
		const struct member *old = &control->announced.items[i];

		if (members_find(members, old->id))
			continue;
		close_link(old, effects);
		write_member(&body, old, true);
		control_send(control, TO_ENTRY, &body, effects);
	}
	for (i = 0; i < members->count; i++) {
		const struct member *now = &members->items[i];
		const struct member *old =
			members_find(&control->announced, now->id);

		if (old && !strcmp(old->address, now->address))
			continue;
		open_link(control, now, effects);
		write_member(&body, now, false);
		control_send(control, TO_ENTRY, &body, effects);
	}
	members_clear(&control->announced);
	control->announced = members_copy(members);
	control->announced_index = raft_members_index(control->raft);
}

/** A link came up: send what the daemon at its other end may have missed. */
void control_welcome(struct control *control, const struct feed_peer *peer,
		     int64_t now_us, struct effects *effects)
{
	const struct members *members = raft_members(control->raft);
	struct feed_state state = state_now(control, 0, now_us);
	struct bytes body = { 0 };
	size_t i;

	control_tell_crashes_to(control, peer, now_us, effects);
	control_tell_retries_to(control, peer, now_us, effects);
	if (!peer->observer) {
		control_send_fleet(control, peer, now_us, effects);
		return;
	}
	for (i = 0; i < members->count; i++) {
		write_member(&body, &members->items[i], false);
		feed_send(effects, peer->id, &body);
		bytes_clear(&body);
	}
	feed_write_state(&body, &state);
	feed_send(effects, peer->id, &body);
	bytes_clear(&body);
}

static void note_poll(struct control *control, uint64_t id,
		      const struct feed_poll *poll, int64_t now_us,
		      struct effects *effects)
{
	struct feed_peer *peer = feed_peer_find(&control->peers, id);

	if (!peer)
		return;
	peer->marks = poll->marks;
	if (peer->observer) {
		control_note_reach(control, peer, &poll->reach, effects);
		control_tell_neighbours(control, peer, effects);
	}
	control_welcome_entry(control, peer, now_us, effects);
}

/*
 * Sent before the state that makes the entry VM fresh, so that it decides on
 * no request by older orders.
 */
static void send_evacuations_to(const struct control *control, uint64_t peer,
				const struct feed_poll *poll,
				struct effects *effects)
{
	struct bytes body = { 0 };

	if (poll->evacuations >= control->ledger.evacuations.revision)
		return;
	feed_write_evacuations(&body, &control->ledger.evacuations);
	feed_send(effects, peer, &body);
	bytes_clear(&body);
}

static void answer_poll(struct control *control, uint64_t peer,
			const struct feed_poll *poll, int64_t now_us,
			struct effects *effects)
{
	struct feed_state state = state_now(control, poll->sent_us, now_us);
	const struct feed_peer *from = feed_peer_find(&control->peers, peer);
	struct bytes body = { 0 };

	if (from && from->observer) {
		state.number = from->number;
		control_deal_interval(control, from, now_us, &state);
	}
	feed_write_state(&body, &state);
	feed_send(effects, peer, &body);
	bytes_clear(&body);
}

/* Packs it once for all requests; false if this release can't read it. */
static bool pack_document(struct control *control)
{
	const struct document *document = control->document;
	struct bytes encoded = { 0 };

	if (!document || document->version != control->ledger.version)
		return false;
	if (control->packed_version == document->version)
		return true;
	document_encode(&encoded, document);
	bytes_clear(&control->packed);
	compression_pack(&control->packed, encoded.data, encoded.len);
	control->packed_from = encoded.len;
	control->packed_version = document->version;
	bytes_clear(&encoded);
	return true;
}

static struct feed_document document_message(struct control *control,
					     const struct feed_fetch *fetch)
{
	const struct ledger *ledger = &control->ledger;
	struct feed_document message = { .version = ledger->version,
					 .text = ledger->document.data,
					 .len = ledger->document.len };

	if (!fetch->packed || !pack_document(control))
		return message;
	message.text = control->packed.data;
	message.len = control->packed.len;
	message.unpacked = control->packed_from;
	return message;
}

static void send_document(struct control *control, uint64_t peer,
			  const struct feed_fetch *fetch,
			  struct effects *effects)
{
	struct feed_document message = document_message(control, fetch);
	struct bytes body = { 0 };

	feed_write_document(&body, &message);
	feed_send(effects, peer, &body);
	bytes_clear(&body);
}

/* The document can't be packed while it is being read; answer after that. */
static void answer_fetch(struct control *control, uint64_t id,
			 const struct feed_fetch *fetch,
			 struct effects *effects)
{
	struct feed_peer *peer = feed_peer_find(&control->peers, id);

	if (!control->ledger.version)
		return;
	if (peer && fetch->packed && control->reading)
		peer->fetches = true;
	else
		send_document(control, id, fetch, effects);
}

void control_answer_fetches(struct control *control, struct effects *effects)
{
	const struct feed_fetch fetch = { .packed = true };
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &control->peers, node) {
		if (peer->fetches)
			send_document(control, peer->id, &fetch, effects);
		peer->fetches = false;
	}
}

static void note_clock(struct control *control, uint64_t id,
		       const struct feed_clock *clock, int64_t now_us)
{
	struct feed_peer *peer = feed_peer_find(&control->peers, id);

	wall_note(&control->wall, id, clock->wall_us, now_us);
	if (peer)
		peer->changes = clock->changes;
	if (peer)
		peer->evacuations = clock->evacuations;
}

void control_feed_message(struct control *control, uint64_t peer,
			  const struct bytes *body, int64_t now_us,
			  struct effects *effects)
{
	struct feed_message message;

	if (!feed_read(&message, body->data, body->len)) {
		control_log(effects, LOG_WARN, "feed",
			    "event=malformed peer=%llx bytes=%zu",
			    (unsigned long long)peer, body->len);
		return;
	}
	switch (message.kind) {
	case FEED_POLL:
		note_poll(control, peer, &message.u.poll, now_us, effects);
		send_evacuations_to(control, peer, &message.u.poll, effects);
		answer_poll(control, peer, &message.u.poll, now_us, effects);
		break;
	case FEED_FETCH:
		answer_fetch(control, peer, &message.u.fetch, effects);
		break;
	case FEED_REGISTRATION:
		control_receive_registration(control, peer, &message, now_us,
					     effects);
		break;
	case FEED_END:
		control_receive_end(control, &message.u.end, now_us, effects);
		break;
	case FEED_ALIVE:
		control_receive_alive(control, &message, now_us);
		break;
	case FEED_BEGUN:
		begun_take(&control->begun, peer, &message.u.begun);
		break;
	case FEED_CLOCK:
		note_clock(control, peer, &message.u.clock, now_us);
		break;
	case FEED_CHANGE:
		control_receive_change(control, peer, &message.u.change, now_us,
				       effects);
		break;
	case FEED_CHANGED:
		control_receive_change_result(control, peer, &message.u.changed,
					      effects);
		break;
	case FEED_EVACUATE:
		control_receive_evacuation(control, peer, &message.u.evacuate,
					   now_us, effects);
		break;
	case FEED_LIMIT:
		control_receive_limit(control, peer, &message.u.limit, now_us,
				      effects);
		break;
	case FEED_CRASHES:
		control_receive_crashes(control, peer, &message.u.crashes,
					now_us, effects);
		break;
	case FEED_RETRIES:
		control_receive_retries(control, peer, &message.u.retries,
					now_us, effects);
		break;
	case FEED_AFFINITIES:
		control_receive_affinities(control, &message, now_us);
		break;
	case FEED_AFFINITY_ASK:
		control_answer_affinity(control, peer, &message.u.affinity_ask,
					now_us, effects);
		break;
	case FEED_DEMAND:
		control_receive_demand(control, peer, message.u.demand, now_us);
		break;
	case FEED_PART:
		control_receive_part(control, peer, &message.u.part, now_us,
				     effects);
		break;
	case FEED_UNSERVED:
		control_receive_unserved(control, peer, &message.u.unserved,
					 now_us, effects);
		break;
	case FEED_SHORT:
		control_receive_short(control, peer, &message.u.tier_short,
				      now_us, effects);
		break;
	case FEED_AFFINITY_NONE:
	case FEED_NEIGHBOURS:
	case FEED_WAYS:
	case FEED_EVACUATIONS:
	case FEED_BUNDLE:
	case FEED_MARKS:
	case FEED_STATE:
	case FEED_DOCUMENT:
	case FEED_MEMBER:
		break;
	}
	feed_clear(&message);
}

static void send_clock(struct control *control, int64_t wall_us,
		       struct effects *effects)
{
	struct feed_clock clock = { wall_us, true, true };
	struct bytes body = { 0 };

	feed_write_clock(&body, &clock);
	control_send(control, TO_CONTROL, &body, effects);
}

void control_feed_tick(struct control *control, int64_t wall_us, int64_t now_us,
		       struct effects *effects)
{
	if (now_us - control->clock_us < CLOCK_US)
		return;
	send_clock(control, wall_us, effects);
	retry_history_expire(&control->retries, now_us);
	affinities_expire(&control->affinities, now_us);
	control->clock_us = now_us;
}
