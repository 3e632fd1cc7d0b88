#include <glib.h>

#include "sim.h"

#define RUNS 1000
#define DURATION_US 16000000

static void sim_must_hold(bool members_change, bool lease_faults,
			  uint64_t first)
{
	struct sim_stats stats = { 0 };
	uint64_t seed;

	for (seed = first; seed < first + RUNS; seed++) {
		struct sim_options options = { .seed = seed,
					       .duration_us = DURATION_US,
					       .lease_faults = lease_faults,
					       .members_change =
						       members_change };
		char *violation = sim_run(&options, &stats);

		if (violation)
			g_error("seed %" G_GUINT64_FORMAT ": %s", seed,
				violation);
	}
	g_test_message(
		"%d runs: %" G_GINT64_FORMAT " committed, %" G_GINT64_FORMAT
		" elections, %" G_GINT64_FORMAT " crashes, %" G_GINT64_FORMAT
		" disks lost, %" G_GINT64_FORMAT " orders, %" G_GINT64_FORMAT
		" reads, %" G_GINT64_FORMAT " snapshots",
		RUNS, stats.committed, stats.elections, stats.crashes,
		stats.replaced, stats.orders, stats.reads, stats.snapshots);
	g_assert_cmpint(stats.committed, >, RUNS * 10);
	g_assert_cmpint(stats.orders, >, RUNS);
	g_assert_cmpint(stats.reads, >, RUNS);
	g_assert_cmpint(stats.snapshots, >, RUNS);
}

/*
 * Guards against the loss of an accepted change, and against two VMs that give
 * orders at once: crashes lose unsynced data, links are cut in both directions
 * or in one, and clocks run at different rates.
 */
static void nothing_accepted_is_lost_under_crashes_and_cuts(void)
{
	sim_must_hold(false, false, 1);
}

/*
 * A VM is lost for good, the group repairs itself, and right after that a
 * second VM is lost: nothing accepted may be lost, and the group must keep
 * working.
 */
static void second_loss_right_after_a_repair_loses_nothing(void)
{
	sim_must_hold(true, false, 1000000);
}

/*
 * Guards against stale lease reads: an isolated leader answers a read while
 * another leader has committed changes. Voters restart, lose the link to the
 * leader, and clocks differ by as much as the bound allows.
 */
static void lease_holds_under_cuts_restarts_and_drift(void)
{
	sim_must_hold(false, true, 2000000);
}

static void seed_must_hold(uint64_t seed)
{
	struct sim_options options = { .seed = seed,
				       .duration_us = DURATION_US,
				       .members_change = true };
	struct sim_stats stats = { 0 };

	g_assert_cmpstr(sim_run(&options, &stats), ==, NULL);
}

/* Repair removed an unreachable voter just as another one was lost for good. */
static void silent_voter_stays_until_it_is_replaced(void)
{
	static const uint64_t failed_once[] = { 6672,  8863,  34920, 33345,
						51567, 53485, 54321 };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(failed_once); i++)
		seed_must_hold(failed_once[i]);
}

/* A lost VM was promoted because of messages that it had sent before. */
static void dead_member_becomes_no_voter(void)
{
	seed_must_hold(5066264);
}

/* The simulation must not lose more disks than a group of three tolerates. */
static void losses_are_those_that_the_newest_leader_bears(void)
{
	seed_must_hold(5036496);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-sim/crashes",
			nothing_accepted_is_lost_under_crashes_and_cuts);
	g_test_add_func("/raft-sim/second-loss",
			second_loss_right_after_a_repair_loses_nothing);
	g_test_add_func("/raft-sim/lease",
			lease_holds_under_cuts_restarts_and_drift);
	g_test_add_func("/raft-sim/failed-once",
			silent_voter_stays_until_it_is_replaced);
	g_test_add_func("/raft-sim/dead-candidate",
			dead_member_becomes_no_voter);
	g_test_add_func("/raft-sim/newest-leader",
			losses_are_those_that_the_newest_leader_bears);
	return g_test_run();
}
