#include "usage/merge.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "usage/merge_state.h"

struct usage *usage_new(uint64_t member, uint64_t incarnation)
{
	struct usage *usage = xcalloc(1, sizeof(*usage));

	map_init(&usage->origins);
	map_init(&usage->rows);
	list_init(&usage->windows);
	list_init(&usage->changed);
	usage->window = -1;
	usage->step_since_us = -1;
	usage->self = usage_origin(usage, member, incarnation);
	return usage;
}

static void usage_row_free(struct usage *usage, struct usage_row *row)
{
	map_remove(&usage->rows, &row->node);
	list_remove(&row->by_origin);
	list_remove(&row->by_window);
	list_remove(&row->by_change);
	free(row);
}

static void usage_window_free(struct usage *usage, struct usage_window *window)
{
	struct usage_row *row;
	struct usage_row *next;

	list_foreach_safe(row, next, &window->rows, by_window)
		usage_row_free(usage, row);
	list_remove(&window->node);
	free(window);
}

void usage_free(struct usage *usage)
{
	struct usage_window *window;
	struct usage_window *next_window;
	struct usage_origin *origin;
	struct usage_origin *next;

	if (!usage)
		return;
	list_foreach_safe(window, next_window, &usage->windows, node)
		usage_window_free(usage, window);
	map_foreach(origin, next, &usage->origins, node)
		free(origin);
	map_clear(&usage->origins);
	map_clear(&usage->rows);
	free(usage);
}

struct usage_life {
	uint64_t member;
	uint64_t incarnation;
};

static bool usage_match_origin(const struct map_node *node, const void *key)
{
	const struct usage_origin *origin =
		container_of(node, struct usage_origin, node);
	const struct usage_life *life = key;

	return origin->member == life->member &&
	       origin->incarnation == life->incarnation;
}

struct usage_origin *usage_origin(struct usage *usage, uint64_t member,
				  uint64_t incarnation)
{
	struct usage_life life = { member, incarnation };
	uint64_t hash = map_hash(&life, sizeof(life));
	struct usage_origin *origin;
	struct map_node *node;

	node = map_find(&usage->origins, hash, usage_match_origin, &life);
	if (node)
		return container_of(node, struct usage_origin, node);
	origin = xcalloc(1, sizeof(*origin));
	origin->member = member;
	origin->incarnation = incarnation;
	origin->heard_us = -1;
	origin->window = -1;
	origin->passed = -1;
	list_init(&origin->rows);
	map_insert(&usage->origins, &origin->node, hash);
	return origin;
}

const struct usage_origin *usage_latest(const struct usage *usage,
					uint64_t member)
{
	const struct usage_origin *latest = NULL;
	const struct usage_origin *origin;
	const struct usage_origin *next;

	map_foreach(origin, next, &usage->origins, node)
		if (origin->member == member &&
		    (!latest || origin->incarnation > latest->incarnation))
			latest = origin;
	return latest;
}

static struct usage_window *usage_find_window(const struct usage *usage,
					      int64_t number)
{
	struct usage_window *window;

	list_foreach(window, &usage->windows, node)
		if (window->number == number)
			return window;
	return NULL;
}

static struct usage_window *usage_get_window(struct usage *usage,
					     int64_t number)
{
	struct usage_window *window = usage_find_window(usage, number);
	struct usage_window *after;

	if (window)
		return window;
	window = xcalloc(1, sizeof(*window));
	window->number = number;
	list_init(&window->rows);
	list_foreach(after, &usage->windows, node)
		if (after->number > number)
			break;
	list_insert_before(&after->node, &window->node);
	return window;
}

struct usage_key {
	const struct usage_origin *origin;
	int64_t window;
	const char *organisation;
	const char *class_name;
};

static bool usage_match_row(const struct map_node *node, const void *key)
{
	const struct usage_row *row =
		container_of(node, struct usage_row, node);
	const struct usage_key *wanted = key;

	return row->origin == wanted->origin && row->window == wanted->window &&
	       !strcmp(row->organisation, wanted->organisation) &&
	       !strcmp(row->class_name, wanted->class_name);
}

static uint64_t usage_row_hash(const struct usage_key *key)
{
	struct {
		uint64_t member;
		uint64_t incarnation;
		int64_t window;
		uint64_t organisation;
		uint64_t class_name;
	} parts = { key->origin->member, key->origin->incarnation, key->window,
		    map_hash_text(key->organisation),
		    map_hash_text(key->class_name) };

	return map_hash(&parts, sizeof(parts));
}

static struct usage_row *usage_row_new(const struct usage_key *key)
{
	size_t organisation_len = strlen(key->organisation) + 1;
	size_t class_len = strlen(key->class_name) + 1;
	struct usage_row *row =
		xcalloc(1, sizeof(*row) + organisation_len + class_len);

	memcpy(row->text, key->organisation, organisation_len);
	memcpy(row->text + organisation_len, key->class_name, class_len);
	row->organisation = row->text;
	row->class_name = row->text + organisation_len;
	row->window = key->window;
	return row;
}

struct usage_row *usage_row(struct usage *usage, struct usage_origin *origin,
			    int64_t window, const char *organisation,
			    const char *class_name)
{
	struct usage_key key = { origin, window, organisation, class_name };
	uint64_t hash = usage_row_hash(&key);
	struct usage_row *row;
	struct map_node *node;

	node = map_find(&usage->rows, hash, usage_match_row, &key);
	if (node)
		return container_of(node, struct usage_row, node);
	row = usage_row_new(&key);
	row->origin = origin;
	map_insert(&usage->rows, &row->node, hash);
	list_append(&origin->rows, &row->by_origin);
	list_append(&usage_get_window(usage, window)->rows, &row->by_window);
	list_init(&row->by_change);
	return row;
}

void usage_touch(struct usage *usage, struct usage_row *row)
{
	row->change = ++usage->change;
	list_remove(&row->by_change);
	list_append(&usage->changed, &row->by_change);
}

void usage_count(struct usage *usage, const char *organisation,
		 const char *class_name, const struct usage_counters *add)
{
	struct usage_row *row;

	row = usage_row(usage, usage->self, usage->window, organisation,
			class_name);
	row->counters.requests += add->requests;
	row->counters.prompt_tokens += add->prompt_tokens;
	row->counters.output_tokens += add->output_tokens;
	row->counters.wasted_tokens += add->wasted_tokens;
	usage_touch(usage, row);
}

/*
 * The wall clock may step on one VM or on all: set manually, or by a time
 * service after a resume. A step is accepted only after a delay; one that is
 * reversed before then has no effect.
 */
static void usage_follow_clock(struct usage *usage, int64_t wall_us,
			       int64_t now_us)
{
	int64_t offset = wall_us - now_us;
	int64_t step = offset - usage->anchor_us;

	if (!usage->anchored ||
	    (step <= USAGE_STEP_US && step >= -USAGE_STEP_US)) {
		usage->anchored = true;
		usage->anchor_us = offset;
		usage->step_since_us = -1;
	} else if (usage->step_since_us < 0) {
		usage->step_since_us = now_us;
	} else if (now_us - usage->step_since_us >= USAGE_STEP_HOLD_US) {
		usage->anchor_us = offset;
		usage->step_since_us = -1;
	}
}

/* An earlier incarnation is needed only as long as it has rows. */
static void usage_forget_origins(struct usage *usage)
{
	struct usage_origin *origin;
	struct usage_origin *next;

	map_foreach(origin, next, &usage->origins, node) {
		if (origin == usage->self || !list_empty(&origin->rows) ||
		    origin == usage_latest(usage, origin->member))
			continue;
		map_remove(&usage->origins, &origin->node);
		free(origin);
	}
}

static void usage_forget(struct usage *usage, int64_t before)
{
	struct usage_window *window;
	struct usage_window *next;

	list_foreach_safe(window, next, &usage->windows, node) {
		if (window->number >= before)
			break;
		usage_window_free(usage, window);
	}
	usage_forget_origins(usage);
}

int64_t usage_tick(struct usage *usage, int64_t window_us, int64_t wall_us,
		   int64_t now_us)
{
	int64_t window;

	usage_follow_clock(usage, wall_us, now_us);
	window = (now_us + usage->anchor_us) / window_us;
	if (window > usage->window) {
		usage->window = window;
		usage_forget(usage, window - USAGE_WINDOWS);
	}
	usage->self->window = usage->window;
	usage_relay_silent(usage, now_us);
	return usage->window;
}

int64_t usage_window(const struct usage *usage)
{
	return usage->window;
}

int64_t usage_member_window(const struct usage *usage, uint64_t member)
{
	const struct usage_origin *origin = usage_latest(usage, member);

	return origin ? origin->window : -1;
}

int64_t usage_oldest(const struct usage *usage)
{
	const struct usage_window *window =
		list_first(&usage->windows, struct usage_window, node);

	return window ? window->number : -1;
}

bool usage_passed(const struct usage *usage, uint64_t member, int64_t window)
{
	const struct usage_origin *origin = usage_latest(usage, member);

	if (!origin)
		return false;
	if (origin == usage->self)
		return usage->window > window;
	return origin->passed >= window;
}

int64_t usage_lost_us(const struct usage *usage, uint64_t member,
		      int64_t now_us)
{
	const struct usage_origin *origin = usage_latest(usage, member);

	if (origin == usage->self)
		return 0;
	return origin && origin->heard_us >= 0 ? now_us - origin->heard_us : -1;
}

static int usage_compare_rows(const void *a, const void *b)
{
	const struct usage_row *const *left = a;
	const struct usage_row *const *right = b;
	int order = strcmp((*left)->organisation, (*right)->organisation);

	return order ? order
		     : strcmp((*left)->class_name, (*right)->class_name);
}

/* A window's rows by organisation and class; the caller frees the array. */
static const struct usage_row **usage_sorted(const struct usage *usage,
					     int64_t number, size_t *n)
{
	const struct usage_window *window = usage_find_window(usage, number);
	const struct usage_row **sorted;
	const struct usage_row *row;
	size_t count = 0;

	*n = 0;
	if (!window)
		return NULL;
	list_foreach(row, &window->rows, by_window)
		count++;
	sorted = xcalloc(count + 1, sizeof(const struct usage_row *));
	list_foreach(row, &window->rows, by_window)
		sorted[(*n)++] = row;
	qsort(sorted, *n, sizeof(const struct usage_row *), usage_compare_rows);
	return sorted;
}

static void usage_add(struct usage_counters *sum,
		      const struct usage_counters *add)
{
	sum->requests += add->requests;
	sum->prompt_tokens += add->prompt_tokens;
	sum->output_tokens += add->output_tokens;
	sum->wasted_tokens += add->wasted_tokens;
}

void usage_visit_classes(const struct usage *usage, int64_t window,
			 void (*visit)(void *data, const char *organisation,
				       const char *class_name,
				       const struct usage_counters *sum),
			 void *data)
{
	cleanup(free_ptr) const struct usage_row **rows = NULL;
	struct usage_counters sum = { 0 };
	size_t n;
	size_t i;

	rows = usage_sorted(usage, window, &n);
	for (i = 0; i < n; i++) {
		usage_add(&sum, &rows[i]->counters);
		if (i + 1 < n && !usage_compare_rows(&rows[i], &rows[i + 1]))
			continue;
		visit(data, rows[i]->organisation, rows[i]->class_name, &sum);
		memset(&sum, 0, sizeof(sum));
	}
}

void usage_visit_sums(const struct usage *usage, int64_t window,
		      void (*visit)(void *data, const char *organisation,
				    const struct usage_counters *sum),
		      void *data)
{
	cleanup(free_ptr) const struct usage_row **rows = NULL;
	struct usage_counters sum = { 0 };
	size_t n;
	size_t i;

	rows = usage_sorted(usage, window, &n);
	for (i = 0; i < n; i++) {
		usage_add(&sum, &rows[i]->counters);
		if (i + 1 < n &&
		    !strcmp(rows[i]->organisation, rows[i + 1]->organisation))
			continue;
		visit(data, rows[i]->organisation, &sum);
		memset(&sum, 0, sizeof(sum));
	}
}

size_t usage_rows(const struct usage *usage)
{
	return usage->rows.count;
}
