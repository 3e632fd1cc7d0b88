#ifndef FILBERTHALL_LOAD_QUOTA_H
#define FILBERTHALL_LOAD_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"

/**
 * Limits of one organisation or one key: requests at once, requests a minute,
 * tokens a minute.
 *
 * Load pattern: a caller's loop gone wild, or one organisation's campaign.
 * Without limits the tiers alone decide, and an organisation of the top tier
 * takes the pool from all others.
 *
 * Token buckets that may go into debt: a request is let in while its bucket
 * isn't empty and is charged in full. So one larger than the bucket still
 * gets through, and the rate holds in the long run. Tokens are charged by
 * estimate and trued up at the end.
 *
 * The limits hold over all VMs: each VM enforces its part, which load/share.h
 * hands out; the parts sum up to the limit.
 */
struct quota_limits {
	int64_t max_concurrent;	  /**< 0 is no limit */
	int64_t requests_per_min; /**< 0 is no limit */
	int64_t tokens_per_min;	  /**< 0 is no limit */
	double burst_s;		  /**< seconds' worth at once */
};

struct quota {
	struct quota_limits limits;
	double part;		 /**< of the rates, 0..1 */
	int64_t concurrent_part; /**< of max_concurrent */
	int64_t concurrent;
	double requests; /**< level of the bucket, may be negative */
	double tokens;	 /**< level of the bucket, may be negative */
	int64_t filled_us;
	int64_t asked; /**< requests asked for since share took note */
	bool reported; /**< in use when share last took note */
};

/** Burst where the rule names none: long enough for a page of requests. */
#define QUOTA_BURST_S 10.0

/** Start with full buckets and the whole limit as own part. */
void quota_init(struct quota *quota, const struct quota_limits *limits,
		int64_t now_us);

/** Change the limits; what is in use stays in use. */
void quota_set_limits(struct quota *quota, const struct quota_limits *limits,
		      int64_t now_us);

/** Change the own part of the limits. */
void quota_set_part(struct quota *quota, double part, int64_t concurrent_part,
		    int64_t now_us);

/**
 * Ask for one request of so many estimated tokens. Returns RESULT_OK and
 * charges it, or RESULT_LIMIT_CONCURRENT, _REQUESTS or _TOKENS and sets
 * `*retry_after_ms`.
 */
enum result quota_take(struct quota *quota, int64_t tokens, int64_t now_us,
		       int64_t *retry_after_ms);

/** A request has ended; `delta` true tokens more (or less) than charged. */
void quota_release(struct quota *quota, int64_t delta, int64_t now_us);

/** Give a charge back whole: the request was refused for another reason. */
void quota_undo(struct quota *quota, int64_t tokens, int64_t now_us);

#endif
