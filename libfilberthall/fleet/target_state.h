#ifndef FILBERTHALL_FLEET_TARGET_STATE_H
#define FILBERTHALL_FLEET_TARGET_STATE_H

#include "base/list.h"
#include "fleet/target.h"

/**
 * Private state of target.c and target_plan.c; not included elsewhere.
 */

enum target_kind { TARGET_STEADY, TARGET_CHEAP, TARGET_KINDS };

struct target_offer {
	double price;
	bool offered;
	int64_t closed_until_us; /**< not ordered before this */
	int64_t backoff_us; /**< after the next refusal; 0 if not refused */
	int64_t servers;    /**< that existed at the last plan */
};

struct target_zone {
	char name[RULE_NAME_SIZE];
	int64_t max[TARGET_KINDS]; /**< of both kinds, of cheap ones */
	struct target_offer offers[TARGET_KINDS];
};

/** Number of servers by zone and kind. */
struct target_counts {
	int64_t at[TARGET_ZONES][TARGET_KINDS];
};

/** Maximum of a value in each interval of the last `shrink_after_us`. */
#define TARGET_PEAKS 10
struct target_peak {
	double parts[TARGET_PEAKS];
	int64_t step; /**< number of the newest interval */
};

struct target_entry {
	struct list node;
	struct target_pool pool;
	struct target_peak tier0_peak;
	struct target_peak firm_peak;
	struct target_peak all_peak;
	double tier0;		/**< slots, as planned for */
	double non_reclaimable; /**< slots that may not be cheap */
	double all;
	double last_all;	/**< last recorded demand */
	double slope;		/**< slots per microsecond, smoothed */
	int64_t last_demand_us; /**< of the last demand, 0 for none */
	struct target_counts have;
	struct target_counts want;
	bool starting; /**< a start is ordered and not known to be done */
	int64_t floor; /**< steady servers for tier 0 in each zone */
	int64_t slots; /**< of one server, as announced */
};

struct target_budget {
	struct list node;
	char team[RULE_NAME_SIZE];
	double per_hour;
	bool over;
};

struct target {
	struct target_policy policy;
	struct list pools;
	struct list budgets;
	struct target_zone zones[TARGET_ZONES];
	int n_zones;
};

/** Index of a zone, which is added if needed; -1 if there is no room. */
int target_zone_at(struct target *target, const char *name);

/** Whether that kind of server can be ordered in the zone now. */
bool target_offer_open(const struct target *target, int zone,
		       enum target_kind kind, int64_t now_us);

/** Compute entry->want from demand, floor and offers. */
void target_compute_wanted(struct target *target, struct target_entry *entry,
			   int64_t now_us);

/** Reduce the target numbers to the teams' budgets. */
void target_apply_budgets(struct target *target);

/** Number of servers of one kind in all zones. */
int64_t target_sum(const struct target *target,
		   const struct target_counts *counts, enum target_kind kind);

#endif
