#ifndef FILBERTHALL_FLEET_WEIGHT_H
#define FILBERTHALL_FLEET_WEIGHT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/effect.h"
#include "core/event.h"

/**
 * Orders to engines: load a model or an adapter, change version or role.
 *
 * Load pattern: after a zone is lost many engines are told to load weights at
 * once. The weight store is rate-limited, so all of them crawl, and the model
 * that tier 0 waits for comes no sooner than the last. Here only `limit`
 * loads run at a time; the most urgent goes next, among equals the oldest.
 *
 * Failures answered: an answer is lost, or the one in charge is replaced. An
 * order's id is made of what it wants and why (`reason`, such as the log
 * index of the setting that caused it), so a successor that wants the same
 * makes the same id and the engine does nothing twice. Some engines ignore
 * the fencing number: no order is sent whose time-out would pass the lease.
 */
#define WEIGHT_TIMEOUT_MS 1000
#define WEIGHT_POLL_US INT64_C(2000000)
#define WEIGHT_LOAD_LIMIT_US INT64_C(600000000)

enum weight_verb {
	WEIGHT_LOAD_MODEL,
	WEIGHT_LOAD_ADAPTER,
	WEIGHT_UNLOAD_ADAPTER,
	WEIGHT_SET_VERSION,
	WEIGHT_SET_ROLE
};

struct weight_order {
	const char *address;
	enum weight_verb verb;
	const char *name; /**< of the model, adapter, version or role */
	int urgency;	  /**< 0 first: the tier that waits for it */
	int64_t reason;
};

struct weights;

struct weights *weights_new(void);
void weights_free(struct weights *weights);

/** Charge was lost or taken anew: forget all; wishes come again. */
void weights_reset(struct weights *weights);

/**
 * Wish for an order. A wish that is there already only becomes more urgent.
 */
void weights_add(struct weights *weights, const struct weight_order *order,
		 int64_t now_us);

/** Drop the wishes for a server that is gone. */
void weights_forget(struct weights *weights, const char *address);

/**
 * Send what is due: `limit` loads at once at most (verbs that load nothing
 * aren't counted), no call past `until_us`.
 */
void weights_tick(struct weights *weights, int limit, int64_t fence,
		  int64_t until_us, int64_t now_us, struct effects *effects);

/** An engine's answer; false if it is for no order of this module. */
bool weights_answer(struct weights *weights,
		    const struct event_platform *answer, int64_t now_us);

/** Orders waiting and running. */
int weights_waiting(const struct weights *weights);
int weights_running(const struct weights *weights);

#endif
