#include "core/demand.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/pack.h"

/* One daemon's demand for one pool. */
struct demand_report {
	struct list node;
	uint64_t member;
	int64_t received_us;
	struct demand_sum sum;
};

/* A team's requests that ended on this daemon since the last message. */
struct demand_team {
	struct list node;
	char name[RULE_NAME_SIZE];
	int64_t requests;
	int64_t attained;
};

struct demand {
	struct list reports;
	struct list teams;
};

struct demand *demand_new(void)
{
	struct demand *demand = xcalloc(1, sizeof(*demand));

	list_init(&demand->reports);
	list_init(&demand->teams);
	return demand;
}

void demand_free(struct demand *demand)
{
	struct demand_team *team;
	struct demand_team *next_team;
	struct demand_report *row;
	struct demand_report *next;

	if (!demand)
		return;
	list_foreach_safe(row, next, &demand->reports, node)
		free(row);
	list_foreach_safe(team, next_team, &demand->teams, node)
		free(team);
	free(demand);
}

void demand_count_request(struct demand *demand, const char *team,
			  bool attained)
{
	struct demand_team *found;

	list_foreach(found, &demand->teams, node)
		if (!strcmp(found->name, team))
			break;
	if (&found->node == &demand->teams) {
		found = xcalloc(1, sizeof(*found));
		strncpy(found->name, team, sizeof(found->name) - 1);
		list_append(&demand->teams, &found->node);
	}
	found->requests++;
	found->attained += attained;
}

/*
 * Pools are counted first because msgpack writes an array's length before its
 * items.
 */
static void demand_count_pool(void *data, const struct router_pool_view *view)
{
	(void)view;
	(*(int *)data)++;
}

static void demand_pack_pool(void *data, const struct router_pool_view *view)
{
	msgpack_packer *packer = data;
	int tier;

	pack_text(packer, view->name);
	msgpack_pack_int(packer, view->is_service);
	for (tier = 0; tier < RULE_TIERS; tier++)
		msgpack_pack_int64(packer, (int64_t)view->by_tier[tier]);
	msgpack_pack_int64(packer, (int64_t)view->reclaimable);
}

#define DEMAND_POOL_ITEMS (3 + RULE_TIERS)
#define DEMAND_TEAM_ITEMS 3

static void demand_pack_teams(struct demand *demand, msgpack_packer *packer)
{
	struct demand_team *team;

	list_foreach(team, &demand->teams, node) {
		pack_text(packer, team->name);
		msgpack_pack_int64(packer, team->requests);
		msgpack_pack_int64(packer, team->attained);
		team->requests = 0;
		team->attained = 0;
	}
}

void demand_write(struct demand *demand, const struct router *router,
		  struct bytes *out)
{
	struct demand_team *team;
	msgpack_packer packer;
	int pools = 0;
	int teams = 0;

	router_visit_pools(router, demand_count_pool, &pools);
	list_foreach(team, &demand->teams, node)
		teams++;
	pack_init(&packer, out);
	msgpack_pack_array(&packer, 2 + pools * DEMAND_POOL_ITEMS +
					    teams * DEMAND_TEAM_ITEMS);
	msgpack_pack_int(&packer, pools);
	msgpack_pack_int(&packer, teams);
	router_visit_pools(router, demand_pack_pool, &packer);
	demand_pack_teams(demand, &packer);
}

static bool demand_unpack_pool(const struct unpacked *message, size_t at,
			       struct demand_sum *sum)
{
	char *name = unpack_text(message, at, sizeof(sum->pool) - 1);
	int64_t value = 0;
	bool good = name;
	int tier;

	memset(sum, 0, sizeof(*sum));
	if (name)
		memcpy(sum->pool, name, strlen(name));
	free(name);
	good = good && unpack_int(message, at + 1, &value);
	sum->is_service = good && value;
	for (tier = 0; good && tier < RULE_TIERS; tier++) {
		good = unpack_int(message, at + 2 + (size_t)tier, &value) &&
		       value >= 0;
		sum->by_tier[tier] = (double)value;
	}
	good = good && unpack_int(message, at + 2 + RULE_TIERS, &value) &&
	       value >= 0;
	sum->reclaimable = (double)value;
	return good;
}

static void demand_remove_member(struct demand *demand, uint64_t member)
{
	struct demand_report *row;
	struct demand_report *next;

	list_foreach_safe(row, next, &demand->reports, node) {
		if (row->member != member)
			continue;
		list_remove(&row->node);
		free(row);
	}
}

static bool demand_read_pools(struct demand *demand, uint64_t member,
			      const struct unpacked *message, int64_t pools,
			      int64_t now_us)
{
	struct demand_sum sum;
	int64_t i;

	for (i = 0; i < pools; i++)
		if (!demand_unpack_pool(message,
					2 + (size_t)i * DEMAND_POOL_ITEMS,
					&sum))
			return false;
	demand_remove_member(demand, member);
	for (i = 0; i < pools; i++) {
		struct demand_report *row = xcalloc(1, sizeof(*row));

		row->member = member;
		row->received_us = now_us;
		demand_unpack_pool(message, 2 + (size_t)i * DEMAND_POOL_ITEMS,
				   &row->sum);
		list_append(&demand->reports, &row->node);
	}
	return true;
}

static void
demand_read_teams(const struct unpacked *message, size_t at, int64_t teams,
		  void (*served)(void *data, const char *team, int64_t requests,
				 int64_t attained),
		  void *data)
{
	int64_t requests;
	int64_t attained;
	int64_t i;

	for (i = 0; i < teams; i++, at += DEMAND_TEAM_ITEMS) {
		char *team = unpack_text(message, at, RULE_NAME_SIZE - 1);

		if (team && unpack_int(message, at + 1, &requests) &&
		    unpack_int(message, at + 2, &attained) && requests > 0)
			served(data, team, requests, attained);
		free(team);
	}
}

enum result demand_read(struct demand *demand, uint64_t member,
			const char *data, size_t len, int64_t now_us,
			void (*served)(void *data, const char *team,
				       int64_t requests, int64_t attained),
			void *served_data)
{
	enum result code = RESULT_MESSAGE_MALFORMED;
	struct unpacked message;
	int64_t pools;
	int64_t teams;

	if (!unpack_array(&message, data, len))
		return code;
	if (unpack_int(&message, 0, &pools) &&
	    unpack_int(&message, 1, &teams) && pools >= 0 && teams >= 0 &&
	    pools <= (int64_t)message.n && teams <= (int64_t)message.n &&
	    message.n == 2 + (size_t)pools * DEMAND_POOL_ITEMS +
				 (size_t)teams * DEMAND_TEAM_ITEMS &&
	    demand_read_pools(demand, member, &message, pools, now_us)) {
		demand_read_teams(&message,
				  2 + (size_t)pools * DEMAND_POOL_ITEMS, teams,
				  served, served_data);
		code = RESULT_OK;
	}
	unpack_clear(&message);
	return code;
}

static void demand_expire(struct demand *demand, int64_t now_us)
{
	struct demand_report *row;
	struct demand_report *next;

	list_foreach_safe(row, next, &demand->reports, node) {
		if (now_us - row->received_us <= DEMAND_TTL_US)
			continue;
		list_remove(&row->node);
		free(row);
	}
}

/* Running sum for one pool. */
struct demand_total {
	struct map_node node;
	struct demand_sum sum;
};

static bool demand_match(const struct map_node *node, const void *key)
{
	const struct demand_sum *sum =
		&container_of(node, struct demand_total, node)->sum;
	const struct demand_sum *other = key;

	return sum->is_service == other->is_service &&
	       !strcmp(sum->pool, other->pool);
}

static void demand_add(struct map *totals, const struct demand_sum *add)
{
	uint64_t hash = map_hash_text(add->pool);
	struct demand_total *total;
	struct map_node *node;
	int tier;

	node = map_find(totals, hash, demand_match, add);
	if (!node) {
		total = xcalloc(1, sizeof(*total));
		total->sum = *add;
		map_insert(totals, &total->node, hash);
		return;
	}
	total = container_of(node, struct demand_total, node);
	for (tier = 0; tier < RULE_TIERS; tier++)
		total->sum.by_tier[tier] += add->by_tier[tier];
	total->sum.reclaimable += add->reclaimable;
}

void demand_visit(struct demand *demand, int64_t now_us,
		  void (*visit)(void *data, const struct demand_sum *sum),
		  void *data)
{
	struct demand_total *total;
	struct demand_total *next;
	struct demand_report *row;
	struct map totals;

	demand_expire(demand, now_us);
	map_init(&totals);
	list_foreach(row, &demand->reports, node)
		demand_add(&totals, &row->sum);
	map_foreach(total, next, &totals, node) {
		visit(data, &total->sum);
		map_remove(&totals, &total->node);
		free(total);
	}
	map_clear(&totals);
}
