/*
 * Requests whose servers have all asked this VM for time; see load/backoff.h.
 */
#include "load/router_state.h"

int64_t request_backoff_us(const struct request *request, int64_t now_us)
{
	const struct pool *pool = request->queue->pool;
	int64_t retry_at_us = INT64_MAX;
	int i;

	if (!pool->n_backed_off)
		return 0;
	for (i = 0; i < pool->n_members; i++) {
		const struct backend *member = pool->members[i];

		if (!backend_usable(member, now_us) ||
		    !request_may_run_at(request, member) ||
		    (member->cheap && !request->queue->reclaimable))
			continue;
		if (!backoff_holds(member, now_us))
			return 0;
		if (member->retry_at_us < retry_at_us)
			retry_at_us = member->retry_at_us;
	}
	return retry_at_us == INT64_MAX ? 0 : retry_at_us - now_us;
}

bool request_is_backed_off(const struct router *router,
			   const struct request *request, int64_t now_us)
{
	int64_t wait_us = request_backoff_us(request, now_us);

	/* The first server that takes any may get another request first. */
	return wait_us &&
	       now_us + wait_us + BACKOFF_TRIAL_US +
			       request_needs_us(router, request, now_us) >
		       request->deadline_us;
}

static void refuse_late(struct router *router, struct pool *pool,
			int64_t now_us, struct effects *effects)
{
	struct request *request;
	struct request *next;
	int tier;

	for (tier = 0; tier < SCHED_TIERS; tier++)
		list_foreach_safe(request, next, &pool->pressure[tier].order,
				  in_tier)
			if (request_is_backed_off(router, request, now_us))
				request_refuse(router, request,
					       RESULT_NO_CAPACITY,
					       request_retry_after_ms(router,
								      request,
								      now_us),
					       now_us, effects);
}

void router_backed_off(struct router *router, const char *service,
		       int64_t now_us, struct effects *effects)
{
	struct pool *pool = pool_get(router, NULL, service, now_us);

	pool->counted_us = INT64_MIN / 2;
	pool_refresh(router, pool, now_us);
	refuse_late(router, pool, now_us, effects);
}
