#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "load/overdue.h"
#include "load/router_state.h"

#define ATTEMPT_CONNECT_MS 1000

/* A stream without data for this long has failed. */
#define ATTEMPT_IDLE_MS 15000

/* Time after which a pooled connection counts as dead; see below. */
#define ATTEMPT_MIN_IDLE_TIMEOUT_MS 5000
#define ATTEMPT_IDLE_TIMEOUT_FACTOR 8

/* Least time for the first byte, however near the deadline is. */
#define ATTEMPT_FIRST_BYTE_MS 1000

/* Bytes of an answer kept for a claimed request. */
#define ATTEMPT_KEEP_LIMIT (INT64_C(1) << 20)

/*
 * A middlebox may have dropped the state of a pooled connection while new
 * connections to the same server work. An attempt that receives no data on
 * a pooled connection for far longer than the usual time to first token is
 * aborted and retried on a new connection; without this limit the request
 * would wait until its deadline if there is no second server to hedge with.
 * The limit is eight times the mean and at least five seconds, so that a slow
 * prefill isn't mistaken for a dead connection.
 */
static int64_t attempt_first_byte_ms(const struct request *request, bool proven,
				     int64_t left_ms)
{
	double mean_us = request->queue->pool->first_token_us;
	int64_t bound_ms =
		(int64_t)(ATTEMPT_IDLE_TIMEOUT_FACTOR * mean_us / 1000);

	if (bound_ms < ATTEMPT_MIN_IDLE_TIMEOUT_MS)
		bound_ms = ATTEMPT_MIN_IDLE_TIMEOUT_MS;
	if (!proven && request->spec.stream && left_ms > bound_ms)
		left_ms = bound_ms;
	return left_ms > ATTEMPT_FIRST_BYTE_MS ? left_ms
					       : ATTEMPT_FIRST_BYTE_MS;
}

static void attempt_effect(const struct attempt *attempt,
			   struct effects *effects, int64_t now_us)
{
	const struct request *request = attempt->request;
	struct effect_start_attempt *start =
		&effects_add(effects, EFFECT_START_ATTEMPT)->u.start;
	int64_t left_ms = (request->deadline_us - now_us) / 1000;

	start->id = request->spec.id;
	start->attempt = attempt->number;
	start->address = xstrdup(attempt->address);
	start->trace = xstrdup(request->spec.trace);
	start->priority = request->class->rule.tier;
	start->connect_ms = ATTEMPT_CONNECT_MS;
	start->idle_ms = ATTEMPT_IDLE_MS;
	start->resume_tokens = attempt->base;
	/*
	 * A pooled connection may be dead without a visible error. Whether the
	 * server received the request is then unknown, and a non-idempotent
	 * request must not be sent twice. Later attempts don't use pooled
	 * connections either: the fault that broke one connection has often
	 * broken those to other servers as well.
	 */
	start->proven = !request->spec.idempotent || attempt->number > 1;
	start->first_byte_ms =
		attempt_first_byte_ms(request, start->proven, left_ms);
	start->keep_answer = request->spec.keep_answer;
	start->keep_limit = ATTEMPT_KEEP_LIMIT;
}

static void pool_count_attempt(struct attempt *attempt, struct pool *pool,
			       int by)
{
	const struct request *request = attempt->request;

	/* Cheap servers aren't part of the slots shared by tier. */
	if (!attempt->on_cheap) {
		pool->running += by;
		pool->running_by_tier[request->tier] += by;
	}
	pool->running_by_class[request->class->id] += by;
}

/** Send a request to a backend server. */
void attempt_start(struct router *router, struct request *request,
		   struct backend *backend, bool by_floor, int64_t now_us,
		   struct effects *effects)
{
	struct pool *pool = request->queue->pool;
	struct attempt *attempt = xcalloc(1, sizeof(*attempt));
	struct place_query place;
	bool holds;

	attempt->request = request;
	attempt->number = ++request->n_attempts;
	if (attempt->number == 1)
		request->class->running++;
	memcpy(attempt->address, backend->address, sizeof(attempt->address));
	memcpy(request->address, backend->address, sizeof(request->address));
	attempt->server = backend_start(backend->address, backend->boot_id);
	attempt->version = backend->version_hash;
	attempt->started_us = now_us;
	attempt->base = request->spec.stream ? request->delivered : 0;
	attempt->work = request->entry.cost;
	attempt->is_long = request->is_long;
	attempt->by_floor = by_floor;
	attempt->on_cheap = backend->cheap;
	attempt->slots = backend->slots > 0 ? backend->slots : 1;
	attempt->prompt_tokens = request->spec.prompt_tokens;
	holds = prefix_holds(prefix_find(&router->prefix,
					 request->spec.prefix_hash),
			     backend->node.hash);
	if (router->options.features.homes) {
		place = request_place(router, request);
		attempt->prompt_tokens = place_prefill_tokens(&place, holds);
		attempt->paced = place.paced;
	} else if (holds) {
		attempt->prompt_tokens = 0;
	}
	if (attempt->paced) {
		divide_started(&pool->divide, attempt->slots);
		divide_record_use(&pool->divide,
				  1e6 * (double)attempt->prompt_tokens /
					  pool->prefill_rate,
				  now_us);
	}
	backend_started(backend, attempt->prompt_tokens, attempt->work,
			attempt->is_long, now_us);
	warmup_record(backend, now_us);
	server_limit_record(backend, &router->vm, now_us);
	backoff_record(backend, now_us);
	prefix_record(&router->prefix, request->spec.prefix_hash,
		      backend->address, true);
	list_append(&request->attempts, &attempt->in_request);
	list_append(&pool->running_list, &attempt->in_pool);
	pool_count_attempt(attempt, pool, 1);
	request->state = REQUEST_RUNNING;
	attempt_effect(attempt, effects, now_us);
	router_span(router, request, "pick", now_us, now_us, RESULT_OK,
		    attempt->address, effects);
	request_update_timer(router, request, now_us);
}

/** Cancel an attempt; it stays counted until the edge reports its end. */
void attempt_cancel(struct attempt *attempt, enum result why,
		    struct effects *effects)
{
	struct effect_cancel_attempt *cancel;

	if (attempt->cancelled)
		return;
	attempt->cancelled = true;
	attempt->cancel_code = why;
	cancel = &effects_add(effects, EFFECT_CANCEL_ATTEMPT)->u.cancel;
	cancel->id = attempt->request->spec.id;
	cancel->attempt = attempt->number;
}

static struct attempt *attempt_find(const struct router *router, uint64_t id,
				    int64_t number)
{
	struct request *request = request_find(router, id);
	struct attempt *attempt;

	if (!request)
		return NULL;
	list_foreach(attempt, &request->attempts, in_request)
		if (attempt->number == number)
			return attempt;
	return NULL;
}

bool router_attempt(const struct router *router, uint64_t id, int64_t number,
		    int64_t now_us, struct router_attempt_view *view)
{
	const struct attempt *attempt = attempt_find(router, id, number);

	if (!attempt)
		return false;
	view->address = attempt->address;
	view->version = attempt->version;
	view->us = now_us - attempt->started_us;
	return true;
}

void router_fix_version(struct router *router, uint64_t id, uint64_t version)
{
	struct request *request = request_find(router, id);

	if (request)
		request->spec.version = version;
}

void router_sent(struct router *router, const struct event_attempt_sent *sent,
		 int64_t now_us, struct effects *effects)
{
	struct attempt *attempt = attempt_find(router, sent->id, sent->attempt);

	(void)now_us;
	(void)effects;
	if (!attempt)
		return;
	attempt->sent = true;
	attempt->request->may_have_run = true;
}

int64_t attempt_ran_us(const struct router *router,
		       const struct attempt *attempt, int64_t since_us,
		       int64_t now_us)
{
	const struct backend *backend =
		fleet_find(router->options.fleet, attempt->address);
	int64_t still_us = silence_between(&router->own, since_us, now_us);
	int64_t server_us = 0;

	if (backend)
		server_us =
			silence_between(&backend->silence, since_us, now_us);
	return now_us - since_us -
	       (server_us > still_us ? server_us : still_us);
}

static void attempt_first_token(struct router *router, struct attempt *attempt,
				int64_t now_us)
{
	struct request *request = attempt->request;
	struct pool *pool = request->queue->pool;
	struct backend *backend;
	int64_t took_us =
		attempt_ran_us(router, attempt, attempt->started_us, now_us);

	attempt->first_us = now_us;
	if (!request->first_token_us)
		request->first_token_us = now_us;
	request_count_begun(request, now_us);
	if (request->spec.stream && !request->spec.version)
		request->spec.version = attempt->version;
	if (pool->first_token_us <= 0)
		pool->first_token_us = (double)took_us;
	pool->first_token_us += ((double)took_us - pool->first_token_us) / 32;
	backend = fleet_find(router->options.fleet, attempt->address);
	if (backend) {
		backend->silence.n_writing++;
		attempt->counts_writing = true;
		backend_prefilled(backend, attempt->prompt_tokens);
	}
	pool_record_prefill(pool, attempt->prompt_tokens, took_us);
	attempt->prompt_tokens = 0;
	/* The engine regenerates the tokens that the caller already has. */
	request->wasted += attempt->base;
	request_update_timer(router, request, now_us);
}

/* A pause in the caller's stream counts also if the server has changed. */
static void request_record_chunk(struct request *request, int64_t now_us)
{
	int64_t pause_us = now_us - request->last_chunk_us;

	if (request->last_chunk_us && pause_us > request->pause_us)
		request->pause_us = pause_us;
	request->last_chunk_us = now_us;
}

static void server_heard(struct backend *backend, struct pool *pool,
			 int64_t now_us)
{
	silence_heard(&backend->silence, overdue_wait_us(pool->first_token_us),
		      now_us);
	silence_heard(&pool->silence, SILENCE_LIVE_US, now_us);
}

void router_held(struct router *router, uint64_t id, int64_t number,
		 int64_t now_us)
{
	struct attempt *attempt = attempt_find(router, id, number);
	struct backend *backend;

	if (!attempt)
		return;
	attempt->kept = true;
	backend = fleet_find(router->options.fleet, attempt->address);
	if (backend)
		server_heard(backend, attempt->request->queue->pool, now_us);
}

void router_tokens(struct router *router,
		   const struct event_attempt_tokens *tokens, int64_t now_us,
		   struct effects *effects)
{
	struct attempt *attempt =
		attempt_find(router, tokens->id, tokens->attempt);
	struct backend *backend;
	struct request *request;

	(void)effects;
	if (!attempt || attempt->cancelled)
		return;
	request = attempt->request;
	backend = fleet_find(router->options.fleet, attempt->address);
	if (backend) {
		backend->health.last_token_us = now_us;
		server_heard(backend, request->queue->pool, now_us);
	}
	attempt->sent = true;
	request->may_have_run = true;
	attempt->tokens = tokens->tokens;
	if (request->spec.stream) {
		request->delivered = attempt->base + attempt->tokens;
		request_record_chunk(request, now_us);
	}
	if (!attempt->first_us)
		attempt_first_token(router, attempt, now_us);
	else if (!attempt->sound && now_us - attempt->first_us >= PART_SOUND_US)
		attempt_is_sound(router, attempt, now_us);
}

/* Remove an attempt from all counters and free it. */
static void attempt_remove(struct router *router, struct attempt *attempt,
			   int64_t now_us)
{
	struct request *request = attempt->request;
	struct pool *pool = request->queue->pool;
	struct backend *backend;

	backend = fleet_find(router->options.fleet, attempt->address);
	if (backend)
		backend_ended(backend, attempt->prompt_tokens, attempt->work,
			      attempt->is_long, now_us);
	if (backend && attempt->counts_writing && backend->silence.n_writing)
		backend->silence.n_writing--;
	if (attempt->paced)
		divide_ended(&pool->divide, attempt->slots);
	if (attempt->paced && attempt->first_us)
		divide_record_use(&pool->divide,
				  (double)(now_us - attempt->first_us) /
					  (double)attempt->slots,
				  now_us);
	if (attempt->cancelled && attempt->cancel_code == RESULT_PREEMPTED)
		pool->n_preempting--;
	pool_count_attempt(attempt, pool, -1);
	list_remove(&attempt->in_pool);
	list_remove(&attempt->in_request);
	free(attempt);
}

static bool code_is_fault(enum result code)
{
	return code == RESULT_BACKEND_CONNECT ||
	       code == RESULT_BACKEND_TIMEOUT || code == RESULT_BACKEND_BROKE;
}

/* Update the server's health by the result of an attempt. */
static void attempt_update_health(struct router *router,
				  const struct attempt *attempt,
				  const struct event_attempt_ended *ended,
				  int64_t now_us, struct effects *effects)
{
	struct pool *pool = attempt->request->queue->pool;
	struct backend *backend;
	int64_t took_us;
	int64_t wrote_us = 0;

	backend = fleet_find(router->options.fleet, attempt->address);
	if (backend && (ended->code == RESULT_OK || ended->http_status))
		server_heard(backend, pool, now_us);
	if (ended->code == RESULT_OK) {
		took_us = attempt_ran_us(router, attempt, attempt->started_us,
					 now_us);
		if (attempt->first_us)
			wrote_us = attempt_ran_us(router, attempt,
						  attempt->first_us, now_us);
		if (backend)
			health_answered(&backend->health, ended->tokens,
					wrote_us, now_us);
		pool_record_cost(pool, attempt->work, took_us);
		pool_record_time(pool, attempt->request->class->id, took_us,
				 now_us);
		return;
	}
	if (attempt->cancelled || !code_is_fault(ended->code))
		return;
	if (backend)
		health_failed(&backend->health, now_us);
	/*
	 * A middlebox may have dropped the state of all pooled connections to
	 * this address: they look open and transfer nothing.
	 */
	if (!attempt->first_us)
		effects_add(effects, EFFECT_DISTRUST)->u.distrust.address =
			xstrdup(attempt->address);
}

static void request_succeed(struct router *router, struct request *request,
			    struct attempt *attempt,
			    const struct event_attempt_ended *ended,
			    int64_t now_us, struct effects *effects)
{
	int64_t tokens = attempt->base + ended->tokens;
	double true_cost;

	request->delivered = tokens;
	if (ended->prompt_tokens)
		request->prompt_tokens = ended->prompt_tokens;
	if (request->spec.model) {
		true_cost = request->entry.cost + (double)tokens -
			    (double)request->estimate;
		if (router->options.features.fairness)
			sched_settle(&request->queue->sched,
				     request->organisation->id, request->tier,
				     true_cost - request->entry.cost);
	}
	preempt_earn(&router->preempt, tokens, now_us);
	poison_succeeded(&router->poison, request->fingerprint, now_us);
	attempt_is_sound(router, attempt, now_us);
	request_end(router, request, RESULT_OK, ended, now_us, effects);
}

/* Enqueue the request for another attempt, with its old due time. */
static void request_requeue(struct router *router, struct request *request,
			    const struct attempt *attempt, int64_t now_us)
{
	memcpy(request->avoid, attempt->address, sizeof(request->avoid));
	if (!request->spec.stream)
		request->wasted += attempt->tokens;
	/* A stream that has begun waits for servers of its version alone. */
	request_set_queue(router, request, request->queue->pool,
			  request->queue->reclaimable);
	request_enqueue(router, request, now_us);
}

static void request_failed(struct router *router, struct request *request,
			   const struct attempt *attempt,
			   const struct event_attempt_ended *ended,
			   int64_t now_us, struct effects *effects)
{
	struct retry_case why = {
		.code = ended->code,
		.http_status = ended->http_status,
		.sent = request->may_have_run,
		.idempotent = request->spec.idempotent,
		.max_attempts = request->spec.max_attempts,
		.sends = request->n_attempts,
		.reached_server = request->reached_server,
		.tier = request->tier < RULE_TIERS ? request->tier
						   : RULE_TIERS - 1,
		.deadline_us = request->deadline_us,
		.needs_us = request_needs_us(router, request, now_us) / 2,
	};
	enum result code;

	if (!ended->sent && !attempt->sent)
		request->n_rejected++;
	request_count_failed(router, request, attempt, ended, now_us);
	request->tries_parts = false;
	why.attempts = request->n_attempts - request->n_rejected;

	if (ended->code == RESULT_BACKEND_BROKE && request->may_have_run &&
	    attempt_crashed(router, attempt, now_us, effects)) {
		request_end(router, request, RESULT_POISON, ended, now_us,
			    effects);
		return;
	}
	if (request_version_gone(request, now_us))
		code = RESULT_VERSION_GONE;
	else if (request_is_backed_off(router, request, now_us))
		code = (enum result)ended->code;
	else
		code = request_check_retry(router, request, &why, now_us,
					   effects);
	if (code) {
		if (!request->spec.stream)
			request->wasted += attempt->tokens;
		request_end(router, request, code, ended, now_us, effects);
		return;
	}
	request_requeue(router, request, attempt, now_us);
}

/* An attempt was preempted or moved: the request waits again. */
static void request_cancelled(struct router *router, struct request *request,
			      const struct attempt *attempt, int64_t now_us,
			      struct effects *effects)
{
	if (now_us + request_needs_us(router, request, now_us) / 2 >
	    request->deadline_us) {
		request_end(router, request, attempt->cancel_code, NULL, now_us,
			    effects);
		return;
	}
	request_requeue(router, request, attempt, now_us);
	if (attempt->cancel_code == RESULT_PREEMPTED)
		request->avoid[0] = '\0';
}

void router_ended(struct router *router,
		  const struct event_attempt_ended *ended, int64_t now_us,
		  struct effects *effects)
{
	struct attempt *attempt =
		attempt_find(router, ended->id, ended->attempt);
	struct request *request;
	struct attempt copy;
	struct pool *pool;

	if (!attempt)
		return;
	request = attempt->request;
	pool = request->queue->pool;
	if (ended->sent || attempt->sent)
		request->may_have_run = true;
	if (ended->sent || (ended->code != RESULT_BACKEND_CONNECT &&
			    ended->code != RESULT_NO_DESCRIPTOR))
		request->reached_server = true;
	attempt_update_health(router, attempt, ended, now_us, effects);
	router_span(router, request, "attempt", attempt->started_us, now_us,
		    (enum result)ended->code, attempt->address, effects);
	if (attempt->first_us)
		router_span(router, request, "stream", attempt->first_us,
			    now_us, (enum result)ended->code, attempt->address,
			    effects);
	copy = *attempt;
	/*
	 * The edge delivers tokens to the caller until it has executed the
	 * cancel. They are counted; otherwise the next attempt would deliver
	 * them again.
	 */
	if (request->spec.stream &&
	    (!copy.cancelled || request->delivered < copy.base + ended->tokens))
		request->delivered = copy.base + ended->tokens;
	attempt_remove(router, attempt, now_us);
	if (request->state == REQUEST_ENDED) {
		if (list_empty(&request->attempts))
			request_free(router, request);
	} else if (ended->code == RESULT_OK) {
		request_succeed(router, request, &copy, ended, now_us, effects);
	} else if (copy.cancelled) {
		request_cancelled(router, request, &copy, now_us, effects);
	} else {
		request_failed(router, request, &copy, ended, now_us, effects);
	}
	router_dispatch(router, pool, now_us, effects);
}
