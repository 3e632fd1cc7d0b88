/*
 * Handles messages from control VMs: the document, its freshness, and what
 * entry_servers.c does with those about backend servers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/compression.h"
#include "document/change.h"
#include "document/encoding.h"
#include "entry/entry_state.h"

/*
 * Poll interval of each control VM. A key must be rejected five seconds after
 * it was withdrawn; with an answer every 400 ms several may be lost before this
 * VM has to stop serving.
 */
#define POLL_US INT64_C(400000)

/* Poll interval while requests are deferred until an answer arrives. */
#define POLL_STALE_US INT64_C(100000)

/* What was dealt out before counts for so long. */
#define INTERVAL_FRESH_US INT64_C(2000000)

/* Interval at which counts of started requests are sent while they change. */
#define USAGE_SEND_US INT64_C(100000)

/** Sends a message to all control VMs and frees it. */
void entry_send_all(struct entry *entry, struct bytes *body)
{
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &entry->peers, node)
		feed_send(entry->effects, peer->id, body);
	bytes_clear(body);
}

void entry_poll(struct entry *entry)
{
	struct feed_poll poll = { .sent_us = entry->now_us,
				  .marks = true,
				  .evacuations = entry->evacuations.revision };
	struct bytes body = { 0 };

	entry_tell_demand(entry);
	entry_write_reach(entry, &poll.reach);
	feed_write_poll(&body, &poll);
	entry_send_all(entry, &body);
	entry->polled_us = entry->now_us;
}

void entry_send_usage(struct entry *entry)
{
	struct bytes body = { 0 };

	if (!entry->peers.count)
		return;
	while (begun_tell(&entry->begun, &body))
		entry_send_all(entry, &body);
	entry->usage_reported_us = entry->now_us;
}

static void fetch_document(struct entry *entry, const struct fetch_offer *offer)
{
	int64_t held = entry->document ? entry->document->version : 0;
	struct feed_fetch fetch = { .packed = !entry->uncompressed_only };
	struct bytes body = { 0 };

	if (!fetch_should_request(&entry->fetch, offer, held, entry->now_us))
		return;
	entry->totals.documents.requested++;
	entry_log(entry, LOG_INFO, "document",
		  "event=fetch version=%lld held=%lld from=%llx",
		  (long long)offer->version, (long long)held,
		  (unsigned long long)offer->peer);
	feed_write_fetch(&body, &fetch);
	feed_send(entry->effects, offer->peer, &body);
	bytes_clear(&body);
}

/*
 * All entry VMs go by the same control VM: the first by id of those with links
 * to most entry VMs.
 */
static bool is_dealer(const struct entry *entry, uint64_t id)
{
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &entry->peers, node)
		if (peer->entry_vms >= entry->entry_vms && peer->id < id)
			return false;
	peer = feed_peer_find(&entry->peers, id);
	return peer && peer->entry_vms >= entry->entry_vms;
}

/*
 * This VM's part of the limits that servers name goes by what control VMs deal
 * out, else by its number among the entry VMs, as the control VM tells that has
 * a link to most of them. One of an earlier release tells neither.
 */
static void update_number(struct entry *entry, uint64_t peer,
			  const struct feed_state *state)
{
	int64_t vms = entry->entry_vms;
	int64_t wall_us = wall_time_us(&entry->wall, entry->now_us);
	struct server_limit_vm vm = { 0 };

	if (state->number >= 0 && state->entry_vms >= vms)
		entry->number = state->number;
	if (is_dealer(entry, peer)) {
		entry->interval_begin = state->interval_begin;
		entry->interval_end = state->interval_end;
		entry->interval_us = entry->now_us;
	}
	if (entry->interval_end > entry->interval_begin &&
	    entry->now_us - entry->interval_us < INTERVAL_FRESH_US) {
		vm.begin = entry->interval_begin;
		vm.end = entry->interval_end;
	} else {
		server_limit_equal(&vm,
				   entry->number < 0
					   ? (int64_t)(entry->options.self %
						       (uint64_t)vms)
					   : entry->number,
				   vms);
	}
	vm.clock_known = wall_us != 0;
	vm.clock_offset_us = wall_us - entry->now_us;
	router_set_vm(entry->router, &vm);
}

static void handle_state(struct entry *entry, uint64_t peer,
			 const struct feed_state *state)
{
	int64_t held = entry->document ? entry->document->version : 0;
	int64_t fresh_us = state->echo_us - state->age_us;
	struct fetch_offer offer = { peer, state->version, state->echo_us };

	entry_note_contact(entry, state->echo_us);
	if (state->wall_us)
		wall_note(&entry->wall, peer, state->wall_us, entry->now_us);
	entry_share_retries(entry, peer, state);
	if (entry->entry_vms)
		update_number(entry, peer, state);
	fetch_document(entry, &offer);
	/*
	 * Counted from when the poll was sent: a withdrawal before the answer
	 * was made is known, a later one isn't. An answer that was delayed in
	 * transit must not appear fresh.
	 */
	if (state->echo_us && state->age_us >= 0 && state->version <= held &&
	    state->echo_us <= entry->now_us && fresh_us > entry->fresh_as_of_us)
		entry->fresh_as_of_us = fresh_us;
}

static void record_received(struct entry *entry, uint64_t peer,
			    const struct feed_document *told, int64_t held)
{
	struct entry_documents *documents = &entry->totals.documents;
	bool used = told->version > held;

	documents->received++;
	documents->unused += !used;
	documents->bytes += (int64_t)told->len;
	entry_log(entry, LOG_INFO, "document",
		  "event=received version=%lld held=%lld from=%llx bytes=%zu "
		  "asked_ms=%lld used=%d",
		  (long long)told->version, (long long)held,
		  (unsigned long long)peer, told->len,
		  (long long)((entry->now_us - entry->fetch.requested_us) /
			      1000),
		  used);
}

static struct document *read_document(struct entry *entry,
				      const struct feed_document *told)
{
	struct document *document = NULL;
	struct bytes encoded = { 0 };

	if (!told->unpacked)
		return entry->options.read_document(entry->options.data,
						    told->text, told->len);
	if (compression_unpack(&encoded, told->text, told->len, told->unpacked))
		document = document_decode(encoded.data, encoded.len);
	bytes_clear(&encoded);
	return document;
}

static void log_change(struct entry *entry, const struct document *now)
{
	const struct document *before = entry->document;
	struct document_change change = document_compare(before, now);

	entry_log(entry, LOG_INFO, "document",
		  "event=in-force version=%lld before=%lld routes=%zu "
		  "organisations=%zu added=%d removed=%d timed=%d moved=%d "
		  "other=%d keys_added=%d keys_removed=%d limits=%d "
		  "idle_ms=%lld open=%zu",
		  (long long)now->version,
		  (long long)(before ? before->version : 0), now->n_routes,
		  now->n_organisations, change.routes_added,
		  change.routes_removed, change.routes_timed,
		  change.routes_moved, change.routes_other, change.keys_added,
		  change.keys_removed, change.limits,
		  (long long)now->limits.idle_ms, entry->calls.count);
}

static void handle_document(struct entry *entry, uint64_t peer,
			    const struct feed_document *told)
{
	int64_t held = entry->document ? entry->document->version : 0;
	struct document *document;

	record_received(entry, peer, told, held);
	if (told->version <= held)
		return;
	document = read_document(entry, told);
	if (!document) {
		entry_log(entry, LOG_ERROR, "document",
			  "event=unreadable version=%lld bytes=%zu packed=%d",
			  (long long)told->version, told->len,
			  told->unpacked != 0);
		entry->uncompressed_only |= told->unpacked != 0;
		return;
	}
	log_change(entry, document);
	document_free(entry->document);
	entry->document = document;
	fetch_completed(&entry->fetch);
	entry_update_cold(entry);
	entry_poll(entry);
}

static void handle_member(struct entry *entry, const struct feed_member *member)
{
	struct effect *effect;

	if (member->removed) {
		effect = effects_add(entry->effects, EFFECT_LINK_CLOSE);
		effect->u.link_close.peer = member->id;
		return;
	}
	effect = effects_add(entry->effects, EFFECT_LINK_OPEN);
	effect->u.link_open.peer = member->id;
	effect->u.link_open.address = xstrdup(member->address);
}

void entry_feed_message(struct entry *entry, uint64_t peer,
			const struct bytes *body)
{
	struct feed_message message;

	if (!feed_read(&message, body->data, body->len)) {
		entry_log(entry, LOG_WARN, "feed",
			  "event=malformed peer=%llx bytes=%zu",
			  (unsigned long long)peer, body->len);
		return;
	}
	switch (message.kind) {
	case FEED_STATE:
		handle_state(entry, peer, &message.u.state);
		break;
	case FEED_DOCUMENT:
		handle_document(entry, peer, &message.u.document);
		break;
	case FEED_MEMBER:
		handle_member(entry, &message.u.member);
		break;
	case FEED_REGISTRATION:
		entry_pass_news(entry, body);
		entry_handle_registration(entry, peer, &message);
		break;
	case FEED_END:
		entry_pass_news(entry, body);
		entry_handle_end(entry, &message.u.end);
		break;
	case FEED_ALIVE:
		entry_pass_news(entry, body);
		entry_handle_alive(entry, &message);
		break;
	case FEED_MARKS:
		entry_pass_news(entry, body);
		entry_handle_marks(entry, &message.u.marks);
		break;
	case FEED_BUNDLE:
		entry_handle_bundle(entry, peer, &message.u.bundle);
		break;
	case FEED_EVACUATIONS:
		entry_handle_evacuations(entry, &message.u.evacuations);
		break;
	case FEED_LIMIT:
		entry_handle_limit(entry, &message.u.limit);
		break;
	case FEED_CRASHES:
		entry_handle_crashes(entry, &message.u.crashes);
		break;
	case FEED_WAYS:
		entry_handle_ways(entry, &message.u.ways);
		break;
	case FEED_NEIGHBOURS:
		entry_handle_neighbours(entry, &message.u.neighbours);
		break;
	case FEED_RETRIES:
		entry_handle_retries(entry, &message.u.retries);
		break;
	case FEED_AFFINITIES:
		entry_handle_affinities(entry, &message);
		break;
	case FEED_AFFINITY_NONE:
		entry_handle_affinity_none(entry, peer,
					   &message.u.affinity_none);
		break;
	case FEED_PART:
		entry_handle_part(entry, &message.u.part);
		break;
	case FEED_SHORT:
		entry_handle_short(entry, &message.u.tier_short);
		break;
	case FEED_DEMAND:
	case FEED_UNSERVED:
	case FEED_AFFINITY_ASK:
	case FEED_POLL:
	case FEED_FETCH:
	case FEED_BEGUN:
	case FEED_CLOCK:
	case FEED_CHANGE:
	case FEED_CHANGED:
	case FEED_EVACUATE:
		break;
	}
	feed_clear(&message);
}

void entry_feed_tick(struct entry *entry)
{
	int64_t poll_us = entry_can_decide(entry) ? POLL_US : POLL_STALE_US;

	if (entry->now_us - entry->polled_us >= poll_us)
		entry_poll(entry);
	entry_contact_tick(entry);
	entry_neighbours_tick(entry);
	entry_resolve_presumed(entry);
	entry_tell_unserved(entry);
	if (entry->now_us - entry->usage_reported_us >= USAGE_SEND_US)
		entry_send_usage(entry);
	entry_expire_servers(entry);
}
