#ifndef FILBERTHALL_LOAD_PREEMPT_H
#define FILBERTHALL_LOAD_PREEMPT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Choice of the running attempt to preempt for a waiting request of a higher
 * tier.
 *
 * Load pattern: critiques of a whole lookbook occupy every slot for a minute
 * when a burst of captions with a deadline of half a second arrives. Waiting
 * for a slot to become free misses every deadline.
 *
 * Only attempts of a lower tier than the waiting request are preempted, the
 * lowest tier first and within it the youngest, which loses the least work.
 * Excluded are requests that aren't idempotent, since they can't be run again,
 * and those started by their class's minimum share, since the class would
 * starve after all. Nothing is preempted if slots become free in time anyway,
 * or if the slot would become free only after the waiting request is due.
 *
 * A victim's work is lost except for what its caller has received. An attempt
 * whose remaining work is less than the cost of the lost work is left to end.
 */
struct preempt_victim {
	int tier;
	bool idempotent;
	bool by_floor; /**< started by its class's minimum share */
	bool usable;   /**< the waiting request can use its slot */
	int64_t started_us;
	double done_fraction; /**< fraction of its expected work that is done */
};

/**
 * Budget of tokens that preemption may discard: 1/200 of the tokens served,
 * accumulated up to 1.5 seconds of the highest token rate so far. Without this
 * limit a saturated pool spends its time on work that is preempted again and
 * again. The accumulated budget is for bursts of the top tier. Its limit is in
 * seconds, because a fixed number of tokens would be a larger fraction of what
 * a small site serves.
 */
#define PREEMPT_LOSS_SHARE 0.005
#define PREEMPT_SAVED_S 1.5

/** Budget of a VM that has served nothing yet, tokens. */
#define PREEMPT_MIN_BUDGET 200.0

struct preempt_budget {
	double tokens;
	double max_tokens; /**< limit of `tokens` */
	double rate;	   /**< tokens served per second, moving average */
	int64_t updated_us;
};

void preempt_init(struct preempt_budget *budget);

/** Adds to the budget for tokens that were served. */
void preempt_earn(struct preempt_budget *budget, int64_t tokens,
		  int64_t now_us);

/** Takes a victim's tokens from the budget; false if it is too small. */
bool preempt_spend(struct preempt_budget *budget, int64_t tokens);

/** An attempt past this fraction of its expected work isn't preempted. */
#define PREEMPT_MAX_DONE_FRACTION 0.75

/** Time to free a slot: a cancellation takes one or two round trips. */
#define PREEMPT_CANCEL_US INT64_C(20000)

/** Whether `victim` may be preempted for a request of tier `tier`. */
bool preempt_allowed(const struct preempt_victim *victim, int tier);

/** Whether `a` should be preempted before `b`. */
bool preempt_before(const struct preempt_victim *a,
		    const struct preempt_victim *b);

#endif
