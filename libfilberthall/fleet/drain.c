#include "fleet/drain.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/list.h"

struct drain {
	struct list node;
	char address[BACKEND_NAME_SIZE];
	enum drain_state state;
	int64_t began_us;
	int64_t deadline_us;
	int64_t stop_sent_us; /**< when the stop was last requested */
	char reason[192];     /**< why it is held */
};

struct drains {
	struct drain_hooks hooks;
	struct list list;
};

static const char *const drain_state_names[] = {
	[DRAIN_HELD] = "held",
	[DRAIN_DRAINING] = "draining",
	[DRAIN_STOPPING] = "stopping",
};

struct drains *drains_new(const struct drain_hooks *hooks)
{
	struct drains *drains = xcalloc(1, sizeof(*drains));

	drains->hooks = *hooks;
	list_init(&drains->list);
	return drains;
}

static void drain_free(struct drain *drain)
{
	list_remove(&drain->node);
	free(drain);
}

void drains_free(struct drains *drains)
{
	struct drain *drain;
	struct drain *next;

	if (!drains)
		return;
	list_foreach_safe(drain, next, &drains->list, node)
		drain_free(drain);
	free(drains);
}

static struct drain *drains_find(const struct drains *drains,
				 const char *address)
{
	struct drain *drain;

	list_foreach(drain, &drains->list, node)
		if (!strcmp(drain->address, address))
			return drain;
	return NULL;
}

bool drains_begin(struct drains *drains, const struct fleet *fleet,
		  const char *address, int64_t now_us)
{
	struct drain *drain;

	if (!fleet_find(fleet, address))
		return false;
	if (drains_find(drains, address))
		return true;
	drain = xcalloc(1, sizeof(*drain));
	snprintf(drain->address, sizeof(drain->address), "%s", address);
	drain->state = DRAIN_HELD;
	drain->began_us = now_us;
	list_append(&drains->list, &drain->node);
	return true;
}

bool drains_cancel(struct drains *drains, const char *address)
{
	struct drain *drain = drains_find(drains, address);

	if (!drain || drain->state == DRAIN_STOPPING)
		return false;
	if (drain->state == DRAIN_DRAINING)
		drains->hooks.set_drained(drains->hooks.data, address, false);
	drain_free(drain);
	return true;
}

/* Slots of the remaining servers, and the requests to be served by them. */
struct drain_capacity {
	int64_t servers;
	int64_t slots;
	int64_t work;
};

static bool drain_is_peer(const struct backend *a, const struct backend *b)
{
	return !strcmp(a->service, b->service) && !strcmp(a->model, b->model);
}

static struct drain_capacity drain_capacity_without(const struct fleet *fleet,
						    const struct backend *gone,
						    int64_t now_us)
{
	struct drain_capacity capacity = { 0 };
	struct backend *backend;
	struct backend *next;

	map_foreach(backend, next, &fleet->backends, node) {
		if (!drain_is_peer(backend, gone))
			continue;
		capacity.work += backend->running + backend->queued;
		if (backend == gone || !backend_usable(backend, now_us))
			continue;
		capacity.servers++;
		capacity.slots += backend->slots;
	}
	return capacity;
}

/* Whether the other servers have capacity; sets drain->reason if not. */
static bool drain_may_begin(struct drain *drain, const struct fleet *fleet,
			    const struct backend *backend, int64_t now_us)
{
	struct drain_capacity rest =
		drain_capacity_without(fleet, backend, now_us);
	const char *name =
		*backend->service ? backend->service : backend->model;

	if (!rest.servers)
		snprintf(drain->reason, sizeof(drain->reason),
			 "no other server of %.64s", name);
	else if (rest.slots < rest.work)
		snprintf(drain->reason, sizeof(drain->reason),
			 "the others of %.64s have %lld slots for %lld", name,
			 (long long)rest.slots, (long long)rest.work);
	else
		drain->reason[0] = '\0';
	return !*drain->reason;
}

/* Only a report made after all daemons had stopped sending is conclusive. */
static bool drain_is_empty(const struct drain *drain,
			   const struct backend *backend)
{
	return backend->report_us >= drain->began_us + DRAIN_PROPAGATION_US &&
	       !backend->running && !backend->queued && !backend->own.running;
}

static void drain_stop(struct drains *drains, struct drain *drain,
		       int64_t now_us)
{
	drain->state = DRAIN_STOPPING;
	drain->stop_sent_us = now_us;
	drains->hooks.stop(drains->hooks.data, drain->address);
}

static void drain_tick(struct drains *drains, struct drain *drain,
		       const struct fleet *fleet, const struct backend *backend,
		       const struct drain_policy *policy, int64_t now_us)
{
	if (drain->state == DRAIN_HELD &&
	    drain_may_begin(drain, fleet, backend, now_us)) {
		drain->state = DRAIN_DRAINING;
		drain->began_us = now_us;
		drain->deadline_us = now_us + policy->drain_us;
		drains->hooks.set_drained(drains->hooks.data, drain->address,
					  true);
	} else if (drain->state == DRAIN_DRAINING &&
		   (drain_is_empty(drain, backend) ||
		    (policy->cut && now_us >= drain->deadline_us))) {
		drain_stop(drains, drain, now_us);
	} else if (drain->state == DRAIN_STOPPING &&
		   now_us - drain->stop_sent_us >= DRAIN_STOP_RETRY_US) {
		drain_stop(drains, drain, now_us);
	}
}

void drains_tick(struct drains *drains, const struct fleet *fleet,
		 const struct drain_policy *policy, int64_t now_us)
{
	struct drain *drain;
	struct drain *next;

	list_foreach_safe(drain, next, &drains->list, node) {
		const struct backend *backend =
			fleet_find(fleet, drain->address);

		if (backend)
			drain_tick(drains, drain, fleet, backend, policy,
				   now_us);
		else
			drain_free(drain);
	}
}

bool drains_state(const struct drains *drains, const char *address,
		  enum drain_state *state)
{
	const struct drain *drain = drains_find(drains, address);

	if (drain)
		*state = drain->state;
	return drain;
}

json_t *drains_describe(const struct drains *drains, int64_t now_us)
{
	json_t *list = json_array();
	const struct drain *drain;

	list_foreach(drain, &drains->list, node)
		json_array_append_new(
			list,
			json_pack("{ss ss ss sb}", "address", drain->address,
				  "state", drain_state_names[drain->state],
				  "reason", drain->reason, "overdue",
				  drain->state == DRAIN_DRAINING &&
					  now_us >= drain->deadline_us));
	return list;
}
