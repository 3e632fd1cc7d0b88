#ifndef FILBERTHALL_AGREE_CODEC_H
#define FILBERTHALL_AGREE_CODEC_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/result.h"

/**
 * JSON values as msgpack and back, for log entries, snapshots and messages
 * between daemons. Text must be UTF-8 without NUL; strings that aren't (kept
 * answers) travel as msgpack's binary type.
 */

/** Append `value` to `out`. */
void codec_encode(const json_t *value, struct bytes *out);

/**
 * Read one value that fills `len` bytes exactly.
 *
 * Returns a new value, or NULL if the bytes aren't one: cut off, trailing
 * bytes, types outside JSON, nested too deep, or lengths beyond the end.
 */
json_t *codec_decode(const void *data, size_t len);

/**
 * The same for one of several values that stand one behind the other: reads
 * the one at `*at`, which is moved behind it.
 */
json_t *codec_decode_next(const void *data, size_t len, size_t *at);

/** Member ids and fencing numbers, unsigned, as JSON's signed numbers. */
json_t *codec_uint(uint64_t value);
uint64_t codec_uint_value(const json_t *value);

/** Text of a field of an object, or `fallback` if missing or no text. */
const char *codec_text(const json_t *object, const char *name,
		       const char *fallback);

/** Whole number of a field of an object, or `fallback`. */
int64_t codec_int(const json_t *object, const char *name, int64_t fallback);

#endif
