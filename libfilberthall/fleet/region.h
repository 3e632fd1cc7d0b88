#ifndef FILBERTHALL_FLEET_REGION_H
#define FILBERTHALL_FLEET_REGION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * Which region each availability zone belongs to.
 *
 * Where a route or an organisation names regions, its requests run in no
 * other one, also if nothing else has room. A zone whose region isn't known is
 * in none of them.
 */

/** Zones that may be known here. */
#define REGION_ZONES_MAX 63

struct region_zone {
	char zone[BACKEND_NAME_SIZE];
	char region[BACKEND_NAME_SIZE];
};

struct regions {
	struct region_zone zones[REGION_ZONES_MAX];
	size_t n_zones;
};

/**
 * In a set of regions each has one bit. This set holds all servers, also
 * those of zones without a region.
 */
#define REGION_ANY UINT64_MAX

/** A set that holds no server. */
#define REGION_NONE (UINT64_C(1) << 63)

/**
 * Add a zone or change its region, by names of any length; false if there is no
 * room.
 */
bool regions_set(struct regions *regions, const char *zone, const char *region);

/**
 * The set of a zone's region, empty if it isn't known.
 *
 * @param zone	its name_shorten()
 */
uint64_t regions_of_zone(const struct regions *regions, const char *zone);

/**
 * The set of those regions, by name_shorten(). Names that aren't known add
 * nothing.
 *
 * @param n	0: REGION_ANY is returned
 * @return REGION_NONE if none is known
 */
uint64_t regions_named(const struct regions *regions, char *const *names,
		       size_t n);

#endif
