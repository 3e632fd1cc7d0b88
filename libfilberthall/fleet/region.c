#include "fleet/region.h"

#include <string.h>

bool regions_set(struct regions *regions, const char *zone, const char *region)
{
	struct region_zone *entry;
	char name[NAME_SIZE];
	size_t i;

	name_shorten(name, zone);
	for (i = 0; i < regions->n_zones; i++)
		if (!strcmp(regions->zones[i].zone, name))
			break;
	if (i == REGION_ZONES_MAX)
		return false;
	if (i == regions->n_zones)
		regions->n_zones++;
	entry = &regions->zones[i];
	memcpy(entry->zone, name, sizeof(entry->zone));
	name_shorten(entry->region, region);
	return true;
}

/* A region's bit is that of its first zone. */
static uint64_t region_bit(const struct regions *regions, const char *region)
{
	size_t i;

	for (i = 0; i < regions->n_zones; i++)
		if (!strcmp(regions->zones[i].region, region))
			return UINT64_C(1) << i;
	return 0;
}

uint64_t regions_of_zone(const struct regions *regions, const char *zone)
{
	size_t i;

	for (i = 0; i < regions->n_zones; i++)
		if (!strcmp(regions->zones[i].zone, zone))
			return region_bit(regions, regions->zones[i].region);
	return 0;
}

uint64_t regions_named(const struct regions *regions, char *const *names,
		       size_t n)
{
	uint64_t set = REGION_NONE;
	size_t i;

	if (!n)
		return REGION_ANY;
	for (i = 0; i < n; i++)
		set |= region_bit(regions, names[i]);
	return set;
}
