/*
 * Backend servers as control VMs report them: registrations, who is alive, which
 * are cold, which zones are evacuated. The router's fleet follows from that.
 */
#include <stdio.h>
#include <string.h>

#include "base/compression.h"
#include "entry/entry_state.h"

/*
 * The registry decides which servers are alive, and each start is announced to
 * the fleet once, so its lease there must be longer than any server runs.
 */
#define FLEET_LEASE_MS INT64_C(3155760000000)

/* Interval of registry_expire(), which visits thousands of servers. */
#define REGISTRY_EXPIRE_US INT64_C(250000)

/* Interval of fleet_expire(), which removes servers that left long ago. */
#define FLEET_EXPIRE_US INT64_C(1000000)

/*
 * A server that leaves serves on for seconds after it was acknowledged. Streams
 * that no other server of its version can go on with are sent to it for a part
 * of them.
 */
#define LINGER_US INT64_C(1000000)

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
void entry_update_cold(struct entry *entry)
{
	struct registry_entry *registered;
	struct registry_entry *next;

	map_foreach(registered, next, &entry->registry.by_id, node)
		if (!registered->registration.gone)
			set_cold(entry, registered, registered->cold_until_us);
}

/* The name of a server's start in the router's fleet. */
static void write_boot_id(const struct registration *told,
			  char boot_id[BACKEND_NAME_SIZE])
{
	snprintf(boot_id, BACKEND_NAME_SIZE, "%.40s@%lld", told->id,
		 (long long)told->started_ms);
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
		.version = (char *)told->version,
		.lease_ms = FLEET_LEASE_MS,
		.slots = told->slots,
	};

	write_boot_id(told, boot_id);
	fleet_announce(&entry->fleet, &announce, entry->now_us);
	fleet_drain(&entry->fleet, told->address, false);
	backend = fleet_find(&entry->fleet, told->address);
	if (backend)
		backend->regions = regions_of_zone(&entry->regions, told->zone);
}

/*
 * The silence of other servers tells whether one has been silent for long, but
 * not to a VM that hears of none.
 */
bool entry_is_confirmed(const struct entry *entry,
			const struct registry_entry *server)
{
	return registry_is_confirmed(&entry->registry, server) &&
	       (entry_is_in_contact(entry) ||
		entry->now_us - server->last_contact_us <=
			entry->registry.confirmed_us);
}

bool entry_has_confirmed(const struct entry *entry,
			 const struct affinity *affinity)
{
	struct registry_entry *server;
	struct registry_entry *next;

	map_foreach(server, next, &entry->registry.by_id, node)
		if (server->version == affinity->version &&
		    server->service == affinity->service &&
		    registry_entry_usable(server) &&
		    entry_is_confirmed(entry, server))
			return true;
	return false;
}

/* A server that may have another version by now gets no resumed streams. */
static void update_confirmed(struct entry *entry,
			     const struct registry_entry *registered)
{
	fleet_set_unconfirmed(&entry->fleet, registered->registration.address,
			      !entry_is_confirmed(entry, registered));
}

static bool is_leaving(const struct registry_entry *registered)
{
	return registered->registration.leaving || registered->told_leaving;
}

static void retire_address(struct entry *entry, const char *address,
			   int64_t lingers_us)
{
	fleet_retire(&entry->fleet, address,
		     entry->now_us + REGISTRY_TOMBSTONE_US);
	fleet_let_linger(&entry->fleet, address, lingers_us);
}

/* Later news of a server that leaves doesn't prolong its use. */
static void retire(struct entry *entry, const struct registry_entry *registered)
{
	const struct registration *told = &registered->registration;
	const struct backend *backend =
		fleet_find(&entry->fleet, told->address);
	bool lingers = backend && backend_usable(backend, entry->now_us) &&
		       is_leaving(registered) && !told->gone;

	retire_address(entry, told->address,
		       lingers ? registered->last_contact_us + LINGER_US : 0);
}

void entry_update_server(struct entry *entry,
			 const struct registry_entry *registered)
{
	const struct registration *told = &registered->registration;
	const struct registry_entry *holder =
		registry_find_address(&entry->registry, told->address);

	if (registry_entry_usable(registered)) {
		announce(entry, told);
		update_confirmed(entry, registered);
		set_cold(entry, registered, registered->cold_until_us);
		fleet_set_limit(&entry->fleet, told->address,
				registered->limit.per_s);
		fleet_set_retry_at(&entry->fleet, told->address,
				   registered->retry_at_us);
	} else if (!holder || holder == registered) {
		retire(entry, registered);
	}
	entry_log(entry, LOG_INFO, "server",
		  "event=%s server=%s address=%s service=%s zone=%s version=%s "
		  "cheap=%d heard_ms=%lld",
		  told->gone		   ? "gone"
		  : is_leaving(registered) ? "leaving"
		  : registered->timed_out  ? "silent"
					   : "ready",
		  told->id, told->address, told->service, told->zone,
		  told->version, told->cheap,
		  (long long)((entry->now_us - registered->last_contact_us) /
			      1000));
}

/* A control VM that has started again may take a delayed registration for new. */
static void correct(struct entry *entry, uint64_t peer,
		    const struct registration *told)
{
	const struct registry_entry *known =
		registry_find(&entry->registry, told->id);
	struct bytes body = { 0 };

	if (!known || told->gone ||
	    !(known->registration.gone ||
	      (known->registration.leaving && !told->leaving)))
		return;
	feed_write_registration(&body, &known->registration,
				entry->now_us - known->last_contact_us);
	feed_send(entry->effects, peer, &body);
	bytes_clear(&body);
}

/* Another server may have the address soon. */
static void leave_address(struct entry *entry, const char *address)
{
	if (!address[0] || registry_find_address(&entry->registry, address))
		return;
	retire_address(entry, address, 0);
	entry_log(entry, LOG_INFO, "server", "event=moved address=%s", address);
}

void entry_handle_registration(struct entry *entry, uint64_t peer,
			       const struct feed_message *message)
{
	const struct registration *told = &message->u.registration;
	const struct registry_entry *known =
		registry_find(&entry->registry, told->id);
	char address[BACKEND_NAME_SIZE] = "";
	struct registry_entry *replaced;
	enum registry_outcome outcome;

	if (known && strcmp(known->registration.address, told->address) != 0)
		memcpy(address, known->registration.address, sizeof(address));
	outcome = registry_update(&entry->registry, told,
				  entry->now_us - message->age_us, &replaced);
	if (replaced)
		entry_update_server(entry, replaced);
	if (outcome == REGISTRY_STALE)
		correct(entry, peer, told);
	if (outcome != REGISTRY_CHANGED)
		return;
	leave_address(entry, address);
	entry_update_server(entry, registry_find(&entry->registry, told->id));
	entry_tell_affinities(entry);
}

void entry_handle_end(struct entry *entry, const struct registry_end *told)
{
	struct registry_end end = *told;
	struct registry_entry *ended;

	end.at_us += entry->now_us;
	ended = registry_end(&entry->registry, &end);
	if (ended)
		entry_update_server(entry, ended);
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
void entry_handle_evacuations(struct entry *entry,
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

static void note_lives(struct entry *entry, const struct registration *told,
		       int64_t heard_us)
{
	char boot_id[BACKEND_NAME_SIZE];

	/* Control VMs tell of each server each second. */
	if (!router_counts_crashes(entry->router))
		return;
	write_boot_id(told, boot_id);
	router_server_lives(entry->router, told->address, boot_id, heard_us,
			    entry->now_us);
}

static void mark_alive(struct entry *entry, const char *id, int64_t born_ms,
		       int64_t heard_us)
{
	struct registry_entry *known = registry_find(&entry->registry, id);
	bool was_silent = known && known->timed_out;

	known = registry_heartbeat(&entry->registry, id, born_ms, heard_us);
	if (known)
		note_lives(entry, &known->registration, heard_us);
	if (known && was_silent && !known->timed_out)
		entry_update_server(entry, known);
	else if (known && registry_entry_usable(known))
		update_confirmed(entry, known);
}

void entry_handle_alive(struct entry *entry, const struct feed_message *message)
{
	size_t i;

	for (i = 0; i < message->n_alive; i++) {
		const struct feed_alive *alive = &message->alive[i];

		mark_alive(entry, alive->id, alive->started_ms,
			   entry->now_us - alive->age_us);
	}
}

void entry_handle_marks(struct entry *entry, const struct feed_marks *marks)
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

void entry_handle_bundle(struct entry *entry, uint64_t peer,
			 const struct feed_bundle *bundle)
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
			entry_handle_registration(entry, peer, &message);
		feed_clear(&message);
	}
	if (len || list.len != bundle->unpacked)
		entry_log(entry, LOG_WARN, "feed",
			  "event=malformed what=bundle bytes=%zu left=%zu",
			  bundle->len, len);
	bytes_clear(&list);
}

static void on_server_expired(void *data, struct registry_entry *registered)
{
	entry_update_server(data, registered);
}

static void update_all_confirmed(struct entry *entry)
{
	struct registry_entry *registered;
	struct registry_entry *next;

	map_foreach(registered, next, &entry->registry.by_id, node)
		if (registry_entry_usable(registered))
			update_confirmed(entry, registered);
}

static bool start_lives(void *data, const char *address, uint64_t start,
			int64_t since_us)
{
	const struct entry *entry = data;
	const struct registry_entry *known =
		registry_find_address(&entry->registry, address);
	char boot_id[BACKEND_NAME_SIZE];

	if (!known || known->last_contact_us < since_us)
		return false;
	write_boot_id(&known->registration, boot_id);
	return backend_start(address, boot_id) == start;
}

static void expire_registry(struct entry *entry)
{
	if (entry->now_us - entry->registry_expired_us < REGISTRY_EXPIRE_US)
		return;
	registry_expire(&entry->registry, entry->now_us, on_server_expired,
			entry);
	update_all_confirmed(entry);
	entry_settle_pending(entry);
	router_settle_left(entry->router, start_lives, entry, entry->now_us);
	entry->registry_expired_us = entry->now_us;
}

void entry_expire_servers(struct entry *entry)
{
	expire_registry(entry);
	if (entry->now_us - entry->fleet_expired_us < FLEET_EXPIRE_US)
		return;
	fleet_expire(&entry->fleet, entry->now_us, NULL, NULL);
	entry->fleet_expired_us = entry->now_us;
}

struct entry_server entry_server_named(const struct entry *entry,
				       const char *address)
{
	const struct registration *told = entry_server_at(entry, address);
	struct entry_server server = { 0 };

	snprintf(server.address, sizeof(server.address), "%s", address);
	if (told) {
		memcpy(server.id, told->id, sizeof(server.id));
		server.started_ms = told->started_ms;
	}
	return server;
}

const struct registration *entry_server_at(const struct entry *entry,
					   const char *address)
{
	const struct registry_entry *registered =
		registry_find_address(&entry->registry, address);

	return registered ? &registered->registration : NULL;
}
