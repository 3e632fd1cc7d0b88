#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "load/share_state.h"

static bool share_limit_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct share_limit, node)->name, key);
}

static struct share_limit *share_limit_get(struct share *share,
					   const char *name)
{
	uint64_t hash = map_hash_text(name);
	struct map_node *node =
		map_find(&share->limits, hash, share_limit_match, name);
	struct share_limit *limit;

	if (node)
		return container_of(node, struct share_limit, node);
	limit = xcalloc(1, sizeof(*limit));
	snprintf(limit->name, sizeof(limit->name), "%s", name);
	limit->rows = xcalloc((size_t)share->n + 1, sizeof(*limit->rows));
	map_insert(&share->limits, &limit->node, hash);
	return limit;
}

void share_record_usage(struct share *share, uint64_t member,
			const struct share_usage *use, int64_t now_us)
{
	int at = share_index(share, member);
	struct share_limit *limit;
	struct share_row *row;

	if (at < 0)
		return;
	limit = share_limit_get(share, use->organisation);
	limit->limit = use->limit;
	row = &limit->rows[at];
	row->reported = true;
	row->fresh = true;
	row->concurrent = use->concurrent;
	row->recent_requests = row->recent_requests / 2 + (double)use->requests;
}

/*
 * Only daemons with requests of an organisation report it. Any other daemon
 * keeps the part it was last granted, or the fallback if it never was granted
 * one; these parts are subtracted before the rest is divided.
 */
static void limit_begin_round(const struct share *share,
			      const struct share_limit *limit,
			      struct share_live_members *list, int64_t *places,
			      double *rates, int64_t now_us)
{
	int n = 0;
	int i;

	live_members_init(share, list, now_us);
	*places = limit->limit;
	*rates = 1;
	for (i = 0; i < share->n; i++) {
		const struct share_row *row = &limit->rows[i];
		bool silent = share_is_stale(share, i, now_us);

		if (!silent && row->fresh) {
			list->index[n++] = i;
		} else if (!silent && row->reported) {
			*places -= row->grant;
			*rates -= row->rate_fraction;
		} else {
			*places -= share_fallback(limit->limit, share->n, i);
			*rates -= 1.0 / share->n;
		}
	}
	list->n = n;
	if (*places < 0)
		*places = 0;
	if (*rates < 0)
		*rates = 0;
}

/*
 * Rates are divided half in equal parts, so that a daemon with little demand
 * can admit its next request, and half by demand. Of the concurrency limit,
 * each daemon keeps what it uses; the rest is divided by demand and then in
 * equal parts.
 */
static void allocate_limit(struct share *share, struct share_limit *limit,
			   int64_t now_us)
{
	struct share_live_members list;
	double total_requests = 0;
	double rate_left;
	int64_t left;
	int i;

	limit_begin_round(share, limit, &list, &left, &rate_left, now_us);
	for (i = 0; i < list.n; i++) {
		list.demands[i] = limit->rows[list.index[i]].concurrent;
		total_requests += limit->rows[list.index[i]].recent_requests;
	}
	left = share_divide(left, list.demands, list.parts, list.n,
			    share->round);
	for (i = 0; i < list.n; i++)
		list.demands[i] =
			(int64_t)limit->rows[list.index[i]].recent_requests;
	left = share_divide(left, list.demands, list.parts, list.n,
			    share->round);
	share_divide_equally(left, list.parts, list.n, share->round);
	for (i = 0; i < list.n; i++) {
		struct share_row *row = &limit->rows[list.index[i]];
		double equal = 1.0 / list.n;

		row->rate_fraction =
			total_requests > 0
				? rate_left *
					  (equal + row->recent_requests /
							   total_requests) /
					  2
				: rate_left * equal;
		row->grant = list.parts[i];
		row->fresh = false;
		row->updated = true;
	}
	live_members_clear(&list);
}

void share_allocate_limits(struct share *share, int64_t now_us)
{
	struct share_limit *limit;
	struct share_limit *next;
	int i;

	map_foreach(limit, next, &share->limits, node) {
		for (i = 0; i < share->n; i++)
			limit->rows[i].updated = false;
		if (share->round % SHARE_LIMIT_ROUNDS == 0)
			allocate_limit(share, limit, now_us);
	}
}
