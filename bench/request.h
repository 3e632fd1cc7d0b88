#ifndef BENCH_REQUEST_H
#define BENCH_REQUEST_H

#include <stddef.h>

#include "base/bytes.h"
#include "base/rng.h"
#include "bench/answer.h"
#include "bench/profile.h"

/** A request as it goes out. */
struct request_text {
	struct bytes bytes; /**< whole; the receiver frees it */
	const char *body;   /**< within these */
	size_t body_len;
	enum answer_kind kind;
};

/**
 * Write a request of a class: no two have the same body or Idempotency-Key,
 * and as many share a prompt's beginning as the class says. `key` may be
 * NULL.
 */
void request_write(struct request_text *text, const struct profile_class *class,
		   const char *key, struct rng *rng);

#endif
