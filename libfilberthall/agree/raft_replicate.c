#include <stdlib.h>

#include "agree/raft_internal.h"
#include "base/alloc.h"

/**
 * The sending side of replication: the leader sends to voters and to learners
 * with a disk, and any upstream to its downstream learners.
 */

struct raft_entry *raft_append_own(struct raft *raft, enum raft_entry_kind kind,
				   const char *data, size_t len,
				   struct effects *effects)
{
	struct bytes body = { 0 };
	char first = (char)kind;
	struct raft_entry *entry;

	bytes_append(&body, &first, 1);
	bytes_append(&body, data, len);
	entry = raft_log_push(&raft->log, raft->term, body.data, body.len);
	bytes_clear(&body);
	raft_write_append(raft, entry, effects);
	if (kind == RAFT_ENTRY_MEMBERS)
		raft_adopt_members(raft, entry, effects);
	return entry;
}

/**
 * Last index that may be sent: an upstream that isn't the leader relays only
 * committed entries.
 */
static int64_t raft_replication_limit(const struct raft *raft)
{
	return raft->role == RAFT_LEADER ? raft_log_last(&raft->log)
					 : raft->commit;
}

/**
 * Time since a leader last had a quorum, in the worst case on another clock,
 * plus 1; 0 for unknown.
 */
static int64_t raft_quorum_age(const struct raft *raft, int64_t now_us)
{
	int64_t fresh_us = raft_fresh_us(raft, now_us);

	if (fresh_us <= RAFT_NEVER / 2)
		return 0;
	return lease_add_drift(now_us - fresh_us, raft->options.drift_ppm) + 1;
}

static void raft_select_entries(const struct raft *raft,
				const struct raft_peer *peer,
				struct raft_message *message)
{
	int64_t limit = raft_replication_limit(raft);
	int64_t index = peer->next;
	int64_t bytes = 0;

	while (index <= limit && bytes < raft->options.max_batch_bytes &&
	       message->n_entries < RAFT_MAX_ENTRY_BYTES / 64) {
		bytes += (int64_t)raft_log_at(&raft->log, index)->body.len;
		message->n_entries++;
		index++;
	}
	if (message->n_entries)
		message->entries = raft_log_at(&raft->log, peer->next);
}

static void raft_send_append(struct raft *raft, struct raft_peer *peer,
			     bool with_entries, int64_t now_us,
			     struct effects *effects)
{
	struct raft_message message = {
		.kind = RAFT_APPEND,
		.term = raft->term,
		.index = peer->next - 1,
		.log_term = raft_log_term(&raft->log, peer->next - 1),
		.commit = raft->commit,
		.sent_us = now_us,
		.echo_us = peer->peer_clock_us,
		.age_us = raft_quorum_age(raft, now_us),
		.leader = raft->leader,
		.flags = raft->role == RAFT_LEADER ? 0 : RAFT_RELAYED,
	};

	if (with_entries)
		raft_select_entries(raft, peer, &message);
	raft_send(raft, peer->id, &message, effects);
	peer->sent_us = now_us;
	if (!message.n_entries)
		return;
	peer->data_sent_us = now_us;
	peer->inflight[peer->n_inflight++] =
		message.index + (int64_t)message.n_entries;
	if (!peer->probing)
		peer->next += (int64_t)message.n_entries;
}

static bool raft_may_send_entries(const struct raft *raft,
				  const struct raft_peer *peer)
{
	int limit = peer->probing ? 1 : raft->options.max_inflight;

	return peer->n_inflight < limit &&
	       peer->next <= raft_replication_limit(raft);
}

/**
 * Send the entries that a peer lacks, or an empty append if there are none and
 * a heartbeat is due.
 */
void raft_replicate_to(struct raft *raft, struct raft_peer *peer,
		       bool heartbeat, int64_t now_us, struct effects *effects)
{
	if (!peer->up || !peer->replicating)
		return;
	if (peer->next > raft_replication_limit(raft) + 1)
		peer->next = raft_replication_limit(raft) + 1;
	if (raft_log_term(&raft->log, peer->next - 1) < 0) {
		raft_send_chunk(raft, peer, now_us, effects);
		return;
	}
	peer->snapshot_index = 0;
	while (raft_may_send_entries(raft, peer)) {
		raft_send_append(raft, peer, true, now_us, effects);
		heartbeat = false;
	}
	if (heartbeat)
		raft_send_append(raft, peer, false, now_us, effects);
}

/**
 * Replicate to all peers. Learners get entries in batches, at most once per
 * learner heartbeat: hundreds of them each get every entry, and most of those
 * aren't urgent.
 */
void raft_replicate_all(struct raft *raft, bool notice, int64_t now_us,
			struct effects *effects)
{
	struct raft_peer *peer;

	list_foreach(peer, &raft->peers, node) {
		bool idle = notice && !peer->n_inflight;

		if (peer->is_voter || peer->probing ||
		    now_us - peer->sent_us >=
			    raft->options.learner_heartbeat_us)
			raft_replicate_to(raft, peer, idle, now_us, effects);
	}
}

void raft_record_answer(struct raft_peer *peer,
			const struct raft_message *message, int64_t now_us)
{
	if (message->echo_us > now_us)
		return;
	if (message->echo_us > peer->last_answered_us)
		peer->last_answered_us = message->echo_us;
	if (!peer->disk_failed && message->echo_us > peer->last_acked_us)
		peer->last_acked_us = message->echo_us;
}

/**
 * Links keep order: what the peer hasn't acknowledged when it answers a later
 * message was lost. A timeout instead would send a large entry again while it
 * is still on its way over a slow link, and delay it further.
 */
bool raft_last_send_was_lost(const struct raft_peer *peer)
{
	return peer->last_answered_us > peer->data_sent_us;
}

/**
 * After a loss, probe the peer's log again from the last index known to be
 * there.
 */
static void raft_check_progress(struct raft_peer *peer)
{
	if (!peer->n_inflight || !raft_last_send_was_lost(peer))
		return;
	peer->n_inflight = 0;
	peer->probing = true;
	if (peer->received + 1 < peer->next && peer->received)
		peer->next = peer->received + 1;
}

void raft_tick_replication(struct raft *raft, int64_t now_us,
			   struct effects *effects)
{
	struct raft_peer *peer;

	list_foreach(peer, &raft->peers, node) {
		int64_t interval_us =
			peer->is_voter ? raft->options.heartbeat_us
				       : raft->options.learner_heartbeat_us;

		if (!peer->replicating)
			continue;
		raft_check_progress(peer);
		if (now_us - peer->sent_us >= interval_us)
			raft_replicate_to(raft, peer, true, now_us, effects);
	}
}

static int raft_compare_descending(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return left < right ? 1 : left > right ? -1 : 0;
}

/**
 * The value that a quorum of voters has reached: `last_acked_us` or `match`.
 */
static int64_t raft_quorum_value(const struct raft *raft, int64_t own,
				 bool times)
{
	int64_t values[MEMBER_MAX];
	int voters = raft->voters;
	struct raft_peer *peer;
	int n = 0;

	if (raft_can_vote(raft))
		values[n++] = own;
	list_foreach(peer, &raft->peers, node)
		if (peer->is_voter)
			values[n++] = times ? peer->last_acked_us : peer->match;
	while (n < voters)
		values[n++] = times ? RAFT_NEVER : 0;
	qsort(values, (size_t)n, sizeof(*values), raft_compare_descending);
	return values[members_quorum(voters) - 1];
}

/** Leader: the latest time at which a quorum still acknowledged it. */
int64_t raft_quorum_us(const struct raft *raft, int64_t now_us)
{
	return raft_quorum_value(raft, now_us, true);
}

void raft_renew_lease(struct raft *raft, int64_t now_us)
{
	int64_t quorum_us = raft_quorum_us(raft, now_us);

	/* a new leader may not know yet which earlier entries are committed */
	if (quorum_us > raft->fresh_us && raft->commit >= raft->first_own_index)
		raft->fresh_us = quorum_us;
	lease_renew(&raft->lease, quorum_us);
}

/**
 * Commit what is durable on a quorum. An entry of an earlier term is committed
 * only together with one of the current term: a log with a later term can still
 * replace it, even on a quorum.
 */
void raft_advance_commit(struct raft *raft, int64_t now_us,
			 struct effects *effects)
{
	int64_t commit = raft_quorum_value(raft, raft->synced_index, false);

	if (commit <= raft->commit)
		return;
	if (raft_log_term(&raft->log, commit) != raft->term &&
	    raft->options.mutant != RAFT_MUTANT_COMMIT_OLD_TERM)
		return;
	raft->counters.entries_committed += commit - raft->commit;
	raft->commit = commit;
	raft_replicate_all(raft, true, now_us, effects);
	if (raft->members_index <= commit && !raft_is_voter(raft))
		raft_become_follower(raft, raft->term, 0, now_us, effects);
}

static void raft_update_received(struct raft_peer *peer, int64_t held)
{
	int kept = 0;
	int i;

	if (held > peer->received)
		peer->received = held;
	for (i = 0; i < peer->n_inflight; i++)
		if (peer->inflight[i] > held)
			peer->inflight[kept++] = peer->inflight[i];
	peer->n_inflight = kept;
	if (peer->next <= held)
		peer->next = held + 1;
}

/**
 * The peer's log doesn't match at the probed index; the reply says where to
 * continue.
 */
static void raft_handle_rejection(struct raft_peer *peer,
				  const struct raft_message *message)
{
	peer->probing = true;
	peer->n_inflight = 0;
	if (message->index + 1 < peer->next)
		peer->next = message->index + 1;
	if (peer->next <= peer->match)
		peer->next = peer->match + 1;
}

void raft_on_append_reply(struct raft *raft, struct raft_peer *peer,
			  const struct raft_message *message, int64_t now_us,
			  struct effects *effects)
{
	if (message->term > raft->term && raft->role == RAFT_LEADER) {
		raft_become_follower(raft, message->term, 0, now_us, effects);
		return;
	}
	peer->disk_failed = message->flags & RAFT_DISK_HAS_FAILED;
	peer->applied = message->applied;
	peer->peer_clock_us = message->sent_us;
	peer->reported_by_child = false;
	raft_apply_reports(raft, message, now_us);
	if (!peer->replicating ||
	    (raft->role == RAFT_LEADER && message->term != raft->term))
		return;
	raft_record_answer(peer, message, now_us);
	if (message->flags & RAFT_REJECTED) {
		raft_handle_rejection(peer, message);
	} else if (message->received) {
		if (message->match > peer->match)
			peer->match = message->match;
		raft_update_received(peer, message->received);
		peer->probing = false;
	}
	if (raft->role == RAFT_LEADER) {
		raft_renew_lease(raft, now_us);
		raft_advance_commit(raft, now_us, effects);
	}
	if (peer->is_voter || message->flags & RAFT_REJECTED ||
	    raft_may_send_entries(raft, peer))
		raft_replicate_to(raft, peer, false, now_us, effects);
}
