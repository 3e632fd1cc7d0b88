#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree/codec.h"
#include "agree/setting.h"
#include "base/alloc.h"
#include "base/cleanup.h"

/* A change that is being prepared. */
struct settings_plan {
	struct setting_edit *edits;
	size_t n;
	struct map by_path;
	const struct error_handler *handler;
};

static void settings_plan_clear(struct settings_plan *plan)
{
	size_t i;

	for (i = 0; i < plan->n; i++) {
		json_decref(plan->edits[i].old_value);
		json_decref(plan->edits[i].new_value);
		free(plan->edits[i].path);
		free(plan->edits[i].old_by);
	}
	map_clear(&plan->by_path);
	free(plan->edits);
}

static enum result settings_refuse(const struct error_handler *handler,
				   const struct schema_fault *fault)
{
	char text[1152];

	schema_fault_format(fault, text, sizeof(text));
	return error_report(handler, fault->code, "%s", text);
}

static bool settings_match_edit(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct setting_edit, node)->path,
		       key);
}

/* The edit of an object's path; added if there is none yet. */
static struct setting_edit *settings_plan_get_edit(struct settings_plan *plan,
						   struct settings *settings,
						   const char *item_path,
						   size_t len)
{
	cleanup(free_ptr) char *path = xmemdup(item_path, len);
	uint64_t hash = map_hash_text(path);
	struct setting_edit *edit;
	struct setting *setting;
	struct map_node *node;

	node = map_find(&plan->by_path, hash, settings_match_edit, path);
	if (node)
		return container_of(node, struct setting_edit, node);
	edit = &plan->edits[plan->n++];
	edit->path = take_ptr(path);
	map_insert(&plan->by_path, &edit->node, hash);
	setting = settings_find(settings, edit->path);
	if (setting) {
		edit->old_value = json_incref(setting->value);
		edit->new_value = json_incref(setting->value);
		edit->old_version = setting->version;
		edit->old_time_us = setting->time_us;
		edit->old_by = xstrdup(setting->by);
	}
	return edit;
}

static void settings_edit_field(struct setting_edit *edit, const char *field,
				json_t *value)
{
	json_t *changed =
		edit->new_value ? json_copy(edit->new_value) : json_object();

	json_decref(edit->new_value);
	if (value)
		json_object_set(changed, field, value);
	else
		json_object_del(changed, field);
	edit->new_value = changed;
}

static enum result settings_plan_item(struct settings_plan *plan,
				      struct settings *settings,
				      const struct settings_item *item)
{
	struct schema_fault fault;
	struct setting_edit *edit;
	size_t len = schema_object_length(item->path);

	if (!len) {
		schema_check(item->path, item->value, &fault);
		return settings_refuse(plan->handler, &fault);
	}
	edit = settings_plan_get_edit(plan, settings, item->path, len);
	if (item->path[len]) {
		settings_edit_field(edit, item->path + len + 1, item->value);
	} else {
		json_decref(edit->new_value);
		edit->new_value = item->value ? json_incref(item->value) : NULL;
	}
	return RESULT_OK;
}

static enum result settings_plan_check(const struct settings_plan *plan)
{
	struct schema_fault fault;
	size_t i;

	for (i = 0; i < plan->n; i++) {
		const struct setting_edit *edit = &plan->edits[i];

		if (edit->new_value && schema_check(edit->path, edit->new_value,
						    &fault) != RESULT_OK)
			return settings_refuse(plan->handler, &fault);
	}
	return RESULT_OK;
}

static json_t *settings_or_null(json_t *value)
{
	return value ? json_incref(value) : json_null();
}

static void settings_report_conflict(const struct settings_plan *plan,
				     const struct setting *now,
				     const struct settings_item *item,
				     json_t *conflicts)
{
	json_t *current = settings_or_null(now ? now->value : NULL);
	cleanup(free_ptr) char *have =
		json_dumps(current, JSON_COMPACT | JSON_ENCODE_ANY);
	cleanup(free_ptr) char *want =
		item->value ? json_dumps(item->value,
					 JSON_COMPACT | JSON_ENCODE_ANY)
			    : xstrdup("null");

	error_report(plan->handler, RESULT_CONFLICT,
		     "%s: is at version %lld%s%s, not %lld; now %s, wanted %s",
		     item->path, now ? (long long)now->version : 0LL,
		     now ? " by " : "", now ? now->by : "",
		     (long long)item->version, have ? have : "?",
		     want ? want : "?");
	json_array_append_new(conflicts,
			      json_pack("{ss sI sI ss so so}", "path",
					item->path, "expected",
					(json_int_t)item->version, "version",
					(json_int_t)(now ? now->version : 0),
					"by", now ? now->by : "", "current",
					current, "wanted",
					settings_or_null(item->value)));
}

/* Compare-and-set: each expected version must be the current one. */
static enum result settings_plan_check_versions(
	const struct settings_plan *plan, const struct settings *settings,
	const struct settings_item *items, size_t n, json_t *answer)
{
	json_t *conflicts = json_array();
	size_t i;

	for (i = 0; i < n; i++) {
		cleanup(free_ptr) char *path = NULL;
		const struct setting *now;

		if (items[i].version == SETTINGS_ANY_VERSION)
			continue;
		path = xmemdup(items[i].path,
			       schema_object_length(items[i].path));
		now = settings_find(settings, path);
		if ((now ? now->version : 0) != items[i].version)
			settings_report_conflict(plan, now, &items[i],
						 conflicts);
	}
	if (!json_array_size(conflicts)) {
		json_decref(conflicts);
		return RESULT_OK;
	}
	json_object_set_new(answer, "conflicts", conflicts);
	return RESULT_CONFLICT;
}

static bool settings_edit_differs(const struct setting_edit *edit)
{
	if (!edit->old_value || !edit->new_value)
		return edit->old_value != edit->new_value;
	return !json_equal(edit->old_value, edit->new_value);
}

static void settings_plan_apply(const struct settings_plan *plan,
				struct settings *settings,
				const struct settings_author *author)
{
	size_t i;

	for (i = 0; i < plan->n; i++)
		if (settings_edit_differs(&plan->edits[i]))
			settings_put(settings, plan->edits[i].path,
				     plan->edits[i].new_value, author->index,
				     author->time_us, author->by);
}

static void settings_plan_undo(const struct settings_plan *plan,
			       struct settings *settings)
{
	size_t i;

	for (i = 0; i < plan->n; i++)
		if (settings_edit_differs(&plan->edits[i]))
			settings_put(settings, plan->edits[i].path,
				     plan->edits[i].old_value,
				     plan->edits[i].old_version,
				     plan->edits[i].old_time_us,
				     plan->edits[i].old_by);
}

static json_t *settings_edit_describe(const struct setting_edit *edit)
{
	return json_pack("{ss so so}", "path", edit->path, "old",
			 settings_or_null(edit->old_value), "new",
			 settings_or_null(edit->new_value));
}

/* Add the change to the history and describe it in `answer`. */
static void settings_plan_finish(const struct settings_plan *plan,
				 struct settings *settings,
				 const struct settings_author *author,
				 json_t *answer)
{
	json_t *changes = json_array();
	json_t *paths = json_array();
	size_t i;

	for (i = 0; i < plan->n; i++) {
		if (!settings_edit_differs(&plan->edits[i]))
			continue;
		json_array_append_new(changes,
				      settings_edit_describe(&plan->edits[i]));
		json_array_append_new(paths, json_string(plan->edits[i].path));
	}
	json_object_set_new(answer, "version", json_integer(author->index));
	json_object_set_new(answer, "paths", paths);
	if (json_array_size(changes))
		settings_record(settings, author, changes);
	else
		json_decref(changes);
}

enum result settings_change(struct settings *settings,
			    const struct settings_item *items, size_t n,
			    const struct settings_author *author,
			    json_t *answer, const struct error_handler *handler)
{
	cleanup(settings_plan_clear) struct settings_plan plan = {
		.edits = xcalloc(n + 1, sizeof(*plan.edits)),
		.handler = handler,
	};
	struct schema_fault fault;
	enum result code = RESULT_OK;
	size_t i;

	map_init(&plan.by_path);
	for (i = 0; i < n && code == RESULT_OK; i++)
		code = settings_plan_item(&plan, settings, &items[i]);
	if (code == RESULT_OK)
		code = settings_plan_check_versions(&plan, settings, items, n,
						    answer);
	if (code == RESULT_OK)
		code = settings_plan_check(&plan);
	if (code != RESULT_OK)
		return code;
	settings_plan_apply(&plan, settings, author);
	if (cross_check(settings, plan.edits, plan.n, &fault) != RESULT_OK) {
		settings_plan_undo(&plan, settings);
		return settings_refuse(handler, &fault);
	}
	settings_plan_finish(&plan, settings, author, answer);
	return RESULT_OK;
}

enum result settings_change_values(struct settings *settings,
				   const json_t *values, const json_t *versions,
				   const struct settings_author *author,
				   json_t *answer,
				   const struct error_handler *handler)
{
	cleanup(free_ptr) struct settings_item *items =
		xcalloc(json_object_size(values) + 1, sizeof(*items));
	const char *path;
	json_t *value;
	size_t n = 0;

	json_object_foreach((json_t *)values, path, value) {
		items[n].path = path;
		items[n].value = json_is_null(value) ? NULL : value;
		items[n++].version =
			codec_int(versions, path, SETTINGS_ANY_VERSION);
	}
	return settings_change(settings, items, n, author, answer, handler);
}

/* The paths that were changed after a record, as keys of an object. */
static json_t *settings_changed_since(const struct settings *settings,
				      const struct setting_record *record)
{
	json_t *paths = json_object();
	const struct list *at = record->node.next;

	for (; at != &settings->history; at = at->next) {
		const json_t *change;
		size_t i;

		record = container_of(at, const struct setting_record, node);
		json_array_foreach(record->changes, i, change)
			json_object_set_new(paths,
					    codec_text(change, "path", ""),
					    json_true());
	}
	return paths;
}

/*
 * A path is reverted only if it wasn't changed since; otherwise the conflict
 * shows both values. A deleted path has version 0 whichever change deleted it,
 * so the history must show whether it was the change to be undone.
 */
static void settings_revert_item(struct settings_item *item,
				 const json_t *change, const json_t *since,
				 int64_t version)
{
	json_t *old_value = json_object_get(change, "old");
	bool deleted = json_is_null(json_object_get(change, "new"));

	item->path = codec_text(change, "path", "");
	item->value = json_is_null(old_value) ? NULL : old_value;
	item->version = version;
	if (deleted && !json_object_get(since, item->path))
		item->version = 0;
}

enum result settings_revert(struct settings *settings, int64_t version,
			    const struct settings_author *author,
			    json_t *answer, const struct error_handler *handler)
{
	struct setting_record *record = settings_find_record(settings, version);
	cleanup(free_ptr) struct settings_item *items = NULL;
	json_t *changes;
	json_t *change;
	json_t *since;
	enum result code;
	size_t i;

	if (!record)
		return error_report(handler, RESULT_NOT_FOUND,
				    "no change %lld in the history",
				    (long long)version);
	changes = json_incref(record->changes);
	since = settings_changed_since(settings, record);
	items = xcalloc(json_array_size(changes) + 1, sizeof(*items));
	json_array_foreach(changes, i, change)
		settings_revert_item(&items[i], change, since, version);
	code = settings_change(settings, items, json_array_size(changes),
			       author, answer, handler);
	json_decref(since);
	json_decref(changes);
	return code;
}

static json_t *settings_diff_item(const struct settings *settings,
				  const char *path, json_t *value)
{
	json_t *old_value = settings_get(settings, path, NULL);
	bool same =
		old_value ? json_equal(old_value, value) : json_is_null(value);

	if (same)
		return NULL;
	return json_pack("{ss so sO}", "path", path, "old",
			 settings_or_null(old_value), "new", value);
}

json_t *settings_diff(const struct settings *settings, const json_t *values)
{
	json_t *diff = json_array();
	const char *path;
	json_t *value;

	json_object_foreach((json_t *)values, path, value) {
		json_t *item = settings_diff_item(settings, path, value);

		if (item)
			json_array_append_new(diff, item);
	}
	return diff;
}
