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
 * Load pattern handled: after the loss of a zone many engines have to load
 * weights at once. The weight store is rate-limited, so all loads would be
 * slow, and the model that tier 0 needs would be ready no sooner than the last
 * one. So only `limit` loads run at a time, by urgency and then by age.
 *
 * Failures handled: an answer is lost, or the lease holder is replaced. An
 * order's id is made of its content and its cause (`reason`, such as the log
 * index of the setting that caused it), so a new lease holder generates the
 * same id, and the engine carries it out only once. Some engines ignore the
 * fencing number, so no order is sent whose timeout ends after the lease.
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
	int urgency;	  /**< tier that needs it, 0 is the most urgent */
	int64_t reason;
};

struct weights;

struct weights *weights_new(void);
void weights_free(struct weights *weights);

/** The lease was acquired or lost: drop all orders; they are added again. */
void weights_reset(struct weights *weights);

/**
 * Add an order. For one that was added before only the urgency may increase.
 */
void weights_add(struct weights *weights, const struct weight_order *order,
		 int64_t now_us);

/** Drop the orders to a server that is gone. */
void weights_forget(struct weights *weights, const char *address);

/**
 * Send the orders that are due: at most `limit` loads at once (verbs that load
 * nothing aren't counted), and none whose timeout ends after `until_us`.
 */
void weights_tick(struct weights *weights, int limit, int64_t fence,
		  int64_t until_us, int64_t now_us, struct effects *effects);

/** Handle an engine's answer; false if it is for no order of this module. */
bool weights_answer(struct weights *weights,
		    const struct event_platform *answer, int64_t now_us);

/** Number of orders not yet sent, and of orders running. */
int weights_waiting(const struct weights *weights);
int weights_running(const struct weights *weights);

#endif
