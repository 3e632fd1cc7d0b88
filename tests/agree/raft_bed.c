#include "raft_bed.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static struct members three_voters(void)
{
	struct members members = { 0 };
	uint64_t id;

	members.items = g_new0(struct member, 3);
	members.count = 3;
	for (id = 1; id <= 3; id++) {
		members.items[id - 1].id = id;
		snprintf(members.items[id - 1].vm, MEMBER_TEXT_SIZE, "vm-%d",
			 (int)id);
		members.items[id - 1].disk = true;
		members.items[id - 1].role = MEMBER_VOTER;
	}
	return members;
}

static void add_entry(struct raft_persistent_state *saved, int64_t term,
		      enum raft_entry_kind kind, const struct bytes *body)
{
	struct raft_entry *entry;
	char first = (char)kind;

	saved->entries = g_renew(struct raft_entry, saved->entries,
				 saved->n_entries + 1);
	entry = &saved->entries[saved->n_entries++];
	memset(entry, 0, sizeof(*entry));
	entry->index = (int64_t)saved->n_entries;
	entry->term = term;
	bytes_append(&entry->body, &first, 1);
	bytes_append(&entry->body, body->data, body->len);
}

struct raft *bed_restored(enum raft_mutant mutant, bool disk)
{
	struct raft_options options = raft_default_options();
	struct members members = three_voters();
	struct raft_persistent_state saved = { .term = 2, .vote = 1 };
	struct bytes body = { 0 };
	struct raft *raft;

	members_encode(&members, &body);
	add_entry(&saved, 1, RAFT_ENTRY_MEMBERS, &body);
	add_entry(&saved, 2, RAFT_ENTRY_COMMAND, &body);
	options.self.id = 1;
	options.self.disk = disk;
	options.mutant = mutant;
	raft = raft_new(&options, 0);
	g_assert_cmpint(raft_restore(raft, &saved), ==, RESULT_OK);
	bytes_clear(&body);
	members_clear(&members);
	raft_persistent_state_clear(&saved);
	return raft;
}

void bed_deliver(struct raft *raft, uint64_t from, struct raft_message message,
		 int64_t now_us, struct effects *effects)
{
	struct bytes body = { 0 };

	raft_message_encode(&message, &body);
	raft_message(raft, from, body.data, body.len, now_us, effects);
	bytes_clear(&body);
}

bool bed_take_sent(struct effects *effects, int64_t kind,
		   struct raft_message *out)
{
	struct effect *effect;
	bool found = false;

	memset(out, 0, sizeof(*out));
	while ((effect = effects_take(effects))) {
		struct raft_message message;

		if (effect->kind == EFFECT_SEND && !found) {
			g_assert_true(
				raft_message_decode(&message,
						    effect->u.send.body.data,
						    effect->u.send.body.len));
			found = message.kind == kind;
			*out = message;
			raft_message_clear(&message);
			out->data = NULL;
			out->entries = NULL;
			out->reports = NULL;
		}
		effect_free(effect);
	}
	return found;
}

struct raft *bed_elected(enum raft_mutant mutant, struct effects *effects)
{
	struct raft *raft = bed_restored(mutant, true);
	struct raft_message grant = { .kind = RAFT_PREVOTE_REPLY,
				      .term = 3,
				      .flags = RAFT_GRANTED };

	raft_peer_up(raft, 2, 0, effects);
	raft_peer_up(raft, 3, 0, effects);
	raft_tick(raft, 3 * SECOND, effects);
	g_assert_cmpint(raft_role(raft), ==, RAFT_PRE_CANDIDATE);
	bed_deliver(raft, 2, grant, 3 * SECOND, effects);
	g_assert_cmpint(raft_role(raft), ==, RAFT_CANDIDATE);
	raft_synced(raft, 1, 3 * SECOND, effects);
	grant.kind = RAFT_VOTE_REPLY;
	bed_deliver(raft, 2, grant, 3 * SECOND, effects);
	g_assert_true(raft_is_leader(raft));
	raft_synced(raft, 2, 3 * SECOND, effects);
	return raft;
}
