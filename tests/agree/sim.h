#ifndef TESTS_AGREE_SIM_H
#define TESTS_AGREE_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "agree/raft.h"

/**
 * A simulated group of Raft members in one thread, under a seeded schedule:
 * messages are delayed, lost, duplicated and reordered; disks lose unsynced
 * data; members crash, pause, restart and come back with an empty disk; the
 * network is cut in both directions or in one; and each clock runs at its own
 * rate. After every step the committed entries are checked against a simple
 * model.
 */
struct sim_options {
	uint64_t seed;
	enum raft_mutant mutant;
	int64_t duration_us; /**< time with faults; a phase without faults
	                     follows */
	bool lease_faults;   /**< mostly faults that could break a lease */
	bool members_change; /**< permanent losses and membership changes by
	                     operators */
};

struct sim_stats {
	int64_t committed;
	int64_t elections;
	int64_t crashes;
	int64_t orders;
	int64_t reads;
	int64_t snapshots;
	int64_t replaced;
};

/**
 * Run one schedule. Returns NULL if all checks held, otherwise a description of
 * the violation, to be freed.
 */
char *sim_run(const struct sim_options *options, struct sim_stats *stats);

#endif
