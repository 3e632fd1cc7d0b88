/*
 * Requests that callers send once, and the slots of servers that run them.
 */
#include "base/alloc.h"
#include "entries_state.h"
#include "streams.h"

/* Requests that were sent before the server's answer came. */
#define UNDER_WAY_US INT64_C(500000)

struct entries_asked *entries_find_asked(const struct entries *entries,
					 uint64_t id)
{
	guint from = 0;
	guint until = entries->asks->len;

	while (from < until) {
		guint at = (from + until) / 2;
		struct entries_asked *asked =
			g_ptr_array_index(entries->asks, at);

		if (asked->id == id)
			return asked;
		if (asked->id < id)
			from = at + 1;
		else
			until = at;
	}
	return NULL;
}

void entries_note_arrival(struct entries *entries, const struct run *run)
{
	int64_t now_us = group_now(entries->group);
	struct entries_arrival arrival = {
		.at_us = now_us,
		.vm = run->vm,
		.process = run->entry,
		.server = run->server,
		.started_ms = run->started_ms,
		.leaving = run->leaving,
	};

	if (run->retry_after_us)
		arrival.asked_until_us = now_us + run->retry_after_us;
	g_array_append_val(entries->arrived, arrival);
}

int entries_count_after(const struct entries *entries, guint from,
			int64_t after_us, int64_t until_us)
{
	const struct entries_arrival *first =
		&g_array_index(entries->arrived, struct entries_arrival, from);
	int n = 0;
	guint i;

	for (i = from + 1; i < entries->arrived->len; i++) {
		const struct entries_arrival *next =
			&g_array_index(entries->arrived, struct entries_arrival,
				       i);

		if (next->at_us >= until_us)
			break;
		n += next->at_us >= after_us &&
		     next->process == first->process &&
		     next->server == first->server &&
		     next->started_ms == first->started_ms;
	}
	return n;
}

static int count_early(const struct entries *entries, guint from)
{
	const struct entries_arrival *first =
		&g_array_index(entries->arrived, struct entries_arrival, from);

	return entries_count_after(entries, from, first->at_us + UNDER_WAY_US,
				   first->asked_until_us);
}

int entries_most_early(const struct entries *entries)
{
	int most = 0;
	guint i;

	for (i = 0; i < entries->arrived->len; i++)
		if (g_array_index(entries->arrived, struct entries_arrival, i)
			    .asked_until_us)
			most = MAX(most, count_early(entries, i));
	return most;
}

void entries_take_slot(struct entries *entries, struct run *run)
{
	struct entries_asked *asked = entries_find_asked(entries, run->id);
	struct entries_server *server = &entries->servers[run->server];
	int64_t now_us = group_now(entries->group);

	server->running++;
	if (run->waits) {
		server->waiting--;
		run->ends_us = now_us + server->work_us;
	}
	run->began_us = now_us;
	run->waits = false;
	if (!asked)
		return;
	run->ends_us = now_us + asked->ask.work_us;
	run->work_us = asked->ask.work_us;
	run->crashes = asked->ask.crashes;
	if (asked->ask.leaves)
		run->leaves_us = now_us + STREAMS_FIRST_US;
	server->answers++;
	if (server->breaks_each && server->answers % server->breaks_each == 0)
		run->breaks = true;
	if (!asked->began_us)
		asked->began_us = now_us;
}

void entries_wait_for_slot(struct entries *entries, struct run *run)
{
	run->ends_us = INT64_MAX;
	entries->servers[run->server].waiting++;
}

/* The most urgent request that waits at the server; the first one of these. */
void entries_fill_slots(struct entries *entries, int server)
{
	struct run *next = NULL;
	guint i;

	if (entries->servers[server].running >= entries->servers[server].slots)
		return;
	for (i = 0; i < entries->runs->len; i++) {
		struct run *run = &g_array_index(entries->runs, struct run, i);

		if (run->server == server && run->waits &&
		    (!next || run->urgency < next->urgency))
			next = run;
	}
	if (next)
		entries_take_slot(entries, next);
}

const struct entries_asked *entries_send(struct entries *entries, int vm,
					 const struct entries_ask *ask)
{
	struct entries_asked *asked = xcalloc(1, sizeof(*asked));
	struct entry_request request = {
		.name = "r",
		.path = ask->path,
		.key = ask->key,
		.body_hash = ask->body,
		.prompt_tokens = ask->prompt_tokens,
		.output_tokens = ask->output_tokens,
		.parts = ask->parts,
		.n_parts = ask->n_parts,
	};

	asked->ask = *ask;
	asked->id = request.id = entries_next_id(entries);
	asked->vm = vm;
	asked->asked_us = group_now(entries->group);
	g_ptr_array_add(entries->asks, asked);
	entries->vms[vm].asked++;
	entries_submit(entries, vm, &request);
	return asked;
}
