/*
 * The duty of the one in charge to order servers: what each service's zones
 * shall have, and orders where that isn't what they have.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "control/control_state.h"
#include "fleet/sizing.h"

/* Interval of planning. */
#define PLAN_US INT64_C(500000)

/* After a refused order, a zone is asked again after this time. */
#define DRY_US INT64_C(3000000)

/* Time beyond the boot time after which an order is repeated. */
#define AGAIN_US INT64_C(1500000)

/* The order for one zone and kind of server. */
struct size_order {
	struct list node;
	char *id;      /* of its calls */
	char *service; /* whole names, as the platform knows them */
	char *zone;
	bool cheap;
	int64_t ordered; /* accepted last; -1 if none was */
	int64_t asked;	 /* by the call in progress */
	bool under_way;
	int64_t next_us; /* not ordered again before then */
	int64_t dry_us;	 /* not ordered again before then, after a refusal */
	bool dry;	 /* the last order was refused */
};

void control_drop_sizes(struct control *control)
{
	struct size_order *order;
	struct size_order *next;

	list_foreach_safe(order, next, &control->sizes, node) {
		list_remove(&order->node);
		free(order->id);
		free(order->service);
		free(order->zone);
		free(order);
	}
}

static struct size_order *order_of(struct control *control,
				   const struct service *service,
				   const struct service_zone *zone, bool cheap)
{
	struct size_order *order;

	list_foreach(order, &control->sizes, node)
		if (order->cheap == cheap &&
		    !strcmp(order->service, service->full_name) &&
		    !strcmp(order->zone, zone->full_name))
			return order;
	order = xcalloc(1, sizeof(*order));
	order->id = xstrfmt("size-%d-%s/%s", cheap, service->full_name,
			    zone->full_name);
	order->service = xstrdup(service->full_name);
	order->zone = xstrdup(zone->full_name);
	order->cheap = cheap;
	order->ordered = -1;
	list_append(&control->sizes, &order->node);
	return order;
}

static void count_servers(const struct control *control,
			  const struct service *service,
			  const struct service_zone *zone,
			  struct sizing_zone *out)
{
	struct registry_entry *registered;
	struct registry_entry *next;

	map_foreach(registered, next, &control->registry.by_id, node) {
		const struct registration *registration =
			&registered->registration;

		if (!registry_entry_usable(registered) ||
		    strcmp(registration->service, service->name) != 0 ||
		    strcmp(registration->zone, zone->name) != 0)
			continue;
		if (registration->cheap)
			out->cheap++;
		else
			out->steady++;
	}
}

static void size_body(struct bytes *out, const struct size_order *order)
{
	json_t *root =
		json_pack("{s:s, s:s, s:I, s:b}", "service", order->service,
			  "zone", order->zone, "servers",
			  (json_int_t)order->asked, "cheap", (int)order->cheap);
	char *text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);

	json_decref(root);
	bytes_append_text(out, text);
	free(text);
}

static void send_order(struct control *control, struct size_order *order,
		       int64_t have, int64_t want, struct effects *effects)
{
	struct effect_platform_call *call;

	order->under_way = true;
	order->asked = want;
	call = control_platform_call(control, "size", effects);
	call->order_id = xstrdup(order->id);
	size_body(&call->body, order);
	control_log(effects, LOG_INFO, "fleet",
		    "event=order service=%s zone=%s cheap=%d servers=%lld "
		    "have=%lld fence=%lld",
		    order->service, order->zone, order->cheap, (long long)want,
		    (long long)have, (long long)call->fence);
}

/*
 * Order what differs. The order is repeated while servers are still missing
 * some time after they should serve: a zone may have had room for only a part
 * of them, beside servers that hadn't left yet.
 */
static void follow(struct control *control, struct size_order *order,
		   int64_t have, int64_t want, int64_t boot_ms, int64_t now_us,
		   struct effects *effects)
{
	bool changed = order->ordered != want;

	if (order->under_way || have == want ||
	    now_us < (changed ? order->dry_us : order->next_us) ||
	    !control_may_call(control, now_us))
		return;
	order->next_us = now_us + boot_ms * 1000 + AGAIN_US;
	send_order(control, order, have, want, effects);
}

static void plan_service(struct control *control, const struct service *service,
			 int64_t now_us, struct effects *effects)
{
	const struct service_scaling *scaling = &service->scaling;
	struct sizing sizing = {
		.min_servers = scaling->least,
		.max_servers = scaling->most,
		.has_cheap = scaling->cheap_price > 0,
		.n_zones = scaling->n_zones < SIZING_ZONES ? scaling->n_zones
							   : SIZING_ZONES,
	};
	size_t i;

	for (i = 0; i < sizing.n_zones; i++) {
		const struct service_zone *zone = &scaling->zones[i];

		sizing.zones[i].cheap_unavailable =
			order_of(control, service, zone, true)->dry;
		sizing.zones[i].evacuated =
			evacuations_include(&control->ledger.evacuations,
					    zone->name);
		count_servers(control, service, zone, &sizing.zones[i]);
	}
	sizing_plan(&sizing);
	for (i = 0; i < sizing.n_zones; i++) {
		const struct service_zone *zone = &scaling->zones[i];

		follow(control, order_of(control, service, zone, true),
		       sizing.zones[i].cheap, sizing.zones[i].want_cheap,
		       scaling->boot_ms, now_us, effects);
		follow(control, order_of(control, service, zone, false),
		       sizing.zones[i].steady, sizing.zones[i].want_steady,
		       scaling->boot_ms, now_us, effects);
	}
}

void control_fleet_tick(struct control *control, int64_t now_us,
			struct effects *effects)
{
	size_t i;

	if (!control->in_charge || !control->options.report ||
	    !control->document || now_us - control->sized_us < PLAN_US)
		return;
	control->sized_us = now_us;
	for (i = 0; i < control->document->n_services; i++)
		if (control->document->services[i].scaling.allowed)
			plan_service(control, &control->document->services[i],
				     now_us, effects);
}

void control_fleet_answer(struct control *control, const char *order_id,
			  enum result code, int64_t now_us,
			  struct effects *effects)
{
	struct size_order *order;

	list_foreach(order, &control->sizes, node) {
		if (strcmp(order->id, order_id) != 0)
			continue;
		order->under_way = false;
		if (code == RESULT_OK) {
			order->ordered = order->asked;
			order->dry = false;
			return;
		}
		if (code == RESULT_PLATFORM_REFUSED) {
			order->dry_us = now_us + DRY_US;
			order->dry = true;
		}
		order->next_us = now_us + DRY_US;
		control_log(effects, LOG_WARN, "fleet",
			    "event=order-failed service=%s zone=%s cheap=%d "
			    "servers=%lld code=%s",
			    order->service, order->zone, order->cheap,
			    (long long)order->asked, result_name(code));
		return;
	}
}
