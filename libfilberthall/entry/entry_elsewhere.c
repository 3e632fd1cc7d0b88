/*
 * Streams that a neighbour goes on with: this VM can't know where they were
 * begun, or what has become of the servers.
 */
#include <stdlib.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/* Neighbours that are tried; the next one may be out of contact as well. */
#define ELSEWHERE_MOST 2

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

bool entry_go_elsewhere(struct entry *entry,
			const struct entry_request *request,
			const struct route *route,
			const struct document_organisation *holder)
{
	const char *address = entry_next_neighbour(entry);
	struct open_call *call;

	if (!address)
		return false;
	call = entry_call_new(entry, request, route, holder);
	call->service = xstrdup("");
	call->repeatable = true;
	call->elsewhere = xcalloc(1, sizeof(*call->elsewhere));
	entry_copy_request(call->elsewhere, request);
	entry_start_pass(entry, call, address);
	return true;
}

/* No neighbour can. */
static void decide_here(struct entry *entry, struct open_call *call)
{
	int64_t waited_ms = (entry->now_us - call->arrived_us) / 1000;
	struct entry_request *request = call->elsewhere;

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
	entry_free_request(request);
	free(request);
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
	if (call->pass < ELSEWHERE_MOST)
		address = entry_next_neighbour(entry);
	if (address)
		entry_start_pass(entry, call, address);
	else
		decide_here(entry, call);
	return true;
}
