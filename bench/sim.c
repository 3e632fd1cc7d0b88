#include "bench/sim.h"

#include <stdlib.h>

#include "base/alloc.h"
#include "bench/sim_state.h"

static bool event_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct sim_event *x = container_of(a, struct sim_event, node);
	const struct sim_event *y = container_of(b, struct sim_event, node);

	if (x->at_us != y->at_us)
		return x->at_us < y->at_us;
	return x->sequence < y->sequence;
}

struct sim_event *sim_at(struct sim *sim, int64_t at_us, enum sim_kind kind)
{
	struct sim_event *event = xcalloc(1, sizeof(*event));

	event->at_us = at_us;
	event->sequence = ++sim->sequence;
	event->kind = kind;
	heap_push(&sim->events, &event->node);
	return event;
}

struct sim_request *sim_request(const struct sim *sim, uint64_t id)
{
	return id && id <= sim->n_requests ? sim->requests[id - 1] : NULL;
}

static void sim_event_free(struct sim_event *event)
{
	if (event->announce)
		event_announce_clear(event->announce);
	free(event->announce);
	bytes_clear(&event->body);
	free(event);
}

static void sim_interval(struct sim *sim)
{
	measure_interval(sim->measure);
	if (sim->now_us < sim->end_us)
		sim_at(sim, sim->now_us + (int64_t)(MEASURE_INTERVAL_S * 1e6),
		       SIM_INTERVAL);
}

static void sim_handle(struct sim *sim, const struct sim_event *event)
{
	switch (event->kind) {
	case SIM_ARRIVAL:
		sim_arrival(sim, event->a);
		break;
	case SIM_PATIENCE:
		sim_patience(sim, event->id);
		break;
	case SIM_RESEND:
		sim_resend(sim, event->id);
		break;
	case SIM_ENGINE_ARRIVE:
		sim_engine_arrive(sim, event->attempt);
		break;
	case SIM_ENGINE_CANCEL:
		sim_engine_cancel(sim, event->attempt);
		break;
	case SIM_ENGINE_STEP:
		sim_engine_step(sim, event->a, event->n);
		break;
	case SIM_PROGRESS:
		sim_progress(sim, event->a);
		break;
	case SIM_SENT:
		sim_sent(sim, event->attempt);
		break;
	case SIM_TOKENS:
		sim_tokens(sim, event->attempt, event->n);
		break;
	case SIM_ENDED:
		sim_ended(sim, event->attempt, event->n, event->code);
		break;
	case SIM_TIMEOUT:
		sim_timeout(sim, event->attempt, event->n);
		break;
	case SIM_ANNOUNCE:
		sim_announce(sim, event->a);
		break;
	case SIM_ANNOUNCED:
		sim_announced(sim, event->a, event->announce);
		break;
	case SIM_CACHED:
		sim_cached(sim, event->a, (int)event->n, event->id);
		break;
	case SIM_TICK:
		sim_tick(sim, event->a);
		break;
	case SIM_MESSAGE:
		sim_message(sim, event->a, event->id, &event->body);
		break;
	case SIM_FAULT:
		sim_fault(sim, event->a);
		break;
	case SIM_FAULT_END:
		sim_fault_end(sim, event->a);
		break;
	case SIM_RESTART:
		sim_engine_boot(sim, event->a);
		break;
	case SIM_INTERVAL:
		sim_interval(sim);
		break;
	}
}

static void sim_schedule(struct sim *sim)
{
	const struct scenario *scenario = sim->scenario;
	int i;

	for (i = 0; i < scenario->n_traffic; i++)
		sim_next_arrival(sim, i);
	for (i = 0; i < scenario->n_faults; i++)
		sim_at(sim,
		       SIM_START_US + (int64_t)(scenario->faults[i].at_s * 1e6),
		       SIM_FAULT)
			->a = i;
	sim_at(sim, SIM_START_US, SIM_INTERVAL);
}

static void sim_open(struct sim *sim, const struct sim_options *options,
		     struct measure *measure)
{
	const struct scenario *scenario = options->scenario;
	int i;

	sim->scenario = scenario;
	sim->policy = options->policy;
	sim->measure = measure;
	sim->now_us = SIM_START_US;
	sim->end_us = SIM_START_US + (int64_t)(scenario->duration_s * 1e6);
	sim->rng.state = options->seed;
	heap_init(&sim->events, event_before);
	sim->traffic =
		xcalloc((size_t)scenario->n_traffic + 1, sizeof(*sim->traffic));
	for (i = 0; i < scenario->n_traffic; i++) {
		sim->traffic[i].rng.state =
			options->seed * 1000003 + (uint64_t)i * 7919 + 1;
		rng_next(&sim->traffic[i].rng);
		sim->traffic[i].prefix_base = ((uint64_t)i + 1) << 20;
	}
	sim_engines_open(sim);
	sim_routers_open(sim, options->seed);
}

static void sim_close(struct sim *sim)
{
	struct heap_node *top;
	struct sim_event *event;

	while ((top = heap_top(&sim->events))) {
		event = container_of(top, struct sim_event, node);
		heap_remove(&sim->events, top);
		sim_event_free(event);
	}
	heap_clear(&sim->events);
	sim_account(sim);
	sim_routers_close(sim);
	sim_engines_close(sim);
	free(sim->traffic);
	free(sim->requests);
}

/* What still runs after the last arrival is let end. */
static bool sim_goes_on(const struct sim *sim)
{
	return sim->now_us < sim->end_us ||
	       (sim->open > 0 &&
		sim->now_us < sim->end_us + 600 * SIM_START_US);
}

void sim_run(const struct sim_options *options, struct measure *measure)
{
	struct sim sim = { 0 };
	struct sim_event *event;
	struct heap_node *top;

	measure_init(measure, options->scenario,
		     options->policy->central
			     ? 1
			     : (int)options->scenario->routers);
	sim_open(&sim, options, measure);
	sim_schedule(&sim);
	while (sim_goes_on(&sim) && (top = heap_top(&sim.events))) {
		event = container_of(top, struct sim_event, node);
		heap_remove(&sim.events, top);
		sim.now_us = event->at_us;
		sim_handle(&sim, event);
		sim_event_free(event);
	}
	sim_close(&sim);
}
