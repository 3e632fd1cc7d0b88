#include "agree/raft_internal.h"

bool raft_can_vote(const struct raft *raft)
{
	return raft->options.self.disk && !raft->disk_failed &&
	       raft_is_voter(raft);
}

/**
 * Whether this member may grant a vote. That includes the time before it has
 * received the entry that makes it a voter: if another voter is dead, the
 * candidate that holds this entry may need this very vote, and no other member
 * can be elected.
 */
static bool raft_may_grant_vote(const struct raft *raft)
{
	return raft->options.self.disk && !raft->disk_failed;
}

/** Restart the election timer at random, so that split votes are rare. */
void raft_reset_election(struct raft *raft, int64_t now_us)
{
	int64_t election_us = raft->options.election_us;

	raft->election_at_us =
		now_us + election_us +
		(int64_t)rng_below(&raft->rng, (uint64_t)election_us);
}

static void raft_clear_votes(struct raft *raft)
{
	struct raft_peer *peer;

	raft->self_vote_granted = false;
	list_foreach(peer, &raft->peers, node)
		peer->vote_granted = false;
}

/**
 * Called when the leader or the term changes, also for a new term of the same
 * leader: only committed entries are then known to be in the leader's log too.
 * If later ones counted as confirmed, the leader's commit index could commit an
 * entry that it has replaced.
 */
void raft_reset_verified(struct raft *raft)
{
	struct raft_peer *peer;

	raft->verified = raft->commit;
	raft->acknowledged = 0;
	list_foreach(peer, &raft->peers, node)
		peer->echo_clock_us = 0;
}

void raft_become_follower(struct raft *raft, int64_t term, uint64_t leader,
			  int64_t now_us, struct effects *effects)
{
	struct raft_peer *peer;
	bool was_leader = raft->role == RAFT_LEADER;

	if (term != raft->term || raft->leader != leader || was_leader)
		raft_reset_verified(raft);
	if (term != raft->term) {
		raft->term = term;
		raft->vote = 0;
		raft_write_hard_state(raft, effects);
	}
	raft->role = RAFT_FOLLOWER;
	raft->leader = leader;
	raft->transferring = false;
	lease_end(&raft->lease);
	members_clear(&raft->joining);
	raft_clear_votes(raft);
	list_foreach(peer, &raft->peers, node)
		peer->replicating = peer->downstream;
	raft_reset_election(raft, now_us);
	if (was_leader)
		raft_emit_log(effects, LOG_WARN,
			      "no longer leader in term %lld", (long long)term);
}

/**
 * Whether a leader may still rely on this member not to vote: it is the leader
 * itself, or was in contact with one less than an election timeout ago. After a
 * restart that contact is assumed.
 *
 * A vote given now could break the leader's lease, and a member that comes back
 * from a partition with a higher term would depose a working leader.
 */
static bool raft_leader_may_hold_lease(const struct raft *raft, int64_t now_us)
{
	if (raft->options.mutant == RAFT_MUTANT_VOTE_WHILE_LEADER_HEARD)
		return false;
	return raft->role == RAFT_LEADER ||
	       now_us - raft->leader_contact_us < raft->options.election_us;
}

/** A candidate whose log is behind ours may lack committed entries. */
static bool raft_candidate_log_is_current(const struct raft *raft,
					  const struct raft_message *message)
{
	int64_t last = raft_log_last(&raft->log);
	int64_t last_term = raft_log_term(&raft->log, last);

	if (raft->options.mutant == RAFT_MUTANT_VOTE_ANY_LOG)
		return true;
	return message->log_term > last_term ||
	       (message->log_term == last_term && message->index >= last);
}

static void raft_request_votes(struct raft *raft, enum raft_message_kind kind,
			       int64_t term, bool transfer,
			       struct effects *effects)
{
	struct raft_message message = {
		.kind = kind,
		.term = term,
		.index = raft_log_last(&raft->log),
		.log_term =
			raft_log_term(&raft->log, raft_log_last(&raft->log)),
		.flags = transfer ? RAFT_TRANSFER : 0,
	};
	struct raft_peer *peer;

	list_foreach(peer, &raft->peers, node) {
		if (!peer->up || !peer->is_voter)
			continue;
		if (kind == RAFT_VOTE)
			raft_send_after_sync(raft, peer->id, &message, effects);
		else
			raft_send(raft, peer->id, &message, effects);
	}
}

/**
 * Pre-vote: ask whether others would vote for us. Without it a partitioned
 * member raises its term again and again, and deposes the leader when it
 * returns.
 */
void raft_prevote(struct raft *raft, int64_t now_us, struct effects *effects)
{
	raft_reset_election(raft, now_us);
	raft_clear_votes(raft);
	raft->leader = 0;
	raft->role = RAFT_PRE_CANDIDATE;
	raft->self_vote_granted = true;
	raft_request_votes(raft, RAFT_PREVOTE, raft->term + 1, false, effects);
	raft_count_votes(raft, now_us, effects);
}

void raft_campaign(struct raft *raft, bool transfer, int64_t now_us,
		   struct effects *effects)
{
	raft->counters.elections++;
	raft_reset_election(raft, now_us);
	raft_clear_votes(raft);
	raft->role = RAFT_CANDIDATE;
	raft->leader = 0;
	raft->term++;
	raft->vote = raft->options.self.id;
	raft_write_hard_state(raft, effects);
	raft_request_votes(raft, RAFT_VOTE, raft->term, transfer, effects);
	if (raft->options.mutant == RAFT_MUTANT_VOTE_BEFORE_SYNC)
		raft->self_vote_granted = true;
}

void raft_reset_contact_times(struct raft *raft, int64_t now_us)
{
	struct raft_peer *peer;

	raft->repair_at_us = now_us + raft->options.election_us;
	/*
	 * Peers without a link aren't counted as in contact: otherwise the
	 * replacement of a voter that has been gone for seconds would be
	 * delayed again at each change of leader.
	 */
	list_foreach(peer, &raft->peers, node)
		if (peer->up)
			peer->last_contact_us = now_us;
}

static void raft_become_leader(struct raft *raft, int64_t now_us,
			       struct effects *effects)
{
	int64_t last = raft_log_last(&raft->log);
	struct raft_peer *peer;

	raft->role = RAFT_LEADER;
	raft->leader = raft->options.self.id;
	raft->elected_us = now_us;
	raft_reset_contact_times(raft, now_us);
	raft->transferring = false;
	raft->transfer_sent = false;
	lease_elected(&raft->lease, raft->term, now_us);
	if (raft->options.mutant == RAFT_MUTANT_ORDER_WITHOUT_WAIT)
		raft->lease.first_order_us = now_us;
	list_foreach(peer, &raft->peers, node) {
		peer->next = last + 1;
		peer->match = 0;
		peer->received = 0;
		peer->probing = true;
		peer->n_inflight = 0;
		peer->sent_us = RAFT_NEVER;
		peer->last_acked_us = RAFT_NEVER;
		peer->snapshot_index = 0;
		peer->replicating =
			peer->downstream || raft_leader_replicates_to(peer);
	}
	raft_emit_log(effects, LOG_INFO, "leader in term %lld",
		      (long long)raft->term);
	raft->first_own_index =
		raft_append_own(raft, RAFT_ENTRY_EMPTY, NULL, 0, effects)
			->index;
	raft_replicate_all(raft, true, now_us, effects);
}

void raft_count_votes(struct raft *raft, int64_t now_us,
		      struct effects *effects)
{
	int quorum = members_quorum(raft->voters);
	int votes = raft->self_vote_granted && raft_can_vote(raft);
	struct raft_peer *peer;

	list_foreach(peer, &raft->peers, node)
		if (peer->vote_granted && peer->is_voter)
			votes++;
	if (votes < quorum)
		return;
	if (raft->role == RAFT_PRE_CANDIDATE)
		raft_campaign(raft, false, now_us, effects);
	else if (raft->role == RAFT_CANDIDATE)
		raft_become_leader(raft, now_us, effects);
}

static void raft_on_prevote(struct raft *raft, struct raft_peer *peer,
			    const struct raft_message *message, int64_t now_us,
			    struct effects *effects)
{
	struct raft_message reply = { .kind = RAFT_PREVOTE_REPLY };

	if (raft->self_is_member && !peer->is_member) {
		reply.flags = RAFT_REJECTED | RAFT_REMOVED;
		reply.term = raft->term;
	} else if (message->term > raft->term && raft_may_grant_vote(raft) &&
		   !raft_leader_may_hold_lease(raft, now_us) &&
		   raft_candidate_log_is_current(raft, message)) {
		reply.flags = RAFT_GRANTED;
		reply.term = message->term;
	} else {
		reply.flags = RAFT_REJECTED;
		reply.term = raft->term;
	}
	raft_send(raft, peer->id, &reply, effects);
}

static void raft_answer_vote(struct raft *raft, struct raft_peer *peer,
			     const struct raft_message *message, int64_t now_us,
			     struct effects *effects)
{
	struct raft_message reply = { .kind = RAFT_VOTE_REPLY,
				      .term = raft->term };
	bool granted = raft->role == RAFT_FOLLOWER && !raft->leader &&
		       (!raft->vote || raft->vote == peer->id) &&
		       raft_may_grant_vote(raft) &&
		       raft_candidate_log_is_current(raft, message);

	if (granted && !raft->vote) {
		raft->vote = peer->id;
		raft_write_hard_state(raft, effects);
	}
	if (granted)
		raft_reset_election(raft, now_us);
	reply.flags = granted ? RAFT_GRANTED : RAFT_REJECTED;
	/* a crash could lose an unsynced vote, and it might be given twice */
	raft_send_after_sync(raft, peer->id, &reply, effects);
}

void raft_on_vote(struct raft *raft, struct raft_peer *peer,
		  const struct raft_message *message, int64_t now_us,
		  struct effects *effects)
{
	bool asked_by_leader = message->flags & RAFT_TRANSFER;

	raft->removed = false;
	if (message->kind == RAFT_PREVOTE) {
		raft_on_prevote(raft, peer, message, now_us, effects);
		return;
	}
	if (message->term < raft->term ||
	    (!asked_by_leader && raft_leader_may_hold_lease(raft, now_us)))
		return;
	if (message->term > raft->term)
		raft_become_follower(raft, message->term, 0, now_us, effects);
	raft_answer_vote(raft, peer, message, now_us, effects);
}

void raft_on_vote_reply(struct raft *raft, struct raft_peer *peer,
			const struct raft_message *message, int64_t now_us,
			struct effects *effects)
{
	bool prevote = message->kind == RAFT_PREVOTE_REPLY;
	int64_t wanted = prevote ? raft->term + 1 : raft->term;
	enum raft_role role = prevote ? RAFT_PRE_CANDIDATE : RAFT_CANDIDATE;

	if (message->flags & RAFT_REMOVED && raft->role != RAFT_LEADER) {
		if (!raft->removed)
			raft_become_follower(raft, raft->term, 0, now_us,
					     effects);
		raft->removed = true;
		return;
	}
	if (!(message->flags & RAFT_GRANTED)) {
		if (message->term > raft->term)
			raft_become_follower(raft, message->term, 0, now_us,
					     effects);
		return;
	}
	if (raft->role != role || message->term != wanted)
		return;
	peer->vote_granted = true;
	raft_count_votes(raft, now_us, effects);
}

/** Leadership transfer to this member; the leader has given up its lease. */
void raft_on_timeout_now(struct raft *raft, const struct raft_message *message,
			 int64_t now_us, struct effects *effects)
{
	if (message->term == raft->term && raft->role == RAFT_FOLLOWER &&
	    raft_can_vote(raft))
		raft_campaign(raft, true, now_us, effects);
}
