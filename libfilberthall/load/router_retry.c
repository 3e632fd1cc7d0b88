/*
 * Retries of failed attempts within the limits of load/retry.h.
 */
#include "load/router_state.h"

/* Interval of the log lines of a pool whose retries are spent. */
#define SPENT_LOG_US INT64_C(1000000)

static void log_spent(const struct request *request, int64_t now_us,
		      struct effects *effects)
{
	struct pool *pool = request->queue->pool;
	struct retry_view view = retry_view(&pool->retry);

	if (now_us - pool->spent_logged_us < SPENT_LOG_US)
		return;
	pool->spent_logged_us = now_us;
	router_log(NULL, LOG_INFO, effects,
		   "event=retries-spent pool=%s retries=%d allowed=%.1f vms=%d",
		   pool->name, view.retries, view.allowed, view.vms);
}

enum result request_check_retry(const struct request *request,
				const struct retry_case *why, int64_t now_us,
				struct effects *effects)
{
	struct retry *retry = &request->queue->pool->retry;
	enum result code = retry_check(retry, why, now_us);

	if (code == RESULT_RETRY_BUDGET)
		log_spent(request, now_us, effects);
	return code;
}
