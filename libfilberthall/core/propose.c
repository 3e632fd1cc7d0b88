/*
 * Proposes log entries. A proposal is lost without notice if the leader
 * changes or the message to it is lost, so an entry is sent again until it is
 * committed or expires. The log may therefore hold an entry twice, and the
 * second one has no effect: operators' changes are deduplicated by their
 * change id; of claims and windows the first entry counts.
 */
#include <stdlib.h>

#include "base/alloc.h"
#include "core/core_state.h"

/*
 * Longer than a sync and two hops between zones, so that few entries are sent
 * twice.
 */
#define PROPOSE_RETRY_US 300000

static void propose_send(struct core *core, struct proposal *proposal)
{
	uint64_t leader = raft_leader(core->raft);

	proposal->sent_us = core->now_us;
	proposal->index = 0;
	if (raft_is_leader(core->raft))
		raft_propose(core->raft, proposal->entry.data,
			     proposal->entry.len, core->now_us, core->effects,
			     &proposal->index, &proposal->term);
	else if (leader)
		forward_entry(core, leader, &proposal->entry);
}

struct proposal *propose_entry(struct core *core, uint64_t ticket,
			       struct bytes *entry, int64_t expires_us)
{
	struct proposal *proposal = xcalloc(1, sizeof(*proposal));

	proposal->ticket = ticket;
	proposal->entry = *entry;
	*entry = (struct bytes){ 0 };
	proposal->expires_us = expires_us;
	list_append(&core->proposals, &proposal->node);
	propose_send(core, proposal);
	return proposal;
}

struct proposal *propose_find(struct core *core, uint64_t ticket)
{
	struct proposal *proposal;

	list_foreach(proposal, &core->proposals, node)
		if (proposal->ticket == ticket)
			return proposal;
	return NULL;
}

void propose_free(struct proposal *proposal)
{
	list_remove(&proposal->node);
	bytes_clear(&proposal->entry);
	free(proposal);
}

void propose_retry(struct core *core)
{
	struct proposal *proposal;
	struct proposal *next;

	list_foreach_safe(proposal, next, &core->proposals, node) {
		if (proposal->expires_us <= core->now_us) {
			if (proposal->admin_id)
				operator_timed_out(core, proposal);
			propose_free(proposal);
			continue;
		}
		/*
		 * The leader has already appended the entry to its own log,
		 * even if the disk hasn't synced it yet.
		 */
		if (proposal->index && raft_is_leader(core->raft) &&
		    proposal->term == raft_term(core->raft))
			continue;
		if (core->now_us - proposal->sent_us >= PROPOSE_RETRY_US)
			propose_send(core, proposal);
	}
}

void propose_forwarded(struct core *core, const char *entry, size_t len)
{
	int64_t index;
	int64_t term;

	if (raft_is_leader(core->raft))
		raft_propose(core->raft, entry, len, core->now_us,
			     core->effects, &index, &term);
}
