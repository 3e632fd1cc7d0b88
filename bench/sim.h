#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include "bench/measure.h"
#include "bench/policy.h"
#include "bench/scenario.h"

/**
 * One run of a scenario under a policy: callers, N routers with the real
 * decisions and their own view of the fleet, engines as queueing models, all
 * driven by one queue of events. The same seed gives the same run.
 *
 * The arrivals, their sizes and their spread over routers are drawn from
 * generators of their own, so that all policies face the same callers.
 */
struct sim_options {
	const struct scenario *scenario;
	const struct policy *policy;
	uint64_t seed;
};

/** Run to the end; the measure is to be cleared by the caller. */
void sim_run(const struct sim_options *options, struct measure *measure);

#endif
