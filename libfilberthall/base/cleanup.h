#ifndef FILBERTHALL_BASE_CLEANUP_H
#define FILBERTHALL_BASE_CLEANUP_H

#include <stdlib.h>

/**
 * Clean-up attributes: a variable declared with one of them is released when
 * it goes out of scope, whichever return is taken.
 *
 *	cleanup(free_ptr) char *name = xstrdup("a");
 */
#define cleanup(function) __attribute__((cleanup(function)))

static inline void free_ptr(void *ptr)
{
	free(*(void **)ptr);
}

/** Hand a pointer on and disarm its clean-up. */
#define take_ptr(ptr)                           \
	({                                      \
		__typeof__(ptr) taken_ = (ptr); \
		(ptr) = NULL;                   \
		taken_;                         \
	})

#endif
