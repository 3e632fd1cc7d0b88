/*
 * Retries of failed attempts within the limits of load/retry.h.
 */
#include <stdio.h>

#include "load/router_state.h"

/* Interval of the log lines of a pool whose retries are spent. */
#define SPENT_LOG_US INT64_C(1000000)

static void log_spent(struct pool *pool, int64_t now_us,
		      struct effects *effects)
{
	struct retry_view view = retry_view(&pool->retry);

	if (now_us - pool->spent_logged_us < SPENT_LOG_US)
		return;
	pool->spent_logged_us = now_us;
	router_log(NULL, LOG_INFO, effects,
		   "event=retries-spent pool=%s retries=%d allowed=%.1f vms=%d",
		   pool->name, view.retries, view.allowed, view.vms);
}

static struct retry_report new_report(const struct pool *pool, int64_t now_us)
{
	struct retry_report report = {
		.made_us = now_us,
		.step_us = pool->retry.limit.window_us / RETRY_STEPS,
	};

	snprintf(report.pool, sizeof(report.pool), "%s", pool->name);
	return report;
}

static void report_spent(struct router *router, struct pool *pool,
			 int64_t now_us)
{
	const struct router_hooks *hooks = &router->options.hooks;
	struct retry_report report = new_report(pool, now_us);

	if (hooks->retried && retry_report(&pool->retry, &report.window))
		hooks->retried(hooks->data, &report);
}

enum result request_check_retry(struct router *router,
				const struct request *request,
				const struct retry_case *why, int64_t now_us,
				struct effects *effects)
{
	struct pool *pool = request->queue->pool;
	enum result code = retry_check(&pool->retry, why, now_us);

	if (code == RESULT_RETRY_BUDGET)
		log_spent(pool, now_us, effects);
	if (code == RESULT_OK)
		report_spent(router, pool, now_us);
	return code;
}

void router_visit_retries(struct router *router, int64_t now_us,
			  retry_history_visitor *visit, void *data)
{
	struct pool *pool;
	struct pool *next;

	map_foreach(pool, next, &router->pools, node) {
		struct retry_report report = new_report(pool, now_us);

		if (retry_report_again(&pool->retry, &report.window))
			visit(data, &report);
	}
}

void router_set_past_retries(struct router *router, const char *pool,
			     const struct retry_window *past, int64_t now_us)
{
	retry_set_past(&pool_named(router, pool, now_us)->retry, past);
}

void router_limit_retries(struct router *router,
			  const struct retry_limit *limit)
{
	struct pool *pool;
	struct pool *next;

	router->retry_limit = *limit;
	map_foreach(pool, next, &router->pools, node)
		retry_limit(&pool->retry, limit);
}
