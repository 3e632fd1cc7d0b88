#include "agree/key.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree/codec.h"
#include "agree/key_field.h"
#include "agree/rules.h"
#include "agree/schema.h"
#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/map.h"

struct key_entry {
	struct map_node by_hash;
	struct map_node by_id;
	struct key key;
	size_t bytes;
	char block[]; /**< lists and strings of `key` */
};

struct keys {
	struct map by_hash;
	struct map by_id;
	size_t bytes;
};

struct keys *keys_new(void)
{
	struct keys *keys = xcalloc(1, sizeof(*keys));

	map_init(&keys->by_hash);
	map_init(&keys->by_id);
	return keys;
}

void keys_free(struct keys *keys)
{
	struct key_entry *entry;
	struct key_entry *next;

	if (!keys)
		return;
	map_foreach(entry, next, &keys->by_id, by_id)
		free(entry);
	map_clear(&keys->by_hash);
	map_clear(&keys->by_id);
	free(keys);
}

static bool keys_match_hash(const struct map_node *node, const void *hash)
{
	const struct key_entry *entry =
		container_of(node, struct key_entry, by_hash);

	return !sodium_memcmp(entry->key.hash, hash, KEY_HASH_LEN);
}

static bool keys_match_id(const struct map_node *node, const void *id)
{
	return !strcmp(container_of(node, struct key_entry, by_id)->key.id, id);
}

static struct key_entry *keys_find_entry(const struct keys *keys,
					 const char *id)
{
	struct map_node *node =
		map_find(&keys->by_id, map_hash_text(id), keys_match_id, id);

	return node ? container_of(node, struct key_entry, by_id) : NULL;
}

const struct key *keys_find(const struct keys *keys, const char *hash)
{
	struct map_node *node;

	if (strlen(hash) != KEY_HASH_LEN)
		return NULL;
	node = map_find(&keys->by_hash, map_hash_text(hash), keys_match_hash,
			hash);
	return node ? &container_of(node, struct key_entry, by_hash)->key
		    : NULL;
}

const struct key *keys_find_id(const struct keys *keys, const char *id)
{
	struct key_entry *entry = keys_find_entry(keys, id);

	return entry ? &entry->key : NULL;
}

size_t keys_count(const struct keys *keys)
{
	return keys->by_id.count;
}

size_t keys_bytes(const struct keys *keys)
{
	return keys->bytes + (keys->by_id.n_buckets + keys->by_hash.n_buckets) *
				     sizeof(struct map_node *);
}

/*
 * Places the lists and strings of a key in one block. If `block` is NULL, it
 * only computes the size.
 */
struct key_layout {
	char *block;
	size_t used;
};

static const char *key_layout_add_text(struct key_layout *layout,
				       const char *text)
{
	size_t len = strlen(text) + 1;
	char *at = NULL;

	if (layout->block) {
		at = layout->block + layout->used;
		memcpy(at, text, len);
	}
	layout->used += len;
	return at;
}

static const char **key_layout_reserve_list(struct key_layout *layout,
					    const json_t *list)
{
	const char **at = NULL;

	if (layout->block)
		at = (const char **)(void *)(layout->block + layout->used);
	layout->used += (json_array_size(list) + 1) * sizeof(*at);
	return at;
}

static void key_layout_add_items(struct key_layout *layout, const char **at,
				 const json_t *list)
{
	const json_t *item;
	size_t i;

	json_array_foreach(list, i, item) {
		const char *text =
			key_layout_add_text(layout, json_string_value(item));

		if (at)
			at[i] = text;
	}
	if (at)
		at[json_array_size(list)] = NULL;
}

static void key_layout_build(struct key *key, struct key_layout *layout,
			     const json_t *args)
{
	const json_t *classes = json_object_get(args, "classes");
	const json_t *models = json_object_get(args, "models");
	const json_t *services = json_object_get(args, "services");

	key->classes = key_layout_reserve_list(layout, classes);
	key->models = key_layout_reserve_list(layout, models);
	key->services = key_layout_reserve_list(layout, services);
	key_layout_add_items(layout, key->classes, classes);
	key_layout_add_items(layout, key->models, models);
	key_layout_add_items(layout, key->services, services);
	key->id = key_layout_add_text(layout, codec_text(args, "id", ""));
	key->hash = key_layout_add_text(layout, codec_text(args, "hash", ""));
	key->organisation =
		key_layout_add_text(layout,
				    codec_text(args, "organisation", ""));
	key->default_class =
		key_layout_add_text(layout,
				    codec_text(args, "default_class", ""));
	key->subtree =
		key_layout_add_text(layout, codec_text(args, "subtree", ""));
}

static void keys_add(struct keys *keys, const json_t *args, int64_t index)
{
	struct key_layout layout = { 0 };
	struct key_entry *entry;
	struct key measure;

	key_layout_build(&measure, &layout, args);
	entry = xcalloc(1, sizeof(*entry) + layout.used);
	entry->bytes = sizeof(*entry) + layout.used;
	layout = (struct key_layout){ .block = entry->block };
	key_layout_build(&entry->key, &layout, args);
	entry->key.operates = json_is_true(json_object_get(args, "operates"));
	entry->key.caller = json_is_true(json_object_get(args, "caller")) ||
			    !entry->key.operates;
	entry->key.max_concurrent = codec_int(args, "max_concurrent", 0);
	entry->key.requests_per_min = codec_int(args, "requests_per_min", 0);
	entry->key.version = index;
	map_insert(&keys->by_hash, &entry->by_hash,
		   map_hash_text(entry->key.hash));
	map_insert(&keys->by_id, &entry->by_id, map_hash_text(entry->key.id));
	keys->bytes += entry->bytes;
}

static void keys_remove(struct keys *keys, struct key_entry *entry)
{
	map_remove(&keys->by_hash, &entry->by_hash);
	map_remove(&keys->by_id, &entry->by_id);
	keys->bytes -= entry->bytes;
	free(entry);
}

enum result keys_grant(struct keys *keys, const json_t *args, int64_t index,
		       const struct error_handler *handler)
{
	enum result code = key_check_fields(args, handler);

	if (code == RESULT_OK)
		code = key_check_identity(args, handler);
	if (code != RESULT_OK)
		return code;
	if (keys_find_id(keys, codec_text(args, "id", "")))
		return error_report(handler, RESULT_CONFLICT,
				    "key: id \"%s\" is already in use",
				    codec_text(args, "id", ""));
	if (keys_find(keys, codec_text(args, "hash", "")))
		return error_report(handler, RESULT_CONFLICT,
				    "key: this secret is already in use");
	keys_add(keys, args, index);
	return RESULT_OK;
}

static json_t *key_list_to_json(const char **list)
{
	json_t *items = json_array();

	for (; *list; list++)
		json_array_append_new(items, json_string(*list));
	return items;
}

json_t *key_describe(const struct key *key)
{
	return json_pack("{ss ss ss ss sb sb so so so sI sI sI}", "id", key->id,
			 "organisation", key->organisation, "default_class",
			 key->default_class, "subtree", key->subtree, "caller",
			 key->caller, "operates", key->operates, "classes",
			 key_list_to_json(key->classes), "models",
			 key_list_to_json(key->models), "services",
			 key_list_to_json(key->services), "max_concurrent",
			 (json_int_t)key->max_concurrent, "requests_per_min",
			 (json_int_t)key->requests_per_min, "version",
			 (json_int_t)key->version);
}

/* All fields of a key, in the format of keys_grant(). */
static json_t *key_to_json(const struct key *key)
{
	json_t *full = key_describe(key);

	json_object_del(full, "version");
	json_object_set_new(full, "hash", json_string(key->hash));
	return full;
}

enum result keys_limit(struct keys *keys, const json_t *args, int64_t index,
		       const struct error_handler *handler)
{
	struct key_entry *entry =
		keys_find_entry(keys, codec_text(args, "id", ""));
	enum result code = key_check_fields(args, handler);
	json_t *full;

	if (code != RESULT_OK)
		return code;
	if (!entry)
		return error_report(handler, RESULT_NOT_FOUND,
				    "key: there is no \"%s\"",
				    codec_text(args, "id", ""));
	if (json_object_get(args, "hash"))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "key: hash can't be changed");
	full = key_to_json(&entry->key);
	json_object_update(full, (json_t *)args);
	keys_remove(keys, entry);
	keys_add(keys, full, index);
	json_decref(full);
	return RESULT_OK;
}

enum result keys_withdraw(struct keys *keys, const char *id)
{
	struct key_entry *entry = keys_find_entry(keys, id);

	if (!entry)
		return RESULT_NOT_FOUND;
	keys_remove(keys, entry);
	return RESULT_OK;
}

/* Whether a list permits a name; an empty list permits all. */
static bool key_list_permits(const char **list, const char *name)
{
	if (!*list)
		return true;
	for (; *list; list++)
		if (!strcmp(*list, name))
			return true;
	return false;
}

enum result key_permits(const struct key *key, const struct settings *settings,
			const char *class_name, const char *model,
			const char *service)
{
	const struct organisation_rule *organisation;
	const struct class_rule *rule;

	organisation = rules_organisation(settings, key->organisation);
	if (!key->caller || !organisation)
		return RESULT_KEY_UNKNOWN;
	if (class_name) {
		rule = rules_class(settings, class_name);
		if (!rule || strcmp(rule->team, organisation->team) != 0 ||
		    !key_list_permits(key->classes, class_name))
			return RESULT_CLASS_FORBIDDEN;
	}
	if (model && !key_list_permits(key->models, model))
		return RESULT_MODEL_FORBIDDEN;
	if (service && !key_list_permits(key->services, service))
		return RESULT_SERVICE_FORBIDDEN;
	return RESULT_OK;
}

static bool key_path_is_below(const char *path, const char *subtree)
{
	size_t len = strlen(subtree);

	while (len && subtree[len - 1] == '/')
		len--;
	if (!len)
		return true;
	return !strncmp(path, subtree, len) && (!path[len] || path[len] == '/');
}

enum result key_covers_path(const struct key *key, const char *path)
{
	if (!key->operates || !key_path_is_below(path, key->subtree))
		return RESULT_PATH_FORBIDDEN;
	return RESULT_OK;
}

static int key_fill_list(char out[RULE_SCOPES][RULE_NAME_SIZE],
			 const char **list)
{
	int n = 0;

	for (; list[n] && n < RULE_SCOPES; n++)
		snprintf(out[n], RULE_NAME_SIZE, "%s", list[n]);
	return n;
}

void key_fill_rule(const struct key *key, struct key_rule *rule)
{
	memset(rule, 0, sizeof(*rule));
	snprintf(rule->id, sizeof(rule->id), "%s", key->id);
	snprintf(rule->hash, sizeof(rule->hash), "%s", key->hash);
	snprintf(rule->organisation, sizeof(rule->organisation), "%s",
		 key->organisation);
	snprintf(rule->default_class, sizeof(rule->default_class), "%s",
		 key->default_class);
	snprintf(rule->subtree, sizeof(rule->subtree), "%s", key->subtree);
	rule->caller = key->caller;
	rule->operates = key->operates;
	rule->n_classes = key_fill_list(rule->classes, key->classes);
	rule->n_models = key_fill_list(rule->models, key->models);
	rule->n_services = key_fill_list(rule->services, key->services);
	rule->max_concurrent = key->max_concurrent;
	rule->requests_per_min = key->requests_per_min;
}

void keys_visit(const struct keys *keys,
		void (*visit)(void *data, const struct key *key), void *data)
{
	const struct key_entry *entry;
	const struct key_entry *next;

	map_foreach(entry, next, &keys->by_id, by_id)
		visit(data, &entry->key);
}

json_t *keys_save(const struct keys *keys)
{
	const struct key_entry *entry;
	const struct key_entry *next;
	json_t *saved = json_array();

	map_foreach(entry, next, &keys->by_id, by_id)
		json_array_append_new(saved,
				      json_pack("[I o]",
						(json_int_t)entry->key.version,
						key_to_json(&entry->key)));
	return saved;
}

enum result keys_load(struct keys *keys, const json_t *saved)
{
	json_t *item;
	size_t i;

	json_array_foreach(saved, i, item) {
		json_int_t version;
		json_t *full;

		if (json_unpack(item, "[I o]", &version, &full) < 0 ||
		    !json_is_object(full) ||
		    keys_grant(keys, full, version, NULL) != RESULT_OK)
			return RESULT_MESSAGE_MALFORMED;
	}
	return RESULT_OK;
}
