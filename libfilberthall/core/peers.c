/*
 * Opens and closes links to the other daemons and passes their state on to the
 * modules.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/core_state.h"

/*
 * Up to this many members form a full mesh of links. In a larger mesh the
 * heartbeats alone would exceed the limit of 5 KB/s per daemon, so daemons
 * connect only to voters and within their zone (docs/CAPACITY.md).
 */
#define PEERS_FULL_MESH_MAX 32

static bool peers_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct peer, node)->id ==
	       *(const uint64_t *)key;
}

static struct peer *peers_find(const struct core *core, uint64_t id)
{
	struct map_node *node;

	node = map_find(&core->peers, map_hash(&id, sizeof(id)), peers_match,
			&id);
	return node ? container_of(node, struct peer, node) : NULL;
}

static struct peer *peers_get(struct core *core, uint64_t id, const char *zone)
{
	struct peer *peer = peers_find(core, id);

	if (!peer) {
		peer = xcalloc(1, sizeof(*peer));
		peer->id = id;
		map_insert(&core->peers, &peer->node,
			   map_hash(&id, sizeof(id)));
	}
	if (!peer->zone || strcmp(peer->zone, zone ? zone : "")) {
		free(peer->zone);
		peer->zone = xstrdup(zone ? zone : "");
	}
	return peer;
}

void peers_free_all(struct core *core)
{
	struct peer *peer;
	struct peer *next;

	map_foreach(peer, next, &core->peers, node) {
		free(peer->zone);
		free(peer);
	}
	map_clear(&core->peers);
}

void peers_up(struct core *core, const struct event_link_up *up)
{
	struct peer *peer = peers_get(core, up->peer, up->zone);

	peer->up = true;
	core->peers_version++;
	core_log(core, LOG_INFO, "peers", "link to %s is up",
		 up->name ? up->name : "?");
	raft_peer_up(core->raft, up->peer, core->now_us, core->effects);
	gossip_send_all_backends(core, up->peer);
	router_tell_crashes(core->router, up->peer, core->now_us,
			    core->effects);
	peers_update_router(core);
}

void peers_down(struct core *core, uint64_t id)
{
	struct peer *peer = peers_find(core, id);

	if (!peer || !peer->up)
		return;
	peer->up = false;
	core->peers_version++;
	core_log(core, LOG_WARN, "peers", "link to member %llx is down",
		 (unsigned long long)id);
	raft_peer_down(core->raft, id, core->now_us, core->effects);
	peers_update_router(core);
}

void peers_send(struct core *core, uint64_t peer, enum link_channel channel,
		struct bytes *body)
{
	struct effect_send *send =
		&effects_add(core->effects, EFFECT_SEND)->u.send;

	send->peer = peer;
	send->channel = channel;
	send->body = *body;
	*body = (struct bytes){ 0 };
}

void peers_send_all(struct core *core, enum link_channel channel,
		    const struct bytes *body)
{
	struct peer *peer;
	struct peer *next;

	map_foreach(peer, next, &core->peers, node) {
		struct bytes copy;

		if (!peer->up)
			continue;
		copy = bytes_copy(body);
		peers_send(core, peer->id, channel, &copy);
	}
}

int peers_live(const struct core *core, uint64_t *ids, int max)
{
	struct peer *peer;
	struct peer *next;
	int n = 0;

	ids[n++] = core->options.self;
	map_foreach(peer, next, &core->peers, node)
		if (peer->up && n < max)
			ids[n++] = peer->id;
	return n;
}

static bool peers_needs_link(const struct core *core,
			     const struct members *members,
			     const struct member *member)
{
	const struct member *self;

	if (member->id == core->options.self)
		return false;
	self = members_find(members, core->options.self);
	return members->count <= PEERS_FULL_MESH_MAX ||
	       member->role == MEMBER_VOTER ||
	       (self && self->role == MEMBER_VOTER) ||
	       !strcmp(member->zone, core->options.zone);
}

static void peers_open(struct core *core, struct peer *peer,
		       const struct member *member)
{
	struct effect_link_open *open;

	peer->opened = true;
	open = &effects_add(core->effects, EFFECT_LINK_OPEN)->u.link_open;
	open->peer = member->id;
	open->name = xstrdup(member->vm);
	open->address = xstrdup(member->address);
	open->zone = xstrdup(member->zone);
}

static void peers_close_removed(struct core *core,
				const struct members *members)
{
	struct peer *peer;
	struct peer *next;

	map_foreach(peer, next, &core->peers, node) {
		if (members_find(members, peer->id) || !peer->opened)
			continue;
		effects_add(core->effects, EFFECT_LINK_CLOSE)
			->u.link_close.peer = peer->id;
		peer->opened = false;
	}
}

/* Opens and closes links to match the current membership. */
void peers_update_links(struct core *core)
{
	const struct members *members = raft_members(core->raft);
	size_t i;

	if (raft_members_index(core->raft) == core->links_members_index)
		return;
	core->links_members_index = raft_members_index(core->raft);
	for (i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];

		if (peers_needs_link(core, members, member))
			peers_open(core,
				   peers_get(core, member->id, member->zone),
				   member);
	}
	peers_close_removed(core, members);
}

/* Peer that stores a copy of the usage counters, preferably in another zone. */
static uint64_t peers_usage_replica(const struct core *core)
{
	uint64_t any = 0;
	struct peer *peer;
	struct peer *next;

	map_foreach(peer, next, &core->peers, node) {
		if (!peer->up)
			continue;
		if (strcmp(peer->zone, core->options.zone))
			return peer->id;
		any = peer->id;
	}
	return any;
}

/*
 * Passes the leader and the reachable peers on to the router and the usage
 * counters.
 */
void peers_update_router(struct core *core)
{
	uint64_t leader = raft_leader(core->raft);
	uint64_t ids[MEMBER_MAX];
	int n;

	if (leader == core->router_leader &&
	    core->peers_version == core->router_peers_version)
		return;
	core->router_leader = leader;
	core->router_peers_version = core->peers_version;
	n = peers_live(core, ids, MEMBER_MAX);
	router_peers(core->router, leader, ids, n, core->now_us);
	usage_peers(core->usage, leader == core->options.self ? 0 : leader,
		    peers_usage_replica(core));
}
