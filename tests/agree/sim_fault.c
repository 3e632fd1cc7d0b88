#include <string.h>

#include "sim_internal.h"

static int sim_any(struct sim *sim)
{
	return (int)rng_below(&sim->rng, SIM_NODES);
}

static int sim_leader(const struct sim *sim)
{
	int i;

	for (i = 0; i < SIM_NODES; i++)
		if (sim->nodes[i].raft && raft_is_leader(sim->nodes[i].raft))
			return i;
	return -1;
}

/**
 * Of the nodes that consider themselves leader, the one elected last; -1 if
 * none.
 */
static int sim_newest_leader(const struct sim *sim)
{
	int newest = -1;
	int i;

	for (i = 0; i < SIM_NODES; i++) {
		const struct raft *raft = sim->nodes[i].raft;

		if (raft && raft_is_leader(raft) &&
		    (newest < 0 ||
		     raft_term(raft) > raft_term(sim->nodes[newest].raft)))
			newest = i;
	}
	return newest;
}

static void sim_crash(struct sim *sim, int at)
{
	if (!sim->nodes[at].raft)
		return;
	sim->stats->crashes++;
	sim_stop(sim, at);
}

static void sim_restart_some(struct sim *sim)
{
	int i;

	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *node = &sim->nodes[i];

		if (node->gone || rng_below(&sim->rng, 3) == 0)
			continue;
		node->paused = false;
		if (!node->raft) {
			node->disk_bad = false;
			sim_start(sim, i);
		}
	}
}

static void sim_cut_off(struct sim *sim, int at, bool in, bool out)
{
	int i;

	for (i = 0; i < SIM_NODES; i++) {
		sim->cut[i][at] = in;
		sim->cut[at][i] = out;
	}
}

static void sim_cut_in_two(struct sim *sim)
{
	int i;
	int j;
	uint64_t side = rng_next(&sim->rng);

	for (i = 0; i < SIM_NODES; i++)
		for (j = 0; j < SIM_NODES; j++)
			sim->cut[i][j] = ((side >> i) & 1) != ((side >> j) & 1);
}

/*
 * One voter loses its link to the leader and asks for votes, while the others
 * are still in contact with it; then the leader is isolated, and the others may
 * restart. A vote given now falls into the time in which the leader still
 * trusts its lease. Nothing is proposed meanwhile, so that the isolated voter's
 * log is up to date.
 */
static void sim_isolate_voter(struct sim *sim)
{
	int leader = sim_leader(sim);

	sim->isolated_voter = (int)rng_below(&sim->rng, SIM_LEARNER);
	if (leader < 0 || leader == sim->isolated_voter)
		return;
	sim->quiet_until_us = sim->now_us + 4000000;
	sim_wake(sim, leader, SIM_ISOLATE_VOTER, 300000);
	sim_wake(sim, leader, SIM_ISOLATE_LEADER,
		 1200000 + (int64_t)rng_below(&sim->rng, 1300000));
}

static void sim_cut_and_restart_others(struct sim *sim, int leader, int spared)
{
	int i;

	sim_cut_off(sim, leader, true, true);
	for (i = 0; i < SIM_NODES; i++)
		if (i != leader && i != spared && sim->nodes[i].raft) {
			sim_crash(sim, i);
			sim_start(sim, i);
		}
}

void sim_on_wake(struct sim *sim, int leader, int64_t phase)
{
	if (sim->faults_stopped)
		return;
	if (phase == SIM_KILL) {
		sim_crash(sim, leader);
		sim_start(sim, leader);
		return;
	}
	if (phase == SIM_ISOLATE_VOTER) {
		sim->cut[leader][sim->isolated_voter] = true;
		sim->cut[sim->isolated_voter][leader] = true;
		return;
	}
	if (rng_below(&sim->rng, 2))
		sim_cut_and_restart_others(sim, leader, sim->isolated_voter);
	else
		sim_cut_off(sim, leader, true, true);
}

/*
 * Either the leader is isolated as soon as it is elected, and those who voted
 * for it crash before their votes are synced; or several leaders in a row crash
 * after they have written their first entries and sent few of them.
 */
void sim_on_elected(struct sim *sim, int leader)
{
	if (sim->leader_crashes_left > 0 && !sim->faults_stopped) {
		sim->leader_crashes_left--;
		sim_wake(sim, leader, SIM_KILL,
			 (int64_t)rng_below(&sim->rng, 80000));
		return;
	}
	if (!sim->cut_next_leader || sim->faults_stopped)
		return;
	sim->cut_next_leader = false;
	sim_cut_and_restart_others(sim, leader, leader);
}

/* Most nodes crash within the duration of a sync. */
static void sim_crash_all(struct sim *sim)
{
	int i;

	for (i = 0; i < SIM_NODES; i++)
		if (rng_below(&sim->rng, 3))
			sim_crash(sim, i);
	for (i = 0; i < SIM_NODES; i++)
		if (!sim->nodes[i].raft && !sim->nodes[i].gone)
			sim_start(sim, i);
}

static void sim_transfer(struct sim *sim)
{
	int leader = sim_leader(sim);
	struct effects effects;

	if (leader < 0 || sim->nodes[leader].paused)
		return;
	effects_init(&effects);
	raft_transfer(sim->nodes[leader].raft,
		      sim_clock(sim, &sim->nodes[leader]), &effects);
	sim_carry_out(sim, leader, &effects);
}

/* A VM loses its disk and comes back with a new id. */
static void sim_lose_disk(struct sim *sim, int at)
{
	struct sim_node *node = &sim->nodes[at];

	sim_crash(sim, at);
	raft_persistent_state_clear(&node->saved);
	node->id = 0;
	node->boot = 0;
	sim->stats->replaced++;
}

/*
 * Whether the group tolerates a loss: it has three live voters, and no
 * membership change is in progress. A majority of three tolerates one loss at a
 * time, and a second one once the repair of the first is committed.
 */
static bool sim_has_spare(const struct sim *sim)
{
	const struct members *members;
	int leader = sim_newest_leader(sim);
	int voters = 0;
	int living = 0;
	int i;

	if (leader < 0)
		return false;
	members = raft_members(sim->nodes[leader].raft);
	if (raft_members_index(sim->nodes[leader].raft) >
	    raft_commit_index(sim->nodes[leader].raft))
		return false;
	for (i = 0; i < SIM_NODES; i++) {
		const struct member *member =
			members_find(members, sim->nodes[i].id);

		if (!member || member->role != MEMBER_VOTER)
			continue;
		voters++;
		living += sim->nodes[i].raft && !sim->nodes[i].disk_bad;
	}
	return voters == 3 && living == 3 && members_voters(members) == 3;
}

/* Lose a member's disk, if the group has repaired the last loss. */
static void sim_lose_one(struct sim *sim)
{
	int at = (int)rng_below(&sim->rng, SIM_LEARNER);

	if (sim->options.members_change && sim_has_spare(sim) &&
	    sim->nodes[at].raft)
		sim_lose_disk(sim, at);
}

static void sim_operator(struct sim *sim)
{
	int leader = sim_leader(sim);
	int target = (int)rng_below(&sim->rng, SIM_LEARNER);
	struct member_change change = { 0 };
	struct effects effects;

	if (!sim->options.members_change || leader < 0 ||
	    sim->nodes[leader].paused)
		return;
	change.kind = rng_below(&sim->rng, 2) ? MEMBER_PROMOTE : MEMBER_DEMOTE;
	change.member.id = sim->nodes[target].id;
	effects_init(&effects);
	raft_change_member(sim->nodes[leader].raft, &change,
			   sim_clock(sim, &sim->nodes[leader]), &effects);
	sim_carry_out(sim, leader, &effects);
}

static void sim_cut_leader(struct sim *sim)
{
	int leader = sim_leader(sim);
	uint64_t way = rng_below(&sim->rng, 3);

	if (leader >= 0)
		sim_cut_off(sim, leader, way != 0, way != 1);
}

static void sim_mend(struct sim *sim)
{
	memset(sim->cut, 0, sizeof(sim->cut));
	sim_restart_some(sim);
}

/* The network heals and a leader is elected before the next fault. */
static bool sim_lease_faults(struct sim *sim)
{
	if (!sim->options.lease_faults || sim->now_us < sim->quiet_until_us)
		return sim->options.lease_faults;
	if (!sim->links_restored) {
		sim_mend(sim);
		sim->quiet_until_us = sim->now_us + 3000000;
	} else {
		sim_isolate_voter(sim);
	}
	sim->links_restored = !sim->links_restored;
	return true;
}

void sim_faults(struct sim *sim)
{
	if (sim_lease_faults(sim))
		return;
	switch (rng_below(&sim->rng, 20)) {
	case 0:
	case 1:
		sim_crash(sim, sim_any(sim));
		break;
	case 2:
		sim_cut_leader(sim);
		break;
	case 3:
		sim_cut_in_two(sim);
		break;
	case 4:
		sim->cut_next_leader = true;
		break;
	case 15:
		sim->leader_crashes_left = 5;
		sim_crash(sim, sim_any(sim));
		break;
	case 5:
		sim_crash_all(sim);
		break;
	case 6:
		sim->nodes[sim_any(sim)].paused = true;
		break;
	case 7:
		sim_transfer(sim);
		break;
	case 8:
		sim_lose_one(sim);
		break;
	case 9:
	case 10:
		sim_operator(sim);
		break;
	case 11:
		if (rng_below(&sim->rng, 4) == 0)
			sim->nodes[sim_any(sim)].disk_bad = true;
		break;
	case 12:
		sim_crash(sim, sim_any(sim));
		sim_cut_leader(sim);
		break;
	case 13:
	case 14:
		sim_isolate_voter(sim);
		break;
	default:
		sim_mend(sim);
		break;
	}
}

void sim_heal(struct sim *sim)
{
	int i;

	memset(sim->cut, 0, sizeof(sim->cut));
	for (i = 0; i < SIM_NODES; i++) {
		struct sim_node *node = &sim->nodes[i];

		node->paused = false;
		if (node->disk_bad)
			sim_stop(sim, i);
		node->disk_bad = false;
		if (!node->raft && !node->gone)
			sim_start(sim, i);
	}
}
