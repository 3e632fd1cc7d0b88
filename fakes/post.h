#ifndef FAKES_POST_H
#define FAKES_POST_H

#include <stdint.h>

#include "fakes/loop.h"

/**
 * One-off POSTs of JSON that never block the stand-in's thread: a daemon that
 * hangs must not stop the streams of the engine that reports to it.
 */

/** `status` is the HTTP status, or 0 if no answer came in time. */
typedef void (*post_done_fn)(void *data, int status);

struct post_pool {
	struct loop *loop;
	struct list posts;
};

void post_pool_init(struct post_pool *pool, struct loop *loop);

/** Drop what is under way, without calling back. */
void post_pool_clear(struct post_pool *pool);

/**
 * POST `json` to `path` at `address` (IP:port). `done` (or NULL) is called
 * once, never before this returns.
 */
void post_send(struct post_pool *pool, const char *address, const char *path,
	       const char *json, post_done_fn done, void *data);

#endif
