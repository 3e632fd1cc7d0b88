#ifndef FAKES_ORDER_BOOK_H
#define FAKES_ORDER_BOOK_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"

/**
 * The orders that a stand-in took: an order id that came before gets the
 * answer it got then, and an order with an older fence than one seen is
 * refused, unless the stand-in ignores fences.
 */
struct order_book {
	struct list orders;
	int64_t fence; /**< highest seen */
	bool fences;   /**< older ones are refused */
};

struct order {
	struct list node;
	char *id;
	int64_t fence;
	int64_t at_us;
	int status;
	json_t *answer;
	json_t *arguments; /**< may be NULL */
};

void order_book_init(struct order_book *book, bool fences);

void order_book_clear(struct order_book *book);

/** The order taken under this id, or NULL. */
struct order *order_book_find(const struct order_book *book, const char *id);

/** Whether an order with this fence must be refused; else remembers it. */
bool order_book_is_old(struct order_book *book, int64_t fence);

/** Keep an order with its answer and arguments, which are taken over. */
struct order *order_book_keep(struct order_book *book, const char *id,
			      int64_t fence, int status, json_t *answer,
			      json_t *arguments);

#endif
