#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "agree/raft_internal.h"
#include "base/alloc.h"
#include "core/event.h"

/**
 * Disk writes, and the messages that wait for them. Each call that wrote
 * something ends with one EFFECT_LOG_SYNC; the disk thread completes many of
 * them with one sync.
 */

static bool raft_writes(const struct raft *raft)
{
	return raft->options.self.disk && !raft->disk_failed;
}

void raft_write_hard_state(struct raft *raft, struct effects *effects)
{
	struct effect *effect;

	raft->dirty = true;
	if (!raft_writes(raft))
		return;
	effect = effects_add(effects, EFFECT_HARD_STATE);
	effect->u.hard_state.term = raft->term;
	effect->u.hard_state.vote = raft->vote;
}

void raft_write_append(struct raft *raft, const struct raft_entry *entry,
		       struct effects *effects)
{
	struct effect *effect;

	raft->dirty = true;
	if (!raft_writes(raft))
		return;
	effect = effects_add(effects, EFFECT_LOG_APPEND);
	effect->u.log_append.index = entry->index;
	effect->u.log_append.term = entry->term;
	effect->u.log_append.body = bytes_copy(&entry->body);
}

/**
 * Entries from `from` on are replaced. Pending syncs cover the old entries, so
 * they must not make the new ones count as durable.
 */
void raft_mark_unsynced(struct raft *raft, int64_t from)
{
	struct raft_pending_sync *ticket;

	list_foreach(ticket, &raft->tickets, node)
		if (ticket->last_index >= from)
			ticket->last_index = from - 1;
	if (raft->synced_index >= from)
		raft->synced_index = from - 1;
}

void raft_write_truncate(struct raft *raft, int64_t from,
			 struct effects *effects)
{
	struct effect *effect;

	raft_mark_unsynced(raft, from);
	raft->dirty = true;
	if (!raft_writes(raft))
		return;
	effect = effects_add(effects, EFFECT_LOG_TRUNCATE);
	effect->u.log_truncate.index = from;
}

void raft_write_snapshot(struct raft *raft, struct effects *effects)
{
	struct effect *effect;

	raft->dirty = true;
	if (!raft_writes(raft))
		return;
	effect = effects_add(effects, EFFECT_SNAPSHOT);
	effect->u.snapshot.index = raft->snapshot_index;
	effect->u.snapshot.term = raft->snapshot_term;
	effect->u.snapshot.body = bytes_copy(&raft->snapshot);
}

static void raft_send_bytes(struct raft *raft, uint64_t peer,
			    struct bytes *body, struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_SEND);

	raft->counters.messages_sent++;
	raft->counters.bytes_sent += (int64_t)body->len;
	effect->u.send.peer = peer;
	effect->u.send.channel = LINK_RAFT;
	effect->u.send.body = *body;
}

void raft_send(struct raft *raft, uint64_t peer,
	       const struct raft_message *message, struct effects *effects)
{
	struct bytes body = { 0 };

	raft_message_encode(message, &body);
	raft_send_bytes(raft, peer, &body, effects);
}

/** Send a message once all that has been written so far is synced. */
void raft_send_after_sync(struct raft *raft, uint64_t peer,
			  const struct raft_message *message,
			  struct effects *effects)
{
	struct raft_deferred_message *waiting;

	if (raft->disk_failed)
		return;
	if (!raft->dirty && list_empty(&raft->tickets)) {
		raft_send(raft, peer, message, effects);
		return;
	}
	waiting = xcalloc(1, sizeof(*waiting));
	waiting->ticket = raft->last_ticket + (raft->dirty ? 1 : 0);
	waiting->peer = peer;
	raft_message_encode(message, &waiting->body);
	list_append(&raft->deferred, &waiting->node);
}

static void raft_send_deferred(struct raft *raft, int64_t ticket,
			       struct effects *effects)
{
	struct raft_deferred_message *waiting;
	struct raft_deferred_message *next;

	list_foreach_safe(waiting, next, &raft->deferred, node) {
		if (waiting->ticket > ticket)
			break;
		list_remove(&waiting->node);
		raft_send_bytes(raft, waiting->peer, &waiting->body, effects);
		free(waiting);
	}
}

static void raft_drop_deferred(struct raft *raft)
{
	struct raft_deferred_message *waiting;
	struct raft_deferred_message *next;

	list_foreach_safe(waiting, next, &raft->deferred, node) {
		list_remove(&waiting->node);
		bytes_clear(&waiting->body);
		free(waiting);
	}
}

/**
 * All writes up to `ticket` are durable: send the deferred messages and count
 * the votes and entries.
 */
static void raft_sync_done(struct raft *raft, int64_t ticket, int64_t now_us,
			   struct effects *effects)
{
	struct raft_pending_sync *done;
	struct raft_pending_sync *next;

	list_foreach_safe(done, next, &raft->tickets, node) {
		if (done->ticket > ticket)
			break;
		if (done->last_index > raft->synced_index)
			raft->synced_index = done->last_index;
		if (done->term == raft->term && raft->role == RAFT_CANDIDATE)
			raft->self_vote_granted = true;
		list_remove(&done->node);
		free(done);
	}
	raft_send_deferred(raft, ticket, effects);
	if (raft->role == RAFT_CANDIDATE)
		raft_count_votes(raft, now_us, effects);
	if (raft->role == RAFT_LEADER)
		raft_advance_commit(raft, now_us, effects);
	else
		raft_acknowledge(raft, now_us, effects);
}

/** At the end of each call: request one sync for all that it wrote. */
void raft_finish(struct raft *raft, int64_t now_us, struct effects *effects)
{
	if (raft->disk_failed)
		raft->dirty = false;
	while (raft->dirty) {
		struct raft_pending_sync *ticket = xcalloc(1, sizeof(*ticket));
		int64_t last_index = raft_log_last(&raft->log);
		int64_t number = ++raft->last_ticket;

		raft->dirty = false;
		ticket->ticket = number;
		ticket->last_index = last_index;
		ticket->term = raft->term;
		list_append(&raft->tickets, &ticket->node);
		if (raft_writes(raft)) {
			raft->counters.syncs++;
			effects_add(effects, EFFECT_LOG_SYNC)
				->u.log_sync.ticket = number;
		}
		/*
		 * without a disk nothing has to be synced; this frees `ticket`
		 */
		if (!raft->options.self.disk)
			raft_sync_done(raft, number, now_us, effects);
		switch (raft->options.mutant) {
		case RAFT_MUTANT_VOTE_BEFORE_SYNC:
			raft_send_deferred(raft, number, effects);
			break;
		case RAFT_MUTANT_ACK_BEFORE_SYNC:
			if (raft->role == RAFT_LEADER)
				break;
			raft->synced_index = last_index;
			raft_acknowledge(raft, now_us, effects);
			break;
		case RAFT_MUTANT_COUNT_OWN_BEFORE_SYNC:
			if (raft->role != RAFT_LEADER)
				break;
			raft->synced_index = last_index;
			raft_advance_commit(raft, now_us, effects);
			break;
		default:
			break;
		}
	}
}

void raft_synced(struct raft *raft, int64_t ticket, int64_t now_us,
		 struct effects *effects)
{
	if (raft->disk_failed)
		return;
	raft_sync_done(raft, ticket, now_us, effects);
	raft_finish(raft, now_us, effects);
}

void raft_disk_failed(struct raft *raft, enum result code, int64_t now_us,
		      struct effects *effects)
{
	if (raft->disk_failed)
		return;
	raft->disk_failed = true;
	raft_drop_deferred(raft);
	raft_emit_log(effects, LOG_ERROR,
		      "%s: this VM no longer votes or acknowledges entries",
		      result_text(code));
	if (raft->role != RAFT_FOLLOWER)
		raft_become_follower(raft, raft->term, 0, now_us, effects);
	raft->dirty = false;
}

void raft_emit_log(struct effects *effects, enum log_level level,
		   const char *format, ...)
{
	va_list args;

	va_start(args, format);
	effects_add_log(effects, level, "raft", format, args);
	va_end(args);
}
