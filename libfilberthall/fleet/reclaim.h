#ifndef FILBERTHALL_FLEET_RECLAIM_H
#define FILBERTHALL_FLEET_RECLAIM_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * The platform reclaims all cheap backend servers of a zone on a few seconds'
 * notice.
 *
 * Load pattern handled: without this module requests are sent there until the
 * end, and then all streams break at once, so that the other servers get the
 * retries of all tiers in one burst.
 *
 * From the notice on no new requests are sent to the zone's cheap servers.
 * Running ones continue; in the last RECLAIM_MOVE_US the requests of one server
 * after another are moved, so that they don't arrive in one burst. The server
 * with the fewest requests is first, so that the others have more time to
 * finish theirs. Servers that appear in the zone during the notice are treated
 * in the same way, and no cheap servers are ordered in that zone for a while
 * (target_reclaimed()).
 */
#define RECLAIM_MOVE_US INT64_C(2000000)

struct reclaim_hooks {
	/** Stop or resume new requests to this server. */
	void (*set_drained)(void *data, const char *address, bool drained);
	/** Retry its requests on other servers: router_backend_lost(). */
	void (*move)(void *data, const char *address);
	void *data;
};

struct reclaims;

struct reclaims *reclaims_new(const struct reclaim_hooks *hooks);
void reclaims_free(struct reclaims *reclaims);

/** The platform's notice: `zone` loses its cheap servers in `in_us`. */
void reclaims_notice(struct reclaims *reclaims, const struct fleet *fleet,
		     const char *zone, int64_t in_us, int64_t now_us);

/** Drain new servers, move requests that are due, drop notices that ended. */
void reclaims_tick(struct reclaims *reclaims, const struct fleet *fleet,
		   int64_t now_us);

/** Whether a zone is being reclaimed now. */
bool reclaims_zone_active(const struct reclaims *reclaims, const char *zone,
			  int64_t now_us);

struct reclaim_counts {
	int64_t notices;
	int64_t servers; /**< that were drained */
	int64_t running; /**< requests on them at the notice */
	int64_t moved;	 /**< requests that were retried elsewhere */
};

/** Totals since the start; running - moved requests finished in time. */
struct reclaim_counts reclaims_counts(const struct reclaims *reclaims);

#endif
