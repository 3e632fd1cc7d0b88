#include <math.h>
#include <string.h>

#include "load/overdue.h"
#include "load/router_state.h"

/* Slots kept free for the top tier, per square root of its running requests. */
#define DISPATCH_HEADROOM 1.5

/* Long requests stay capped for this long after the last short request. */
#define DISPATCH_SHORT_US INT64_C(10000000)

static struct request *entry_request(struct sched_entry *entry)
{
	return container_of(entry, struct request, entry);
}

/* The next request of a class whose minimum share is due. */
static struct request *pool_next_floor(const struct pool *pool)
{
	struct sched_entry *entry;
	struct queue *queue;
	int id;

	for (id = 0; id < pool->floor.highest; id++) {
		if (!pool->waiting_by_class[id])
			continue;
		list_foreach(queue, &pool->queues, in_pool) {
			if (queue->blocked)
				continue;
			entry = sched_next_of_class(&queue->sched, id);
			if (entry && floor_due(&pool->floor, id, entry->cost))
				return entry_request(entry);
		}
	}
	return NULL;
}

/* The next request by tier; among the queues of a tier, by due time. */
static struct request *pool_next_tier(const struct pool *pool)
{
	int lowest = pool_lowest_served_tier(pool);
	struct sched_entry *best = NULL;
	struct sched_entry *entry;
	struct queue *queue;
	int tier = SCHED_TIERS;

	list_foreach(queue, &pool->queues, in_pool) {
		if (queue->blocked)
			continue;
		entry = sched_next(&queue->sched, lowest);
		if (!entry || sched_tier_of(entry) > tier)
			continue;
		if (best && sched_tier_of(entry) == tier &&
		    best->due_us <= entry->due_us)
			continue;
		best = entry;
		tier = sched_tier_of(entry);
	}
	return best ? entry_request(best) : NULL;
}

/*
 * Slots that a lower tier keeps free for the next request of a higher tier.
 * Each VM has only a part of the pool (55 slots with seven VMs), in which slots
 * are freed too rarely for a target of half a second. A demand of n slots
 * varies by its square root (square-root staffing, Halfin and Whitt 1981).
 */
static int64_t pool_headroom(const struct pool *pool, int tier)
{
	int i;

	for (i = 0; i < tier; i++)
		if (pool->running_by_tier[i])
			return (int64_t)(DISPATCH_HEADROOM *
					 sqrt((double)pool
						      ->running_by_tier[i]));
	return 0;
}

static bool pool_has_share(const struct router *router, const struct pool *pool,
			   const struct request *request, bool by_floor)
{
	int64_t own = (int64_t)pool_own_slots(router, pool);

	if (!router_limits_pool(router))
		return true;
	/*
	 * Headroom doesn't apply to minimum shares: if the top tier filled
	 * every slot, the class would starve, and its accumulated credit would
	 * be served all at once when slots become free.
	 */
	if (!by_floor)
		own -= pool_headroom(pool, request->tier);
	return pool->running < own;
}

/*
 * Only usable members count. Draining servers are still members but accept no
 * requests; when they were counted, a request avoided the only remaining
 * server until it expired.
 */
static bool has_other(const struct pool *pool, const struct pick_query *query,
		      int64_t now_us)
{
	int i;

	for (i = 0; i < pool->n_members; i++)
		if (backend_usable(pool->members[i], now_us) &&
		    !backoff_holds(pool->members[i], now_us) &&
		    backend_in_regions(pool->members[i], query->regions) &&
		    (!query->version ||
		     query->version == pool->members[i]->version_hash) &&
		    strcmp(pool->members[i]->address, query->avoid) != 0)
			return true;
	return false;
}

/*
 * One that was turned away goes to a server that takes requests, and only
 * without such a server to one that may or may not.
 */
static struct backend *pick_proven(struct router *router,
				   const struct pool *pool,
				   struct pick_query *query, int64_t now_us)
{
	struct backend *backend;

	query->proven = query->avoid != NULL;
	backend = pick_backend(&router->pick, query, pool->members,
			       pool->n_members, &router->rng, now_us);
	if (backend || !query->proven || !pool->n_asked)
		return backend;
	query->proven = false;
	return pick_backend(&router->pick, query, pool->members,
			    pool->n_members, &router->rng, now_us);
}

/* While some servers are silent the others get the requests. */
static struct backend *pick_live(struct router *router, const struct pool *pool,
				 struct pick_query *query, int64_t now_us)
{
	int64_t silent_us = query->silent_us;
	struct backend *backend;

	backend = pick_proven(router, pool, query, now_us);
	if (backend || !silent_us)
		return backend;
	query->silent_us = 0;
	backend = pick_proven(router, pool, query, now_us);
	query->silent_us = silent_us;
	return backend;
}

/* A stream that was given up at a silent server isn't to wait a second time. */
static int64_t request_silent_us(const struct request *request)
{
	const struct pool *pool = request->queue->pool;

	if (!request->spec.stream)
		return 0;
	if (request->left_silent)
		return SILENCE_LIVE_US;
	return pool->n_silent && pool->n_silent < pool->n_usable
		       ? overdue_wait_us(pool->first_token_us)
		       : 0;
}

/* Avoid the server of the failed attempt unless there is no other. */
static struct backend *pick_avoiding(struct router *router,
				     const struct pool *pool,
				     struct pick_query *query, int64_t now_us)
{
	struct backend *backend;

	backend = pick_live(router, pool, query, now_us);
	if (backend || !query->avoid || has_other(pool, query, now_us))
		return backend;
	query->avoid = NULL;
	return pick_live(router, pool, query, now_us);
}

/*
 * Whether this VM has enough slots for some on each server. If not, its part
 * of many servers is zero slots, and it chooses among all servers by load.
 */
static bool parts_reach(const struct pool *pool, double own_slots)
{
	return own_slots >= 2.0 * pool->n_members;
}

struct place_query request_place(const struct router *router,
				 const struct request *request)
{
	const struct pool *pool = request->queue->pool;
	struct divide_query side = {
		.pause_us = request->class->rule.pause_us,
		.prompt_tokens = request->spec.prompt_tokens,
		.mean_prompt = pool->mean_prompt,
		.prefill_rate = pool->prefill_rate,
	};
	struct place_query query = {
		.prefix_hash = request->spec.prefix_hash,
		.shared_tokens = request->spec.shared_tokens,
		.prompt_tokens = request->spec.prompt_tokens,
		.divided = pool->mean_prompt > 0,
		.paced = divide_is_paced(&pool->divide, &side),
		.prefill_rate = pool->prefill_rate,
		.zone = router->zone,
		.regions = request->spec.regions,
		.prefix =
			prefix_find(&router->prefix, request->spec.prefix_hash),
		.vm = router->vm,
	};

	return query;
}

/* Whether the queue's next request may go before this one. */
static bool has_precedence(const struct queue *queue,
			   const struct request *request)
{
	struct sched_entry *next = sched_next(&queue->sched, request->tier);

	return next && (!entry_request(next)->is_long || request->is_long);
}

/*
 * Streams that wait to go on have the servers of one version alone. Without
 * this a burst of other requests, which wait for longer, takes each slot that
 * these servers free.
 */
static void reserve_versions(const struct pool *pool,
			     const struct request *request,
			     struct pick_query *query)
{
	const struct queue *queue;

	if (request->spec.version || !pool->versions_differ)
		return;
	list_foreach(queue, &pool->queues, in_pool)
		if (queue->version && query->n_reserved < PICK_RESERVED_MOST &&
		    has_precedence(queue, request))
			query->reserved[query->n_reserved++] =
				(struct pick_reserved){ queue->version,
							queue->regions };
}

/*
 * Reclaimable requests are sent to cheap servers first: these cost less, and
 * no other requests may use them. The VMs have equal parts of them.
 */
static struct backend *request_pick(struct router *router,
				    struct request *request, bool by_floor,
				    int64_t now_us)
{
	struct pool *pool = request->queue->pool;
	struct pick_query query = {
		.adapter = request->spec.adapter,
		.zone = router->zone,
		.avoid = request->avoid[0] ? request->avoid : NULL,
		.regions = request->spec.regions,
		.version = request->spec.version,
		.silent_us = request_silent_us(request),
		.prompt_tokens = request->spec.prompt_tokens,
		.hold_us = pool->us_per_token * pool->mean_cost,
	};
	double slots = pool->slots + pool->cheap_slots;
	struct backend *backend = NULL;
	int tier;

	query.mean_load = slots > 0 ? pool->load / slots : 0;
	if (!by_floor) {
		reserve_versions(pool, request, &query);
		query.leave_free =
			reserve_below(&pool->reserve, request->tier, now_us);
	}

	if (request->spec.prefix_hash)
		query.prefix =
			prefix_find(&router->prefix, request->spec.prefix_hash);
	query.place = request_place(router, request);
	query.place.tie_seed = query.place.prefix_hash ? query.place.prefix_hash
						       : rng_next(&router->rng);
	for (tier = 0; request->is_long && tier <= request->tier; tier++)
		query.cap_long |= now_us - pool->pressure[tier].last_short_us <
				  DISPATCH_SHORT_US;
	if (request->queue->reclaimable && pool->cheap_slots > 0) {
		query.cheap = true;
		if (router_shares(router) &&
		    parts_reach(pool,
				pool->cheap_slots * router_equal_share(router)))
			router_equal_bounds(router, &query.share_begin,
					    &query.share_end);
		backend = pick_avoiding(router, pool, &query, now_us);
	}
	if (backend || !pool_has_share(router, pool, request, by_floor))
		return backend;
	query.leaving =
		request->spec.version && !request_has_server(request, now_us);
	query.cheap = false;
	query.share_begin = 0;
	query.share_end = 0;
	if (router_shares(router) && parts_reach(pool, (double)pool->grant)) {
		query.share_begin = pool->share_begin;
		query.share_end = pool->share_end;
	}
	backend = pick_avoiding(router, pool, &query, now_us);
	if (!backend && pick_any_full(&router->pick, &query, pool->members,
				      pool->n_members, now_us))
		pool->full_us = now_us;
	if (backend || !pool->n_cold)
		return backend;
	query.cold = true;
	query.vm = (struct warmup_vm){ router->options.self,
				       router->retry_limit.vms };
	return pick_avoiding(router, pool, &query, now_us);
}

/*
 * Why a waiting request is not to be sent: its deadline has passed, or its
 * target has passed and it waits in a standing queue, or it is held since
 * servers crashed under one with the same fingerprint.
 */
static enum result request_obstacle(struct router *router,
				    const struct request *request,
				    int64_t now_us)
{
	const struct pool *pool = request->queue->pool;

	if (now_us >= request->deadline_us ||
	    (request->spec.send_by_us && now_us > request->spec.send_by_us))
		return RESULT_EXPIRED;
	if (request_held_ms(router, request, now_us))
		return RESULT_POISON;
	if (request_version_gone(request, now_us))
		return RESULT_VERSION_GONE;
	if (request_is_backed_off(router, request, now_us))
		return RESULT_NO_CAPACITY;
	if (router->options.features.early_refusal && !request->n_attempts &&
	    request->target_us && now_us > request->target_us &&
	    request_in_standing_queue(request, now_us) &&
	    router_may_shed(router, pool, request->tier, now_us))
		return RESULT_DEADLINE_UNREACHABLE;
	return RESULT_OK;
}

static void refuse_waiting(struct router *router, struct request *request,
			   enum result code, int64_t now_us,
			   struct effects *effects)
{
	int64_t retry_after_ms =
		code == RESULT_POISON
			? request_held_ms(router, request, now_us)
			: request_retry_after_ms(router, request, now_us);

	request_refuse(router, request, code, retry_after_ms, now_us, effects);
}

static void request_serve(struct router *router, struct request *request,
			  struct backend *backend, bool by_floor,
			  int64_t now_us, struct effects *effects)
{
	struct queue *queue = request->queue;
	struct pool *pool = queue->pool;
	bool waits[SCHED_CLASSES];
	int id;

	request_count_wait(request, now_us);
	sched_serve(&queue->sched, &request->entry);
	request_dequeue(router, request);
	for (id = 0; id < pool->floor.highest; id++)
		waits[id] = pool->waiting_by_class[id] > 0;
	floor_served(&pool->floor, request->class->id, request->entry.cost,
		     waits);
	router_span(router, request, "queue", request->waiting_since_us, now_us,
		    RESULT_OK, NULL, effects);
	attempt_start(router, request, backend, by_floor, now_us, effects);
}

void router_dispatch(struct router *router, struct pool *pool, int64_t now_us,
		     struct effects *effects)
{
	struct request *request;
	struct backend *backend;
	struct queue *queue;
	bool floors = true;
	bool by_floor;
	enum result code;

	if (pool->paused)
		return;
	pool_refresh(router, pool, now_us);
	pool_update_pressure(router, pool, now_us);
	list_foreach(queue, &pool->queues, in_pool)
		queue->blocked = false;
	for (;;) {
		request = floors ? pool_next_floor(pool) : NULL;
		by_floor = request != NULL;
		if (!request)
			request = pool_next_tier(pool);
		if (!request)
			break;
		code = request_obstacle(router, request, now_us);
		if (code) {
			refuse_waiting(router, request, code, now_us, effects);
			continue;
		}
		backend = request_pick(router, request, by_floor, now_us);
		if (backend)
			request_serve(router, request, backend, by_floor,
				      now_us, effects);
		else if (by_floor)
			floors = false;
		else
			request->queue->blocked = true;
		if (!backend)
			request_count_wait(request, now_us);
	}
	if (pool->pressure[0].waiting || pool->pressure[1].waiting ||
	    pool->pressure[2].waiting)
		router_preempt(router, pool, now_us, effects);
}

void router_pause(struct router *router, const char *service, bool paused,
		  int64_t now_us, struct effects *effects)
{
	struct pool *pool = pool_get(router, NULL, service, now_us);

	if (pool->paused == paused)
		return;
	pool->paused = paused;
	router_dispatch(router, pool, now_us, effects);
}
