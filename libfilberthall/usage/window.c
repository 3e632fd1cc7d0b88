#include "usage/window.h"

#include <stdlib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/alloc.h"
#include "base/list.h"
#include "base/map.h"

/* More than any site counts; sums of thousands of them don't overflow. */
#define WINDOW_COUNT_MAX INT64_C(1000000000000000)

/* The total billed to an organisation for one window. */
struct billed {
	struct map_node node;
	int64_t requests;
	int64_t prompt_tokens;
	int64_t output_tokens;
	char organisation[];
};

struct window {
	struct list node; /**< in windows.list, ascending */
	int64_t number;
	enum window_state state;
	json_t *rows;	   /**< NULL once settled */
	struct map billed; /**< struct billed by organisation */
};

struct windows {
	struct list list;
	size_t count;
	int64_t last;
};

struct windows *windows_new(void)
{
	struct windows *windows = xcalloc(1, sizeof(*windows));

	list_init(&windows->list);
	windows->last = -1;
	return windows;
}

static void window_free(struct window *window)
{
	struct billed *billed;
	struct billed *next;

	list_remove(&window->node);
	map_foreach(billed, next, &window->billed, node)
		free(billed);
	map_clear(&window->billed);
	json_decref(window->rows);
	free(window);
}

void windows_free(struct windows *windows)
{
	struct window *window;
	struct window *next;

	if (!windows)
		return;
	list_foreach_safe(window, next, &windows->list, node)
		window_free(window);
	free(windows);
}

static struct window *windows_find(const struct windows *windows,
				   int64_t number)
{
	struct window *window;

	list_foreach(window, &windows->list, node)
		if (window->number == number)
			return window;
	return NULL;
}

static bool window_match_billed(const struct map_node *node, const void *name)
{
	return !strcmp(container_of(node, struct billed, node)->organisation,
		       name);
}

static struct billed *window_find_billed(const struct window *window,
					 const char *organisation)
{
	struct map_node *node =
		map_find(&window->billed, map_hash_text(organisation),
			 window_match_billed, organisation);

	return node ? container_of(node, struct billed, node) : NULL;
}

static void window_bill(struct window *window, const struct window_row *row)
{
	struct billed *billed = window_find_billed(window, row->organisation);

	if (!billed) {
		size_t len = strlen(row->organisation) + 1;

		billed = xcalloc(1, sizeof(*billed) + len);
		memcpy(billed->organisation, row->organisation, len);
		map_insert(&window->billed, &billed->node,
			   map_hash_text(row->organisation));
	}
	billed->requests += row->requests;
	billed->prompt_tokens += row->prompt_tokens;
	billed->output_tokens += row->output_tokens;
}

static bool window_count_holds(json_int_t count)
{
	return count >= 0 && count <= WINDOW_COUNT_MAX;
}

static bool window_read_row(json_t *item, struct window_row *row)
{
	json_int_t requests;
	json_int_t prompt_tokens;
	json_int_t output_tokens;
	json_t *correction;

	if (json_unpack(item, "{ss sI sI sI so}", "name", &row->organisation,
			"requests", &requests, "prompt_tokens", &prompt_tokens,
			"output_tokens", &output_tokens, "correction_of",
			&correction) < 0)
		return false;
	row->requests = requests;
	row->prompt_tokens = prompt_tokens;
	row->output_tokens = output_tokens;
	row->correction_of = json_is_integer(correction)
				     ? json_integer_value(correction)
				     : -1;
	return window_count_holds(requests) &&
	       window_count_holds(prompt_tokens) &&
	       window_count_holds(output_tokens);
}

static bool window_rows_hold(const json_t *rows)
{
	struct window_row row;
	json_t *item;
	size_t i;

	if (!json_is_array(rows))
		return false;
	json_array_foreach(rows, i, item)
		if (!window_read_row(item, &row))
			return false;
	return true;
}

static struct window *windows_add(struct windows *windows, int64_t number)
{
	struct window *window = xcalloc(1, sizeof(*window));

	window->number = number;
	window->state = WINDOW_COMMITTED;
	map_init(&window->billed);
	list_append(&windows->list, &window->node);
	windows->count++;
	windows->last = number;
	return window;
}

/* An unsettled window is kept however long the platform is unreachable. */
static void windows_bound(struct windows *windows)
{
	struct window *window;
	struct window *next;

	list_foreach_safe(window, next, &windows->list, node) {
		if (windows->count <= WINDOWS_KEPT ||
		    window->state == WINDOW_COMMITTED)
			break;
		window_free(window);
		windows->count--;
	}
}

enum result windows_commit(struct windows *windows, int64_t number,
			   const json_t *rows)
{
	struct window *window;
	json_t *item;
	size_t i;

	if (!window_rows_hold(rows))
		return RESULT_MESSAGE_MALFORMED;
	if (number <= windows->last)
		return RESULT_CONFLICT;
	window = windows_add(windows, number);
	window->rows = json_deep_copy(rows);
	if (!json_array_size(rows))
		window->state = WINDOW_ACCEPTED;
	json_array_foreach(window->rows, i, item) {
		struct window *target = window;
		struct window_row row;

		window_read_row(item, &row);
		if (row.correction_of >= 0)
			target = windows_find(windows, row.correction_of);
		if (target)
			window_bill(target, &row);
	}
	windows_bound(windows);
	return RESULT_OK;
}

enum result windows_settle(struct windows *windows, int64_t number,
			   bool accepted)
{
	struct window *window = windows_find(windows, number);

	if (!window || window->state != WINDOW_COMMITTED)
		return RESULT_NOT_FOUND;
	window->state = accepted ? WINDOW_ACCEPTED : WINDOW_REFUSED;
	json_decref(window->rows);
	window->rows = NULL;
	windows_bound(windows);
	return RESULT_OK;
}

enum window_state windows_state(const struct windows *windows, int64_t number)
{
	const struct window *window = windows_find(windows, number);

	if (window)
		return window->state;
	return number <= windows->last ? WINDOW_ACCEPTED : WINDOW_OPEN;
}

int64_t windows_last(const struct windows *windows)
{
	return windows->last;
}

int64_t windows_unsettled(const struct windows *windows)
{
	const struct window *window;

	list_foreach(window, &windows->list, node)
		if (window->state == WINDOW_COMMITTED)
			return window->number;
	return -1;
}

const json_t *windows_rows(const struct windows *windows, int64_t number)
{
	const struct window *window = windows_find(windows, number);

	return window ? window->rows : NULL;
}

bool windows_billed(const struct windows *windows, int64_t number,
		    const char *organisation, struct window_row *row)
{
	const struct window *window = windows_find(windows, number);
	const struct billed *billed =
		window ? window_find_billed(window, organisation) : NULL;

	memset(row, 0, sizeof(*row));
	row->organisation = organisation;
	row->correction_of = -1;
	if (!billed)
		return false;
	row->requests = billed->requests;
	row->prompt_tokens = billed->prompt_tokens;
	row->output_tokens = billed->output_tokens;
	return true;
}

json_t *windows_figures(const struct windows *windows, int64_t number)
{
	const struct window *window = windows_find(windows, number);
	json_t *figures = json_array();
	const struct billed *billed;
	const struct billed *next;

	if (!window)
		return figures;
	map_foreach(billed, next, &window->billed, node)
		json_array_append_new(
			figures,
			json_pack("{ss sI sI sI}", "name", billed->organisation,
				  "requests", (json_int_t)billed->requests,
				  "prompt_tokens",
				  (json_int_t)billed->prompt_tokens,
				  "output_tokens",
				  (json_int_t)billed->output_tokens));
	return figures;
}

bool windows_keeps(const struct windows *windows, int64_t number)
{
	return windows_find(windows, number);
}

void windows_visit(const struct windows *windows,
		   void (*visit)(void *data, int64_t window,
				 enum window_state state),
		   void *data)
{
	const struct window *window;

	list_foreach(window, &windows->list, node)
		visit(data, window->number, window->state);
}

static json_t *window_save(const struct window *window)
{
	const struct billed *billed;
	const struct billed *next;
	json_t *rows = window->rows ? json_incref(window->rows) : json_null();
	json_t *all = json_array();

	map_foreach(billed, next, &window->billed, node)
		json_array_append_new(
			all, json_pack("[s I I I]", billed->organisation,
				       (json_int_t)billed->requests,
				       (json_int_t)billed->prompt_tokens,
				       (json_int_t)billed->output_tokens));
	return json_pack("[I i o o]", (json_int_t)window->number,
			 (int)window->state, rows, all);
}

json_t *windows_save(const struct windows *windows)
{
	const struct window *window;
	json_t *saved = json_array();

	list_foreach(window, &windows->list, node)
		json_array_append_new(saved, window_save(window));
	return json_pack("{sI so}", "last", (json_int_t)windows->last,
			 "windows", saved);
}

static bool window_load_billed(struct window *window, const json_t *all)
{
	json_t *item;
	size_t i;

	json_array_foreach(all, i, item) {
		struct window_row row;
		json_int_t requests;
		json_int_t prompt_tokens;
		json_int_t output_tokens;

		if (json_unpack(item, "[s I I I]", &row.organisation, &requests,
				&prompt_tokens, &output_tokens) < 0)
			return false;
		row.requests = requests;
		row.prompt_tokens = prompt_tokens;
		row.output_tokens = output_tokens;
		window_bill(window, &row);
	}
	return true;
}

static bool window_load(struct windows *windows, json_t *saved)
{
	struct window *window;
	json_int_t number;
	json_t *rows;
	json_t *all;
	int state;

	if (json_unpack(saved, "[I i o o]", &number, &state, &rows, &all) < 0 ||
	    state < WINDOW_COMMITTED || state > WINDOW_REFUSED ||
	    number <= windows->last ||
	    (state == WINDOW_COMMITTED && !window_rows_hold(rows)))
		return false;
	window = windows_add(windows, number);
	window->state = (enum window_state)state;
	window->rows = json_is_array(rows) ? json_incref(rows) : NULL;
	return window_load_billed(window, all);
}

enum result windows_load(struct windows *windows, const json_t *saved)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(saved, "windows"), i, item)
		if (!window_load(windows, item))
			return RESULT_MESSAGE_MALFORMED;
	windows->last = codec_int(saved, "last", windows->last);
	return RESULT_OK;
}
