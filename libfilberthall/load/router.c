#include "load/router.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "load/router_state.h"

static bool timer_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct request *x = container_of(a, struct request, timer);
	const struct request *y = container_of(b, struct request, timer);

	if (x->timer_us != y->timer_us)
		return x->timer_us < y->timer_us;
	return x->spec.id < y->spec.id;
}

static bool class_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct router_class, node)->rule.name,
		       key);
}

static bool organisation_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct organisation, node)->rule.name,
		       key);
}

struct router_features router_features_all(void)
{
	return (struct router_features){
		.tiers = true,
		.min_shares = true,
		.fairness = true,
		.early_refusal = true,
		.length_estimate = true,
		.two_choices = true,
		.prefix_affinity = true,
		.stragglers = true,
		.retry_budget = true,
		.hedging = true,
		.poison = true,
		.preemption = true,
		.shares = true,
		.homes = false,
		.lost_answers = false,
	};
}

struct router *router_new(const struct router_options *options)
{
	struct router *router = xcalloc(1, sizeof(*router));

	router->options = *options;
	router->zone = xstrdup(options->zone);
	router->rng.state = options->seed;
	map_init(&router->requests);
	map_init(&router->classes);
	map_init(&router->organisations);
	map_init(&router->keys);
	map_init(&router->pools);
	heap_init(&router->timers, timer_before);
	length_init(&router->length);
	prefix_init(&router->prefix);
	poison_init(&router->poison);
	part_watch_init(&router->parts);
	preempt_init(&router->preempt);
	router->pick = (struct pick_options){
		.homes = options->features.homes,
		.two_choices = options->features.two_choices,
		.prefix_affinity = options->features.prefix_affinity,
		.stragglers = options->features.stragglers,
	};
	router_share_init(router);
	return router;
}

static void request_drop(struct router *router, struct request *request)
{
	struct attempt *attempt;
	struct attempt *next;

	list_foreach_safe(attempt, next, &request->attempts, in_request) {
		list_remove(&attempt->in_request);
		free(attempt);
	}
	if (request->state == REQUEST_WAITING)
		request_dequeue(router, request);
	request_free(router, request);
}

void router_free(struct router *router)
{
	struct request *request;
	struct request *next_request;
	struct router_class *class;
	struct router_class *next_class;
	struct organisation *organisation;
	struct organisation *next_organisation;
	struct key_use *key;
	struct key_use *next_key;
	struct pool *pool;
	struct pool *next_pool;

	if (!router)
		return;
	map_foreach(request, next_request, &router->requests, node)
		request_drop(router, request);
	map_foreach(pool, next_pool, &router->pools, node)
		pool_free(router, pool);
	map_foreach(class, next_class, &router->classes, node)
		free(class);
	map_foreach(organisation, next_organisation, &router->organisations,
		    node)
		free(organisation);
	map_foreach(key, next_key, &router->keys, node) {
		free(key->id);
		free(key);
	}
	map_clear(&router->requests);
	map_clear(&router->classes);
	map_clear(&router->organisations);
	map_clear(&router->keys);
	map_clear(&router->pools);
	heap_clear(&router->timers);
	length_clear(&router->length);
	prefix_clear(&router->prefix);
	poison_clear(&router->poison);
	part_watch_clear(&router->parts);
	router_share_free(router);
	free(router->zone);
	free(router);
}

static struct router_class *class_add(struct router *router, const char *name)
{
	struct router_class *class;
	struct pool *pool;
	struct pool *next;
	int id = 0;

	while (id < SCHED_CLASSES && router->by_id[id])
		id++;
	if (id == SCHED_CLASSES)
		return NULL;
	class = xcalloc(1, sizeof(*class));
	class->id = id;
	list_init(&class->order);
	router->by_id[id] = class;
	/* The id may have belonged to a class that was removed. */
	map_foreach(pool, next, &router->pools, node)
		pool->times[id] = (struct class_time){ 0 };
	map_insert(&router->classes, &class->node, map_hash_text(name));
	return class;
}

static void class_apply(struct router *router, struct router_class *class)
{
	const struct router_features *features = &router->options.features;
	struct queue *queue;
	struct pool *pool;
	struct pool *next;

	map_foreach(pool, next, &router->pools, node) {
		floor_set(&pool->floor, class->id,
			  features->min_shares ? class->rule.min_share : 0);
		if (!features->tiers)
			continue;
		list_foreach(queue, &pool->queues, in_pool)
			sched_set_class(&queue->sched, class->id,
					class->rule.tier);
	}
}

/* Dequeue all waiting requests of a class, oldest first. */
static void class_take_waiting(struct router *router,
			       struct router_class *class, struct list *waiting)
{
	struct request *request;

	while ((request =
			list_first(&class->order, struct request, in_class))) {
		request_dequeue(router, request);
		list_append(waiting, &request->in_class);
	}
}

/* Enqueue them again by the class's new tier, targets and server kind. */
static void class_put_waiting(struct router *router, struct list *waiting,
			      int64_t now_us)
{
	struct request *request;
	struct request *next;

	list_foreach_safe(request, next, waiting, in_class) {
		int64_t since_us = request->waiting_since_us;

		list_remove(&request->in_class);
		request_apply_class(router, request);
		request_enqueue(router, request, now_us);
		request->waiting_since_us = since_us;
	}
}

void router_stood_still(struct router *router, int64_t from_us,
			int64_t until_us)
{
	silence_note(&router->own, from_us, until_us);
}

void router_set_vm(struct router *router, const struct server_limit_vm *vm)
{
	router->vm = *vm;
}

void router_set_class(struct router *router, const struct class_rule *rule,
		      int64_t now_us, struct effects *effects)
{
	struct map_node *node;
	struct router_class *class;
	struct list waiting;

	node = map_find(&router->classes, map_hash_text(rule->name),
			class_match, rule->name);
	class = node ? container_of(node, struct router_class, node)
		     : class_add(router, rule->name);
	if (!class)
		return;
	list_init(&waiting);
	class_take_waiting(router, class, &waiting);
	class->rule = *rule;
	class_apply(router, class);
	class_put_waiting(router, &waiting, now_us);
	router_tick(router, now_us, effects);
}

void router_remove_class(struct router *router, const char *name,
			 int64_t now_us, struct effects *effects)
{
	struct map_node *node = map_find(&router->classes, map_hash_text(name),
					 class_match, name);
	struct router_class *class;
	struct request *request;

	if (!node)
		return;
	class = container_of(node, struct router_class, node);
	/* This reference keeps `class` valid until all requests are refused. */
	class->n_requests++;
	while ((request = list_first(&class->order, struct request, in_class)))
		request_refuse(router, request, RESULT_CLASS_FORBIDDEN, 0,
			       now_us, effects);
	map_remove(&router->classes, &class->node);
	router->by_id[class->id] = NULL;
	class->removed = true;
	if (!--class->n_requests)
		free(class);
}

/** Find or add an organisation; one without a rule has no limits. */
struct organisation *organisation_get(struct router *router, const char *name,
				      int64_t now_us)
{
	struct map_node *node;
	struct organisation *organisation;
	struct quota_limits none = { 0 };
	char known[NAME_SIZE];

	name_shorten(known, name);
	node = map_find(&router->organisations, map_hash_text(known),
			organisation_match, known);
	if (node)
		return container_of(node, struct organisation, node);
	organisation = xcalloc(1, sizeof(*organisation));
	memcpy(organisation->rule.name, known, sizeof(known));
	organisation->id = ++router->last_organisation;
	quota_init(&organisation->quota, &none, now_us);
	map_insert(&router->organisations, &organisation->node,
		   map_hash_text(organisation->rule.name));
	return organisation;
}

void router_set_organisation(struct router *router,
			     const struct organisation_rule *rule,
			     int64_t now_us)
{
	struct organisation *organisation =
		organisation_get(router, rule->name, now_us);
	struct quota_limits limits = {
		.max_concurrent = rule->max_concurrent,
		.requests_per_min = rule->requests_per_min,
		.tokens_per_min = rule->tokens_per_min,
		.burst_s = rule->burst_s,
	};

	organisation->rule = *rule;
	quota_set_limits(&organisation->quota, &limits, now_us);
}

void router_remove_organisation(struct router *router, const char *name,
				int64_t now_us, struct effects *effects)
{
	struct map_node *node =
		map_find(&router->organisations, map_hash_text(name),
			 organisation_match, name);
	struct organisation *organisation;
	struct request *request;
	struct request *next;

	if (!node)
		return;
	organisation = container_of(node, struct organisation, node);
	organisation->n_requests++;
	map_foreach(request, next, &router->requests, node)
		if (request->organisation == organisation)
			request_end(router, request, RESULT_KEY_WITHDRAWN, NULL,
				    now_us, effects);
	map_remove(&router->organisations, &organisation->node);
	organisation->removed = true;
	if (!--organisation->n_requests)
		free(organisation);
}

void router_caller_left(struct router *router, uint64_t id, int64_t now_us,
			struct effects *effects)
{
	struct request *request = request_find(router, id);

	if (request && request->state != REQUEST_ENDED)
		request_end(router, request, RESULT_CALLER_LEFT, NULL, now_us,
			    effects);
}

void router_withdraw_key(struct router *router, const char *key_id,
			 int64_t now_us, struct effects *effects)
{
	struct request *request;
	struct request *next;

	map_foreach(request, next, &router->requests, node)
		if (request->spec.key_id && request->state != REQUEST_ENDED &&
		    !strcmp(request->spec.key_id, key_id))
			request_end(router, request, RESULT_KEY_WITHDRAWN, NULL,
				    now_us, effects);
}

void router_fleet_changed(struct router *router, int64_t now_us,
			  struct effects *effects)
{
	struct pool *pool;
	struct pool *next;
	struct fleet *fleet = router->options.fleet;
	struct backend *backend;
	struct backend *after;

	/* Each model or service with a known server has a pool. */
	map_foreach(backend, after, &fleet->backends, node) {
		pool = pool_get(router, backend->model,
				backend->service[0] ? backend->service : NULL,
				now_us);
		if (pool->fleet_version != fleet->version)
			pool_refresh(router, pool, now_us);
	}
	map_foreach(pool, next, &router->pools, node)
		router_dispatch(router, pool, now_us, effects);
}

void router_cache(struct router *router, const struct event_cache *cache,
		  int64_t now_us)
{
	(void)now_us;
	if (cache->address)
		prefix_record(&router->prefix, cache->prefix_hash,
			      cache->address, cache->held);
}

/* Only idempotent requests are moved; others may still complete. */
static void pool_cancel_attempts(struct pool *pool, const char *address,
				 struct effects *effects)
{
	struct attempt *attempt;

	list_foreach(attempt, &pool->running_list, in_pool)
		if (attempt->request->spec.idempotent &&
		    !strcmp(attempt->address, address))
			attempt_cancel(attempt, RESULT_BACKEND_BROKE, effects);
}

void router_backend_lost(struct router *router, const char *address,
			 int64_t now_us, struct effects *effects)
{
	struct backend *backend = fleet_find(router->options.fleet, address);
	struct pool *pool;
	struct pool *next;

	if (backend)
		health_failed(&backend->health, now_us);
	map_foreach(pool, next, &router->pools, node)
		pool_cancel_attempts(pool, address, effects);
}

void router_drain(struct router *router, int64_t now_us)
{
	(void)now_us;
	router->draining = true;
}

int64_t router_load(const struct router *router)
{
	return router->open;
}

void router_visit_classes(const struct router *router, int64_t now_us,
			  void (*visit)(void *data,
					const struct router_class_view *view),
			  void *data)
{
	struct router_class *class;
	struct router_class *next;
	const struct request *oldest;

	map_foreach(class, next, &router->classes, node) {
		struct router_class_view view = {
			.name = class->rule.name,
			.tier = class->rule.tier,
			.waiting = class->waiting,
			.running = class->running,
		};

		oldest = list_first(&class->order, struct request, in_class);
		if (oldest)
			view.oldest_us = now_us - oldest->waiting_since_us;
		visit(data, &view);
	}
}
