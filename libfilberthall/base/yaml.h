#ifndef FILBERTHALL_BASE_YAML_H
#define FILBERTHALL_BASE_YAML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "base/list.h"
#include "base/result.h"

/**
 * A YAML document as a tree that remembers where each value stood, so that a
 * reader can name file, line and key of whatever it refuses. The parsing is
 * libfyaml's.
 */
enum yaml_kind { YAML_SCALAR, YAML_LIST, YAML_MAP };

struct yaml {
	struct list node; /**< among the children of its parent */
	enum yaml_kind kind;
	char *key;   /**< within a map, else NULL */
	char *text;  /**< of a scalar */
	bool quoted; /**< the scalar stood in quotes: it is a string */
	int line;    /**< from 1 */
	int column;  /**< from 1 */
	struct list children;
};

/** Visit the children of a map or list. */
#define yaml_foreach(child, parent) \
	list_foreach(child, &(parent)->children, node)

/**
 * Parse `len` bytes. `name` stands for the file in messages.
 *
 * Returns RESULT_OK and a tree to be freed with yaml_free(), or
 * RESULT_SETTING_SYNTAX with a message "NAME:LINE:COLUMN: ..." to `handler`.
 */
enum result yaml_parse(struct yaml **root, const char *name, const char *text,
		       size_t len, const struct error_handler *handler);

void yaml_free(struct yaml *yaml);

/** For the cleanup attribute. */
void yaml_cleanup(struct yaml **yaml);

/** The child of a map with that key, or NULL. */
const struct yaml *yaml_get(const struct yaml *map, const char *key);

/** Read a scalar as a whole number; false if it isn't one. */
bool yaml_int(const struct yaml *yaml, int64_t *value);

/** Read a scalar as a number; false if it isn't one. */
bool yaml_real(const struct yaml *yaml, double *value);

/** Read a scalar as true or false; false if it is neither. */
bool yaml_bool(const struct yaml *yaml, bool *value);

#endif
