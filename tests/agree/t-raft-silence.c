#include <glib.h>
#include <stdio.h>

#include "raft_bed.h"

#define CANDIDATE 4
#define BELOW 5 /* a learner without a disk, downstream of the candidate */

/*
 * The leader of a group of voters 1 to 3 and two learners, whose membership is
 * committed.
 */
struct silence_bed {
	struct raft *raft;
	struct effects effects;
};

static void bed_sync(struct silence_bed *bed, int64_t now_us)
{
	raft_synced(bed->raft, bed->raft->last_ticket, now_us, &bed->effects);
}

/* A member's answer to the message sent at `echo_us`. */
static struct raft_message answer_to(const struct silence_bed *bed,
				     int64_t echo_us)
{
	struct raft_message answer = {
		.kind = RAFT_APPEND_REPLY,
		.term = 3,
		.match = raft_last_index(bed->raft),
		.received = raft_last_index(bed->raft),
		.echo_us = echo_us,
	};

	return answer;
}

static void bed_answer(struct silence_bed *bed, uint64_t from, int64_t echo_us,
		       int64_t now_us)
{
	bed_deliver(bed->raft, from, answer_to(bed, echo_us), now_us,
		    &bed->effects);
}

static void bed_put(struct silence_bed *bed, uint64_t id, bool disk,
		    int64_t now_us)
{
	struct member_change change = { .kind = MEMBER_PUT };

	change.member.id = id;
	change.member.disk = disk;
	snprintf(change.member.vm, MEMBER_TEXT_SIZE, "vm-%d", (int)id);
	g_assert_cmpint(raft_change_member(bed->raft, &change, now_us,
					   &bed->effects),
			==, RESULT_OK);
	bed_sync(bed, now_us);
	bed_answer(bed, 2, now_us - 1, now_us);
}

static void bed_init(struct silence_bed *bed)
{
	effects_init(&bed->effects);
	bed->raft = bed_elected(RAFT_MUTANT_NONE, &bed->effects);
	bed_answer(bed, 2, 3 * SECOND, 3 * SECOND + 1000);
	bed_put(bed, CANDIDATE, true, 3 * SECOND + 2000);
	bed_put(bed, BELOW, false, 3 * SECOND + 3000);
	raft_peer_up(bed->raft, CANDIDATE, 3 * SECOND + 4000, &bed->effects);
	bed_answer(bed, CANDIDATE, 3 * SECOND + 4000, 3 * SECOND + 5000);
}

static void bed_clear(struct silence_bed *bed)
{
	effects_clear(&bed->effects);
	raft_free(bed->raft);
}

static enum result bed_promote(struct silence_bed *bed, int64_t now_us)
{
	struct member_change change = { .kind = MEMBER_PROMOTE };

	change.member.id = CANDIDATE;
	return raft_change_member(bed->raft, &change, now_us, &bed->effects);
}

static const struct member *bed_member(const struct silence_bed *bed,
				       uint64_t id)
{
	return members_find(raft_members(bed->raft), id);
}

/* Run the leader with answers from voter 2 only. */
static void bed_run(struct silence_bed *bed, int64_t from_us, int64_t to_us)
{
	int64_t now_us;

	for (now_us = from_us; now_us < to_us; now_us += SECOND / 20) {
		bed_answer(bed, 2, now_us - 1000, now_us);
		raft_tick(bed->raft, now_us, &bed->effects);
		bed_sync(bed, now_us);
	}
}

/*
 * Guards against the promotion of a dead VM: its last answers waited in a
 * buffer while the leader was paused.
 */
static void late_answer_makes_no_voter(void)
{
	struct silence_bed bed;

	bed_init(&bed);
	bed_answer(&bed, 2, 20 * SECOND - 1000, 20 * SECOND);
	bed_answer(&bed, CANDIDATE, 4 * SECOND, 20 * SECOND);
	g_assert_cmpint(bed_promote(&bed, 20 * SECOND), ==,
			RESULT_NOT_CAUGHT_UP);
	bed_run(&bed, 20 * SECOND, 35 * SECOND);
	g_assert_true(raft_is_leader(bed.raft));
	g_assert_cmpint(bed_member(&bed, CANDIDATE)->role, ==, MEMBER_LEARNER);
	g_assert_nonnull(bed_member(&bed, 3));
	bed_answer(&bed, CANDIDATE, 35 * SECOND - 1000, 35 * SECOND);
	bed_run(&bed, 35 * SECOND, 36 * SECOND);
	g_assert_cmpint(bed_member(&bed, CANDIDATE)->role, ==, MEMBER_VOTER);
	bed_clear(&bed);
}

/*
 * Guards against a demotion without a quorum: the answers of dead voters waited
 * in a buffer while the leader was paused.
 */
static void late_answer_spares_no_voter(void)
{
	struct member_change change = { .kind = MEMBER_DEMOTE };
	struct silence_bed bed;

	bed_init(&bed);
	g_assert_cmpint(bed_promote(&bed, 4 * SECOND), ==, RESULT_OK);
	bed_sync(&bed, 4 * SECOND);
	bed_answer(&bed, 2, 4 * SECOND, 4 * SECOND + 1000);
	bed_answer(&bed, CANDIDATE, 4 * SECOND, 4 * SECOND + 1000);
	bed_answer(&bed, 2, 20 * SECOND - 1000, 20 * SECOND);
	bed_answer(&bed, 3, 4 * SECOND, 20 * SECOND);
	bed_answer(&bed, CANDIDATE, 4 * SECOND, 20 * SECOND);
	change.member.id = 2;
	g_assert_cmpint(raft_change_member(bed.raft, &change, 20 * SECOND,
					   &bed.effects),
			==, RESULT_NO_QUORUM);
	bed_clear(&bed);
}

/*
 * An upstream's report that waited in a buffer must not make a dead learner
 * look alive.
 */
static void late_report_is_no_sign_of_life(void)
{
	struct raft_report report = { .id = BELOW, .age_ms = 500 };
	struct member_health health = { 0 };
	struct raft_message answer;
	struct silence_bed bed;

	bed_init(&bed);
	answer = answer_to(&bed, 4 * SECOND);
	answer.reports = &report;
	answer.n_reports = 1;
	bed_deliver(bed.raft, CANDIDATE, answer, 20 * SECOND, &bed.effects);
	g_assert_true(raft_health(bed.raft, BELOW, &health));
	g_assert_cmpint(health.last_contact_us, ==, 4 * SECOND - 500000);
	bed_clear(&bed);
}

/*
 * Guards against the replacement of a live voter: the time in which the leader
 * was paused must not count as time without contact.
 */
static void pause_of_the_leader_is_nobodys_silence(void)
{
	struct member_health health = { 0 };
	struct silence_bed bed;
	int64_t now_us;

	bed_init(&bed);
	for (now_us = 20 * SECOND; now_us < 22 * SECOND;
	     now_us += SECOND / 20) {
		bed_answer(&bed, 2, now_us - 1000, now_us);
		bed_answer(&bed, CANDIDATE, now_us - 1000, now_us);
		raft_tick(bed.raft, now_us, &bed.effects);
		bed_sync(&bed, now_us);
	}
	g_assert_true(raft_is_leader(bed.raft));
	g_assert_cmpint(bed_member(&bed, CANDIDATE)->role, ==, MEMBER_LEARNER);
	g_assert_true(raft_health(bed.raft, 3, &health));
	g_assert_cmpint(health.last_contact_us, ==, 20 * SECOND);
	bed_clear(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/raft-silence/late-answer",
			late_answer_makes_no_voter);
	g_test_add_func("/raft-silence/late-answer-spares",
			late_answer_spares_no_voter);
	g_test_add_func("/raft-silence/late-report",
			late_report_is_no_sign_of_life);
	g_test_add_func("/raft-silence/own-pause",
			pause_of_the_leader_is_nobodys_silence);
	return g_test_run();
}
