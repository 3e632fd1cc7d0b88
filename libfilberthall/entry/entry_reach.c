/*
 * Whether this VM reaches the backend servers of a service. While it is in
 * doubt, requests for the service wait; once it is cut off they are passed on
 * to a VM that isn't.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/* Longer than a connection takes to fail: each server is tried once. */
#define DOUBT_PROBE_US INT64_C(600000)

/* Of a service that is cut off: how soon its return is seen. */
#define LOST_PROBE_US INT64_C(250000)
#define LOST_PROBES 2

/* Time for a doubt to be settled, and then for the control VMs to answer. */
#define DOUBT_WAIT_US INT64_C(1000000)
#define WAY_WAIT_US INT64_C(500000)

/* A server that crashes breaks off many requests at once. */
#define BROKEN_PROBE_US INT64_C(100000)

struct service_state *entry_service(struct entry *entry, const char *name)
{
	struct service_state *service;

	list_foreach(service, &entry->services, node)
		if (!strcmp(service->service, name))
			return service;
	service = xcalloc(1, sizeof(*service));
	snprintf(service->service, sizeof(service->service), "%s", name);
	service->rejects_per_s = REJECT_LIMIT_NONE;
	list_append(&entry->services, &service->node);
	return service;
}

void entry_free_services(struct entry *entry)
{
	struct service_state *service;
	struct service_state *next;

	list_foreach_safe(service, next, &entry->services, node) {
		list_remove(&service->node);
		free(service);
	}
}

void entry_write_reach(const struct entry *entry, struct feed_reach *reach)
{
	struct service_state *service;

	memcpy(reach->callers, entry->callers, sizeof(reach->callers));
	list_foreach(service, &entry->services, node)
		if (service->reach.state == REACH_LOST &&
		    reach->n_lost < FEED_LOST_MOST)
			reach->lost[reach->n_lost++] =
				map_hash_text(service->service);
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

/* A server that is still to be tried: in doubt, not those that have failed. */
static bool is_candidate(const struct service_state *service,
			 const struct backend *backend)
{
	const struct reach *reach = &service->reach;

	return !strcmp(backend->service, service->service) &&
	       (reach->state == REACH_LOST ||
		!reach_has_failed(reach, map_hash_text(backend->address)));
}

static void send_probe(struct entry *entry, const struct backend *backend)
{
	struct effect *effect = effects_add(entry->effects, EFFECT_PROBE);

	effect->u.probe.address = xstrdup(backend->address);
}

/* Connect to some servers, each as likely as any other. */
static void probe(struct entry *entry, struct service_state *service, int n)
{
	struct backend *backend;
	struct backend *next;
	int left = 0;

	service->probed_us = entry->now_us;
	map_foreach(backend, next, &entry->fleet.backends, node)
		left += is_candidate(service, backend);
	map_foreach(backend, next, &entry->fleet.backends, node) {
		if (!is_candidate(service, backend))
			continue;
		if ((int)rng_below(&entry->rng, (uint64_t)left--) >= n)
			continue;
		send_probe(entry, backend);
		n--;
	}
}

static bool must_wait(const struct entry *entry,
		      const struct service_state *service)
{
	int64_t for_us = entry->now_us - service->reach.since_us;

	if (service->reach.state == REACH_DOUBTED)
		return for_us < DOUBT_WAIT_US;
	return service->reach.state == REACH_LOST &&
	       (entry_has_way(entry, service) || for_us < WAY_WAIT_US);
}

static void update(struct entry *entry, struct service_state *service)
{
	int64_t since_us = entry->now_us - service->probed_us;

	if (service->reach.state == REACH_GOOD && !service->paused)
		return;
	if (service->reach.state == REACH_DOUBTED && since_us >= DOUBT_PROBE_US)
		probe(entry, service, REACH_ENOUGH);
	if (service->reach.state == REACH_LOST && since_us >= LOST_PROBE_US)
		probe(entry, service, LOST_PROBES);
	if (entry_has_way(entry, service))
		entry_pass_waiting(entry, service);
	service->paused = must_wait(entry, service);
	router_pause(entry->router, service->service, service->paused,
		     entry->now_us, entry->effects);
}

void entry_reach_tick(struct entry *entry)
{
	struct service_state *service;

	list_foreach(service, &entry->services, node)
		update(entry, service);
}

static void state_changed(struct entry *entry, struct service_state *service,
			  enum reach_state before, const char *address)
{
	const struct reach *reach = &service->reach;

	entry_log(entry, reach->state == REACH_GOOD ? LOG_INFO : LOG_WARN,
		  "reach", "event=%s service=%s failed=%d server=%s",
		  reach_name(reach->state), service->service, reach->n_failed,
		  address);
	service->probed_us = 0;
	if (reach->state == REACH_LOST || before == REACH_LOST)
		entry_poll(entry);
	update(entry, service);
}

/* It may be starting again, with another version. */
static void note_unreached(struct entry *entry, const char *address)
{
	struct registry_entry *server =
		registry_find_address(&entry->registry, address);

	if (server)
		server->unreached_us = entry->now_us;
}

/* A server that has crashed is down for a while; one that resets isn't. */
void entry_probe_broken(struct entry *entry, const char *address)
{
	const struct backend *backend = fleet_find(&entry->fleet, address);
	struct registry_entry *server =
		registry_find_address(&entry->registry, address);

	if (!backend || !server ||
	    entry->now_us - server->probed_us < BROKEN_PROBE_US)
		return;
	server->probed_us = entry->now_us;
	send_probe(entry, backend);
}

void entry_report_connection(struct entry *entry, const char *address,
			     bool stands, int64_t now_us,
			     struct effects *effects)
{
	const struct backend *backend = fleet_find(&entry->fleet, address);
	struct service_state *service;
	enum reach_state before;
	bool changed;

	entry->now_us = now_us;
	entry->effects = effects;
	if (!backend)
		return;
	service = entry_service(entry, backend->service);
	before = service->reach.state;
	if (!stands)
		note_unreached(entry, address);
	if (stands)
		changed = reach_connected(&service->reach, now_us);
	else
		changed = reach_failed(&service->reach, map_hash_text(address),
				       count_servers(entry, service->service),
				       now_us);
	if (changed)
		state_changed(entry, service, before, address);
}
