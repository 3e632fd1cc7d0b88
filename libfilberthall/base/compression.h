#ifndef FILBERTHALL_BASE_COMPRESSION_H
#define FILBERTHALL_BASE_COMPRESSION_H

#include <stdbool.h>
#include <stddef.h>

#include "base/bytes.h"

/** Bytes in zlib's format, for large messages on slow links. */

/** Append `data` compressed. */
void compression_pack(struct bytes *out, const char *data, size_t len);

/**
 * Append what was packed; `unpacked` is its length.
 *
 * @return false, with `out` as it was, if `data` is malformed or of another
 *	   length
 */
bool compression_unpack(struct bytes *out, const char *data, size_t len,
			size_t unpacked);

#endif
