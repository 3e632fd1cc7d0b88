/*
 * Handles messages from control VMs: the document, its freshness, and the
 * registrations of backend servers, from which the router's fleet is updated.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/compression.h"
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

/* Interval at which counts of started requests are sent while they change. */
#define USAGE_SEND_US INT64_C(100000)

/*
 * The registry decides which servers are alive, and each start is announced to
 * the fleet once, so its lease there must be longer than any server runs.
 */
#define FLEET_LEASE_MS INT64_C(3155760000000)

/* Interval of registry_expire(), which visits thousands of servers. */
#define REGISTRY_EXPIRE_US INT64_C(250000)

/* Interval of fleet_expire(), which removes servers that left long ago. */
#define FLEET_EXPIRE_US INT64_C(1000000)

static void send_all(struct entry *entry, struct bytes *body)
{
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &entry->peers, node)
		feed_send(entry->effects, peer->id, body);
	bytes_clear(body);
}

void entry_poll(struct entry *entry)
{
	struct feed_poll poll = { entry->now_us, true,
				  entry->evacuations.revision };
	struct bytes body = { 0 };

	feed_write_poll(&body, &poll);
	send_all(entry, &body);
	entry->polled_us = entry->now_us;
}

void entry_send_usage(struct entry *entry)
{
	struct bytes body = { 0 };

	if (!entry->peers.count)
		return;
	while (begun_tell(&entry->begun, &body))
		send_all(entry, &body);
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
 * The retry limit holds for all entry VMs together, and each uses an equal
 * part. A control VM without a link to some of them reports too low a number,
 * so the largest one counts; without any report the last one is kept.
 */
static void update_retry_limit(struct entry *entry, uint64_t id, int64_t told)
{
	struct feed_peer *peer = feed_peer_find(&entry->peers, id);
	struct retry_limit limit = { entry->options.retry_share,
				     entry->options.retry_headroom,
				     entry->options.retry_window_us, 0 };
	struct feed_peer *next;
	int64_t most = 0;

	if (peer)
		peer->entry_vms = told;
	map_foreach(peer, next, &entry->peers, node)
		if (peer->entry_vms > most)
			most = peer->entry_vms;
	if (most == entry->entry_vms || !most)
		return;
	entry_log(entry, LOG_INFO, "retry",
		  "event=shared entry_vms=%lld before=%lld", (long long)most,
		  (long long)entry->entry_vms);
	entry->entry_vms = most;
	limit.vms = (int)most;
	router_limit_retries(entry->router, &limit);
}

static void handle_state(struct entry *entry, uint64_t peer,
			 const struct feed_state *state)
{
	int64_t held = entry->document ? entry->document->version : 0;
	int64_t fresh_us = state->echo_us - state->age_us;
	struct fetch_offer offer = { peer, state->version, state->echo_us };

	if (state->wall_us)
		wall_note(&entry->wall, peer, state->wall_us, entry->now_us);
	update_retry_limit(entry, peer, state->entry_vms);
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

/* The service of a server, or NULL if the document names none. */
static const struct service *service_of(const struct entry *entry,
					const struct registration *told)
{
	if (!entry->document)
		return NULL;
	return document_service(entry->document, told->service);
}

/* What the document says of the service's cold servers. */
static void set_cold(struct entry *entry,
		     const struct registry_entry *registered, int64_t until_us)
{
	const struct registration *told = &registered->registration;
	const struct service *service = service_of(entry, told);

	fleet_set_cold(&entry->fleet, told->address, until_us,
		       service ? service->cold_per_s : 0);
}

/* After a change of the document. */
static void update_cold(struct entry *entry)
{
	struct registry_entry *registered;
	struct registry_entry *next;

	map_foreach(registered, next, &entry->registry.by_id, node)
		if (!registered->registration.gone)
			set_cold(entry, registered, registered->cold_until_us);
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
	document_free(entry->document);
	entry->document = document;
	fetch_completed(&entry->fetch);
	update_cold(entry);
	entry_log(entry, LOG_INFO, "document",
		  "event=in-force version=%lld before=%lld routes=%zu "
		  "organisations=%zu",
		  (long long)document->version, (long long)held,
		  document->n_routes, document->n_organisations);
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

static void announce(struct entry *entry, const struct registration *told)
{
	char boot_id[BACKEND_NAME_SIZE];
	struct backend *backend;
	struct event_announce announce = {
		.address = (char *)told->address,
		.boot_id = boot_id,
		.sequence = ++entry->announce_sequence,
		.zone = (char *)told->zone,
		.service = (char *)told->service,
		.lease_ms = FLEET_LEASE_MS,
		.slots = told->slots,
	};

	snprintf(boot_id, sizeof(boot_id), "%.40s@%lld", told->id,
		 (long long)told->started_ms);
	fleet_announce(&entry->fleet, &announce, entry->now_us);
	fleet_drain(&entry->fleet, told->address, false);
	backend = fleet_find(&entry->fleet, told->address);
	if (backend)
		backend->regions = regions_of_zone(&entry->regions, told->zone);
}

/* Updates the router's fleet from one registration. */
static void update_fleet(struct entry *entry,
			 const struct registry_entry *registered)
{
	const struct registration *told = &registered->registration;
	const struct registry_entry *holder =
		registry_find_address(&entry->registry, told->address);

	if (registry_entry_usable(registered)) {
		announce(entry, told);
		set_cold(entry, registered, registered->cold_until_us);
	} else if (!holder || holder == registered) {
		fleet_retire(&entry->fleet, told->address,
			     entry->now_us + REGISTRY_TOMBSTONE_US);
	}
	entry_log(entry, LOG_INFO, "server",
		  "event=%s server=%s address=%s service=%s zone=%s cheap=%d "
		  "heard_ms=%lld",
		  told->gone		  ? "gone"
		  : told->leaving	  ? "leaving"
		  : registered->timed_out ? "silent"
					  : "ready",
		  told->id, told->address, told->service, told->zone,
		  told->cheap,
		  (long long)((entry->now_us - registered->last_contact_us) /
			      1000));
}

static void handle_registration(struct entry *entry,
				const struct feed_message *message)
{
	const struct registration *told = &message->u.registration;
	struct registry_entry *replaced;
	enum registry_outcome outcome;

	outcome = registry_update(&entry->registry, told,
				  entry->now_us - message->age_us, &replaced);
	if (replaced)
		update_fleet(entry, replaced);
	if (outcome == REGISTRY_CHANGED)
		update_fleet(entry, registry_find(&entry->registry, told->id));
}

/*
 * The servers of a zone that is used again may have become cold shortly before,
 * and what they say of it may still be on its way.
 */
static void assume_cold(struct entry *entry, struct registry_entry *registered)
{
	const struct service *service =
		service_of(entry, &registered->registration);
	int64_t until_us =
		service ? entry->now_us + service->cold_ms * 1000 : 0;

	if (until_us > registered->cold_until_us)
		registered->cold_until_us = until_us;
	set_cold(entry, registered, registered->cold_until_us);
}

static void assume_zone_cold(struct entry *entry, const char *zone)
{
	struct registry_entry *registered;
	struct registry_entry *next;

	map_foreach(registered, next, &entry->registry.by_id, node)
		if (registry_entry_usable(registered) &&
		    !strcmp(registered->registration.zone, zone))
			assume_cold(entry, registered);
}

/* A VM that lags, or whose message was delayed, has an older revision. */
static void handle_evacuations(struct entry *entry,
			       const struct evacuations *evacuations)
{
	const struct evacuation *zone;

	if (evacuations->revision <= entry->evacuations.revision)
		return;
	list_foreach(zone, &evacuations->zones, node) {
		if (!zone->evacuated &&
		    evacuations_include(&entry->evacuations, zone->zone))
			assume_zone_cold(entry, zone->zone);
		fleet_evacuate(&entry->fleet, zone->zone, zone->evacuated);
		evacuations_set(&entry->evacuations, zone->zone,
				zone->evacuated, zone->revision);
		entry_log(entry, LOG_INFO, "evacuation",
			  "event=in-force zone=%s evacuated=%d revision=%lld",
			  zone->zone, zone->evacuated,
			  (long long)evacuations->revision);
	}
	entry->evacuations.revision = evacuations->revision;
}

static void mark_alive(struct entry *entry, const char *id, int64_t born_ms,
		       int64_t heard_us)
{
	struct registry_entry *known = registry_find(&entry->registry, id);
	bool was_silent = known && known->timed_out;

	known = registry_heartbeat(&entry->registry, id, born_ms, heard_us);
	if (known && was_silent && !known->timed_out)
		update_fleet(entry, known);
}

static void handle_alive(struct entry *entry,
			 const struct feed_message *message)
{
	size_t i;

	for (i = 0; i < message->n_alive; i++) {
		const struct feed_alive *alive = &message->alive[i];

		mark_alive(entry, alive->id, alive->started_ms,
			   entry->now_us - alive->age_us);
	}
}

static void handle_marks(struct entry *entry, const struct feed_marks *marks)
{
	int64_t heard_us = entry->now_us - marks->age_us;
	struct registry_entry *known;
	size_t i;

	registry_note_contact(&entry->registry, heard_us);
	for (i = 0; i < feed_marks_count(marks); i++) {
		known = registry_find_short_id(&entry->registry,
					       feed_mark_at(marks, i));
		if (known)
			mark_alive(entry, known->registration.id,
				   known->registration.started_ms, heard_us);
	}
}

static void handle_bundle(struct entry *entry, const struct feed_bundle *bundle)
{
	struct bytes list = { 0 };
	struct feed_message message;
	const char *data;
	const char *one;
	size_t one_len;
	size_t len;

	compression_unpack(&list, bundle->bytes, bundle->len, bundle->unpacked);
	data = list.data;
	len = list.len;
	while (feed_bundle_next(&data, &len, &one, &one_len)) {
		if (!feed_read(&message, one, one_len))
			break;
		message.age_us += bundle->age_us;
		if (message.kind == FEED_REGISTRATION)
			handle_registration(entry, &message);
		feed_clear(&message);
	}
	if (len || list.len != bundle->unpacked)
		entry_log(entry, LOG_WARN, "feed",
			  "event=malformed what=bundle bytes=%zu left=%zu",
			  bundle->len, len);
	bytes_clear(&list);
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
		handle_registration(entry, &message);
		break;
	case FEED_ALIVE:
		handle_alive(entry, &message);
		break;
	case FEED_MARKS:
		handle_marks(entry, &message.u.marks);
		break;
	case FEED_BUNDLE:
		handle_bundle(entry, &message.u.bundle);
		break;
	case FEED_EVACUATIONS:
		handle_evacuations(entry, &message.u.evacuations);
		break;
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

static void on_server_expired(void *data, struct registry_entry *registered)
{
	update_fleet(data, registered);
}

static void expire_registry(struct entry *entry)
{
	if (entry->now_us - entry->registry_expired_us < REGISTRY_EXPIRE_US)
		return;
	registry_expire(&entry->registry, entry->now_us, on_server_expired,
			entry);
	entry->registry_expired_us = entry->now_us;
}

void entry_feed_tick(struct entry *entry)
{
	int64_t poll_us = entry_can_decide(entry) ? POLL_US : POLL_STALE_US;

	if (entry->now_us - entry->polled_us >= poll_us)
		entry_poll(entry);
	entry_resolve_presumed(entry);
	if (entry->now_us - entry->usage_reported_us >= USAGE_SEND_US)
		entry_send_usage(entry);
	expire_registry(entry);
	if (entry->now_us - entry->fleet_expired_us < FLEET_EXPIRE_US)
		return;
	fleet_expire(&entry->fleet, entry->now_us, NULL, NULL);
	entry->fleet_expired_us = entry->now_us;
}

const char *entry_server_id_at(const struct entry *entry, const char *address)
{
	const struct registry_entry *registered =
		registry_find_address(&entry->registry, address);

	return registered ? registered->registration.id : NULL;
}
