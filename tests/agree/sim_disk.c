#include "base/alloc.h"
#include "sim_internal.h"

/* A node's disk: what was synced stays, the rest may go. */

static void sim_save_entry(struct raft_saved *saved, struct effect *effect)
{
	struct raft_entry *entry;

	saved->entries = xrealloc(saved->entries,
				  (saved->n_entries + 1) * sizeof(*entry));
	entry = &saved->entries[saved->n_entries++];
	entry->index = effect->u.log_append.index;
	entry->term = effect->u.log_append.term;
	entry->body = bytes_copy(&effect->u.log_append.body);
}

static void sim_cut_entries(struct raft_saved *saved, int64_t from)
{
	while (saved->n_entries &&
	       saved->entries[saved->n_entries - 1].index >= from)
		bytes_clear(&saved->entries[--saved->n_entries].body);
}

static void sim_make_durable(struct raft_saved *saved, struct effect *effect)
{
	switch (effect->kind) {
	case EFFECT_LOG_APPEND:
		sim_save_entry(saved, effect);
		break;
	case EFFECT_LOG_TRUNCATE:
		sim_cut_entries(saved, effect->u.log_truncate.index);
		break;
	case EFFECT_HARD_STATE:
		saved->term = effect->u.hard_state.term;
		saved->vote = effect->u.hard_state.vote;
		break;
	case EFFECT_SNAPSHOT:
		saved->snapshot_index = effect->u.snapshot.index;
		saved->snapshot_term = effect->u.snapshot.term;
		bytes_clear(&saved->snapshot);
		saved->snapshot = bytes_copy(&effect->u.snapshot.body);
		break;
	default:
		break;
	}
}

void sim_settle_disk(struct sim_node *node, int64_t ticket)
{
	struct effect *effect;

	while ((effect = list_first(&node->pending, struct effect, node))) {
		bool last = effect->kind == EFFECT_LOG_SYNC &&
			    effect->u.log_sync.ticket == ticket;

		list_remove(&effect->node);
		sim_make_durable(&node->saved, effect);
		effect_free(effect);
		if (last)
			return;
	}
}

/* What wasn't synced is lost, but for some first part of it. */
void sim_lose_unsynced(struct sim *sim, struct sim_node *node)
{
	uint64_t kept = rng_below(&sim->rng, 2) ? rng_below(&sim->rng, 4) : 0;
	struct effect *effect;

	while ((effect = list_first(&node->pending, struct effect, node))) {
		list_remove(&effect->node);
		if (kept) {
			sim_make_durable(&node->saved, effect);
			kept--;
		}
		effect_free(effect);
	}
}
