#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "bench/sim_state.h"

static double sim_seconds(int64_t at_us)
{
	return (double)at_us / 1e6;
}

static struct sim_attempt *job_attempt(struct engine_job *job)
{
	return container_of(job, struct sim_attempt, job);
}

void sim_engines_open(struct sim *sim)
{
	const struct scenario *scenario = sim->scenario;
	int64_t count;
	int i;

	for (i = 0; i < scenario->n_servers; i++)
		sim->n_engines += (int)scenario->servers[i].count;
	sim->engines = xcalloc((size_t)sim->n_engines, sizeof(*sim->engines));
	sim->n_engines = 0;
	for (i = 0; i < scenario->n_servers; i++)
		for (count = 0; count < scenario->servers[i].count; count++) {
			int at = sim->n_engines++;
			struct sim_engine *engine = &sim->engines[at];

			engine->from = &scenario->servers[i];
			snprintf(engine->address, sizeof(engine->address),
				 "10.0.%d.%d:8000", at / 250, 1 + at % 250);
			list_init(&engine->attempts);
			engine_init(&engine->model, engine->from);
			engine->boots = 1;
			sim_at(sim, sim->now_us + at, SIM_ANNOUNCE)->a = at;
		}
}

void sim_engines_close(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n_engines; i++)
		engine_clear(&sim->engines[i].model);
	free(sim->engines);
}

static int engine_index(const struct sim *sim, const char *address)
{
	int i;

	for (i = 0; i < sim->n_engines; i++)
		if (!strcmp(sim->engines[i].address, address))
			return i;
	return -1;
}

/* Put the engine's next change into the queue of events. */
static void engine_reschedule(struct sim *sim, int index)
{
	struct sim_engine *engine = &sim->engines[index];
	double next_s = engine_next_s(&engine->model);
	struct sim_event *event;
	int64_t at_us;

	engine->generation++;
	if (engine->silent || isinf(next_s))
		return;
	at_us = (int64_t)ceil(next_s * 1e6);
	event = sim_at(sim, at_us > sim->now_us ? at_us : sim->now_us,
		       SIM_ENGINE_STEP);
	event->a = index;
	event->n = engine->generation;
}

static void engine_catch_up(struct sim *sim, int index)
{
	engine_advance(&sim->engines[index].model, sim_seconds(sim->now_us));
}

static void attempt_tell(struct sim *sim, struct sim_attempt *attempt,
			 enum sim_kind kind, int64_t n, enum result code)
{
	struct sim_event *event = sim_at(sim, sim->now_us + SIM_LINK_US, kind);

	event->attempt = attempt;
	event->n = n;
	event->code = code;
}

static void attempt_end(struct sim *sim, struct sim_attempt *attempt,
			int64_t generated, enum result code)
{
	int64_t tokens = generated - attempt->resume;

	attempt->over = true;
	/* For the account at the end of the run. */
	attempt->job.end_v = (double)generated;
	list_remove(&attempt->in_engine);
	attempt_tell(sim, attempt, SIM_ENDED, tokens > 0 ? tokens : 0, code);
}

void sim_start(struct sim *sim, const struct effect_start_attempt *start)
{
	struct sim_request *request = sim_request(sim, start->id);
	struct sim_attempt *attempt = xcalloc(1, sizeof(*attempt));
	struct sim_event *event;

	attempt->request = request;
	attempt->number = start->attempt;
	attempt->resume = start->resume_tokens;
	attempt->idle_us = start->idle_ms * 1000;
	attempt->engine = engine_index(sim, start->address);
	attempt->job.state = JOB_OVER;
	attempt->job.priority = start->priority;
	attempt->job.prompt_tokens = request->prompt_tokens;
	attempt->job.output_tokens = request->output_tokens;
	attempt->job.prefix = request->prefix;
	attempt->job.poison = request->poison;
	list_init(&attempt->in_engine);
	list_init(&attempt->job.in_engine);
	attempt->next = request->attempts;
	request->attempts = attempt;
	event = sim_at(sim, sim->now_us + SIM_LINK_US, SIM_ENGINE_ARRIVE);
	event->attempt = attempt;
	event = sim_at(sim, sim->now_us + start->first_byte_ms * 1000,
		       SIM_TIMEOUT);
	event->attempt = attempt;
}

void sim_engine_arrive(struct sim *sim, struct sim_attempt *attempt)
{
	struct sim_engine *engine = &sim->engines[attempt->engine];

	if (attempt->over)
		return;
	if (!engine->model.up) {
		attempt_end(sim, attempt, 0, RESULT_BACKEND_CONNECT);
		return;
	}
	attempt->received = true;
	attempt->request->n_received++;
	attempt_tell(sim, attempt, SIM_SENT, 0, RESULT_OK);
	engine_catch_up(sim, attempt->engine);
	list_append(&engine->attempts, &attempt->in_engine);
	engine_add(&engine->model, &attempt->job);
	engine_reschedule(sim, attempt->engine);
}

static struct sim_attempt *find_attempt(const struct sim_request *request,
					int64_t number)
{
	struct sim_attempt *attempt = request->attempts;

	while (attempt && attempt->number != number)
		attempt = attempt->next;
	return attempt;
}

void sim_cancel(struct sim *sim, const struct effect_cancel_attempt *cancel)
{
	struct sim_request *request = sim_request(sim, cancel->id);
	struct sim_attempt *attempt = find_attempt(request, cancel->attempt);

	if (attempt && !attempt->over)
		sim_at(sim, sim->now_us + SIM_LINK_US, SIM_ENGINE_CANCEL)
			->attempt = attempt;
}

/* Take an attempt off its engine; returns the tokens it had generated. */
static int64_t attempt_stop(struct sim *sim, struct sim_attempt *attempt)
{
	struct sim_engine *engine = &sim->engines[attempt->engine];
	int64_t generated;

	engine_catch_up(sim, attempt->engine);
	generated = engine_job_tokens(&engine->model, &attempt->job);
	if (attempt->job.state != JOB_OVER)
		engine_remove(&engine->model, &attempt->job);
	engine_reschedule(sim, attempt->engine);
	return generated;
}

void sim_engine_cancel(struct sim *sim, struct sim_attempt *attempt)
{
	if (attempt->over)
		return;
	attempt_end(sim, attempt, attempt_stop(sim, attempt),
		    RESULT_CALLER_LEFT);
}

void sim_timeout(struct sim *sim, struct sim_attempt *attempt, bool idle)
{
	const struct sim_engine *engine = &sim->engines[attempt->engine];

	if (attempt->over || (!idle && attempt->told_first) ||
	    (idle && !engine->silent))
		return;
	attempt_end(sim, attempt, attempt_stop(sim, attempt),
		    RESULT_BACKEND_TIMEOUT);
}

static void sim_tell_cached(struct sim *sim, int engine, uint64_t prefix)
{
	struct sim_event *event;
	int i;

	for (i = 0; i < sim->n_routers; i++) {
		/* Cache events have gaps: a fifth of them is lost. */
		if (sim->routers[i].cut || rng_unit(&sim->rng) < 0.2)
			continue;
		event = sim_at(sim, sim->now_us + SIM_CACHE_US, SIM_CACHED);
		event->a = i;
		event->n = engine;
		event->id = prefix;
	}
}

static void engine_prefilled(struct sim *sim, int index,
			     struct sim_attempt *attempt)
{
	struct sim_engine *engine = &sim->engines[index];

	if (attempt->job.poison) {
		sim->measure->poison_crashes++;
		sim_engine_crash(sim, index);
		sim_at(sim, sim->now_us + SIM_RESTART_US, SIM_RESTART)->a =
			index;
		return;
	}
	if (!attempt->resume)
		attempt_tell(sim, attempt, SIM_TOKENS, 1, RESULT_OK);
	if (attempt->job.prefix && !attempt->job.cached)
		sim_tell_cached(sim, index, attempt->job.prefix);
	if (!engine->progressing) {
		engine->progressing = true;
		sim_at(sim, sim->now_us + SIM_PROGRESS_US, SIM_PROGRESS)->a =
			index;
	}
}

void sim_engine_step(struct sim *sim, int index, int64_t generation)
{
	struct sim_engine *engine = &sim->engines[index];
	struct engine_job *job;

	if (generation != engine->generation)
		return;
	engine_catch_up(sim, index);
	while ((job = engine_take_ended(&engine->model)))
		attempt_end(sim, job_attempt(job), job->output_tokens,
			    RESULT_OK);
	while ((job = engine_take_prefilled(&engine->model)))
		engine_prefilled(sim, index, job_attempt(job));
	engine_reschedule(sim, index);
}

/* How far the streams have got. */
void sim_progress(struct sim *sim, int index)
{
	struct sim_engine *engine = &sim->engines[index];
	struct sim_attempt *attempt;
	int64_t tokens;

	engine->progressing = false;
	if (!engine->model.up || engine->silent)
		return;
	engine_catch_up(sim, index);
	list_foreach(attempt, &engine->attempts, in_engine) {
		tokens = engine_job_tokens(&engine->model, &attempt->job) -
			 attempt->resume;
		if (tokens > 0)
			attempt_tell(sim, attempt, SIM_TOKENS, tokens,
				     RESULT_OK);
	}
	if (list_empty(&engine->attempts))
		return;
	engine->progressing = true;
	sim_at(sim, sim->now_us + SIM_PROGRESS_US, SIM_PROGRESS)->a = index;
}

static struct sim_snapshot engine_snapshot(const struct engine *model)
{
	return (struct sim_snapshot){
		.running = model->running,
		.queued = engine_queued(model),
		.queued_prompt = engine_queued_prompt(model),
		.kv_used = model->kv_used,
	};
}

/* The figures of an announcement are as old as the scenario's lag. */
static struct sim_snapshot engine_report(struct sim *sim,
					 struct sim_engine *engine)
{
	int64_t lag = (int64_t)ceil(sim->scenario->report_lag_s);
	int64_t newest = engine->n_snapshots++;

	engine->snapshots[newest % SIM_SNAPSHOTS] =
		engine_snapshot(&engine->model);
	if (lag > newest)
		lag = newest;
	if (lag >= SIM_SNAPSHOTS)
		lag = SIM_SNAPSHOTS - 1;
	return engine->snapshots[(newest - lag) % SIM_SNAPSHOTS];
}

static struct event_announce *engine_announcement(struct sim *sim, int index)
{
	struct sim_engine *engine = &sim->engines[index];
	struct sim_snapshot report = engine_report(sim, engine);
	struct event_announce *announce = xcalloc(1, sizeof(*announce));

	announce->address = xstrdup(engine->address);
	announce->boot_id = xstrfmt("boot-%d", engine->boots);
	announce->sequence = ++engine->sequence;
	announce->zone = xstrdup(engine->from->zone);
	announce->model = xstrdup(engine->from->model);
	announce->role = xstrdup("serve");
	announce->cheap = engine->from->cheap;
	announce->leaving = engine->leaving;
	announce->lease_ms = 10000;
	announce->slots = engine->from->slots;
	announce->running = report.running;
	announce->queued = report.queued;
	announce->queued_prompt_tokens = report.queued_prompt;
	announce->kv_tokens = engine->from->kv_tokens;
	announce->kv_used = report.kv_used;
	announce->prefill_rate = engine->from->prefill_tokens_per_s;
	announce->decode_rate = engine->from->decode_tokens_per_s;
	announce->age_ms = (int64_t)(sim->scenario->report_lag_s * 1000);
	return announce;
}

static struct event_announce *announcement_copy(const struct event_announce *of)
{
	struct event_announce *copy = xcalloc(1, sizeof(*copy));

	*copy = *of;
	copy->address = xstrdup(of->address);
	copy->boot_id = xstrdup(of->boot_id);
	copy->zone = xstrdup(of->zone);
	copy->model = xstrdup(of->model);
	copy->role = xstrdup(of->role);
	return copy;
}

/* To one router by the balancer, which passes it on to the others. */
void sim_announce(struct sim *sim, int index)
{
	struct sim_engine *engine = &sim->engines[index];
	struct event_announce *announce;
	int direct;
	int i;

	sim_at(sim, sim->now_us + SIM_ANNOUNCE_US, SIM_ANNOUNCE)->a = index;
	engine_catch_up(sim, index);
	if (!engine->model.up || engine->silent)
		return;
	announce = engine_announcement(sim, index);
	direct = (int)rng_below(&sim->rng, (uint64_t)sim->n_routers);
	for (i = 0; i < sim->n_routers; i++) {
		struct sim_event *event;

		if (i != direct &&
		    (sim->routers[i].cut || sim->routers[direct].cut))
			continue;
		event = sim_at(sim, sim->now_us + SIM_LINK_US, SIM_ANNOUNCED);
		event->a = i;
		event->announce = announcement_copy(announce);
	}
	event_announce_clear(announce);
	free(announce);
}

void sim_engine_crash(struct sim *sim, int index)
{
	struct sim_engine *engine = &sim->engines[index];
	struct sim_attempt *attempt;
	struct sim_attempt *next;

	engine_catch_up(sim, index);
	list_foreach_safe(attempt, next, &engine->attempts, in_engine) {
		int64_t generated =
			engine_job_tokens(&engine->model, &attempt->job);

		attempt->job.state = JOB_OVER;
		attempt_end(sim, attempt, generated, RESULT_BACKEND_BROKE);
	}
	engine_clear(&engine->model);
	engine_init(&engine->model, engine->from);
	engine->model.up = false;
	engine->model.at_s = sim_seconds(sim->now_us);
	engine->generation++;
}

void sim_engine_boot(struct sim *sim, int index)
{
	struct sim_engine *engine = &sim->engines[index];

	engine_catch_up(sim, index);
	if (engine->model.up)
		return;
	engine->model.up = true;
	engine->boots++;
	engine->sequence = 0;
	engine->n_snapshots = 0;
	engine->leaving = false;
}
