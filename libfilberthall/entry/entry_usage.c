/*
 * Usage: which requests have started, by organisation and usage window.
 */
#include "entry/entry_state.h"

/* Counts a request once, in the usage window in which it started. */
void entry_count_started(struct entry *entry, uint64_t id)
{
	struct open_call *call = entry_open_call(entry, id);
	int64_t wall_us = wall_time_us(&entry->wall, entry->now_us);

	if (!call || call->usage_counted || !call->organisation[0] || !wall_us)
		return;
	call->usage_counted = true;
	presumed_drop(&entry->presumed, id);
	begun_add(&entry->begun, wall_us / entry->options.window_us,
		  call->organisation);
}

/*
 * The server closed the connection without an answer: whether the request ran
 * is decided later, by whether the server is still alive.
 */
void entry_add_presumed(struct entry *entry,
			const struct event_attempt_ended *ended)
{
	const struct open_call *call = entry_open_call(entry, ended->id);
	int64_t wall_us = wall_time_us(&entry->wall, entry->now_us);
	struct presumed_break what = { .request = ended->id };
	const struct registry_entry *server = NULL;
	struct router_attempt_view attempt;

	if (!call || call->usage_counted || !call->organisation[0] ||
	    !wall_us ||
	    !router_attempt(entry->router, ended->id, ended->attempt,
			    entry->now_us, &attempt) ||
	    !presumed_possible((enum result)ended->code, ended->sent,
			       attempt.us))
		return;
	server = registry_find_address(&entry->registry, attempt.address);
	if (!server)
		return;
	what.server = &server->registration;
	what.organisation = call->organisation;
	what.window = wall_us / entry->options.window_us;
	presumed_add(&entry->presumed, &what, entry->now_us);
}

static void count_presumed(void *data, uint64_t request,
			   const char *organisation, int64_t window)
{
	struct entry *entry = data;
	struct open_call *call = entry_open_call(entry, request);

	if (call)
		call->usage_counted = true;
	begun_add(&entry->begun, window, organisation);
}

void entry_resolve_presumed(struct entry *entry)
{
	presumed_tick(&entry->presumed, &entry->registry, entry->now_us,
		      count_presumed, entry);
}
