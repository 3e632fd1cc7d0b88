#ifndef FILBERTHALL_AGREE_CODEC_H
#define FILBERTHALL_AGREE_CODEC_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/result.h"

/**
 * Conversion of JSON values to msgpack and back, for log entries, snapshots and
 * messages between daemons. Text must be UTF-8 without NUL; other strings (kept
 * answers) are encoded as msgpack's binary type.
 */

/** Append `value` to `out`. */
void codec_encode(const json_t *value, struct bytes *out);

/**
 * Decode one value that fills `len` bytes exactly.
 *
 * Returns a new value, or NULL if the bytes aren't valid: truncated, trailing
 * bytes, types outside JSON, nested too deep, or lengths beyond the end.
 */
json_t *codec_decode(const void *data, size_t len);

/**
 * Decode one of several consecutive values: the one at `*at`, which is advanced
 * past it.
 */
json_t *codec_decode_next(const void *data, size_t len, size_t *at);

/** Unsigned numbers, such as member ids, as JSON's signed integers. */
json_t *codec_uint(uint64_t value);
uint64_t codec_uint_value(const json_t *value);

/**
 * The string in a field of an object; `fallback` if missing or not a string.
 */
const char *codec_text(const json_t *object, const char *name,
		       const char *fallback);

/**
 * The integer in a field of an object; `fallback` if missing or not an integer.
 */
int64_t codec_int(const json_t *object, const char *name, int64_t fallback);

#endif
