/* Requests that one entry VM passes on to another one. */
#include <stdio.h>

#include "entries_state.h"
#include "streams.h"

void entries_start_pass(struct entries *entries, int from,
			const struct effect_start_attempt *start)
{
	struct pass pass = { .from = from,
			     .from_entry = entries->vms[from].id,
			     .id = start->id,
			     .attempt = start->attempt };

	int block;

	g_assert_cmpint(sscanf(start->address, "10.9.%d.%d:", &block, &pass.to),
			==, 2);
	pass.to += block * 250 - 1;
	pass.to_entry = entries->vms[pass.to].id;
	g_array_append_val(entries->passes, pass);
}

/* Whether the request came from another VM, which gets the answer. */
bool entries_take_pass_answer(struct entries *entries, int at,
			      const struct effect_answer *answer)
{
	guint i;

	for (i = 0; i < entries->passes->len; i++) {
		struct pass *pass =
			&g_array_index(entries->passes, struct pass, i);

		if (pass->to != at || pass->to_id != answer->id)
			continue;
		pass->ended = true;
		pass->sent = true;
		pass->code = answer->code ? RESULT_BACKEND_ERROR : RESULT_OK;
		return true;
	}
	return false;
}

/* As the caller sent it, with the last event that has come. */
static void submit_passed_stream(struct entries *entries, int vm, uint64_t id,
				 struct entries_stream *stream)
{
	char last[16];
	struct entry_request request = {
		.id = id,
		.name = stream->name,
		.path = STREAMS_PATH,
		.body_hash = stream->body,
		.passed_on = true,
		.resumes = stream->events ? stream->first : NULL,
		.last_event = stream->events ? last : NULL,
	};

	g_snprintf(last, sizeof(last), "%d", stream->events);
	stream->pass_id = id;
	entries_submit(entries, vm, &request);
}

static void end_pass(struct entries *entries, const struct pass *pass)
{
	struct entries_vm *vm = &entries->vms[pass->from];
	struct event_attempt_ended ended = {
		.id = pass->id,
		.attempt = pass->attempt,
		.code = pass->code,
		.http_status = pass->code == RESULT_OK		    ? 200
			       : pass->code == RESULT_BACKEND_ERROR ? 503
								    : 0,
		.sent = pass->sent,
	};
	struct effects effects;

	if (vm->id != pass->from_entry)
		return;
	effects_init(&effects);
	entry_attempt_ended(vm->entry, &ended,
			    entries_vm_now(entries, pass->from), &effects);
	entries_carry_out(entries, pass->from, &effects);
}

static bool is_cut(const struct entries *entries, const struct pass *pass)
{
	return entries->vms[pass->from].isolated ||
	       entries->vms[pass->to].isolated;
}

/* False once it is over. */
static bool carry_pass(struct entries *entries, guint i)
{
	struct pass *pass = &g_array_index(entries->passes, struct pass, i);

	if (!pass->ended && (entries->vms[pass->to].id != pass->to_entry ||
			     is_cut(entries, pass))) {
		pass->ended = true;
		pass->code = pass->to_id ? RESULT_BACKEND_BROKE
					 : RESULT_BACKEND_CONNECT;
	}
	if (pass->ended)
		return false;
	if (!pass->to_id) {
		struct entries_stream *stream = streams_find(entries, pass->id);

		pass->sent = true;
		pass->to_id =
			entries_new_id(entries, entries_is_crashing(pass->id));
		if (stream)
			submit_passed_stream(entries, pass->to, pass->to_id,
					     stream);
		else
			entries_submit_plain(entries, pass->to, pass->to_id,
					     entries_is_crashing(pass->id)
						     ? ENTRIES_CRASHING
						     : "harmless",
					     true);
	}
	return true;
}

void entries_carry_passes(struct entries *entries)
{
	guint i = 0;

	while (i < entries->passes->len) {
		struct pass pass;

		if (carry_pass(entries, i)) {
			i++;
			continue;
		}
		pass = g_array_index(entries->passes, struct pass, i);
		g_array_remove_index(entries->passes, i);
		end_pass(entries, &pass);
	}
}
