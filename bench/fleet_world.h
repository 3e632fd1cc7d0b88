#ifndef FILBERTHALL_BENCH_FLEET_WORLD_H
#define FILBERTHALL_BENCH_FLEET_WORLD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * The outside world of fleet-bench: what a site asks for and what the
 * platform has, step by step, the same for all policies.
 */
#define STEP_S 10
#define DAYS 3
#define STEPS (DAYS * 86400 / STEP_S)
#define ZONES 4

/** A site's daily demand. */
struct site {
	const char *name;
	int zones;
	double peak; /* slots */
	double (*curve)(double hour);
};

/* The outside world of a run; the same for all policies. */
struct world {
	double demand[STEPS];
	bool cheap_open[STEPS][ZONES];
	bool reclaimed[STEPS][ZONES];
	bool lost[STEPS][ZONES];
};

/** Share of the peak that is asked for at an hour of the day. */
double world_curve_cooperative(double hour);
double world_curve_archive(double hour);

/** Fill demand and faults for a site from `seed`; `world` is zeroed. */
void world_fill(struct world *world, const struct site *site, uint64_t seed);

#endif
