/*
 * Operators' calls: authenticates and authorises the operator, then answers
 * from this daemon's state, proposes a log entry or forwards the call to the
 * leader. If the answer to a change is lost, the operator sends the change
 * again. A change without a change id gets one here, so that this daemon's own
 * resends to a new leader aren't applied twice; the command line sends its
 * own.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "agree/admin.h"
#include "base/alloc.h"
#include "base/cleanup.h"
#include "core/core_state.h"

/* Longer than two elections; after it the outcome is reported as unknown. */
#define OPERATOR_TIMEOUT_US INT64_C(10000000)

#define OPERATOR_WAIT_MAX_US INT64_C(60000000)

/* A call and where its answer is sent. */
struct operator_call {
	uint64_t peer; /**< 0: this daemon's own listener */
	uint64_t id;
	const struct key *key;
	const char *command;
	const struct bytes *body;
};

void operator_answer(struct core *core, uint64_t peer, uint64_t id,
		     enum result code, json_t *answer)
{
	cleanup(free_ptr) char *text = NULL;
	struct bytes body = { 0 };
	struct effect_admin_answer *effect;

	if (!answer)
		answer = json_object();
	json_object_set_new(answer, "code", json_integer(code));
	json_object_set_new(answer, "name", json_string(result_name(code)));
	if (code && !json_object_get(answer, "message"))
		json_object_set_new(answer, "message",
				    json_string(result_text(code)));
	text = json_dumps(answer, JSON_COMPACT);
	json_decref(answer);
	bytes_append_text(&body, text ? text : "{}");
	if (peer) {
		forward_answer(core, peer, id, code, &body);
		bytes_clear(&body);
		return;
	}
	effect = &effects_add(core->effects, EFFECT_ADMIN_ANSWER)
			  ->u.admin_answer;
	effect->id = id;
	effect->code = code;
	effect->body = body;
}

static void operator_refuse(struct core *core, const struct operator_call *call,
			    enum result code, const char *message)
{
	json_t *answer = json_object();

	if (message && *message)
		json_object_set_new(answer, "message", json_string(message));
	operator_answer(core, call->peer, call->id, code, answer);
}

static struct pending_call *
operator_add_pending(struct core *core, const struct operator_call *call,
		     int64_t timeout_us)
{
	struct pending_call *waiting = xcalloc(1, sizeof(*waiting));

	waiting->id = call->id;
	waiting->peer = call->peer;
	waiting->started_us = core->now_us;
	waiting->expires_us = core->now_us + timeout_us;
	list_append(&core->pending_calls, &waiting->node);
	return waiting;
}

static void operator_store_message(void *data, enum result code,
				   const char *message)
{
	bytes_clear(data);
	bytes_append_text(data, message);
}

/*
 * The arguments with a change id, which is generated if the operator sent
 * none.
 */
static struct bytes operator_args_with_change_id(struct core *core,
						 const struct bytes *body,
						 uint64_t ticket)
{
	json_t *args = json_loadb(body->data, body->len, 0, NULL);
	struct bytes out = { 0 };
	char *text;

	if (json_is_object(args) && !json_object_get(args, "change_id")) {
		cleanup(free_ptr) char *change_id =
			xstrfmt("auto-%" PRIx64 "-%" PRId64 "-%" PRIu64,
				core->options.self, core->options.incarnation,
				ticket);

		json_object_set_new(args, "change_id", json_string(change_id));
	}
	text = args ? json_dumps(args, JSON_COMPACT) : NULL;
	json_decref(args);
	bytes_append_text(&out, text ? text : "");
	free(text);
	return out;
}

static void operator_propose(struct core *core,
			     const struct operator_call *call)
{
	struct entry_head head = consensus_head(core);
	struct bytes args =
		operator_args_with_change_id(core, call->body, head.ticket);
	struct bytes message = { 0 };
	struct error_handler handler = { operator_store_message, &message };
	struct bytes entry = { 0 };
	struct proposal *proposal;
	enum result code;

	head.operator_id = call->key->id;
	code = admin_entry(core->agreed, call->command, &args, call->key, &head,
			   &entry, &handler);
	if (code) {
		operator_refuse(core, call, code, bytes_text(&message));
	} else {
		proposal = propose_entry(core, head.ticket, &entry,
					 core->now_us + OPERATOR_TIMEOUT_US);
		proposal->admin_id = call->id;
	}
	bytes_clear(&args);
	bytes_clear(&message);
	bytes_clear(&entry);
}

void operator_applied(struct core *core, struct proposal *proposal,
		      const struct apply_result *applied)
{
	json_t *answer = applied->answer ? json_deep_copy(applied->answer)
					 : json_object();

	json_object_set_new(answer, "index", json_integer(applied->index));
	if (applied->repeated)
		json_object_set_new(answer, "repeated", json_true());
	operator_answer(core, 0, proposal->admin_id, applied->code, answer);
}

void operator_timed_out(struct core *core, struct proposal *proposal)
{
	operator_answer(core, 0, proposal->admin_id, RESULT_NO_QUORUM,
			json_pack("{s:s}", "message",
				  "no quorum answered; whether the change was "
				  "accepted is unknown. Send it again with the "
				  "same change id"));
}

static void operator_member(struct core *core, const struct operator_call *call)
{
	json_t *args = json_loadb(call->body->data, call->body->len, 0, NULL);
	struct member_change change = { MEMBER_NO_CHANGE, { 0 }, "operator" };
	const char *id = json_string_value(json_object_get(args, "id"));
	char *end = NULL;
	enum result code;
	bool good;

	change.member.id = id ? strtoull(id, &end, 16) : 0;
	good = change.member.id && !*end;
	if (!strcmp(call->command, "member-add"))
		change.kind = MEMBER_PROMOTE;
	else if (!strcmp(call->command, "member-demote"))
		change.kind = MEMBER_DEMOTE;
	else
		change.kind = MEMBER_REMOVE;
	json_decref(args);
	if (!good) {
		operator_refuse(core, call, RESULT_BAD_REQUEST,
				"id: a member id as `member list` shows it is "
				"needed");
		return;
	}
	code = raft_change_member(core->raft, &change, core->now_us,
				  core->effects);
	operator_answer(core, call->peer, call->id, code, NULL);
}

/* On the leader: answer once all members have applied an index. */
static void operator_wait_index(struct core *core,
				const struct operator_call *call)
{
	struct pending_call *waiting;

	waiting = operator_add_pending(core, call, OPERATOR_WAIT_MAX_US);
	pending_call_wait_for_index(core, waiting, call->body);
}

static void operator_drain(struct core *core, const struct operator_call *call)
{
	json_t *args = json_loadb(call->body->data, call->body->len, 0, NULL);
	const char *address =
		json_string_value(json_object_get(args, "address"));
	const json_t *undo = json_object_get(args, "undo");

	if (!address || !fleet_find(&core->fleet, address)) {
		operator_refuse(core, call, RESULT_NOT_FOUND,
				"address: no such backend server");
	} else {
		gossip_drain(core, address, !json_is_true(undo));
		operator_answer(core, call->peer, call->id, RESULT_OK, NULL);
	}
	json_decref(args);
}

/*
 * A planned stop: the lease holder drains the backend server, then orders its
 * stop.
 */
static void operator_stop(struct core *core, const struct operator_call *call)
{
	json_t *args = json_loadb(call->body->data, call->body->len, 0, NULL);
	const char *address =
		json_string_value(json_object_get(args, "address"));
	bool undo = json_is_true(json_object_get(args, "undo"));

	if (!address || !fleet_find(&core->fleet, address)) {
		operator_refuse(core, call, RESULT_NOT_FOUND,
				"address: no such backend server");
	} else if (undo && !autoscaler_cancel_stop(core, address)) {
		operator_refuse(core, call, RESULT_CONFLICT,
				"the stop was already ordered or never "
				"requested");
	} else {
		if (!undo)
			autoscaler_stop_backend(core, address);
		operator_answer(core, call->peer, call->id, RESULT_OK,
				json_pack("{s:o}", "stops",
					  autoscaler_describe_drains(core)));
	}
	json_decref(args);
}

static void operator_spend(struct core *core, const struct operator_call *call)
{
	json_t *answer = autoscaler_describe_spend(core);

	json_object_set_new(answer, "stops", autoscaler_describe_drains(core));
	operator_answer(core, call->peer, call->id, RESULT_OK, answer);
}

static void operator_status(struct core *core, const struct operator_call *call)
{
	operator_answer(core, call->peer, call->id, RESULT_OK,
			status_describe(core));
}

static void operator_backends(struct core *core,
			      const struct operator_call *call)
{
	operator_answer(core, call->peer, call->id, RESULT_OK,
			status_backends(core));
}

static void operator_zones(struct core *core, const struct operator_call *call)
{
	operator_answer(core, call->peer, call->id, RESULT_OK,
			status_zones(core));
}

static void operator_members(struct core *core,
			     const struct operator_call *call)
{
	operator_answer(core, call->peer, call->id, RESULT_OK,
			status_members(core));
}

static void operator_usage(struct core *core, const struct operator_call *call)
{
	operator_answer(core, call->peer, call->id, RESULT_OK,
			status_usage(core));
}

struct operator_command {
	const char *name;
	bool leader;	 /**< only the leader can run it */
	bool whole_site; /**< needs a key whose subtree includes "site/" */
	void (*run)(struct core *core, const struct operator_call *call);
};

static const struct operator_command operator_commands[] = {
	{ "status", false, false, operator_status },
	{ "backend-list", false, false, operator_backends },
	{ "zone-list", false, false, operator_zones },
	{ "backend-drain", false, true, operator_drain },
	{ "backend-stop", true, true, operator_stop },
	{ "spend", true, false, operator_spend },
	{ "member-list", true, false, operator_members },
	{ "member-add", true, true, operator_member },
	{ "member-demote", true, true, operator_member },
	{ "member-remove", true, true, operator_member },
	{ "settings-wait", true, false, operator_wait_index },
	{ "usage", true, false, operator_usage },
};

static const struct operator_command *operator_find(const char *name)
{
	size_t i;

	for (i = 0;
	     i < sizeof(operator_commands) / sizeof(operator_commands[0]); i++)
		if (!strcmp(operator_commands[i].name, name))
			return &operator_commands[i];
	return NULL;
}

static void operator_forward_to_leader(struct core *core,
				       const struct operator_call *call)
{
	uint64_t leader = raft_leader(core->raft);
	struct pending_call *waiting;

	if (!leader || call->peer) {
		operator_refuse(core, call, RESULT_NOT_LEADER,
				"no leader is known; try again in a second");
		return;
	}
	waiting = operator_add_pending(core, call,
				       OPERATOR_WAIT_MAX_US +
					       OPERATOR_TIMEOUT_US);
	waiting->ticket = ++core->next_ticket;
	waiting->leader = leader;
	forward_admin(core, leader, waiting->ticket, call->key->id,
		      call->command, call->body);
}

static void operator_run(struct core *core, const struct operator_call *call)
{
	const struct operator_command *command = operator_find(call->command);

	if (!command)
		operator_refuse(core, call, RESULT_NO_ROUTE, "no such command");
	else if (command->whole_site &&
		 key_covers_path(call->key, "site/cluster"))
		operator_refuse(core, call, RESULT_PATH_FORBIDDEN,
				"this command needs a key for the whole site");
	else if (command->leader && !raft_is_leader(core->raft))
		operator_forward_to_leader(core, call);
	else
		command->run(core, call);
}

static void operator_read(struct core *core, const struct operator_call *call)
{
	json_t *answer = NULL;
	enum result code;

	code = admin_read(core->agreed, call->command, call->body, call->key,
			  &answer);
	if (answer)
		json_object_set_new(answer, "applied_index",
				    json_integer(
					    raft_applied_index(core->raft)));
	operator_answer(core, call->peer, call->id, code, answer);
}

void operator_call(struct core *core, const struct event_admin *admin)
{
	struct operator_call call = { 0 };

	call.id = admin->id;
	call.command = admin->command;
	call.body = &admin->body;
	if (!admin->key_hash) {
		operator_refuse(core, &call, RESULT_NO_KEY, NULL);
		return;
	}
	call.key = keys_find(agreed_keys(core->agreed), admin->key_hash);
	if (!call.key || !call.key->operates) {
		operator_refuse(core, &call, RESULT_KEY_UNKNOWN, NULL);
		return;
	}
	switch (admin_kind(call.command)) {
	case ADMIN_READ:
		operator_read(core, &call);
		break;
	case ADMIN_WRITE:
		operator_propose(core, &call);
		break;
	case ADMIN_OTHER:
		operator_run(core, &call);
		break;
	}
}

void operator_forwarded(struct core *core, uint64_t peer, uint64_t ticket,
			const char *key_id, const char *command,
			const struct bytes *body)
{
	struct operator_call call = { 0 };

	call.peer = peer;
	call.id = ticket;
	call.command = command;
	call.body = body;
	call.key = keys_find_id(agreed_keys(core->agreed), key_id);
	if (!call.key || !call.key->operates)
		operator_refuse(core, &call, RESULT_KEY_UNKNOWN, NULL);
	else
		operator_run(core, &call);
}

void operator_answered(struct core *core, uint64_t ticket, enum result code,
		       const struct bytes *body)
{
	struct pending_call *waiting;
	json_t *answer;

	list_foreach(waiting, &core->pending_calls, node) {
		if (waiting->ticket != ticket)
			continue;
		answer = json_loadb(body->data, body->len, 0, NULL);
		operator_answer(core, 0, waiting->id, code, answer);
		list_remove(&waiting->node);
		free(waiting);
		return;
	}
}
