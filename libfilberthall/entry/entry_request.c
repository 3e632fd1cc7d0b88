/*
 * Callers' requests: checks routes and keys against the document in force and
 * submits permitted requests to the router.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/entry_state.h"
#include "load/sched.h"

/* Deadline of requests where neither the caller nor the route sets one. */
#define DEADLINE_MS 30000

/*
 * Another VM accepts the request immediately; the delay keeps this VM's callers
 * from retrying all at once.
 */
#define STOPPING_RETRY_AFTER_MS 50

/* The route no longer leads to the service that began the stream. */
#define GONE_RETRY_AFTER_MS 1000

/* A VM that can't serve a request that was passed on to it. */
#define LOST_RETRY_AFTER_MS 250

/* Margin between the last deadline and the end of a stopping process. */
#define STOP_MARGIN_US INT64_C(500000)

/*
 * Classes kept in the router, which has room for 256. Each document may add new
 * ones, so those used least recently are removed.
 */
#define CLASSES_MAX 240

/* Organisation ranks distinguished in the priority at a server. */
#define URGENCY_RANKS 3

bool entry_is_fresh(const struct entry *entry, int64_t now_us)
{
	return now_us - entry->fresh_as_of_us < entry->options.max_staleness_us;
}

static bool call_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct open_call, node)->id ==
	       *(const uint64_t *)key;
}

struct open_call *entry_open_call(const struct entry *entry, uint64_t id)
{
	struct map_node *node =
		map_find(&entry->calls, map_hash(&id, sizeof(id)), call_match,
			 &id);

	return node ? container_of(node, struct open_call, node) : NULL;
}

void entry_call_free(struct entry *entry, struct open_call *call)
{
	map_remove(&entry->calls, &call->node);
	free(call->name);
	free(call->organisation);
	free(call->class_name);
	free(call->service);
	entry_elsewhere_free(call->elsewhere);
	free(call);
}

void entry_end_call(struct entry *entry, struct open_call *call,
		    enum result code, enum run_state run)
{
	if (code == RESULT_OK)
		entry->totals.served++;
	else if (run == RUN_NOT)
		entry->totals.refused++;
	else
		entry->totals.failed++;
	entry->totals.held += run == RUN_NOT && code == RESULT_POISON;
	entry_call_free(entry, call);
}

void entry_free_calls(struct entry *entry)
{
	struct open_call *call;
	struct open_call *next;

	map_foreach(call, next, &entry->calls, node)
		entry_call_free(entry, call);
	map_clear(&entry->calls);
}

bool entry_find_call(const struct entry *entry, uint64_t id,
		     struct entry_call *out)
{
	const struct open_call *call = entry_open_call(entry, id);

	if (!call)
		return false;
	out->organisation = call->organisation;
	out->stream = call->stream;
	out->resumable = call->resumable;
	out->urgency = call->urgency;
	out->deadline_us = call->deadline_us;
	return true;
}

/** Refuses a request as not run. */
void entry_refuse(struct entry *entry, const struct entry_request *request,
		  enum result code, int64_t retry_after_ms)
{
	struct effect *effect = effects_add(entry->effects, EFFECT_ANSWER);

	effect->u.answer.id = request->id;
	effect->u.answer.code = code;
	effect->u.answer.run = RUN_NOT;
	effect->u.answer.retry_after_ms = retry_after_ms;
	entry->totals.refused++;
	entry_log(entry, LOG_INFO, "request",
		  "event=refused request=%s code=%s host=%s path=%s "
		  "version=%lld fresh_ms=%lld retry_ms=%lld",
		  request->name, result_name(code), request->host,
		  request->path,
		  (long long)(entry->document ? entry->document->version : 0),
		  (long long)((entry->now_us - entry->fresh_as_of_us) / 1000),
		  (long long)retry_after_ms);
}

static void remove_oldest_class(struct entry *entry)
{
	struct entry_class *oldest =
		list_first(&entry->classes, struct entry_class, node);

	router_remove_class(entry->router, oldest->rule.name, entry->now_us,
			    entry->effects);
	list_remove(&oldest->node);
	free(oldest);
	entry->n_classes--;
}

/*
 * The router's class for a tier and a route's latency targets. Routes with the
 * same targets share one class: a document may have hundreds of routes.
 */
static const struct class_rule *
find_or_add_class(struct entry *entry, const struct route *route, int tier)
{
	struct class_rule rule = { .tier = tier };
	struct entry_class *class;

	snprintf(rule.name, sizeof(rule.name), "t%d-g%lld-p%lld", tier,
		 (long long)route->goal_ms, (long long)route->pause_ms);
	rule.first_token_us = route->goal_ms * 1000;
	rule.pause_us = route->pause_ms * 1000;
	rule.idempotent = true;
	list_foreach(class, &entry->classes, node) {
		if (strcmp(class->rule.name, rule.name) != 0)
			continue;
		list_remove(&class->node);
		list_append(&entry->classes, &class->node);
		return &class->rule;
	}
	if (entry->n_classes == CLASSES_MAX)
		remove_oldest_class(entry);
	class = xcalloc(1, sizeof(*class));
	class->rule = rule;
	list_append(&entry->classes, &class->node);
	entry->n_classes++;
	router_set_class(entry->router, &class->rule, entry->now_us,
			 entry->effects);
	return &class->rule;
}

/*
 * Requests are ordered by the organisation's rank and then by the route's tier.
 * With the organisation's rank alone all routes of one organisation would be
 * equal, and under load those with the tightest targets would be refused first,
 * although they are the more urgent ones.
 */
static int call_tier(const struct route *route,
		     const struct document_organisation *holder)
{
	int rank = holder && holder->tier >= 0 ? holder->tier : route->tier;
	int tier = rank * RULE_TIERS + route->tier;

	return tier < SCHED_TIERS ? tier : SCHED_TIERS - 1;
}

/*
 * Priority of a request at the server: the route's tier first, then the
 * organisation's rank. A server that runs out of memory stops the least urgent
 * requests; with the rank first it would stop short streams and continue the
 * prefill of long prompts that can wait.
 */
static int call_urgency(const struct route *route,
			const struct document_organisation *holder)
{
	int rank = holder && holder->tier >= 0 ? holder->tier : 0;

	if (rank >= URGENCY_RANKS)
		rank = URGENCY_RANKS - 1;
	return route->tier * URGENCY_RANKS + rank;
}

/* Longest wait, by the caller's deadline and the route's time-out. */
static int64_t wait_limit_us(const struct entry_request *request,
			     const struct route *route)
{
	int64_t wait_ms = route->timeout_ms;

	if (request->deadline_ms > 0 && request->deadline_ms < wait_ms)
		wait_ms = request->deadline_ms;
	if (wait_ms <= 0)
		wait_ms = DEADLINE_MS;
	return wait_ms * 1000;
}

/*
 * Where several VMs of a zone stop at the same time, the balancer has no others
 * for its callers: what ends before the process does is still taken.
 */
static bool exceeds_stop_deadline(const struct entry *entry,
				  const struct entry_request *request,
				  const struct route *route)
{
	int64_t ends_us = entry->now_us + wait_limit_us(request, route);

	return entry->stop_requested_us &&
	       ends_us + STOP_MARGIN_US > entry->stop_deadline_us;
}

struct open_call *entry_call_new(struct entry *entry,
				 const struct entry_request *request,
				 const struct route *route,
				 const struct document_organisation *holder)
{
	struct open_call *call = xcalloc(1, sizeof(*call));

	call->id = request->id;
	call->name = xstrdup(request->name);
	call->organisation = xstrdup(holder ? holder->name : "");
	call->stream = route->kind == ROUTE_STREAM;
	call->resumable = call->stream && route->resumable;
	call->tier = call_tier(route, holder);
	call->urgency = call_urgency(route, holder);
	call->arrived_us = entry->now_us;
	call->deadline_us = entry->now_us + wait_limit_us(request, route);
	map_insert(&entry->calls, &call->node,
		   map_hash(&call->id, sizeof(call->id)));
	return call;
}

/* Where both name regions, both bind. */
static uint64_t allowed_regions(const struct entry *entry,
				const struct route *route,
				const struct document_organisation *holder)
{
	uint64_t regions = regions_named(&entry->regions, route->regions,
					 route->n_regions);

	if (holder)
		regions &= regions_named(&entry->regions, holder->regions,
					 holder->n_regions);
	return regions;
}

/* Another VM passed it on and took this one for one that reaches servers. */
static bool is_lost(struct entry *entry, const char *service)
{
	return entry_service(entry, service)->reach.state == REACH_LOST;
}

/* The service with that hash, if requests of the route may go there. */
static const char *service_of_route(const struct route *route, uint64_t hash)
{
	size_t i;

	for (i = 0; i < route->n_splits; i++)
		if (route->splits[i].weight &&
		    map_hash_text(route->splits[i].service) == hash)
			return route->splits[i].service;
	return NULL;
}

static void route_request(struct entry *entry,
			  const struct entry_request *request,
			  const struct route *route,
			  const struct document_organisation *holder,
			  const char *service, const struct affinity *affinity)
{
	struct open_call *call = entry_call_new(entry, request, route, holder);
	const struct class_rule *rule =
		find_or_add_class(entry, route, call->tier);
	struct router_request ask = {
		.id = request->id,
		.organisation = call->organisation,
		.class_name = rule->name,
		.model = request->model,
		.service = service,
		.body_hash = request->body_hash,
		.prefix_hash = request->prefix_hash,
		.parts = request->parts,
		.n_parts = request->n_parts,
		.prompt_tokens = request->prompt_tokens,
		.shared_tokens = request->shared_tokens,
		.max_tokens = request->output_tokens,
		.arrived_us = entry->now_us,
		.deadline_us = call->deadline_us,
		.idempotent =
			route->kind == ROUTE_IDEMPOTENT || call->resumable,
		.stream = call->stream,
		.max_attempts = route->attempts,
		.regions = allowed_regions(entry, route, holder),
		.version = affinity ? affinity->version : 0,
	};

	call->class_name = xstrdup(rule->name);
	call->service = xstrdup(service);
	call->repeatable = ask.idempotent;
	call->passed_on = request->passed_on;
	call->resumes = affinity != NULL;
	if (affinity)
		call->resumed = entry_resumed_key(request, call->organisation);
	entry->totals.submitted++;
	entry_log(entry, LOG_INFO, "request",
		  "event=taken request=%s route=%s service=%s organisation=%s "
		  "tier=%d version=%lld fresh_ms=%lld prompt=%lld output=%lld "
		  "wait_ms=%lld resumes=%s last_event=%s silent_ms=%lld",
		  request->name, route->name, service, call->organisation,
		  call->tier, (long long)entry->document->version,
		  (long long)((entry->now_us - entry->fresh_as_of_us) / 1000),
		  (long long)request->prompt_tokens,
		  (long long)request->output_tokens,
		  (long long)((call->deadline_us - entry->now_us) / 1000),
		  request->resumes ? request->resumes : "none",
		  request->last_event ? request->last_event : "none",
		  (long long)entry_silence_ms(entry));
	if (entry_pass(entry, call))
		return;
	if (request->passed_on && is_lost(entry, service)) {
		entry_refuse(entry, request, RESULT_BACKEND_CONNECT,
			     LOST_RETRY_AFTER_MS);
		entry_call_free(entry, call);
		return;
	}
	router_submit(entry->router, &ask, entry->now_us, entry->effects);
}

static void resume_request(struct entry *entry,
			   const struct entry_request *request,
			   const struct route *route,
			   const struct document_organisation *holder,
			   const struct affinity *affinity)
{
	const char *service;

	if (!affinity && entry_must_go_elsewhere(entry, request) &&
	    entry_go_elsewhere(entry, request, route, holder))
		return;
	if (!affinity)
		affinity = entry_resume(entry, request,
					holder ? holder->name : "");
	if (!affinity)
		return;
	/* It would wait until a control VM is back. */
	if (!entry_is_in_contact(entry) &&
	    !entry_has_confirmed(entry, affinity)) {
		entry_refuse(entry, request, RESULT_STALE,
			     ENTRY_STALE_RETRY_AFTER_MS);
		return;
	}
	service = service_of_route(route, affinity->service);
	if (service)
		route_request(entry, request, route, holder, service, affinity);
	else
		entry_refuse(entry, request, RESULT_VERSION_GONE,
			     GONE_RETRY_AFTER_MS);
}

/** Refuses a request by the document in force, or submits it to the router. */
void entry_decide(struct entry *entry, const struct entry_request *request)
{
	entry_decide_as(entry, request, NULL);
}

void entry_decide_as(struct entry *entry, const struct entry_request *request,
		     const struct affinity *affinity)
{
	const struct document *document = entry->document;
	const struct document_organisation *holder = NULL;
	const struct route *route;

	route = document_route(document, request->host, request->path);
	if (!route) {
		entry_refuse(entry, request, RESULT_NO_ROUTE, 0);
		return;
	}
	if (exceeds_stop_deadline(entry, request, route)) {
		entry_refuse(entry, request, RESULT_STOPPING,
			     STOPPING_RETRY_AFTER_MS);
		return;
	}
	if (document->keyed && !route->open) {
		if (request->key)
			holder = document_organisation_by_key(document,
							      request->key);
		if (!holder) {
			entry_refuse(entry, request,
				     request->key ? RESULT_KEY_UNKNOWN
						  : RESULT_NO_KEY,
				     0);
			return;
		}
	}
	if (entry_is_resumption(route, request))
		resume_request(entry, request, route, holder, affinity);
	else
		route_request(entry, request, route, holder,
			      route_choose(route, rng_unit(&entry->rng)), NULL);
}

/**
 * Whether requests can be decided on. A VM that may have missed the newest
 * document can't know that a route doesn't exist or that a key is still valid.
 */
bool entry_can_decide(const struct entry *entry)
{
	return entry->document && entry_is_fresh(entry, entry->now_us);
}

void entry_submit(struct entry *entry, const struct entry_request *request,
		  int64_t now_us, struct effects *effects)
{
	entry->now_us = now_us;
	entry->effects = effects;
	if (entry_can_decide(entry))
		entry_decide(entry, request);
	else if (!entry_go_elsewhere_stale(entry, request) &&
		 !entry_defer(entry, request))
		entry_refuse(entry, request, RESULT_STALE,
			     ENTRY_STALE_RETRY_AFTER_MS);
}
