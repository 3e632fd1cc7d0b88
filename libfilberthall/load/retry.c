#include "load/retry.h"

#include <math.h>

/* The rate of fresh traffic is averaged over about this long. */
#define RETRY_RATE_US 10e6

void retry_init(struct retry *retry, bool limited, int64_t now_us)
{
	*retry = (struct retry){
		.unlimited = !limited,
		.budget = RETRY_LEAST,
		.most = RETRY_LEAST,
		.noted_us = now_us,
	};
}

void retry_fresh(struct retry *retry, int64_t now_us)
{
	double elapsed_us = (double)(now_us - retry->noted_us);
	if (elapsed_us > 0) {
		retry->rate *= exp(-elapsed_us / RETRY_RATE_US);
		retry->noted_us = now_us;
	}
	retry->rate += 1e6 / RETRY_RATE_US;
	retry->most = retry->rate * RETRY_SAVED_S * RETRY_SHARE;
	if (retry->most < RETRY_LEAST)
		retry->most = RETRY_LEAST;
	retry->budget += RETRY_SHARE;
	if (retry->budget > retry->most)
		retry->budget = retry->most;
}

/* Whether another server might do better. */
static bool retry_may_help(const struct retry_case *why)
{
	switch (why->code) {
	case RESULT_BACKEND_CONNECT:
	case RESULT_BACKEND_TIMEOUT:
	case RESULT_BACKEND_BROKE:
	case RESULT_BACKEND_CROSSED:
		return true;
	case RESULT_BACKEND_ERROR:
		return !why->http_status || why->http_status >= 500 ||
		       why->http_status == 429;
	default:
		return false;
	}
}

enum result retry_ask(struct retry *retry, const struct retry_case *why,
		      int64_t now_us)
{
	if (!retry_may_help(why))
		return why->code;
	/*
	 * The byte that left may have been the last one the server needed:
	 * the request may run although no answer came.
	 */
	if (why->sent && !why->idempotent)
		return why->code;
	if (why->attempts >= (why->most ? why->most : RETRY_ATTEMPTS) &&
	    !retry->unlimited)
		return why->code;
	if (why->sendings >= RETRY_SENDINGS && !retry->unlimited)
		return why->code;
	if (why->deadline_us && now_us + why->needs_us > why->deadline_us)
		return why->code;
	if (retry->unlimited)
		return RESULT_OK;
	if (retry->budget < 1 + retry->most * why->tier / 8)
		return RESULT_RETRY_BUDGET;
	retry->budget -= 1;
	return RESULT_OK;
}
