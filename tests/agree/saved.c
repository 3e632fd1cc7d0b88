#include "saved.h"

#include "base/alloc.h"

static void add_entry(struct raft_persistent_state *saved,
		      const struct effect_log_append *append)
{
	struct raft_entry *entry;

	saved->entries = xrealloc(saved->entries,
				  (saved->n_entries + 1) * sizeof(*entry));
	entry = &saved->entries[saved->n_entries++];
	entry->index = append->index;
	entry->term = append->term;
	entry->body = bytes_copy(&append->body);
}

static void cut_entries(struct raft_persistent_state *saved, int64_t from)
{
	while (saved->n_entries &&
	       saved->entries[saved->n_entries - 1].index >= from)
		bytes_clear(&saved->entries[--saved->n_entries].body);
}

void saved_apply(struct raft_persistent_state *saved,
		 const struct effect *effect)
{
	switch (effect->kind) {
	case EFFECT_LOG_APPEND:
		add_entry(saved, &effect->u.log_append);
		break;
	case EFFECT_LOG_TRUNCATE:
		cut_entries(saved, effect->u.log_truncate.index);
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
