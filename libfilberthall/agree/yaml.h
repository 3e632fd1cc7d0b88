#ifndef FILBERTHALL_AGREE_YAML_H
#define FILBERTHALL_AGREE_YAML_H

#include <jansson.h>
#include <stddef.h>

#include "base/error.h"
#include "base/result.h"

/**
 * Conversion of settings in YAML (base/yaml.h) to JSON values. Duplicate keys
 * are an error, since one of the two would be lost silently.
 */

/**
 * Read a file of settings, a tree such as
 *
 *	team: {calves: {class: {lodgement: {tier: 0}}}}
 *
 * into `values`, an object of path to value (null deletes the path), and check
 * each value against its schema. `name` is the file name for messages.
 *
 * Returns RESULT_OK and a new object; otherwise RESULT_SETTING_SYNTAX,
 * RESULT_SETTING_UNKNOWN or RESULT_SETTING_VALUE. Each fault is reported to
 * `handler` as "NAME:LINE:COLUMN: PATH: FIELD REASON; allowed: ...".
 */
enum result yaml_read_settings(const char *name, const char *text, size_t len,
			       json_t **values,
			       const struct error_handler *handler);

/**
 * Check a file as the whole tree of a new site: like yaml_read_settings(), and
 * also the values against each other.
 */
enum result yaml_check_settings(const char *name, const char *text, size_t len,
				const struct error_handler *handler);

/**
 * Convert any YAML text, such as a value on the command line, to JSON. Syntax
 * errors are reported as "NAME:LINE:COLUMN: message".
 */
enum result yaml_read(const char *name, const char *text, size_t len,
		      json_t **value, const struct error_handler *handler);

#endif
