#include "load/unserved.h"

#include <math.h>

#define HALF_LIFE_US 1000000.0

static void decay(struct unserved *unserved, int64_t now_us)
{
	double left = exp2(-(double)(now_us - unserved->at_us) / HALF_LIFE_US);
	int tier;

	for (tier = 0; tier < SCHED_TIERS; tier++) {
		unserved->begun[tier] *= left;
		unserved->nothing[tier] *= left;
	}
	unserved->at_us = now_us;
}

void unserved_add(struct unserved *unserved, int tier,
		  const struct unserved_count *count, int64_t now_us)
{
	if (tier < 0 || tier >= SCHED_TIERS)
		return;
	decay(unserved, now_us);
	unserved->begun[tier] += count->begun;
	unserved->nothing[tier] += count->nothing;
}

double unserved_part(const struct unserved *unserved, int tier)
{
	double nothing = unserved->nothing[tier];
	double all = nothing + unserved->begun[tier];

	if (nothing < UNSERVED_LEAST || nothing * UNSERVED_ONE_IN <= all)
		return 0;
	return nothing / all;
}

static void release(struct reserve *reserve, int64_t now_us)
{
	double part =
		RESERVE_DECAY_PER_S * (double)(now_us - reserve->at_us) / 1e6;
	int tier;

	for (tier = 0; tier < SCHED_TIERS; tier++)
		reserve->part[tier] = fmax(0, reserve->part[tier] - part);
	reserve->at_us = now_us;
}

void reserve_raise(struct reserve *reserve, int tier, double part,
		   int64_t now_us)
{
	double step = fmin(fmax(part, RESERVE_STEP_LEAST), RESERVE_STEP_MOST);

	if (tier < 0 || tier >= SCHED_TIERS)
		return;
	if (reserve->raised_us[tier] &&
	    now_us - reserve->raised_us[tier] < RESERVE_STEP_US)
		return;
	release(reserve, now_us);
	reserve->raised_us[tier] = now_us;
	reserve->part[tier] = fmin(1, reserve->part[tier] + step);
}

double reserve_below(struct reserve *reserve, int tier, int64_t now_us)
{
	double part = 0;
	int above;

	release(reserve, now_us);
	for (above = 0; above < tier; above++)
		part = fmax(part, reserve->part[above]);
	return part;
}
