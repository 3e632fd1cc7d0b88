#ifndef FILBERTHALL_LOAD_RETRY_H
#define FILBERTHALL_LOAD_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"

/**
 * Decides whether a failed attempt is retried.
 *
 * Load pattern: a server crashes under load and all its requests fail at
 * once, or a whole pool answers with errors. Without a budget each layer
 * retries, load doubles when capacity is lowest, and the pool stays down (a
 * retry storm).
 *
 * A request isn't retried past its deadline, nor if it isn't idempotent and a
 * byte may have been sent: it might have been executed.
 *
 * A budget of a tenth of the new requests bounds the extra load. Unused budget
 * accumulates, since a crash fails all requests of a server at once. Each lower
 * tier must leave another eighth of it to the tiers above: otherwise batch
 * work uses it up and captions have none when engines fail repeatedly.
 *
 * Where a site limits the retries of a service over all VMs (retry_limit()),
 * this VM's part of that limit replaces the budget, because the budgets of the
 * VMs would add up to more than the limit.
 */

/** Retries per new request. */
#define RETRY_SHARE 0.1

/** Least size of the budget, so that a VM with little traffic can retry. */
#define RETRY_MIN_BUDGET 32.0

/** Seconds of new requests for which unused budget accumulates. */
#define RETRY_BURST_S 10.0

/** A request that failed on two servers is more likely cause than victim. */
#define RETRY_MAX_ATTEMPTS 3

/**
 * Fraction of a site's limit that is used: the number of VMs is out of date by
 * up to one poll interval.
 */
#define RETRY_LIMIT_PART 0.9

/** Most attempts of a request, including those that reached no server. */
#define RETRY_MAX_SENDS 4

/** A site's limit on the retries of one service, over all its VMs. */
struct retry_limit {
	double share;	   /**< retries per new request in a window */
	double headroom;   /**< further retries allowed in any window */
	int64_t window_us; /**< length of the sliding window */
	int vms;	   /**< VMs that share the limit; 0 if there is none */
	/** Earlier processes of this VM may have spent its part. */
	bool past_unknown;
};

/** Full steps of a window; the current, partial step is counted besides. */
#define RETRY_STEPS 20

struct retry_counts {
	int fresh; /**< new requests */
	int retries;
};

/** Counts by step of the last window, a ring buffer. */
struct retry_window {
	struct retry_counts steps[RETRY_STEPS + 1];
	int64_t step; /**< number of the latest */
};

struct retry {
	bool unlimited; /**< no budget, for ablation runs */
	double budget;
	double max_budget; /**< most budget that can accumulate */
	double rate;	   /**< new requests per second, running average */
	int64_t updated_us;
	struct retry_limit limit;
	struct retry_window own;
	struct retry_window past; /**< of earlier processes of this VM */
	int reported;		  /**< retries of the step reported last */
	int64_t reported_step;
};

/** The facts by which retry_check() decides. */
struct retry_case {
	enum result code; /**< how the attempt ended */
	int64_t http_status;
	bool sent;	     /**< a byte may have been sent, in any attempt */
	bool idempotent;     /**< may be executed twice */
	int attempts;	     /**< attempts so far that may have run */
	int max_attempts;    /**< bound of `attempts`; 0: RETRY_MAX_ATTEMPTS */
	int sends;	     /**< all attempts so far, 0 if unknown */
	bool reached_server; /**< an attempt reached a server */
	int64_t deadline_us;
	int tier;
	int64_t needs_us; /**< estimated time of another attempt */
};

void retry_init(struct retry *retry, bool limited, int64_t now_us);

/**
 * Set a limit that all VMs share, of which this VM enforces its part.
 *
 * In any window this VM makes at most its part of the headroom plus `share`
 * of its own new requests as retries, so all VMs together stay within the
 * limit. Retries are counted over the window instead of by a token bucket: a
 * crash of a quarter of the servers needs at once as many retries as ten
 * seconds of traffic allow.
 *
 * Earlier processes of the VM count as this one; see load/retry_history.h.
 * While it isn't known what they spent, there are no retries.
 *
 * One retry per window is always allowed; otherwise a VM among many could
 * never retry. With more VMs than headroom, the total may therefore exceed the
 * limit by one retry per VM.
 */
void retry_limit(struct retry *retry, const struct retry_limit *limit);

/**
 * What was spent is to be reported to the other VMs: it exceeds the last
 * report. The new one contains some retries that aren't made yet, so that not
 * each retry needs a message and an end of the process loses none.
 */
bool retry_report(struct retry *retry, struct retry_window *report);

/** The same whether or not it is due; false if nothing was spent. */
bool retry_report_again(struct retry *retry, struct retry_window *report);

/** Set what earlier processes of this VM have spent, by this one's clock. */
void retry_set_past(struct retry *retry, const struct retry_window *past);

/** Add counts to a step, unless it is before the window. */
void retry_window_add(struct retry_window *window, int64_t step,
		      struct retry_counts counts);

/** Counts of a step; none outside the window. */
struct retry_counts retry_window_at(const struct retry_window *window,
				    int64_t step);

/** The window of the last retry_check(), for logs. */
struct retry_view {
	int retries;
	double allowed; /**< for the highest tier */
	int vms;	/**< 0 if there is no limit over all VMs */
};

struct retry_view retry_view(const struct retry *retry);

/** Count a new request. */
void retry_record_request(struct retry *retry, int64_t now_us);

/**
 * Returns RESULT_OK and charges a retry if another attempt may be made; else
 * the code to answer the caller with.
 */
enum result retry_check(struct retry *retry, const struct retry_case *why,
			int64_t now_us);

#endif
