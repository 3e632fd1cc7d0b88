#ifndef FILBERTHALL_LOAD_QUOTA_H
#define FILBERTHALL_LOAD_QUOTA_H

#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"

/**
 * Limits of one organisation or one key: concurrent requests, requests per
 * minute and tokens per minute.
 *
 * Load pattern: a client that sends requests in an endless loop, or a bulk
 * job of one organisation. Without limits only the tiers decide, and an
 * organisation of the top tier takes the pool from all others.
 *
 * The rates are token buckets whose level may become negative: a request is
 * admitted while its bucket isn't empty and is charged in full. A request
 * larger than the bucket is therefore still admitted, and the rate holds in
 * the long run. Tokens are charged by estimate, and the charge is corrected
 * when the request ends.
 *
 * The limits apply to all VMs together: each VM enforces its part, which
 * load/share.h assigns; the parts add up to the limit.
 */
struct quota_limits {
	int64_t max_concurrent;	  /**< 0 is no limit */
	int64_t requests_per_min; /**< 0 is no limit */
	int64_t tokens_per_min;	  /**< 0 is no limit */
	double burst_s;		  /**< bucket size, in seconds of the rate */
};

struct quota {
	struct quota_limits limits;
	double part;		 /**< this VM's fraction of the rates, 0..1 */
	int64_t concurrent_part; /**< this VM's part of max_concurrent */
	int64_t concurrent;
	double requests; /**< level of the bucket, may be negative */
	double tokens;	 /**< level of the bucket, may be negative */
	int64_t filled_us;
	int64_t asked; /**< quota_charge() calls since the last usage report */
	bool reported; /**< in use at the last usage report */
};

/** Default burst: long enough for all requests of one page load. */
#define QUOTA_BURST_S 10.0

/** Initialise with full buckets and the whole limit as this VM's part. */
void quota_init(struct quota *quota, const struct quota_limits *limits,
		int64_t now_us);

/** Change the limits; running requests stay counted. */
void quota_set_limits(struct quota *quota, const struct quota_limits *limits,
		      int64_t now_us);

/** Change this VM's part of the limits. */
void quota_set_part(struct quota *quota, double part, int64_t concurrent_part,
		    int64_t now_us);

/**
 * Charge one request with an estimate of `tokens`. Returns RESULT_OK if it is
 * within the limits; else charges nothing, sets `*retry_after_ms` and returns
 * RESULT_LIMIT_CONCURRENT, RESULT_LIMIT_REQUESTS or RESULT_LIMIT_TOKENS.
 */
enum result quota_charge(struct quota *quota, int64_t tokens, int64_t now_us,
			 int64_t *retry_after_ms);

/** End a request that used `delta` tokens more than it was charged. */
void quota_release(struct quota *quota, int64_t delta, int64_t now_us);

/** Revert a charge in full: the request was refused for another reason. */
void quota_undo(struct quota *quota, int64_t tokens, int64_t now_us);

#endif
