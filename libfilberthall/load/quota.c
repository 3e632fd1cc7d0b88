#include "load/quota.h"

#include <math.h>
#include <string.h>

#define QUOTA_MINUTE_US 60e6

/* Retry-After when only the concurrency limit is reached. */
#define QUOTA_CONCURRENT_RETRY_MS 1000

/* Level of a full bucket; `rate` is per minute. */
static double quota_capacity(const struct quota *quota, int64_t rate)
{
	double burst_s = quota->limits.burst_s;

	if (burst_s <= 0)
		burst_s = QUOTA_BURST_S;
	return (double)rate * quota->part * burst_s / 60.0;
}

static double quota_filled(const struct quota *quota, double level,
			   int64_t rate, int64_t elapsed_us)
{
	double capacity = quota_capacity(quota, rate);

	level += (double)rate * quota->part * (double)elapsed_us /
		 QUOTA_MINUTE_US;
	return level < capacity ? level : capacity;
}

static void quota_refill(struct quota *quota, int64_t now_us)
{
	int64_t elapsed_us = now_us - quota->filled_us;

	if (elapsed_us <= 0)
		elapsed_us = 0;
	else
		quota->filled_us = now_us;
	quota->requests =
		quota_filled(quota, quota->requests,
			     quota->limits.requests_per_min, elapsed_us);
	quota->tokens = quota_filled(quota, quota->tokens,
				     quota->limits.tokens_per_min, elapsed_us);
}

void quota_init(struct quota *quota, const struct quota_limits *limits,
		int64_t now_us)
{
	memset(quota, 0, sizeof(*quota));
	quota->limits = *limits;
	quota->part = 1;
	quota->concurrent_part = limits->max_concurrent;
	quota->filled_us = now_us;
	quota->requests = quota_capacity(quota, limits->requests_per_min);
	quota->tokens = quota_capacity(quota, limits->tokens_per_min);
}

/* A limit that has just been set starts with a full bucket. */
static double quota_carry(double level, double capacity, int64_t old_rate)
{
	return !old_rate || level > capacity ? capacity : level;
}

void quota_set_limits(struct quota *quota, const struct quota_limits *limits,
		      int64_t now_us)
{
	struct quota_limits old = quota->limits;

	quota_refill(quota, now_us);
	quota->limits = *limits;
	if (old.max_concurrent != limits->max_concurrent)
		quota->concurrent_part = (int64_t)ceil(
			(double)limits->max_concurrent * quota->part);
	quota->requests =
		quota_carry(quota->requests,
			    quota_capacity(quota, limits->requests_per_min),
			    old.requests_per_min);
	quota->tokens =
		quota_carry(quota->tokens,
			    quota_capacity(quota, limits->tokens_per_min),
			    old.tokens_per_min);
}

void quota_set_part(struct quota *quota, double part, int64_t concurrent_part,
		    int64_t now_us)
{
	quota_refill(quota, now_us);
	quota->part = part;
	quota->concurrent_part = concurrent_part;
	quota_refill(quota, now_us);
}

/* Time until a bucket with a negative level is above zero. */
static int64_t quota_wait_ms(const struct quota *quota, double level,
			     int64_t rate)
{
	double per_ms = (double)rate * quota->part / 60e3;

	if (per_ms <= 0)
		return 60000;
	return (int64_t)(-level / per_ms) + 1;
}

enum result quota_charge(struct quota *quota, int64_t tokens, int64_t now_us,
			 int64_t *retry_after_ms)
{
	const struct quota_limits *limits = &quota->limits;

	quota_refill(quota, now_us);
	quota->asked++;
	if (limits->max_concurrent &&
	    quota->concurrent >= quota->concurrent_part) {
		*retry_after_ms = QUOTA_CONCURRENT_RETRY_MS;
		return RESULT_LIMIT_CONCURRENT;
	}
	if (limits->requests_per_min && quota->requests <= 0) {
		*retry_after_ms = quota_wait_ms(quota, quota->requests,
						limits->requests_per_min);
		return RESULT_LIMIT_REQUESTS;
	}
	if (limits->tokens_per_min && quota->tokens <= 0) {
		*retry_after_ms = quota_wait_ms(quota, quota->tokens,
						limits->tokens_per_min);
		return RESULT_LIMIT_TOKENS;
	}
	quota->concurrent++;
	quota->requests -= limits->requests_per_min ? 1 : 0;
	quota->tokens -= limits->tokens_per_min ? (double)tokens : 0;
	return RESULT_OK;
}

void quota_release(struct quota *quota, int64_t delta, int64_t now_us)
{
	quota_refill(quota, now_us);
	quota->concurrent--;
	if (quota->limits.tokens_per_min)
		quota->tokens -= (double)delta;
	quota_refill(quota, now_us);
}

void quota_undo(struct quota *quota, int64_t tokens, int64_t now_us)
{
	if (quota->limits.requests_per_min)
		quota->requests += 1;
	quota_release(quota, -tokens, now_us);
}
