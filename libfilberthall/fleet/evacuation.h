#ifndef FILBERTHALL_FLEET_EVACUATION_H
#define FILBERTHALL_FLEET_EVACUATION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "core/rule.h"

/**
 * The availability zones whose backend servers get no new requests because an
 * operator has evacuated them.
 *
 * Failures handled: an operator whose answer is lost sends the order again, to
 * another VM, and two operators may give opposite orders. A copy of an
 * evacuation that was delayed on its way would undo the withdrawal that was
 * acknowledged meanwhile. So each change of a zone gets a revision, an order
 * carries the revision that its VM knew when it came in, and it is refused if
 * its zone has changed since. The operator then sends it again.
 */

/** Zones that may be known here, evacuated or returned. */
#define EVACUATION_ZONES_MAX 64

struct evacuation {
	struct list node;
	char zone[RULE_NAME_SIZE];
	bool evacuated;
	int64_t revision; /**< at the zone's last change */
};

struct evacuations {
	struct list zones; /**< struct evacuation, in order of first use */
	size_t n_zones;
	int64_t revision; /**< incremented with each change */
};

/** An operator's order. */
struct evacuation_order {
	char zone[RULE_NAME_SIZE];
	bool evacuate;	  /**< false: the zone's servers are used again */
	int64_t revision; /**< known to the VM that the order came to */
};

enum evacuation_outcome {
	EVACUATION_UNCHANGED, /**< the zone is already as ordered */
	EVACUATION_CHANGED,
	EVACUATION_OVERTAKEN, /**< the zone has changed since the order came */
	EVACUATION_NO_ROOM    /**< EVACUATION_ZONES_MAX zones are known */
};

void evacuations_init(struct evacuations *evacuations);
void evacuations_clear(struct evacuations *evacuations);

/** Apply an order; the same orders give the same state on each VM. */
enum evacuation_outcome evacuations_apply(struct evacuations *evacuations,
					  const struct evacuation_order *order);

/** Whether the zone's servers get no new requests. */
bool evacuations_include(const struct evacuations *evacuations,
			 const char *zone);

/** Number of zones that are evacuated. */
size_t evacuations_count(const struct evacuations *evacuations);

/** Set a zone's state as another VM has it; false if there is no room. */
bool evacuations_set(struct evacuations *evacuations, const char *zone,
		     bool evacuated, int64_t revision);

#endif
