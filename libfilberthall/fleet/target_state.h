#ifndef FILBERTHALL_FLEET_TARGET_STATE_H
#define FILBERTHALL_FLEET_TARGET_STATE_H

#include "base/list.h"
#include "fleet/target.h"

/**
 * Inside of the plan, shared by target.c and target_plan.c; no one else
 * includes it.
 */

enum target_kind { TARGET_STEADY, TARGET_CHEAP, TARGET_KINDS };

struct target_offer {
	double price;
	bool offered;
	int64_t closed_until_us; /**< backs off until then */
	int64_t backoff_us;	 /**< of the next refusal; 0: not refused */
	int64_t servers;	 /**< that stood there at the last plan */
};

struct target_zone {
	char name[RULE_NAME_SIZE];
	int64_t max[TARGET_KINDS]; /**< of both kinds, of cheap ones */
	struct target_offer offers[TARGET_KINDS];
};

/** Numbers by zone and kind. */
struct target_counts {
	int64_t at[TARGET_ZONES][TARGET_KINDS];
};

/** The highest of each part of the last `shrink_after_us`. */
#define TARGET_PEAKS 10
struct target_peak {
	double parts[TARGET_PEAKS];
	int64_t step; /**< number of the newest part */
};

struct target_entry {
	struct list node;
	struct target_pool pool;
	struct target_peak tier0_peak;
	struct target_peak firm_peak;
	struct target_peak all_peak;
	double tier0; /**< slots, as planned for */
	double firm;  /**< that may not run on cheap servers */
	double all;
	double last_all;  /**< noted last */
	double slope;	  /**< slots a microsecond, smoothed */
	int64_t noted_us; /**< 0 never */
	struct target_counts have;
	struct target_counts want;
	bool starting; /**< a start is ordered and not known to be done */
	int64_t floor; /**< steady ones in each zone for tier 0 */
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

/** Index of a zone, new if there is room, else -1. */
int target_zone_at(struct target *target, const char *name);

/** Whether that kind can be ordered there now. */
bool target_offer_open(const struct target *target, int zone,
		       enum target_kind kind, int64_t now_us);

/** Work out entry->want from demand, floor and offers. */
void target_work_out(struct target *target, struct target_entry *entry,
		     int64_t now_us);

/** Cut wants down to the teams' budgets. */
void target_keep_budgets(struct target *target);

/** Sum of one kind. */
int64_t target_sum(const struct target *target,
		   const struct target_counts *counts, enum target_kind kind);

#endif
