#include "bench/fleet_world.h"

#include <math.h>

#include "base/rng.h"

static double bump(double hour, double at, double width)
{
	double distance = fabs(hour - at);

	if (distance > 12)
		distance = 24 - distance;
	return exp(-distance * distance / (2 * width * width));
}

/* Calves are lodged at dawn, and again when the sales close. */
double world_curve_cooperative(double hour)
{
	return 0.12 + 0.88 * bump(hour, 6, 1.2) + 0.4 * bump(hour, 17, 1.5);
}

/* Students upload from noon until late. */
double world_curve_archive(double hour)
{
	return 0.15 + 0.6 * bump(hour, 15, 2.5) + 0.85 * bump(hour, 21, 2);
}

static void world_fill_demand(struct world *world, const struct site *site,
			      struct rng *rng)
{
	double noise = 0;
	int burst = 0;
	int step;

	for (step = 0; step < STEPS; step++) {
		double hour = fmod(step * STEP_S / 3600.0, 24);

		noise = 0.95 * noise + 0.05 * (rng_unit(rng) - 0.5);
		if (!rng_below(rng, 2 * 3600 / STEP_S))
			burst = 300 / STEP_S;
		world->demand[step] = site->peak * site->curve(hour) *
				      (1 + 4 * noise) * (burst > 0 ? 1.3 : 1);
		burst--;
	}
}

static void world_fill_faults(struct world *world, const struct site *site,
			      struct rng *rng)
{
	int step;
	int zone;
	int day;

	for (zone = 0; zone < site->zones; zone++) {
		bool open = true;

		for (step = 0; step < STEPS; step++) {
			if (!rng_below(rng, (open ? 10800 : 2400) / STEP_S))
				open = !open;
			world->cheap_open[step][zone] = open;
			world->reclaimed[step][zone] =
				!rng_below(rng, 8 * 3600 / STEP_S);
		}
	}
	for (day = 0; day < DAYS; day++) {
		int at = day * 86400 / STEP_S + (int)rng_below(rng, 8000);

		zone = (int)rng_below(rng, (uint64_t)site->zones);
		for (step = at; step < at + 1800 / STEP_S; step++)
			world->lost[step][zone] = true;
	}
}

void world_fill(struct world *world, const struct site *site, uint64_t seed)
{
	struct rng rng = { seed };

	world_fill_demand(world, site, &rng);
	world_fill_faults(world, site, &rng);
}
