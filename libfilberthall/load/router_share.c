#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "load/router_state.h"
#include "load/share.h"
#include "load/share_message.h"

/** The allocator of shares and the live daemons. */
struct router_peers {
	uint64_t allocator;
	uint64_t *members; /* sorted */
	int n;
	int self;	  /* index of this daemon in members, -1 if absent */
	int64_t round_us; /* time of the last round */
	int64_t last_grant_us; /* time of the last grants */
	int64_t rounds;
	struct share *allocator_state; /* while this router is the allocator */
};

void router_share_init(struct router *router)
{
	router->peers = xcalloc(1, sizeof(*router->peers));
	router->peers->n = 1;
}

void router_share_free(struct router *router)
{
	share_free(router->peers->allocator_state);
	free(router->peers->members);
	free(router->peers);
}

bool router_shares(const struct router *router)
{
	return router->options.features.shares && router->peers->n > 1;
}

/** Whether this daemon may use only its part of a pool's slots. */
bool router_limits_pool(const struct router *router)
{
	return router->options.features.shares;
}

static int compare_member(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

/* This daemon's equal part of `total`. */
static int64_t equal_part(const struct router_peers *peers, int64_t total)
{
	int at = peers->self < 0 ? 0 : peers->self;

	return share_fallback(total, peers->n, at);
}

/** This daemon's fraction of all capacity without an allocator. */
double router_equal_share(const struct router *router)
{
	return router_shares(router) ? 1.0 / router->peers->n : 1;
}

/** Bounds of this daemon's equal part, in 0..1. */
void router_equal_bounds(const struct router *router, double *from,
			 double *until)
{
	double at = router->peers->self < 0 ? 0 : router->peers->self;

	*from = at / router->peers->n;
	*until = (at + 1) / router->peers->n;
}

/* Without an allocator, each daemon uses an equal part. */
static void router_use_equal_shares(struct router *router, int64_t now_us)
{
	const struct router_peers *peers = router->peers;
	struct organisation *organisation;
	struct organisation *next;
	struct pool *pool;
	struct pool *after;

	map_foreach(pool, after, &router->pools, node) {
		pool_refresh(router, pool, now_us);
		pool->grant = equal_part(peers, (int64_t)pool->slots);
		/* Each daemon may use a pool with fewer slots than daemons. */
		if (!pool->grant && pool->slots > 0)
			pool->grant = 1;
		router_equal_bounds(router, &pool->share_begin,
				    &pool->share_end);
	}
	map_foreach(organisation, next, &router->organisations, node)
		quota_set_part(&organisation->quota, 1.0 / peers->n,
			       equal_part(peers,
					  organisation->rule.max_concurrent),
			       now_us);
}

void router_peers(struct router *router, uint64_t allocator,
		  const uint64_t *members, int n, int64_t now_us)
{
	struct router_peers *peers = router->peers;
	int i;

	free(peers->members);
	peers->members = xcalloc((size_t)n + 1, sizeof(*members));
	if (n)
		memcpy(peers->members, members, (size_t)n * sizeof(*members));
	qsort(peers->members, (size_t)n, sizeof(*members), compare_member);
	peers->n = n > 0 ? n : 1;
	peers->self = -1;
	for (i = 0; i < n; i++)
		if (peers->members[i] == router->options.self)
			peers->self = i;
	peers->allocator = allocator;
	if (!router->options.features.shares)
		return;
	if (allocator == router->options.self) {
		if (!peers->allocator_state)
			peers->allocator_state = share_new();
		share_set_members(peers->allocator_state, peers->members, n);
	} else {
		share_free(peers->allocator_state);
		peers->allocator_state = NULL;
	}
	router_use_equal_shares(router, now_us);
}

static struct share_demand pool_demand(const struct pool *pool)
{
	struct share_demand demand = {
		.slots = (int64_t)pool->slots,
		.pressured_tier = pool->local_pressured_tier,
	};
	int tier;

	snprintf(demand.pool, sizeof(demand.pool), "%s", pool->name);
	for (tier = 0; tier < SCHED_TIERS; tier++)
		demand.demand[tier] = pool->running_by_tier[tier] +
				      pool->pressure[tier].waiting;
	return demand;
}

static bool has_limits(const struct organisation *organisation)
{
	const struct organisation_rule *rule = &organisation->rule;

	return rule->max_concurrent || rule->requests_per_min ||
	       rule->tokens_per_min;
}

/*
 * Report the use of an organisation, and once more after it has ended, so that
 * the allocator gives this daemon's part to the others.
 */
static void write_usage(struct share_writer *writer,
			struct organisation *organisation)
{
	struct quota *quota = &organisation->quota;
	bool in_use = quota->concurrent || quota->unreported_requests;
	struct share_usage use = {
		.concurrent = quota->concurrent,
		.requests = quota->unreported_requests,
		.limit = organisation->rule.max_concurrent,
	};

	if (!has_limits(organisation) || (!in_use && !quota->reported))
		return;
	snprintf(use.organisation, sizeof(use.organisation), "%s",
		 organisation->rule.name);
	share_write_usage(writer, &use);
	quota->unreported_requests = 0;
	quota->reported = in_use;
}

/* Encode this daemon's slots, demand and usage for the allocator. */
static struct bytes router_demand(struct router *router, int64_t now_us)
{
	struct router_peers *peers = router->peers;
	struct share_writer writer = { 0 };
	struct organisation *organisation;
	struct organisation *next;
	struct pool *pool;
	struct pool *after;

	map_foreach(pool, after, &router->pools, node) {
		struct share_demand demand;

		pool_refresh(router, pool, now_us);
		pool_update_pressure(router, pool, now_us);
		demand = pool_demand(pool);
		share_write_demand(&writer, &demand);
	}
	if (++peers->rounds % SHARE_LIMIT_ROUNDS == 0)
		map_foreach(organisation, next, &router->organisations, node)
			write_usage(&writer, organisation);
	return share_write_end(&writer, SHARE_DEMAND);
}

/* Context of the message that is being decoded. */
struct message {
	struct router *router;
	uint64_t peer;
	int64_t now_us;
};

static void on_message_kind(void *data, enum share_kind kind)
{
	const struct message *message = data;
	struct router_peers *peers = message->router->peers;

	if (kind == SHARE_GRANT && message->peer == peers->allocator)
		peers->last_grant_us = message->now_us;
	if (kind == SHARE_DEMAND && peers->allocator_state)
		share_record_contact(peers->allocator_state, message->peer,
				     message->now_us);
}

static void take_demand(void *data, const struct share_demand *demand)
{
	const struct message *message = data;
	struct router_peers *peers = message->router->peers;

	if (peers->allocator_state)
		share_record_demand(peers->allocator_state, message->peer,
				    demand, message->now_us);
}

static void take_usage(void *data, const struct share_usage *use)
{
	const struct message *message = data;
	struct router_peers *peers = message->router->peers;

	if (peers->allocator_state)
		share_record_usage(peers->allocator_state, message->peer, use,
				   message->now_us);
}

static void take_grant(void *data, const struct share_grant *grant)
{
	const struct message *message = data;
	struct router *router = message->router;
	struct pool *pool;
	const char *name = grant->pool + 2;
	bool service = grant->pool[0] == 's';

	if (message->peer != router->peers->allocator ||
	    strlen(grant->pool) < 2)
		return;
	pool = pool_get(router, service ? NULL : name, service ? name : NULL,
			message->now_us);
	pool->grant = grant->slots;
	pool->share_begin = 0;
	pool->share_end = 0;
	if (grant->total > 0) {
		pool->share_begin =
			(double)grant->offset / (double)grant->total;
		pool->share_end = (double)(grant->offset + grant->slots) /
				  (double)grant->total;
	}
	pool->global_pressured_tier = grant->pressured_tier < SCHED_TIERS
					      ? (int)grant->pressured_tier
					      : SCHED_TIERS;
	pool_update_pressure(router, pool, message->now_us);
}

static void take_limit_grant(void *data, const struct share_limit_grant *part)
{
	const struct message *message = data;
	struct router *router = message->router;
	struct organisation *organisation;

	if (message->peer != router->peers->allocator)
		return;
	organisation =
		organisation_get(router, part->organisation, message->now_us);
	quota_set_part(&organisation->quota, part->rate_fraction,
		       part->concurrent, message->now_us);
}

static void take_crash(void *data, const struct share_crash *crash)
{
	const struct message *message = data;
	struct router *router = message->router;
	struct poison_crash told = { crash->server, crash->ran_us,
				     message->now_us - crash->age_us };
	struct poison_report report = { crash->fingerprint, { told }, 1 };

	router_merge_crashes(router, &report, message->now_us);
}

enum result router_message(struct router *router, uint64_t peer,
			   const struct bytes *body, int64_t now_us,
			   struct effects *effects)
{
	struct message message = { router, peer, now_us };
	struct share_reader reader = {
		.message = on_message_kind,
		.demand = take_demand,
		.usage = take_usage,
		.grant = take_grant,
		.limit_grant = take_limit_grant,
		.crash = take_crash,
		.data = &message,
	};
	enum result code = share_read(body, &reader);
	struct pool *pool;
	struct pool *next;

	if (!code)
		map_foreach(pool, next, &router->pools, node)
			if (!list_empty(&pool->queues))
				router_dispatch(router, pool, now_us, effects);
	return code;
}

void router_send(struct effects *effects, uint64_t peer, struct bytes body)
{
	struct effect_send *send = &effects_add(effects, EFFECT_SEND)->u.send;

	send->peer = peer;
	send->channel = LINK_SHARE;
	send->body = body;
}

static void write_grant(void *data, const struct share_grant *grant)
{
	share_write_grant(data, grant);
}

static void write_limit_grant(void *data, const struct share_limit_grant *part)
{
	share_write_limit_grant(data, part);
}

/* Compute a round and send the grants to all daemons, also to this one. */
static void router_allocate(struct router *router, int64_t now_us,
			    struct effects *effects)
{
	struct router_peers *peers = router->peers;
	struct share_writer writer = { 0 };
	struct bytes body;
	int i;

	share_allocate(peers->allocator_state, now_us);
	for (i = 0; i < peers->n; i++) {
		share_visit(peers->allocator_state, peers->members[i],
			    write_grant, write_limit_grant, &writer);
		body = share_write_end(&writer, SHARE_GRANT);
		if (i != peers->self) {
			router_send(effects, peers->members[i], body);
			continue;
		}
		router_message(router, router->options.self, &body, now_us,
			       effects);
		bytes_clear(&body);
	}
}

/** Run a round: report demand, allocate, or fall back to equal parts. */
void router_share_tick(struct router *router, int64_t now_us,
		       struct effects *effects)
{
	struct router_peers *peers = router->peers;
	struct bytes body;

	if (!router_shares(router) || peers->self < 0 ||
	    now_us - peers->round_us < SHARE_ROUND_US)
		return;
	peers->round_us = now_us;
	body = router_demand(router, now_us);
	if (peers->allocator_state) {
		router_message(router, router->options.self, &body, now_us,
			       effects);
		bytes_clear(&body);
		router_allocate(router, now_us, effects);
		return;
	}
	if (peers->allocator)
		router_send(effects, peers->allocator, body);
	else
		bytes_clear(&body);
	if (now_us - peers->last_grant_us > SHARE_STALE_US)
		router_use_equal_shares(router, now_us);
}

/** Report to all other daemons a server crash while this request ran. */
void router_share_crash(struct router *router, uint64_t fingerprint,
			uint64_t server, int64_t ran_us,
			struct effects *effects)
{
	struct share_crash crash = { fingerprint, server, ran_us, 0 };
	const struct router_peers *peers = router->peers;
	int i;

	for (i = 0; peers->members && i < peers->n; i++)
		if (i != peers->self)
			router_send(effects, peers->members[i],
				    share_write_crash(&crash));
}
