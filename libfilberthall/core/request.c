/*
 * Callers' requests: authenticates and authorises the caller, opens a claim for
 * a call that may not be repeated, and submits the request to the router. A
 * disconnected VM doesn't receive withdrawals of keys, so it refuses all
 * requests once its state is older than the staleness bound. A caller without
 * an answer may send a non-repeatable call again through another VM. Its claim
 * is therefore committed to the log before anything is sent, and the second
 * request finds it.
 */
#include <stdlib.h>
#include <string.h>

#include "agree/rules.h"
#include "base/alloc.h"
#include "core/core_state.h"

/* Retry-after of a refusal whose cause is temporary. */
#define REQUEST_RETRY_AFTER_MS 1000

/* Result of checking a request against the settings. */
struct request_plan {
	const struct key *key;
	const char *class_name;
	const char *dedup_key; /* NULL: not claimed */
	bool idempotent;
	enum result code;
	const char *message;
};

static bool request_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct caller_request, node)
		       ->event->u.request.id == *(const uint64_t *)key;
}

struct caller_request *caller_request_find(struct core *core, uint64_t id)
{
	struct map_node *node;

	node = map_find(&core->requests, map_hash(&id, sizeof(id)),
			request_match, &id);
	return node ? container_of(node, struct caller_request, node) : NULL;
}

void caller_request_free(struct core *core, struct caller_request *request)
{
	map_remove(&core->requests, &request->node);
	list_remove(&request->claim_waiters_node);
	event_free(request->event);
	free(request->key_id);
	free(request->organisation);
	free(request->class_name);
	free(request);
}

void request_free_all(struct core *core)
{
	struct caller_request *request;
	struct caller_request *next;

	map_foreach(request, next, &core->requests, node)
		caller_request_free(core, request);
	map_clear(&core->requests);
}

static void request_refuse(struct core *core, struct caller_request *request,
			   enum result code, int64_t retry_after_ms,
			   const char *message)
{
	metrics_count_refusal(core->metrics, request->class_name,
			      request->organisation, code);
	answer_refuse(core, request, code, RUN_NOT, retry_after_ms, message);
	caller_request_free(core, request);
}

static void request_plan_set_refusal(struct request_plan *plan,
				     enum result code, const char *message)
{
	plan->code = code;
	plan->message = message;
}

static void request_plan_service(struct core *core,
				 const struct event_request *asked,
				 struct request_plan *plan)
{
	const struct settings *settings = agreed_settings(core->agreed);
	const struct service_rule *service;
	const struct route_rule *route;

	service = rules_service(settings, asked->service);
	route = service ? rules_route(service, asked->method, asked->path)
			: NULL;
	if (!route) {
		request_plan_set_refusal(plan, RESULT_NO_ROUTE, asked->service);
		return;
	}
	if (!plan->class_name && route->class_name[0])
		plan->class_name = route->class_name;
	plan->idempotent = route->idempotency == IDEMPOTENCY_SAFE;
	if (route->idempotency == IDEMPOTENCY_REQUIRED) {
		plan->dedup_key = asked->idempotency_key;
		if (!plan->dedup_key)
			request_plan_set_refusal(
				plan, RESULT_NEEDS_IDEMPOTENCY_KEY,
				"send a header Idempotency-Key that is new for "
				"each call and the same for a resend");
	} else if (route->idempotency == IDEMPOTENCY_BODY) {
		plan->dedup_key = asked->idempotency_key
					  ? asked->idempotency_key
					  : asked->body_hash;
	}
}

static void request_plan_completion(struct core *core,
				    const struct event_request *asked,
				    struct request_plan *plan)
{
	const struct class_rule *rule;

	if (!plan->class_name)
		return;
	rule = rules_class(agreed_settings(core->agreed), plan->class_name);
	plan->idempotent = rule && rule->idempotent;
	if (!plan->idempotent)
		plan->dedup_key = asked->idempotency_key;
}

static void request_plan_permit(struct core *core,
				const struct event_request *asked,
				struct request_plan *plan)
{
	enum result code;

	if (!plan->class_name) {
		request_plan_set_refusal(
			plan, RESULT_CLASS_FORBIDDEN,
			"the key has no default class; name one "
			"in X-Filberthall-Class");
		return;
	}
	code = key_permits(plan->key, agreed_settings(core->agreed),
			   plan->class_name, asked->model, asked->service);
	if (code)
		request_plan_set_refusal(plan, code, NULL);
}

static struct request_plan request_plan(struct core *core,
					const struct event_request *asked)
{
	struct request_plan plan = { 0 };

	if (!asked->key_hash) {
		request_plan_set_refusal(
			&plan, RESULT_NO_KEY,
			"send a header Authorization: Bearer KEY");
		return plan;
	}
	plan.key = keys_find(agreed_keys(core->agreed), asked->key_hash);
	if (!plan.key || !plan.key->caller) {
		request_plan_set_refusal(&plan, RESULT_KEY_UNKNOWN, NULL);
		return plan;
	}
	/*
	 * Class: the caller's header, else the route's default, else the
	 * key's.
	 */
	plan.class_name = asked->class_name;
	if (asked->kind == REQUEST_SERVICE)
		request_plan_service(core, asked, &plan);
	if (!plan.class_name && plan.key->default_class[0])
		plan.class_name = plan.key->default_class;
	if (asked->kind != REQUEST_SERVICE)
		request_plan_completion(core, asked, &plan);
	if (!plan.code)
		request_plan_permit(core, asked, &plan);
	return plan;
}

static void request_route(struct core *core, struct caller_request *request)
{
	const struct event_request *asked = &request->event->u.request;
	const struct key *key =
		keys_find_id(agreed_keys(core->agreed), request->key_id);
	struct router_request routed = { 0 };

	list_remove(&request->claim_waiters_node);
	request->state = REQUEST_ROUTED;
	routed.id = asked->id;
	routed.organisation = request->organisation;
	routed.key_id = request->key_id;
	routed.key_max_concurrent = key ? key->max_concurrent : 0;
	routed.key_requests_per_min = key ? key->requests_per_min : 0;
	routed.class_name = request->class_name;
	routed.model = asked->model;
	routed.adapter = asked->adapter;
	routed.service = asked->service;
	routed.body_hash = asked->body_hash;
	routed.trace = asked->trace;
	routed.prefix_hash = asked->prefix_hash;
	routed.prompt_tokens = asked->prompt_tokens;
	routed.max_tokens = asked->max_tokens;
	routed.arrived_us = request->arrived_us;
	routed.deadline_us = request->deadline_us;
	routed.idempotent = request->idempotent;
	routed.stream = asked->stream;
	routed.keep_answer = request->claim_id[0];
	routed.send_by_us = request->claim_id[0] ? request->deadline_us : 0;
	router_submit(core->router, &routed, core->now_us, core->effects);
}

void request_propose_claim(struct core *core, struct claim_op *op,
			   int64_t give_up_us)
{
	struct entry_head head = consensus_head(core);
	struct bytes entry = { 0 };

	head.incarnation = core->claim_owner;
	entry_claims(&entry, &head, op, 1);
	propose_entry(core, head.ticket, &entry, give_up_us);
}

static void request_claim(struct core *core, struct caller_request *request)
{
	const struct event_request *asked = &request->event->u.request;
	struct claim_op op = { 0 };

	request->state = REQUEST_CLAIMING;
	list_remove(&request->claim_waiters_node);
	list_append(&core->claim_waiters, &request->claim_waiters_node);
	op.verb = CLAIM_VERB_OPEN;
	op.ticket = asked->id;
	memcpy(op.id, request->claim_id, sizeof(op.id));
	op.body_hash = asked->body_hash;
	op.sending = true;
	request_propose_claim(core, &op, request->deadline_us);
}

static void request_release_claim(struct core *core, const char *claim_id,
				  uint64_t ticket)
{
	struct claim_op op = { 0 };

	op.verb = CLAIM_VERB_RELEASE;
	op.ticket = ticket;
	memcpy(op.id, claim_id, sizeof(op.id));
	request_propose_claim(core, &op,
			      core->now_us + REQUEST_MAX_DEADLINE_US);
}

/* Answers or queues a request whose claim exists already. */
static void request_handle_claim_state(struct core *core,
				       struct caller_request *request,
				       enum result code)
{
	const struct claim *claim;

	switch (code) {
	case RESULT_CLAIM_DONE:
		claim = claims_find(agreed_claims(core->agreed),
				    request->claim_id);
		answer_from_claim(core, request, claim);
		caller_request_free(core, request);
		break;
	case RESULT_CLAIM_RUNNING:
		request->state = REQUEST_AWAITING_CLAIM;
		list_remove(&request->claim_waiters_node);
		list_append(&core->claim_waiters, &request->claim_waiters_node);
		break;
	case RESULT_CLAIM_UNKNOWN:
	case RESULT_CLAIM_ANSWER_GONE:
		answer_refuse(core, request, code,
			      code == RESULT_CLAIM_UNKNOWN ? RUN_UNKNOWN
							   : RUN_RAN,
			      0, NULL);
		caller_request_free(core, request);
		break;
	case RESULT_KEY_REUSED:
		request_refuse(core, request, code, 0, NULL);
		break;
	default:
		request_refuse(core, request, code, REQUEST_RETRY_AFTER_MS,
			       NULL);
		break;
	}
}

static void request_check_claim(struct core *core,
				struct caller_request *request)
{
	enum result code;

	code = claims_check_open(agreed_claims(core->agreed), request->claim_id,
				 request->event->u.request.body_hash);
	if (code)
		request_handle_claim_state(core, request, code);
	else
		request_claim(core, request);
}

static int64_t request_deadline(struct core *core,
				const struct event_request *asked,
				const char *class_name)
{
	const struct class_rule *rule;
	int64_t us = REQUEST_MAX_DEADLINE_US;

	rule = rules_class(agreed_settings(core->agreed), class_name);
	if (rule && rule->deadline_us)
		us = rule->deadline_us;
	if (asked->deadline_ms > 0 && asked->deadline_ms * 1000 < us)
		us = asked->deadline_ms * 1000;
	return core->now_us + us;
}

void request_arrived(struct core *core, struct event *event)
{
	struct caller_request *request = xcalloc(1, sizeof(*request));
	const struct event_request *asked = &event->u.request;
	struct request_plan plan;

	request->event = event;
	request->arrived_us = core->now_us;
	list_init(&request->claim_waiters_node);
	map_insert(&core->requests, &request->node,
		   map_hash(&asked->id, sizeof(asked->id)));
	if (core->stop_deadline_us || !consensus_is_fresh(core)) {
		request_refuse(core, request,
			       core->stop_deadline_us ? RESULT_STOPPING
						      : RESULT_STALE,
			       REQUEST_RETRY_AFTER_MS, NULL);
		return;
	}
	plan = request_plan(core, asked);
	if (plan.key) {
		request->key_id = xstrdup(plan.key->id);
		request->organisation = xstrdup(plan.key->organisation);
	}
	if (plan.code) {
		request_refuse(core, request, plan.code, 0, plan.message);
		return;
	}
	request->class_name = xstrdup(plan.class_name);
	request->idempotent = plan.idempotent;
	request->deadline_us = request_deadline(core, asked, plan.class_name);
	if (!plan.dedup_key) {
		request_route(core, request);
		return;
	}
	claim_id(request->claim_id, request->organisation,
		 asked->service ? asked->service : "", plan.dedup_key);
	request_check_claim(core, request);
}

void request_claim_outcome(struct core *core,
			   const struct claim_outcome *outcome)
{
	struct caller_request *request =
		caller_request_find(core, outcome->ticket);

	if (outcome->verb != CLAIM_VERB_OPEN)
		return;
	if (!request || request->state != REQUEST_CLAIMING ||
	    strcmp(request->claim_id, outcome->id)) {
		/*
		 * The request was answered "not run" before its claim was
		 * committed. Unless the claim is released, it stays open and
		 * a resend of the caller waits for an answer that never
		 * comes. If the same entry is committed twice, the second one
		 * finds the request already routed.
		 */
		if (!outcome->code && !request)
			request_release_claim(core, outcome->id,
					      outcome->ticket);
		return;
	}
	if (outcome->code) {
		request_handle_claim_state(core, request, outcome->code);
		return;
	}
	answer_span(core, request, "claim", request->arrived_us, RESULT_OK,
		    NULL);
	request->claim_granted_us = core->now_us;
	request_route(core, request);
}

/*
 * Checks the claims of waiting requests again after a change of one claim, or
 * of any if `claim_id` is NULL.
 */
void request_claim_changed(struct core *core, const char *claim_id)
{
	struct caller_request *request;
	struct caller_request *next;

	list_foreach_safe(request, next, &core->claim_waiters,
			  claim_waiters_node)
		if (request->state == REQUEST_AWAITING_CLAIM &&
		    (!claim_id || !strcmp(request->claim_id, claim_id)))
			request_check_claim(core, request);
}

void request_withdraw_key(struct core *core, const char *key_id)
{
	struct caller_request *request;
	struct caller_request *next;

	list_foreach_safe(request, next, &core->claim_waiters,
			  claim_waiters_node)
		if (!strcmp(request->key_id, key_id))
			request_refuse(core, request, RESULT_KEY_WITHDRAWN, 0,
				       NULL);
	router_withdraw_key(core->router, key_id, core->now_us, core->effects);
}

/*
 * Cancels the request of a caller that disconnected, unless the request is
 * claimed and already routed: cancelling that one would make its outcome
 * "unknown", while its completion stores an answer for the caller's resend.
 */
void request_caller_left(struct core *core, uint64_t id)
{
	struct caller_request *request = caller_request_find(core, id);

	if (!request)
		return;
	request->caller_left = true;
	if (request->state == REQUEST_ROUTED) {
		if (!request->claim_id[0])
			router_caller_left(core->router, id, core->now_us,
					   core->effects);
		return;
	}
	metrics_count_refusal(core->metrics, request->class_name,
			      request->organisation, RESULT_CALLER_LEFT);
	answer_refuse(core, request, RESULT_CALLER_LEFT, RUN_NOT, 0, NULL);
	caller_request_free(core, request);
}

/* Refuses requests that still wait for their claim at their deadline. */
void request_expire(struct core *core)
{
	struct caller_request *request;
	struct caller_request *next;

	list_foreach_safe(request, next, &core->claim_waiters,
			  claim_waiters_node) {
		if (request->deadline_us > core->now_us)
			continue;
		if (request->state == REQUEST_AWAITING_CLAIM)
			answer_refuse(core, request, RESULT_CLAIM_RUNNING,
				      RUN_UNKNOWN, REQUEST_RETRY_AFTER_MS,
				      NULL);
		else
			answer_refuse(core, request, RESULT_NO_QUORUM, RUN_NOT,
				      REQUEST_RETRY_AFTER_MS, NULL);
		caller_request_free(core, request);
	}
}
