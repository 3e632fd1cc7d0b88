#ifndef FILBERTHALL_BASE_BYTES_H
#define FILBERTHALL_BASE_BYTES_H

#include <stdbool.h>
#include <stddef.h>

/** A growable byte string that owns its memory; zeroed is empty. */
struct bytes {
	char *data;
	size_t len;
	size_t capacity;
};

/** Make room for `extra` bytes more. */
void bytes_reserve(struct bytes *bytes, size_t extra);

/** Append `len` bytes. */
void bytes_append(struct bytes *bytes, const void *data, size_t len);

/** Append a NUL-terminated string without its NUL. */
void bytes_append_text(struct bytes *bytes, const char *text);

/** Append formatted text. */
void bytes_append_format(struct bytes *bytes, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/** Drop the first `len` bytes. */
void bytes_consume(struct bytes *bytes, size_t len);

/** The content as a C string; a NUL stands behind it. */
const char *bytes_text(struct bytes *bytes);

/** Whether both hold the same bytes. */
bool bytes_equal(const struct bytes *a, const struct bytes *b);

/** A copy that owns its memory. */
struct bytes bytes_copy(const struct bytes *from);

/** Free the memory; the string is empty afterwards and may be used again. */
void bytes_clear(struct bytes *bytes);

#endif
