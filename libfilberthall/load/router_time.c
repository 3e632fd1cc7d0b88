#include <stdlib.h>
#include <string.h>

#include "load/overdue.h"
#include "load/router_state.h"

/* Interval of the search for stragglers and the removal of unused keys. */
#define TIME_MAINTENANCE_US INT64_C(1000000)

/* Interval at which a waiting request past its target is checked. */
#define TIME_RECHECK_US INT64_C(250000)

/* An attempt is hedged after this many times the mean time to first token. */
#define TIME_HEDGE_RATIO 4.0
#define TIME_HEDGE_MIN_US 3000000.0

/* Interval at which an overdue attempt is checked again. */
#define TIME_HEDGE_AGAIN_US INT64_C(500000)

/* Unused keys are removed after this time, when their bucket is full. */
#define TIME_KEY_IDLE_US INT64_C(600000000)

/*
 * A class's deadline is a target: an answer that has begun continues past it
 * but is ended at twice the deadline. A deadline that the caller set is always
 * enforced.
 */
static int64_t request_end_us(const struct request *request)
{
	const struct attempt *attempt = request_attempt(request);

	if (request->spec.deadline_us || !attempt || !attempt->first_us)
		return request->deadline_us;
	return 2 * request->deadline_us - request->spec.arrived_us;
}

static int64_t request_hedge_us(const struct router *router,
				const struct request *request)
{
	const struct attempt *attempt = request_attempt(request);
	double after = TIME_HEDGE_RATIO * request->queue->pool->first_token_us;

	if (!router->options.features.hedging || !attempt ||
	    attempt->first_us || !request->spec.idempotent ||
	    !request->spec.model)
		return INT64_MAX;
	if (after < TIME_HEDGE_MIN_US)
		after = TIME_HEDGE_MIN_US;
	after += (double)attempt->started_us;
	return after > (double)request->hedge_us ? (int64_t)after
						 : request->hedge_us;
}

static int64_t min_us(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Standstills of the server and of this VM don't count. */
static int64_t attempt_waits_since_us(const struct router *router,
				      const struct attempt *attempt)
{
	const struct backend *backend =
		fleet_find(router->options.fleet, attempt->address);
	int64_t since_us = attempt->started_us;

	if (router->own.until_us > since_us)
		since_us = router->own.until_us;
	if (backend && backend->silence.until_us > since_us)
		since_us = backend->silence.until_us;
	return since_us;
}

static int64_t request_overdue_us(const struct router *router,
				  const struct request *request)
{
	const struct attempt *attempt = request_attempt(request);
	int64_t at_us;

	if (!router->options.features.lost_answers || !attempt ||
	    attempt->first_us || attempt->cancelled || attempt->kept ||
	    !request->spec.idempotent || !request->spec.stream)
		return INT64_MAX;
	at_us = attempt_waits_since_us(router, attempt) +
		overdue_wait_us(request->queue->pool->first_token_us);
	return at_us > request->overdue_us ? at_us : request->overdue_us;
}

/** Set the request's timer to its next possible event. */
void request_update_timer(struct router *router, struct request *request,
			  int64_t now_us)
{
	int64_t at_us = request_end_us(request);
	int64_t other_us = INT64_MAX;

	if (request->state == REQUEST_RUNNING)
		other_us = min_us(request_hedge_us(router, request),
				  request_overdue_us(router, request));
	else if (request->target_us > now_us)
		other_us = request->target_us;
	else if (request->target_us)
		other_us = now_us + TIME_RECHECK_US;
	if (other_us < at_us)
		at_us = other_us;
	request_set_timer(router, request, at_us);
}

/* Whether the pool has a free slot that no waiting request needs. */
static bool hedge_has_room(const struct router *router,
			   const struct request *request)
{
	const struct pool *pool = request->queue->pool;

	return pool->n_members > 1 && !pool->pressure[request->tier].waiting &&
	       (double)pool->running < pool_own_slots(router, pool);
}

/* Whether the server is a straggler or has recently sent no token at all. */
static bool server_is_suspect(const struct router *router,
			      const struct attempt *attempt, int64_t now_us)
{
	const struct backend *backend =
		fleet_find(router->options.fleet, attempt->address);

	return !backend || backend->health.is_straggler ||
	       now_us - backend->health.last_token_us >=
		       HEALTH_TOKEN_TIMEOUT_US;
}

/*
 * The first token is long overdue: the server has lost the request, doesn't
 * respond or is a straggler. The attempt is cancelled and the request is sent
 * to another server; the edge can't merge two answers, so two attempts never
 * run at once for a caller. On a server that serves other requests normally,
 * the request waits for its prefill, and restarting it on another server
 * would only add load.
 */
static void request_hedge(struct router *router, struct request *request,
			  int64_t now_us, struct effects *effects)
{
	struct attempt *attempt = request_attempt(request);
	struct backend *backend;
	struct retry_case why = {
		.code = RESULT_BACKEND_TIMEOUT,
		.sent = true,
		.reached_server = true,
		.idempotent = request->spec.idempotent,
		.attempts = request->n_attempts,
		.tier = request->tier,
		.deadline_us = request->deadline_us,
		.needs_us = request_needs_us(router, request, now_us) / 2,
	};

	request->hedge_us = now_us + TIME_HEDGE_AGAIN_US;
	if (!server_is_suspect(router, attempt, now_us))
		return;
	backend = fleet_find(router->options.fleet, attempt->address);
	if (backend)
		health_overdue(&backend->health, now_us);
	if (!hedge_has_room(router, request) ||
	    request_check_retry(router, request, &why, now_us, effects))
		return;
	attempt_cancel(attempt, RESULT_BACKEND_TIMEOUT, effects);
}

/* Whether another attempt is allowed and has time to end. */
static bool may_send_again(struct router *router, const struct request *request,
			   int64_t now_us, struct effects *effects)
{
	struct retry_case why = {
		.code = RESULT_BACKEND_TIMEOUT,
		.sent = true,
		.reached_server = true,
		.idempotent = request->spec.idempotent,
		.attempts = request->n_attempts - request->n_rejected,
		.max_attempts = request->spec.max_attempts,
		.sends = request->n_attempts,
		.tier = request->tier < RULE_TIERS ? request->tier
						   : RULE_TIERS - 1,
		.deadline_us = request->deadline_us,
		.needs_us = request_needs_us(router, request, now_us),
	};

	return !request_check_retry(router, request, &why, now_us, effects);
}

static void log_given_up(const struct router *router,
			 const struct request *request,
			 const struct attempt *attempt, int64_t now_us,
			 struct effects *effects)
{
	const struct pool *pool = request->queue->pool;
	const struct backend *backend =
		fleet_find(router->options.fleet, attempt->address);
	int64_t silent_us =
		backend ? silence_for_us(&backend->silence, now_us) : -1;

	router_log(request, LOG_INFO, effects,
		   "event=given-up attempt=%lld server=%s waited_ms=%lld "
		   "usual_ms=%lld silent_ms=%lld version=%llx",
		   (long long)attempt->number, attempt->address,
		   (long long)((now_us - attempt->started_us) / 1000),
		   (long long)(pool->first_token_us / 1000),
		   (long long)(silent_us / 1000),
		   (unsigned long long)request->spec.version);
}

/* Whether a server that isn't silent may run the request and has room. */
static bool others_have_room(const struct request *request,
			     const struct attempt *attempt, int64_t now_us)
{
	const struct pool *pool = request->queue->pool;
	int i;

	for (i = 0; i < pool->n_members; i++) {
		const struct backend *member = pool->members[i];

		if (strcmp(member->address, attempt->address) != 0 &&
		    backend_usable(member, now_us) &&
		    request_may_run_at(request, member) &&
		    backend_load(member) < (double)member->slots &&
		    !backend_is_silent(member, SILENCE_LIVE_US, now_us))
			return true;
	}
	return false;
}

static bool others_are_silent(const struct pool *pool,
			      const struct attempt *attempt, int64_t now_us)
{
	int i;

	for (i = 0; i < pool->n_members; i++)
		if (strcmp(pool->members[i]->address, attempt->address) != 0 &&
		    backend_is_silent(pool->members[i], SILENCE_LIVE_US,
				      now_us))
			return true;
	return false;
}

/*
 * While the pool's servers write, one that doesn't answer has lost the request
 * or is silent alone. While none writes all of them may stand still, and the
 * request is answered where it is.
 */
static bool another_is_better(const struct request *request,
			      const struct attempt *attempt, int64_t now_us)
{
	const struct pool *pool = request->queue->pool;

	if (!others_have_room(request, attempt, now_us))
		return false;
	if (now_us - pool->silence.heard_us < SILENCE_LIVE_US)
		return silence_is_live(&pool->silence, now_us);
	return !others_are_silent(pool, attempt, now_us);
}

/* If the limits forbid another attempt, this isn't asked again. */
static void request_check_overdue(struct router *router,
				  struct request *request, int64_t now_us,
				  struct effects *effects)
{
	struct attempt *attempt = request_attempt(request);

	request->overdue_us = now_us + TIME_RECHECK_US;
	if (!another_is_better(request, attempt, now_us))
		return;
	attempt->kept = !may_send_again(router, request, now_us, effects);
	if (attempt->kept)
		return;
	request->left_silent = true;
	log_given_up(router, request, attempt, now_us, effects);
	attempt_cancel(attempt, RESULT_BACKEND_TIMEOUT, effects);
}

static void request_check_waiting(struct router *router,
				  struct request *request, int64_t now_us,
				  struct effects *effects)
{
	const struct pool *pool = request->queue->pool;
	bool late = request->target_us && now_us >= request->target_us &&
		    !request->n_attempts;

	if (now_us >= request->deadline_us)
		request_refuse(router, request, RESULT_EXPIRED,
			       request_retry_after_ms(router, request, now_us),
			       now_us, effects);
	else if (late && router->options.features.early_refusal &&
		 request_in_standing_queue(request, now_us) &&
		 router_may_shed(router, pool, request->tier, now_us))
		request_refuse(router, request, RESULT_DEADLINE_UNREACHABLE,
			       request_retry_after_ms(router, request, now_us),
			       now_us, effects);
	else
		request_update_timer(router, request, now_us);
}

static void request_timer(struct router *router, struct request *request,
			  int64_t now_us, struct effects *effects)
{
	heap_remove(&router->timers, &request->timer);
	if (request->state == REQUEST_WAITING) {
		request_check_waiting(router, request, now_us, effects);
		return;
	}
	if (request->state != REQUEST_RUNNING)
		return;
	if (now_us >= request_end_us(request)) {
		request_end(router, request, RESULT_EXPIRED, NULL, now_us,
			    effects);
		return;
	}
	if (now_us >= request_hedge_us(router, request))
		request_hedge(router, request, now_us, effects);
	if (now_us >= request_overdue_us(router, request))
		request_check_overdue(router, request, now_us, effects);
	request_update_timer(router, request, now_us);
}

static void router_run_timers(struct router *router, int64_t now_us,
			      struct effects *effects)
{
	struct heap_node *top;
	struct request *request;

	while ((top = heap_top(&router->timers))) {
		request = container_of(top, struct request, timer);
		if (request->timer_us > now_us)
			return;
		request_timer(router, request, now_us, effects);
	}
}

static void router_drop_keys(struct router *router, int64_t now_us)
{
	struct key_use *key;
	struct key_use *next;

	map_foreach(key, next, &router->keys, node) {
		if (key->n_requests || now_us - key->used_us < TIME_KEY_IDLE_US)
			continue;
		map_remove(&router->keys, &key->node);
		free(key->id);
		free(key);
	}
}

void router_tick(struct router *router, int64_t now_us, struct effects *effects)
{
	struct pool *pool;
	struct pool *next;

	router_run_timers(router, now_us, effects);
	if (now_us - router->maintained_us >= TIME_MAINTENANCE_US) {
		router->maintained_us = now_us;
		if (router->options.features.stragglers)
			fleet_update_stragglers(router->options.fleet);
		router_drop_keys(router, now_us);
	}
	router_share_tick(router, now_us, effects);
	map_foreach(pool, next, &router->pools, node)
		if (!list_empty(&pool->queues))
			router_dispatch(router, pool, now_us, effects);
}

int64_t router_next_tick(const struct router *router, int64_t now_us)
{
	const struct heap_node *top = heap_top(&router->timers);
	int64_t at_us = now_us + ROUTER_TICK_US;
	const struct request *request;

	if (!top)
		return at_us;
	request = container_of(top, struct request, timer);
	return request->timer_us < at_us ? request->timer_us : at_us;
}
