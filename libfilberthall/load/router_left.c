/*
 * Answers whose callers left after they had begun. Where all callers of a part
 * of prompts leave early no answer ever goes on, and the part would never be
 * known to be sound. That the server lives on proves as much.
 */
#include <string.h>

#include "load/router_state.h"

/* Contact with a server that doesn't come for so long proves nothing. */
#define LEFT_WAIT_US INT64_C(5000000)

static struct left_answer *slot_of(struct router *router, uint64_t part)
{
	return &router->left[map_hash(&part, sizeof(part)) % LEFT_ANSWERS];
}

void attempt_note_left(struct router *router, const struct attempt *attempt,
		       int64_t now_us)
{
	const struct router_request *ask = &attempt->request->spec;
	struct left_answer *slot;
	size_t i;

	if (!attempt->first_us || attempt->sound || attempt->cancelled)
		return;
	for (i = 0; i < ask->n_parts; i++) {
		slot = slot_of(router, ask->parts[i]);
		/* One that waits for its proof stays. */
		if (slot->part)
			continue;
		slot->part = ask->parts[i];
		slot->server = attempt->server;
		slot->began_us = attempt->first_us;
		slot->left_us = now_us;
		memcpy(slot->address, attempt->address, sizeof(slot->address));
	}
}

void router_settle_left(struct router *router, router_lives_fn *lives,
			void *data, int64_t now_us)
{
	struct left_answer *slot;
	int i;

	for (i = 0; i < LEFT_ANSWERS; i++) {
		slot = &router->left[i];
		if (!slot->part)
			continue;
		if (lives(data, slot->address, slot->server,
			  slot->left_us + PART_LIVES_US))
			parts_prove(router, slot->part, slot->began_us, now_us);
		else if (now_us - slot->left_us < LEFT_WAIT_US)
			continue;
		slot->part = 0;
	}
}
