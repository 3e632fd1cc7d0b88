#include "fleet/evacuation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

void evacuations_init(struct evacuations *evacuations)
{
	*evacuations = (struct evacuations){ 0 };
	list_init(&evacuations->zones);
}

void evacuations_clear(struct evacuations *evacuations)
{
	struct evacuation *zone;
	struct evacuation *next;

	list_foreach_safe(zone, next, &evacuations->zones, node)
		free(zone);
	evacuations_init(evacuations);
}

static struct evacuation *zone_find(const struct evacuations *evacuations,
				    const char *name)
{
	struct evacuation *zone;

	list_foreach(zone, &evacuations->zones, node)
		if (!strcmp(zone->zone, name))
			return zone;
	return NULL;
}

static struct evacuation *zone_find_or_add(struct evacuations *evacuations,
					   const char *name)
{
	struct evacuation *zone = zone_find(evacuations, name);

	if (zone || evacuations->n_zones == EVACUATION_ZONES_MAX)
		return zone;
	zone = xcalloc(1, sizeof(*zone));
	snprintf(zone->zone, sizeof(zone->zone), "%s", name);
	list_append(&evacuations->zones, &zone->node);
	evacuations->n_zones++;
	return zone;
}

enum evacuation_outcome evacuations_apply(struct evacuations *evacuations,
					  const struct evacuation_order *order)
{
	struct evacuation *zone = zone_find(evacuations, order->zone);

	if ((zone && zone->evacuated) == order->evacuate)
		return EVACUATION_UNCHANGED;
	if (zone && zone->revision > order->revision)
		return EVACUATION_OVERTAKEN;
	zone = zone_find_or_add(evacuations, order->zone);
	if (!zone)
		return EVACUATION_NO_ROOM;
	zone->evacuated = order->evacuate;
	zone->revision = ++evacuations->revision;
	return EVACUATION_CHANGED;
}

bool evacuations_include(const struct evacuations *evacuations,
			 const char *zone)
{
	const struct evacuation *found = zone_find(evacuations, zone);

	return found && found->evacuated;
}

size_t evacuations_count(const struct evacuations *evacuations)
{
	const struct evacuation *zone;
	size_t n = 0;

	list_foreach(zone, &evacuations->zones, node)
		n += zone->evacuated;
	return n;
}

bool evacuations_set(struct evacuations *evacuations, const char *name,
		     bool evacuated, int64_t revision)
{
	struct evacuation *zone = zone_find_or_add(evacuations, name);

	if (!zone)
		return false;
	zone->evacuated = evacuated;
	zone->revision = revision;
	return true;
}
