#include <glib.h>
#include <string.h>

#include "agree/raft_internal.h"
#include "core/event.h"

#define SECOND 1000000

static struct members three_voters(void)
{
	struct members members = { 0 };
	uint64_t id;

	members.items = g_new0(struct member, 3);
	members.count = 3;
	for (id = 1; id <= 3; id++) {
		members.items[id - 1].id = id;
		members.items[id - 1].disk = true;
		members.items[id - 1].role = MEMBER_VOTER;
	}
	return members;
}

static void add_entry(struct raft_saved *saved, int64_t term,
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

/* member 1 of three, with a configuration and one command of term 2 */
static struct raft *restored(enum raft_mutant mutant, bool disk)
{
	struct raft_options options = raft_default_options();
	struct members members = three_voters();
	struct raft_saved saved = { .term = 2, .vote = 1 };
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
	raft_saved_clear(&saved);
	return raft;
}

static void deliver(struct raft *raft, uint64_t from,
		    struct raft_message message, int64_t now_us,
		    struct effects *effects)
{
	struct bytes body = { 0 };

	raft_message_encode(&message, &body);
	raft_message(raft, from, body.data, body.len, now_us, effects);
	bytes_clear(&body);
}

/* Take the effects; the first sent message of that kind, and its peer. */
static bool take_sent(struct effects *effects, int64_t kind,
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

/* Term 3: member 1 is elected by 2; everything is synced. */
static struct raft *elected(enum raft_mutant mutant, struct effects *effects)
{
	struct raft *raft = restored(mutant, true);
	struct raft_message grant = { .kind = RAFT_PREVOTE_REPLY,
				      .term = 3,
				      .flags = RAFT_GRANTED };

	raft_peer_up(raft, 2, 0, effects);
	raft_peer_up(raft, 3, 0, effects);
	raft_tick(raft, 3 * SECOND, effects);
	g_assert_cmpint(raft_role(raft), ==, RAFT_PRE_CANDIDATE);
	deliver(raft, 2, grant, 3 * SECOND, effects);
	g_assert_cmpint(raft_role(raft), ==, RAFT_CANDIDATE);
	raft_synced(raft, 1, 3 * SECOND, effects);
	grant.kind = RAFT_VOTE_REPLY;
	deliver(raft, 2, grant, 3 * SECOND, effects);
	g_assert_true(raft_is_leader(raft));
	raft_synced(raft, 2, 3 * SECOND, effects);
	return raft;
}

static int64_t commit_of_old_term(enum raft_mutant mutant)
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY, .term = 3, .match = 2, .held = 2
	};
	struct effects effects;
	struct raft *raft;
	int64_t commit;

	effects_init(&effects);
	raft = elected(mutant, &effects);
	deliver(raft, 2, reply, 3 * SECOND + 1000, &effects);
	commit = raft_commit_index(raft);
	effects_clear(&effects);
	raft_free(raft);
	return commit;
}

/*
 * An accepted change vanishes: a leader counts an entry of an earlier term as
 * committed because a quorum holds it, dies, and a member whose last entry is
 * of a later term is elected and replaces it.
 */
static void entry_of_an_earlier_term_is_not_committed_alone(void)
{
	g_assert_cmpint(commit_of_old_term(RAFT_MUTANT_NONE), ==, 0);
	g_assert_cmpint(commit_of_old_term(RAFT_MUTANT_COMMIT_OLD_TERM), ==, 2);
}

/*
 * A sync fails once and the next one claims success, while the kernel has
 * dropped the pages: what was acknowledged is gone after a restart.
 */
static void failed_disk_ends_all_acknowledgements(void)
{
	struct raft_message append = { .kind = RAFT_APPEND,
				       .term = 3,
				       .index = 2,
				       .log_term = 2,
				       .commit = 2,
				       .sent_us = 7,
				       .leader = 2 };
	struct raft_message vote = {
		.kind = RAFT_VOTE, .term = 9, .index = 99, .log_term = 8
	};
	struct raft *raft = restored(RAFT_MUTANT_NONE, true);
	struct raft_message reply;
	struct effects effects;

	effects_init(&effects);
	raft_peer_up(raft, 2, 0, &effects);
	raft_disk_failed(raft, RESULT_DISK_FAILED, 10, &effects);
	g_assert_true(raft_has_failed(raft));
	effects_clear(&effects);
	deliver(raft, 2, append, 20, &effects);
	g_assert_true(take_sent(&effects, RAFT_APPEND_REPLY, &reply));
	g_assert_cmpint(reply.flags, ==, RAFT_DISK_LOST);
	g_assert_cmpint(raft_commit_index(raft), ==, 2);
	raft_synced(raft, 1, 30, &effects);
	deliver(raft, 3, vote, 9 * SECOND, &effects);
	g_assert_false(take_sent(&effects, RAFT_VOTE_REPLY, &reply));
	raft_tick(raft, 20 * SECOND, &effects);
	g_assert_cmpint(raft_role(raft), ==, RAFT_FOLLOWER);
	effects_clear(&effects);
	raft_free(raft);
}

static bool vote_told_before_sync(enum raft_mutant mutant)
{
	struct raft_message vote = {
		.kind = RAFT_VOTE, .term = 9, .index = 99, .log_term = 8
	};
	struct raft *raft = restored(mutant, true);
	struct raft_message reply;
	struct effects effects;
	bool early;

	effects_init(&effects);
	raft_peer_up(raft, 2, 0, &effects);
	deliver(raft, 2, vote, 2 * SECOND, &effects);
	early = take_sent(&effects, RAFT_VOTE_REPLY, &reply);
	raft_synced(raft, 1, 2 * SECOND + 1000, &effects);
	g_assert_true(early || take_sent(&effects, RAFT_VOTE_REPLY, &reply));
	g_assert_cmpint(reply.flags, ==, RAFT_GRANTED);
	effects_clear(&effects);
	raft_free(raft);
	return early;
}

/*
 * A voter tells its vote, crashes before the disk has it, and votes again in
 * the same term for another: two leaders.
 */
static void vote_is_told_after_its_sync(void)
{
	g_assert_false(vote_told_before_sync(RAFT_MUTANT_NONE));
	g_assert_true(vote_told_before_sync(RAFT_MUTANT_VOTE_BEFORE_SYNC));
}

static bool granted_after_restart(enum raft_mutant mutant, int64_t now_us)
{
	struct raft_message prevote = {
		.kind = RAFT_PREVOTE, .term = 9, .index = 99, .log_term = 8
	};
	struct raft *raft = restored(mutant, true);
	struct raft_message reply;
	struct effects effects;

	effects_init(&effects);
	raft_peer_up(raft, 2, 0, &effects);
	effects_clear(&effects);
	deliver(raft, 2, prevote, now_us, &effects);
	g_assert_true(take_sent(&effects, RAFT_PREVOTE_REPLY, &reply));
	raft_free(raft);
	return reply.flags == RAFT_GRANTED;
}

/*
 * A voter restarts, has forgotten that it just heard the leader, and helps
 * to elect another one while the first still answers reads by its lease.
 */
static void restarted_voter_waits_before_it_votes(void)
{
	g_assert_false(granted_after_restart(RAFT_MUTANT_NONE, SECOND - 1));
	g_assert_true(granted_after_restart(RAFT_MUTANT_NONE, SECOND));
	g_assert_true(granted_after_restart(RAFT_MUTANT_NO_RESTART_WAIT, 1));
}

static bool reads_after(enum raft_mutant mutant, int64_t since_us)
{
	struct raft_message reply = { .kind = RAFT_APPEND_REPLY,
				      .term = 3,
				      .match = 3,
				      .held = 3,
				      .echo_us = 3 * SECOND };
	struct raft_committed committed;
	struct effects effects;
	struct raft *raft;
	bool reads;

	effects_init(&effects);
	raft = elected(mutant, &effects);
	deliver(raft, 3, reply, 3 * SECOND + 1000, &effects);
	while (raft_next_committed(raft, &committed))
		continue;
	reads = raft_may_read(raft, 3 * SECOND + since_us);
	effects_clear(&effects);
	raft_free(raft);
	return reads;
}

/*
 * The leader's clock runs slow and a voter's fast, both within 1 %: the
 * leader must stop reading before that voter may elect another.
 */
static void read_lease_leaves_room_for_drift(void)
{
	g_assert_true(reads_after(RAFT_MUTANT_NONE, 980000));
	g_assert_false(reads_after(RAFT_MUTANT_NONE, 980199));
	g_assert_true(reads_after(RAFT_MUTANT_LEASE_WITHOUT_DRIFT, 980199));
}

/*
 * A feeder hands on that it holds the same uncommitted entry as we do. When
 * the leader has replaced it meanwhile, its commit index must not commit
 * ours.
 */
static void feeder_confirms_only_what_is_committed(void)
{
	struct raft_message fed = { .kind = RAFT_APPEND,
				    .term = 2,
				    .index = 2,
				    .log_term = 2,
				    .commit = 1,
				    .age_us = 1,
				    .leader = 3,
				    .flags = RAFT_FED };
	struct raft *raft = restored(RAFT_MUTANT_NONE, true);
	struct raft_message reply;
	struct effects effects;

	effects_init(&effects);
	raft->self_votes = false;
	raft->feeder = 2;
	raft_peer_up(raft, 2, 0, &effects);
	effects_clear(&effects);
	deliver(raft, 2, fed, 10, &effects);
	g_assert_true(take_sent(&effects, RAFT_APPEND_REPLY, &reply));
	g_assert_cmpint(reply.held, ==, 1);
	g_assert_cmpint(raft_commit_index(raft), ==, 1);
	raft_free(raft);
}

/*
 * A VM without a disk votes, restarts, has forgotten it and votes again: two
 * leaders in one term.
 */
static void member_without_a_disk_never_votes(void)
{
	struct raft *raft = restored(RAFT_MUTANT_NONE, false);
	struct raft_message vote = {
		.kind = RAFT_VOTE, .term = 9, .index = 99, .log_term = 8
	};
	struct raft_message reply;
	struct effects effects;

	effects_init(&effects);
	raft_peer_up(raft, 2, 0, &effects);
	raft_tick(raft, 10 * SECOND, &effects);
	g_assert_cmpint(raft_role(raft), ==, RAFT_FOLLOWER);
	effects_clear(&effects);
	deliver(raft, 2, vote, 10 * SECOND, &effects);
	g_assert_true(take_sent(&effects, RAFT_VOTE_REPLY, &reply));
	g_assert_cmpint(reply.flags, ==, RAFT_REJECTED);
	raft_free(raft);
}

/* A peer sends rubbish: no crash, no effect but a line in the log. */
static void malformed_messages_change_nothing(void)
{
	struct raft_message message = { .kind = RAFT_APPEND,
					.term = 7,
					.index = 2,
					.log_term = 2,
					.leader = 2,
					.data = "abc",
					.len = 3 };
	struct raft *raft = restored(RAFT_MUTANT_NONE, true);
	struct bytes body = { 0 };
	struct effects effects;
	size_t len;

	effects_init(&effects);
	raft_message_encode(&message, &body);
	for (len = 0; len < body.len; len++)
		raft_message(raft, 2, body.data, len, 10, &effects);
	g_assert_cmpint(raft_term(raft), ==, 2);
	raft_message(raft, 2, body.data, body.len, 10, &effects);
	g_assert_cmpint(raft_term(raft), ==, 7);
	effects_clear(&effects);
	bytes_clear(&body);
	raft_free(raft);
}

/*
 * A planned stop of the leader must not leave the group without one for a
 * whole election time, and it gives no order once it has begun to hand over.
 */
static void leader_hands_over_and_gives_up_its_lease(void)
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY, .term = 3, .match = 3, .held = 3
	};
	struct raft_message sent;
	struct effects effects;
	struct raft *raft;
	int64_t index;
	int64_t term;

	effects_init(&effects);
	raft = elected(RAFT_MUTANT_NONE, &effects);
	reply.echo_us = 3 * SECOND;
	deliver(raft, 3, reply, 3 * SECOND + 1000, &effects);
	g_assert_cmpint(raft_commit_index(raft), ==, 3);
	g_assert_true(raft_lease(raft)->held);
	effects_clear(&effects);
	raft_transfer(raft, 3 * SECOND + 2000, &effects);
	g_assert_true(take_sent(&effects, RAFT_TIMEOUT_NOW, &sent));
	g_assert_false(raft_lease(raft)->held);
	g_assert_false(raft_may_read(raft, 3 * SECOND + 2000));
	g_assert_cmpint(raft_propose(raft, "x", 1, 3 * SECOND + 3000, &effects,
				     &index, &term),
			==, RESULT_NOT_LEADER);
	raft_tick(raft, 5 * SECOND, &effects);
	g_assert_true(raft_transfer_done(raft));
	effects_clear(&effects);
	raft_free(raft);
}

static enum result put_member(struct raft *raft, uint64_t id,
			      struct effects *effects)
{
	struct member_change change = { .kind = MEMBER_PUT };

	change.member.id = id;
	return raft_change_member(raft, &change, 3 * SECOND + 2000, effects);
}

/* What becomes of a change, and of a second one right behind it. */
static void change_twice(enum raft_mutant mutant, bool own_committed,
			 enum result codes[2])
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY, .term = 3, .match = 3, .held = 3
	};
	struct effects effects;
	struct raft *raft;

	effects_init(&effects);
	raft = elected(mutant, &effects);
	if (own_committed)
		deliver(raft, 2, reply, 3 * SECOND + 1000, &effects);
	codes[0] = put_member(raft, 4, &effects);
	codes[1] = put_member(raft, 5, &effects);
	effects_clear(&effects);
	raft_free(raft);
}

/* Guards against two configurations whose quorums don't overlap. */
static void members_change_one_at_a_time(void)
{
	enum result codes[2];

	change_twice(RAFT_MUTANT_NONE, false, codes);
	g_assert_cmpint(codes[0], ==, RESULT_MEMBER_BUSY);
	g_assert_cmpint(codes[1], ==, RESULT_MEMBER_BUSY);
	change_twice(RAFT_MUTANT_NONE, true, codes);
	g_assert_cmpint(codes[0], ==, RESULT_OK);
	g_assert_cmpint(codes[1], ==, RESULT_MEMBER_BUSY);
	change_twice(RAFT_MUTANT_TWO_CHANGES, false, codes);
	g_assert_cmpint(codes[0], ==, RESULT_OK);
	g_assert_cmpint(codes[1], ==, RESULT_OK);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft/old-term",
			entry_of_an_earlier_term_is_not_committed_alone);
	g_test_add_func("/raft/failed-disk",
			failed_disk_ends_all_acknowledgements);
	g_test_add_func("/raft/vote-sync", vote_is_told_after_its_sync);
	g_test_add_func("/raft/restart-wait",
			restarted_voter_waits_before_it_votes);
	g_test_add_func("/raft/drift", read_lease_leaves_room_for_drift);
	g_test_add_func("/raft/feeder", feeder_confirms_only_what_is_committed);
	g_test_add_func("/raft/diskless", member_without_a_disk_never_votes);
	g_test_add_func("/raft/malformed", malformed_messages_change_nothing);
	g_test_add_func("/raft/one-change", members_change_one_at_a_time);
	g_test_add_func("/raft/transfer",
			leader_hands_over_and_gives_up_its_lease);
	return g_test_run();
}
