#include "usage/presumed.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/alloc.h"

/* An earlier break is a connection failure, not one of the request. */
#define SENT_LEAST_US INT64_C(5000)

/* An announcement sooner after a break may have been sent before it. */
#define HEARD_LEAST_US INT64_C(200000)

/* A server without announcements for this time after it has failed. */
#define HEARD_MOST_US INT64_C(5000000)

struct presumed_item {
	struct list node;
	uint64_t request;
	char server[BACKEND_NAME_SIZE];
	int64_t started_ms;
	char *organisation;
	int64_t window;
	int64_t at_us;
};

void presumed_init(struct presumed *presumed)
{
	list_init(&presumed->items);
}

static void item_free(struct presumed_item *item)
{
	list_remove(&item->node);
	free(item->organisation);
	free(item);
}

void presumed_clear(struct presumed *presumed)
{
	struct presumed_item *item;
	struct presumed_item *next;

	list_foreach_safe(item, next, &presumed->items, node)
		item_free(item);
}

bool presumed_possible(enum result code, bool sent, int64_t us)
{
	return code == RESULT_BACKEND_BROKE && sent && us >= SENT_LEAST_US;
}

void presumed_add(struct presumed *presumed, const struct presumed_break *what,
		  int64_t now_us)
{
	struct presumed_item *item = xcalloc(1, sizeof(*item));

	item->request = what->request;
	snprintf(item->server, sizeof(item->server), "%s", what->server->id);
	item->started_ms = what->server->started_ms;
	item->organisation = xstrdup(what->organisation);
	item->window = what->window;
	item->at_us = now_us;
	list_append(&presumed->items, &item->node);
}

void presumed_drop(struct presumed *presumed, uint64_t request)
{
	struct presumed_item *item;
	struct presumed_item *next;

	list_foreach_safe(item, next, &presumed->items, node)
		if (item->request == request)
			item_free(item);
}

static bool heard_again(const struct presumed_item *item,
			const struct registry *registry)
{
	const struct registry_entry *server =
		registry_find(registry, item->server);

	return server && server->registration.started_ms == item->started_ms &&
	       server->last_contact_us > item->at_us + HEARD_LEAST_US;
}

void presumed_tick(struct presumed *presumed, const struct registry *registry,
		   int64_t now_us,
		   void (*counted)(void *data, uint64_t request,
				   const char *organisation, int64_t window),
		   void *data)
{
	struct presumed_item *item;
	struct presumed_item *next;

	list_foreach_safe(item, next, &presumed->items, node) {
		bool heard = heard_again(item, registry);

		if (heard)
			counted(data, item->request, item->organisation,
				item->window);
		if (heard || now_us - item->at_us > HEARD_MOST_US)
			item_free(item);
	}
}
