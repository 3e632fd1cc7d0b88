#ifndef TESTS_AGREE_SIM_H
#define TESTS_AGREE_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include "agree/raft.h"

/**
 * A group of Raft members in one thread under a seeded schedule: messages
 * are delayed, lost, doubled and reordered, disks lose what wasn't synced,
 * members crash, stop, restart and come back with an empty disk, the network
 * is cut both ways or one way, and each clock runs at its own rate. What comes
 * out of the logs is checked against one naive register after every step.
 */
struct sim_options {
	uint64_t seed;
	enum raft_mutant mutant;
	int64_t duration_us; /**< with faults; a calm phase follows */
	bool lease_faults;   /**< mostly what could break a lease */
	bool members_change; /**< losses for good and operators' changes */
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

/** Run one schedule; NULL if nothing was violated, else a text to free. */
char *sim_run(const struct sim_options *options, struct sim_stats *stats);

#endif
