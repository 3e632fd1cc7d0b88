#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "bench/sim_state.h"

/* Prompt tokens weigh this much of an output token in a request's work. */
#define SIM_PROMPT_COST 0.1

#define SIM_EXPIRE_US INT64_C(500000)

static void sim_send(struct sim *sim, int from, const struct effect_send *send)
{
	int to = (int)send->peer - 1;
	struct sim_event *event;

	if (to < 0 || to >= sim->n_routers || sim->routers[from].cut ||
	    sim->routers[to].cut)
		return;
	event = sim_at(sim, sim->now_us + SIM_LINK_US, SIM_MESSAGE);
	event->a = to;
	event->id = (uint64_t)from + 1;
	event->body = bytes_copy(&send->body);
}

static void sim_effects(struct sim *sim, int from, struct effects *effects)
{
	struct effect *effect;

	while ((effect = effects_take(effects))) {
		switch (effect->kind) {
		case EFFECT_ANSWER:
			sim_answer(sim, &effect->u.answer);
			break;
		case EFFECT_START_ATTEMPT:
			sim_start(sim, &effect->u.start);
			break;
		case EFFECT_CANCEL_ATTEMPT:
			sim_cancel(sim, &effect->u.cancel);
			break;
		case EFFECT_SEND:
			sim_send(sim, from, &effect->u.send);
			break;
		default:
			break;
		}
		effect_free(effect);
	}
}

static struct class_rule class_rule_of(const struct scenario_class *from)
{
	struct class_rule rule = {
		.tier = (int)from->tier,
		.first_token_us = (int64_t)(from->first_token_target_s * 1e6),
		.inter_token_us = (int64_t)(from->inter_token_target_s * 1e6),
		.deadline_us = (int64_t)(from->deadline_s * 1e6),
		.min_share = from->min_share,
		.queue_bound = from->queue_bound,
		.idempotent = from->idempotent,
		.reclaimable = from->reclaimable,
	};

	memcpy(rule.name, from->name, sizeof(rule.name));
	return rule;
}

static struct organisation_rule
organisation_rule_of(const struct scenario_organisation *from)
{
	struct organisation_rule rule = {
		.max_concurrent = from->max_concurrent,
		.requests_per_min = from->requests_per_min,
		.tokens_per_min = from->tokens_per_min,
		.burst_s = from->burst_s,
	};

	memcpy(rule.name, from->name, sizeof(rule.name));
	return rule;
}

static void sim_router_rules(struct sim *sim, struct router *router)
{
	const struct scenario *scenario = sim->scenario;
	struct organisation_rule organisation;
	struct class_rule class;
	struct effects effects;
	int i;

	effects_init(&effects);
	for (i = 0; i < scenario->n_classes; i++) {
		class = class_rule_of(&scenario->classes[i]);
		router_set_class(router, &class, sim->now_us, &effects);
	}
	for (i = 0; i < scenario->n_organisations; i++) {
		organisation =
			organisation_rule_of(&scenario->organisations[i]);
		router_set_organisation(router, &organisation, sim->now_us);
	}
	effects_clear(&effects);
}

static void sim_peers(struct sim *sim)
{
	uint64_t *members = xcalloc((size_t)sim->n_routers, sizeof(*members));
	int i;

	for (i = 0; i < sim->n_routers; i++)
		members[i] = (uint64_t)i + 1;
	for (i = 0; i < sim->n_routers; i++)
		if (sim->routers[i].real)
			router_peers(sim->routers[i].real, 1, members,
				     sim->n_routers, sim->now_us);
	free(members);
}

void sim_routers_open(struct sim *sim, uint64_t seed)
{
	int i;

	sim->n_routers = sim->policy->central ? 1 : (int)sim->scenario->routers;
	sim->routers = xcalloc((size_t)sim->n_routers, sizeof(*sim->routers));
	for (i = 0; i < sim->n_routers; i++) {
		struct sim_router *router = &sim->routers[i];
		struct router_options options = {
			.seed = seed * 31 + (uint64_t)i,
			.self = (uint64_t)i + 1,
			.zone = "z1",
			.fleet = &router->fleet,
			.features = sim->policy->features,
		};

		fleet_init(&router->fleet);
		sim_at(sim, sim->now_us + i * 7000 + 1, SIM_TICK)->a = i;
		if (sim->policy->kind != POLICY_ROUTER) {
			router->plain =
				plain_new(&router->fleet,
					  sim->policy->kind == POLICY_LEAST);
			continue;
		}
		router->real = router_new(&options);
		sim_router_rules(sim, router->real);
	}
	sim_peers(sim);
}

void sim_routers_close(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n_routers; i++) {
		router_free(sim->routers[i].real);
		plain_free(sim->routers[i].plain);
		fleet_clear(&sim->routers[i].fleet);
	}
	free(sim->routers);
}

void sim_submit(struct sim *sim, struct sim_request *request)
{
	const struct scenario_traffic *traffic =
		&sim->scenario->traffic[request->traffic];
	const struct scenario_class *class =
		&sim->scenario->classes[request->class_index];
	struct sim_router *router = &sim->routers[request->router];
	struct router_request ask = {
		.id = request->id,
		.organisation = traffic->organisation,
		.class_name = traffic->class_name,
		.model = traffic->model,
		.body_hash = request->body_hash,
		.prefix_hash = request->prefix,
		.prompt_tokens = request->prompt_tokens,
		.max_tokens = traffic->max_tokens,
		.arrived_us = sim->now_us,
		.idempotent = class->idempotent,
		.stream = !traffic->whole,
	};
	struct effects effects;

	effects_init(&effects);
	if (router->real)
		router_submit(router->real, &ask, sim->now_us, &effects);
	else
		plain_submit(router->plain, &ask, sim->now_us, &effects);
	sim_effects(sim, request->router, &effects);
}

void sim_caller_left(struct sim *sim, struct sim_request *request)
{
	struct sim_router *router = &sim->routers[request->router];
	struct effects effects;

	effects_init(&effects);
	if (router->real)
		router_caller_left(router->real, request->id, sim->now_us,
				   &effects);
	else
		plain_caller_left(router->plain, request->id, &effects);
	sim_effects(sim, request->router, &effects);
}

void sim_sent(struct sim *sim, struct sim_attempt *attempt)
{
	struct sim_request *request = attempt->request;
	struct event_attempt_sent sent = { request->id, attempt->number };
	struct sim_router *router = &sim->routers[request->router];
	struct effects effects;

	if (!request->started) {
		request->started = true;
		measure_started(sim->measure, request->class_index,
				(double)request->output_tokens +
					SIM_PROMPT_COST *
						(double)request->prompt_tokens,
				sim->engines[attempt->engine].from->cheap);
	}
	if (!router->real)
		return;
	effects_init(&effects);
	router_sent(router->real, &sent, sim->now_us, &effects);
	sim_effects(sim, request->router, &effects);
}

void sim_tokens(struct sim *sim, struct sim_attempt *attempt, int64_t tokens)
{
	struct sim_request *request = attempt->request;
	struct sim_router *router = &sim->routers[request->router];
	struct event_attempt_tokens event = {
		.id = request->id,
		.attempt = attempt->number,
		.tokens = tokens,
		.first = !attempt->told_first,
	};
	struct effects effects;

	attempt->told_first = true;
	if (!request->answered) {
		request->delivered = attempt->resume + tokens;
		if (!request->first_us)
			request->first_us = sim->now_us;
	}
	if (!router->real)
		return;
	effects_init(&effects);
	router_tokens(router->real, &event, sim->now_us, &effects);
	sim_effects(sim, request->router, &effects);
}

void sim_ended(struct sim *sim, struct sim_attempt *attempt, int64_t tokens,
	       enum result code)
{
	struct sim_request *request = attempt->request;
	struct sim_router *router = &sim->routers[request->router];
	struct event_attempt_ended ended = {
		.id = request->id,
		.attempt = attempt->number,
		.code = code,
		.tokens = tokens,
		.prompt_tokens = request->prompt_tokens,
		.sent = attempt->received,
	};
	struct effects effects;

	if (!request->answered && tokens > 0) {
		request->delivered = attempt->resume + tokens;
		if (!request->first_us)
			request->first_us = sim->now_us;
	}
	effects_init(&effects);
	if (router->real)
		router_ended(router->real, &ended, sim->now_us, &effects);
	else
		plain_ended(router->plain, &ended, sim->now_us, &effects);
	sim_effects(sim, request->router, &effects);
}

void sim_announced(struct sim *sim, int index,
		   const struct event_announce *announce)
{
	struct sim_router *router = &sim->routers[index];
	enum announce_outcome outcome;
	struct effects effects;

	outcome = fleet_announce(&router->fleet, announce, sim->now_us);
	if (!router->real ||
	    (outcome != ANNOUNCE_JOINED && outcome != ANNOUNCE_LEFT))
		return;
	effects_init(&effects);
	router_fleet_changed(router->real, sim->now_us, &effects);
	sim_effects(sim, index, &effects);
}

void sim_cached(struct sim *sim, int index, int engine, uint64_t prefix)
{
	struct event_cache cache = {
		.address = sim->engines[engine].address,
		.prefix_hash = prefix,
		.held = true,
	};

	if (sim->routers[index].real)
		router_cache(sim->routers[index].real, &cache, sim->now_us);
}

void sim_message(struct sim *sim, int index, uint64_t peer,
		 const struct bytes *body)
{
	struct effects effects;

	if (!sim->routers[index].real || sim->routers[index].cut)
		return;
	effects_init(&effects);
	router_message(sim->routers[index].real, peer, body, sim->now_us,
		       &effects);
	sim_effects(sim, index, &effects);
}

void sim_tick(struct sim *sim, int index)
{
	struct sim_router *router = &sim->routers[index];
	int64_t next_us = sim->now_us + SIM_EXPIRE_US;
	struct effects effects;

	effects_init(&effects);
	if (sim->now_us - router->expired_us >= SIM_EXPIRE_US) {
		router->expired_us = sim->now_us;
		if (fleet_expire(&router->fleet, sim->now_us, NULL, NULL) &&
		    router->real)
			router_fleet_changed(router->real, sim->now_us,
					     &effects);
	}
	if (router->real) {
		router_tick(router->real, sim->now_us, &effects);
		next_us = router_next_tick(router->real, sim->now_us);
	}
	sim_effects(sim, index, &effects);
	sim_at(sim, next_us > sim->now_us ? next_us : sim->now_us + 1, SIM_TICK)
		->a = index;
}
