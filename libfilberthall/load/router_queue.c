/*
 * Queues of a pool, one for each set of servers that may run its requests, and
 * which servers these are.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/region.h"
#include "load/router_state.h"

static bool same_text(const char *a, const char *b)
{
	return !strcmp(a ? a : "", b ? b : "");
}

/*
 * Requests that different servers may run wait apart: the first of a queue that
 * finds no room holds up those behind it.
 */
static struct queue *pool_queue(struct router *router, struct pool *pool,
				const struct router_request *spec,
				bool reclaimable)
{
	uint64_t regions = spec->regions ? spec->regions : REGION_ANY;
	struct router_class *class;
	struct router_class *next;
	struct queue *queue;

	list_foreach(queue, &pool->queues, in_pool)
		if (queue->reclaimable == reclaimable &&
		    queue->regions == regions &&
		    queue->version == spec->version &&
		    same_text(queue->adapter, spec->adapter))
			return queue;
	queue = xcalloc(1, sizeof(*queue));
	queue->pool = pool;
	queue->adapter = xstrdup(spec->adapter);
	queue->regions = regions;
	queue->version = spec->version;
	queue->reclaimable = reclaimable;
	sched_init(&queue->sched);
	map_foreach(class, next, &router->classes, node)
		if (router->options.features.tiers)
			sched_set_class(&queue->sched, class->id,
					class->rule.tier);
	list_append(&pool->queues, &queue->in_pool);
	return queue;
}

void queue_free(struct queue *queue)
{
	list_remove(&queue->in_pool);
	sched_clear(&queue->sched);
	free(queue->adapter);
	free(queue);
}

/* Versions come and go; the other queues are as many as classes have kinds. */
void request_unset_queue(struct request *request)
{
	struct queue *queue = request->queue;

	request->queue = NULL;
	if (queue && !--queue->n_requests && queue->version)
		queue_free(queue);
}

void request_set_queue(struct router *router, struct request *request,
		       struct pool *pool, bool reclaimable)
{
	struct queue *queue =
		pool_queue(router, pool, &request->spec, reclaimable);

	queue->n_requests++;
	request_unset_queue(request);
	request->queue = queue;
}

/** Whether the server may run the request, if it takes any. */
bool request_may_run_at(const struct request *request,
			const struct backend *backend)
{
	uint64_t version = request->spec.version;

	return backend_in_regions(backend, request->spec.regions) &&
	       (!version || version == backend->version_hash);
}

/** Whether a usable server is in its regions and of the version it needs. */
bool request_has_server(const struct request *request, int64_t now_us)
{
	const struct pool *pool = request->queue->pool;
	int i;

	for (i = 0; i < pool->n_members; i++)
		if (backend_usable(pool->members[i], now_us) &&
		    request_may_run_at(request, pool->members[i]))
			return true;
	return false;
}

static bool has_lingering_server(const struct request *request, int64_t now_us)
{
	const struct pool *pool = request->queue->pool;
	int i;

	for (i = 0; i < pool->n_members; i++)
		if (backend_lingers(pool->members[i], now_us) &&
		    request_may_run_at(request, pool->members[i]))
			return true;
	return false;
}

/** Whether the stream that it resumes can go on at no server any more. */
bool request_version_gone(const struct request *request, int64_t now_us)
{
	return request->spec.version && !request_has_server(request, now_us) &&
	       !has_lingering_server(request, now_us);
}
