/*
 * Whether this VM reaches the backend servers of a service.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

static struct service_reach *service_of(struct entry *entry, const char *name)
{
	struct service_reach *service;

	list_foreach(service, &entry->services, node)
		if (!strcmp(service->service, name))
			return service;
	service = xcalloc(1, sizeof(*service));
	snprintf(service->service, sizeof(service->service), "%s", name);
	list_append(&entry->services, &service->node);
	return service;
}

void entry_free_services(struct entry *entry)
{
	struct service_reach *service;
	struct service_reach *next;

	list_foreach_safe(service, next, &entry->services, node) {
		list_remove(&service->node);
		free(service);
	}
}

static int count_servers(const struct entry *entry, const char *service)
{
	struct backend *backend;
	struct backend *next;
	int n = 0;

	map_foreach(backend, next, &entry->fleet.backends, node)
		n += !strcmp(backend->service, service);
	return n;
}

static void log_state(struct entry *entry, const struct service_reach *service,
		      const char *address)
{
	const struct reach *reach = &service->reach;

	entry_log(entry, reach->state == REACH_GOOD ? LOG_INFO : LOG_WARN,
		  "reach", "event=%s service=%s failed=%d server=%s",
		  reach_name(reach->state), service->service, reach->n_failed,
		  address);
}

void entry_report_connection(struct entry *entry, const char *address,
			     bool stands, int64_t now_us,
			     struct effects *effects)
{
	const struct backend *backend = fleet_find(&entry->fleet, address);
	struct service_reach *service;
	bool changed;

	entry->now_us = now_us;
	entry->effects = effects;
	if (!backend)
		return;
	service = service_of(entry, backend->service);
	if (stands)
		changed = reach_connected(&service->reach, now_us);
	else
		changed = reach_failed(&service->reach, map_hash_text(address),
				       count_servers(entry, service->service),
				       now_us);
	if (changed)
		log_state(entry, service, address);
}
