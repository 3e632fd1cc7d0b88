#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/region.h"
#include "load/overdue.h"
#include "load/router_state.h"

/* Part of the target after which a waiting request causes pressure. */
#define POOL_PRESSURE_FRACTION 0.75

/*
 * Lower tiers stay closed for this long after the pressure ends. It may have
 * ended only because a request was shed; without the hold, lower tiers would
 * take returning capacity within the same second.
 */
#define POOL_PRESSURE_HOLD_US INT64_C(1250000)

/* Interval of counting members; at each decision it would cost too much. */
#define POOL_COUNT_US INT64_C(20000)

/*
 * Least time per member between two counts or listings, so that a pool of
 * thousands with frequent changes costs no more than a small one.
 */
#define POOL_MEMBER_US INT64_C(100)

/* Pools of up to this many members are listed again at each change. */
#define POOL_SMALL 256

/* Gain of running averages, over about 64 attempts. */
#define POOL_GAIN (1.0 / 64)

/* Gain of the running averages of one class, which has fewer attempts. */
#define POOL_CLASS_GAIN (1.0 / 16)

/* Half-life of the mean time of a class without completed requests. */
#define POOL_CLASS_HALF_US 2000000.0

/* Initial estimates of a request's cost in tokens and time per token. */
#define POOL_DEFAULT_COST 300.0
#define POOL_DEFAULT_US_PER_TOKEN 20000.0

/* Initial estimate of an engine's prefill rate, in tokens per second. */
#define POOL_DEFAULT_PREFILL_RATE 20000.0

/* Shorter prompts give no useful estimate of the prefill rate. */
#define POOL_PREFILL_MIN_TOKENS 4000

/* The best prefill rate decays by half in about 350 samples. */
#define POOL_PREFILL_DECAY 0.002

static bool pool_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct pool, node)->name, key);
}

static struct pool *pool_new(struct router *router, char *name, int64_t now_us)
{
	struct router_class *class;
	struct router_class *next;
	struct pool *pool = xcalloc(1, sizeof(*pool));
	int i;

	pool->name = name;
	pool->model = name[0] == 'm' ? name + 2 : NULL;
	pool->service = name[0] == 's' ? name + 2 : NULL;
	list_init(&pool->queues);
	list_init(&pool->running_list);
	retry_init(&pool->retry, router->options.features.retry_budget, now_us);
	retry_limit(&pool->retry, &router->retry_limit);
	floor_init(&pool->floor);
	divide_init(&pool->divide);
	pool->us_per_token = POOL_DEFAULT_US_PER_TOKEN;
	pool->mean_cost = POOL_DEFAULT_COST;
	pool->mean_log_cost = log(POOL_DEFAULT_COST);
	pool->prefill_rate = POOL_DEFAULT_PREFILL_RATE;
	pool->grant = -1;
	pool->local_pressured_tier = SCHED_TIERS;
	pool->global_pressured_tier = SCHED_TIERS;
	pool->full_us = INT64_MIN / 2;
	for (i = 0; i < SCHED_TIERS; i++) {
		list_init(&pool->pressure[i].order);
		pool->pressure[i].last_pressure_us = INT64_MIN / 2;
		pool->pressure[i].last_empty_us = now_us;
		pool->pressure[i].last_short_us = INT64_MIN / 2;
	}
	if (router->options.features.min_shares)
		map_foreach(class, next, &router->classes, node)
			floor_set(&pool->floor, class->id,
				  class->rule.min_share);
	map_insert(&router->pools, &pool->node, map_hash_text(name));
	return pool;
}

struct pool *pool_named(struct router *router, const char *name, int64_t now_us)
{
	struct map_node *node =
		map_find(&router->pools, map_hash_text(name), pool_match, name);

	if (!node)
		return pool_new(router, xstrdup(name), now_us);
	return container_of(node, struct pool, node);
}

struct pool *pool_get(struct router *router, const char *model,
		      const char *service, int64_t now_us)
{
	char *name = xstrfmt("%c:%s", service ? 's' : 'm',
			     service ? service : (model ? model : ""));
	struct pool *pool = pool_named(router, name, now_us);

	free(name);
	return pool;
}

void pool_free(struct router *router, struct pool *pool)
{
	struct queue *queue;
	struct queue *next;

	list_foreach_safe(queue, next, &pool->queues, in_pool)
		queue_free(queue);
	map_remove(&router->pools, &pool->node);
	free(pool->members);
	free(pool->name);
	free(pool);
}

/* List the members again after a change of the fleet. */
static void pool_list_members(const struct fleet *fleet, struct pool *pool,
			      int64_t now_us)
{
	struct backend *backend;
	struct backend *next;

	pool->n_members = 0;
	free(pool->members);
	pool->members =
		xcalloc(fleet->backends.count + 1, sizeof(*pool->members));
	map_foreach(backend, next, &fleet->backends, node)
		if (backend_serves(backend, pool->model, NULL, pool->service))
			pool->members[pool->n_members++] = backend;
	pool->fleet_version = fleet->version;
	pool->fleet_removals = fleet->removals;
	pool->listed_us = now_us;
	divide_mark(&pool->divide, pool->members, pool->n_members, now_us);
}

/* Whether all usable members have asked for time; it ends at `retry_at_us`. */
static bool pool_is_backed_off(struct pool *pool, int64_t now_us)
{
	int n_usable = 0;
	int i;

	pool->n_asked = 0;
	pool->n_backed_off = 0;
	pool->retry_at_us = INT64_MAX;
	for (i = 0; i < pool->n_members; i++) {
		const struct backend *member = pool->members[i];

		if (!backend_usable(member, now_us))
			continue;
		n_usable++;
		pool->n_asked += member->retry_at_us != 0;
		if (!backoff_holds(member, now_us))
			continue;
		pool->n_backed_off++;
		if (member->retry_at_us < pool->retry_at_us)
			pool->retry_at_us = member->retry_at_us;
	}
	return n_usable && n_usable == pool->n_backed_off;
}

/*
 * Sum up the load and the health-weighted slots of usable members. Those that
 * asked for time have none, unless there are no others.
 */
static void pool_count_members(const struct router *router, struct pool *pool,
			       int64_t now_us)
{
	double hold_us = pool->us_per_token * pool->mean_cost;
	int64_t silent_us = overdue_wait_us(pool->first_token_us);
	uint64_t version = 0;
	double weight;
	int i;

	pool->slots = 0;
	pool->cheap_slots = 0;
	pool->load = 0;
	pool->n_usable = 0;
	pool->n_cold = 0;
	pool->n_silent = 0;
	pool->versions_differ = false;
	pool->backed_off = pool_is_backed_off(pool, now_us);
	for (i = 0; i < pool->n_members; i++) {
		const struct backend *member = pool->members[i];

		if (!backend_usable(member, now_us))
			continue;
		pool->n_usable++;
		pool->n_silent += backend_is_silent(member, silent_us, now_us);
		if (!version)
			version = member->version_hash;
		pool->versions_differ |= version != member->version_hash;
		pool->n_cold += warmup_is_cold(member, now_us);
		if (backoff_holds(member, now_us) && !pool->backed_off)
			continue;
		weight = router->pick.stragglers
				 ? health_weight(&member->health, now_us)
				 : 1;
		*(member->cheap ? &pool->cheap_slots : &pool->slots) +=
			server_limit_slots(member, hold_us) * weight;
		pool->load += backend_load(member);
	}
	if (pool->slots + pool->cheap_slots > 0)
		pool->usable_us = now_us;
	pool->counted_us = now_us;
}

/* Freed members are removed at once; other changes of a large pool may wait. */
static bool pool_must_list(const struct pool *pool, const struct fleet *fleet,
			   int64_t now_us)
{
	if (pool->fleet_removals != fleet->removals)
		return true;
	if (pool->fleet_version == fleet->version)
		return false;
	return pool->n_members <= POOL_SMALL ||
	       now_us - pool->listed_us >= pool->n_members * POOL_MEMBER_US;
}

static bool pool_must_count(const struct pool *pool, int64_t now_us)
{
	int64_t age_us = now_us - pool->counted_us;

	return age_us >= POOL_COUNT_US &&
	       age_us >= pool->n_members * POOL_MEMBER_US;
}

void pool_refresh(struct router *router, struct pool *pool, int64_t now_us)
{
	const struct fleet *fleet = router->options.fleet;
	bool listed = pool_must_list(pool, fleet, now_us);
	struct divide_pool divided;

	if (listed)
		pool_list_members(fleet, pool, now_us);
	if (!listed && !pool_must_count(pool, now_us))
		return;
	pool_count_members(router, pool, now_us);
	divided = (struct divide_pool){ .vms = router->retry_limit.vms,
					.n = pool->n_members,
					.n_usable = pool->n_usable };
	if (divide_adjust(&pool->divide, &divided, now_us))
		divide_mark(&pool->divide, pool->members, pool->n_members,
			    now_us);
}

/*
 * A queue that hasn't been empty for twice a request's target is no burst but
 * a standing queue, which only adds delay (compare CoDel).
 */
bool request_in_standing_queue(const struct request *request, int64_t now_us)
{
	const struct pressure *pressure =
		&request->queue->pool->pressure[request->tier];
	int64_t target_us = request->target_us - request->spec.arrived_us;

	return pressure->waiting > 0 &&
	       now_us - pressure->last_empty_us > 2 * target_us;
}

double pool_own_slots(const struct router *router, const struct pool *pool)
{
	if (pool->grant < 0 || !router_shares(router))
		return pool->slots;
	return (double)pool->grant;
}

/* Expected wait by tier order, at the rate of this VM's slots. */
static double wait_by_tier(const struct pool *pool,
			   const struct request *request, double slots)
{
	double ahead = 0;
	struct queue *queue;

	list_foreach(queue, &pool->queues, in_pool)
		ahead += sched_work_ahead(&queue->sched,
					  request->organisation->id,
					  request->tier, 0);
	if (ahead <= 0 && (double)pool->running < slots)
		return 0;
	return (ahead + pool->mean_cost) * pool->us_per_token / slots;
}

/* Expected wait within the class, at the rate of its minimum share. */
static double wait_by_share(const struct pool *pool,
			    const struct request *request, double slots)
{
	int id = request->class->id;
	double share = pool->floor.classes[id].min_share;
	double ahead = request->entry.cost;
	struct queue *queue;

	if (share <= 0)
		return INFINITY;
	list_foreach(queue, &pool->queues, in_pool)
		ahead += sched_class_work(&queue->sched, id);
	ahead -= pool->floor.classes[id].credit;
	if (ahead < 0)
		ahead = 0;
	return ahead * pool->us_per_token / (slots * share);
}

/* Expected wait of reclaimable requests, at the rate of cheap servers. */
static double wait_by_cheap(const struct router *router,
			    const struct pool *pool,
			    const struct request *request)
{
	double slots = pool->cheap_slots * router_equal_share(router);
	double ahead = request->entry.cost;
	struct queue *queue;

	if (!request->queue->reclaimable || slots <= 0)
		return INFINITY;
	list_foreach(queue, &pool->queues, in_pool)
		if (queue->reclaimable)
			ahead += sched_work_ahead(&queue->sched,
						  request->organisation->id,
						  request->tier, 0);
	return ahead * pool->us_per_token / slots;
}

/**
 * Expected wait: the least by tier, minimum share and cheap servers, once a
 * server takes any.
 */
double pool_wait_us(const struct router *router, const struct pool *pool,
		    const struct request *request, int64_t now_us)
{
	double held_us = 0;
	double slots = pool_own_slots(router, pool);
	double by_tier;
	double by_share;
	double by_cheap;

	if (slots < 1)
		slots = 1;
	by_tier = wait_by_tier(pool, request, slots);
	by_share = wait_by_share(pool, request, slots);
	by_cheap = wait_by_cheap(router, pool, request);
	if (pool->backed_off && now_us < pool->retry_at_us)
		held_us = (double)(pool->retry_at_us - now_us);
	return held_us + fmin(by_cheap, fmin(by_tier, by_share));
}

void pool_record_cost(struct pool *pool, double cost, int64_t took_us)
{
	double gain;

	if (cost <= 0)
		return;
	gain = 1.0 / (double)++pool->n_samples;
	if (gain < POOL_GAIN)
		gain = POOL_GAIN;
	pool->mean_cost += gain * (cost - pool->mean_cost);
	pool->mean_log_cost += gain * (log(cost) - pool->mean_log_cost);
	/* Weighted by cost, so that it converges to total time / total cost. */
	gain *= cost / pool->mean_cost;
	if (gain > 1)
		gain = 1;
	pool->us_per_token +=
		gain * ((double)took_us / cost - pool->us_per_token);
}

void pool_record_time(struct pool *pool, int class_id, int64_t took_us,
		      int64_t now_us)
{
	struct class_time *time = &pool->times[class_id];

	if (time->mean_us <= 0)
		time->mean_us = (double)took_us;
	time->mean_us += ((double)took_us - time->mean_us) * POOL_CLASS_GAIN;
	time->at_us = now_us;
}

/*
 * The mean is kept by class, since the cost in tokens doesn't predict the time:
 * a long prompt takes less time than a short one with a long answer, and when
 * most requests were of the latter kind, long prompts were refused for a time
 * that they didn't need. A class whose requests are all refused gives no new
 * samples, so its mean decays until a request is admitted again.
 */
double pool_class_us(const struct pool *pool, int class_id, int64_t now_us)
{
	const struct class_time *time = &pool->times[class_id];
	int64_t age_us = now_us - time->at_us;

	return time->mean_us * exp2(-(double)age_us / POOL_CLASS_HALF_US);
}

void pool_record_prompt(struct pool *pool, int64_t prompt_tokens)
{
	if (pool->mean_prompt <= 0)
		pool->mean_prompt = (double)prompt_tokens;
	pool->mean_prompt +=
		((double)prompt_tokens - pool->mean_prompt) * POOL_GAIN;
}

/*
 * The prefill rate of an engine is the best recent sample. The time to first
 * token includes other work of the engine, so a mean would be far too low.
 */
void pool_record_prefill(struct pool *pool, int64_t tokens, int64_t took_us)
{
	double rate;

	if (tokens < POOL_PREFILL_MIN_TOKENS || took_us <= 0)
		return;
	rate = (double)tokens * 1e6 / (double)took_us;
	pool->prefill_rate *= 1 - POOL_PREFILL_DECAY;
	if (rate > pool->prefill_rate)
		pool->prefill_rate = rate;
}

int pool_lowest_served_tier(const struct pool *pool)
{
	int lowest = SCHED_TIERS - 1;

	if (pool->local_pressured_tier < lowest)
		lowest = pool->local_pressured_tier;
	if (pool->global_pressured_tier < lowest)
		lowest = pool->global_pressured_tier;
	return lowest;
}

static bool tier_under_pressure(const struct pressure *pressure, int64_t now_us)
{
	const struct request *oldest;
	int64_t due_us;

	oldest = list_first(&pressure->order, struct request, in_tier);
	if (!oldest)
		return false;
	due_us = oldest->target_us ? oldest->target_us : oldest->deadline_us;
	/* Counted from the last enqueueing: a retry is late because of its server. */
	return (double)(now_us - oldest->waiting_since_us) >
	       POOL_PRESSURE_FRACTION *
		       (double)(due_us - oldest->spec.arrived_us);
}

/* Whether the tier is under pressure or was within the hold time. */
static bool tier_recently_under_pressure(struct pressure *pressure,
					 int64_t now_us)
{
	if (tier_under_pressure(pressure, now_us))
		pressure->last_pressure_us = now_us;
	return now_us - pressure->last_pressure_us < POOL_PRESSURE_HOLD_US;
}

/* Update which tier is under pressure and since when lower tiers are closed. */
void pool_update_pressure(struct router *router, struct pool *pool,
			  int64_t now_us)
{
	int global;
	int tier;

	pool->local_pressured_tier = SCHED_TIERS;
	for (tier = SCHED_TIERS - 1; tier >= 0; tier--)
		if (tier_recently_under_pressure(&pool->pressure[tier], now_us))
			pool->local_pressured_tier = tier;
	global = router_shares(router) ? pool->global_pressured_tier
				       : pool->local_pressured_tier;
	for (tier = 0; tier < SCHED_TIERS; tier++) {
		if (global > tier)
			pool->lower_closed_us[tier] = 0;
		else if (!pool->lower_closed_us[tier])
			pool->lower_closed_us[tier] = now_us;
	}
}
