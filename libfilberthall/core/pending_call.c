/*
 * Operators' calls that wait for the leader's answer or until a change is in
 * force on every daemon.
 */
#include <stdlib.h>

#include "agree/rules.h"
#include "core/core_state.h"

/*
 * Counts members without contact for longer than the staleness bound. They
 * admit no requests, so an old setting has no effect there and a change
 * needn't wait for them.
 */
static size_t pending_call_stale_members(const struct core *core)
{
	const struct members *members = raft_members(core->raft);
	double stale_ms = rules_number(agreed_settings(core->agreed),
				       "site/keys", "stale_ms");
	struct member_health health;
	size_t stale = 0;
	size_t i;

	for (i = 0; i < members->count; i++)
		if (members->items[i].id != core->options.self &&
		    raft_health(core->raft, members->items[i].id, &health) &&
		    (double)(core->now_us - health.last_contact_us) >
			    stale_ms * 1000)
			stale++;
	return stale;
}

static void pending_call_answer(struct core *core, struct pending_call *waiting,
				enum result code)
{
	size_t members = 0;
	size_t applied = 0;

	if (waiting->wait_index)
		applied = raft_applied_on(core->raft, waiting->wait_index,
					  &members);
	operator_answer(core, waiting->peer, waiting->id, code,
			json_pack("{s:I, s:I, s:I, s:f}", "in_force",
				  (json_int_t)applied, "members",
				  (json_int_t)members, "silent",
				  (json_int_t)pending_call_stale_members(core),
				  "seconds",
				  (double)(core->now_us - waiting->started_us) /
					  1e6));
}

/* Whether a waiting call can be answered now. */
static bool pending_call_try_answer(struct core *core,
				    struct pending_call *waiting)
{
	size_t members = 0;
	size_t applied;

	/*
	 * The leader that the call was sent to has failed or stopped, so it
	 * won't answer. Without this the operator would wait for the timeout
	 * of a minute.
	 */
	if (waiting->ticket && raft_leader(core->raft) != waiting->leader) {
		operator_answer(core, waiting->peer, waiting->id,
				RESULT_NOT_LEADER,
				json_pack("{s:s}", "message",
					  "the leader changed meanwhile; send "
					  "the call again"));
		return true;
	}
	if (!waiting->wait_index)
		return false;
	if (!raft_is_leader(core->raft)) {
		operator_answer(core, waiting->peer, waiting->id,
				RESULT_NOT_LEADER, NULL);
		return true;
	}
	applied = raft_applied_on(core->raft, waiting->wait_index, &members);
	if (applied + pending_call_stale_members(core) < members)
		return false;
	pending_call_answer(core, waiting, RESULT_OK);
	return true;
}

void pending_call_wait_for_index(struct core *core,
				 struct pending_call *waiting,
				 const struct bytes *args)
{
	json_t *root = json_loadb(args->data, args->len, 0, NULL);

	waiting->wait_index =
		json_integer_value(json_object_get(root, "index"));
	json_decref(root);
	pending_call_tick(core);
}

void pending_call_tick(struct core *core)
{
	struct pending_call *waiting;
	struct pending_call *next;

	list_foreach_safe(waiting, next, &core->pending_calls, node) {
		bool settled = pending_call_try_answer(core, waiting);

		if (!settled && waiting->expires_us <= core->now_us) {
			pending_call_answer(core, waiting, RESULT_NO_QUORUM);
			settled = true;
		}
		if (!settled)
			continue;
		list_remove(&waiting->node);
		free(waiting);
	}
}
