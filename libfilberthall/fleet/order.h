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
 * Orders to the platform: start and stop of backend servers, each of which
 * costs money.
 *
 * Failures answered:
 * - The one in charge is replaced after it sent an order: an order is placed
 *   in the log before it is sent, under an id that its successor sends again.
 *   The same id does nothing twice, at a platform that is asked twice.
 * - A successor orders anew what its predecessor had ordered: it first marks
 *   the book with its fencing number, so that no order of a former holder is
 *   taken any more, then reads back the platform's list, and settles by it
 *   what it finds open.
 * - Two daemons believe that they are in charge, and the platform ignores
 *   fencing numbers: a call is made only if its time-out ends within the
 *   lease (agree/lease.h), and the next holder waits the lease out.
 * - An answer is lost: the order goes out again, unchanged, after
 *   ORDER_RETRY_US, doubling up to ORDER_RETRY_MAX_US.
 * - A start is accepted and no server ever announces itself: after
 *   ORDER_START_LIMIT_US the order is settled as failed, so that the plan no
 *   longer counts on it.
 */
#define ORDER_TIMEOUT_MS 1000
#define ORDER_RETRY_US INT64_C(2000000)
#define ORDER_RETRY_MAX_US INT64_C(60000000)
#define ORDER_START_LIMIT_US INT64_C(900000000)

/** What the module wants in the log; the caller proposes the entries. */
struct order_hooks {
	/** entry_order(): place an order, an object with "order_id". */
	void (*place)(void *data, const json_t *order);
	/** entry_order_settled(). */
	void (*settle)(void *data, const char *order_id, const char *state,
		       const char *address);
	void *data;
};

/** The holder's situation, at each call. */
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

/** Charge was taken or lost: forget what was sent, read back anew. */
void orders_reset(struct orders *orders);

/**
 * Whether the book was marked and the platform's list read back since charge
 * was taken.
 */
bool orders_ready(const struct orders *orders);

/**
 * Place an order for a step of the plan. Only when orders_ready(). A stop is
 * not placed if one for that address is open.
 *
 * Returns RESULT_OK; RESULT_LEASE_LOST (not ready, or no lease); or
 * RESULT_CONFLICT while orders of an earlier call are on their way into the
 * log.
 */
enum result orders_place(struct orders *orders,
			 const struct order_situation *situation,
			 const struct target_step *step);

/** Ask for the list, send what is placed, settle what is done. */
void orders_tick(struct orders *orders, const struct order_situation *situation,
		 struct effects *effects);

/**
 * The platform's answer. Tells `target` of what couldn't be had (NULL is
 * allowed).
 */
void orders_answer(struct orders *orders,
		   const struct order_situation *situation,
		   const struct event_platform *platform,
		   struct target *target);

#endif
