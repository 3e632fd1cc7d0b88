#ifndef FILBERTHALL_AGREE_SETTINGS_H
#define FILBERTHALL_AGREE_SETTINGS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/error.h"
#include "base/result.h"

/**
 * The settings tree: JSON objects under paths such as
 * "team/calves/class/lodgement", with one subtree per team. Part of the agreed
 * state: it changes only by log entries, so all daemons have the same tree at
 * the same index.
 *
 * Failures handled: two operators change the same value at once (the version of
 * a path is the log index of its last change and never reused, so
 * compare-and-set lets exactly one succeed); an operator sends a command again
 * after a lost answer (change ids, agree/apply.h); an invalid value
 * (agree/schema.h, the whole change is refused); a change that turns out to be
 * wrong (revert).
 *
 * The history keeps SETTINGS_HISTORY changes: at 4,300 changes a day that is
 * about three hours, enough to undo a mistake that was noticed, and small
 * enough for the memory of a daemon without a disk.
 */
#define SETTINGS_HISTORY 512

struct settings;

/** One path to be set, or deleted if `value` is NULL. */
struct settings_item {
	const char *path; /**< path of an object, or path/FIELD for one field */
	json_t *value;	  /**< borrowed */
	int64_t version; /**< expected version; SETTINGS_ANY_VERSION accepts any */
};

#define SETTINGS_ANY_VERSION (-1)

/** Author, time and log index of a change. */
struct settings_author {
	int64_t index;	       /**< log index, which is the new version */
	int64_t time_us;       /**< log time */
	const char *by;	       /**< key id of the operator */
	const char *change_id; /**< or NULL */
};

struct settings *settings_new(void);
void settings_free(struct settings *settings);

/**
 * The value at a path, borrowed, or NULL. `version` (may be NULL) gets the
 * version, 0 if the path isn't set.
 */
json_t *settings_get(const struct settings *settings, const char *path,
		     int64_t *version);

/**
 * All paths at or below `prefix` ("" for the whole tree), sorted, as a new
 * object {"PATH": {"value": ..., "version": N, "by": ...}}.
 */
json_t *settings_list(const struct settings *settings, const char *prefix);

/** Number of paths that are set. */
size_t settings_count(const struct settings *settings);

/**
 * Change several paths atomically.
 *
 * Returns RESULT_OK; RESULT_CONFLICT if a version differs, with a message, and
 * with both values in `answer`; RESULT_SETTING_UNKNOWN, RESULT_SETTING_VALUE or
 * RESULT_NOT_FOUND with a message that names path, field, reason and what is
 * allowed. `answer` (a JSON object) gets "version" and "paths" on success.
 */
enum result settings_change(struct settings *settings,
			    const struct settings_item *items, size_t n,
			    const struct settings_author *author,
			    json_t *answer,
			    const struct error_handler *handler);

/**
 * The same for an object that maps paths to values, null to delete. `versions`
 * (may be NULL) maps paths to expected versions.
 */
enum result settings_change_values(struct settings *settings,
				   const json_t *values, const json_t *versions,
				   const struct settings_author *author,
				   json_t *answer,
				   const struct error_handler *handler);

/**
 * Undo the change with that version. Results as for settings_change();
 * RESULT_NOT_FOUND if the history no longer has it, RESULT_CONFLICT if one of
 * its paths was changed since.
 */
enum result settings_revert(struct settings *settings, int64_t version,
			    const struct settings_author *author,
			    json_t *answer,
			    const struct error_handler *handler);

/**
 * Paths that a change in the history touched, as a new array, or NULL if it is
 * not kept.
 */
json_t *settings_change_paths(const struct settings *settings, int64_t version);

/**
 * The differences that setting `values` (an object of path to value, null to
 * delete) would make, as a new array of {"path", "old", "new"}.
 */
json_t *settings_diff(const struct settings *settings, const json_t *values);

/**
 * The last `limit` changes that touched a path at or below `prefix`, newest
 * first, as a new array of {"version", "time_us", "by", "change_id",
 * "changes": [{"path", "old", "new"}]}.
 */
json_t *settings_history(const struct settings *settings, const char *prefix,
			 size_t limit);

/** Call `visit` for each path, in the order in which they were set. */
void settings_visit(const struct settings *settings,
		    void (*visit)(void *data, const char *path, json_t *value,
				  int64_t version),
		    void *data);

/** Convert the whole state to JSON, for a snapshot, and load it again. */
json_t *settings_save(const struct settings *settings);
enum result settings_load(struct settings *settings, const json_t *saved);

#endif
