/*
 * Requests that got nothing for want of a free slot; see load/unserved.h.
 */
#include <string.h>

#include "load/router_state.h"

/* Older reports of a server's load don't tell why it rejected a request. */
#define REPORT_FRESH_US INT64_C(1000000)

/* Part of the time to its target that a request may wait for a slot. */
#define WAIT_MOST 0.15

/* A lack of slots seen longer ago says nothing of a request that waits now. */
#define FULL_US INT64_C(1000000)

static struct unserved_count *count_of(const struct request *request)
{
	return &request->queue->pool->outcomes[request->tier];
}

/* This VM's lower tiers needn't wait for what control VMs count. */
static void count_own(const struct request *request, int begun, int nothing,
		      int64_t now_us)
{
	const struct unserved_count count = { begun, nothing };
	struct pool *pool = request->queue->pool;
	double part;

	unserved_add(&pool->own, request->tier, &count, now_us);
	part = unserved_part(&pool->own, request->tier);
	if (nothing && part > 0)
		reserve_raise(&pool->reserve, request->tier, part, now_us);
}

void request_count_begun(struct request *request, int64_t now_us)
{
	if (request->counted)
		return;
	request->counted = true;
	count_of(request)->begun++;
	count_own(request, 1, 0, now_us);
}

/* Limits, times of rest and servers that are gone are no lack of slots. */
static bool lacks_slots(const struct request *request, int64_t now_us)
{
	return now_us - request->queue->pool->full_us < FULL_US;
}

/*
 * A request that waits is counted before it is known whether it gets a slot in
 * time: by then it is too late for others that came with it.
 */
void request_count_wait(struct request *request, int64_t now_us)
{
	int64_t due_us =
		request->target_us ? request->target_us : request->deadline_us;

	if (request->counted || !lacks_slots(request, now_us) ||
	    (double)(now_us - request->spec.arrived_us) <=
		    WAIT_MOST * (double)(due_us - request->spec.arrived_us))
		return;
	request->counted = true;
	count_of(request)->nothing++;
	count_own(request, 0, 1, now_us);
}

static bool got_nothing(const struct request *request, enum result code,
			int64_t now_us)
{
	switch (code) {
	case RESULT_QUEUE_FULL:
	case RESULT_DEADLINE_UNREACHABLE:
	case RESULT_EXPIRED:
		return lacks_slots(request, now_us);
	case RESULT_BACKEND_ERROR:
	case RESULT_RETRY_BUDGET:
		return request->found_full;
	default:
		return false;
	}
}

void request_count_ended(struct request *request, enum result code,
			 int64_t now_us)
{
	if (code == RESULT_OK) {
		request_count_begun(request, now_us);
	} else if (!request->counted && got_nothing(request, code, now_us)) {
		request->counted = true;
		count_of(request)->nothing++;
		count_own(request, 0, !request->found_full, now_us);
	}
}

/* Servers also reject requests for other reasons than a lack of slots. */
static bool found_full(const struct router *router,
		       const struct attempt *attempt,
		       const struct event_attempt_ended *ended, int64_t now_us)
{
	const struct backend *backend =
		fleet_find(router->options.fleet, attempt->address);

	return ended->code == RESULT_BACKEND_ERROR && !ended->sent &&
	       !attempt->sent && backend &&
	       now_us - backend->report_us < REPORT_FRESH_US &&
	       backend->running + backend->queued >= backend->slots;
}

void request_count_failed(const struct router *router, struct request *request,
			  const struct attempt *attempt,
			  const struct event_attempt_ended *ended,
			  int64_t now_us)
{
	if (!found_full(router, attempt, ended, now_us))
		return;
	request->found_full = true;
	count_own(request, 0, 1, now_us);
}

bool router_has_unserved(const struct router *router)
{
	struct pool *pool;
	struct pool *next;
	int tier;

	map_foreach(pool, next, &router->pools, node)
		for (tier = 0; tier < SCHED_TIERS; tier++)
			if (pool->outcomes[tier].nothing)
				return true;
	return false;
}

static bool has_outcomes(const struct pool *pool)
{
	int tier;

	for (tier = 0; tier < SCHED_TIERS; tier++)
		if (pool->outcomes[tier].begun || pool->outcomes[tier].nothing)
			return true;
	return false;
}

void router_take_unserved(struct router *router, unserved_visitor *visit,
			  void *data)
{
	struct pool *pool;
	struct pool *next;

	map_foreach(pool, next, &router->pools, node) {
		if (!pool->service || !has_outcomes(pool))
			continue;
		visit(data, pool->service, pool->outcomes);
		memset(pool->outcomes, 0, sizeof(pool->outcomes));
	}
}

void router_tier_short(struct router *router, const char *service, int tier,
		       double part, int64_t now_us)
{
	struct pool *pool = pool_get(router, NULL, service, now_us);

	reserve_raise(&pool->reserve, tier, part, now_us);
}
