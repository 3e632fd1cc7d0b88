/*
 * Operators' calls that wait until a change is in force on every daemon.
 */
#include <stdlib.h>

#include "agree/rules.h"
#include "core/core_state.h"

/*
 * Members that haven't been heard for longer than the staleness bound: they
 * admit nothing, so an old setting can't act there, and a change needn't wait
 * for them to be in force.
 */
static size_t in_force_silent(const struct core *core)
{
	const struct members *members = raft_members(core->raft);
	double stale_ms = rules_number(agreed_settings(core->agreed),
				       "site/keys", "stale_ms");
	struct member_health health;
	size_t silent = 0;
	size_t i;

	for (i = 0; i < members->count; i++)
		if (members->items[i].id != core->options.self &&
		    raft_health(core->raft, members->items[i].id, &health) &&
		    (double)(core->now_us - health.last_contact_us) >
			    stale_ms * 1000)
			silent++;
	return silent;
}

static void in_force_tell(struct core *core, struct pending_call *waiting,
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
				  (json_int_t)in_force_silent(core), "seconds",
				  (double)(core->now_us - waiting->started_us) /
					  1e6));
}

/* Whether a waiting call can be answered now. */
static bool in_force_settle(struct core *core, struct pending_call *waiting)
{
	size_t members = 0;
	size_t applied;

	/*
	 * The leader that a call was sent to died or was stopped with it: its
	 * answer won't come, and the operator would wait a minute for nothing.
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
	if (applied + in_force_silent(core) < members)
		return false;
	in_force_tell(core, waiting, RESULT_OK);
	return true;
}

void in_force_wait(struct core *core, struct pending_call *waiting,
		   const struct bytes *args)
{
	json_t *root = json_loadb(args->data, args->len, 0, NULL);

	waiting->wait_index =
		json_integer_value(json_object_get(root, "index"));
	json_decref(root);
	in_force_tick(core);
}

void in_force_tick(struct core *core)
{
	struct pending_call *waiting;
	struct pending_call *next;

	list_foreach_safe(waiting, next, &core->pending_calls, node) {
		bool settled = in_force_settle(core, waiting);

		if (!settled && waiting->give_up_us <= core->now_us) {
			in_force_tell(core, waiting, RESULT_NO_QUORUM);
			settled = true;
		}
		if (!settled)
			continue;
		list_remove(&waiting->node);
		free(waiting);
	}
}
