#include <stdarg.h>
#include <stdio.h>

#include "base/alloc.h"
#include "core/span.h"
#include "load/router_state.h"

void router_span(struct router *router, const struct request *request,
		 const char *name, int64_t start_us, int64_t end_us,
		 enum result code, const char *detail, struct effects *effects)
{
	struct span_info note = { request->spec.id,
				  request->spec.trace,
				  name,
				  start_us,
				  end_us,
				  code,
				  detail };

	span_child(effects, &router->rng, &note);
}

void router_log(const struct request *request, enum log_level level,
		struct effects *effects, const char *format, ...)
{
	struct effect_log *log = &effects_add(effects, EFFECT_LOG)->u.log;
	char text[512];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	log->level = level;
	log->module = xstrdup("load");
	log->message = xstrdup(text);
	if (!request)
		return;
	log->id = request->spec.id;
	log->organisation = xstrdup(request->spec.organisation);
	log->class_name = xstrdup(request->spec.class_name);
}
