#ifndef FILBERTHALL_FLEET_LOAD_MEAN_H
#define FILBERTHALL_FLEET_LOAD_MEAN_H

#include <stdint.h>

#include "base/map.h"

/**
 * What servers of a service lately reported of their load, on average: the best
 * estimate for a server whose own report is out of date.
 *
 * Load pattern: load is reported in answers. Among a hundred VMs each has an
 * answer from a server every few seconds. If a server counted as idle once its
 * report is old, all servers of a saturated service would seem to have free
 * slots to all VMs, and most of what these send would be rejected.
 */
struct load_means {
	struct map by_service;
};

void load_means_init(struct load_means *means);
void load_means_clear(struct load_means *means);

/** A server of the service reported `load` requests; it runs `slots` at once. */
void load_means_add(struct load_means *means, const char *service, int64_t load,
		    int64_t slots, int64_t now_us);

/**
 * Expected part of the slots in use at any server of the service. Without
 * reports it returns to 0 in some seconds.
 */
double load_means_expect(const struct load_means *means, const char *service,
			 int64_t now_us);

#endif
