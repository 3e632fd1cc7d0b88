#include "fleet/sizing.h"

#include <math.h>

static int64_t cheap_serving(const struct sizing *sizing)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < sizing->n_zones; i++)
		if (!sizing->zones[i].evacuated)
			n += sizing->zones[i].cheap;
	return n;
}

static int64_t steady_serving(const struct sizing *sizing)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < sizing->n_zones; i++)
		if (!sizing->zones[i].evacuated)
			n += sizing->zones[i].steady;
	return n;
}

static int64_t zones_used(const struct sizing *sizing)
{
	int64_t n = 0;
	size_t i;

	for (i = 0; i < sizing->n_zones; i++)
		n += !sizing->zones[i].evacuated;
	return n;
}

static int64_t part(const struct sizing *sizing, double of_all)
{
	return (int64_t)ceil(of_all * (double)sizing->max_servers *
			     (double)sizing->n_zones);
}

/* How many steady servers a zone may have beside its cheap ones. */
static int64_t room_for_steady(const struct sizing *sizing,
			       const struct sizing_zone *zone)
{
	int64_t room = sizing->max_servers - zone->cheap;

	return room > 0 ? room : 0;
}

/* Want steady servers up to the maximum, and fewer cheap ones if needed. */
static void want_steady(const struct sizing *sizing, struct sizing_zone *zone,
			int64_t want)
{
	int64_t room = room_for_steady(sizing, zone);

	zone->want_steady = want < room ? want : room;
	if (zone->want_cheap > sizing->max_servers - zone->want_steady)
		zone->want_cheap = sizing->max_servers - zone->want_steady;
}

/* Too few cheap servers: keep the steady ones and order what is missing. */
static void plan_steady(struct sizing *sizing)
{
	int64_t missing =
		part(sizing, SIZING_MIN_CHEAP) - cheap_serving(sizing);
	int64_t zones = zones_used(sizing);
	int64_t each = zones ? (missing + zones - 1) / zones : 0;
	size_t i;

	for (i = 0; i < sizing->n_zones; i++) {
		struct sizing_zone *zone = &sizing->zones[i];

		if (!zone->evacuated)
			want_steady(sizing, zone,
				    zone->steady > each ? zone->steady : each);
	}
}

/*
 * Replace cheap servers in zones that have none on offer. The steady ones are
 * ordered at once: if the order waited until requests are late, those of the
 * four seconds of a start would be late as well. They are kept until the zones
 * have cheap servers again.
 */
static void plan_unavailable(struct sizing *sizing)
{
	int64_t missing =
		part(sizing, SIZING_MIN_WITHOUT_CHEAP) - cheap_serving(sizing);
	int64_t n_dry = 0;
	int64_t each;
	size_t i;

	for (i = 0; i < sizing->n_zones; i++)
		n_dry += sizing->zones[i].cheap_unavailable &&
			 !sizing->zones[i].evacuated;
	if (!n_dry || missing <= 0)
		return;
	each = (missing + n_dry - 1) / n_dry;
	for (i = 0; i < sizing->n_zones; i++) {
		struct sizing_zone *zone = &sizing->zones[i];
		int64_t want = each > zone->steady ? each : zone->steady;

		if (zone->cheap_unavailable && !zone->evacuated &&
		    want > zone->want_steady)
			want_steady(sizing, zone, want);
	}
}

/* The platform keeps a minimum in each zone; cheap ones if there are any. */
static void plan_evacuated(struct sizing *sizing)
{
	bool enough = cheap_serving(sizing) + steady_serving(sizing) >=
		      part(sizing, SIZING_MIN_WITHOUT_CHEAP);
	size_t i;

	for (i = 0; i < sizing->n_zones; i++) {
		struct sizing_zone *zone = &sizing->zones[i];

		if (!zone->evacuated)
			continue;
		zone->want_steady = enough ? 0 : zone->steady;
		zone->want_cheap = enough ? 0 : zone->cheap;
		if (!enough)
			continue;
		if (sizing->has_cheap)
			zone->want_cheap = sizing->min_servers;
		else
			zone->want_steady = sizing->min_servers;
	}
}

void sizing_plan(struct sizing *sizing)
{
	size_t i;

	if (!sizing->n_zones)
		return;
	for (i = 0; i < sizing->n_zones; i++) {
		struct sizing_zone *zone = &sizing->zones[i];

		/* Steady and cheap servers together are at most `max_servers`. */
		zone->want_cheap = 0;
		if (sizing->has_cheap && zone->steady < sizing->max_servers)
			zone->want_cheap = sizing->max_servers - zone->steady;
		zone->want_steady = sizing->has_cheap ? 0 : zone->steady;
		if (!sizing->has_cheap &&
		    zone->want_steady < sizing->min_servers)
			zone->want_steady = sizing->min_servers;
	}
	if (sizing->has_cheap &&
	    cheap_serving(sizing) < part(sizing, SIZING_MIN_CHEAP))
		plan_steady(sizing);
	if (sizing->has_cheap)
		plan_unavailable(sizing);
	plan_evacuated(sizing);
}
