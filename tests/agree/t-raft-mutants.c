#include <glib.h>

#include "sim.h"

#define RUNS 4000
#define DURATION_US 16000000

/*
 * The simulation must notice when a guard of Raft is disabled; otherwise it
 * proves nothing about that guard.
 */
static void mutant_must_be_caught(gconstpointer data)
{
	enum raft_mutant mutant = (enum raft_mutant)GPOINTER_TO_INT(data);
	struct sim_stats stats = { 0 };
	bool lease = mutant == RAFT_MUTANT_NO_RESTART_WAIT ||
		     mutant == RAFT_MUTANT_LEASE_WITHOUT_DRIFT;
	uint64_t seed;

	for (seed = 1; seed <= RUNS; seed++) {
		struct sim_options options = { .seed = seed,
					       .mutant = mutant,
					       .duration_us = DURATION_US,
					       .lease_faults = lease,
					       .members_change = seed / 2 % 2 };
		char *violation = sim_run(&options, &stats);

		/*
		 * a group without progress doesn't show that the guard is
		 * needed
		 */
		if (!violation || g_str_has_prefix(violation, "no progress")) {
			g_free(violation);
			continue;
		}
		g_test_message("caught by seed %" G_GUINT64_FORMAT ": %s", seed,
			       violation);
		g_free(violation);
		return;
	}
	g_test_message("not caught in %d runs", RUNS);
	g_test_fail();
}

static const char *const mutant_names[] = {
	[RAFT_MUTANT_VOTE_BEFORE_SYNC] = "vote-before-sync",
	[RAFT_MUTANT_ACK_BEFORE_SYNC] = "acknowledge-before-sync",
	[RAFT_MUTANT_COUNT_OWN_BEFORE_SYNC] = "count-own-before-sync",
	[RAFT_MUTANT_NO_RESTART_WAIT] = "no-wait-after-restart",
	[RAFT_MUTANT_VOTE_WHILE_LEADER_HEARD] = "vote-while-leader-heard",
	[RAFT_MUTANT_LEASE_WITHOUT_DRIFT] = "lease-without-drift",
	[RAFT_MUTANT_ORDER_WITHOUT_WAIT] = "order-without-wait",
	[RAFT_MUTANT_VOTE_ANY_LOG] = "vote-for-any-log",
};

int main(int argc, char **argv)
{
	int mutant;

	g_test_init(&argc, &argv, NULL);
	for (mutant = RAFT_MUTANT_NONE + 1; mutant < RAFT_MUTANTS; mutant++) {
		char *path;

		/* random schedules hardly reach these; t-raft.c tests them */
		if (mutant == RAFT_MUTANT_COMMIT_OLD_TERM ||
		    mutant == RAFT_MUTANT_TWO_CHANGES)
			continue;
		path = g_strdup_printf("/raft-mutants/%s",
				       mutant_names[mutant]);

		g_test_add_data_func(path, GINT_TO_POINTER(mutant),
				     mutant_must_be_caught);
		g_free(path);
	}
	return g_test_run();
}
