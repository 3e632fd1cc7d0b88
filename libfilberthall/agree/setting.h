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
 * Internals of the settings tree, shared by settings.c, settings_change.c,
 * rules.c and cross.c; not for other modules.
 */

/** The kind of object at a path; RULE_OTHER has no typed view. */
enum rule_kind {
	RULE_CLASS,
	RULE_ORGANISATION,
	RULE_SERVICE,
	RULE_OTHER,
	RULE_KINDS
};

/** One path that is set, with its value. */
struct setting {
	struct map_node node;	   /**< in settings.paths */
	struct map_node name_node; /**< in settings.names, if it has a typed
	                           view */
	char *path;
	json_t *value;
	int64_t version;
	int64_t time_us;
	char *by;
	enum rule_kind kind;
	const char *name; /**< last component of `path` */
	void *view;	  /**< struct class_rule etc., or NULL */
};

/**
 * One path before and after a change; a value is NULL if the path isn't set.
 */
struct setting_edit {
	struct map_node node;
	char *path;
	json_t *old_value;
	json_t *new_value;
	int64_t old_version;
	int64_t old_time_us;
	char *old_by;
};

/** An accepted change, kept for history and revert. */
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
	struct map names; /**< by kind and name; cross_check() refuses
	                  duplicates */
	struct list history;
	size_t n_history;
	size_t n_history_items;
};

/** The kind of a path; `*name` gets its last component. */
enum rule_kind rule_kind_of(const char *path, const char **name);

/** Build or rebuild the typed view after a change of the value. */
void rules_build_view(struct setting *setting);

/** Hash of a kind and name, for settings.names. */
uint64_t rules_name_hash(enum rule_kind kind, const char *name);

/** The setting of that kind and name that isn't `other`, or NULL. */
struct setting *rules_find(const struct settings *settings, enum rule_kind kind,
			   const char *name, const struct setting *other);

struct setting *settings_find(const struct settings *settings,
			      const char *path);

/** Set a path to `value` (borrowed; NULL deletes) without any check. */
void settings_put(struct settings *settings, const char *path, json_t *value,
		  int64_t version, int64_t time_us, const char *by);

/** Whether `path` is `prefix` or below it; every path is below "". */
bool settings_is_below(const char *path, const char *prefix);

/**
 * Append a record to the history and drop the oldest beyond the limits. Takes
 * ownership of `changes`.
 */
void settings_record(struct settings *settings,
		     const struct settings_author *author, json_t *changes);

/** The record of the change with that version, or NULL if not kept. */
struct setting_record *settings_find_record(const struct settings *settings,
					    int64_t version);

/**
 * Check what the schema of a single value can't: names that are in use
 * elsewhere, routes to classes that don't exist, shares whose sum is too large.
 * Checks the whole tree after `edits` have been applied.
 */
enum result cross_check(const struct settings *settings,
			const struct setting_edit *edits, size_t n,
			struct schema_fault *fault);

#endif
