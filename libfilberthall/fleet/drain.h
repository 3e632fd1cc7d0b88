#ifndef FILBERTHALL_FLEET_DRAIN_H
#define FILBERTHALL_FLEET_DRAIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * Planned stops of backend servers: a server is drained, and stopped once
 * its running requests have ended.
 *
 * Failures handled:
 * - A stop would interrupt streams: it is ordered only after a load report
 *   shows that nothing runs or waits on the server. The report must be newer
 *   than the start of the drain by DRAIN_PROPAGATION_US, by when every daemon
 *   has stopped sending requests there, also one that was cut off briefly.
 * - A stop would leave a class without capacity: it is held while the other
 *   servers of the model or service have fewer slots than its requests need,
 *   and drains_describe() gives the reason. A held stop doesn't drain.
 * - A stream never ends: at the deadline the setting decides whether to keep
 *   waiting ("wait", reported as overdue) or to stop the server anyway ("cut").
 */
#define DRAIN_PROPAGATION_US INT64_C(3000000)

/**
 * A server that still announces itself this long after its stop was requested
 * wasn't stopped: the order couldn't be placed, or it was lost. The stop is
 * requested again.
 */
#define DRAIN_STOP_RETRY_US INT64_C(30000000)

enum drain_state {
	DRAIN_HELD,	/**< would leave too little capacity */
	DRAIN_DRAINING, /**< gets no new requests; running ones continue */
	DRAIN_STOPPING	/**< the stop was requested */
};

struct drain_policy {
	int64_t drain_us; /**< from the start of the drain to its deadline */
	bool cut;	  /**< at the deadline: true stops, false waits */
};

struct drain_hooks {
	/** Stop or resume new requests to the server, on all daemons. */
	void (*set_drained)(void *data, const char *address, bool drained);
	/** Order the stop: the server is idle, or its deadline has passed. */
	void (*stop)(void *data, const char *address);
	void *data;
};

struct drains;

struct drains *drains_new(const struct drain_hooks *hooks);
void drains_free(struct drains *drains);

/** Request the stop of a server. Returns false if it is unknown. */
bool drains_begin(struct drains *drains, const struct fleet *fleet,
		  const char *address, int64_t now_us);

/** Cancel a stop; false if there is none or it was already ordered. */
bool drains_cancel(struct drains *drains, const char *address);

/** Start held drains that are now possible, and stop drained servers. */
void drains_tick(struct drains *drains, const struct fleet *fleet,
		 const struct drain_policy *policy, int64_t now_us);

/** State of a server's stop; returns false if none was requested. */
bool drains_state(const struct drains *drains, const char *address,
		  enum drain_state *state);

/** New array of {"address", "state", "reason", "overdue"}. */
json_t *drains_describe(const struct drains *drains, int64_t now_us);

#endif
