#include "base/alloc.h"
#include "saved.h"
#include "sim_internal.h"

/* A node's disk: synced writes are kept, the others may be lost. */

void sim_settle_disk(struct sim_node *node, int64_t ticket)
{
	struct effect *effect;

	while ((effect = list_first(&node->pending, struct effect, node))) {
		bool last = effect->kind == EFFECT_LOG_SYNC &&
			    effect->u.log_sync.ticket == ticket;

		list_remove(&effect->node);
		saved_apply(&node->saved, effect);
		effect_free(effect);
		if (last)
			return;
	}
}

/* Lose the unsynced writes, except for a random number of the first ones. */
void sim_lose_unsynced(struct sim *sim, struct sim_node *node)
{
	uint64_t kept = rng_below(&sim->rng, 2) ? rng_below(&sim->rng, 4) : 0;
	struct effect *effect;

	while ((effect = list_first(&node->pending, struct effect, node))) {
		list_remove(&effect->node);
		if (kept) {
			saved_apply(&node->saved, effect);
			kept--;
		}
		effect_free(effect);
	}
}
