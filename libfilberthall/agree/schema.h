#ifndef FILBERTHALL_AGREE_SCHEMA_H
#define FILBERTHALL_AGREE_SCHEMA_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"
#include "base/result.h"

/**
 * What may stand at which path of the settings tree. One table says it: a
 * row for each kind of path, a row for each field with its type, bounds and
 * default. The same check runs before a change is accepted and offline
 * (`filberthall check FILE`), so a file that passes there is refused later
 * only for what the running tree adds.
 */

/** What is wrong with a value. All text is borrowed until the next call. */
struct schema_fault {
	enum result code;
	char path[256];
	char field[128];   /**< empty if the path itself is at fault */
	char reason[256];  /**< such as "is 7" */
	char allowed[512]; /**< such as "a whole number from 0 to 3" */
};

/**
 * Check one path and its value.
 *
 * Returns RESULT_OK, RESULT_SETTING_UNKNOWN (no such path or field) or
 * RESULT_SETTING_VALUE, and fills `fault`.
 */
enum result schema_check(const char *path, const json_t *value,
			 struct schema_fault *fault);

/** A fault as one line for people: "PATH: FIELD REASON; allowed: ...". */
void schema_fault_format(const struct schema_fault *fault, char *text,
			 size_t size);

/**
 * Length of the part of `path` that names a settings object; what follows is
 * a field. 0 if no such path exists.
 */
size_t schema_object_length(const char *path);

/** Whether a longer path that begins with `path` can be an object's. */
bool schema_is_prefix(const char *path);

/** Default of a field as in the table; a row's object path and field. */
double schema_default(const char *path, const char *field);

/** The table as Markdown, for docs/SETTINGS.md. New string, to be freed. */
char *schema_describe(void);

#endif
