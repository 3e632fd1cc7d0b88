#include <string.h>

#include "bench/sim_state.h"

static void fault_pace(struct sim *sim, int engine, double factor, bool silent)
{
	struct sim_engine *of = &sim->engines[engine];
	struct sim_attempt *attempt;
	struct sim_event *event;

	engine_advance(&of->model, (double)sim->now_us / 1e6);
	of->model.factor = factor;
	of->silent = silent;
	of->generation++;
	if (!silent) {
		event = sim_at(sim, sim->now_us, SIM_ENGINE_STEP);
		event->a = engine;
		event->n = of->generation;
		return;
	}
	list_foreach(attempt, &of->attempts, in_engine) {
		event = sim_at(sim, sim->now_us + attempt->idle_us,
			       SIM_TIMEOUT);
		event->attempt = attempt;
		event->n = 1;
	}
}

static void fault_zone(struct sim *sim, const struct scenario_fault *fault,
		       bool gone)
{
	int i;

	for (i = 0; i < sim->n_engines; i++) {
		struct sim_engine *engine = &sim->engines[i];

		if (!engine->from->cheap ||
		    strcmp(engine->from->zone, fault->zone) != 0)
			continue;
		engine->leaving = true;
		if (gone)
			sim_engine_crash(sim, i);
	}
}

/* Which engine a fault is about, -1 if there is no such one. */
static int fault_engine(const struct sim *sim,
			const struct scenario_fault *fault)
{
	int64_t engine = fault->backend_server;

	return engine >= 0 && engine < sim->n_engines ? (int)engine : -1;
}

static void fault_later(struct sim *sim, int fault, double after_s)
{
	sim_at(sim, sim->now_us + (int64_t)(after_s * 1e6), SIM_FAULT_END)->a =
		fault;
}

void sim_fault(struct sim *sim, int index)
{
	const struct scenario_fault *fault = &sim->scenario->faults[index];
	int engine = fault_engine(sim, fault);

	switch (fault->kind) {
	case FAULT_SLOW:
		if (engine >= 0)
			fault_pace(sim, engine, fault->factor, false);
		break;
	case FAULT_CRASH:
		if (engine >= 0)
			sim_engine_crash(sim, engine);
		break;
	case FAULT_RECOVER:
		if (engine < 0)
			break;
		sim_engine_boot(sim, engine);
		fault_pace(sim, engine, 1, false);
		break;
	case FAULT_SILENT:
		if (engine >= 0)
			fault_pace(sim, engine, 0, true);
		break;
	case FAULT_CUT_ROUTER:
		if (fault->router < sim->n_routers && sim->n_routers > 1)
			sim->routers[fault->router].cut = true;
		if (fault->for_s > 0)
			fault_later(sim, index, fault->for_s);
		break;
	case FAULT_RECLAIM_ZONE:
		fault_zone(sim, fault, false);
		fault_later(sim, index, fault->notice_s);
		break;
	}
}

void sim_fault_end(struct sim *sim, int index)
{
	const struct scenario_fault *fault = &sim->scenario->faults[index];

	if (fault->kind == FAULT_CUT_ROUTER && fault->router < sim->n_routers)
		sim->routers[fault->router].cut = false;
	if (fault->kind == FAULT_RECLAIM_ZONE)
		fault_zone(sim, fault, true);
}
