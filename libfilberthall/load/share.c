#include "load/share.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "load/share_state.h"

static int64_t sum_of(const int64_t *values, int n)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < n; i++)
		sum += values[i];
	return sum;
}

void share_divide_equally(int64_t total, int64_t *parts, int n, int64_t turn)
{
	int i;

	for (i = 0; i < n; i++) {
		int64_t place = (i + turn) % n;

		parts[i] += total / n + (place < total % n);
	}
}

int64_t share_fallback(int64_t total, int n, int at)
{
	return total / n + (at < total % n);
}

int64_t share_divide(int64_t total, const int64_t *wants, int64_t *parts, int n,
		     int64_t turn)
{
	int64_t sum = sum_of(wants, n);
	int64_t given = 0;
	int i;

	if (sum <= total) {
		for (i = 0; i < n; i++)
			parts[i] += wants[i];
		return total - sum;
	}
	for (i = 0; i < n; i++) {
		int64_t part = total * wants[i] / sum;

		parts[i] += part;
		given += part;
	}
	for (i = 0; given < total && i < n; i++) {
		int at = (int)((i + turn) % n);

		if (!wants[at])
			continue;
		parts[at]++;
		given++;
	}
	return 0;
}

struct share *share_new(void)
{
	struct share *share = xcalloc(1, sizeof(*share));

	map_init(&share->pools);
	map_init(&share->limits);
	return share;
}

static void share_clear_tables(struct share *share)
{
	struct share_pool *pool;
	struct share_pool *next_pool;
	struct share_limit *limit;
	struct share_limit *next_limit;

	map_foreach(pool, next_pool, &share->pools, node) {
		free(pool->rows);
		free(pool);
	}
	map_foreach(limit, next_limit, &share->limits, node) {
		free(limit->rows);
		free(limit);
	}
	map_clear(&share->pools);
	map_clear(&share->limits);
}

void share_free(struct share *share)
{
	if (!share)
		return;
	share_clear_tables(share);
	free(share->members);
	free(share->last_contact_us);
	free(share);
}

void share_set_members(struct share *share, const uint64_t *members, int n)
{
	size_t size = (size_t)n * sizeof(*members);

	if (n == share->n && n && !memcmp(members, share->members, size))
		return;
	share_clear_tables(share);
	free(share->members);
	free(share->last_contact_us);
	share->members = xcalloc((size_t)n + 1, sizeof(*members));
	share->last_contact_us =
		xcalloc((size_t)n + 1, sizeof(*share->last_contact_us));
	if (n)
		memcpy(share->members, members, size);
	share->n = n;
}

int share_index(const struct share *share, uint64_t member)
{
	int i;

	for (i = 0; i < share->n; i++)
		if (share->members[i] == member)
			return i;
	return -1;
}

static bool share_pool_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct share_pool, node)->name, key);
}

static struct share_pool *share_pool_get(struct share *share, const char *name)
{
	uint64_t hash = map_hash_text(name);
	struct map_node *node =
		map_find(&share->pools, hash, share_pool_match, name);
	struct share_pool *pool;

	if (node)
		return container_of(node, struct share_pool, node);
	pool = xcalloc(1, sizeof(*pool));
	snprintf(pool->name, sizeof(pool->name), "%s", name);
	pool->rows = xcalloc((size_t)share->n + 1, sizeof(*pool->rows));
	pool->pressured_tier = SCHED_TIERS;
	map_insert(&share->pools, &pool->node, hash);
	return pool;
}

void share_record_contact(struct share *share, uint64_t member, int64_t now_us)
{
	int at = share_index(share, member);

	if (at >= 0)
		share->last_contact_us[at] = now_us;
}

static double demand_gain(const struct share_row *row,
			  const struct share_demand *demand, int tier)
{
	if (!tier && (double)demand->demand[tier] > row->demand[tier])
		return 1;
	return SHARE_DEMAND_GAIN;
}

void share_record_demand(struct share *share, uint64_t member,
			 const struct share_demand *demand, int64_t now_us)
{
	int at = share_index(share, member);
	struct share_pool *pool;
	struct share_row *row;
	int tier;

	if (at < 0)
		return;
	pool = share_pool_get(share, demand->pool);
	row = &pool->rows[at];
	row->reported = true;
	row->slots = demand->slots;
	row->pressured_tier = demand->pressured_tier;
	for (tier = 0; tier < SCHED_TIERS; tier++)
		row->demand[tier] +=
			demand_gain(row, demand, tier) *
			((double)demand->demand[tier] - row->demand[tier]);
}

bool share_is_stale(const struct share *share, int at, int64_t now_us)
{
	return !share->last_contact_us[at] ||
	       now_us - share->last_contact_us[at] > SHARE_STALE_US;
}

static int64_t pool_slots(const struct share *share,
			  const struct share_pool *pool)
{
	int64_t slots = 0;
	int i;

	for (i = 0; i < share->n; i++)
		if (pool->rows[i].slots > slots)
			slots = pool->rows[i].slots;
	return slots;
}

/* The highest tier under pressure on any member that isn't stale. */
static void update_pool_pressure(const struct share *share,
				 struct share_pool *pool, int64_t now_us)
{
	int i;

	pool->pressured_tier = SCHED_TIERS;
	for (i = 0; i < share->n; i++) {
		const struct share_row *row = &pool->rows[i];

		if (row->reported && !share_is_stale(share, i, now_us) &&
		    row->pressured_tier < pool->pressured_tier)
			pool->pressured_tier = row->pressured_tier;
	}
}

void live_members_init(const struct share *share,
		       struct share_live_members *list, int64_t now_us)
{
	size_t size = (size_t)share->n;
	int i;

	list->index = xcalloc(size, sizeof(*list->index));
	list->demands = xcalloc(size, sizeof(*list->demands));
	list->parts = xcalloc(size, sizeof(*list->parts));
	list->n = 0;
	for (i = 0; i < share->n; i++)
		if (!share_is_stale(share, i, now_us))
			list->index[list->n++] = i;
}

void live_members_clear(struct share_live_members *list)
{
	free(list->index);
	free(list->demands);
	free(list->parts);
}

/*
 * A stale member falls back to its equal part, which must not be granted to
 * others. Returns what is left for the live members.
 */
static int64_t total_without_stale(const struct share *share,
				   const struct share_live_members *list,
				   int64_t total_of)
{
	int64_t total = total_of;
	int next = 0;
	int i;

	for (i = 0; i < share->n; i++) {
		if (next < list->n && list->index[next] == i)
			next++;
		else
			total -= share_fallback(total_of, share->n, i);
	}
	return total;
}

static void allocate_pool(struct share *share, struct share_pool *pool,
			  int64_t now_us)
{
	int64_t slots = pool_slots(share, pool);
	struct share_live_members list;
	int64_t left;
	int tier;
	int i;

	live_members_init(share, &list, now_us);
	left = total_without_stale(share, &list, slots);
	for (tier = 0; tier < SCHED_TIERS; tier++) {
		for (i = 0; i < list.n; i++)
			list.demands[i] = (int64_t)ceil(
				pool->rows[list.index[i]].demand[tier]);
		left = share_divide(left, list.demands, list.parts, list.n,
				    share->round);
	}
	share_divide_equally(left, list.parts, list.n, share->round);
	for (i = 0; i < share->n; i++)
		pool->rows[i].grant = share_fallback(slots, share->n, i);
	for (i = 0; i < list.n; i++)
		pool->rows[list.index[i]].grant = list.parts[i];
	live_members_clear(&list);
	update_pool_pressure(share, pool, now_us);
}

void share_allocate(struct share *share, int64_t now_us)
{
	struct share_pool *pool;
	struct share_pool *next_pool;

	if (!share->n)
		return;
	share->round++;
	map_foreach(pool, next_pool, &share->pools, node)
		allocate_pool(share, pool, now_us);
	share_allocate_limits(share, now_us);
}

static int64_t grants_up_to(const struct share_pool *pool, int n)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < n; i++)
		sum += pool->rows[i].grant;
	return sum;
}

void share_visit(const struct share *share, uint64_t member,
		 void (*grant)(void *data, const struct share_grant *grant),
		 void (*part)(void *data, const struct share_limit_grant *part),
		 void *data)
{
	int at = share_index(share, member);
	struct share_pool *pool;
	struct share_pool *next_pool;
	struct share_limit *limit;
	struct share_limit *next_limit;

	if (at < 0)
		return;
	map_foreach(pool, next_pool, &share->pools, node) {
		struct share_grant out = { .slots = pool->rows[at].grant,
					   .offset = grants_up_to(pool, at),
					   .total =
						   grants_up_to(pool, share->n),
					   .pressured_tier =
						   pool->pressured_tier };

		memcpy(out.pool, pool->name, sizeof(out.pool));
		grant(data, &out);
	}
	map_foreach(limit, next_limit, &share->limits, node) {
		struct share_limit_grant out = {
			.rate_fraction = limit->rows[at].rate_fraction,
			.concurrent = limit->rows[at].grant
		};

		if (!limit->rows[at].updated)
			continue;
		memcpy(out.organisation, limit->name, sizeof(out.organisation));
		part(data, &out);
	}
}
