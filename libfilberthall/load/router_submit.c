#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/region.h"
#include "load/router_state.h"

/* Cost of a prompt token relative to an output token. */
#define SUBMIT_PROMPT_COST 0.1

/* Most waiting requests on one VM, all classes: up to about 100 MB. */
#define SUBMIT_MAX_WAITING 100000

/* Default deadline of a class. */
#define SUBMIT_DEADLINE_US INT64_C(300000000)

/* Time without a usable server after which a pool's requests are refused. */
#define SUBMIT_EMPTY_US INT64_C(10000000)

/* Samples a pool needs before requests are refused by its estimates. */
#define SUBMIT_MIN_SAMPLES 8

/* A request is long if its cost exceeds the geometric mean this many times. */
#define SUBMIT_LONG_RATIO 4.0

/*
 * Time for which lower tiers must have been closed before a request may be
 * shed: four rounds of shares, so that all VMs have received the grants.
 */
#define SUBMIT_CLOSED_US INT64_C(1000000)

static bool class_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct router_class, node)->rule.name,
		       key);
}

static struct router_class *class_find(const struct router *router,
				       const char *name)
{
	struct map_node *node;

	if (!name)
		return NULL;
	node = map_find(&router->classes, map_hash_text(name), class_match,
			name);
	return node ? container_of(node, struct router_class, node) : NULL;
}

static bool key_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct key_use, node)->id, key);
}

/* Find or add a key; its limits are part of each request. */
static struct key_use *key_get(struct router *router,
			       const struct router_request *ask, int64_t now_us)
{
	struct quota_limits limits = {
		.max_concurrent = ask->key_max_concurrent,
		.requests_per_min = ask->key_requests_per_min,
	};
	struct map_node *node;
	struct key_use *key;

	if (!ask->key_id ||
	    (!limits.max_concurrent && !limits.requests_per_min))
		return NULL;
	node = map_find(&router->keys, map_hash_text(ask->key_id), key_match,
			ask->key_id);
	if (node) {
		key = container_of(node, struct key_use, node);
		quota_set_limits(&key->quota, &limits, now_us);
	} else {
		key = xcalloc(1, sizeof(*key));
		key->id = xstrdup(ask->key_id);
		quota_init(&key->quota, &limits, now_us);
		map_insert(&router->keys, &key->node, map_hash_text(key->id));
	}
	key->used_us = now_us;
	return key;
}

static void request_copy_text(struct request *request)
{
	struct router_request *ask = &request->spec;

	ask->organisation = xstrdup(ask->organisation ? ask->organisation : "");
	ask->key_id = xstrdup(ask->key_id);
	ask->class_name = xstrdup(ask->class_name);
	ask->model = xstrdup(ask->model);
	ask->adapter = xstrdup(ask->adapter);
	ask->service = xstrdup(ask->service);
	ask->body_hash = xstrdup(ask->body_hash);
	ask->trace = xstrdup(ask->trace);
	ask->parts =
		(void *)xmemdup(ask->parts, ask->n_parts * sizeof(*ask->parts));
}

static void request_set_times(struct request *request)
{
	const struct class_rule *rule = &request->class->rule;
	int64_t arrived_us = request->spec.arrived_us;

	request->deadline_us = request->spec.deadline_us;
	if (!request->deadline_us)
		request->deadline_us =
			arrived_us + (rule->deadline_us ? rule->deadline_us
							: SUBMIT_DEADLINE_US);
	/* Without streaming, the caller doesn't see the first token. */
	request->target_us = 0;
	if (request->spec.stream && rule->first_token_us)
		request->target_us = arrived_us + rule->first_token_us;
}

/** Set tier, targets and server kind of a request by its class. */
void request_apply_class(struct router *router, struct request *request)
{
	const struct class_rule *rule = &request->class->rule;

	request->tier = router->options.features.tiers ? rule->tier : 0;
	request_set_times(request);
	request_set_queue(router, request, request->queue->pool,
			  rule->reclaimable);
}

static struct request *request_new(struct router *router,
				   const struct router_request *ask,
				   struct router_class *class, int64_t now_us)
{
	struct request *request = xcalloc(1, sizeof(*request));

	request->spec = *ask;
	request_copy_text(request);
	list_init(&request->attempts);
	list_init(&request->in_class);
	list_init(&request->in_tier);
	list_init(&request->entry.order);
	request->class = class;
	class->n_requests++;
	request->organisation =
		organisation_get(router, request->spec.organisation, now_us);
	request->organisation->n_requests++;
	request->key = key_get(router, ask, now_us);
	if (request->key)
		request->key->n_requests++;
	request->tier = router->options.features.tiers ? class->rule.tier : 0;
	request->prompt_tokens = ask->prompt_tokens;
	request_name_parts(request);
	if (router->options.features.poison)
		request->fingerprint =
			poison_fingerprint(request->spec.organisation,
					   ask->body_hash);
	request_set_times(request);
	map_insert(&router->requests, &request->node,
		   map_hash(&request->spec.id, sizeof(request->spec.id)));
	return request;
}

static void request_estimate(const struct router *router,
			     struct request *request)
{
	const struct router_request *ask = &request->spec;

	if (!ask->model)
		request->estimate = 0;
	else if (router->options.features.length_estimate)
		request->estimate =
			length_mean(&router->length, ask->class_name,
				    ask->model, ask->max_tokens);
	else
		request->estimate = ask->max_tokens ? ask->max_tokens
						    : LENGTH_UNKNOWN_TOKENS;
	request->entry.cost = 1 + (double)request->estimate +
			      SUBMIT_PROMPT_COST * (double)ask->prompt_tokens;
}

/** Estimated time of an attempt, by recent requests of the class. */
int64_t request_needs_us(const struct router *router,
			 const struct request *request, int64_t now_us)
{
	const struct pool *pool = request->queue->pool;

	(void)router;
	return (int64_t)pool_class_us(pool, request->class->id, now_us);
}

/**
 * Retry-After: when the first server takes requests again, if none does now;
 * else the expected wait, rounded up to a second.
 */
int64_t request_retry_after_ms(const struct router *router,
			       const struct request *request, int64_t now_us)
{
	int64_t held_us = request_backoff_us(request, now_us);
	double wait_us =
		pool_wait_us(router, request->queue->pool, request, now_us);

	if (held_us)
		return (held_us + 999) / 1000;
	return ((int64_t)(wait_us / 1e6) + 1) * 1000;
}

/**
 * Whether a request of this tier may be shed: only while no lower tier gets
 * more than its minimum share, here or on another VM.
 */
bool router_may_shed(const struct router *router, const struct pool *pool,
		     int tier, int64_t now_us)
{
	struct router_class *class;
	struct router_class *next;
	bool has_lower = false;

	if (!router->options.features.tiers)
		return true;
	map_foreach(class, next, &router->classes, node)
		has_lower |= class->rule.tier > tier;
	if (!has_lower)
		return true;
	return pool->lower_closed_us[tier] &&
	       now_us - pool->lower_closed_us[tier] >= SUBMIT_CLOSED_US;
}

/* Whether the deadline, or in a standing queue the target, will be missed. */
static bool request_is_late(const struct router *router,
			    const struct request *request, int64_t now_us)
{
	const struct pool *pool = request->queue->pool;
	int64_t wait_us = (int64_t)pool_wait_us(router, pool, request, now_us);
	int64_t first_us = (int64_t)pool->first_token_us;

	/* The initial estimates are no reason to refuse a request. */
	if (pool->n_samples < SUBMIT_MIN_SAMPLES)
		return false;

	if (now_us + wait_us + request_needs_us(router, request, now_us) >
	    request->deadline_us)
		return true;
	return request->target_us &&
	       request_in_standing_queue(request, now_us) &&
	       now_us + wait_us + first_us > request->target_us;
}

/* What request_is_late() goes by. */
static void log_late(const struct router *router, const struct request *request,
		     int64_t now_us, struct effects *effects)
{
	const struct pool *pool = request->queue->pool;
	const struct pressure *pressure = &pool->pressure[request->tier];

	router_log(
		request, LOG_INFO, effects,
		"event=late wait_ms=%lld needs_ms=%lld first_ms=%lld "
		"left_ms=%lld target_ms=%lld standing=%d queued_ms=%lld "
		"waiting=%lld running=%lld slots=%.0f servers=%d "
		"version=%llx",
		(long long)(pool_wait_us(router, pool, request, now_us) / 1000),
		(long long)(request_needs_us(router, request, now_us) / 1000),
		(long long)(pool->first_token_us / 1000),
		(long long)((request->deadline_us - now_us) / 1000),
		(long long)(request->target_us
				    ? (request->target_us - now_us) / 1000
				    : 0),
		request_in_standing_queue(request, now_us),
		(long long)((now_us - pressure->last_empty_us) / 1000),
		(long long)pressure->waiting, (long long)pool->running,
		pool_own_slots(router, pool), pool->n_usable,
		(unsigned long long)request->spec.version);
}

/** Add a request to its queue. */
void request_enqueue(struct router *router, struct request *request,
		     int64_t now_us)
{
	const struct router_features *features = &router->options.features;
	struct queue *queue = request->queue;
	struct pool *pool = queue->pool;
	struct pressure *pressure = &pool->pressure[request->tier];
	struct sched_entry *entry = &request->entry;

	request->state = REQUEST_WAITING;
	request->waiting_since_us = now_us;
	entry->sequence = ++router->sequence;
	entry->due_us =
		request->target_us ? request->target_us : request->deadline_us;
	if (!features->fairness)
		entry->due_us = request->spec.arrived_us;
	sched_push(&queue->sched, entry, request->class->id,
		   features->fairness ? request->organisation->id : 0);
	if (!pressure->waiting++)
		pressure->last_empty_us = now_us;
	list_append(&pressure->order, &request->in_tier);
	if (!request->is_long)
		pressure->last_short_us = now_us;
	pool->waiting_by_class[request->class->id]++;
	request->class->waiting++;
	router->waiting++;
	list_append(&request->class->order, &request->in_class);
	request_update_timer(router, request, now_us);
}

/** Remove a request from its queue. */
void request_dequeue(struct router *router, struct request *request)
{
	struct pool *pool = request->queue->pool;

	sched_remove(&request->queue->sched, &request->entry);
	pool->pressure[request->tier].waiting--;
	pool->waiting_by_class[request->class->id]--;
	request->class->waiting--;
	router->waiting--;
	list_remove(&request->in_class);
	list_remove(&request->in_tier);
}

static struct request *entry_request(struct sched_entry *entry)
{
	return container_of(entry, struct request, entry);
}

/*
 * If the class's queue is full, evict the newest request of the organisation
 * with the most entries, unless that is the new request's organisation.
 */
static struct request *class_victim(const struct request *request)
{
	const struct sched *sched = &request->queue->sched;
	struct sched_entry *entry;

	entry = sched_newest_of_longest(sched, request->class->id);
	if (!entry || entry->organisation == request->organisation->id)
		return NULL;
	return entry_request(entry);
}

/* The newest request of the lowest tier, if that is below the request's tier. */
static struct request *lowest_victim(const struct router *router,
				     const struct request *request)
{
	struct router_class *worst = NULL;
	struct router_class *class;
	struct router_class *next;

	map_foreach(class, next, &router->classes, node) {
		if (!class->waiting || class->rule.tier <= request->tier)
			continue;
		if (!worst || class->rule.tier > worst->rule.tier ||
		    (class->rule.tier == worst->rule.tier &&
		     class->waiting > worst->waiting))
			worst = class;
	}
	if (!worst)
		return NULL;
	return list_last(&worst->order, struct request, in_class);
}

/* Make room in the queues; false if the new request must be refused. */
static bool router_make_room(struct router *router, struct request *request,
			     int64_t now_us, struct effects *effects)
{
	const struct router_class *class = request->class;
	int64_t bound = class->rule.queue_bound;
	struct request *victim = NULL;

	if (bound && class->waiting >= bound)
		victim = class_victim(request);
	else if (router->waiting >= SUBMIT_MAX_WAITING)
		victim = lowest_victim(router, request);
	else
		return true;
	if (!victim)
		return false;
	request_refuse(router, victim, RESULT_QUEUE_FULL,
		       request_retry_after_ms(router, victim, now_us), now_us,
		       effects);
	return true;
}

/* Charge the limits of the organisation and of the key. */
static enum result request_charge_limits(struct request *request,
					 int64_t now_us,
					 int64_t *retry_after_ms)
{
	int64_t tokens = request->spec.prompt_tokens + request->estimate;
	enum result code;

	code = quota_charge(&request->organisation->quota, tokens, now_us,
			    retry_after_ms);
	if (code)
		return code;
	if (request->key) {
		code = quota_charge(&request->key->quota, 0, now_us,
				    retry_after_ms);
		if (code) {
			quota_undo(&request->organisation->quota, tokens,
				   now_us);
			return code;
		}
	}
	request->charged_tokens = tokens;
	request->limits_charged = true;
	return RESULT_OK;
}

/* Whether the pool has no server, or had no usable server for too long. */
static enum result pool_missing(const struct router *router,
				const struct pool *pool, bool reclaimable,
				int64_t now_us)
{
	if (pool->slots > 0 || (reclaimable && pool->cheap_slots > 0))
		return RESULT_OK;
	if (pool->cheap_slots > 0)
		return RESULT_NO_CAPACITY;
	if (!pool->usable_us && router->options.services_exist)
		return RESULT_NO_CAPACITY;
	if (!pool->usable_us)
		return pool->service ? RESULT_NO_ROUTE : RESULT_NO_MODEL;
	if (now_us - pool->usable_us > SUBMIT_EMPTY_US)
		return RESULT_NO_CAPACITY;
	return RESULT_OK;
}

/* Whether servers in its regions, and of its version, may run the request. */
static enum result find_server(const struct request *request, int64_t now_us)
{
	uint64_t regions = request->spec.regions;

	if (request->spec.version)
		return request_version_gone(request, now_us)
			       ? RESULT_VERSION_GONE
			       : RESULT_OK;
	if (!regions || regions == REGION_ANY ||
	    request_has_server(request, now_us))
		return RESULT_OK;
	return RESULT_NO_CAPACITY;
}

static enum result request_admit(struct router *router, struct request *request,
				 int64_t now_us, int64_t *retry_after_ms,
				 struct effects *effects)
{
	struct pool *pool = request->queue->pool;
	enum result code;

	if (router->draining)
		return RESULT_STOPPING;
	*retry_after_ms = request_held_ms(router, request, now_us);
	pool_count_held(pool, *retry_after_ms > 0, now_us);
	if (*retry_after_ms && !request_tries_parts(router, request, now_us))
		return RESULT_POISON;
	pool_refresh(router, pool, now_us);
	code = pool_missing(router, pool, request->queue->reclaimable, now_us);
	if (!code)
		code = find_server(request, now_us);
	if (code) {
		*retry_after_ms = code == RESULT_NO_CAPACITY ? 5000 : 0;
		return code;
	}
	code = request_charge_limits(request, now_us, retry_after_ms);
	if (code)
		return code;
	pool_update_pressure(router, pool, now_us);
	*retry_after_ms = request_retry_after_ms(router, request, now_us);
	if (request_is_backed_off(router, request, now_us))
		return RESULT_NO_CAPACITY;
	if (router->options.features.early_refusal &&
	    request_is_late(router, request, now_us) &&
	    router_may_shed(router, pool, request->tier, now_us)) {
		log_late(router, request, now_us, effects);
		return RESULT_DEADLINE_UNREACHABLE;
	}
	if (!router_make_room(router, request, now_us, effects))
		return RESULT_QUEUE_FULL;
	return RESULT_OK;
}

/* Refuse a request of an unknown class; no struct request is created. */
static void refuse_unknown(struct router *router,
			   const struct router_request *ask, int64_t now_us,
			   struct effects *effects)
{
	const struct router_hooks *hooks = &router->options.hooks;
	struct effect *effect = effects_add(effects, EFFECT_ANSWER);
	struct router_outcome outcome = {
		.id = ask->id,
		.code = RESULT_CLASS_FORBIDDEN,
		.run = RUN_NOT,
		.organisation = ask->organisation,
		.class_name = ask->class_name,
		.model = ask->model,
		.prompt_tokens = ask->prompt_tokens,
		.arrived_us = ask->arrived_us,
		.ended_us = now_us,
	};

	effect->u.answer.id = ask->id;
	effect->u.answer.code = RESULT_CLASS_FORBIDDEN;
	effect->u.answer.run = RUN_NOT;
	if (hooks->finished)
		hooks->finished(hooks->data, &outcome);
}

void router_submit(struct router *router, const struct router_request *ask,
		   int64_t now_us, struct effects *effects)
{
	struct router_class *class = class_find(router, ask->class_name);
	int64_t retry_after_ms = 0;
	struct request *request;
	struct pool *pool;
	enum result code;

	if (!class) {
		refuse_unknown(router, ask, now_us, effects);
		return;
	}
	request = request_new(router, ask, class, now_us);
	router->open++;
	pool = pool_get(router, ask->model, ask->service, now_us);
	request_set_queue(router, request, pool, class->rule.reclaimable);
	request_estimate(router, request);
	if (ask->prompt_tokens)
		pool_record_prompt(pool, ask->prompt_tokens);
	if (ask->stream)
		divide_record_pause(&pool->divide, class->rule.pause_us,
				    now_us);
	request->is_long = log(request->entry.cost) >
			   log(SUBMIT_LONG_RATIO) + pool->mean_log_cost;
	retry_record_request(&pool->retry, now_us);
	code = request_admit(router, request, now_us, &retry_after_ms, effects);
	if (code) {
		request_refuse(router, request, code, retry_after_ms, now_us,
			       effects);
		return;
	}
	request_enqueue(router, request, now_us);
	router_dispatch(router, pool, now_us, effects);
}
