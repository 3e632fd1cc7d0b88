#ifndef FILBERTHALL_AGREE_ORDER_BOOK_H
#define FILBERTHALL_AGREE_ORDER_BOOK_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"

/**
 * Orders to the platform and to engines as the log has them. An order is
 * placed here before it is sent.
 *
 * Failure answered: the one in charge is replaced after it sent an order and
 * before anyone knew. The successor finds the order here, sends it again
 * under the same id (which does nothing if it had come through) and orders
 * no second one in its place.
 *
 * Bound: settled orders are kept for ORDER_BOOK_SETTLED further ones, so a
 * late answer still finds its order; open ones are never dropped.
 */
#define ORDER_BOOK_SETTLED 512

struct order_book;

struct placed_order {
	const char *order_id;
	const json_t *order; /**< verb, fence and arguments */
	const char *state;   /**< "placed" until settled */
	const char *address; /**< of the backend server, "" unknown */
	int64_t placed_us;   /**< proposer's wall clock */
	int64_t index;	     /**< log index */
	bool settled;
};

struct order_book *order_book_new(void);
void order_book_free(struct order_book *book);

/**
 * Place an order: an object with "order_id" and "fence". RESULT_OK also if
 * the same order is there; RESULT_CONFLICT if its id has another order;
 * RESULT_LEASE_LOST if a later holder's order was placed before: an entry of
 * the former one was late on its way into the log; RESULT_MESSAGE_MALFORMED
 * without an id.
 */
enum result order_book_place(struct order_book *book, const json_t *order,
			     int64_t time_us, int64_t index);

/**
 * Say what became of it: "accepted" keeps it open (a server is starting),
 * any other state settles it. RESULT_NOT_FOUND without such an order.
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
