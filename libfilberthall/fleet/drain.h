#ifndef FILBERTHALL_FLEET_DRAIN_H
#define FILBERTHALL_FLEET_DRAIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * Planned stops: drain first, streams end whole, then the order.
 *
 * Failures answered:
 * - A stop cuts streams: nothing is ordered before a load report that is
 *   newer than the drain, by DRAIN_SPREAD_US (the time by which every daemon
 *   has stopped sending there, also one that was cut off for a moment), says
 *   that nothing runs or waits on the server.
 * - A stop leaves a class without capacity: it is held while the servers that
 *   remain for the model or service have fewer slots than its work takes, and
 *   says so (drains_describe()). A held stop drains nothing.
 * - A stream never ends: at the deadline the setting decides, to wait on
 *   ("wait", said as overdue) or to order the stop anyway ("cut").
 */
#define DRAIN_SPREAD_US INT64_C(3000000)

/**
 * A server that still announces itself so long after its stop was asked for
 * wasn't stopped: no order could be given then, or it was lost.
 */
#define DRAIN_ASK_US INT64_C(30000000)

enum drain_state {
	DRAIN_HELD,	/**< would leave too little capacity */
	DRAIN_DRAINING, /**< no new work; streams go on */
	DRAIN_STOPPING	/**< the stop was asked for */
};

struct drain_policy {
	int64_t drain_us; /**< deadline from the drain's begin */
	bool cut;	  /**< at the deadline: stop, else wait */
};

struct drain_hooks {
	/** Tell all daemons: no new work for it (or again some). */
	void (*mark)(void *data, const char *address, bool drained);
	/** Nothing runs there any more (or the deadline cut it): stop it. */
	void (*stop)(void *data, const char *address);
	void *data;
};

struct drains;

struct drains *drains_new(const struct drain_hooks *hooks);
void drains_free(struct drains *drains);

/** Ask for a stop of a server. False if it is unknown. */
bool drains_begin(struct drains *drains, const struct fleet *fleet,
		  const char *address, int64_t now_us);

/** Take a stop back as long as it isn't ordered. */
bool drains_cancel(struct drains *drains, const char *address);

/** Look at all: begin what was held, stop what is empty. */
void drains_tick(struct drains *drains, const struct fleet *fleet,
		 const struct drain_policy *policy, int64_t now_us);

/** State of a server's stop; false if none was asked for. */
bool drains_state(const struct drains *drains, const char *address,
		  enum drain_state *state);

/** Array of {"address", "state", "reason", "overdue"}, new. */
json_t *drains_describe(const struct drains *drains, int64_t now_us);

#endif
