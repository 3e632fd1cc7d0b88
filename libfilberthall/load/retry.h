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
 * Grounds for the figures: a budget of a tenth of fresh traffic bounds the
 * extra load at 10%, while faults in ordinary times touch far less. It saves
 * up for ten seconds' worth, since one crash of an engine in twelve returns
 * about 2.5 s of a twelfth of the traffic at once. As many as one engine has
 * slots are always allowed, so that a VM with little traffic can use them.
 * Each lower tier must leave an eighth of the budget to those above it: spent
 * blindly, batch work took it from captions when engines flapped. Three
 * attempts: a request that two servers have failed is more likely the cause
 * than the victim.
 */
#define RETRY_SHARE 0.1
#define RETRY_LEAST 32.0
#define RETRY_SAVED_S 10.0
#define RETRY_ATTEMPTS 3

/** How often a request is sent at most, also where nobody ran it. */
#define RETRY_SENDINGS 4

struct retry {
	bool unlimited; /**< for the ablation */
	double budget;
	double most; /**< that can be saved up */
	double rate; /**< fresh requests a second, running average */
	int64_t noted_us;
};

/** What decides about one more attempt. */
struct retry_case {
	enum result code; /**< how the attempt ended */
	int64_t http_status;
	bool sent;	 /**< a byte may have left, in any attempt */
	bool idempotent; /**< may run twice */
	int attempts;	 /**< that may have run, so far */
	int most;	 /**< of these; 0 for RETRY_ATTEMPTS */
	int sendings;	 /**< all attempts so far, 0 if not known */
	int64_t deadline_us;
	int tier;
	int64_t needs_us; /**< estimated time of another attempt */
};

void retry_init(struct retry *retry, bool limited, int64_t now_us);

/** Count a fresh request. */
void retry_fresh(struct retry *retry, int64_t now_us);

/**
 * RESULT_OK if another attempt may be made, which is then charged; else the
 * code that the caller gets.
 */
enum result retry_ask(struct retry *retry, const struct retry_case *why,
		      int64_t now_us);

#endif
