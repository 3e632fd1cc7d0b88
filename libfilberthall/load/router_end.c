#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "load/router_state.h"

static bool request_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct request, node)->spec.id ==
	       *(const uint64_t *)key;
}

static uint64_t request_hash(uint64_t id)
{
	return map_hash(&id, sizeof(id));
}

struct request *request_find(const struct router *router, uint64_t id)
{
	struct map_node *node = map_find(&router->requests, request_hash(id),
					 request_match, &id);

	return node ? container_of(node, struct request, node) : NULL;
}

/** The attempt that isn't cancelled, or NULL. */
struct attempt *request_attempt(const struct request *request)
{
	struct attempt *attempt;

	list_foreach(attempt, &request->attempts, in_request)
		if (!attempt->cancelled)
			return attempt;
	return NULL;
}

void request_set_timer(struct router *router, struct request *request,
		       int64_t at_us)
{
	request->timer_us = at_us;
	if (!request->timer.place)
		heap_push(&router->timers, &request->timer);
	else
		heap_moved(&router->timers, &request->timer);
}

static void class_unref(struct router_class *class)
{
	class->n_requests--;
	if (class->removed && !class->n_requests)
		free(class);
}

static void organisation_unref(struct organisation *organisation)
{
	organisation->n_requests--;
	if (organisation->removed && !organisation->n_requests)
		free(organisation);
}

static void request_free_text(struct request *request)
{
	free((char *)request->spec.organisation);
	free((char *)request->spec.key_id);
	free((char *)request->spec.class_name);
	free((char *)request->spec.model);
	free((char *)request->spec.adapter);
	free((char *)request->spec.service);
	free((char *)request->spec.body_hash);
	free((char *)request->spec.trace);
	free((uint64_t *)request->spec.parts);
}

/** Free a request that has been answered and has no attempts left. */
void request_free(struct router *router, struct request *request)
{
	heap_remove(&router->timers, &request->timer);
	map_remove(&router->requests, &request->node);
	request_unset_queue(request);
	class_unref(request->class);
	organisation_unref(request->organisation);
	if (request->key)
		request->key->n_requests--;
	request_free_text(request);
	free(request);
}

/*
 * RUN_NOT guarantees that no server executed the request. It requires that no
 * byte was sent and that no attempt is in progress, since the edge may still
 * send a byte before it receives the cancel.
 */
static enum run_state request_run(const struct request *request,
				  enum result code)
{
	if (code == RESULT_OK)
		return RUN_RAN;
	if (request->may_have_run || !list_empty(&request->attempts))
		return RUN_UNKNOWN;
	return RUN_NOT;
}

static bool request_attained(const struct request *request, enum result code,
			     int64_t now_us)
{
	const struct class_rule *rule = &request->class->rule;
	int64_t first =
		request->first_token_us ? request->first_token_us : now_us;
	int64_t gaps = request->delivered - 1;

	if (code || now_us > request->deadline_us)
		return false;
	if (request->target_us && first > request->target_us)
		return false;
	/*
	 * The mean below doesn't show pauses: a stream that stalls for a second
	 * during the prefill of other requests still has a low mean.
	 */
	if (rule->pause_us && request->pause_us > rule->pause_us)
		return false;
	return !rule->inter_token_us || gaps < 1 ||
	       (now_us - first) / gaps <= rule->inter_token_us;
}

static void request_report(struct router *router, struct request *request,
			   enum result code, enum run_state run,
			   const struct event_attempt_ended *ended,
			   int64_t now_us)
{
	const struct router_hooks *hooks = &router->options.hooks;
	struct router_outcome outcome = {
		.id = request->spec.id,
		.code = code,
		.run = run,
		.organisation = request->spec.organisation,
		.class_name = request->spec.class_name,
		.model = request->spec.model,
		.address = request->address[0] ? request->address : NULL,
		.tier = request->class->rule.tier,
		.attempts = request->n_attempts,
		.prompt_tokens = request->prompt_tokens,
		.output_tokens = request->delivered,
		.wasted_tokens = request->wasted,
		.arrived_us = request->spec.arrived_us,
		.first_token_us = request->first_token_us,
		.pause_us = request->pause_us,
		.ended_us = now_us,
		.attained = request_attained(request, code, now_us),
	};

	if (ended && request->spec.keep_answer) {
		outcome.answer = &ended->answer;
		outcome.content_type = ended->content_type;
	}
	if (ended)
		outcome.http_status = ended->http_status;
	if (hooks->finished)
		hooks->finished(hooks->data, &outcome);
}

/* Refund the charges to the limits, or correct them to the actual use. */
static void request_settle(struct router *router, struct request *request,
			   enum result code, int64_t now_us)
{
	struct quota *quota = &request->organisation->quota;
	int64_t used =
		request->prompt_tokens + request->delivered + request->wasted;

	if (code == RESULT_OK && request->spec.model)
		length_record(&router->length, request->spec.class_name,
			      request->spec.model, request->delivered);
	if (!request->limits_charged)
		return;
	if (request->n_attempts)
		quota_release(quota, used - request->charged_tokens, now_us);
	else
		quota_undo(quota, request->charged_tokens, now_us);
	if (request->key && request->n_attempts)
		quota_release(&request->key->quota, 0, now_us);
	else if (request->key)
		quota_undo(&request->key->quota, 0, now_us);
}

static void request_answer(const struct request *request, enum result code,
			   enum run_state run, int64_t retry_after_ms,
			   struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_ANSWER);

	effect->u.answer.id = request->spec.id;
	effect->u.answer.code = code;
	effect->u.answer.run = run;
	effect->u.answer.retry_after_ms = retry_after_ms;
}

static void request_finish(struct router *router, struct request *request,
			   enum result code, int64_t retry_after_ms,
			   const struct event_attempt_ended *ended,
			   int64_t now_us, struct effects *effects)
{
	enum run_state run = request_run(request, code);
	struct attempt *attempt;

	if (request->state == REQUEST_ENDED)
		return;
	if (request->state == REQUEST_WAITING) {
		request_dequeue(router, request);
		router_span(router, request, "queue", request->waiting_since_us,
			    now_us, code, NULL, effects);
	}
	request_count_ended(request, code, now_us);
	request->state = REQUEST_ENDED;
	router->open--;
	heap_remove(&router->timers, &request->timer);
	list_foreach(attempt, &request->attempts, in_request) {
		if (attempt->cancelled)
			continue;
		if (!request->spec.stream)
			request->wasted += attempt->tokens;
		if (code == RESULT_CALLER_LEFT)
			attempt_note_left(router, attempt, now_us);
		attempt_cancel(attempt, code, effects);
	}
	if (code != RESULT_OK)
		request->wasted += request->delivered;
	request_answer(request, code, run, retry_after_ms, effects);
	request_settle(router, request, code, now_us);
	request_report(router, request, code, run, ended, now_us);
	request->class->running -= request->n_attempts > 0;
	if (list_empty(&request->attempts))
		request_free(router, request);
}

/** Refuse a request; the answer contains the time to retry after. */
void request_refuse(struct router *router, struct request *request,
		    enum result code, int64_t retry_after_ms, int64_t now_us,
		    struct effects *effects)
{
	request_finish(router, request, code, retry_after_ms, NULL, now_us,
		       effects);
}

/** End a request; its remaining attempts are cancelled. */
void request_end(struct router *router, struct request *request,
		 enum result code, const struct event_attempt_ended *ended,
		 int64_t now_us, struct effects *effects)
{
	request_finish(router, request, code,
		       (request_backoff_us(request, now_us) + 999) / 1000,
		       ended, now_us, effects);
}

static void request_withdraw(struct router *router, struct request *request,
			     int64_t now_us)
{
	request_dequeue(router, request);
	request->state = REQUEST_ENDED;
	router->open--;
	request_settle(router, request, RESULT_CALLER_LEFT, now_us);
	request->class->running -= request->n_attempts > 0;
	request_free(router, request);
}

void router_withdraw(struct router *router, const char *service,
		     void (*taken)(void *data, uint64_t id, bool may_have_run),
		     void *data, int64_t now_us)
{
	struct pool *pool = pool_get(router, NULL, service, now_us);
	struct request *request;
	struct request *next;
	bool may_have_run;
	uint64_t id;
	int tier;

	for (tier = 0; tier < SCHED_TIERS; tier++) {
		list_foreach_safe(request, next, &pool->pressure[tier].order,
				  in_tier) {
			if (!list_empty(&request->attempts))
				continue;
			id = request->spec.id;
			may_have_run = request->may_have_run;
			request_withdraw(router, request, now_us);
			taken(data, id, may_have_run);
		}
	}
}

void router_stop(struct router *router, int64_t now_us, struct effects *effects)
{
	struct request *request;
	struct request *next;

	map_foreach(request, next, &router->requests, node)
		request_end(router, request, RESULT_STOPPING, NULL, now_us,
			    effects);
}
