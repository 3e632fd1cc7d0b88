#include "agree/raft.h"

#include <stdlib.h>
#include <string.h>

#include "agree/raft_internal.h"
#include "base/alloc.h"

#define RAFT_HEARTBEAT_US 100000
#define RAFT_LEARNER_HEARTBEAT_US 500000
#define RAFT_ELECTION_US 1000000
#define RAFT_DRIFT_PPM 10000
#define RAFT_BATCH_BYTES (256 * 1024)
#define RAFT_INFLIGHT 8
#define RAFT_CHUNK_BYTES (256 * 1024)
#define RAFT_SNAPSHOT_BYTES (4 * 1024 * 1024)
#define RAFT_KEEP_ENTRIES 256
#define RAFT_CHILDREN 16
#define RAFT_VOTERS 3
#define RAFT_REPLACE_US 10000000
#define RAFT_DROP_US INT64_C(3600000000)
#define RAFT_MAX_COMMAND_BYTES (1024 * 1024)

struct raft_options raft_default_options(void)
{
	struct raft_options options = {
		.heartbeat_us = RAFT_HEARTBEAT_US,
		.learner_heartbeat_us = RAFT_LEARNER_HEARTBEAT_US,
		.election_us = RAFT_ELECTION_US,
		.drift_ppm = RAFT_DRIFT_PPM,
		.max_batch_bytes = RAFT_BATCH_BYTES,
		.max_inflight = RAFT_INFLIGHT,
		.chunk_bytes = RAFT_CHUNK_BYTES,
		.snapshot_bytes = RAFT_SNAPSHOT_BYTES,
		.keep_entries = RAFT_KEEP_ENTRIES,
		.max_children = RAFT_CHILDREN,
		.policy = { RAFT_VOTERS, RAFT_REPLACE_US, RAFT_DROP_US },
		.lease = lease_default_options(),
	};

	return options;
}

struct raft *raft_new(const struct raft_options *options, int64_t now_us)
{
	struct raft *raft = xcalloc(1, sizeof(*raft));
	bool skip_restart_wait = options->mutant == RAFT_MUTANT_NO_RESTART_WAIT;

	raft->options = *options;
	if (raft->options.max_inflight > RAFT_MAX_INFLIGHT)
		raft->options.max_inflight = RAFT_MAX_INFLIGHT;
	raft->rng.state = options->seed;
	raft_log_reset(&raft->log, 0, 0);
	list_init(&raft->tickets);
	list_init(&raft->deferred);
	list_init(&raft->peers);
	map_init(&raft->peers_by_id);
	raft->leader_contact_us = skip_restart_wait ? RAFT_NEVER : now_us;
	raft->fresh_us = RAFT_NEVER;
	raft->upstream_contact_us = RAFT_NEVER;
	lease_init(&raft->lease, &options->lease);
	raft_reset_election(raft, now_us);
	return raft;
}

static void raft_free_lists(struct raft *raft)
{
	struct raft_pending_sync *ticket;
	struct raft_pending_sync *next_ticket;
	struct raft_deferred_message *waiting;
	struct raft_deferred_message *next_waiting;
	struct raft_peer *peer;
	struct raft_peer *next_peer;

	list_foreach_safe(ticket, next_ticket, &raft->tickets, node)
		free(ticket);
	list_foreach_safe(waiting, next_waiting, &raft->deferred, node) {
		bytes_clear(&waiting->body);
		free(waiting);
	}
	list_foreach_safe(peer, next_peer, &raft->peers, node)
		free(peer);
	map_clear(&raft->peers_by_id);
}

void raft_free(struct raft *raft)
{
	if (!raft)
		return;
	raft_free_lists(raft);
	raft_log_clear(&raft->log);
	bytes_clear(&raft->snapshot);
	bytes_clear(&raft->chunk);
	members_clear(&raft->members);
	members_clear(&raft->joining);
	free(raft);
}

void raft_persistent_state_clear(struct raft_persistent_state *saved)
{
	size_t i;

	for (i = 0; i < saved->n_entries; i++)
		bytes_clear(&saved->entries[i].body);
	free(saved->entries);
	bytes_clear(&saved->snapshot);
	memset(saved, 0, sizeof(*saved));
}

/** A snapshot must contain the membership, or the voters would be unknown. */
static bool raft_saved_snapshot_ok(const struct raft_persistent_state *saved)
{
	struct members members = { 0 };
	const char *state;
	size_t len;
	bool ok;

	if (!saved->snapshot_index)
		return true;
	ok = raft_snapshot_split(&saved->snapshot, &members, &state, &len);
	members_clear(&members);
	return ok;
}

enum result raft_restore(struct raft *raft,
			 const struct raft_persistent_state *saved)
{
	struct effects ignored;
	size_t i;

	if (!raft_saved_snapshot_ok(saved))
		return RESULT_LOG_DAMAGED;
	raft->term = saved->term;
	raft->vote = saved->vote;
	raft->snapshot_index = saved->snapshot_index;
	raft->snapshot_term = saved->snapshot_term;
	raft->snapshot = bytes_copy(&saved->snapshot);
	raft->commit = saved->snapshot_index;
	raft_log_reset(&raft->log, saved->snapshot_index, saved->snapshot_term);
	for (i = 0; i < saved->n_entries; i++) {
		const struct raft_entry *entry = &saved->entries[i];

		if (entry->index <= saved->snapshot_index)
			continue;
		if (entry->index != raft_log_last(&raft->log) + 1 ||
		    !entry->body.len || entry->term > saved->term)
			return RESULT_LOG_DAMAGED;
		raft_log_push(&raft->log, entry->term, entry->body.data,
			      entry->body.len);
	}
	raft->synced_index = raft_log_last(&raft->log);
	raft->verified = raft->commit;
	effects_init(&ignored);
	raft_scan_members(raft, &ignored);
	effects_clear(&ignored);
	return RESULT_OK;
}

enum result raft_bootstrap(struct raft *raft, int64_t now_us,
			   struct effects *effects)
{
	struct member first = raft->options.self;
	struct members members = { &first, 1 };
	struct bytes body = { 0 };

	if (raft->term || raft_log_last(&raft->log) || !first.disk)
		return RESULT_CONFLICT;
	first.role = MEMBER_VOTER;
	raft->term = 1;
	raft_write_hard_state(raft, effects);
	members_encode(&members, &body);
	raft_append_own(raft, RAFT_ENTRY_MEMBERS, body.data, body.len, effects);
	bytes_clear(&body);
	/* no earlier leader can rely on our vote, so no wait is needed */
	raft->leader_contact_us = RAFT_NEVER;
	raft->election_at_us = now_us;
	raft_finish(raft, now_us, effects);
	return RESULT_OK;
}

static void raft_continue_transfer(struct raft *raft, int64_t now_us,
				   struct effects *effects)
{
	struct raft_message message = { .kind = RAFT_TIMEOUT_NOW,
					.term = raft->term };
	struct raft_peer *peer;

	if (now_us >= raft->transfer_until_us) {
		raft_become_follower(raft, raft->term, 0, now_us, effects);
		return;
	}
	if (raft->transfer_sent)
		return;
	list_foreach(peer, &raft->peers, node) {
		if (!peer->up || peer->disk_failed || !peer->is_voter ||
		    peer->match < raft_log_last(&raft->log))
			continue;
		raft->transfer_sent = true;
		raft_send(raft, peer->id, &message, effects);
		return;
	}
}

static void raft_tick_leader(struct raft *raft, int64_t now_us,
			     struct effects *effects)
{
	int64_t quorum_us = raft_quorum_us(raft, now_us);

	if (quorum_us < raft->elected_us)
		quorum_us = raft->elected_us;
	if (now_us - quorum_us >= raft->options.election_us) {
		raft_emit_log(effects, LOG_WARN, "no quorum: stepping down");
		raft_become_follower(raft, raft->term, 0, now_us, effects);
		return;
	}
	raft_renew_lease(raft, now_us);
	raft_tick_members(raft, now_us, effects);
	if (raft->transferring)
		raft_continue_transfer(raft, now_us, effects);
}

/** Whether this member was removed and an upstream sends it what it missed. */
static bool raft_has_upstream(const struct raft *raft, int64_t now_us)
{
	return raft->removed &&
	       now_us - raft->upstream_contact_us < raft->options.election_us;
}

/**
 * A leader that was paused received nothing meanwhile: live members would count
 * as out of contact until their first answers arrive.
 */
static void raft_detect_pause(struct raft *raft, int64_t now_us)
{
	if (raft->role == RAFT_LEADER &&
	    now_us - raft->last_run_us >= raft->options.election_us)
		raft_reset_contact_times(raft, now_us);
	raft->last_run_us = now_us;
}

void raft_tick(struct raft *raft, int64_t now_us, struct effects *effects)
{
	raft_detect_pause(raft, now_us);
	if (raft->role == RAFT_LEADER)
		raft_tick_leader(raft, now_us, effects);
	else if (now_us >= raft->election_at_us && raft_can_vote(raft) &&
		 !raft_has_upstream(raft, now_us))
		raft_prevote(raft, now_us, effects);
	if (raft->role != RAFT_LEADER)
		raft_tick_learner(raft, now_us, effects);
	raft_tick_join(raft, now_us, effects);
	raft_tick_replication(raft, now_us, effects);
	raft_finish(raft, now_us, effects);
}

static void raft_dispatch(struct raft *raft, struct raft_peer *peer,
			  const struct raft_message *message, int64_t now_us,
			  struct effects *effects)
{
	switch ((enum raft_message_kind)message->kind) {
	case RAFT_PREVOTE:
	case RAFT_VOTE:
		raft_on_vote(raft, peer, message, now_us, effects);
		break;
	case RAFT_PREVOTE_REPLY:
	case RAFT_VOTE_REPLY:
		raft_on_vote_reply(raft, peer, message, now_us, effects);
		break;
	case RAFT_APPEND:
		raft_on_append(raft, peer, message, now_us, effects);
		break;
	case RAFT_APPEND_REPLY:
		raft_on_append_reply(raft, peer, message, now_us, effects);
		break;
	case RAFT_CHUNK:
		raft_on_chunk(raft, peer, message, now_us, effects);
		break;
	case RAFT_CHUNK_REPLY:
		raft_on_chunk_reply(raft, peer, message, now_us, effects);
		break;
	case RAFT_TIMEOUT_NOW:
		raft_on_timeout_now(raft, message, now_us, effects);
		break;
	case RAFT_JOIN:
		raft_on_join(raft, message, effects);
		break;
	case RAFT_SUBSCRIBE:
		raft_on_subscribe(raft, peer, message, now_us, effects);
		break;
	case RAFT_SUBSCRIBE_REFUSED:
		raft_on_subscribe_refused(raft, peer, message, effects);
		break;
	}
}

/**
 * When the sender of a message was alive for certain. A message may have waited
 * in a buffer while this VM was paused, and its sender may have died since. An
 * answer proves only that its sender was alive when the message that it answers
 * was sent.
 */
static int64_t raft_contact_us(const struct raft_message *message,
			       int64_t now_us)
{
	return message->echo_us && message->echo_us < now_us ? message->echo_us
							     : now_us;
}

void raft_message(struct raft *raft, uint64_t peer_id, const char *data,
		  size_t len, int64_t now_us, struct effects *effects)
{
	struct raft_peer *peer = raft_peer_get(raft, peer_id, now_us);
	struct raft_message message;
	int64_t alive_us;

	raft->counters.messages_received++;
	raft->counters.bytes_received += (int64_t)len;
	if (!peer)
		return;
	if (!raft_message_decode(&message, data, len)) {
		raft_emit_log(effects, LOG_WARN, "malformed message from %llu",
			      (unsigned long long)peer_id);
		return;
	}
	raft_detect_pause(raft, now_us);
	alive_us = raft_contact_us(&message, now_us);
	if (alive_us > peer->last_contact_us)
		peer->last_contact_us = alive_us;
	raft_dispatch(raft, peer, &message, now_us, effects);
	raft_message_clear(&message);
	raft_finish(raft, now_us, effects);
}

void raft_peer_up(struct raft *raft, uint64_t id, int64_t now_us,
		  struct effects *effects)
{
	struct raft_peer *peer = raft_peer_get(raft, id, now_us);

	if (!peer)
		return;
	peer->up = true;
	peer->probing = true;
	peer->n_inflight = 0;
	peer->snapshot_index = 0;
	/* Its VM may have been started anew, and its clock with it. */
	peer->peer_clock_us = 0;
	peer->echo_clock_us = 0;
	peer->replicating =
		peer->downstream ||
		(raft->role == RAFT_LEADER && raft_leader_replicates_to(peer));
	raft_replicate_to(raft, peer, true, now_us, effects);
	raft_finish(raft, now_us, effects);
}

void raft_peer_down(struct raft *raft, uint64_t id, int64_t now_us,
		    struct effects *effects)
{
	struct raft_peer *peer = raft_peer_find(raft, id);

	if (!peer)
		return;
	peer->up = false;
	peer->downstream = false;
	/* A leader counts from the peer's last message instead. */
	if (raft->role != RAFT_LEADER)
		peer->last_contact_us = now_us;
	peer->replicating =
		raft->role == RAFT_LEADER && raft_leader_replicates_to(peer);
	raft_finish(raft, now_us, effects);
}

enum result raft_propose(struct raft *raft, const char *data, size_t len,
			 int64_t now_us, struct effects *effects,
			 int64_t *index, int64_t *term)
{
	if (raft->role != RAFT_LEADER || raft->transferring)
		return RESULT_NOT_LEADER;
	if (len > RAFT_MAX_COMMAND_BYTES)
		return RESULT_TOO_LARGE;
	*index = raft_append_own(raft, RAFT_ENTRY_COMMAND, data, len, effects)
			 ->index;
	*term = raft->term;
	raft_replicate_all(raft, false, now_us, effects);
	raft_finish(raft, now_us, effects);
	return RESULT_OK;
}

static void raft_output_snapshot(struct raft *raft, struct raft_committed *out)
{
	struct members members = { 0 };

	out->kind = RAFT_COMMITTED_SNAPSHOT;
	out->index = raft->snapshot_index;
	out->term = raft->snapshot_term;
	raft_snapshot_split(&raft->snapshot, &members, &out->data, &out->len);
	members_clear(&members);
	raft->applied = raft->snapshot_index;
}

bool raft_next_committed(struct raft *raft, struct raft_committed *out)
{
	const struct raft_entry *entry;

	memset(out, 0, sizeof(*out));
	if (raft->applied >= raft->commit)
		return false;
	entry = raft_log_at(&raft->log, raft->applied + 1);
	if (!entry) {
		raft_output_snapshot(raft, out);
		return true;
	}
	raft->applied++;
	out->kind = entry->body.data[0] == RAFT_ENTRY_COMMAND
			    ? RAFT_COMMITTED_COMMAND
			    : RAFT_COMMITTED_OTHER;
	out->index = entry->index;
	out->term = entry->term;
	out->data = entry->body.data + 1;
	out->len = entry->body.len - 1;
	return true;
}

void raft_transfer(struct raft *raft, int64_t now_us, struct effects *effects)
{
	if (raft->role != RAFT_LEADER || raft->transferring)
		return;
	/*
	 * The lease is given up first and not renewed in this term: the next
	 * leader may be elected before it expires.
	 */
	raft->transferring = true;
	raft->transfer_sent = false;
	raft->transfer_until_us = now_us + raft->options.election_us;
	lease_end(&raft->lease);
	raft_continue_transfer(raft, now_us, effects);
	raft_finish(raft, now_us, effects);
}

bool raft_transfer_done(const struct raft *raft)
{
	return raft->role != RAFT_LEADER || raft->voters <= 1;
}
