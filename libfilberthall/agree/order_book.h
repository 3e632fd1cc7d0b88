#ifndef FILBERTHALL_AGREE_ORDER_BOOK_H
#define FILBERTHALL_AGREE_ORDER_BOOK_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"

/**
 * The orders to the platform and to engines that are in the log. An order is
 * placed here before it is sent.
 *
 * Failure handled: the lease holder is replaced after it sent an order and
 * before anyone saw the outcome. The successor finds the order here, sends it
 * again under the same id (which has no effect if it had arrived) and gives no
 * second order instead.
 *
 * Limit: the last ORDER_BOOK_SETTLED settled orders are kept, so that a late
 * answer still finds its order; open orders are never dropped.
 */
#define ORDER_BOOK_SETTLED 512

struct order_book;

struct placed_order {
	const char *order_id;
	const json_t *order; /**< verb, fence and arguments */
	const char *state;   /**< "placed" until settled */
	const char *address; /**< of the backend server, "" if unknown */
	int64_t placed_us;   /**< proposer's wall clock */
	int64_t index;	     /**< log index */
	bool settled;
};

struct order_book *order_book_new(void);
void order_book_free(struct order_book *book);

/**
 * Place an order, an object with "order_id" and "fence". Returns RESULT_OK,
 * also if the same order is already placed; RESULT_CONFLICT if its id belongs
 * to another order; RESULT_LEASE_LOST if an order of a later lease holder is
 * already placed, since this entry was then delayed; RESULT_MESSAGE_MALFORMED
 * without an id.
 */
enum result order_book_place(struct order_book *book, const json_t *order,
			     int64_t time_us, int64_t index);

/**
 * Set the outcome of an order: "accepted" keeps it open (a server is starting),
 * any other state settles it. RESULT_NOT_FOUND if there is no such order.
 */
enum result order_book_settle(struct order_book *book, const char *order_id,
			      const char *state, const char *address);

/** The order with that id, borrowed until the book changes, or NULL. */
const struct placed_order *order_book_find(const struct order_book *book,
					   const char *order_id);

/** Call `visit` for each order, oldest first. */
void order_book_visit(const struct order_book *book,
		      void (*visit)(void *data,
				    const struct placed_order *order),
		      void *data);

json_t *order_book_save(const struct order_book *book);
enum result order_book_load(struct order_book *book, const json_t *saved);

#endif
