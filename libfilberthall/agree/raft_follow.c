#include "agree/raft_internal.h"

/** The receiving side of replication, from the leader or an upstream. */

/**
 * The index after which the leader should continue after a conflict; never
 * before our commit index.
 */
static int64_t raft_conflict_hint(const struct raft *raft, int64_t index)
{
	int64_t last = raft_log_last(&raft->log);
	int64_t term;

	if (index > last)
		return last;
	term = raft_log_term(&raft->log, index);
	while (index > raft->commit && index >= raft->log.first &&
	       raft_log_term(&raft->log, index) == term)
		index--;
	return index > raft->commit ? index : raft->commit;
}

static void raft_reply_append(struct raft *raft, struct raft_peer *peer,
			      bool rejected, int64_t hint, int64_t now_us,
			      struct effects *effects)
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY,
		.term = raft->term,
		.echo_us = peer->echo_clock_us,
		.sent_us = now_us,
		.applied = raft->applied,
		.flags = raft->disk_failed ? RAFT_DISK_HAS_FAILED : 0,
	};

	if (rejected) {
		reply.flags |= RAFT_REJECTED;
		reply.index = hint;
	} else {
		reply.received = raft->verified;
		reply.match = raft->synced_index < raft->verified
				      ? raft->synced_index
				      : raft->verified;
		raft->acknowledged = reply.match;
	}
	raft_add_reports(raft, &reply, now_us);
	raft_send(raft, peer->id, &reply, effects);
	raft_message_clear(&reply);
}

/** Acknowledge durable entries to the sender of entries. */
void raft_acknowledge(struct raft *raft, int64_t now_us,
		      struct effects *effects)
{
	struct raft_peer *peer =
		raft_peer_find(raft, raft_is_voter(raft) ? raft->leader
							 : raft->upstream);
	int64_t match = raft->synced_index < raft->verified ? raft->synced_index
							    : raft->verified;

	if (raft->role == RAFT_FOLLOWER && peer && peer->up &&
	    match > raft->acknowledged)
		raft_reply_append(raft, peer, false, 0, now_us, effects);
}

static void raft_store_entry(struct raft *raft, const struct raft_entry *entry,
			     struct effects *effects)
{
	struct raft_entry *stored =
		raft_log_push(&raft->log, entry->term, entry->body.data,
			      entry->body.len);

	raft_write_append(raft, stored, effects);
	if (stored->body.data[0] == RAFT_ENTRY_MEMBERS)
		raft_adopt_members(raft, stored, effects);
}

/** Store the entries after a matching one; true if any is new. */
static bool raft_store_entries(struct raft *raft,
			       const struct raft_message *message,
			       struct effects *effects)
{
	bool stored = false;
	size_t i;

	for (i = 0; i < message->n_entries; i++) {
		int64_t index = message->index + 1 + (int64_t)i;
		const struct raft_entry *entry = &message->entries[i];

		if (index < raft->log.first ||
		    raft_log_term(&raft->log, index) == entry->term)
			continue;
		if (index <= raft->commit)
			return stored; /* a committed entry never changes */
		if (index <= raft_log_last(&raft->log)) {
			raft_write_truncate(raft, index, effects);
			raft_log_truncate(&raft->log, index);
			raft_scan_members(raft, effects);
		}
		raft_store_entry(raft, entry, effects);
		stored = true;
	}
	return stored;
}

/**
 * Update how fresh our state is. The sender echoes our clock, so it sent this
 * after that time, and a leader had a quorum `age` before it was sent. A
 * message that was delayed can't look newer than it is.
 */
static void raft_update_fresh_us(struct raft *raft,
				 const struct raft_message *message,
				 int64_t now_us)
{
	int64_t fresh_us;

	if (!message->age_us || !message->echo_us ||
	    message->echo_us > now_us || raft->verified < message->commit)
		return;
	fresh_us = message->echo_us - lease_add_drift(message->age_us - 1,
						      raft->options.drift_ppm);
	if (fresh_us > raft->fresh_us)
		raft->fresh_us = fresh_us;
}

static void raft_process_entries(struct raft *raft, struct raft_peer *peer,
				 const struct raft_message *message,
				 int64_t now_us, struct effects *effects)
{
	int64_t last = message->index + (int64_t)message->n_entries;
	bool behind = message->index < raft->log.first - 1;
	bool stored;

	/*
	 * An upstream may hold uncommitted entries; that ours are equal doesn't
	 * mean that they are in the leader's log.
	 */
	if (message->flags & RAFT_RELAYED && last > message->commit)
		last = message->commit;
	if (!behind &&
	    raft_log_term(&raft->log, message->index) != message->log_term) {
		raft_reply_append(raft, peer, true,
				  raft_conflict_hint(raft, message->index),
				  now_us, effects);
		return;
	}
	stored = raft_store_entries(raft, message, effects);
	if (last > raft->verified)
		raft->verified = last;
	if (raft->verified < raft->log.first - 1)
		raft->verified = raft->log.first - 1;
	if (message->commit > raft->commit) {
		int64_t commit = message->commit < raft->verified
					 ? message->commit
					 : raft->verified;

		if (commit > raft->commit)
			raft->commit = commit;
	}
	raft_update_fresh_us(raft, message, now_us);
	if (!stored || raft->disk_failed)
		raft_reply_append(raft, peer, false, 0, now_us, effects);
	raft_replicate_all(raft, false, now_us, effects);
}

/** Entries relayed by an upstream: committed ones, whoever leads now. */
static void raft_on_relayed(struct raft *raft, struct raft_peer *peer,
			    const struct raft_message *message, int64_t now_us,
			    struct effects *effects)
{
	if (!raft_accepts_relayed(raft, peer))
		return;
	if (message->term > raft->term)
		raft_become_follower(raft, message->term, message->leader,
				     now_us, effects);
	if (raft->leader != message->leader)
		raft_reset_verified(raft);
	raft->leader = message->leader;
	/*
	 * Two learners that are each other's upstream would stay in contact
	 * with one another but not with the group: only an upstream with fresh
	 * state counts.
	 */
	if (message->age_us && message->age_us < raft_upstream_age_limit(raft))
		raft->upstream_contact_us = now_us;
	peer->echo_clock_us = message->sent_us;
	raft_process_entries(raft, peer, message, now_us, effects);
}

void raft_on_append(struct raft *raft, struct raft_peer *peer,
		    const struct raft_message *message, int64_t now_us,
		    struct effects *effects)
{
	if (message->flags & RAFT_RELAYED) {
		raft_on_relayed(raft, peer, message, now_us, effects);
		return;
	}
	if (message->term < raft->term) {
		struct raft_message reply = { .kind = RAFT_APPEND_REPLY,
					      .term = raft->term,
					      .flags = RAFT_REJECTED };

		raft_send(raft, peer->id, &reply, effects);
		return;
	}
	if (raft->role == RAFT_LEADER && message->term == raft->term)
		return; /* impossible: a term has one leader */
	if (message->term > raft->term || raft->role != RAFT_FOLLOWER ||
	    raft->leader != peer->id)
		raft_become_follower(raft, message->term, peer->id, now_us,
				     effects);
	raft->removed = false;
	raft->leader_contact_us = now_us;
	raft->upstream = peer->id;
	raft->upstream_contact_us = now_us;
	raft->upstream_attempt = 0;
	if (message->sent_us > peer->echo_clock_us)
		peer->echo_clock_us = message->sent_us;
	raft_reset_election(raft, now_us);
	raft_process_entries(raft, peer, message, now_us, effects);
}
