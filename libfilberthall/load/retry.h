#ifndef FILBERTHALL_LOAD_RETRY_H
#define FILBERTHALL_LOAD_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"

/**
 * Whether a failed attempt is followed by another.
 *
 * Load pattern: a server crashes under load and all its requests come back
 * at once, or a whole pool answers with errors. Without a budget each layer
 * tries again, load doubles when there is least to carry it, and the pool
 * stays down (a retry storm).
 *
 * Never across the deadline, never for a non-idempotent request once a byte
 * may have left: it might have run.
 *
 * A budget of a tenth of fresh traffic bounds the extra load. It is saved up,
 * since a crash returns all that ran on a server at once. Each lower tier must
 * leave an eighth of it to those above: else batch work takes it from captions
 * when engines flap.
 *
 * Where a site bounds the repeats of a service over all VMs (retry_limit()),
 * that gives way to this VM's part of the bound: what each VM may do by itself
 * adds up.
 */

/** Repeats for each fresh request. */
#define RETRY_SHARE 0.1

/** Repeats always allowed, so that a VM with little traffic has some. */
#define RETRY_MIN_BUDGET 32.0

/** Seconds of fresh traffic whose repeats are saved up. */
#define RETRY_BURST_S 10.0

/** A request that two servers have failed is more likely cause than victim. */
#define RETRY_MAX_ATTEMPTS 3

/**
 * Of a site's bound, the part that is used: VMs that come and go are counted
 * up to a poll late.
 */
#define RETRY_LIMIT_PART 0.9

/** How often a request is sent at most, also where nobody ran it. */
#define RETRY_MAX_SENDS 4

/** What a site allows for one service, over all its VMs. */
struct retry_limit {
	double share;	   /**< repeats for each fresh request in a window */
	double headroom;   /**< repeats besides, in any window */
	int64_t window_us; /**< a sliding one */
	int vms;	   /**< that share it; 0 for no such limit */
};

/** A window is counted in so many steps, and the one that has begun. */
#define RETRY_STEPS 20

struct retry {
	bool unlimited; /**< for the ablation */
	double budget;
	double max_budget; /**< that can be saved up */
	double rate;	   /**< fresh requests a second, running average */
	int64_t noted_us;
	struct retry_limit limit;
	int fresh[RETRY_STEPS + 1]; /**< by step, as a ring */
	int retries[RETRY_STEPS + 1];
	int64_t step; /**< the newest one counted */
};

/** What decides about one more attempt. */
struct retry_case {
	enum result code; /**< how the attempt ended */
	int64_t http_status;
	bool sent;	  /**< a byte may have left, in any attempt */
	bool idempotent;  /**< may run twice */
	int attempts;	  /**< that may have run, so far */
	int max_attempts; /**< of these; 0 for RETRY_MAX_ATTEMPTS */
	int sendings;	  /**< all attempts so far, 0 if not known */
	bool arrived;	  /**< one of them reached a server */
	int64_t deadline_us;
	int tier;
	int64_t needs_us; /**< estimated time of another attempt */
};

void retry_init(struct retry *retry, bool limited, int64_t now_us);

/**
 * Keep to this VM's part of a limit that all VMs share.
 *
 * In any window this VM repeats at most its part of the headroom and `share`
 * of its own fresh requests there, so all VMs together keep to the limit. It
 * is counted over the window and not saved up as tokens: a crash of a quarter
 * of the servers needs at once what ten seconds of traffic allow.
 *
 * One repeat a window is always allowed, or a VM among many would never make
 * any; with more VMs than headroom that makes the sum larger by one a VM.
 */
void retry_limit(struct retry *retry, const struct retry_limit *limit);

/** Count a fresh request. */
void retry_fresh(struct retry *retry, int64_t now_us);

/**
 * RESULT_OK if another attempt may be made, which is then charged; else the
 * code that the caller gets.
 */
enum result retry_ask(struct retry *retry, const struct retry_case *why,
		      int64_t now_us);

#endif
