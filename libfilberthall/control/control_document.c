/*
 * Operators' calls: a change of the document goes through the log, a read
 * needs proof that nobody else leads.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "control/control_state.h"

/*
 * A change that isn't committed by then is left unclear: the operator's
 * patience is a second or more, and the change may still come into force.
 */
#define PROPOSAL_US INT64_C(3000000)

static void answer(struct effects *effects, uint64_t call, enum result code,
		   const struct bytes *body)
{
	struct effect *effect = effects_add(effects, EFFECT_ADMIN_ANSWER);

	effect->u.admin_answer.id = call;
	effect->u.admin_answer.code = code;
	if (body)
		effect->u.admin_answer.body = bytes_copy(body);
}

/* Name the leader, if another VM is known to be it. */
static void answer_elsewhere(const struct control *control, uint64_t call,
			     const char *what, int64_t version,
			     struct effects *effects)
{
	uint64_t leader = raft_leader(control->raft);
	const struct member *member = NULL;
	struct bytes address = { 0 };

	if (leader != control->options.self)
		member = members_find(raft_members(control->raft), leader);
	if (member)
		bytes_append_text(&address, member->address);
	control_log(effects, LOG_INFO, "document",
		    "event=redirected call=%llu what=%s version=%lld "
		    "held=%lld leader=%s term=%lld",
		    (unsigned long long)call, what, (long long)version,
		    (long long)control->ledger.version,
		    member ? member->vm : "",
		    (long long)raft_term(control->raft));
	answer(effects, call, RESULT_NOT_LEADER, &address);
	bytes_clear(&address);
}

/*
 * With fewer voters a commit rests on fewer disks than may be lost at once:
 * what was acknowledged while the group was being founded or mended would go
 * with them.
 */
static bool enough_disks(const struct control *control)
{
	int voters = members_voters(raft_members(control->raft));

	return members_quorum(voters) > control->options.tolerate;
}

static void propose(struct control *control, uint64_t call, int64_t version,
		    const struct bytes *text, int64_t now_us,
		    struct effects *effects)
{
	struct control_proposal *proposal = xcalloc(1, sizeof(*proposal));
	struct bytes entry = { 0 };
	enum result code;

	ledger_write_document(&entry, version, text);
	code = raft_propose(control->raft, entry.data, entry.len, now_us,
			    effects, &proposal->index, &proposal->term);
	bytes_clear(&entry);
	if (code) {
		answer(effects, call, code, NULL);
		free(proposal);
		return;
	}
	proposal->call = call;
	proposal->give_up_us = now_us + PROPOSAL_US;
	list_append(&control->proposals, &proposal->node);
	control_log(effects, LOG_INFO, "document",
		    "event=proposed call=%llu version=%lld held=%lld "
		    "index=%lld term=%lld",
		    (unsigned long long)call, (long long)version,
		    (long long)control->ledger.version,
		    (long long)proposal->index, (long long)proposal->term);
}

void control_put_document(struct control *control, uint64_t call,
			  int64_t version, const struct bytes *text,
			  int64_t now_us, struct effects *effects)
{
	/* Overtaken or sent again: true wherever it is said. */
	if (version <= control->ledger.version) {
		control_log(effects, LOG_INFO, "document",
			    "event=held call=%llu version=%lld held=%lld",
			    (unsigned long long)call, (long long)version,
			    (long long)control->ledger.version);
		answer(effects, call, RESULT_OK, NULL);
		return;
	}
	if (!raft_is_leader(control->raft)) {
		answer_elsewhere(control, call, "change", version, effects);
		return;
	}
	if (!enough_disks(control)) {
		control_log(effects, LOG_WARN, "document",
			    "event=refused call=%llu version=%lld reason="
			    "too-few-disks voters=%d tolerate=%d",
			    (unsigned long long)call, (long long)version,
			    members_voters(raft_members(control->raft)),
			    control->options.tolerate);
		answer(effects, call, RESULT_NO_QUORUM, NULL);
		return;
	}
	propose(control, call, version, text, now_us, effects);
	control_drain(control, now_us, effects);
}

void control_get_document(struct control *control, uint64_t call,
			  int64_t now_us, struct effects *effects)
{
	enum result code = RESULT_OK;

	if (!raft_is_leader(control->raft)) {
		answer_elsewhere(control, call, "read", 0, effects);
		return;
	}
	if (!raft_may_read(control->raft, now_us) || !control->ledger.version)
		code = RESULT_NO_QUORUM;
	control_log(effects, LOG_INFO, "document",
		    "event=read call=%llu version=%lld code=%s",
		    (unsigned long long)call,
		    (long long)control->ledger.version, result_name(code));
	answer(effects, call, code, code ? NULL : &control->ledger.document);
}

static void end_proposal(struct control_proposal *proposal, enum result code,
			 struct effects *effects)
{
	control_log(effects, LOG_INFO, "document",
		    "event=answered call=%llu index=%lld term=%lld code=%s",
		    (unsigned long long)proposal->call,
		    (long long)proposal->index, (long long)proposal->term,
		    result_name(code));
	answer(effects, proposal->call, code, NULL);
	list_remove(&proposal->node);
	free(proposal);
}

/** The entry at `index` was applied: the calls that waited for it are over. */
void control_document_applied(struct control *control, int64_t index,
			      int64_t term, struct effects *effects)
{
	struct control_proposal *proposal;
	struct control_proposal *next;

	list_foreach_safe(proposal, next, &control->proposals, node) {
		if (proposal->index > index)
			continue;
		/* Another term's entry in its place: it is lost, or unclear. */
		end_proposal(proposal,
			     proposal->index == index && proposal->term == term
				     ? RESULT_OK
				     : RESULT_NO_QUORUM,
			     effects);
	}
}

void control_expire_proposals(struct control *control, int64_t now_us,
			      struct effects *effects)
{
	struct control_proposal *proposal;
	struct control_proposal *next;

	list_foreach_safe(proposal, next, &control->proposals, node) {
		if (now_us < proposal->give_up_us)
			continue;
		end_proposal(proposal, RESULT_NO_QUORUM, effects);
	}
}
