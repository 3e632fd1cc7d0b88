#ifndef FILBERTHALL_AGREE_KEY_FIELD_H
#define FILBERTHALL_AGREE_KEY_FIELD_H

#include <jansson.h>

#include "base/error.h"
#include "base/result.h"

/** Validation of a key's JSON fields, as passed to keys_grant(). */

#define KEY_HASH_LEN 64

/**
 * Check that each field is known and has the right type. Returns RESULT_OK, or
 * RESULT_BAD_REQUEST with a message that names the field.
 */
enum result key_check_fields(const json_t *args,
			     const struct error_handler *handler);

/** Check "id" and "hash", which a new key must have. */
enum result key_check_identity(const json_t *args,
			       const struct error_handler *handler);

#endif
