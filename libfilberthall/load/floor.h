#ifndef FILBERTHALL_LOAD_FLOOR_H
#define FILBERTHALL_LOAD_FLOOR_H

#include <stdbool.h>

#include "load/sched.h"

/**
 * Minimum shares of classes: of all work that a pool dispatches, each class
 * that waits is given its part, whatever its tier.
 *
 * Load pattern: a high tier asks for more than there is, for hours. With
 * strict tiers alone the low ones then get nothing at all; grant summaries
 * "matter more than they look".
 *
 * A class earns its part of each dispatch as credit while it waits, and is
 * served out of turn as soon as the credit pays for its next request. Credit
 * isn't earned while nothing waits and is spent by what is served in turn,
 * so a class that gets its part anyway is never put ahead. A higher tier may
 * wait for such a dispatch; it is never shed for one.
 */
struct floor_class {
	double min_share;
	double credit; /**< tokens of work */
};

struct floor {
	struct floor_class classes[SCHED_CLASSES];
	int highest; /**< ids at or above this have no share */
};

void floor_init(struct floor *floor);
void floor_set(struct floor *floor, int class_id, double min_share);

/** Whether a class has earned the right to be served out of turn. */
bool floor_due(const struct floor *floor, int class_id, double cost);

/**
 * Count a dispatch of that cost. `waits` says for each class id whether any
 * request of it waits.
 */
void floor_served(struct floor *floor, int class_id, double cost,
		  const bool *waits);

#endif
