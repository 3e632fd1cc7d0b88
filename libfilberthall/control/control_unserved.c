/*
 * Requests that get nothing for want of a free slot, counted over all entry
 * VMs; see load/unserved.h. Nothing is kept on disk: the counts are of seconds.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "control/control_state.h"

/* Services counted; a new one replaces the one counted longest ago. */
#define SERVICES_MOST 64

struct service_unserved {
	struct list node;
	char service[BACKEND_NAME_SIZE];
	struct unserved unserved;
	int64_t told_us[SCHED_TIERS];
};

static void service_free(struct service_unserved *service)
{
	list_remove(&service->node);
	free(service);
}

void control_free_unserved(struct control *control)
{
	struct service_unserved *service;
	struct service_unserved *next;

	list_foreach_safe(service, next, &control->unserved, node)
		service_free(service);
}

static struct service_unserved *service_get(struct control *control,
					    const char *name)
{
	struct service_unserved *service;
	int n = 0;

	list_foreach(service, &control->unserved, node) {
		n++;
		if (strcmp(service->service, name) != 0)
			continue;
		list_remove(&service->node);
		list_append(&control->unserved, &service->node);
		return service;
	}
	if (n == SERVICES_MOST)
		service_free(list_first(&control->unserved,
					struct service_unserved, node));
	service = xcalloc(1, sizeof(*service));
	snprintf(service->service, sizeof(service->service), "%s", name);
	list_append(&control->unserved, &service->node);
	return service;
}

static bool was_told(const struct service_unserved *service, int tier,
		     int64_t now_us)
{
	return service->told_us[tier] &&
	       now_us - service->told_us[tier] < RESERVE_STEP_US;
}

static void tell(struct control *control, enum audience audience,
		 const struct feed_short *told, struct effects *effects)
{
	struct bytes body = { 0 };

	feed_write_short(&body, told);
	control_send(control, audience, &body, effects);
}

static void count(struct control *control, struct service_unserved *service,
		  int tier, const struct unserved_count *count, int64_t now_us,
		  struct effects *effects)
{
	struct feed_short told = { .tier = tier };

	unserved_add(&service->unserved, tier, count, now_us);
	told.part = unserved_part(&service->unserved, tier);
	if (!count->nothing || told.part <= 0 ||
	    was_told(service, tier, now_us))
		return;
	service->told_us[tier] = now_us;
	snprintf(told.service, sizeof(told.service), "%s", service->service);
	tell(control, TO_ENTRY, &told, effects);
	tell(control, TO_CONTROL, &told, effects);
	control_log(effects, LOG_INFO, "load",
		    "event=short service=%s tier=%d nothing=%.0f begun=%.0f",
		    service->service, tier, service->unserved.nothing[tier],
		    service->unserved.begun[tier]);
}

void control_receive_unserved(struct control *control, uint64_t id,
			      const struct feed_unserved *told, int64_t now_us,
			      struct effects *effects)
{
	struct service_unserved *service;
	int tier;

	if (!feed_peer_find(&control->peers, id))
		return;
	service = service_get(control, told->service);
	for (tier = 0; tier < SCHED_TIERS; tier++)
		count(control, service, tier, &told->counts[tier], now_us,
		      effects);
}

/* Entry VMs may have no link to the control VM that counted. */
void control_receive_short(struct control *control, uint64_t id,
			   const struct feed_short *told, int64_t now_us,
			   struct effects *effects)
{
	const struct feed_peer *peer = feed_peer_find(&control->peers, id);
	struct service_unserved *service;

	if (!peer || peer->observer)
		return;
	service = service_get(control, told->service);
	if (was_told(service, told->tier, now_us))
		return;
	service->told_us[told->tier] = now_us;
	tell(control, TO_ENTRY, told, effects);
}
