#include "fakes/order_book.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fakes/loop.h"

void order_book_init(struct order_book *book, bool fences)
{
	list_init(&book->orders);
	book->fence = 0;
	book->fences = fences;
}

void order_book_clear(struct order_book *book)
{
	struct order *order;

	while ((order = list_first(&book->orders, struct order, node))) {
		list_remove(&order->node);
		json_decref(order->answer);
		json_decref(order->arguments);
		free(order->id);
		free(order);
	}
}

struct order *order_book_find(const struct order_book *book, const char *id)
{
	struct order *order;

	list_foreach(order, &book->orders, node)
		if (!strcmp(order->id, id))
			return order;
	return NULL;
}

bool order_book_is_old(struct order_book *book, int64_t fence)
{
	if (book->fences && fence < book->fence)
		return true;
	if (fence > book->fence)
		book->fence = fence;
	return false;
}

struct order *order_book_keep(struct order_book *book, const char *id,
			      int64_t fence, int status, json_t *answer,
			      json_t *arguments)
{
	struct order *order = xcalloc(1, sizeof(*order));

	order->id = xstrdup(id);
	order->fence = fence;
	order->at_us = loop_now_us();
	order->status = status;
	order->answer = answer;
	order->arguments = arguments;
	list_append(&book->orders, &order->node);
	return order;
}
