#ifndef FILBERTHALL_FLEET_RECLAIM_H
#define FILBERTHALL_FLEET_RECLAIM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * A zone's cheap backend servers are reclaimed on a few seconds' notice.
 *
 * Load pattern: without this module requests are sent there until the last
 * moment, and all streams break at once, so that their retries fall upon the
 * rest of the fleet in one burst, the lowest tiers' with the highest's.
 *
 * From the notice on nothing new goes to the zone's cheap servers. Streams go
 * on as long as they may end by themselves; RECLAIM_MOVE_US before the end
 * servers are given up one after another, so that the work that moves doesn't
 * arrive in one burst. The emptiest first: it moves least, and the fullest
 * get longest to end by themselves. A server that appears in the zone during
 * the notice is given up too, and the zone's offer of cheap servers is closed
 * (target_reclaimed()).
 */
#define RECLAIM_MOVE_US INT64_C(2000000)

struct reclaim_hooks {
	/** Nothing new for this server (or again some). */
	void (*mark)(void *data, const char *address, bool drained);
	/** Move its work elsewhere now: router_backend_lost(). */
	void (*move)(void *data, const char *address);
	void *data;
};

struct reclaims;

struct reclaims *reclaims_new(const struct reclaim_hooks *hooks);
void reclaims_free(struct reclaims *reclaims);

/** The platform's notice: cheap servers of `zone` end in `in_us`. */
void reclaims_notice(struct reclaims *reclaims, const struct fleet *fleet,
		     const char *zone, int64_t in_us, int64_t now_us);

/** Mark newcomers, move what is due, forget what is over. */
void reclaims_tick(struct reclaims *reclaims, const struct fleet *fleet,
		   int64_t now_us);

/** Whether a zone is being reclaimed now. */
bool reclaims_zone(const struct reclaims *reclaims, const char *zone,
		   int64_t now_us);

struct reclaim_counts {
	int64_t notices;
	int64_t servers; /**< that were given up */
	int64_t running; /**< requests on them at the notice */
	int64_t moved;	 /**< requests still there when given up */
};

/** Since the start; running less moved ended by themselves. */
struct reclaim_counts reclaims_counts(const struct reclaims *reclaims);

#endif
