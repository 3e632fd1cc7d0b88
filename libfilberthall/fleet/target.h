#ifndef FILBERTHALL_FLEET_TARGET_H
#define FILBERTHALL_FLEET_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agree/order_book.h"
#include "core/rule.h"
#include "fleet/backend.h"

/**
 * Target number of backend servers of each model or service, by kind and
 * availability zone.
 *
 * Load patterns handled:
 * - Demand rises through the morning, and a server takes minutes to start:
 *   the plan extrapolates the demand to the end of a start-up.
 * - Demand fluctuates: without hysteresis each dip would stop servers that are
 *   ordered again a minute later, and each start costs money. Servers are
 *   stopped only if fewer would have sufficed for all of `shrink_after_us`.
 * - A zone is lost: tier 0 must fit into the remaining ones, so each zone has
 *   a floor of steady servers, ceil(tier 0 / (zones - 1)). Cheap servers don't
 *   count, as their zone may be reclaimed on the same day.
 * - Cheap servers get only requests that may be reclaimed. Where the platform
 *   has none, they aren't ordered for a backoff that doubles from 30 s to
 *   15 min; other zones and then steady servers replace them.
 * - A team spends more than its budget: cheap servers of its pools are reduced
 *   first, then steady ones above the floor. The floor is kept, and
 *   target_over_budget() reports it.
 */
#define TARGET_ZONES 32
#define TARGET_BACKOFF_US INT64_C(30000000)
#define TARGET_BACKOFF_MAX_US INT64_C(900000000)

struct target_policy {
	double utilisation; /**< fraction of a server's slots to plan with */
	double spare; /**< capacity beyond the demand, as a fraction of it */
	int64_t start_us; /**< start-up time of a server */
	int64_t shrink_after_us;
	bool survive_zone;
};

/** Servers of one model or one plain service. */
struct target_pool {
	char name[RULE_NAME_SIZE];
	bool is_service;
	char team[RULE_NAME_SIZE]; /**< that pays for it; may be empty */
	int64_t min;
	int64_t max;
	double cheap_share; /**< cheap fraction for reclaimable requests */
	int64_t slots;	    /**< of one server, until one announces itself */
};

/** One step of the plan. */
struct target_step {
	bool start;	  /**< false for a stop */
	const char *pool; /**< model or service */
	bool is_service;
	const char *zone;
	bool cheap;
	const char *address; /**< of the server to stop */
};

struct target;

struct target *target_new(void);
void target_free(struct target *target);

void target_set_policy(struct target *target,
		       const struct target_policy *policy);

/** Add or change a pool. */
void target_set_pool(struct target *target, const struct target_pool *pool);

/** Set what the platform offers; `price` is for an hour. */
void target_set_offer(struct target *target, const char *zone, bool cheap,
		      double price, bool available);

/** Set the maximum number of servers, and of cheap ones, in a zone. */
void target_set_zone(struct target *target, const char *zone, int64_t max,
		     int64_t cheap_max);

/** Set what a team may spend per hour; 0 is no limit. */
void target_set_budget(struct target *target, const char *team,
		       double per_hour);

/**
 * Record the current demand of a pool: slots that its requests take or wait
 * for, by tier. `reclaimable` is the share of it, over all tiers, that may run
 * on cheap servers. Valid until the next call.
 */
void target_note_demand(struct target *target, const char *pool,
			const double by_tier[RULE_TIERS], double reclaimable,
			int64_t now_us);

/** The platform couldn't start a server of that kind in the zone. */
void target_unavailable(struct target *target, const char *zone, bool cheap,
			int64_t now_us);

/** The platform reclaims the cheap servers in a zone: order elsewhere. */
void target_reclaimed(struct target *target, const char *zone, int64_t now_us);

/**
 * Compare the servers that exist (usable ones, and starts that are ordered but
 * not done) with the target, and call `visit` for each step. There is at most
 * one stop for each pool and call, and none while a start of the pool is open:
 * its server may have announced itself before the order is known to be done,
 * and would be counted twice.
 */
void target_plan(struct target *target, const struct fleet *fleet,
		 const struct order_book *book, int64_t now_us,
		 void (*visit)(void *data, const struct target_step *step),
		 void *data);

/** Target number of a pool's servers in the last plan; -1 if unknown. */
int64_t target_wanted(const struct target *target, const char *pool,
		      bool cheap);

/** Whether the floor of a team's pools alone exceeds its budget. */
bool target_over_budget(const struct target *target, const char *team);

/** The team that pays for a pool, "" for none. */
const char *target_team(const struct target *target, const char *pool);

/** Price per hour of a kind of server in a zone, 0 if not offered. */
double target_price(const struct target *target, const char *zone, bool cheap);

#endif
