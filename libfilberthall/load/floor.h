#ifndef FILBERTHALL_LOAD_FLOOR_H
#define FILBERTHALL_LOAD_FLOOR_H

#include <stdbool.h>

#include "load/sched.h"

/**
 * Minimum shares of classes: each class with waiting requests gets at least its
 * fraction of the work that a pool dispatches, whatever its tier.
 *
 * Load pattern: a high tier demands more than the capacity for hours. With
 * strict tiers alone the low tiers would be starved, although their work, such
 * as grant summaries, is needed too.
 *
 * While a class has waiting requests, it earns its fraction of each dispatch as
 * credit. As soon as the credit covers the cost of its next request, that
 * request is served out of turn. A class earns no credit while nothing waits,
 * and requests served in turn use credit up, so a class that gets its fraction
 * anyway is never preferred. A request of a higher tier may wait for such a
 * dispatch, but is never shed because of one.
 */
struct floor_class {
	double min_share;
	double credit; /**< tokens of work */
};

struct floor {
	struct floor_class classes[SCHED_CLASSES];
	int highest; /**< ids at or above this have no minimum share */
};

void floor_init(struct floor *floor);
void floor_set(struct floor *floor, int class_id, double min_share);

/** Whether the credit of a class covers a request of that cost. */
bool floor_due(const struct floor *floor, int class_id, double cost);

/**
 * Records a dispatch of that cost. `waits` is indexed by class id and is true
 * for classes with waiting requests.
 */
void floor_served(struct floor *floor, int class_id, double cost,
		  const bool *waits);

#endif
