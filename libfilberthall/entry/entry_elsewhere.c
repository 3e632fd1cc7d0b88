/*
 * Streams that a neighbour goes on with: this VM can't know where they were
 * begun, or what has become of the servers.
 */
#include <stdlib.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/* So long neighbours that refuse it are followed by others. */
#define ELSEWHERE_US INT64_C(400000)

/* An entry VM's answer that promises that nothing ran. */
#define NOT_RUN_STATUS 503

bool entry_must_go_elsewhere(const struct entry *entry,
			     const struct entry_request *request)
{
	if (request->passed_on || request->unreadable)
		return false;
	return request->where == ENTRY_ELSEWHERE ||
	       (request->where == ENTRY_ANYWHERE &&
		!entry_is_in_contact(entry));
}

void entry_elsewhere_free(struct elsewhere *elsewhere)
{
	if (elsewhere)
		entry_free_request(&elsewhere->request);
	free(elsewhere);
}

bool entry_go_elsewhere(struct entry *entry,
			const struct entry_request *request,
			const struct route *route,
			const struct document_organisation *holder)
{
	struct tried tried = { .n = 0 };
	const char *address = entry_next_neighbour(entry, &tried);
	struct open_call *call;

	if (!address)
		return false;
	call = entry_call_new(entry, request, route, holder);
	call->service = xstrdup("");
	call->repeatable = true;
	call->elsewhere = xcalloc(1, sizeof(*call->elsewhere));
	call->elsewhere->tried = tried;
	entry_copy_request(&call->elsewhere->request, request);
	entry_start_pass(entry, call, address);
	return true;
}

bool entry_go_elsewhere_stale(struct entry *entry,
			      const struct entry_request *request)
{
	const struct route *route;

	if (!entry->document || entry->stop_requested_us ||
	    request->passed_on || request->unreadable ||
	    request->where == ENTRY_HERE)
		return false;
	route = document_route(entry->document, request->host, request->path);
	return route && entry_is_resumption(route, request) &&
	       entry_go_elsewhere(entry, request, route, NULL);
}

/* No neighbour can. */
static void decide_here(struct entry *entry, struct open_call *call)
{
	int64_t waited_ms = (entry->now_us - call->arrived_us) / 1000;
	struct elsewhere *elsewhere = call->elsewhere;
	struct entry_request *request = &elsewhere->request;

	call->elsewhere = NULL;
	entry_call_free(entry, call);
	request->where = ENTRY_HERE;
	if (request->deadline_ms > 0) {
		request->deadline_ms -= waited_ms;
		if (request->deadline_ms < 1)
			request->deadline_ms = 1;
	}
	if (entry_can_decide(entry))
		entry_decide(entry, request);
	else
		entry_refuse(entry, request, RESULT_STALE,
			     ENTRY_STALE_RETRY_AFTER_MS);
	entry_elsewhere_free(elsewhere);
}

static bool is_refused(const struct event_attempt_ended *ended)
{
	if (ended->code == RESULT_BACKEND_CONNECT)
		return !ended->sent && !ended->http_status;
	return ended->code == RESULT_BACKEND_ERROR &&
	       ended->http_status == NOT_RUN_STATUS;
}

bool entry_elsewhere_ended(struct entry *entry, struct open_call *call,
			   const struct event_attempt_ended *ended)
{
	const char *address = NULL;

	if (!call->elsewhere || !is_refused(ended))
		return false;
	if (entry->now_us - call->arrived_us < ELSEWHERE_US)
		address = entry_next_neighbour(entry, &call->elsewhere->tried);
	if (address)
		entry_start_pass(entry, call, address);
	else
		decide_here(entry, call);
	return true;
}
