#include "fleet/target.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/alloc.h"
#include "fleet/target_state.h"

#define TARGET_ZONE_MAX 1000
#define TARGET_DEFAULT_SLOTS 16

/* Extrapolate to at most twice the present demand: a trend may end. */
#define TARGET_MAX_GROWTH 2.0

struct target *target_new(void)
{
	struct target *target = xcalloc(1, sizeof(*target));

	list_init(&target->pools);
	list_init(&target->budgets);
	target->policy = (struct target_policy){
		.utilisation = 0.7,
		.spare = 0.15,
		.start_us = INT64_C(90000000),
		.shrink_after_us = INT64_C(1200000000),
		.survive_zone = true,
	};
	return target;
}

void target_free(struct target *target)
{
	struct target_entry *entry;
	struct target_entry *next;
	struct target_budget *budget;
	struct target_budget *next_budget;

	if (!target)
		return;
	list_foreach_safe(entry, next, &target->pools, node)
		free(entry);
	list_foreach_safe(budget, next_budget, &target->budgets, node)
		free(budget);
	free(target);
}

void target_set_policy(struct target *target,
		       const struct target_policy *policy)
{
	target->policy = *policy;
}

static struct target_entry *target_find(const struct target *target,
					const char *pool)
{
	struct target_entry *entry;

	list_foreach(entry, &target->pools, node)
		if (!strcmp(entry->pool.name, pool))
			return entry;
	return NULL;
}

void target_set_pool(struct target *target, const struct target_pool *pool)
{
	struct target_entry *entry = target_find(target, pool->name);

	if (!entry) {
		entry = xcalloc(1, sizeof(*entry));
		list_append(&target->pools, &entry->node);
	}
	entry->pool = *pool;
	if (!entry->slots)
		entry->slots =
			pool->slots > 0 ? pool->slots : TARGET_DEFAULT_SLOTS;
}

int target_zone_at(struct target *target, const char *name)
{
	struct target_zone *zone;
	int i;

	for (i = 0; i < target->n_zones; i++)
		if (!strcmp(target->zones[i].name, name))
			return i;
	if (target->n_zones == TARGET_ZONES)
		return -1;
	zone = &target->zones[target->n_zones];
	snprintf(zone->name, sizeof(zone->name), "%s", name);
	zone->max[TARGET_STEADY] = TARGET_ZONE_MAX;
	zone->max[TARGET_CHEAP] = TARGET_ZONE_MAX;
	return target->n_zones++;
}

static enum target_kind target_kind_of(bool cheap)
{
	return cheap ? TARGET_CHEAP : TARGET_STEADY;
}

void target_set_offer(struct target *target, const char *zone, bool cheap,
		      double price, bool available)
{
	int at = target_zone_at(target, zone);
	struct target_offer *offer;

	if (at < 0)
		return;
	offer = &target->zones[at].offers[target_kind_of(cheap)];
	offer->price = price;
	offer->offered = available;
}

void target_set_zone(struct target *target, const char *zone, int64_t max,
		     int64_t cheap_max)
{
	int at = target_zone_at(target, zone);

	if (at < 0)
		return;
	target->zones[at].max[TARGET_STEADY] = max;
	target->zones[at].max[TARGET_CHEAP] = cheap_max;
}

static struct target_budget *target_find_budget(const struct target *target,
						const char *team)
{
	struct target_budget *budget;

	list_foreach(budget, &target->budgets, node)
		if (!strcmp(budget->team, team))
			return budget;
	return NULL;
}

void target_set_budget(struct target *target, const char *team, double per_hour)
{
	struct target_budget *budget = target_find_budget(target, team);

	if (!budget) {
		budget = xcalloc(1, sizeof(*budget));
		snprintf(budget->team, sizeof(budget->team), "%s", team);
		list_append(&target->budgets, &budget->node);
	}
	budget->per_hour = per_hour;
}

/* Record a value and return the maximum of the last `shrink_after_us`. */
static double target_peak_note(struct target_peak *peak, double value,
			       int64_t part_us, int64_t now_us)
{
	int64_t step = now_us / (part_us > 0 ? part_us : 1);
	double highest = 0;
	int i;

	if (step - peak->step >= TARGET_PEAKS) {
		memset(peak->parts, 0, sizeof(peak->parts));
		peak->step = step;
	}
	while (peak->step < step)
		peak->parts[++peak->step % TARGET_PEAKS] = 0;
	if (value > peak->parts[step % TARGET_PEAKS])
		peak->parts[step % TARGET_PEAKS] = value;
	for (i = 0; i < TARGET_PEAKS; i++)
		if (peak->parts[i] > highest)
			highest = peak->parts[i];
	return highest;
}

/* Update the demand's slope, smoothed so that a short burst isn't a trend. */
static void target_follow_slope(struct target_entry *entry, double all,
				int64_t start_us, int64_t now_us)
{
	int64_t passed_us = now_us - entry->last_demand_us;
	double weight = (double)passed_us / (double)start_us;
	double slope;

	if (!entry->last_demand_us || passed_us <= 0)
		return;
	slope = (all - entry->last_all) / (double)passed_us;
	entry->slope += (weight < 1 ? weight : 1) * (slope - entry->slope);
}

/* Growth of the demand until a server that is ordered now has started. */
static double target_growth_factor(const struct target_entry *entry, double all,
				   int64_t start_us)
{
	double ahead = 1;

	if (entry->slope > 0 && all > 0)
		ahead += entry->slope * (double)start_us / all;
	return ahead < TARGET_MAX_GROWTH ? ahead : TARGET_MAX_GROWTH;
}

void target_note_demand(struct target *target, const char *pool,
			const double by_tier[RULE_TIERS], double reclaimable,
			int64_t now_us)
{
	struct target_entry *entry = target_find(target, pool);
	int64_t start_us = target->policy.start_us;
	int64_t part_us = target->policy.shrink_after_us / (TARGET_PEAKS - 1);
	double all = 0;
	double ahead;
	int tier;

	if (!entry)
		return;
	for (tier = 0; tier < RULE_TIERS; tier++)
		all += by_tier[tier];
	target_follow_slope(entry, all, start_us, now_us);
	ahead = target_growth_factor(entry, all, start_us);
	entry->tier0 = target_peak_note(&entry->tier0_peak, by_tier[0] * ahead,
					part_us, now_us);
	entry->non_reclaimable =
		target_peak_note(&entry->firm_peak, (all - reclaimable) * ahead,
				 part_us, now_us);
	entry->all = target_peak_note(&entry->all_peak, all * ahead, part_us,
				      now_us);
	entry->last_all = all;
	entry->last_demand_us = now_us;
}

static void target_close_offer(struct target *target, const char *zone,
			       enum target_kind kind, int64_t now_us)
{
	int at = target_zone_at(target, zone);
	struct target_offer *offer;

	if (at < 0)
		return;
	offer = &target->zones[at].offers[kind];
	if (now_us < offer->closed_until_us)
		return;
	if (!offer->backoff_us)
		offer->backoff_us = TARGET_BACKOFF_US;
	offer->closed_until_us = now_us + offer->backoff_us;
	offer->backoff_us *= 2;
	if (offer->backoff_us > TARGET_BACKOFF_MAX_US)
		offer->backoff_us = TARGET_BACKOFF_MAX_US;
}

void target_unavailable(struct target *target, const char *zone, bool cheap,
			int64_t now_us)
{
	target_close_offer(target, zone, target_kind_of(cheap), now_us);
}

void target_reclaimed(struct target *target, const char *zone, int64_t now_us)
{
	target_close_offer(target, zone, TARGET_CHEAP, now_us);
}

bool target_offer_open(const struct target *target, int zone,
		       enum target_kind kind, int64_t now_us)
{
	const struct target_offer *offer = &target->zones[zone].offers[kind];

	return offer->offered && now_us >= offer->closed_until_us;
}

int64_t target_sum(const struct target *target,
		   const struct target_counts *counts, enum target_kind kind)
{
	int64_t sum = 0;
	int zone;

	for (zone = 0; zone < target->n_zones; zone++)
		sum += counts->at[zone][kind];
	return sum;
}

/* Counting of usable servers and of starts that are ordered. */
struct target_count {
	struct target *target;
	const struct fleet *fleet;
};

static void target_count_server(struct target *target,
				const struct backend *backend)
{
	bool service = *backend->service;
	struct target_entry *entry =
		target_find(target,
			    service ? backend->service : backend->model);
	int zone = target_zone_at(target, backend->zone);

	if (!entry || zone < 0 || entry->pool.is_service != service ||
	    backend->leaving || backend->drained)
		return;
	entry->have.at[zone][target_kind_of(backend->cheap)]++;
	if (backend->slots > 0)
		entry->slots = backend->slots;
}

static void target_count_order(void *data, const struct placed_order *placed)
{
	struct target_count *count = data;
	const json_t *order = placed->order;
	const char *service = codec_text(order, "service", NULL);
	const char *pool = service ? service : codec_text(order, "model", "");
	struct target_entry *entry = target_find(count->target, pool);
	int zone;

	if (placed->settled || !entry ||
	    strcmp(codec_text(order, "verb", ""), "start") != 0 ||
	    (*placed->address && fleet_find(count->fleet, placed->address)))
		return;
	entry->starting = true;
	zone = target_zone_at(count->target, codec_text(order, "zone", ""));
	if (zone >= 0)
		entry->have.at[zone][target_kind_of(
			!strcmp(codec_text(order, "kind", ""), "cheap"))]++;
}

/* Reset the backoff of a refused offer once it has yielded a server. */
static void target_reset_backoffs(struct target *target)
{
	const struct target_entry *entry;
	int zone;
	int kind;

	for (zone = 0; zone < target->n_zones; zone++)
		for (kind = 0; kind < TARGET_KINDS; kind++) {
			struct target_offer *offer =
				&target->zones[zone].offers[kind];
			int64_t servers = 0;

			list_foreach(entry, &target->pools, node)
				servers += entry->have.at[zone][kind];
			if (servers > offer->servers)
				offer->backoff_us = 0;
			offer->servers = servers;
		}
}

static void target_count_all(struct target *target, const struct fleet *fleet,
			     const struct order_book *book)
{
	struct target_count count = { target, fleet };
	struct target_entry *entry;
	struct backend *backend;
	struct backend *next;

	list_foreach(entry, &target->pools, node) {
		memset(&entry->have, 0, sizeof(entry->have));
		entry->starting = false;
	}
	map_foreach(backend, next, &fleet->backends, node)
		target_count_server(target, backend);
	target_reset_backoffs(target);
	order_book_visit(book, target_count_order, &count);
}

/* The server of that pool, zone and kind with the fewest requests. */
static const struct backend *target_pick_stop(const struct fleet *fleet,
					      const struct target_entry *entry,
					      const char *zone, bool cheap)
{
	const struct backend *least = NULL;
	const struct backend *backend;
	const struct backend *next;

	map_foreach(backend, next, &fleet->backends, node) {
		const char *name = entry->pool.is_service ? backend->service
							  : backend->model;

		if (strcmp(name, entry->pool.name) != 0 ||
		    strcmp(backend->zone, zone) != 0 ||
		    backend->cheap != cheap || backend->leaving ||
		    backend->drained)
			continue;
		if (!least || backend->running < least->running)
			least = backend;
	}
	return least;
}

/* Visit the starts of one pool; returns their number. */
static int
target_visit_starts(struct target *target, const struct target_entry *entry,
		    void (*visit)(void *data, const struct target_step *step),
		    void *data)
{
	int steps = 0;
	int zone;
	int kind;

	for (zone = 0; zone < target->n_zones; zone++)
		for (kind = 0; kind < TARGET_KINDS; kind++) {
			struct target_step step = {
				.start = true,
				.pool = entry->pool.name,
				.is_service = entry->pool.is_service,
				.zone = target->zones[zone].name,
				.cheap = kind == TARGET_CHEAP,
			};
			int64_t lack = entry->want.at[zone][kind] -
				       entry->have.at[zone][kind];

			for (; lack > 0; lack--, steps++)
				visit(data, &step);
		}
	return steps;
}

static void target_visit_stop(struct target *target, const struct fleet *fleet,
			      const struct target_entry *entry,
			      void (*visit)(void *data,
					    const struct target_step *step),
			      void *data)
{
	int zone;
	int kind;

	for (zone = 0; zone < target->n_zones; zone++)
		for (kind = 0; kind < TARGET_KINDS; kind++) {
			const char *name = target->zones[zone].name;
			const struct backend *backend = NULL;
			struct target_step step = { 0 };

			if (entry->have.at[zone][kind] >
			    entry->want.at[zone][kind])
				backend =
					target_pick_stop(fleet, entry, name,
							 kind == TARGET_CHEAP);
			if (!backend)
				continue;
			step.pool = entry->pool.name;
			step.is_service = entry->pool.is_service;
			step.zone = name;
			step.cheap = backend->cheap;
			step.address = backend->address;
			visit(data, &step);
			return;
		}
}

void target_plan(struct target *target, const struct fleet *fleet,
		 const struct order_book *book, int64_t now_us,
		 void (*visit)(void *data, const struct target_step *step),
		 void *data)
{
	struct target_entry *entry;

	target_count_all(target, fleet, book);
	list_foreach(entry, &target->pools, node)
		target_compute_wanted(target, entry, now_us);
	target_apply_budgets(target);
	list_foreach(entry, &target->pools, node)
		if (!target_visit_starts(target, entry, visit, data) &&
		    !entry->starting)
			target_visit_stop(target, fleet, entry, visit, data);
}

int64_t target_wanted(const struct target *target, const char *pool, bool cheap)
{
	const struct target_entry *entry = target_find(target, pool);

	return entry ? target_sum(target, &entry->want, target_kind_of(cheap))
		     : -1;
}

bool target_over_budget(const struct target *target, const char *team)
{
	const struct target_budget *budget = target_find_budget(target, team);

	return budget && budget->over;
}

const char *target_team(const struct target *target, const char *pool)
{
	const struct target_entry *entry = target_find(target, pool);

	return entry ? entry->pool.team : "";
}

double target_price(const struct target *target, const char *zone, bool cheap)
{
	int i;

	for (i = 0; i < target->n_zones; i++)
		if (!strcmp(target->zones[i].name, zone))
			return target->zones[i]
				.offers[target_kind_of(cheap)]
				.price;
	return 0;
}
