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

void share_equal(int64_t total, int64_t *parts, int n, int64_t turn)
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

static void share_clear_books(struct share *share)
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
	share_clear_books(share);
	free(share->members);
	free(share->heard_us);
	free(share);
}

void share_members(struct share *share, const uint64_t *members, int n)
{
	size_t size = (size_t)n * sizeof(*members);

	if (n == share->n && n && !memcmp(members, share->members, size))
		return;
	share_clear_books(share);
	free(share->members);
	free(share->heard_us);
	share->members = xcalloc((size_t)n + 1, sizeof(*members));
	share->heard_us = xcalloc((size_t)n + 1, sizeof(*share->heard_us));
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
	pool->pressure = SCHED_TIERS;
	map_insert(&share->pools, &pool->node, hash);
	return pool;
}

void share_heard(struct share *share, uint64_t member, int64_t now_us)
{
	int at = share_index(share, member);

	if (at >= 0)
		share->heard_us[at] = now_us;
}

static double share_gain(const struct share_slot *row,
			 const struct share_demand *demand, int tier)
{
	if (!tier && (double)demand->want[tier] > row->want[tier])
		return 1;
	return SHARE_WANT_GAIN;
}

void share_note_demand(struct share *share, uint64_t member,
		       const struct share_demand *demand, int64_t now_us)
{
	int at = share_index(share, member);
	struct share_pool *pool;
	struct share_slot *row;
	int tier;

	if (at < 0)
		return;
	pool = share_pool_get(share, demand->pool);
	row = &pool->rows[at];
	row->known = true;
	row->slots = demand->slots;
	row->pressure = demand->pressure;
	for (tier = 0; tier < SCHED_TIERS; tier++)
		row->want[tier] +=
			share_gain(row, demand, tier) *
			((double)demand->want[tier] - row->want[tier]);
}

bool share_is_silent(const struct share *share, int at, int64_t now_us)
{
	return !share->heard_us[at] ||
	       now_us - share->heard_us[at] > SHARE_SILENT_US;
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

/* The highest tier that is pressed on any daemon that is heard. */
static void pool_press_round(const struct share *share, struct share_pool *pool,
			     int64_t now_us)
{
	int i;

	pool->pressure = SCHED_TIERS;
	for (i = 0; i < share->n; i++) {
		const struct share_slot *row = &pool->rows[i];

		if (row->known && !share_is_silent(share, i, now_us) &&
		    row->pressure < pool->pressure)
			pool->pressure = row->pressure;
	}
}

void heard_open(const struct share *share, struct share_heard_list *list,
		int64_t now_us)
{
	size_t size = (size_t)share->n;
	int i;

	list->index = xcalloc(size, sizeof(*list->index));
	list->wants = xcalloc(size, sizeof(*list->wants));
	list->parts = xcalloc(size, sizeof(*list->parts));
	list->n = 0;
	for (i = 0; i < share->n; i++)
		if (!share_is_silent(share, i, now_us))
			list->index[list->n++] = i;
}

void heard_close(struct share_heard_list *list)
{
	free(list->index);
	free(list->wants);
	free(list->parts);
}

/*
 * A daemon that isn't heard takes the equal part by itself; the others must
 * not be given it. Returns what is left for those that are heard.
 */
static int64_t without_silent(const struct share *share,
			      const struct share_heard_list *list,
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

static void pool_round(struct share *share, struct share_pool *pool,
		       int64_t now_us)
{
	int64_t slots = pool_slots(share, pool);
	struct share_heard_list list;
	int64_t left;
	int tier;
	int i;

	heard_open(share, &list, now_us);
	left = without_silent(share, &list, slots);
	for (tier = 0; tier < SCHED_TIERS; tier++) {
		for (i = 0; i < list.n; i++)
			list.wants[i] = (int64_t)ceil(
				pool->rows[list.index[i]].want[tier]);
		left = share_divide(left, list.wants, list.parts, list.n,
				    share->turn);
	}
	share_equal(left, list.parts, list.n, share->turn);
	for (i = 0; i < share->n; i++)
		pool->rows[i].grant = share_fallback(slots, share->n, i);
	for (i = 0; i < list.n; i++)
		pool->rows[list.index[i]].grant = list.parts[i];
	heard_close(&list);
	pool_press_round(share, pool, now_us);
}

void share_round(struct share *share, int64_t now_us)
{
	struct share_pool *pool;
	struct share_pool *next_pool;

	if (!share->n)
		return;
	share->turn++;
	map_foreach(pool, next_pool, &share->pools, node)
		pool_round(share, pool, now_us);
	share_limits_round(share, now_us);
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
		 void (*part)(void *data, const struct share_part *part),
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
					   .before = grants_up_to(pool, at),
					   .total =
						   grants_up_to(pool, share->n),
					   .pressure = pool->pressure };

		memcpy(out.pool, pool->name, sizeof(out.pool));
		grant(data, &out);
	}
	map_foreach(limit, next_limit, &share->limits, node) {
		struct share_part out = { .part = limit->rows[at].part,
					  .concurrent = limit->rows[at].grant };

		if (!limit->rows[at].told)
			continue;
		memcpy(out.organisation, limit->name, sizeof(out.organisation));
		part(data, &out);
	}
}
