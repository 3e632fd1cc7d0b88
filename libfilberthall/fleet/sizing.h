#ifndef FILBERTHALL_FLEET_SIZING_H
#define FILBERTHALL_FLEET_SIZING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Number of steady and cheap servers that a service needs in each zone.
 *
 * Load pattern handled: a pool that was sized by hand for the busiest hour.
 * Steady servers cost five to six times as much as cheap ones, but the platform
 * reclaims all cheap ones of a zone at once on seconds' notice, and may then
 * offer none there for a while. A fleet of steady servers alone costs a fifth
 * of its revenue.
 *
 * So each zone gets as many cheap servers as it may have. Idle ones cost little
 * and cache shared prompt prefixes, and they have room at once for a burst of
 * twice the load or for the work of a reclaimed zone, whereas a server that is
 * only ordered then serves four seconds later. Steady servers are used until
 * enough cheap ones serve, and again when too few are left. If zones have no
 * cheap servers on offer, steady ones are ordered at once up to half of the
 * pool, since a burst at that time would find too little capacity.
 *
 * Servers of an evacuated zone count for nothing. They are given up once the
 * other zones serve half of the pool, and kept as they are until then, as the
 * zone may be used again first.
 */

#define SIZING_ZONES 16

/**
 * Steady servers are kept or ordered while fewer cheap servers than this
 * fraction of the pool's maximum serve. A third carries the mean load.
 */
#define SIZING_MIN_CHEAP (1.0 / 3)

/**
 * Fraction of the pool's maximum that shall serve while some zone has no cheap
 * servers on offer.
 */
#define SIZING_MIN_WITHOUT_CHEAP 0.5

struct sizing_zone {
	int64_t steady;		/**< steady servers that serve now */
	int64_t cheap;		/**< cheap servers that serve now */
	bool cheap_unavailable; /**< the last order of a cheap one was refused */
	bool evacuated;		/**< its servers get no new requests */
	int64_t want_steady;	/**< out */
	int64_t want_cheap;	/**< out */
};

struct sizing {
	int64_t min_servers; /**< servers of both kinds, in each zone */
	int64_t max_servers;
	bool has_cheap;
	size_t n_zones;
	struct sizing_zone zones[SIZING_ZONES];
};

/** Set want_steady and want_cheap of each zone. */
void sizing_plan(struct sizing *sizing);

#endif
