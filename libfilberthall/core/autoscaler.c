/*
 * Autoscaler. The lease holder decides how many backend servers run, orders
 * starts and stops from the platform and adds up their cost. Every daemon
 * sends it its demand and handles reclaim notices itself. The lease may pass
 * to another daemon while orders are in flight. Orders are therefore committed
 * to the log before they are sent, are sent only under a lease that outlasts
 * the call, and a new lease holder reads the platform's list before it orders
 * more (fleet/order.h).
 */
#include <string.h>

#include "agree/rules.h"
#include "base/alloc.h"
#include "core/core_state.h"

#define AUTOSCALER_DEMAND_INTERVAL_US INT64_C(2000000)
#define AUTOSCALER_OFFERS_INTERVAL_US INT64_C(10000000)
#define AUTOSCALER_PLAN_INTERVAL_US INT64_C(5000000)
#define AUTOSCALER_PROPOSAL_TIMEOUT_US INT64_C(30000000)
#define AUTOSCALER_CALL_TIMEOUT_MS 1000
#define AUTOSCALER_OFFERS_ID "offers"

static struct order_situation
autoscaler_order_situation(const struct core *core)
{
	const struct lease *lease = raft_lease(core->raft);
	struct order_situation situation = { 0 };

	situation.book = agreed_orders(core->agreed);
	situation.fleet = &core->fleet;
	situation.fence = lease->term;
	situation.until_us = lease_order_deadline(lease);
	situation.wall_us = core->wall_us;
	situation.now_us = core->now_us;
	return situation;
}

static void autoscaler_propose_order(void *data, const json_t *order)
{
	struct core *core = data;
	struct entry_head head = consensus_head(core);
	struct bytes entry = { 0 };

	entry_order(&entry, &head, order);
	propose_entry(core, head.ticket, &entry,
		      core->now_us + AUTOSCALER_PROPOSAL_TIMEOUT_US);
}

static void autoscaler_propose_settlement(void *data, const char *order_id,
					  const char *state,
					  const char *address)
{
	struct core *core = data;
	struct entry_head head = consensus_head(core);
	struct bytes entry = { 0 };

	entry_order_settled(&entry, &head, order_id, state, address);
	propose_entry(core, head.ticket, &entry,
		      core->now_us + AUTOSCALER_PROPOSAL_TIMEOUT_US);
}

static void autoscaler_drain_everywhere(void *data, const char *address,
					bool drained)
{
	gossip_drain(data, address, drained);
}

static void autoscaler_drain_locally(void *data, const char *address,
				     bool drained)
{
	struct core *core = data;

	fleet_drain(&core->fleet, address, drained);
	core->fleet_updated = true;
}

static void autoscaler_move_requests(void *data, const char *address)
{
	struct core *core = data;

	router_backend_lost(core->router, address, core->now_us, core->effects);
}

/* Orders the stop of a backend server that has been drained. */
static void autoscaler_order_stop(void *data, const char *address)
{
	struct core *core = data;
	const struct backend *backend = fleet_find(&core->fleet, address);
	struct order_situation situation = autoscaler_order_situation(core);
	struct target_step step = { .address = address };

	if (!backend)
		return;
	step.pool = backend->service[0] ? backend->service : backend->model;
	step.is_service = backend->service[0];
	step.zone = backend->zone;
	step.cheap = backend->cheap;
	core_log(core, LOG_INFO, "charge", "ordering the stop of %s", address);
	orders_place(core->orders, &situation, &step);
}

void autoscaler_new(struct core *core)
{
	struct order_hooks orders = { autoscaler_propose_order,
				      autoscaler_propose_settlement, core };
	struct drain_hooks drains = { autoscaler_drain_everywhere,
				      autoscaler_order_stop, core };
	struct reclaim_hooks reclaims = { autoscaler_drain_locally,
					  autoscaler_move_requests, core };

	core->demand = demand_new();
	core->target = target_new();
	core->orders = orders_new(&orders);
	core->drains = drains_new(&drains);
	core->reclaims = reclaims_new(&reclaims);
	core->spend = spend_new();
}

void autoscaler_free(struct core *core)
{
	spend_free(core->spend);
	reclaims_free(core->reclaims);
	drains_free(core->drains);
	orders_free(core->orders);
	target_free(core->target);
	demand_free(core->demand);
}

static void autoscaler_count_served(void *data, const char *team,
				    int64_t requests, int64_t attained)
{
	struct core *core = data;
	int64_t i;

	for (i = 0; i < requests; i++)
		spend_count(core->spend, team, i < attained);
}

void autoscaler_receive_demand(struct core *core, uint64_t member,
			       const char *data, size_t len)
{
	if (demand_read(core->demand, member, data, len, core->now_us,
			autoscaler_count_served, core))
		core_log(core, LOG_WARN, "charge",
			 "malformed demand message from member %llx",
			 (unsigned long long)member);
}

static void autoscaler_send_demand(struct core *core)
{
	uint64_t leader = raft_leader(core->raft);
	struct bytes message = { 0 };

	if (!leader ||
	    core->now_us - core->demand_sent_us < AUTOSCALER_DEMAND_INTERVAL_US)
		return;
	core->demand_sent_us = core->now_us;
	demand_write(core->demand, core->router, &message);
	if (leader == core->options.self)
		autoscaler_receive_demand(core, leader, message.data,
					  message.len);
	else
		gossip_demand(core, leader, &message);
	bytes_clear(&message);
}

void autoscaler_reclaim_notice(struct core *core, const char *zone,
			       int64_t in_us)
{
	core_log(core, LOG_WARN, "charge",
		 "cheap backend servers in %s will be reclaimed in %lld ms",
		 zone, (long long)(in_us / 1000));
	reclaims_notice(core->reclaims, &core->fleet, zone, in_us,
			core->now_us);
	target_reclaimed(core->target, zone, core->now_us);
	core->planned_us = 0;
}

static void autoscaler_handle_notice(struct core *core,
				     const struct bytes *body)
{
	json_t *root = json_loadb(body->data, body->len, 0, NULL);
	const char *zone = json_string_value(json_object_get(root, "zone"));
	json_int_t in_ms = json_integer_value(json_object_get(root, "in_ms"));

	if (zone && in_ms >= 0)
		gossip_reclaim_notice(core, zone, in_ms * 1000);
	json_decref(root);
}

static void autoscaler_handle_offers(struct core *core,
				     const struct bytes *body)
{
	json_t *list = json_loadb(body->data, body->len, 0, NULL);
	json_t *offer;
	size_t i;

	json_array_foreach(list, i, offer) {
		const char *zone =
			json_string_value(json_object_get(offer, "zone"));
		const char *kind =
			json_string_value(json_object_get(offer, "kind"));

		if (zone && kind)
			target_set_offer(core->target, zone,
					 !strcmp(kind, "cheap"),
					 json_number_value(json_object_get(
						 offer, "price_per_hour")),
					 json_is_true(
						 json_object_get(offer,
								 "available")));
	}
	json_decref(list);
}

void autoscaler_platform_answer(struct core *core,
				const struct event_platform *platform)
{
	struct order_situation situation = autoscaler_order_situation(core);

	if (!platform->order_id)
		autoscaler_handle_notice(core, &platform->body);
	else if (strcmp(platform->order_id, AUTOSCALER_OFFERS_ID))
		orders_answer(core->orders, &situation, platform, core->target);
	else if (!platform->code)
		autoscaler_handle_offers(core, &platform->body);
}

static void autoscaler_request_offers(struct core *core)
{
	struct effect_platform_call *call;

	if (core->offers_requested_us &&
	    core->now_us - core->offers_requested_us <
		    AUTOSCALER_OFFERS_INTERVAL_US)
		return;
	core->offers_requested_us = core->now_us;
	call = &effects_add(core->effects, EFFECT_PLATFORM_CALL)
			->u.platform_call;
	call->order_id = xstrdup(AUTOSCALER_OFFERS_ID);
	call->verb = xstrdup("offers");
	call->timeout_ms = AUTOSCALER_CALL_TIMEOUT_MS;
}

static void autoscaler_add_demand(void *data, const struct demand_sum *sum)
{
	struct core *core = data;

	target_note_demand(core->target, sum->pool, sum->by_tier,
			   sum->reclaimable, core->now_us);
}

static void autoscaler_apply_step(void *data, const struct target_step *step)
{
	struct core *core = data;
	struct order_situation situation = autoscaler_order_situation(core);

	if (!step->start) {
		core_log(core, LOG_INFO, "charge",
			 "draining %s before its stop", step->address);
		drains_begin(core->drains, &core->fleet, step->address,
			     core->now_us);
		return;
	}
	core_log(core, LOG_INFO, "charge",
		 "ordering the start of a %s backend server for %s in %s",
		 step->cheap ? "cheap" : "steady", step->pool, step->zone);
	orders_place(core->orders, &situation, step);
}

static void autoscaler_plan(struct core *core)
{
	if (!orders_ready(core->orders) ||
	    (core->planned_us &&
	     core->now_us - core->planned_us < AUTOSCALER_PLAN_INTERVAL_US))
		return;
	core->planned_us = core->now_us;
	autoscaler_read_settings(core);
	demand_visit(core->demand, core->now_us, autoscaler_add_demand, core);
	target_plan(core->target, &core->fleet, agreed_orders(core->agreed),
		    core->now_us, autoscaler_apply_step, core);
}

static struct drain_policy autoscaler_drain_policy(const struct core *core)
{
	const struct settings *settings = agreed_settings(core->agreed);
	struct drain_policy policy;

	policy.drain_us =
		(int64_t)(1e6 * rules_number(settings, "site/fleet/policy",
					     "drain_s"));
	policy.cut = !strcmp(rules_text(settings, "site/fleet/policy",
					"at_deadline", "wait"),
			     "cut");
	return policy;
}

static void autoscaler_run(struct core *core)
{
	struct order_situation situation = autoscaler_order_situation(core);
	struct drain_policy policy = autoscaler_drain_policy(core);

	autoscaler_request_offers(core);
	orders_tick(core->orders, &situation, core->effects);
	drains_tick(core->drains, &core->fleet, &policy, core->now_us);
	spend_tick(core->spend, &core->fleet, core->target, core->now_us);
	autoscaler_plan(core);
}

void autoscaler_tick(struct core *core)
{
	bool in_charge =
		core->options.platform &&
		lease_may_order(raft_lease(core->raft),
				AUTOSCALER_CALL_TIMEOUT_MS * INT64_C(1000),
				core->now_us);

	if (in_charge != core->holds_lease) {
		core_log(core, LOG_INFO, "charge", "%s",
			 in_charge ? "acquired the lease" : "lost the lease");
		orders_reset(core->orders);
		core->offers_requested_us = 0;
		core->planned_us = 0;
	}
	core->holds_lease = in_charge;
	autoscaler_send_demand(core);
	reclaims_tick(core->reclaims, &core->fleet, core->now_us);
	if (in_charge)
		autoscaler_run(core);
}

void autoscaler_stop_backend(struct core *core, const char *address)
{
	drains_begin(core->drains, &core->fleet, address, core->now_us);
}

bool autoscaler_cancel_stop(struct core *core, const char *address)
{
	return drains_cancel(core->drains, address);
}

json_t *autoscaler_describe_spend(const struct core *core)
{
	return spend_describe(core->spend);
}

json_t *autoscaler_describe_drains(const struct core *core)
{
	return drains_describe(core->drains, core->now_us);
}
