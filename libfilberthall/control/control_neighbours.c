/*
 * Entry VMs are told of others, for the time when no control VM answers them.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "control/control_state.h"

static bool is_neighbour(const struct feed_peer *peer)
{
	return peer && peer->links[0] && peer->reach.callers[0];
}

static bool has_zone(const uint64_t *zones, int n, uint64_t zone)
{
	int i;

	for (i = 0; i < n; i++)
		if (zones[i] == zone)
			return true;
	return false;
}

static void add(struct feed_neighbours *told, const struct feed_peer *peer)
{
	struct feed_neighbour *one = &told->list[told->n++];

	one->id = peer->id;
	snprintf(one->links, sizeof(one->links), "%s", peer->links);
	snprintf(one->callers, sizeof(one->callers), "%s", peer->reach.callers);
}

/*
 * Those behind it by number, one of each other zone first: a zone may be cut
 * off as a whole. `others` are emptied.
 */
static struct feed_neighbours choose(const struct feed_peer *to,
				     struct feed_peer **others, int n)
{
	uint64_t zones[FEED_NEIGHBOURS_MOST + 1] = { to->zone };
	struct feed_neighbours told = { 0 };
	int i;

	for (i = 0; i < n && told.n < FEED_NEIGHBOURS_MOST; i++) {
		if (!others[i] || has_zone(zones, told.n + 1, others[i]->zone))
			continue;
		zones[told.n + 1] = others[i]->zone;
		add(&told, others[i]);
		others[i] = NULL;
	}
	for (i = 0; i < n && told.n < FEED_NEIGHBOURS_MOST; i++)
		if (others[i])
			add(&told, others[i]);
	return told;
}

static struct feed_neighbours find_neighbours(const struct control *control,
					      const struct feed_peer *to)
{
	int n = control->entry_vms;
	struct feed_peer **others = xcalloc((size_t)n + 1, sizeof(*others));
	struct feed_neighbours told;
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &control->peers, node)
		if (peer->observer && peer != to && is_neighbour(peer))
			others[(peer->number - to->number + n) % n] = peer;
	told = choose(to, others, n);
	free(others);
	return told;
}

void control_tell_neighbours(struct control *control, struct feed_peer *to,
			     struct effects *effects)
{
	struct feed_neighbours told;
	struct bytes body = { 0 };

	if (to->neighbours_told == control->neighbours_revision)
		return;
	to->neighbours_told = control->neighbours_revision;
	told = find_neighbours(control, to);
	if (!told.n)
		return;
	feed_write_neighbours(&body, &told);
	feed_send(effects, to->id, &body);
	bytes_clear(&body);
}
