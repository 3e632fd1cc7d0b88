#include <string.h>

#include "base/map.h"
#include "sim_internal.h"

/*
 * The model of the committed entries, and the invariants that are checked after
 * every step.
 */

static void sim_learn(struct sim *sim, int at,
		      const struct raft_committed *entry)
{
	uint64_t hash = map_hash(entry->data, entry->len) + entry->kind;
	int64_t i = entry->index;

	if (i >= SIM_INDICES)
		return;
	if (i > sim->n_known + 1) {
		sim_violate(sim, "node %d: entry %lld is out of order", at,
			    (long long)i);
		return;
	}
	if (i == sim->n_known + 1) {
		sim->n_known = i;
		sim->known_term[i] = entry->term;
		sim->known_entry[i] = hash;
		sim->known_state[i] = sim->known_state[i - 1] * 31 + hash;
		return;
	}
	if (sim->known_term[i] != entry->term || sim->known_entry[i] != hash)
		sim_violate(sim, "node %d: entry %lld differs (term %lld/%lld)",
			    at, (long long)i, (long long)entry->term,
			    (long long)sim->known_term[i]);
}

static void sim_load(struct sim *sim, int at,
		     const struct raft_committed *snapshot)
{
	struct sim_node *node = &sim->nodes[at];

	if (snapshot->len != sizeof(node->state)) {
		sim_violate(sim, "node %d: snapshot of wrong size", at);
		return;
	}
	memcpy(&node->state, snapshot->data, sizeof(node->state));
	if (node->state.index != snapshot->index ||
	    node->state.hash != sim->known_state[snapshot->index])
		sim_violate(sim,
			    "node %d: snapshot %lld differs from the model", at,
			    (long long)snapshot->index);
}

static void sim_compact(struct sim *sim, int at)
{
	struct sim_node *node = &sim->nodes[at];
	struct effects effects;

	if (!raft_needs_snapshot(node->raft))
		return;
	effects_init(&effects);
	raft_set_snapshot(node->raft, node->state.index,
			  (const char *)&node->state, sizeof(node->state),
			  sim_clock(sim, node), &effects);
	sim->stats->snapshots++;
	sim_carry_out(sim, at, &effects);
}

void sim_drain(struct sim *sim, int at)
{
	struct sim_node *node = &sim->nodes[at];
	struct raft_committed entry;

	while (!sim->violation && raft_next_committed(node->raft, &entry)) {
		if (entry.kind == RAFT_COMMITTED_SNAPSHOT) {
			sim_load(sim, at, &entry);
			continue;
		}
		sim_learn(sim, at, &entry);
		if (entry.index >= SIM_INDICES)
			return;
		node->state.index = entry.index;
		node->state.hash = sim->known_state[entry.index];
	}
	sim_compact(sim, at);
}

static void sim_check_leader(struct sim *sim, int at)
{
	struct sim_node *node = &sim->nodes[at];
	int64_t term = raft_term(node->raft);

	if (!raft_is_leader(node->raft) || term >= SIM_TERMS)
		return;
	if (!sim->leader_of[term]) {
		sim->leader_of[term] = node->id;
		sim->stats->elections++;
		sim_on_elected(sim, at);
	}
	if (sim->leader_of[term] != sim->nodes[at].id)
		sim_violate(sim, "two leaders in term %lld", (long long)term);
}

/* A lease read is correct only if no other node has committed more. */
static void sim_check_read(struct sim *sim, int at)
{
	struct sim_node *node = &sim->nodes[at];

	if (!raft_may_read(node->raft, sim_clock(sim, node)))
		return;
	sim->stats->reads++;
	if (raft_applied_index(node->raft) < sim->n_known)
		sim_violate(
			sim,
			"node %d: lease read at %lld while %lld is committed",
			at, (long long)raft_applied_index(node->raft),
			(long long)sim->n_known);
}

/*
 * Orders of different nodes must not overlap. The receiver is assumed to ignore
 * fencing numbers, and an order to take its whole timeout.
 */
static void sim_check_order(struct sim *sim, int at)
{
	struct sim_node *node = &sim->nodes[at];
	int64_t timeout_us = 100000 + (int64_t)rng_below(&sim->rng, 900000);
	int64_t slowest = 1000000 + node->rate_ppm;
	int i;

	if (!lease_may_order(raft_lease(node->raft), timeout_us,
			     sim_clock(sim, node)))
		return;
	sim->stats->orders++;
	for (i = 0; i < SIM_NODES; i++)
		if (i != at && sim->nodes[i].order_end_us > sim->now_us)
			sim_violate(sim, "orders of nodes %d and %d overlap",
				    at, i);
	timeout_us = timeout_us * 1000000 / slowest;
	if (node->order_end_us < sim->now_us + timeout_us)
		node->order_end_us = sim->now_us + timeout_us;
}

/* Check the lease reads of all running nodes. */
static void sim_check_all_reads(struct sim *sim)
{
	int i;

	for (i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].raft && !sim->nodes[i].paused)
			sim_check_read(sim, i);
}

void sim_check(struct sim *sim, int at)
{
	sim_check_leader(sim, at);
	sim_check_order(sim, at);
	sim_check_all_reads(sim);
}
