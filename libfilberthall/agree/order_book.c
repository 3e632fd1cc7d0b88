#include "agree/order_book.h"

#include <stdlib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/alloc.h"
#include "base/map.h"

struct order_entry {
	struct map_node node;
	struct list settled_node; /**< in order_book.settled, oldest first */
	struct placed_order placed;
	json_t *order;
	char *state;
	char *address;
};

struct order_book {
	struct map by_id;
	struct list settled;
	size_t n_settled;
	int64_t fence; /**< the highest fencing number of any order */
};

struct order_book *order_book_new(void)
{
	struct order_book *book = xcalloc(1, sizeof(*book));

	map_init(&book->by_id);
	list_init(&book->settled);
	return book;
}

static void order_entry_remove(struct order_book *book,
			       struct order_entry *entry)
{
	if (entry->placed.settled)
		book->n_settled--;
	list_remove(&entry->settled_node);
	map_remove(&book->by_id, &entry->node);
	json_decref(entry->order);
	free(entry->state);
	free(entry->address);
	free(entry);
}

void order_book_free(struct order_book *book)
{
	struct order_entry *entry;
	struct order_entry *next;

	if (!book)
		return;
	map_foreach(entry, next, &book->by_id, node)
		order_entry_remove(book, entry);
	map_clear(&book->by_id);
	free(book);
}

static bool order_entry_match(const struct map_node *node, const void *id)
{
	return !strcmp(
		container_of(node, struct order_entry, node)->placed.order_id,
		id);
}

static struct order_entry *order_book_entry(const struct order_book *book,
					    const char *order_id)
{
	struct map_node *node = map_find(&book->by_id, map_hash_text(order_id),
					 order_entry_match, order_id);

	return node ? container_of(node, struct order_entry, node) : NULL;
}

const struct placed_order *order_book_find(const struct order_book *book,
					   const char *order_id)
{
	const struct order_entry *entry = order_book_entry(book, order_id);

	return entry ? &entry->placed : NULL;
}

static void order_entry_set_state(struct order_entry *entry, const char *state,
				  const char *address)
{
	char *new_state = xstrdup(state);
	char *new_address = xstrdup(address);

	free(entry->state);
	free(entry->address);
	entry->state = new_state;
	entry->address = new_address;
	entry->placed.state = new_state;
	entry->placed.address = new_address;
}

/*
 * Compare two orders. The fencing number only says who sends it: the same order
 * with another number is equal.
 */
static bool order_is_same(const json_t *a, const json_t *b)
{
	json_t *left = json_copy((json_t *)a);
	json_t *right = json_copy((json_t *)b);
	bool same;

	json_object_del(left, "fence");
	json_object_del(right, "fence");
	same = json_equal(left, right);
	json_decref(left);
	json_decref(right);
	return same;
}

enum result order_book_place(struct order_book *book, const json_t *order,
			     int64_t time_us, int64_t index)
{
	const char *order_id = codec_text(order, "order_id", "");
	int64_t fence = codec_int(order, "fence", 0);
	struct order_entry *entry;

	if (!*order_id)
		return RESULT_MESSAGE_MALFORMED;
	entry = order_book_entry(book, order_id);
	if (entry)
		return order_is_same(entry->order, order) ? RESULT_OK
							  : RESULT_CONFLICT;
	if (fence < book->fence)
		return RESULT_LEASE_LOST;
	book->fence = fence;
	entry = xcalloc(1, sizeof(*entry));
	entry->order = json_deep_copy(order);
	entry->placed.order = entry->order;
	entry->placed.order_id = codec_text(entry->order, "order_id", "");
	entry->placed.placed_us = time_us;
	entry->placed.index = index;
	list_init(&entry->settled_node);
	order_entry_set_state(entry, "placed", "");
	map_insert(&book->by_id, &entry->node, map_hash_text(order_id));
	return RESULT_OK;
}

static void order_book_evict_settled(struct order_book *book)
{
	struct order_entry *entry;
	struct order_entry *next;

	list_foreach_safe(entry, next, &book->settled, settled_node) {
		if (book->n_settled <= ORDER_BOOK_SETTLED)
			break;
		order_entry_remove(book, entry);
	}
}

enum result order_book_settle(struct order_book *book, const char *order_id,
			      const char *state, const char *address)
{
	struct order_entry *entry = order_book_entry(book, order_id);
	bool settles =
		strcmp(state, "placed") != 0 && strcmp(state, "accepted") != 0;

	if (!entry)
		return RESULT_NOT_FOUND;
	if (entry->placed.settled)
		return RESULT_OK;
	order_entry_set_state(entry, state,
			      *address ? address : entry->address);
	if (settles) {
		entry->placed.settled = true;
		list_append(&book->settled, &entry->settled_node);
		book->n_settled++;
		order_book_evict_settled(book);
	}
	return RESULT_OK;
}

void order_book_visit(const struct order_book *book,
		      void (*visit)(void *data,
				    const struct placed_order *order),
		      void *data)
{
	const struct order_entry *entry;
	const struct order_entry *next;

	map_foreach(entry, next, &book->by_id, node)
		visit(data, &entry->placed);
}

static json_t *order_entry_save(const struct order_entry *entry)
{
	return json_pack("[O s s I I]", entry->order, entry->state,
			 entry->address, (json_int_t)entry->placed.placed_us,
			 (json_int_t)entry->placed.index);
}

/*
 * All orders, and the ids of the settled ones in the order in which they will
 * be dropped.
 */
json_t *order_book_save(const struct order_book *book)
{
	const struct order_entry *entry;
	const struct order_entry *next;
	json_t *orders = json_array();
	json_t *settled = json_array();

	map_foreach(entry, next, &book->by_id, node)
		json_array_append_new(orders, order_entry_save(entry));
	list_foreach(entry, &book->settled, settled_node)
		json_array_append_new(settled,
				      json_string(entry->placed.order_id));
	return json_pack("{sI so so}", "fence", (json_int_t)book->fence,
			 "orders", orders, "settled", settled);
}

static bool order_entry_load(struct order_book *book, json_t *saved)
{
	struct order_entry *entry;
	const char *state;
	const char *address;
	json_int_t placed_us;
	json_int_t index;
	json_t *order;

	if (json_unpack(saved, "[o s s I I]", &order, &state, &address,
			&placed_us, &index) < 0 ||
	    !json_is_object(order) ||
	    order_book_place(book, order, placed_us, index) != RESULT_OK)
		return false;
	entry = order_book_entry(book, codec_text(order, "order_id", ""));
	order_entry_set_state(entry, state, address);
	return true;
}

enum result order_book_load(struct order_book *book, const json_t *saved)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(saved, "orders"), i, item)
		if (!order_entry_load(book, item))
			return RESULT_MESSAGE_MALFORMED;
	json_array_foreach(json_object_get(saved, "settled"), i, item) {
		const char *id = json_string_value(item);
		struct order_entry *entry =
			id ? order_book_entry(book, id) : NULL;

		if (!entry || entry->placed.settled)
			return RESULT_MESSAGE_MALFORMED;
		entry->placed.settled = true;
		list_append(&book->settled, &entry->settled_node);
		book->n_settled++;
	}
	book->fence = codec_int(saved, "fence", book->fence);
	return RESULT_OK;
}
