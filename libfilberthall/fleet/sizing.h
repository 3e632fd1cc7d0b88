#ifndef FILBERTHALL_FLEET_SIZING_H
#define FILBERTHALL_FLEET_SIZING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * How many servers of a service there shall be in each zone, of either kind.
 *
 * Load pattern: a pool that was sized by hand for the busiest hour. Steady
 * servers cost five to six times what cheap ones do, and cheap ones go a whole
 * zone at once on seconds' notice, at times with none to be had there for a
 * while. A fleet of steady ones costs a fifth of all that it earns.
 *
 * So: cheap ones, as many as a zone may have. Idle ones cost little and hold
 * shared prompt parts, and a burst of twice the load or a zone that is taken
 * away finds room at once, while a server ordered then serves four seconds
 * later. Steady ones serve until enough cheap ones do, and again when too few
 * are left. Places that have no cheap ones to give are made up with steady ones
 * at once, to half the pool: a burst just then finds it without room.
 */

#define SIZING_ZONES 16

/**
 * Steady ones stay, or come back, while fewer cheap ones than this part of
 * those wanted serve: a third carries the mean load.
 */
#define SIZING_ENOUGH (1.0 / 3)

/** So large a part of those wanted shall serve where a place has none to give. */
#define SIZING_LEAST 0.5

struct sizing_zone {
	int64_t steady; /**< servers that serve now */
	int64_t cheap;	/**< the same, of those that may be reclaimed */
	bool dry;	/**< no cheap one was to be had at the last asking */
	int64_t want_steady; /**< out */
	int64_t want_cheap;  /**< out */
};

struct sizing {
	int64_t least; /**< of both kinds, in each zone */
	int64_t most;
	bool has_cheap;
	size_t n_zones;
	struct sizing_zone zones[SIZING_ZONES];
};

/** Fill in what each zone shall have. */
void sizing_plan(struct sizing *sizing);

#endif
