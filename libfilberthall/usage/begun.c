#include "usage/begun.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* The number of one organisation's requests counted by one source. */
struct begun_count {
	struct list node;
	struct feed_count count;
};

/* The counts of one daemon in a window. */
struct begun_source {
	struct map_node node; /* key: id */
	uint64_t id;	      /* 0: this daemon */
	struct list counts;
};

void begun_init(struct begun *begun)
{
	list_init(&begun->windows);
}

static void source_free(struct begun_source *source)
{
	struct begun_count *count;
	struct begun_count *next;

	list_foreach_safe(count, next, &source->counts, node) {
		free(count->count.organisation);
		free(count);
	}
	free(source);
}

static void window_free(struct begun_window *window)
{
	struct begun_source *source;
	struct begun_source *next;

	map_foreach(source, next, &window->sources, node)
		source_free(source);
	map_clear(&window->sources);
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
	map_init(&window->sources);
	list_prepend(&begun->windows, &window->node);
	drop_oldest(begun);
	return window_find(begun, number);
}

static bool source_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct begun_source, node)->id ==
	       *(const uint64_t *)key;
}

static struct begun_source *source_of(struct begun_window *window, uint64_t id)
{
	uint64_t hash = map_hash(&id, sizeof(id));
	struct map_node *node =
		map_find(&window->sources, hash, source_match, &id);
	struct begun_source *source;

	if (node)
		return container_of(node, struct begun_source, node);
	source = xcalloc(1, sizeof(*source));
	source->id = id;
	list_init(&source->counts);
	map_insert(&window->sources, &source->node, hash);
	return source;
}

static struct begun_count *count_of(struct begun_source *source,
				    const char *organisation)
{
	struct begun_count *count;

	list_foreach(count, &source->counts, node)
		if (!strcmp(count->count.organisation, organisation))
			return count;
	count = xcalloc(1, sizeof(*count));
	count->count.organisation = xstrdup(organisation);
	list_append(&source->counts, &count->node);
	return count;
}

void begun_add(struct begun *begun, int64_t number, const char *organisation)
{
	struct begun_window *window = window_of(begun, number);

	if (!window)
		return;
	count_of(source_of(window, 0), organisation)->count.requests++;
	window->send_pending = true;
}

static size_t window_counts(const struct begun_window *window)
{
	struct begun_source *source;
	struct begun_source *next;
	struct begun_count *count;
	size_t n = 0;

	map_foreach(source, next, &window->sources, node)
		list_foreach(count, &source->counts, node)
			n++;
	return n;
}

static int compare_organisation(const void *a, const void *b)
{
	return strcmp(((const struct feed_count *)a)->organisation,
		      ((const struct feed_count *)b)->organisation);
}

/* Adds up adjacent entries of the same organisation; names aren't owned. */
static void merge_counts(struct feed_begun *total, size_t n)
{
	size_t last = 0;
	size_t i;

	for (i = 1; i < n; i++) {
		if (!compare_organisation(&total->counts[last],
					  &total->counts[i]))
			total->counts[last].requests +=
				total->counts[i].requests;
		else
			total->counts[++last] = total->counts[i];
	}
	total->n_counts = n ? last + 1 : 0;
}

/* Keeps the largest of adjacent entries of the same organisation. */
static void keep_largest(struct feed_begun *total)
{
	size_t last = 0;
	size_t i;

	for (i = 1; i < total->n_counts; i++) {
		struct feed_count *kept = &total->counts[last];
		const struct feed_count *count = &total->counts[i];

		if (compare_organisation(kept, count)) {
			total->counts[++last] = *count;
			continue;
		}
		if (count->requests > kept->requests)
			kept->requests = count->requests;
		free(count->organisation);
	}
	if (total->n_counts)
		total->n_counts = last + 1;
}

static struct feed_begun window_total(const struct begun_window *window)
{
	struct feed_begun total = { .window = window->window };
	struct begun_source *source;
	struct begun_source *next;
	struct begun_count *count;
	size_t n = 0;

	total.counts =
		xcalloc(window_counts(window) + 1, sizeof(*total.counts));
	map_foreach(source, next, &window->sources, node)
		list_foreach(count, &source->counts, node)
			total.counts[n++] = count->count;
	qsort(total.counts, n, sizeof(*total.counts), compare_organisation);
	merge_counts(&total, n);
	for (n = 0; n < total.n_counts; n++)
		total.counts[n].organisation =
			xstrdup(total.counts[n].organisation);
	return total;
}

bool begun_tell(struct begun *begun, struct bytes *out)
{
	struct begun_window *window;
	struct feed_begun total;

	list_foreach(window, &begun->windows, node) {
		if (!window->send_pending)
			continue;
		window->send_pending = false;
		total = window_total(window);
		feed_write_begun(out, &total);
		feed_begun_clear(&total);
		return true;
	}
	return false;
}

void begun_tell_again(struct begun *begun)
{
	struct begun_window *window;

	list_foreach(window, &begun->windows, node)
		window->send_pending = true;
}

void begun_take(struct begun *begun, uint64_t id, const struct feed_begun *told)
{
	struct begun_window *window = window_of(begun, told->window);
	struct begun_source *source;
	struct begun_count *count;
	size_t i;

	if (!window)
		return;
	source = source_of(window, id);
	for (i = 0; i < told->n_counts; i++) {
		count = count_of(source, told->counts[i].organisation);
		/* Totals only grow; a smaller one is an older message. */
		if (told->counts[i].requests > count->count.requests)
			count->count.requests = told->counts[i].requests;
	}
}

int64_t begun_next(const struct begun *begun, int64_t after)
{
	struct begun_window *window;
	int64_t found = 0;

	list_foreach(window, &begun->windows, node)
		if (window->window > after &&
		    (!found || window->window < found))
			found = window->window;
	return found;
}

struct feed_begun begun_total(const struct begun *begun, int64_t number)
{
	struct begun_window *window = window_find(begun, number);
	struct feed_begun none = { .window = number };

	return window ? window_total(window) : none;
}

void begun_raise(struct feed_begun *total, const struct feed_begun *known)
{
	size_t n = known ? known->n_counts : 0;
	size_t i;

	total->counts = xrealloc(total->counts, (total->n_counts + n + 1) *
							sizeof(*total->counts));
	for (i = 0; i < n; i++) {
		struct feed_count *count = &total->counts[total->n_counts++];

		count->organisation = xstrdup(known->counts[i].organisation);
		count->requests = known->counts[i].requests;
	}
	qsort(total->counts, total->n_counts, sizeof(*total->counts),
	      compare_organisation);
	keep_largest(total);
}
