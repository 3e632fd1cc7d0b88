/*
 * Operators' changes that were proposed to the log, and the answers to their
 * callers.
 */
#include <stdlib.h>

#include "base/alloc.h"
#include "control/control_state.h"

/*
 * A change that isn't committed by then gets no clear answer: the operator's
 * timeout is a second or more, and the change may still come into force.
 */
#define PROPOSAL_TIMEOUT_US INT64_C(3000000)

/*
 * With fewer voters a commit rests on fewer disks than may be lost at once:
 * what was acknowledged while the group was being founded or repaired would be
 * lost with them.
 */
static bool enough_disks(const struct control *control)
{
	int voters = members_voters(raft_members(control->raft));

	return members_quorum(voters) > control->options.tolerate;
}

/* Answers an operator here, or the VM that forwarded the change. */
void control_answer_change(const struct control_caller *caller,
			   enum result code, struct effects *effects)
{
	struct feed_changed changed = { caller->call, code };
	struct bytes body = { 0 };

	if (!caller->peer) {
		control_answer(effects, caller->call, code, NULL);
		return;
	}
	feed_write_changed(&body, &changed);
	feed_send(effects, caller->peer, &body);
	bytes_clear(&body);
}

/** True, and answered, if a commit would rest on too few disks. */
bool control_refuse_few_disks(const struct control *control,
			      const struct control_caller *caller,
			      const char *what, struct effects *effects)
{
	if (enough_disks(control))
		return false;
	control_log(effects, LOG_WARN, "group",
		    "event=refused call=%llu what=%s reason=too-few-disks "
		    "voters=%d tolerate=%d",
		    (unsigned long long)caller->call, what,
		    members_voters(raft_members(control->raft)),
		    control->options.tolerate);
	control_answer_change(caller, RESULT_NO_QUORUM, effects);
	return true;
}

void control_free_proposal(struct control_proposal *proposal)
{
	list_remove(&proposal->node);
	document_free(proposal->document);
	free(proposal);
}

const struct control_proposal *
control_propose(struct control *control, struct control_caller caller,
		struct document *document, const struct bytes *entry,
		int64_t now_us, struct effects *effects)
{
	struct control_proposal *proposal = xcalloc(1, sizeof(*proposal));
	enum result code;

	list_init(&proposal->node);
	proposal->document = document;
	proposal->caller = caller;
	proposal->expires_us = now_us + PROPOSAL_TIMEOUT_US;
	code = raft_propose(control->raft, entry->data, entry->len, now_us,
			    effects, &proposal->index, &proposal->term);
	if (code) {
		control_answer_change(&caller, code, effects);
		control_free_proposal(proposal);
		return NULL;
	}
	list_append(&control->proposals, &proposal->node);
	return proposal;
}

/* The document proposed at that index, which needn't be parsed again. */
struct document *control_proposed_document(struct control *control,
					   int64_t index, int64_t term)
{
	struct control_proposal *proposal;
	struct document *document;

	list_foreach(proposal, &control->proposals, node) {
		if (proposal->index != index || proposal->term != term)
			continue;
		document = proposal->document;
		proposal->document = NULL;
		return document;
	}
	return NULL;
}

static void end_proposal(struct control_proposal *proposal, enum result code,
			 struct effects *effects)
{
	control_log(effects, LOG_INFO, "group",
		    "event=answered call=%llu index=%lld term=%lld code=%s",
		    (unsigned long long)proposal->caller.call,
		    (long long)proposal->index, (long long)proposal->term,
		    result_name(code));
	control_answer_change(&proposal->caller, code, effects);
	control_free_proposal(proposal);
}

void control_proposals_applied(struct control *control, int64_t index,
			       int64_t term, enum result outcome,
			       struct effects *effects)
{
	struct control_proposal *proposal;
	struct control_proposal *next;

	list_foreach_safe(proposal, next, &control->proposals, node) {
		if (proposal->index > index)
			continue;
		/* If another term's entry is there, the outcome is unknown. */
		end_proposal(proposal,
			     proposal->index == index && proposal->term == term
				     ? outcome
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
		if (now_us < proposal->expires_us)
			continue;
		end_proposal(proposal, RESULT_NO_QUORUM, effects);
	}
}
