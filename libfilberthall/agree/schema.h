#ifndef FILBERTHALL_AGREE_SCHEMA_H
#define FILBERTHALL_AGREE_SCHEMA_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/error.h"
#include "base/result.h"

/**
 * The schema of the settings tree. One table defines it: a row for each kind of
 * path, and a row for each field with its type, range and default. The same
 * check runs before a change is accepted and offline (`filberthall check
 * FILE`), so a file that passes offline is refused later only because of the
 * other settings in the tree.
 */

/** Describes an invalid value. */
struct schema_fault {
	enum result code;
	char path[256];
	char field[128];   /**< empty if the path itself is invalid */
	char reason[256];  /**< such as "is 7" */
	char allowed[512]; /**< such as "a whole number from 0 to 3" */
};

/**
 * Check a value against the schema of its path.
 *
 * Returns RESULT_OK, RESULT_SETTING_UNKNOWN (no such path or field) or
 * RESULT_SETTING_VALUE, and fills `fault`.
 */
enum result schema_check(const char *path, const json_t *value,
			 struct schema_fault *fault);

/** Format a fault as one line: "PATH: FIELD REASON; allowed: ...". */
void schema_fault_format(const struct schema_fault *fault, char *text,
			 size_t size);

/**
 * Length of the part of `path` that names a settings object; the rest names a
 * field. 0 if no such path exists.
 */
size_t schema_object_length(const char *path);

/** Whether `path` is a prefix of some object's path. */
bool schema_is_prefix(const char *path);

/** Default value of a field, by the object's path and the field's name. */
double schema_default(const char *path, const char *field);

/** The table as Markdown, for docs/SETTINGS.md. The caller frees it. */
char *schema_describe(void);

#endif
