#ifndef FILBERTHALL_LOAD_PREEMPT_H
#define FILBERTHALL_LOAD_PREEMPT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Which running attempt gives way to a waiting request of a higher tier.
 *
 * Load pattern: critiques that read a whole lookbook hold every slot for a
 * minute when a burst of captions arrives that has half a second. Waiting
 * for a slot to come free by itself misses every target.
 *
 * Only of a lower tier than what takes the place, the lowest first, within
 * it the youngest: it has least work to lose. Never a non-idempotent one,
 * which could not be run again, nor one that its class's minimum share has
 * started, or the class would starve after all. Never in vain: not if slots
 * come free by themselves before the waiting request is due, and not so late
 * that the room would come after that.
 *
 * The work of a victim is lost but for what its caller has had, so one that
 * has less left to do than a victim's lost work costs is left to end.
 */
struct preempt_victim {
	int tier;
	bool idempotent;
	bool by_floor; /**< runs by its class's minimum share */
	bool usable; /**< its place is one that the waiting request can take */
	int64_t started_us;
	double done_share; /**< part of its expected work that is done */
};

/**
 * What preemption may throw away: a two-hundredth of the tokens served, and
 * saved up, a second and a half of the fastest pace so far. Without this
 * bound a pool at its limit spends its time on work that is preempted again
 * and again. A burst of the top tier needs the savings. They are in seconds,
 * since a small site's would else be a greater part of what it serves.
 */
#define PREEMPT_LOSS_SHARE 0.005
#define PREEMPT_SAVED_S 1.5

/** What a VM that has served nothing yet may lose, tokens. */
#define PREEMPT_LEAST 200.0

struct preempt_budget {
	double tokens;
	double most; /**< that can be saved up */
	double rate; /**< tokens served a second, running average */
	int64_t noted_us;
};

void preempt_open(struct preempt_budget *budget);

/** Tokens were served. */
void preempt_earn(struct preempt_budget *budget, int64_t tokens,
		  int64_t now_us);

/** Whether a victim that has so many tokens may be lost; it is charged. */
bool preempt_spend(struct preempt_budget *budget, int64_t tokens);

/** Past this part of its expected work an attempt is left to end. */
#define PREEMPT_DONE_MOST 0.75

/** Cancelling takes a round trip or two until the room is there. */
#define PREEMPT_FREE_US INT64_C(20000)

/** Whether `victim` may give way to a request of tier `tier`. */
bool preempt_allowed(const struct preempt_victim *victim, int tier);

/** Whether `a` should give way before `b`. */
bool preempt_before(const struct preempt_victim *a,
		    const struct preempt_victim *b);

#endif
