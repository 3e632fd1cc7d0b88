#include <math.h>

#include "load/preempt.h"
#include "load/router_state.h"

static struct preempt_victim victim_of(const struct router *router,
				       const struct attempt *attempt,
				       const struct request *waiting,
				       int64_t now_us)
{
	const struct request *request = attempt->request;
	const struct backend *backend =
		fleet_find(router->options.fleet, attempt->address);
	struct pick_query query = {
		.adapter = waiting->spec.adapter,
	};
	struct preempt_victim victim = {
		.tier = request->tier,
		.idempotent = request->spec.idempotent,
		.by_floor = attempt->by_floor,
		.started_us = attempt->started_us,
	};

	if (request->estimate > 0)
		victim.done_fraction =
			(double)attempt->tokens / (double)request->estimate;
	victim.usable = backend && !attempt->cancelled &&
			pick_fits(backend, &query, &router->pick, now_us);
	return victim;
}

static struct attempt *pool_victim(const struct router *router,
				   const struct pool *pool,
				   const struct request *waiting,
				   int64_t now_us)
{
	struct preempt_victim best_victim = { 0 };
	struct attempt *best = NULL;
	struct attempt *attempt;

	list_foreach(attempt, &pool->running_list, in_pool) {
		struct preempt_victim victim;

		if (attempt->request->tier <= waiting->tier)
			continue;
		victim = victim_of(router, attempt, waiting, now_us);
		if (!preempt_allowed(&victim, waiting->tier))
			continue;
		if (best && !preempt_before(&victim, &best_victim))
			continue;
		best = attempt;
		best_victim = victim;
	}
	return best;
}

/* The next waiting request of the highest tier that is served. */
static struct request *pool_first_waiting(const struct pool *pool)
{
	struct sched_entry *best = NULL;
	struct sched_entry *entry;
	struct queue *queue;

	list_foreach(queue, &pool->queues, in_pool) {
		entry = sched_next(&queue->sched,
				   pool_lowest_served_tier(pool));
		if (!entry)
			continue;
		if (!best || sched_tier_of(entry) < sched_tier_of(best))
			best = entry;
	}
	return best ? container_of(best, struct request, entry) : NULL;
}

/*
 * How many of a tier's waiting requests won't get a slot in time without
 * preemption: slots become free one by one as running requests end.
 */
static int64_t pool_missing_slots(const struct pool *pool,
				  const struct request *first, int64_t now_us)
{
	double hold_us = pool->us_per_token * pool->mean_cost;
	double running = pool->running > 0 ? (double)pool->running : 1;
	double left_us = (double)(first->entry.due_us - now_us) -
			 pool->first_token_us - (double)PREEMPT_CANCEL_US;
	double waiting = (double)pool->pressure[first->tier].waiting;
	double by_itself;

	if (left_us < 0 || hold_us <= 0)
		return 0;
	by_itself = floor(left_us * running / hold_us);
	return waiting > by_itself ? (int64_t)(waiting - by_itself) : 0;
}

/** Preempt attempts of lower tiers for requests that would be late. */
void router_preempt(struct router *router, struct pool *pool, int64_t now_us,
		    struct effects *effects)
{
	struct request *waiting;
	struct attempt *victim;
	int64_t n;

	if (!router->options.features.preemption ||
	    !router->options.features.tiers)
		return;
	waiting = pool_first_waiting(pool);
	if (!waiting)
		return;
	n = pool_missing_slots(pool, waiting, now_us);
	while (pool->n_preempting < n) {
		victim = pool_victim(router, pool, waiting, now_us);
		if (!victim || !preempt_spend(&router->preempt,
					      victim->base + victim->tokens))
			return;
		pool->n_preempting++;
		attempt_cancel(victim, RESULT_PREEMPTED, effects);
	}
}
