#ifndef FILBERTHALL_LOAD_UNSERVED_H
#define FILBERTHALL_LOAD_UNSERVED_H

#include <stdbool.h>
#include <stdint.h>

#include "load/sched.h"

/**
 * Requests that got nothing for want of a free slot, by tier, and what the
 * tiers below leave free for them on each server.
 *
 * Load pattern: most callers are at one VM, or each kind of request comes in at
 * other VMs. Each VM has its own queue, in which the urgent ones go first. But
 * where all VMs together send more than the servers take, a slot that becomes
 * free goes to whichever VM sends first: urgent requests are rejected by full
 * servers while another VM's less urgent ones begin there.
 *
 * So VMs count per tier what began and what got nothing. Control VMs add the
 * counts up and tell all VMs of a tier of which too large a part gets nothing.
 * Lower tiers then leave a part of each server's slots free, more each time they
 * are told, until that part is small enough. It returns to them with time.
 */

/** A tier is short of slots if one in so many of its requests gets nothing. */
#define UNSERVED_ONE_IN 24

/** Fewer than these may be chance. */
#define UNSERVED_LEAST 3

/**
 * What lower tiers leave free: more by the part that gets nothing, within these
 * bounds, once in RESERVE_STEP_US at most.
 */
#define RESERVE_STEP_LEAST 0.0625
#define RESERVE_STEP_MOST 0.125
#define RESERVE_STEP_US INT64_C(400000)
#define RESERVE_DECAY_PER_S 0.03125

/** Requests of a tier whose outcome is known. */
struct unserved_count {
	int begun;
	int nothing; /**< given up on without a server that ran them */
};

/** Counts over all VMs, which decay with a half-life of a second. */
struct unserved {
	double begun[SCHED_TIERS];
	double nothing[SCHED_TIERS];
	int64_t at_us;
};

void unserved_add(struct unserved *unserved, int tier,
		  const struct unserved_count *count, int64_t now_us);

/** The part of the tier's requests that get nothing; 0 if that is allowed. */
double unserved_part(const struct unserved *unserved, int tier);

/** What lower tiers leave free for each tier: a part of a server's slots. */
struct reserve {
	double part[SCHED_TIERS];
	int64_t raised_us[SCHED_TIERS];
	int64_t at_us;
};

/** That part of the tier's requests gets nothing. */
void reserve_raise(struct reserve *reserve, int tier, double part,
		   int64_t now_us);

/** The part of the slots that requests of the tier leave free, 0..1. */
double reserve_below(struct reserve *reserve, int tier, int64_t now_us);

#endif
