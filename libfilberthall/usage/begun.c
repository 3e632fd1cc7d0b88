#include "usage/begun.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* One organisation's requests as one source counted them. */
struct begun_count {
	struct list node;
	uint64_t source; /* 0: counted here */
	struct feed_count count;
};

void begun_init(struct begun *begun)
{
	list_init(&begun->windows);
}

static void window_free(struct begun_window *window)
{
	struct begun_count *count;
	struct begun_count *next;

	list_foreach_safe(count, next, &window->counts, node)
		free(count);
	list_remove(&window->node);
	free(window);
}

void begun_clear(struct begun *begun)
{
	struct begun_window *window;
	struct begun_window *next;

	list_foreach_safe(window, next, &begun->windows, node)
		window_free(window);
}

static struct begun_window *window_find(const struct begun *begun,
					int64_t number)
{
	struct begun_window *window;

	list_foreach(window, &begun->windows, node)
		if (window->window == number)
			return window;
	return NULL;
}

static void drop_oldest(struct begun *begun)
{
	struct begun_window *oldest = NULL;
	struct begun_window *window;
	int n = 0;

	list_foreach(window, &begun->windows, node) {
		n++;
		if (!oldest || window->window < oldest->window)
			oldest = window;
	}
	if (n > BEGUN_WINDOWS)
		window_free(oldest);
}

static struct begun_window *window_of(struct begun *begun, int64_t number)
{
	struct begun_window *window = window_find(begun, number);

	if (window)
		return window;
	window = xcalloc(1, sizeof(*window));
	window->window = number;
	list_init(&window->counts);
	list_prepend(&begun->windows, &window->node);
	drop_oldest(begun);
	return window_find(begun, number);
}

static struct begun_count *count_of(struct begun_window *window,
				    uint64_t source, const char *organisation)
{
	struct begun_count *count;

	list_foreach(count, &window->counts, node)
		if (count->source == source &&
		    !strcmp(count->count.organisation, organisation))
			return count;
	count = xcalloc(1, sizeof(*count));
	count->source = source;
	snprintf(count->count.organisation, sizeof(count->count.organisation),
		 "%s", organisation);
	list_append(&window->counts, &count->node);
	return count;
}

void begun_add(struct begun *begun, int64_t number, const char *organisation)
{
	struct begun_window *window = window_of(begun, number);

	if (!window)
		return;
	count_of(window, 0, organisation)->count.requests++;
	window->untold = true;
}

static struct feed_begun window_total(const struct begun_window *window)
{
	struct feed_begun total = { .window = window->window };
	struct begun_count *count;
	size_t i;

	list_foreach(count, &window->counts, node) {
		for (i = 0; i < total.n_counts; i++)
			if (!strcmp(total.counts[i].organisation,
				    count->count.organisation))
				break;
		if (i == total.n_counts) {
			total.counts = xrealloc(total.counts,
						++total.n_counts *
							sizeof(*total.counts));
			total.counts[i] = count->count;
		} else {
			total.counts[i].requests += count->count.requests;
		}
	}
	return total;
}

bool begun_tell(struct begun *begun, struct bytes *out)
{
	struct begun_window *window;
	struct feed_begun total;

	list_foreach(window, &begun->windows, node) {
		if (!window->untold)
			continue;
		window->untold = false;
		total = window_total(window);
		feed_write_begun(out, &total);
		free(total.counts);
		return true;
	}
	return false;
}

void begun_tell_again(struct begun *begun)
{
	struct begun_window *window;

	list_foreach(window, &begun->windows, node)
		window->untold = true;
}

void begun_take(struct begun *begun, uint64_t source,
		const struct feed_begun *told)
{
	struct begun_window *window = window_of(begun, told->window);
	struct begun_count *count;
	size_t i;

	if (!window)
		return;
	for (i = 0; i < told->n_counts; i++) {
		count = count_of(window, source, told->counts[i].organisation);
		/* Totals only grow; a smaller one was overtaken on the way. */
		if (told->counts[i].requests > count->count.requests)
			count->count.requests = told->counts[i].requests;
	}
}

struct feed_begun begun_total(const struct begun *begun, int64_t number)
{
	struct begun_window *window = window_find(begun, number);
	struct feed_begun none = { .window = number };

	return window ? window_total(window) : none;
}
