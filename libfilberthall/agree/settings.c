#include "agree/settings.h"

#include <stdlib.h>
#include <string.h>

#include "agree/codec.h"
#include "agree/setting.h"
#include "base/alloc.h"
#include "base/cleanup.h"

struct settings *settings_new(void)
{
	struct settings *settings = xcalloc(1, sizeof(*settings));

	map_init(&settings->paths);
	map_init(&settings->names);
	list_init(&settings->history);
	return settings;
}

static void setting_free(struct setting *setting)
{
	json_decref(setting->value);
	free(setting->path);
	free(setting->by);
	free(setting->view);
	free(setting);
}

static void setting_record_free(struct setting_record *record)
{
	list_remove(&record->node);
	json_decref(record->changes);
	free(record->by);
	free(record->change_id);
	free(record);
}

void settings_free(struct settings *settings)
{
	struct setting_record *record;
	struct setting_record *next_record;
	struct setting *setting;
	struct setting *next;

	if (!settings)
		return;
	map_foreach(setting, next, &settings->paths, node)
		setting_free(setting);
	map_clear(&settings->paths);
	map_clear(&settings->names);
	list_foreach_safe(record, next_record, &settings->history, node)
		setting_record_free(record);
	free(settings);
}

static bool settings_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct setting, node)->path, key);
}

struct setting *settings_find(const struct settings *settings, const char *path)
{
	struct map_node *node = map_find(&settings->paths, map_hash_text(path),
					 settings_match, path);

	return node ? container_of(node, struct setting, node) : NULL;
}

static struct setting *settings_add(struct settings *settings, const char *path)
{
	struct setting *setting = xcalloc(1, sizeof(*setting));

	setting->path = xstrdup(path);
	setting->kind = rule_kind_of(setting->path, &setting->name);
	map_insert(&settings->paths, &setting->node, map_hash_text(path));
	if (setting->kind != RULE_OTHER)
		map_insert(&settings->names, &setting->name_node,
			   rules_name_hash(setting->kind, setting->name));
	return setting;
}

static void settings_remove(struct settings *settings, struct setting *setting)
{
	map_remove(&settings->paths, &setting->node);
	if (setting->kind != RULE_OTHER)
		map_remove(&settings->names, &setting->name_node);
	setting_free(setting);
}

void settings_put(struct settings *settings, const char *path, json_t *value,
		  int64_t version, int64_t time_us, const char *by)
{
	struct setting *setting = settings_find(settings, path);

	if (!value) {
		if (setting)
			settings_remove(settings, setting);
		return;
	}
	if (!setting)
		setting = settings_add(settings, path);
	json_incref(value);
	json_decref(setting->value);
	setting->value = value;
	setting->version = version;
	setting->time_us = time_us;
	free(setting->by);
	setting->by = xstrdup(by ? by : "");
	rules_build_view(setting);
}

json_t *settings_get(const struct settings *settings, const char *path,
		     int64_t *version)
{
	struct setting *setting = settings_find(settings, path);

	if (version)
		*version = setting ? setting->version : 0;
	return setting ? setting->value : NULL;
}

size_t settings_count(const struct settings *settings)
{
	return settings->paths.count;
}

bool settings_is_below(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	if (!len)
		return true;
	if (prefix[len - 1] == '/')
		len--;
	return !strncmp(path, prefix, len) && (!path[len] || path[len] == '/');
}

static int settings_compare(const void *a, const void *b)
{
	const struct setting *const *left = a;
	const struct setting *const *right = b;

	return strcmp((*left)->path, (*right)->path);
}

/*
 * All settings at or below `prefix`, sorted by path; the caller frees the
 * array.
 */
static struct setting **settings_list_sorted(const struct settings *settings,
					     const char *prefix, size_t *n)
{
	struct setting **sorted =
		xcalloc(settings->paths.count + 1, sizeof(struct setting *));
	struct setting *setting;
	struct setting *next;

	*n = 0;
	map_foreach(setting, next, &settings->paths, node)
		if (settings_is_below(setting->path, prefix))
			sorted[(*n)++] = setting;
	qsort(sorted, *n, sizeof(*sorted), settings_compare);
	return sorted;
}

json_t *settings_list(const struct settings *settings, const char *prefix)
{
	cleanup(free_ptr) struct setting **sorted = NULL;
	json_t *list = json_object();
	size_t n;
	size_t i;

	sorted = settings_list_sorted(settings, prefix, &n);
	for (i = 0; i < n; i++)
		json_object_set_new(list, sorted[i]->path,
				    json_pack("{sO sI ss}", "value",
					      sorted[i]->value, "version",
					      (json_int_t)sorted[i]->version,
					      "by", sorted[i]->by));
	return list;
}

void settings_visit(const struct settings *settings,
		    void (*visit)(void *data, const char *path, json_t *value,
				  int64_t version),
		    void *data)
{
	struct setting *setting;
	struct setting *next;

	map_foreach(setting, next, &settings->paths, node)
		visit(data, setting->path, setting->value, setting->version);
}

/*
 * Applying a whole file is one change with thousands of items; without a limit
 * on items, the history could grow far beyond the tree itself.
 */
#define SETTINGS_HISTORY_ITEMS 16384

void settings_record(struct settings *settings,
		     const struct settings_author *author, json_t *changes)
{
	struct setting_record *record = xcalloc(1, sizeof(*record));

	record->version = author->index;
	record->time_us = author->time_us;
	record->by = xstrdup(author->by ? author->by : "");
	record->change_id = xstrdup(author->change_id);
	record->changes = changes;
	list_append(&settings->history, &record->node);
	settings->n_history++;
	settings->n_history_items += json_array_size(changes);
	while (settings->n_history > 1 &&
	       (settings->n_history > SETTINGS_HISTORY ||
		settings->n_history_items > SETTINGS_HISTORY_ITEMS)) {
		record = list_first(&settings->history, struct setting_record,
				    node);
		settings->n_history--;
		settings->n_history_items -= json_array_size(record->changes);
		setting_record_free(record);
	}
}

struct setting_record *settings_find_record(const struct settings *settings,
					    int64_t version)
{
	struct setting_record *record;

	list_foreach(record, &settings->history, node)
		if (record->version == version)
			return record;
	return NULL;
}

static json_t *setting_record_save(const struct setting_record *record)
{
	return json_pack("{sI sI ss ss* sO}", "version",
			 (json_int_t)record->version, "time_us",
			 (json_int_t)record->time_us, "by", record->by,
			 "change_id", record->change_id, "changes",
			 record->changes);
}

static bool setting_record_touches(const struct setting_record *record,
				   const char *prefix)
{
	const json_t *change;
	size_t i;

	json_array_foreach(record->changes, i, change)
		if (settings_is_below(codec_text(change, "path", ""), prefix))
			return true;
	return false;
}

json_t *settings_history(const struct settings *settings, const char *prefix,
			 size_t limit)
{
	json_t *history = json_array();
	struct list *at = settings->history.prev;

	for (; at != &settings->history; at = at->prev) {
		struct setting_record *record =
			container_of(at, struct setting_record, node);

		if (json_array_size(history) >= limit)
			break;
		if (setting_record_touches(record, prefix))
			json_array_append_new(history,
					      setting_record_save(record));
	}
	return history;
}

json_t *settings_change_paths(const struct settings *settings, int64_t version)
{
	struct setting_record *record = settings_find_record(settings, version);
	const json_t *change;
	json_t *paths;
	size_t i;

	if (!record)
		return NULL;
	paths = json_array();
	json_array_foreach(record->changes, i, change)
		json_array_append(paths, json_object_get(change, "path"));
	return paths;
}

json_t *settings_save(const struct settings *settings)
{
	cleanup(free_ptr) struct setting **sorted = NULL;
	struct setting_record *record;
	json_t *paths = json_array();
	json_t *history = json_array();
	size_t n;
	size_t i;

	sorted = settings_list_sorted(settings, "", &n);
	for (i = 0; i < n; i++)
		json_array_append_new(paths,
				      json_pack("[s O I I s]", sorted[i]->path,
						sorted[i]->value,
						(json_int_t)sorted[i]->version,
						(json_int_t)sorted[i]->time_us,
						sorted[i]->by));
	list_foreach(record, &settings->history, node)
		json_array_append_new(history, setting_record_save(record));
	return json_pack("{so so}", "paths", paths, "history", history);
}

static bool settings_load_path(struct settings *settings, json_t *saved)
{
	struct schema_fault fault;
	const char *path;
	const char *by;
	json_t *value;
	json_int_t version;
	json_int_t time_us;

	if (json_unpack(saved, "[s o I I s]", &path, &value, &version, &time_us,
			&by) < 0)
		return false;
	if (schema_check(path, value, &fault) != RESULT_OK ||
	    settings_find(settings, path))
		return false;
	settings_put(settings, path, value, version, time_us, by);
	return true;
}

static bool settings_load_record(struct settings *settings, json_t *saved)
{
	struct settings_author author = { 0 };
	json_int_t version;
	json_int_t time_us;
	json_t *changes;

	if (json_unpack(saved, "{sI sI ss s?s so}", "version", &version,
			"time_us", &time_us, "by", &author.by, "change_id",
			&author.change_id, "changes", &changes) < 0 ||
	    !json_is_array(changes))
		return false;
	author.index = version;
	author.time_us = time_us;
	settings_record(settings, &author, json_incref(changes));
	return true;
}

enum result settings_load(struct settings *settings, const json_t *saved)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(saved, "paths"), i, item)
		if (!settings_load_path(settings, item))
			return RESULT_MESSAGE_MALFORMED;
	json_array_foreach(json_object_get(saved, "history"), i, item)
		if (!settings_load_record(settings, item))
			return RESULT_MESSAGE_MALFORMED;
	return RESULT_OK;
}
