#include "load/retry.h"

#include <math.h>

/* Time constant of the average rate of first attempts. */
#define RETRY_RATE_US 10e6

/* Part of a window's retries that is reported before it is spent, as 1 / it. */
#define RETRY_AHEAD 8

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

static int64_t retry_step(const struct retry *retry, int64_t now_us)
{
	return now_us / (retry->limit.window_us / RETRY_STEPS);
}

/* Make `step` the latest one; those that began since are empty. */
static void retry_window_advance(struct retry_window *window, int64_t step)
{
	int64_t from = window->step + 1;

	if (step - from > RETRY_STEPS)
		from = step - RETRY_STEPS;
	for (; from <= step; from++)
		window->steps[from % (RETRY_STEPS + 1)] =
			(struct retry_counts){ 0 };
	if (step > window->step)
		window->step = step;
}

void retry_window_add(struct retry_window *window, int64_t step,
		      struct retry_counts counts)
{
	struct retry_counts *at;

	if (step < 0 || step < window->step - RETRY_STEPS)
		return;
	retry_window_advance(window, step);
	at = &window->steps[step % (RETRY_STEPS + 1)];
	at->fresh += counts.fresh;
	at->retries += counts.retries;
}

struct retry_counts retry_window_at(const struct retry_window *window,
				    int64_t step)
{
	struct retry_counts none = { 0 };

	if (step < 0 || step > window->step ||
	    step < window->step - RETRY_STEPS)
		return none;
	return window->steps[step % (RETRY_STEPS + 1)];
}

void retry_set_past(struct retry *retry, const struct retry_window *past)
{
	retry->past = *past;
}

/*
 * The window that ends now may begin anywhere in the oldest step, so the
 * retries of that step are counted and its new requests aren't. By clocks that
 * differ a little, what is past may lie in a step to come.
 */
static void add_window(struct retry_view *view, const struct retry *retry,
		       const struct retry_window *window)
{
	int64_t oldest = retry->own.step - RETRY_STEPS;
	int64_t step;

	for (step = oldest; step <= window->step; step++) {
		struct retry_counts counts = retry_window_at(window, step);

		view->retries += counts.retries;
		if (step != oldest)
			view->allowed += retry->limit.share * counts.fresh;
	}
}

static struct retry_view retry_window_view(const struct retry *retry)
{
	const struct retry_limit *limit = &retry->limit;
	struct retry_view view = { 0, limit->headroom / limit->vms,
				   limit->vms };

	add_window(&view, retry, &retry->own);
	add_window(&view, retry, &retry->past);
	view.allowed *= RETRY_LIMIT_PART;
	return view;
}

bool retry_report_again(struct retry *retry, struct retry_window *report)
{
	struct retry_counts *now =
		&report->steps[retry->own.step % (RETRY_STEPS + 1)];
	int spent = 0;
	int i;

	*report = retry->own;
	for (i = 0; i <= RETRY_STEPS; i++)
		spent += report->steps[i].retries;
	if (!retry->limit.vms || !spent)
		return false;
	now->retries += spent / RETRY_AHEAD;
	retry->reported = now->retries;
	retry->reported_step = retry->own.step;
	return true;
}

bool retry_report(struct retry *retry, struct retry_window *report)
{
	struct retry_counts now = retry_window_at(&retry->own, retry->own.step);

	if (retry->reported_step == retry->own.step &&
	    now.retries <= retry->reported)
		return false;
	return retry_report_again(retry, report);
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

	if (retry->limit.past_unknown)
		return false;
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
	if (retry->limit.vms)
		retry_window_add(&retry->own, retry_step(retry, now_us),
				 (struct retry_counts){ .fresh = 1 });
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
		int64_t step = retry_step(retry, now_us);

		retry_window_advance(&retry->own, step);
		if (!retry_window_allows(retry, tier))
			return false;
		retry_window_add(&retry->own, step,
				 (struct retry_counts){ .retries = 1 });
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
