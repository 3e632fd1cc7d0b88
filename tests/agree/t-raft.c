#include <glib.h>
#include <string.h>

#include "raft_bed.h"

static int64_t commit_of_old_term(enum raft_mutant mutant)
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY, .term = 3, .match = 2, .received = 2
	};
	struct effects effects;
	struct raft *raft;
	int64_t commit;

	effects_init(&effects);
	raft = bed_elected(mutant, &effects);
	bed_deliver(raft, 2, reply, 3 * SECOND + 1000, &effects);
	commit = raft_commit_index(raft);
	effects_clear(&effects);
	raft_free(raft);
	return commit;
}

/*
 * Guards against the loss of an accepted change: a leader counts an entry of an
 * earlier term as committed because a quorum holds it, and dies; a member whose
 * last entry has a later term is elected and replaces the entry.
 */
static void entry_of_an_earlier_term_is_not_committed_alone(void)
{
	g_assert_cmpint(commit_of_old_term(RAFT_MUTANT_NONE), ==, 0);
	g_assert_cmpint(commit_of_old_term(RAFT_MUTANT_COMMIT_OLD_TERM), ==, 2);
}

/*
 * Guards against the loss of acknowledged entries: a sync fails once and the
 * next one succeeds, although the kernel has dropped the pages.
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
	struct raft *raft = bed_restored(RAFT_MUTANT_NONE, true);
	struct raft_message reply;
	struct effects effects;

	effects_init(&effects);
	raft_peer_up(raft, 2, 0, &effects);
	raft_disk_failed(raft, RESULT_DISK_FAILED, 10, &effects);
	g_assert_true(raft_disk_has_failed(raft));
	effects_clear(&effects);
	bed_deliver(raft, 2, append, 20, &effects);
	g_assert_true(bed_take_sent(&effects, RAFT_APPEND_REPLY, &reply));
	g_assert_cmpint(reply.flags, ==, RAFT_DISK_HAS_FAILED);
	g_assert_cmpint(raft_commit_index(raft), ==, 2);
	raft_synced(raft, 1, 30, &effects);
	bed_deliver(raft, 3, vote, 9 * SECOND, &effects);
	g_assert_false(bed_take_sent(&effects, RAFT_VOTE_REPLY, &reply));
	raft_tick(raft, 20 * SECOND, &effects);
	g_assert_cmpint(raft_role(raft), ==, RAFT_FOLLOWER);
	effects_clear(&effects);
	raft_free(raft);
}

static bool vote_sent_before_sync(enum raft_mutant mutant)
{
	struct raft_message vote = {
		.kind = RAFT_VOTE, .term = 9, .index = 99, .log_term = 8
	};
	struct raft *raft = bed_restored(mutant, true);
	struct raft_message reply;
	struct effects effects;
	bool early;

	effects_init(&effects);
	raft_peer_up(raft, 2, 0, &effects);
	bed_deliver(raft, 2, vote, 2 * SECOND, &effects);
	early = bed_take_sent(&effects, RAFT_VOTE_REPLY, &reply);
	raft_synced(raft, 1, 2 * SECOND + 1000, &effects);
	g_assert_true(early ||
		      bed_take_sent(&effects, RAFT_VOTE_REPLY, &reply));
	g_assert_cmpint(reply.flags, ==, RAFT_GRANTED);
	effects_clear(&effects);
	raft_free(raft);
	return early;
}

/*
 * Guards against two leaders in a term: a voter sends its vote, crashes before
 * the vote is on the disk, and votes again for another candidate.
 */
static void vote_is_sent_after_its_sync(void)
{
	g_assert_false(vote_sent_before_sync(RAFT_MUTANT_NONE));
	g_assert_true(vote_sent_before_sync(RAFT_MUTANT_VOTE_BEFORE_SYNC));
}

static bool granted_after_restart(enum raft_mutant mutant, int64_t now_us)
{
	struct raft_message prevote = {
		.kind = RAFT_PREVOTE, .term = 9, .index = 99, .log_term = 8
	};
	struct raft *raft = bed_restored(mutant, true);
	struct raft_message reply;
	struct effects effects;

	effects_init(&effects);
	raft_peer_up(raft, 2, 0, &effects);
	effects_clear(&effects);
	bed_deliver(raft, 2, prevote, now_us, &effects);
	g_assert_true(bed_take_sent(&effects, RAFT_PREVOTE_REPLY, &reply));
	raft_free(raft);
	return reply.flags == RAFT_GRANTED;
}

/*
 * Guards against a broken read lease: a voter restarts, no longer knows that it
 * was in contact with the leader, and helps to elect another one while the
 * first still answers reads by its lease.
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
				      .received = 3,
				      .echo_us = 3 * SECOND };
	struct raft_committed committed;
	struct effects effects;
	struct raft *raft;
	bool reads;

	effects_init(&effects);
	raft = bed_elected(mutant, &effects);
	bed_deliver(raft, 3, reply, 3 * SECOND + 1000, &effects);
	while (raft_next_committed(raft, &committed))
		continue;
	reads = raft_may_read(raft, 3 * SECOND + since_us);
	effects_clear(&effects);
	raft_free(raft);
	return reads;
}

/*
 * The leader's clock is slow and a voter's fast, both within 1 %: the leader
 * must stop lease reads before that voter may elect another leader.
 */
static void read_lease_leaves_room_for_drift(void)
{
	g_assert_true(reads_after(RAFT_MUTANT_NONE, 980000));
	g_assert_false(reads_after(RAFT_MUTANT_NONE, 980199));
	g_assert_true(reads_after(RAFT_MUTANT_LEASE_WITHOUT_DRIFT, 980199));
}

/*
 * An upstream relays the same uncommitted entry as this member has. If the
 * leader has replaced that entry meanwhile, its commit index must not commit
 * ours.
 */
static void upstream_confirms_only_what_is_committed(void)
{
	struct raft_message fed = { .kind = RAFT_APPEND,
				    .term = 2,
				    .index = 2,
				    .log_term = 2,
				    .commit = 1,
				    .age_us = 1,
				    .leader = 3,
				    .flags = RAFT_RELAYED };
	struct raft *raft = bed_restored(RAFT_MUTANT_NONE, true);
	struct raft_message reply;
	struct effects effects;

	effects_init(&effects);
	raft->self_is_voter = false;
	raft->upstream = 2;
	raft_peer_up(raft, 2, 0, &effects);
	effects_clear(&effects);
	bed_deliver(raft, 2, fed, 10, &effects);
	g_assert_true(bed_take_sent(&effects, RAFT_APPEND_REPLY, &reply));
	g_assert_cmpint(reply.received, ==, 1);
	g_assert_cmpint(raft_commit_index(raft), ==, 1);
	raft_free(raft);
}

/*
 * Guards against two leaders in a term: a VM without a disk votes, restarts,
 * loses that vote and votes again.
 */
static void member_without_a_disk_never_votes(void)
{
	struct raft *raft = bed_restored(RAFT_MUTANT_NONE, false);
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
	bed_deliver(raft, 2, vote, 10 * SECOND, &effects);
	g_assert_true(bed_take_sent(&effects, RAFT_VOTE_REPLY, &reply));
	g_assert_cmpint(reply.flags, ==, RAFT_REJECTED);
	raft_free(raft);
}

/* Truncated messages from a peer have no effect but a log line. */
static void malformed_messages_change_nothing(void)
{
	struct raft_message message = { .kind = RAFT_APPEND,
					.term = 7,
					.index = 2,
					.log_term = 2,
					.leader = 2,
					.data = "abc",
					.len = 3 };
	struct raft *raft = bed_restored(RAFT_MUTANT_NONE, true);
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
 * A planned stop of the leader must not leave the group without a leader for a
 * whole election timeout, and the leader gives no order once the transfer has
 * started.
 */
static void leader_hands_over_and_gives_up_its_lease(void)
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY, .term = 3, .match = 3, .received = 3
	};
	struct raft_message sent;
	struct effects effects;
	struct raft *raft;
	int64_t index;
	int64_t term;

	effects_init(&effects);
	raft = bed_elected(RAFT_MUTANT_NONE, &effects);
	reply.echo_us = 3 * SECOND;
	bed_deliver(raft, 3, reply, 3 * SECOND + 1000, &effects);
	g_assert_cmpint(raft_commit_index(raft), ==, 3);
	g_assert_true(raft_lease(raft)->held);
	effects_clear(&effects);
	raft_transfer(raft, 3 * SECOND + 2000, &effects);
	g_assert_true(bed_take_sent(&effects, RAFT_TIMEOUT_NOW, &sent));
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

/* The results of a membership change and of a second one right after it. */
static void change_twice(enum raft_mutant mutant, bool own_committed,
			 enum result codes[2])
{
	struct raft_message reply = {
		.kind = RAFT_APPEND_REPLY, .term = 3, .match = 3, .received = 3
	};
	struct effects effects;
	struct raft *raft;

	effects_init(&effects);
	raft = bed_elected(mutant, &effects);
	if (own_committed)
		bed_deliver(raft, 2, reply, 3 * SECOND + 1000, &effects);
	codes[0] = put_member(raft, 4, &effects);
	codes[1] = put_member(raft, 5, &effects);
	effects_clear(&effects);
	raft_free(raft);
}

/* Guards against two memberships whose quorums don't overlap. */
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

#define UP_BEFORE_US (INT64_C(100) * 86400 * SECOND)

/* A leader repeats the clock that a voter had before its VM was started anew. */
static void clock_of_an_earlier_boot_is_not_echoed(void)
{
	struct raft_message reply = { .kind = RAFT_APPEND_REPLY,
				      .term = 3,
				      .match = 3,
				      .received = 3,
				      .sent_us = UP_BEFORE_US };
	struct raft_message sent;
	struct effects effects;
	struct raft *raft;

	effects_init(&effects);
	raft = bed_elected(RAFT_MUTANT_NONE, &effects);
	bed_deliver(raft, 2, reply, 3 * SECOND + 1000, &effects);
	effects_clear(&effects);
	raft_peer_down(raft, 2, 4 * SECOND, &effects);
	effects_clear(&effects);
	raft_peer_up(raft, 2, 6 * SECOND, &effects);
	g_assert_true(bed_take_sent(&effects, RAFT_APPEND, &sent));
	g_assert_cmpint(sent.echo_us, ==, 0);
	effects_clear(&effects);
	raft_free(raft);
}

/* A voter whose VM was started anew counts its state as fresh for ever. */
static void time_to_come_makes_nothing_fresh(void)
{
	struct raft_message append = { .kind = RAFT_APPEND,
				       .term = 3,
				       .index = 2,
				       .log_term = 2,
				       .commit = 2,
				       .sent_us = 500 * SECOND,
				       .echo_us = UP_BEFORE_US,
				       .age_us = 1001,
				       .leader = 2 };
	struct raft *raft = bed_restored(RAFT_MUTANT_NONE, true);
	struct effects effects;

	effects_init(&effects);
	raft_peer_up(raft, 2, 2 * SECOND, &effects);
	bed_deliver(raft, 2, append, 2 * SECOND, &effects);
	raft_peer_down(raft, 2, 3 * SECOND, &effects);
	g_assert_cmpint(raft_fresh_us(raft, INT64_C(3600) * SECOND), <,
			3 * SECOND);
	effects_clear(&effects);
	raft_free(raft);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft/old-term",
			entry_of_an_earlier_term_is_not_committed_alone);
	g_test_add_func("/raft/failed-disk",
			failed_disk_ends_all_acknowledgements);
	g_test_add_func("/raft/vote-sync", vote_is_sent_after_its_sync);
	g_test_add_func("/raft/restart-wait",
			restarted_voter_waits_before_it_votes);
	g_test_add_func("/raft/drift", read_lease_leaves_room_for_drift);
	g_test_add_func("/raft/feeder",
			upstream_confirms_only_what_is_committed);
	g_test_add_func("/raft/diskless", member_without_a_disk_never_votes);
	g_test_add_func("/raft/malformed", malformed_messages_change_nothing);
	g_test_add_func("/raft/one-change", members_change_one_at_a_time);
	g_test_add_func("/raft/earlier-boot",
			clock_of_an_earlier_boot_is_not_echoed);
	g_test_add_func("/raft/time-to-come", time_to_come_makes_nothing_fresh);
	g_test_add_func("/raft/transfer",
			leader_hands_over_and_gives_up_its_lease);
	return g_test_run();
}
