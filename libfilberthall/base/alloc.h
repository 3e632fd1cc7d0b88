#ifndef FILBERTHALL_BASE_ALLOC_H
#define FILBERTHALL_BASE_ALLOC_H

#include <stddef.h>

/**
 * Allocation that never returns NULL. A router that can't get a few bytes
 * can't keep any promise about what it has said, so it aborts; the other VMs
 * take over as for any crash.
 */

/** Zeroed memory of `size` bytes. */
void *xcalloc(size_t count, size_t size);

/** Grow or shrink `ptr` to `size` bytes. */
void *xrealloc(void *ptr, size_t size);

/** A copy of `text`; NULL stays NULL. */
char *xstrdup(const char *text);

/** A copy of `len` bytes of `data` with a NUL after them. */
char *xmemdup(const void *data, size_t len);

/** A formatted string, to be freed by the caller. */
char *xstrfmt(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
