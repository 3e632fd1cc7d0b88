#include "core/span.h"

#include <string.h>

#include "base/alloc.h"

/* Fields of a traceparent: "00-", 32 hex digits, "-", 16 hex digits, "-01". */
#define SPAN_TRACE_LENGTH 55
#define SPAN_ID_AT 36
#define SPAN_ID_LENGTH 16

/* The edge replaces a missing or invalid traceparent of the caller. */
static bool span_has_trace(const struct span_info *info)
{
	return info->trace && strlen(info->trace) == SPAN_TRACE_LENGTH;
}

static struct effect_span *span_add(struct effects *effects,
				    const struct span_info *info)
{
	struct effect_span *span = &effects_add(effects, EFFECT_SPAN)->u.span;

	span->id = info->id;
	span->name = xstrdup(info->name);
	span->start_us = info->start_us;
	span->end_us = info->end_us;
	span->code = info->code;
	span->detail = xstrdup(info->detail);
	return span;
}

void span_root(struct effects *effects, const struct span_info *info)
{
	if (span_has_trace(info))
		span_add(effects, info)->trace = xstrdup(info->trace);
}

void span_child(struct effects *effects, struct rng *rng,
		const struct span_info *info)
{
	struct effect_span *span;
	unsigned long long id;

	if (!span_has_trace(info))
		return;
	/* An all-zero span id is invalid. */
	id = (unsigned long long)rng_next(rng) | 1;
	span = span_add(effects, info);
	span->trace = xstrfmt("%.*s%016llx%s", SPAN_ID_AT, info->trace, id,
			      info->trace + SPAN_ID_AT + SPAN_ID_LENGTH);
	span->parent = xmemdup(info->trace + SPAN_ID_AT, SPAN_ID_LENGTH);
}
