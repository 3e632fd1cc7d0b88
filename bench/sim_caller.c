#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "bench/sim_state.h"

static double draw_normal(struct rng *rng)
{
	double u = 1 - rng_unit(rng);
	double v = rng_unit(rng);

	return sqrt(-2 * log(u)) * cos(2 * M_PI * v);
}

static int64_t draw_tokens(struct rng *rng, const struct distribution *from)
{
	double tokens = from->median * exp(from->sigma * draw_normal(rng));

	return tokens < 1 ? 1 : (int64_t)tokens;
}

static int organisation_index(const struct scenario *scenario,
			      const struct scenario_traffic *traffic)
{
	int i;

	for (i = 0; i < scenario->n_organisations; i++)
		if (!strcmp(scenario->organisations[i].name,
			    traffic->organisation))
			return i;
	return 0;
}

static struct sim_request *sim_request_new(struct sim *sim, int traffic_index)
{
	struct sim_request *request = xcalloc(1, sizeof(*request));

	if (sim->n_requests == sim->request_capacity) {
		sim->request_capacity = sim->request_capacity
						? 2 * sim->request_capacity
						: 1024;
		sim->requests =
			xrealloc(sim->requests, sim->request_capacity *
							sizeof(*sim->requests));
	}
	sim->requests[sim->n_requests++] = request;
	request->id = sim->n_requests;
	request->traffic = traffic_index;
	request->arrived_us = sim->now_us;
	return request;
}

static void sim_open_request(struct sim *sim, struct sim_request *request)
{
	const struct scenario_traffic *traffic =
		&sim->scenario->traffic[request->traffic];

	sim->open++;
	measure_offered(sim->measure, request->class_index,
			request->organisation_index);
	sim_at(sim, sim->now_us + (int64_t)(traffic->patience_s * 1e6),
	       SIM_PATIENCE)
		->id = request->id;
	sim_submit(sim, request);
}

void sim_next_arrival(struct sim *sim, int index)
{
	const struct scenario_traffic *traffic = &sim->scenario->traffic[index];
	int64_t from_us = SIM_START_US + (int64_t)(traffic->from_s * 1e6);
	int64_t until_us = SIM_START_US + (int64_t)(traffic->until_s * 1e6);
	double gap_s;
	int64_t at_us;

	if (traffic->rate_per_s <= 0)
		return;
	gap_s = -log(1 - rng_unit(&sim->traffic[index].rng)) /
		traffic->rate_per_s;
	at_us = (sim->now_us > from_us ? sim->now_us : from_us) +
		(int64_t)(gap_s * 1e6) + 1;
	if (at_us < until_us && at_us < sim->end_us)
		sim_at(sim, at_us, SIM_ARRIVAL)->a = index;
}

void sim_arrival(struct sim *sim, int index)
{
	const struct scenario *scenario = sim->scenario;
	const struct scenario_traffic *traffic = &scenario->traffic[index];
	struct sim_traffic *state = &sim->traffic[index];
	struct sim_request *request = sim_request_new(sim, index);
	double place = rng_unit(&state->rng);

	request->class_index =
		scenario_class_index(scenario, traffic->class_name);
	request->organisation_index = organisation_index(scenario, traffic);
	request->router = (int)(place * sim->n_routers);
	request->prompt_tokens =
		draw_tokens(&state->rng, &traffic->prompt_tokens);
	request->output_tokens =
		draw_tokens(&state->rng, &traffic->output_tokens);
	if (traffic->max_tokens && request->output_tokens > traffic->max_tokens)
		request->output_tokens = traffic->max_tokens;
	if (traffic->prefixes)
		request->prefix =
			state->prefix_base +
			rng_below(&state->rng, (uint64_t)traffic->prefixes);
	request->poison = traffic->poison;
	snprintf(request->body_hash, sizeof(request->body_hash), "%d-%lu",
		 index, traffic->poison ? 0UL : (unsigned long)request->id);
	sim_open_request(sim, request);
	sim_next_arrival(sim, index);
}

void sim_resend(struct sim *sim, uint64_t id)
{
	const struct sim_request *old = sim_request(sim, id);
	struct sim_request *request = sim_request_new(sim, old->traffic);

	request->class_index = old->class_index;
	request->organisation_index = old->organisation_index;
	request->router = (int)rng_below(&sim->traffic[old->traffic].rng,
					 (uint64_t)sim->n_routers);
	request->prompt_tokens = old->prompt_tokens;
	request->output_tokens = old->output_tokens;
	request->prefix = old->prefix;
	request->poison = old->poison;
	memcpy(request->body_hash, old->body_hash, sizeof(old->body_hash));
	sim_open_request(sim, request);
}

/* A caller leaves if nothing has come for as long as it has patience. */
void sim_patience(struct sim *sim, uint64_t id)
{
	struct sim_request *request = sim_request(sim, id);

	if (request->answered || request->first_us)
		return;
	sim_caller_left(sim, request);
}

void sim_answer(struct sim *sim, const struct effect_answer *answer)
{
	struct sim_request *request = sim_request(sim, answer->id);
	const struct scenario_traffic *traffic;

	if (!request)
		return;
	if (request->answered) {
		sim->measure->answers_again++;
		return;
	}
	request->answered = true;
	request->not_run = answer->run == RUN_NOT;
	request->code = (enum result)answer->code;
	request->ended_us = sim->now_us;
	sim->open--;
	traffic = &sim->scenario->traffic[request->traffic];
	if (answer->code && traffic->resend_s > 0 && sim->now_us < sim->end_us)
		sim_at(sim, sim->now_us + (int64_t)(traffic->resend_s * 1e6),
		       SIM_RESEND)
			->id = request->id;
	measure_ended(
		sim->measure,
		&(struct measure_end){
			.class_index = request->class_index,
			.organisation_index = request->organisation_index,
			.code = request->code,
			.run = (enum run_state)answer->run,
			.arrived_s =
				(double)(request->arrived_us - SIM_START_US) /
				1e6,
			.first_token_s = request->first_us
						 ? (double)(request->first_us -
							    SIM_START_US) /
							   1e6
						 : 0,
			.ended_s = (double)(sim->now_us - SIM_START_US) / 1e6,
			.delivered = request->delivered,
			.whole = traffic->whole,
			.poison = request->poison,
		});
}

static int64_t attempt_generated(const struct sim *sim,
				 const struct sim_attempt *attempt)
{
	const struct engine *engine = &sim->engines[attempt->engine].model;

	if (attempt->job.state == JOB_DECODE)
		return engine_job_tokens(engine, &attempt->job);
	return (int64_t)attempt->job.end_v;
}

/* At the end of the run: what was generated, and what was said of it. */
void sim_account(struct sim *sim)
{
	size_t i;

	for (i = 0; i < sim->n_requests; i++) {
		struct sim_request *request = sim->requests[i];
		const struct scenario_class *rule =
			&sim->scenario->classes[request->class_index];
		struct sim_attempt *attempt = request->attempts;
		int64_t generated = 0;
		bool whole = request->answered && !request->code;

		while (attempt) {
			struct sim_attempt *next = attempt->next;

			generated += attempt_generated(sim, attempt);
			free(attempt);
			attempt = next;
		}
		measure_generated(sim->measure, request->class_index, generated,
				  whole ? request->output_tokens : 0);
		sim->measure->unanswered += !request->answered;
		if (request->answered && request->not_run &&
		    request->n_received)
			sim->measure->false_not_run++;
		if (!rule->idempotent && request->n_received > 1)
			sim->measure->run_twice++;
		free(request);
	}
}
