#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "load/router_state.h"

#define TRACE_LENGTH 55 /* 00-, 32 hex digits, -, 16 hex digits, -01 */
#define TRACE_SPAN_AT 36
#define TRACE_SPAN_LENGTH 16

void router_span(struct router *router, const struct request *request,
		 const char *name, int64_t start_us, int64_t end_us,
		 enum result code, const char *detail, struct effects *effects)
{
	const char *trace = request->ask.trace;
	struct effect_span *span;
	unsigned long long id;

	if (!trace || strlen(trace) != TRACE_LENGTH)
		return;
	id = (unsigned long long)rng_next(&router->rng) | 1;
	span = &effects_add(effects, EFFECT_SPAN)->u.span;
	span->id = request->ask.id;
	span->trace = xstrfmt("%.*s%016llx%s", TRACE_SPAN_AT, trace, id,
			      trace + TRACE_SPAN_AT + TRACE_SPAN_LENGTH);
	span->parent = xmemdup(trace + TRACE_SPAN_AT, TRACE_SPAN_LENGTH);
	span->name = xstrdup(name);
	span->start_us = start_us;
	span->end_us = end_us;
	span->code = code;
	span->detail = xstrdup(detail);
}

void router_log(const struct request *request, enum log_level level,
		struct effects *effects, const char *format, ...)
{
	struct effect_log *log = &effects_add(effects, EFFECT_LOG)->u.log;
	char text[256];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	log->level = level;
	log->module = xstrdup("load");
	log->message = xstrdup(text);
	if (!request)
		return;
	log->id = request->ask.id;
	log->organisation = xstrdup(request->ask.organisation);
	log->class_name = xstrdup(request->ask.class_name);
}
