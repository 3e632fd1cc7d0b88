#ifndef FILBERTHALL_AGREE_SETTING_H
#define FILBERTHALL_AGREE_SETTING_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "agree/schema.h"
#include "agree/settings.h"
#include "base/list.h"
#include "base/map.h"
#include "core/rule.h"

/**
 * Inside of the settings tree, shared by settings.c, rules.c and cross.c;
 * no one else includes it.
 */

/** What a path holds; RULE_OTHER has no typed view. */
enum rule_kind {
	RULE_CLASS,
	RULE_ORGANISATION,
	RULE_SERVICE,
	RULE_OTHER,
	RULE_KINDS
};

/** One path that is set. */
struct setting {
	struct map_node node;	   /**< in settings.paths */
	struct map_node name_node; /**< in settings.names, if it has a view */
	char *path;
	json_t *value;
	int64_t version;
	int64_t time_us;
	char *by;
	enum rule_kind kind;
	const char *name; /**< last part of the path */
	void *view;	  /**< struct class_rule etc., or NULL */
};

/** One path before and after a change; NULL where it wasn't set. */
struct setting_edit {
	struct map_node node;
	char *path;
	json_t *old_value;
	json_t *new_value;
	int64_t old_version;
	int64_t old_time_us;
	char *old_by;
};

/** A change that was accepted, for history and revert. */
struct setting_record {
	struct list node;
	int64_t version;
	int64_t time_us;
	char *by;
	char *change_id; /**< or NULL */
	json_t *changes; /**< [{"path", "old", "new"}] */
};

struct settings {
	struct map paths;
	struct map names; /**< by kind and name; a clash is refused later */
	struct list history;
	size_t n_history;
	size_t n_history_items;
};

/** Kind of a path, and its last part. */
enum rule_kind rule_kind_of(const char *path, const char **name);

/** Build or rebuild the typed view after the value was set. */
void rules_build_view(struct setting *setting);

/** Hash of a kind and name, as in settings.names. */
uint64_t rules_name_hash(enum rule_kind kind, const char *name);

/** The setting of that kind and name that isn't `other`, or NULL. */
struct setting *rules_find(const struct settings *settings, enum rule_kind kind,
			   const char *name, const struct setting *other);

struct setting *settings_find(const struct settings *settings,
			      const char *path);

/**
 * Set a path to `value` (borrowed; NULL deletes), whatever the schema says.
 */
void settings_put(struct settings *settings, const char *path, json_t *value,
		  int64_t version, int64_t time_us, const char *by);

/** Whether `path` is `prefix` or lies below it; "" holds everything. */
bool settings_is_below(const char *path, const char *prefix);

/** Append a record to history and drop what is too old. Takes `changes`. */
void settings_record(struct settings *settings,
		     const struct settings_author *author, json_t *changes);

/** The kept record of a version, or NULL. */
struct setting_record *settings_find_record(const struct settings *settings,
					    int64_t version);

/**
 * What the schema of one value can't see: names that are taken elsewhere,
 * routes to classes that don't exist, shares that add up to too much. Checks
 * the whole tree, with `edits` already made.
 */
enum result cross_check(const struct settings *settings,
			const struct setting_edit *edits, size_t n,
			struct schema_fault *fault);

#endif
