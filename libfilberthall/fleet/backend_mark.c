/* What operators and VMs say of servers beside their announcements. */
#include <string.h>

#include "fleet/backend.h"

bool fleet_drain(struct fleet *fleet, const char *address, bool drained)
{
	struct backend *backend = fleet_find(fleet, address);

	if (!backend)
		return false;
	if (backend->drained != drained)
		fleet->version++;
	backend->drained = drained;
	return true;
}

void fleet_evacuate(struct fleet *fleet, const char *zone, bool evacuated)
{
	struct backend *backend;
	struct backend *next;

	if (evacuations_include(&fleet->evacuations, zone) == evacuated ||
	    !evacuations_set(&fleet->evacuations, zone, evacuated, 0))
		return;
	map_foreach(backend, next, &fleet->backends, node)
		if (!strcmp(backend->zone, zone))
			backend->evacuated = evacuated;
	fleet->version++;
}

void fleet_retire(struct fleet *fleet, const char *address, int64_t until_us)
{
	struct backend *backend = fleet_find(fleet, address);

	if (!backend)
		return;
	fleet_drain(fleet, address, true);
	backend->lease_end_us = until_us;
}

void fleet_let_linger(struct fleet *fleet, const char *address,
		      int64_t until_us)
{
	struct backend *backend = fleet_find(fleet, address);

	if (backend)
		backend->lingers_us = until_us;
}

void fleet_set_unconfirmed(struct fleet *fleet, const char *address,
			   bool unconfirmed)
{
	struct backend *backend = fleet_find(fleet, address);

	if (backend)
		backend->unconfirmed = unconfirmed;
}

void fleet_set_cold(struct fleet *fleet, const char *address, int64_t until_us,
		    double per_s)
{
	struct backend *backend = fleet_find(fleet, address);

	if (!backend)
		return;
	backend->cold_until_us = until_us;
	backend->cold_per_s = per_s;
}

void fleet_set_limit(struct fleet *fleet, const char *address, double per_s)
{
	struct backend *backend = fleet_find(fleet, address);

	if (!backend)
		return;
	backend->limited = per_s >= 0;
	backend->limit_per_s = per_s;
}

void fleet_set_retry_at(struct fleet *fleet, const char *address,
			int64_t retry_at_us)
{
	struct backend *backend = fleet_find(fleet, address);

	if (!backend || backend->retry_at_us == retry_at_us)
		return;
	backend->retry_at_us = retry_at_us;
	backend->retried_us = 0;
}
