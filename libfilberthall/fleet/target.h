#ifndef FILBERTHALL_FLEET_TARGET_H
#define FILBERTHALL_FLEET_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agree/order_book.h"
#include "core/rule.h"
#include "fleet/backend.h"

/**
 * How many backend servers there should be of each model or service, of
 * which kind, in which availability zone.
 *
 * Load patterns answered:
 * - Demand rises through the morning, and a server takes minutes to start:
 *   the plan is for the demand at the end of a start-up, by its slope.
 * - Demand wavers: without hysteresis each dip stops servers that the next
 *   minute orders again, and each start is paid for. Servers go only when
 *   fewer would have sufficed for all of `shrink_after_us`.
 * - A zone is lost: tier 0 must fit into what is left, so each zone holds a
 *   floor of steady servers, ceil(tier 0 / (zones - 1)). The cheap kind
 *   doesn't count, as its zone may be reclaimed on the same day.
 * - Cheap servers carry only what may be reclaimed. Where they can't be had
 *   the offer backs off, doubling from 30 s to 15 min, and other zones and
 *   then steady servers take their place.
 * - A team spends more than its budget: cheap ones of its pools are cut
 *   first, then steady ones above the floor; the floor stays, and
 *   target_over_budget() says so.
 */
#define TARGET_ZONES 32
#define TARGET_BACKOFF_US INT64_C(30000000)
#define TARGET_BACKOFF_MAX_US INT64_C(900000000)

struct target_policy {
	double utilisation; /**< part of a server's slots to plan for */
	double spare;	    /**< capacity beyond the demand */
	int64_t start_us;   /**< start-up time of a server */
	int64_t shrink_after_us;
	bool survive_zone;
};

/** Servers of one model or one plain service. */
struct target_pool {
	char name[RULE_NAME_SIZE];
	bool is_service;
	char team[RULE_NAME_SIZE]; /**< whose budget pays; may be empty */
	int64_t min;
	int64_t max;
	double cheap_share; /**< of reclaimable work's servers */
	int64_t slots;	    /**< of one server, until one announces itself */
};

/** One step of the plan. */
struct target_step {
	bool start;	  /**< else stop */
	const char *pool; /**< model or service */
	bool is_service;
	const char *zone;
	bool cheap;
	const char *address; /**< to be stopped */
};

struct target;

struct target *target_new(void);
void target_free(struct target *target);

void target_set_policy(struct target *target,
		       const struct target_policy *policy);

/** Add or change a pool. */
void target_set_pool(struct target *target, const struct target_pool *pool);

/** What the platform offers. `price` is an hour's. */
void target_set_offer(struct target *target, const char *zone, bool cheap,
		      double price, bool available);

/** Bounds of a zone: servers at most, cheap ones at most. */
void target_set_zone(struct target *target, const char *zone, int64_t max,
		     int64_t cheap_max);

/** What a team may spend an hour; 0 is no limit. */
void target_set_budget(struct target *target, const char *team,
		       double per_hour);

/**
 * Demand of a pool now: slots that its requests take or wait for, by tier.
 * `reclaimable` is the part of it, over all tiers, that may run on cheap
 * servers. Stays until it is noted anew.
 */
void target_note_demand(struct target *target, const char *pool,
			const double by_tier[RULE_TIERS], double reclaimable,
			int64_t now_us);

/** The platform couldn't start that kind there. */
void target_unavailable(struct target *target, const char *zone, bool cheap,
			int64_t now_us);

/** The platform reclaims cheap servers in a zone: buy elsewhere. */
void target_reclaimed(struct target *target, const char *zone, int64_t now_us);

/**
 * Compare what there is (usable servers, and starts ordered but not there
 * yet) with what there should be, and call `visit` for each step. At most
 * one stop a pool and call, and none while a start of the pool is open: its
 * server may have announced itself before the order is known to be done, and
 * would be counted twice.
 */
void target_plan(struct target *target, const struct fleet *fleet,
		 const struct order_book *book, int64_t now_us,
		 void (*visit)(void *data, const struct target_step *step),
		 void *data);

/** Servers wanted of a pool by the last plan; -1 for an unknown pool. */
int64_t target_wanted(const struct target *target, const char *pool,
		      bool cheap);

/** Whether a team's floor alone is beyond its budget. */
bool target_over_budget(const struct target *target, const char *team);

/** The team that pays for a pool, "" for none. */
const char *target_team(const struct target *target, const char *pool);

/** Price an hour of a kind in a zone, 0 if not offered. */
double target_price(const struct target *target, const char *zone, bool cheap);

#endif
