#include <math.h>
#include <string.h>

#include "fleet/target_state.h"

/* Number of servers needed for a demand of `slots`. */
static int64_t target_servers(const struct target *target,
			      const struct target_entry *entry, double slots,
			      double spare)
{
	double room = target->policy.utilisation * (double)entry->slots;

	return slots > 0 ? (int64_t)ceil(slots * (1 + spare) / room - 1e-9) : 0;
}

static bool target_zone_has_room(const struct target *target,
				 const struct target_entry *entry, int zone,
				 enum target_kind kind)
{
	const int64_t *want = entry->wanted.at[zone];
	const struct target_zone *of = &target->zones[zone];

	if (want[TARGET_STEADY] + want[TARGET_CHEAP] >= of->max[TARGET_STEADY])
		return false;
	return kind == TARGET_STEADY ||
	       want[TARGET_CHEAP] < of->max[TARGET_CHEAP];
}

/*
 * Whether the target may include one more server in the zone. An existing one
 * may stay, whatever is on offer; a new one must be on offer. If the last order
 * was refused, only one is ordered at a time.
 */
static bool target_may_want(const struct target *target,
			    const struct target_entry *entry, int zone,
			    enum target_kind kind, int64_t now_us)
{
	const struct target_offer *offer = &target->zones[zone].offers[kind];
	int64_t more =
		entry->wanted.at[zone][kind] - entry->current.at[zone][kind];

	if (!target_zone_has_room(target, entry, zone, kind))
		return false;
	if (more < 0)
		return true;
	return target_offer_open(target, zone, kind, now_us) &&
	       (!more || !offer->backoff_us);
}

/*
 * How full a zone counts for the next server. It counts one less if that server
 * exists already: zones may differ by one server, or else each change of the
 * offers would start a server in one zone and stop one in another.
 */
static int64_t target_fill(const struct target_entry *entry, int zone,
			   enum target_kind kind)
{
	int64_t want = entry->wanted.at[zone][kind];

	return want < entry->current.at[zone][kind] ? want - 1 : want;
}

/* Whether `zone` is preferred to `other`, which is negative for none. */
static bool target_is_better(const struct target *target,
			     const struct target_entry *entry, int zone,
			     int other, enum target_kind kind)
{
	int64_t fill = target_fill(entry, zone, kind);
	int64_t than;
	bool here;

	if (other < 0)
		return true;
	than = target_fill(entry, other, kind);
	here = fill < entry->wanted.at[zone][kind];
	if (fill != than)
		return fill < than;
	if (here != (than < entry->wanted.at[other][kind]))
		return here;
	return target->zones[zone].offers[kind].price <
	       target->zones[other].offers[kind].price;
}

/*
 * The zone for one more server: the one with the fewest, so that the loss of a
 * zone costs the fewest servers; of equals one where the server exists already,
 * then the cheapest.
 */
static int target_best_zone(const struct target *target,
			    const struct target_entry *entry,
			    enum target_kind kind, int64_t now_us)
{
	int best = -1;
	int zone;

	for (zone = 0; zone < target->n_zones; zone++)
		if (target_may_want(target, entry, zone, kind, now_us) &&
		    target_is_better(target, entry, zone, best, kind))
			best = zone;
	return best;
}

/* Add `n` servers of a kind to the target; returns how many found no zone. */
static int64_t target_spread(const struct target *target,
			     struct target_entry *entry, enum target_kind kind,
			     int64_t n, int64_t now_us)
{
	for (; n > 0; n--) {
		int zone = target_best_zone(target, entry, kind, now_us);

		if (zone < 0)
			break;
		entry->wanted.at[zone][kind]++;
	}
	return n;
}

/* Number of zones in which a steady server exists or can be ordered. */
static int target_count_zones(const struct target *target,
			      const struct target_entry *entry, int64_t now_us)
{
	int n = 0;
	int zone;

	for (zone = 0; zone < target->n_zones; zone++)
		n += target_may_want(target, entry, zone, TARGET_STEADY,
				     now_us);
	return n;
}

/*
 * With z zones, tier 0 fits without any one of them if each holds
 * ceil(t / (z - 1)) servers, t being what tier 0 needs.
 */
static void target_want_floor(const struct target *target,
			      struct target_entry *entry, int64_t now_us)
{
	int64_t needed = target_servers(target, entry, entry->tier0, 0);
	int zones = target_count_zones(target, entry, now_us);
	int zone;

	entry->floor = 0;
	if (!target->policy.survive_zone || !needed || zones < 2)
		return;
	entry->floor = (needed + zones - 2) / (zones - 1);
	for (zone = 0; zone < target->n_zones; zone++) {
		int64_t *want = &entry->wanted.at[zone][TARGET_STEADY];

		while (*want < entry->floor &&
		       target_may_want(target, entry, zone, TARGET_STEADY,
				       now_us))
			(*want)++;
	}
}

static int64_t target_clamp(int64_t value, int64_t low, int64_t high)
{
	if (value > high)
		value = high;
	return value < low ? low : value;
}

/*
 * Fraction of a server's slots by which the demand must fall before a server is
 * stopped; otherwise noise around a whole number would start and stop servers.
 */
#define TARGET_SHRINK_MARGIN 0.1

static int64_t target_total(const struct target *target,
			    const struct target_entry *entry)
{
	double spare = target->policy.spare;
	int64_t total = target_servers(target, entry, entry->all, spare);
	int64_t have = target_sum(target, &entry->current, TARGET_STEADY) +
		       target_sum(target, &entry->current, TARGET_CHEAP);
	double kept = entry->all + TARGET_SHRINK_MARGIN * (double)entry->slots;

	if (total < have) {
		total = target_servers(target, entry, kept, spare);
		if (total > have)
			total = have;
	}
	return target_clamp(total, entry->pool.min, entry->pool.max);
}

void target_compute_wanted(struct target *target, struct target_entry *entry,
			   int64_t now_us)
{
	int64_t total = target_total(target, entry);
	int64_t firm = target_servers(target, entry, entry->non_reclaimable,
				      target->policy.spare);
	int64_t carried;
	int64_t cheap;
	int64_t steady;

	memset(&entry->wanted, 0, sizeof(entry->wanted));
	target_want_floor(target, entry, now_us);
	steady = target_sum(target, &entry->wanted, TARGET_STEADY);
	firm = target_clamp(target_sum(target, &entry->current, TARGET_STEADY),
			    firm, firm + 1);
	if (firm > total)
		firm = total;
	cheap = (int64_t)((double)(total - firm) * entry->pool.cheap_share);
	/*
	 * Servers beyond the demand (the pool's minimum, hysteresis) must be
	 * able to serve any request: cheap servers alone would refuse every
	 * request that may not be reclaimed.
	 */
	carried = target_servers(target, entry,
				 entry->all - entry->non_reclaimable,
				 target->policy.spare);
	if (cheap > carried)
		cheap = carried;
	if (steady + cheap > total)
		cheap = total > steady ? total - steady : 0;
	cheap -= target_spread(target, entry, TARGET_CHEAP, cheap, now_us);
	target_spread(target, entry, TARGET_STEADY, total - cheap - steady,
		      now_us);
}

static double target_entry_cost(const struct target *target,
				const struct target_entry *entry)
{
	double cost = 0;
	int zone;
	int kind;

	for (zone = 0; zone < target->n_zones; zone++)
		for (kind = 0; kind < TARGET_KINDS; kind++)
			cost += (double)entry->wanted.at[zone][kind] *
				target->zones[zone].offers[kind].price;
	return cost;
}

static double target_team_cost(const struct target *target, const char *team)
{
	const struct target_entry *entry;
	double cost = 0;

	list_foreach(entry, &target->pools, node)
		if (!strcmp(entry->pool.team, team))
			cost += target_entry_cost(target, entry);
	return cost;
}

/* Removes a server of a kind where the team has most; false if none is left. */
static bool target_cut_one(struct target *target, const char *team,
			   enum target_kind kind)
{
	struct target_entry *most = NULL;
	struct target_entry *entry;
	int64_t above = 0;
	int at = 0;
	int zone;

	list_foreach(entry, &target->pools, node) {
		int64_t keep = kind == TARGET_STEADY ? entry->floor : 0;

		if (strcmp(entry->pool.team, team) != 0)
			continue;
		for (zone = 0; zone < target->n_zones; zone++) {
			int64_t spare = entry->wanted.at[zone][kind] - keep;

			if (spare <= above)
				continue;
			above = spare;
			most = entry;
			at = zone;
		}
	}
	if (!most)
		return false;
	most->wanted.at[at][kind]--;
	return true;
}

void target_apply_budgets(struct target *target)
{
	struct target_budget *budget;

	list_foreach(budget, &target->budgets, node) {
		bool cut = true;

		budget->over = false;
		while (budget->per_hour > 0 && cut &&
		       target_team_cost(target, budget->team) >
			       budget->per_hour) {
			cut = target_cut_one(target, budget->team,
					     TARGET_CHEAP) ||
			      target_cut_one(target, budget->team,
					     TARGET_STEADY);
			budget->over = !cut;
		}
	}
}
