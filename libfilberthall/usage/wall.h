#ifndef FILBERTHALL_USAGE_WALL_H
#define FILBERTHALL_USAGE_WALL_H

#include <stdint.h>

/**
 * Wall-clock time agreed on by several VMs.
 *
 * Failure handled: one VM's wall clock steps by seconds and later steps back.
 * Work that began in between would be counted in the wrong usage window on
 * that VM alone, and a report made by it would close a window too early.
 *
 * Each VM stores the offset of the others' wall clocks from its own monotonic
 * clock and uses the median. The result is right while fewer than half of the
 * clocks are wrong. Clocks that step during operation aren't among the wrong
 * ones, since each VM delays its own steps (usage/stepout.h).
 */

#define WALL_VOTES 16

/** Older votes are ignored: the VM has stopped or is disconnected. */
#define WALL_OLD_US INT64_C(10000000)

/** Votes of other VMs needed for an agreed time. */
#define WALL_OTHERS_LEAST 2

struct wall_vote {
	uint64_t voter;
	int64_t offset_us; /**< wall clock less this VM's monotonic clock */
	int64_t at_us;
};

struct wall {
	struct wall_vote votes[WALL_VOTES];
	int n_votes;
};

/** Stores the wall-clock time `wall_us` of a VM (0 for this VM). */
void wall_note(struct wall *wall, uint64_t voter, int64_t wall_us,
	       int64_t now_us);

/** Microseconds since 1970 at `now_us`, monotonic; 0 without votes. */
int64_t wall_time_us(const struct wall *wall, int64_t now_us);

/** The same from the votes of other VMs only; 0 if there are too few. */
int64_t wall_others_us(const struct wall *wall, int64_t now_us);

#endif
