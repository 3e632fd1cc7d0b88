#include "fleet/reclaim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/list.h"

/* A server that is being reclaimed. */
struct reclaimed {
	struct list node;
	char address[BACKEND_NAME_SIZE];
	bool moved;
};

struct reclaim {
	struct list node;
	char zone[BACKEND_NAME_SIZE];
	int64_t end_us;
	struct list servers;
};

struct reclaims {
	struct reclaim_hooks hooks;
	struct list list;
	struct reclaim_counts counts;
};

struct reclaims *reclaims_new(const struct reclaim_hooks *hooks)
{
	struct reclaims *reclaims = xcalloc(1, sizeof(*reclaims));

	reclaims->hooks = *hooks;
	list_init(&reclaims->list);
	return reclaims;
}

static void reclaim_free(struct reclaim *reclaim)
{
	struct reclaimed *server;
	struct reclaimed *next;

	list_foreach_safe(server, next, &reclaim->servers, node)
		free(server);
	list_remove(&reclaim->node);
	free(reclaim);
}

void reclaims_free(struct reclaims *reclaims)
{
	struct reclaim *reclaim;
	struct reclaim *next;

	if (!reclaims)
		return;
	list_foreach_safe(reclaim, next, &reclaims->list, node)
		reclaim_free(reclaim);
	free(reclaims);
}

static struct reclaim *reclaims_find(const struct reclaims *reclaims,
				     const char *zone)
{
	struct reclaim *reclaim;

	list_foreach(reclaim, &reclaims->list, node)
		if (!strcmp(reclaim->zone, zone))
			return reclaim;
	return NULL;
}

static struct reclaimed *reclaim_find(const struct reclaim *reclaim,
				      const char *address)
{
	struct reclaimed *server;

	list_foreach(server, &reclaim->servers, node)
		if (!strcmp(server->address, address))
			return server;
	return NULL;
}

static void reclaim_drain_servers(struct reclaims *reclaims,
				  struct reclaim *reclaim,
				  const struct fleet *fleet)
{
	struct backend *backend;
	struct backend *next;

	map_foreach(backend, next, &fleet->backends, node) {
		struct reclaimed *server;

		if (!backend->cheap || strcmp(backend->zone, reclaim->zone) ||
		    reclaim_find(reclaim, backend->address))
			continue;
		server = xcalloc(1, sizeof(*server));
		snprintf(server->address, sizeof(server->address), "%s",
			 backend->address);
		list_append(&reclaim->servers, &server->node);
		reclaims->counts.servers++;
		reclaims->counts.running += backend->running;
		reclaims->hooks.set_drained(reclaims->hooks.data,
					    server->address, true);
	}
}

void reclaims_notice(struct reclaims *reclaims, const struct fleet *fleet,
		     const char *zone, int64_t in_us, int64_t now_us)
{
	struct reclaim *reclaim = reclaims_find(reclaims, zone);

	if (!reclaim) {
		reclaim = xcalloc(1, sizeof(*reclaim));
		snprintf(reclaim->zone, sizeof(reclaim->zone), "%s", zone);
		reclaim->end_us = now_us + in_us;
		list_init(&reclaim->servers);
		list_append(&reclaims->list, &reclaim->node);
		reclaims->counts.notices++;
	}
	if (now_us + in_us < reclaim->end_us)
		reclaim->end_us = now_us + in_us;
	reclaim_drain_servers(reclaims, reclaim, fleet);
}

/* The server with the fewest requests of those not yet moved, or NULL. */
static struct reclaimed *reclaim_next(const struct reclaim *reclaim,
				      const struct fleet *fleet)
{
	struct reclaimed *least = NULL;
	struct reclaimed *server;
	int64_t least_running = 0;

	list_foreach(server, &reclaim->servers, node) {
		const struct backend *backend =
			fleet_find(fleet, server->address);
		int64_t running = backend ? backend->running : 0;

		if (server->moved || (least && running >= least_running))
			continue;
		least = server;
		least_running = running;
	}
	return least;
}

static void reclaim_move(struct reclaims *reclaims, struct reclaimed *server,
			 const struct fleet *fleet)
{
	const struct backend *backend = fleet_find(fleet, server->address);

	server->moved = true;
	if (!backend)
		return;
	reclaims->counts.moved += backend->running;
	reclaims->hooks.move(reclaims->hooks.data, server->address);
}

/* Spread the moves of the servers evenly over RECLAIM_MOVE_US. */
static void reclaim_move_due(struct reclaims *reclaims, struct reclaim *reclaim,
			     const struct fleet *fleet, int64_t now_us)
{
	int64_t time_us = reclaim->end_us - now_us;
	struct reclaimed *server;
	int64_t total = 0;
	int64_t left = 0;

	list_foreach(server, &reclaim->servers, node) {
		total++;
		left += !server->moved;
	}
	for (; left > 0 && time_us * total <= RECLAIM_MOVE_US * left; left--) {
		server = reclaim_next(reclaim, fleet);
		if (server)
			reclaim_move(reclaims, server, fleet);
	}
}

void reclaims_tick(struct reclaims *reclaims, const struct fleet *fleet,
		   int64_t now_us)
{
	struct reclaim *reclaim;
	struct reclaim *next;

	list_foreach_safe(reclaim, next, &reclaims->list, node) {
		reclaim_drain_servers(reclaims, reclaim, fleet);
		reclaim_move_due(reclaims, reclaim, fleet, now_us);
		if (now_us >= reclaim->end_us)
			reclaim_free(reclaim);
	}
}

bool reclaims_zone_active(const struct reclaims *reclaims, const char *zone,
			  int64_t now_us)
{
	const struct reclaim *reclaim = reclaims_find(reclaims, zone);

	return reclaim && now_us < reclaim->end_us;
}

struct reclaim_counts reclaims_counts(const struct reclaims *reclaims)
{
	return reclaims->counts;
}
