#include "base/bytes.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

#define BYTES_FIRST_CAPACITY 64

void bytes_reserve(struct bytes *bytes, size_t extra)
{
	size_t want = bytes->len + extra + 1;

	if (bytes->data && want <= bytes->capacity)
		return;
	if (want < 2 * bytes->capacity)
		want = 2 * bytes->capacity;
	if (want < BYTES_FIRST_CAPACITY)
		want = BYTES_FIRST_CAPACITY;
	bytes->data = xrealloc(bytes->data, want);
	bytes->capacity = want;
}

void bytes_append(struct bytes *bytes, const void *data, size_t len)
{
	bytes_reserve(bytes, len);
	if (len)
		memcpy(bytes->data + bytes->len, data, len);
	bytes->len += len;
	bytes->data[bytes->len] = '\0';
}

void bytes_append_text(struct bytes *bytes, const char *text)
{
	bytes_append(bytes, text, strlen(text));
}

void bytes_append_format(struct bytes *bytes, const char *format, ...)
{
	va_list args;
	char *text = NULL;
	int len;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	if (len < 0)
		abort();
	bytes_append(bytes, text, len);
	free(text);
}

void bytes_consume(struct bytes *bytes, size_t len)
{
	if (len >= bytes->len) {
		bytes->len = 0;
		return;
	}
	memmove(bytes->data, bytes->data + len, bytes->len - len);
	bytes->len -= len;
	bytes->data[bytes->len] = '\0';
}

const char *bytes_text(struct bytes *bytes)
{
	bytes_reserve(bytes, 0);
	bytes->data[bytes->len] = '\0';
	return bytes->data;
}

bool bytes_equal(const struct bytes *a, const struct bytes *b)
{
	return a->len == b->len &&
	       (!a->len || !memcmp(a->data, b->data, a->len));
}

struct bytes bytes_copy(const struct bytes *from)
{
	struct bytes copy = { 0 };

	if (from->len)
		bytes_append(&copy, from->data, from->len);
	return copy;
}

void bytes_clear(struct bytes *bytes)
{
	free(bytes->data);
	memset(bytes, 0, sizeof(*bytes));
}
