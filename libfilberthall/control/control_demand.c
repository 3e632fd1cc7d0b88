/*
 * What entry VMs lately got of all requests, by which the limits that servers
 * name are dealt out to them.
 */
#include <math.h>

#include "control/control_state.h"

#define HALF_LIFE_US 1000000.0

/* The rest of a limit is dealt out alike: a VM may get requests any moment. */
#define BY_DEMAND 0.75

static double demand_now(const struct feed_peer *peer, int64_t now_us)
{
	return peer->demand *
	       exp2(-(double)(now_us - peer->demand_us) / HALF_LIFE_US);
}

void control_receive_demand(struct control *control, uint64_t id,
			    int64_t requests, int64_t now_us)
{
	struct feed_peer *peer = feed_peer_find(&control->peers, id);

	if (!peer || !peer->observer)
		return;
	peer->demand = demand_now(peer, now_us) + (double)requests;
	peer->demand_us = now_us;
}

void control_deal_interval(const struct control *control,
			   const struct feed_peer *to, int64_t now_us,
			   struct feed_state *state)
{
	double equal = control->entry_vms ? 1.0 / control->entry_vms : 0;
	struct feed_peer *peer;
	struct feed_peer *next;
	double before = 0;
	double all = 0;
	double own;

	map_foreach(peer, next, &control->peers, node) {
		if (!peer->observer)
			continue;
		all += demand_now(peer, now_us);
		if (peer->number < to->number)
			before += demand_now(peer, now_us);
	}
	/* Without any news the receiver goes by its number. */
	if (all < 1)
		return;
	own = demand_now(to, now_us);
	state->interval_begin = BY_DEMAND * before / all +
				(1 - BY_DEMAND) * equal * (double)to->number;
	state->interval_end = state->interval_begin + BY_DEMAND * own / all +
			      (1 - BY_DEMAND) * equal;
	if (state->interval_end > 1)
		state->interval_end = 1;
}
