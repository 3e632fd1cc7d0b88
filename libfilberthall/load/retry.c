#include "load/retry.h"

#include <math.h>

/* Time constant of the average rate of first attempts. */
#define RETRY_RATE_US 10e6

void retry_init(struct retry *retry, bool limited, int64_t now_us)
{
	*retry = (struct retry){
		.unlimited = !limited,
		.budget = RETRY_MIN_BUDGET,
		.max_budget = RETRY_MIN_BUDGET,
		.updated_us = now_us,
	};
}

void retry_limit(struct retry *retry, const struct retry_limit *limit)
{
	retry->limit = *limit;
}

/* Clear the counters of the steps that began since the last call. */
static void retry_advance(struct retry *retry, int64_t now_us)
{
	int64_t step = now_us / (retry->limit.window_us / RETRY_STEPS);
	int64_t from = retry->step + 1;

	if (step - from > RETRY_STEPS)
		from = step - RETRY_STEPS;
	for (; from <= step; from++) {
		retry->fresh[from % (RETRY_STEPS + 1)] = 0;
		retry->retries[from % (RETRY_STEPS + 1)] = 0;
	}
	if (step > retry->step)
		retry->step = step;
}

static int *retry_step(struct retry *retry, int *steps)
{
	return &steps[retry->step % (RETRY_STEPS + 1)];
}

/*
 * The window that ends now may begin anywhere in the oldest step, so the
 * retries of that step are counted and its new requests aren't.
 */
static struct retry_view retry_window_view(const struct retry *retry)
{
	const struct retry_limit *limit = &retry->limit;
	struct retry_view view = { 0, limit->headroom / limit->vms,
				   limit->vms };
	int oldest = (int)((retry->step + 1) % (RETRY_STEPS + 1));
	int i;

	for (i = 0; i <= RETRY_STEPS; i++) {
		view.retries += retry->retries[i];
		if (i != oldest)
			view.allowed += limit->share * retry->fresh[i];
	}
	view.allowed *= RETRY_LIMIT_PART;
	return view;
}

struct retry_view retry_view(const struct retry *retry)
{
	struct retry_view unshared = { 0 };

	return retry->limit.vms ? retry_window_view(retry) : unshared;
}

/* Whether the limit allows another retry in the window that ends now. */
static bool retry_window_allows(const struct retry *retry, int tier)
{
	struct retry_view view = retry_window_view(retry);
	double allowed = view.allowed * (8 - tier) / 8;

	return view.retries < (allowed > 1 ? allowed : 1);
}

void retry_record_request(struct retry *retry, int64_t now_us)
{
	double elapsed_us = (double)(now_us - retry->updated_us);
	if (elapsed_us > 0) {
		retry->rate *= exp(-elapsed_us / RETRY_RATE_US);
		retry->updated_us = now_us;
	}
	retry->rate += 1e6 / RETRY_RATE_US;
	retry->max_budget = retry->rate * RETRY_BURST_S * RETRY_SHARE;
	if (retry->max_budget < RETRY_MIN_BUDGET)
		retry->max_budget = RETRY_MIN_BUDGET;
	retry->budget += RETRY_SHARE;
	if (retry->budget > retry->max_budget)
		retry->budget = retry->max_budget;
	if (retry->limit.vms) {
		retry_advance(retry, now_us);
		++*retry_step(retry, retry->fresh);
	}
}

/* Whether an attempt on another server may succeed. */
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

/* Charge one retry to the budget; false if the budget is spent. */
static bool retry_take(struct retry *retry, int tier, int64_t now_us)
{
	if (retry->limit.vms) {
		retry_advance(retry, now_us);
		if (!retry_window_allows(retry, tier))
			return false;
		++*retry_step(retry, retry->retries);
		return true;
	}
	if (retry->budget < 1 + retry->max_budget * tier / 8)
		return false;
	retry->budget -= 1;
	return true;
}

enum result retry_check(struct retry *retry, const struct retry_case *why,
			int64_t now_us)
{
	if (!retry_may_help(why))
		return why->code;
	/*
	 * The server may have received the whole request and may execute it
	 * although no answer arrived.
	 */
	if (why->sent && !why->idempotent)
		return why->code;
	if (why->attempts >= (why->max_attempts ? why->max_attempts
						: RETRY_MAX_ATTEMPTS) &&
	    !retry->unlimited)
		return why->code;
	if (why->sends >= RETRY_MAX_SENDS && !retry->unlimited)
		return why->code;
	if (why->deadline_us && now_us + why->needs_us > why->deadline_us)
		return why->code;
	/* A request that reached no server has added no load to any. */
	if (retry->unlimited || !why->reached_server)
		return RESULT_OK;
	return retry_take(retry, why->tier, now_us) ? RESULT_OK
						    : RESULT_RETRY_BUDGET;
}
