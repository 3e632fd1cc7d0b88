/*
 * Ends of requests that never reached, or no longer need, the router.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "core/core_state.h"

/* Fields of a traceparent: "00-TRACE-SPAN-FLAGS". */
#define ANSWER_TRACE_LEN 55
#define ANSWER_SPAN_AT 36
#define ANSWER_SPAN_LEN 16

void answer_refuse(struct core *core, const struct caller_request *request,
		   enum result code, enum run_state run, int64_t retry_after_ms,
		   const char *message)
{
	struct effect_answer *answer =
		&effects_add(core->effects, EFFECT_ANSWER)->u.answer;

	answer->id = request->event->u.request.id;
	answer->code = code;
	answer->run = run;
	answer->retry_after_ms = retry_after_ms;
	answer->message = xstrdup(message);
	answer_span(core, request, "edge", request->arrived_us, code, NULL);
}

void answer_kept(struct core *core, const struct caller_request *request,
		 const struct claim *claim)
{
	struct effect_answer *answer =
		&effects_add(core->effects, EFFECT_ANSWER)->u.answer;

	answer->id = request->event->u.request.id;
	answer->run = RUN_RAN;
	answer->http_status = claim->http_status;
	answer->content_type = xstrdup(claim->content_type);
	bytes_append(&answer->body, claim->body, claim->body_len);
	answer_span(core, request, "edge", request->arrived_us, RESULT_OK,
		    "kept answer");
}

void answer_span(struct core *core, const struct caller_request *request,
		 const char *name, int64_t start_us, enum result code,
		 const char *detail)
{
	const char *trace = request->event->u.request.trace;
	struct effect_span *span;

	if (!trace || strlen(trace) != ANSWER_TRACE_LEN)
		return;
	span = &effects_add(core->effects, EFFECT_SPAN)->u.span;
	span->id = request->event->u.request.id;
	span->trace = xstrdup(trace);
	span->name = xstrdup(name);
	span->start_us = start_us;
	span->end_us = core->now_us;
	span->code = code;
	span->detail = xstrdup(detail);
	if (!strcmp(name, "edge"))
		return;
	/* A child of the edge's span gets a span id of its own. */
	span->parent = xmemdup(trace + ANSWER_SPAN_AT, ANSWER_SPAN_LEN);
	snprintf(span->trace + ANSWER_SPAN_AT, ANSWER_SPAN_LEN + 1,
		 "%016" PRIx64, rng_next(&core->rng));
	memcpy(span->trace + ANSWER_SPAN_AT + ANSWER_SPAN_LEN,
	       trace + ANSWER_SPAN_AT + ANSWER_SPAN_LEN,
	       ANSWER_TRACE_LEN - ANSWER_SPAN_AT - ANSWER_SPAN_LEN);
}
