#ifndef FILBERTHALL_CORE_SPAN_H
#define FILBERTHALL_CORE_SPAN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"
#include "base/rng.h"
#include "core/effect.h"

/** A finished span to write. The strings aren't copied or freed. */
struct span_info {
	uint64_t id;	   /**< request */
	const char *trace; /**< traceparent of the edge's span */
	const char *name;
	int64_t start_us;
	int64_t end_us;
	enum result code;
	const char *detail; /**< or NULL */
};

/** Add the edge's span, the root of a request's spans on this VM. */
void span_root(struct effects *effects, const struct span_info *info);

/** Add a child of the edge's span, with an id drawn from `rng`. */
void span_child(struct effects *effects, struct rng *rng,
		const struct span_info *info);

#endif
