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
 * "team/calves/class/lodgement", one subtree a team. Part of the agreed
 * state: it changes only by entries of the log, so all daemons hold the same
 * tree at the same index.
 *
 * Failures answered: two operators who change the same number at once (the
 * version of a path is the log index of its last change, never used twice, so
 * compare-and-set lets exactly one win); an operator who sends again after a
 * lost answer (change ids, agree/change.h); a bad value (agree/schema.h, the
 * whole change is refused); a change that turns out wrong (revert).
 *
 * History is kept for SETTINGS_HISTORY changes: at 4,300 changes a day that
 * is about three hours, enough to undo a mistake that was noticed, and small
 * enough for a diskless daemon's memory.
 */
#define SETTINGS_HISTORY 512

struct settings;

/** One path to be set; a NULL value deletes it. */
struct settings_item {
	const char *path; /**< whole path, or path/FIELD for one field */
	json_t *value;	  /**< borrowed */
	int64_t version;  /**< expected; SETTINGS_ANY for no comparison */
};

#define SETTINGS_ANY (-1)

/** Who changes the tree, when, and where in the log. */
struct settings_author {
	int64_t index;	       /**< log index: the new version */
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
 * All paths at or below `prefix` ("" for the whole tree), as a new object
 * {"PATH": {"value": ..., "version": N, "by": ...}} in order of path.
 */
json_t *settings_list(const struct settings *settings, const char *prefix);

/** Number of paths set. */
size_t settings_count(const struct settings *settings);

/**
 * Change several paths, all or none.
 *
 * Returns RESULT_OK; RESULT_CONFLICT if a version differs, with a message
 * and in `answer` both values; RESULT_SETTING_UNKNOWN, RESULT_SETTING_VALUE
 * or RESULT_NOT_FOUND with a message that names path, field, reason and what
 * is allowed. `answer` (a JSON object) gets "version" and "paths" on success.
 */
enum result settings_change(struct settings *settings,
			    const struct settings_item *items, size_t n,
			    const struct settings_author *author,
			    json_t *answer,
			    const struct error_handler *handler);

/**
 * The same for an object of path to value, null to delete. `versions` (may
 * be NULL) is an object of path to expected version.
 */
enum result settings_change_values(struct settings *settings,
				   const json_t *values, const json_t *versions,
				   const struct settings_author *author,
				   json_t *answer,
				   const struct error_handler *handler);

/**
 * Put back what the change with that version replaced. Results as
 * settings_change(); RESULT_NOT_FOUND if history no longer holds it,
 * RESULT_CONFLICT if one of its paths was changed since.
 */
enum result settings_revert(struct settings *settings, int64_t version,
			    const struct settings_author *author,
			    json_t *answer,
			    const struct error_handler *handler);

/** Paths a kept change touched, as a new array, or NULL if not kept. */
json_t *settings_change_paths(const struct settings *settings, int64_t version);

/**
 * What setting `values` (object of path to value, null to delete) would
 * change, as a new array of {"path", "old", "new"}.
 */
json_t *settings_diff(const struct settings *settings, const json_t *values);

/**
 * The last `limit` changes that touched a path at or below `prefix`, newest
 * first, as a new array of {"version", "time_us", "by", "change_id",
 * "changes": [{"path", "old", "new"}]}.
 */
json_t *settings_history(const struct settings *settings, const char *prefix,
			 size_t limit);

/** Call `visit` for each path under "team/" or "site/", in order of set. */
void settings_visit(const struct settings *settings,
		    void (*visit)(void *data, const char *path, json_t *value,
				  int64_t version),
		    void *data);

/** The whole state as JSON, for a snapshot; and back. */
json_t *settings_save(const struct settings *settings);
enum result settings_load(struct settings *settings, const json_t *saved);

#endif
