/*
 * Answers requests without the router: refusals, and answers stored with a
 * claim.
 */
#include <string.h>

#include "base/alloc.h"
#include "core/core_state.h"
#include "core/span.h"

/* Name of a request's root span. */
#define ANSWER_ROOT_SPAN "edge"

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

void answer_from_claim(struct core *core, const struct caller_request *request,
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
	const struct event_request *request_event = &request->event->u.request;
	struct span_info info = { request_event->id,
				  request_event->trace,
				  name,
				  start_us,
				  core->now_us,
				  code,
				  detail };

	if (strcmp(name, ANSWER_ROOT_SPAN))
		span_child(core->effects, &core->rng, &info);
	else
		span_root(core->effects, &info);
}
