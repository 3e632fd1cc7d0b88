/*
 * Replicates the fleet's state between daemons. A backend server announces
 * itself to one daemon, which forwards that to all others over LINK_FLEET: in
 * full when the server joins, leaves or changes its identity, else as a row of
 * the next digest. What arrives over a link isn't forwarded again: with a link
 * between every two daemons, one hop reaches all.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "core/core_state.h"
#include "core/pack.h"
#include "fleet/digest.h"

enum gossip_kind {
	GOSSIP_ANNOUNCE = 1,
	GOSSIP_CACHE = 2,
	GOSSIP_DRAIN = 3,
	GOSSIP_DEMAND = 4,
	GOSSIP_RECLAIM_NOTICE = 5,
	GOSSIP_DIGEST = 6,
	GOSSIP_REQUEST = 7
};

#define GOSSIP_TEXT_MAX 128

/*
 * Load reports arrive about once per second and describe the past. A further
 * delay of half a second doesn't lower attainment measurably in policy-bench
 * (report lag 0 to 2 s). On large sites the interval keeps the traffic below
 * 5 KB/s (docs/CAPACITY.md).
 */
#define GOSSIP_DIGEST_INTERVAL_US 500000
#define GOSSIP_DIGEST_INTERVAL_LARGE_SITE_US 2000000
#define GOSSIP_SMALL_SITE_MAX 32

/*
 * Unknown backend servers requested per digest; the rest are requested after
 * the next one.
 */
#define GOSSIP_REQUEST_MAX 256

static void gossip_pack_announce(struct core *core,
				 const struct backend *backend,
				 struct bytes *body)
{
	struct bytes packed = { 0 };
	msgpack_packer packer;

	backend_pack(backend, core->now_us, &packed);
	pack_init(&packer, body);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int(&packer, GOSSIP_ANNOUNCE);
	pack_bytes(&packer, packed.data, packed.len);
	bytes_clear(&packed);
}

static bool gossip_apply_announce(struct core *core,
				  const struct event_announce *announce)
{
	enum announce_outcome outcome;

	outcome = fleet_announce(&core->fleet, announce, core->now_us);
	if (outcome == ANNOUNCE_STALE)
		return false;
	/*
	 * Rescanning all queues for each of a thousand load reports per second
	 * would take a quarter of a CPU core. Load figures are therefore
	 * processed at the next tick; a server that joins or leaves is
	 * processed at once.
	 */
	if (outcome == ANNOUNCE_UPDATED) {
		core->fleet_updated = true;
		return true;
	}
	core_log(core, LOG_INFO, "fleet", "backend server %s %s",
		 announce->address,
		 outcome == ANNOUNCE_LEFT ? "is shutting down" : "joined");
	router_fleet_changed(core->router, core->now_us, core->effects);
	return true;
}

static uint64_t gossip_identity_digest(const struct core *core,
				       const char *address)
{
	const struct backend *backend = fleet_find(&core->fleet, address);

	return backend ? digest_identity(backend) : 0;
}

/* Sends a changed identity at once, load figures with the next digest. */
void gossip_announce(struct core *core, const struct event_announce *announce)
{
	uint64_t before =
		announce->address
			? gossip_identity_digest(core, announce->address)
			: 0;
	struct backend *backend;
	struct bytes body = { 0 };

	if (!gossip_apply_announce(core, announce))
		return;
	backend = fleet_find(&core->fleet, announce->address);
	if (!backend)
		return;
	backend->forward_pending = digest_identity(backend) == before;
	if (backend->forward_pending)
		return;
	gossip_pack_announce(core, backend, &body);
	peers_send_all(core, LINK_FLEET, &body);
	bytes_clear(&body);
}

/* Sends the load figures received since the last digest. */
void gossip_digest(struct core *core)
{
	int64_t every_us =
		raft_members(core->raft)->count > GOSSIP_SMALL_SITE_MAX
			? GOSSIP_DIGEST_INTERVAL_LARGE_SITE_US
			: GOSSIP_DIGEST_INTERVAL_US;
	struct bytes rows = { 0 };
	struct bytes body = { 0 };
	msgpack_packer packer;

	if (core->now_us - core->digest_sent_us < every_us)
		return;
	core->digest_sent_us = core->now_us;
	if (!digest_write(&core->fleet, core->now_us, &rows))
		return;
	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int(&packer, GOSSIP_DIGEST);
	pack_bytes(&packer, rows.data, rows.len);
	peers_send_all(core, LINK_FLEET, &body);
	bytes_clear(&body);
	bytes_clear(&rows);
}

/* Backend servers of a digest that this daemon doesn't know. */
struct gossip_unknown {
	uint64_t hashes[GOSSIP_REQUEST_MAX];
	size_t n;
};

static void gossip_record_unknown(void *data, uint64_t address_hash)
{
	struct gossip_unknown *unknown = data;

	if (unknown->n < GOSSIP_REQUEST_MAX)
		unknown->hashes[unknown->n++] = address_hash;
}

static void gossip_request_unknown(struct core *core, uint64_t peer,
				   const struct gossip_unknown *unknown)
{
	struct bytes body = { 0 };
	msgpack_packer packer;
	size_t i;

	if (!unknown->n)
		return;
	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 1 + unknown->n);
	msgpack_pack_int(&packer, GOSSIP_REQUEST);
	for (i = 0; i < unknown->n; i++)
		msgpack_pack_uint64(&packer, unknown->hashes[i]);
	peers_send(core, peer, LINK_FLEET, &body);
}

static void gossip_handle_request(struct core *core, uint64_t peer,
				  const struct unpacked *message)
{
	size_t i;

	for (i = 1; i < message->n && i <= GOSSIP_REQUEST_MAX; i++) {
		const struct backend *backend;
		struct bytes body = { 0 };
		uint64_t hash;

		if (!unpack_uint(message, i, &hash))
			continue;
		backend = digest_find(&core->fleet, hash);
		if (!backend)
			continue;
		gossip_pack_announce(core, backend, &body);
		peers_send(core, peer, LINK_FLEET, &body);
	}
}

static void gossip_handle_digest(struct core *core, uint64_t peer,
				 const struct unpacked *message)
{
	struct gossip_unknown unknown = { .n = 0 };
	const char *data;
	size_t len;

	if (!unpack_bytes(message, 1, &data, &len) ||
	    digest_read(&core->fleet, data, len, core->now_us,
			gossip_record_unknown, &unknown))
		core_log(core, LOG_WARN, "fleet",
			 "malformed digest from member %llx",
			 (unsigned long long)peer);
	gossip_request_unknown(core, peer, &unknown);
	core->fleet_updated = true;
}

void gossip_cache(struct core *core, const struct event_cache *cache)
{
	struct bytes body = { 0 };
	msgpack_packer packer;

	router_cache(core->router, cache, core->now_us);
	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_int(&packer, GOSSIP_CACHE);
	pack_text(&packer, cache->address);
	pack_text(&packer, cache->boot_id);
	msgpack_pack_uint64(&packer, cache->prefix_hash);
	msgpack_pack_int(&packer, cache->held);
	peers_send_all(core, LINK_FLEET, &body);
	bytes_clear(&body);
}

void gossip_drain(struct core *core, const char *address, bool drained)
{
	struct bytes body = { 0 };
	msgpack_packer packer;

	fleet_drain(&core->fleet, address, drained);
	router_fleet_changed(core->router, core->now_us, core->effects);
	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int(&packer, GOSSIP_DRAIN);
	pack_text(&packer, address);
	msgpack_pack_int(&packer, drained);
	peers_send_all(core, LINK_FLEET, &body);
	bytes_clear(&body);
}

/* Sends this daemon's demand to the leader, which plans the fleet. */
void gossip_demand(struct core *core, uint64_t leader,
		   const struct bytes *demand)
{
	struct bytes body = { 0 };
	msgpack_packer packer;

	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int(&packer, GOSSIP_DEMAND);
	pack_bytes(&packer, demand->data, demand->len);
	peers_send(core, leader, LINK_FLEET, &body);
}

/* The platform notifies one daemon of a reclaim, which forwards it to all. */
void gossip_reclaim_notice(struct core *core, const char *zone, int64_t in_us)
{
	struct bytes body = { 0 };
	msgpack_packer packer;

	autoscaler_reclaim_notice(core, zone, in_us);
	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int(&packer, GOSSIP_RECLAIM_NOTICE);
	pack_text(&packer, zone);
	msgpack_pack_int64(&packer, in_us);
	peers_send_all(core, LINK_FLEET, &body);
	bytes_clear(&body);
}

static void gossip_handle_demand(struct core *core, uint64_t peer,
				 const struct unpacked *message)
{
	const char *data;
	size_t len;

	if (unpack_bytes(message, 1, &data, &len))
		autoscaler_receive_demand(core, peer, data, len);
}

static void gossip_handle_reclaim_notice(struct core *core,
					 const struct unpacked *message)
{
	cleanup(free_ptr) char *zone = unpack_text(message, 1, GOSSIP_TEXT_MAX);
	int64_t in_us;

	if (zone && unpack_int(message, 2, &in_us))
		autoscaler_reclaim_notice(core, zone, in_us);
}

static void gossip_handle_announce(struct core *core,
				   const struct unpacked *message)
{
	struct event_announce announce = { 0 };
	const char *data;
	size_t len;

	if (!unpack_bytes(message, 1, &data, &len) ||
	    backend_unpack(&announce, data, len))
		return;
	gossip_apply_announce(core, &announce);
	event_announce_clear(&announce);
}

static void gossip_handle_cache(struct core *core,
				const struct unpacked *message)
{
	struct event_cache cache = { 0 };
	int64_t held = 0;

	cache.address = unpack_text(message, 1, GOSSIP_TEXT_MAX);
	cache.boot_id = unpack_text(message, 2, GOSSIP_TEXT_MAX);
	if (cache.address && cache.boot_id &&
	    unpack_uint(message, 3, &cache.prefix_hash) &&
	    unpack_int(message, 4, &held)) {
		cache.held = held;
		router_cache(core->router, &cache, core->now_us);
	}
	free(cache.address);
	free(cache.boot_id);
}

static void gossip_handle_drain(struct core *core,
				const struct unpacked *message)
{
	cleanup(free_ptr) char *address =
		unpack_text(message, 1, GOSSIP_TEXT_MAX);
	int64_t drained;

	if (!address || !unpack_int(message, 2, &drained))
		return;
	fleet_drain(&core->fleet, address, drained);
	router_fleet_changed(core->router, core->now_us, core->effects);
}

void gossip_message(struct core *core, uint64_t peer, const struct bytes *body)
{
	struct unpacked message;
	int64_t kind;

	if (!unpack_array(&message, body->data, body->len) ||
	    !unpack_int(&message, 0, &kind)) {
		core_log(core, LOG_WARN, "fleet",
			 "malformed fleet message from member %llx",
			 (unsigned long long)peer);
		return;
	}
	if (kind == GOSSIP_ANNOUNCE)
		gossip_handle_announce(core, &message);
	else if (kind == GOSSIP_CACHE)
		gossip_handle_cache(core, &message);
	else if (kind == GOSSIP_DRAIN)
		gossip_handle_drain(core, &message);
	else if (kind == GOSSIP_DEMAND)
		gossip_handle_demand(core, peer, &message);
	else if (kind == GOSSIP_RECLAIM_NOTICE)
		gossip_handle_reclaim_notice(core, &message);
	else if (kind == GOSSIP_DIGEST)
		gossip_handle_digest(core, peer, &message);
	else if (kind == GOSSIP_REQUEST)
		gossip_handle_request(core, peer, &message);
	unpack_clear(&message);
}

/* Sends all known backend servers to a peer whose link came up. */
void gossip_send_all_backends(struct core *core, uint64_t peer)
{
	struct backend *backend;
	struct backend *next;

	map_foreach(backend, next, &core->fleet.backends, node) {
		struct bytes body = { 0 };

		gossip_pack_announce(core, backend, &body);
		peers_send(core, peer, LINK_FLEET, &body);
	}
}

static void gossip_backend_expired(void *data, const struct backend *backend)
{
	struct core *core = data;

	core_log(core, LOG_WARN, "fleet",
		 "announcements of backend server %s have expired",
		 backend->address);
	router_backend_lost(core->router, backend->address, core->now_us,
			    core->effects);
}

void gossip_expire(struct core *core)
{
	if (fleet_expire(&core->fleet, core->now_us, gossip_backend_expired,
			 core))
		router_fleet_changed(core->router, core->now_us, core->effects);
}
