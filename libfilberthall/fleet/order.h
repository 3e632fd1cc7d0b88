#ifndef FILBERTHALL_FLEET_ORDER_H
#define FILBERTHALL_FLEET_ORDER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "agree/order_book.h"
#include "base/bytes.h"
#include "core/effect.h"
#include "fleet/backend.h"
#include "fleet/target.h"

/**
 * Orders to the platform: start and stop backend servers. Each start costs
 * money.
 *
 * Failures handled:
 * - The lease holder is replaced after it has sent an order: each order is
 *   committed to the log before it is sent, and the new holder sends it again
 *   under the same id. The platform carries out an id only once.
 * - A new lease holder would repeat orders of the previous one: it first
 *   commits an entry with its own fencing number, after which the order book
 *   rejects orders of earlier holders. Then it fetches the platform's list of
 *   orders and settles the open ones by it.
 * - Two daemons believe that they hold the lease, and the platform ignores
 *   fencing numbers: a call is made only if its timeout ends within the lease
 *   (agree/lease.h), and the next holder waits until that lease has expired.
 * - An answer is lost: the order is sent again, unchanged, after
 *   ORDER_RETRY_US, doubling up to ORDER_RETRY_MAX_US.
 * - A start is accepted, but the server never announces itself: after
 *   ORDER_START_LIMIT_US the order is settled as failed, so that the plan no
 *   longer counts the server.
 */
#define ORDER_TIMEOUT_MS 1000
#define ORDER_RETRY_US INT64_C(2000000)
#define ORDER_RETRY_MAX_US INT64_C(60000000)
#define ORDER_START_LIMIT_US INT64_C(900000000)

/** Log entries to propose, by the caller. */
struct order_hooks {
	/** Propose entry_order() with an order, an object with "order_id". */
	void (*place)(void *data, const json_t *order);
	/** Propose entry_order_settled(). */
	void (*settle)(void *data, const char *order_id, const char *state,
		       const char *address);
	void *data;
};

/** The lease holder's state, passed to each call. */
struct order_situation {
	const struct order_book *book;
	const struct fleet *fleet;
	int64_t fence;
	int64_t until_us; /**< lease_order_deadline() */
	int64_t wall_us;  /**< as in placed_order.placed_us */
	int64_t now_us;
};

struct orders;

struct orders *orders_new(const struct order_hooks *hooks);
void orders_free(struct orders *orders);

/** The lease was acquired or lost: fence and reconcile again. */
void orders_reset(struct orders *orders);

/**
 * Whether the fencing entry was committed and the platform's list received
 * since the lease was acquired.
 */
bool orders_ready(const struct orders *orders);

/**
 * Place an order for a step of the plan. A stop is skipped if one for that
 * address is open already.
 *
 * Returns RESULT_OK; RESULT_LEASE_LOST if not orders_ready() or if the lease
 * ends too soon; or RESULT_CONFLICT while orders of an earlier call are
 * proposed but not committed.
 */
enum result orders_place(struct orders *orders,
			 const struct order_situation *situation,
			 const struct target_step *step);

/** Request the platform's list, send placed orders, settle completed ones. */
void orders_tick(struct orders *orders, const struct order_situation *situation,
		 struct effects *effects);

/**
 * Handle the platform's answer. Calls target_unavailable() on `target` (NULL is
 * allowed) if the platform has no such server.
 */
void orders_answer(struct orders *orders,
		   const struct order_situation *situation,
		   const struct event_platform *platform,
		   struct target *target);

#endif
