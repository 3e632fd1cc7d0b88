#include "core/span.h"

#include <string.h>

#include "base/alloc.h"

/* Fields of a traceparent: "00-", 32 hex digits, "-", 16 hex digits, "-01". */
#define SPAN_TRACE_LENGTH 55
#define SPAN_ID_AT 36
#define SPAN_ID_LENGTH 16

/* The edge replaces a missing or invalid traceparent of the caller. */
static bool span_has_trace(const struct span_info *note)
{
	return note->trace && strlen(note->trace) == SPAN_TRACE_LENGTH;
}

static struct effect_span *span_add(struct effects *effects,
				    const struct span_info *note)
{
	struct effect_span *span = &effects_add(effects, EFFECT_SPAN)->u.span;

	span->id = note->id;
	span->name = xstrdup(note->name);
	span->start_us = note->start_us;
	span->end_us = note->end_us;
	span->code = note->code;
	span->detail = xstrdup(note->detail);
	return span;
}

void span_root(struct effects *effects, const struct span_info *note)
{
	if (span_has_trace(note))
		span_add(effects, note)->trace = xstrdup(note->trace);
}

void span_child(struct effects *effects, struct rng *rng,
		const struct span_info *note)
{
	struct effect_span *span;
	unsigned long long id;

	if (!span_has_trace(note))
		return;
	/* An all-zero span id is invalid. */
	id = (unsigned long long)rng_next(rng) | 1;
	span = span_add(effects, note);
	span->trace = xstrfmt("%.*s%016llx%s", SPAN_ID_AT, note->trace, id,
			      note->trace + SPAN_ID_AT + SPAN_ID_LENGTH);
	span->parent = xmemdup(note->trace + SPAN_ID_AT, SPAN_ID_LENGTH);
}
