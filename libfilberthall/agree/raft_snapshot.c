#include <stdlib.h>
#include <string.h>

#include "agree/raft_internal.h"
#include "base/alloc.h"

/**
 * A snapshot's body: length of the membership (4 bytes, little endian), the
 * membership, the state of the state machine.
 */
#define RAFT_SNAPSHOT_HEADER 4

static void raft_snapshot_build(struct bytes *out,
				const struct members *members,
				const char *state, size_t len)
{
	struct bytes config = { 0 };
	unsigned char header[RAFT_SNAPSHOT_HEADER];
	int i;

	members_encode(members, &config);
	for (i = 0; i < RAFT_SNAPSHOT_HEADER; i++)
		header[i] = (unsigned char)(config.len >> (8 * i));
	bytes_append(out, header, sizeof(header));
	bytes_append(out, config.data, config.len);
	bytes_append(out, state, len);
	bytes_clear(&config);
}

/** Parse a snapshot; `members` must be empty, `*state` points into `body`. */
bool raft_snapshot_split(const struct bytes *body, struct members *members,
			 const char **state, size_t *len)
{
	size_t config = 0;
	int i;

	if (body->len < RAFT_SNAPSHOT_HEADER)
		return false;
	for (i = 0; i < RAFT_SNAPSHOT_HEADER; i++)
		config |= (size_t)(unsigned char)body->data[i] << (8 * i);
	if (config > body->len - RAFT_SNAPSHOT_HEADER)
		return false;
	*state = body->data + RAFT_SNAPSHOT_HEADER + config;
	*len = body->len - RAFT_SNAPSHOT_HEADER - config;
	return members_decode(members, body->data + RAFT_SNAPSHOT_HEADER,
			      config);
}

/** The membership in the current snapshot. */
struct members raft_snapshot_members(const struct raft *raft)
{
	struct members members = { 0 };
	const char *state;
	size_t len;

	if (raft->snapshot_index)
		raft_snapshot_split(&raft->snapshot, &members, &state, &len);
	return members;
}

/** The membership as of a committed index. */
static struct members raft_members_at(const struct raft *raft, int64_t index)
{
	struct members members = { 0 };
	int64_t i;

	for (i = index; i >= raft->log.first; i--) {
		const struct raft_entry *entry = raft_log_at(&raft->log, i);

		if (entry->body.data[0] != RAFT_ENTRY_MEMBERS)
			continue;
		members_decode(&members, entry->body.data + 1,
			       entry->body.len - 1);
		return members;
	}
	return raft_snapshot_members(raft);
}

bool raft_needs_snapshot(const struct raft *raft)
{
	return raft->log.bytes >= raft->options.snapshot_bytes &&
	       raft->applied - raft->options.keep_entries >= raft->log.first &&
	       raft->applied > raft->snapshot_index;
}

void raft_set_snapshot(struct raft *raft, int64_t index, const char *data,
		       size_t len, int64_t now_us, struct effects *effects)
{
	struct members members;

	if (index <= raft->snapshot_index || index > raft->applied ||
	    !raft_log_at(&raft->log, index))
		return;
	members = raft_members_at(raft, index);
	bytes_clear(&raft->snapshot);
	raft_snapshot_build(&raft->snapshot, &members, data, len);
	members_clear(&members);
	raft->snapshot_index = index;
	raft->snapshot_term = raft_log_term(&raft->log, index);
	raft_write_snapshot(raft, effects);
	/*
	 * keep a short tail of the log, so that a slow member needs no snapshot
	 */
	if (index - raft->options.keep_entries >= raft->log.first)
		raft_log_drop(&raft->log, index - raft->options.keep_entries);
	raft_finish(raft, now_us, effects);
}

void raft_send_chunk(struct raft *raft, struct raft_peer *peer, int64_t now_us,
		     struct effects *effects)
{
	struct raft_message message = {
		.kind = RAFT_CHUNK,
		.term = raft->term,
		.index = raft->snapshot_index,
		.log_term = raft->snapshot_term,
		.total = (int64_t)raft->snapshot.len,
		.sent_us = now_us,
		.echo_us = peer->peer_clock_us,
		.leader = raft->leader,
		.flags = raft->role == RAFT_LEADER ? 0 : RAFT_RELAYED,
	};
	int64_t len = raft->options.chunk_bytes;

	if (!raft->snapshot_index)
		return;
	if (peer->snapshot_index != raft->snapshot_index) {
		peer->snapshot_index = raft->snapshot_index;
		peer->snapshot_offset = 0;
		peer->chunk_sent = false;
		raft->counters.snapshots_sent++;
	}
	if (len > message.total - peer->snapshot_offset)
		len = message.total - peer->snapshot_offset;
	/* Without data the message is a heartbeat. */
	if (peer->chunk_sent && !raft_last_send_was_lost(peer))
		len = 0;
	message.offset = peer->snapshot_offset;
	message.data = raft->snapshot.data + message.offset;
	message.len = (size_t)len;
	raft_send(raft, peer->id, &message, effects);
	peer->sent_us = now_us;
	if (!len)
		return;
	peer->data_sent_us = now_us;
	peer->chunk_sent = true;
}

void raft_on_chunk_reply(struct raft *raft, struct raft_peer *peer,
			 const struct raft_message *message, int64_t now_us,
			 struct effects *effects)
{
	if (message->term > raft->term && raft->role == RAFT_LEADER) {
		raft_become_follower(raft, message->term, 0, now_us, effects);
		return;
	}
	if (!peer->replicating ||
	    (raft->role == RAFT_LEADER && message->term != raft->term))
		return;
	raft_record_answer(peer, message, now_us);
	if (message->index != peer->snapshot_index ||
	    message->offset == peer->snapshot_offset ||
	    message->offset > (int64_t)raft->snapshot.len)
		return;
	peer->snapshot_offset = message->offset;
	peer->chunk_sent = false;
	if (message->offset < (int64_t)raft->snapshot.len) {
		raft_send_chunk(raft, peer, now_us, effects);
		return;
	}
	peer->next = message->index + 1;
	peer->snapshot_index = 0;
	peer->n_inflight = 0;
	raft_replicate_to(raft, peer, true, now_us, effects);
}

static void raft_install(struct raft *raft, struct effects *effects)
{
	struct members members = { 0 };
	const char *state;
	size_t len;

	if (!raft_snapshot_split(&raft->chunk, &members, &state, &len)) {
		raft_emit_log(effects, LOG_ERROR, "malformed snapshot ignored");
		return;
	}
	members_clear(&members);
	bytes_clear(&raft->snapshot);
	raft->snapshot = raft->chunk;
	memset(&raft->chunk, 0, sizeof(raft->chunk));
	raft->snapshot_index = raft->chunk_index;
	raft->snapshot_term = raft->chunk_term;
	if (raft_log_term(&raft->log, raft->snapshot_index) !=
	    raft->snapshot_term) {
		/*
		 * The entries after the snapshot's index were never committed.
		 * They are removed first: a crash in between then leaves only a
		 * shorter log. None of them counts as durable before the
		 * snapshot is.
		 */
		raft_mark_unsynced(raft, raft->commit + 1);
		raft_write_truncate(raft, raft->snapshot_index + 1, effects);
		raft_log_reset(&raft->log, raft->snapshot_index,
			       raft->snapshot_term);
	}
	raft_write_snapshot(raft, effects);
	raft->commit = raft->snapshot_index;
	if (raft->verified < raft->commit)
		raft->verified = raft->commit;
	raft_scan_members(raft, effects);
}

/** Store a chunk if it continues the snapshot being received. */
static void raft_store_chunk(struct raft *raft,
			     const struct raft_message *message,
			     struct effects *effects)
{
	if (message->offset == 0 && (raft->chunk_index != message->index ||
				     raft->chunk_term != message->log_term)) {
		bytes_clear(&raft->chunk);
		raft->chunk_index = message->index;
		raft->chunk_term = message->log_term;
	}
	if (raft->chunk_index != message->index ||
	    raft->chunk_term != message->log_term ||
	    message->offset != (int64_t)raft->chunk.len ||
	    message->offset + (int64_t)message->len > message->total)
		return;
	bytes_append(&raft->chunk, message->data, message->len);
	if ((int64_t)raft->chunk.len == message->total) {
		raft_install(raft, effects);
		bytes_clear(&raft->chunk);
		raft->chunk_index = 0;
	}
}

/**
 * Record contact with the sender of a chunk, as raft_on_append() does; false if
 * the chunk must be ignored.
 */
static bool raft_accept_chunk_sender(struct raft *raft, struct raft_peer *peer,
				     const struct raft_message *message,
				     int64_t now_us, struct effects *effects)
{
	if (message->flags & RAFT_RELAYED) {
		if (!raft_accepts_relayed(raft, peer))
			return false;
		raft->upstream_contact_us = now_us;
		return true;
	}
	if (message->term < raft->term || raft->role == RAFT_LEADER)
		return false;
	if (message->term > raft->term || raft->role != RAFT_FOLLOWER ||
	    raft->leader != peer->id)
		raft_become_follower(raft, message->term, peer->id, now_us,
				     effects);
	raft->removed = false;
	raft->leader_contact_us = now_us;
	raft->upstream = peer->id;
	raft->upstream_contact_us = now_us;
	raft_reset_election(raft, now_us);
	return true;
}

void raft_on_chunk(struct raft *raft, struct raft_peer *peer,
		   const struct raft_message *message, int64_t now_us,
		   struct effects *effects)
{
	struct raft_message reply = {
		.kind = RAFT_CHUNK_REPLY,
		.index = message->index,
		.echo_us = message->sent_us,
		.sent_us = now_us,
	};

	if (!raft_accept_chunk_sender(raft, peer, message, now_us, effects))
		return;
	if (message->index > raft->commit)
		raft_store_chunk(raft, message, effects);
	reply.offset = message->index <= raft->commit
			       ? message->total
			       : (int64_t)raft->chunk.len;
	reply.term = raft->term;
	raft_send(raft, peer->id, &reply, effects);
}
