/*
 * The fleet as all daemons know it. A backend server announces itself to one
 * daemon, which passes that on to all others over LINK_FLEET.
 *
 * What arrives over a link isn't passed on again: with a link between every
 * two daemons, one hop reaches all.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "core/core_state.h"
#include "core/pack.h"

enum gossip_kind {
	GOSSIP_ANNOUNCE = 1,
	GOSSIP_CACHE = 2,
	GOSSIP_DRAIN = 3,
	GOSSIP_DEMAND = 4,
	GOSSIP_NOTICE = 5
};

#define GOSSIP_TEXT_MOST 128

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

static bool gossip_take(struct core *core,
			const struct event_announce *announce)
{
	enum announce_outcome outcome;

	outcome = fleet_announce(&core->fleet, announce, core->now_us);
	if (outcome == ANNOUNCE_STALE)
		return false;
	/*
	 * Looking at all queues again for each of a thousand load reports a
	 * second would take a quarter of a core; new figures wait for the
	 * next tick, a server that comes or leaves doesn't.
	 */
	if (outcome == ANNOUNCE_UPDATED) {
		core->fleet_updated = true;
		return true;
	}
	core_log(core, LOG_INFO, "fleet", "backend server %s %s",
		 announce->address,
		 outcome == ANNOUNCE_LEFT ? "leaves" : "joined");
	router_fleet_changed(core->router, core->now_us, core->effects);
	return true;
}

void gossip_announce(struct core *core, const struct event_announce *announce)
{
	const struct backend *backend;
	struct bytes body = { 0 };

	if (!gossip_take(core, announce))
		return;
	backend = fleet_find(&core->fleet, announce->address);
	if (!backend)
		return;
	gossip_pack_announce(core, backend, &body);
	peers_send_all(core, LINK_FLEET, &body);
	bytes_clear(&body);
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

/* This daemon's demand, to whoever plans the fleet. */
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

/* The platform tells one daemon of a reclaim; all must know at once. */
void gossip_notice(struct core *core, const char *zone, int64_t in_us)
{
	struct bytes body = { 0 };
	msgpack_packer packer;

	charge_notice(core, zone, in_us);
	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int(&packer, GOSSIP_NOTICE);
	pack_text(&packer, zone);
	msgpack_pack_int64(&packer, in_us);
	peers_send_all(core, LINK_FLEET, &body);
	bytes_clear(&body);
}

static void gossip_take_demand(struct core *core, uint64_t peer,
			       const struct unpacked *message)
{
	const char *data;
	size_t len;

	if (unpack_bytes(message, 1, &data, &len))
		charge_demand(core, peer, data, len);
}

static void gossip_take_notice(struct core *core,
			       const struct unpacked *message)
{
	cleanup(free_ptr) char *zone =
		unpack_text(message, 1, GOSSIP_TEXT_MOST);
	int64_t in_us;

	if (zone && unpack_int(message, 2, &in_us))
		charge_notice(core, zone, in_us);
}

static void gossip_take_announce(struct core *core,
				 const struct unpacked *message)
{
	struct event_announce announce = { 0 };
	const char *data;
	size_t len;

	if (!unpack_bytes(message, 1, &data, &len) ||
	    backend_unpack(&announce, data, len))
		return;
	gossip_take(core, &announce);
	event_announce_clear(&announce);
}

static void gossip_take_cache(struct core *core, const struct unpacked *message)
{
	struct event_cache cache = { 0 };
	int64_t held = 0;

	cache.address = unpack_text(message, 1, GOSSIP_TEXT_MOST);
	cache.boot_id = unpack_text(message, 2, GOSSIP_TEXT_MOST);
	if (cache.address && cache.boot_id &&
	    unpack_uint(message, 3, &cache.prefix_hash) &&
	    unpack_int(message, 4, &held)) {
		cache.held = held;
		router_cache(core->router, &cache, core->now_us);
	}
	free(cache.address);
	free(cache.boot_id);
}

static void gossip_take_drain(struct core *core, const struct unpacked *message)
{
	cleanup(free_ptr) char *address =
		unpack_text(message, 1, GOSSIP_TEXT_MOST);
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
			 "a message of member %llx can't be read",
			 (unsigned long long)peer);
		return;
	}
	if (kind == GOSSIP_ANNOUNCE)
		gossip_take_announce(core, &message);
	else if (kind == GOSSIP_CACHE)
		gossip_take_cache(core, &message);
	else if (kind == GOSSIP_DRAIN)
		gossip_take_drain(core, &message);
	else if (kind == GOSSIP_DEMAND)
		gossip_take_demand(core, peer, &message);
	else if (kind == GOSSIP_NOTICE)
		gossip_take_notice(core, &message);
	unpack_clear(&message);
}

/* A daemon that comes up learns all that this one knows. */
void gossip_welcome(struct core *core, uint64_t peer)
{
	struct backend *backend;
	struct backend *next;

	map_foreach(backend, next, &core->fleet.backends, node) {
		struct bytes body = { 0 };

		gossip_pack_announce(core, backend, &body);
		peers_send(core, peer, LINK_FLEET, &body);
	}
}

static void gossip_gone(void *data, const struct backend *backend)
{
	struct core *core = data;

	core_log(core, LOG_WARN, "fleet",
		 "backend server %s is silent and taken for gone",
		 backend->address);
	router_backend_lost(core->router, backend->address, core->now_us,
			    core->effects);
}

void gossip_expire(struct core *core)
{
	if (fleet_expire(&core->fleet, core->now_us, gossip_gone, core))
		router_fleet_changed(core->router, core->now_us, core->effects);
}
