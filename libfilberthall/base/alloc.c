#include "base/alloc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *alloc_require(void *ptr)
{
	if (!ptr)
		abort();
	return ptr;
}

void *xcalloc(size_t count, size_t size)
{
	return alloc_require(calloc(count ? count : 1, size ? size : 1));
}

void *xrealloc(void *ptr, size_t size)
{
	return alloc_require(realloc(ptr, size ? size : 1));
}

char *xstrdup(const char *text)
{
	if (!text)
		return NULL;
	return alloc_require(strdup(text));
}

char *xmemdup(const void *data, size_t len)
{
	char *copy = xcalloc(len + 1, 1);

	if (len)
		memcpy(copy, data, len);
	return copy;
}

char *xstrfmt(const char *format, ...)
{
	va_list args;
	char *text = NULL;
	int len;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	if (len < 0)
		abort();
	return text;
}
