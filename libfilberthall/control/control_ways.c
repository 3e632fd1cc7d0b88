/*
 * Which entry VMs reach the backend servers of a service, told to those that
 * don't.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "control/control_state.h"

static bool is_way(const struct feed_peer *peer, uint64_t service)
{
	int i;

	if (!peer || !peer->reach.callers[0])
		return false;
	for (i = 0; i < peer->reach.n_lost; i++)
		if (peer->reach.lost[i] == service)
			return false;
	return true;
}

/* Those behind the one that asks: each has others, so the load is spread. */
static struct feed_ways find_ways(const struct control *control,
				  const struct feed_peer *from,
				  uint64_t service)
{
	int n = control->entry_vms;
	struct feed_peer **entries = xcalloc((size_t)n + 1, sizeof(*entries));
	struct feed_ways ways = { .service = service };
	struct feed_peer *peer;
	struct feed_peer *next;
	int i;

	map_foreach(peer, next, &control->peers, node)
		if (peer->observer && peer->number < n)
			entries[peer->number] = peer;
	for (i = 1; i < n && ways.n < FEED_WAYS_MOST; i++) {
		peer = entries[(from->number + i) % n];
		if (is_way(peer, service))
			snprintf(ways.callers[ways.n++], BACKEND_NAME_SIZE,
				 "%s", peer->reach.callers);
	}
	free(entries);
	return ways;
}

void control_note_reach(struct control *control, struct feed_peer *from,
			const struct feed_reach *reach, struct effects *effects)
{
	struct feed_ways ways;
	struct bytes body = { 0 };
	int i;

	if (strcmp(from->reach.callers, reach->callers) != 0)
		control->neighbours_revision++;
	from->reach = *reach;
	for (i = 0; i < reach->n_lost; i++) {
		ways = find_ways(control, from, reach->lost[i]);
		feed_write_ways(&body, &ways);
		feed_send(effects, from->id, &body);
		bytes_clear(&body);
	}
}
