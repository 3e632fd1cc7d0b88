#include "feed/peers.h"

#include <stdlib.h>

#include "base/alloc.h"
#include "core/event.h"
#include "feed/feed.h"

static bool peer_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct feed_peer, node)->id ==
	       *(const uint64_t *)key;
}

struct feed_peer *feed_peer_find(const struct map *peers, uint64_t id)
{
	struct map_node *node =
		map_find(peers, map_hash(&id, sizeof(id)), peer_match, &id);

	return node ? container_of(node, struct feed_peer, node) : NULL;
}

struct feed_peer *feed_peer_up(struct map *peers, uint64_t id, bool observer)
{
	struct feed_peer *peer = feed_peer_find(peers, id);

	if (!peer) {
		peer = xcalloc(1, sizeof(*peer));
		peer->id = id;
		map_insert(peers, &peer->node, map_hash(&id, sizeof(id)));
	}
	peer->observer = observer;
	return peer;
}

void feed_peer_down(struct map *peers, struct feed_peer *peer)
{
	map_remove(peers, &peer->node);
	free(peer);
}

void feed_peers_clear(struct map *peers)
{
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, peers, node)
		free(peer);
	map_clear(peers);
}

void feed_send(struct effects *effects, uint64_t peer, const struct bytes *body)
{
	struct effect *effect = effects_add(effects, EFFECT_SEND);

	effect->u.send.peer = peer;
	effect->u.send.channel = LINK_FEED;
	effect->u.send.body = bytes_copy(body);
}

void feed_send_crashes(void *data, const struct poison_report *report)
{
	const struct feed_audience *audience = data;
	struct bytes body = { 0 };

	feed_write_crashes(&body, report, audience->now_us);
	feed_send(audience->effects, audience->peer, &body);
	bytes_clear(&body);
}

void feed_send_part(void *data, const struct part_report *report)
{
	const struct feed_audience *audience = data;
	struct bytes body = { 0 };

	feed_write_part(&body, report);
	feed_send(audience->effects, audience->peer, &body);
	bytes_clear(&body);
}

void feed_send_retries(const struct feed_audience *audience,
		       const struct retry_report *report)
{
	struct bytes body = { 0 };

	feed_write_retries(&body, report);
	feed_send(audience->effects, audience->peer, &body);
	bytes_clear(&body);
}

void feed_send_limits(const struct feed_audience *audience,
		      const struct registry *registry)
{
	struct registry_entry *server;
	struct registry_entry *next;
	struct bytes body = { 0 };

	map_foreach(server, next, &registry->by_id, node) {
		if (server->limit.per_s < 0 || server->registration.gone)
			continue;
		feed_write_limit(&body, server, audience->now_us);
		feed_send(audience->effects, audience->peer, &body);
		bytes_clear(&body);
	}
}
