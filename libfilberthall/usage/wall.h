#ifndef FILBERTHALL_USAGE_WALL_H
#define FILBERTHALL_USAGE_WALL_H

#include <stdint.h>

/**
 * True time, from the wall clocks of several VMs.
 *
 * Failure answered: one VM's wall clock jumps by seconds, and back later. Work
 * that began just then would be counted in the wrong usage window, on that VM
 * alone, and a report made by it would close a window too early.
 *
 * Each VM keeps how far the others' wall clocks are ahead of its own steady
 * clock and takes the median. It holds while fewer than half of those asked
 * are wrong; clocks that step while they are watched don't count as such, as
 * each VM holds its own steps back (usage/stepout.h).
 */

#define WALL_VOTES 16

/** A vote older than this is left out: its VM is gone or cut off. */
#define WALL_OLD_US INT64_C(10000000)

/** Fewer other VMs than that agree on nothing. */
#define WALL_OTHERS_LEAST 2

struct wall_vote {
	uint64_t voter;
	int64_t offset_us; /**< wall clock less our steady clock */
	int64_t at_us;
};

struct wall {
	struct wall_vote votes[WALL_VOTES];
	int n_votes;
};

/** A VM (0 for this one) said that its wall clock shows `wall_us`. */
void wall_note(struct wall *wall, uint64_t voter, int64_t wall_us,
	       int64_t now_us);

/** Microseconds since 1970 at `now_us` of our clock; 0 if nobody voted. */
int64_t wall_time_us(const struct wall *wall, int64_t now_us);

/** The same by the other VMs alone; 0 if too few of them voted. */
int64_t wall_others_us(const struct wall *wall, int64_t now_us);

#endif
