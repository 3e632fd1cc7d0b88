#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "agree/member.h"

#define SECOND INT64_C(1000000)
#define NOW (100 * SECOND)

struct group {
	struct members members;
	struct member items[16];
	struct member_health health[16];
	struct member_policy policy;
	int64_t now_us;
};

static void group_init(struct group *group)
{
	memset(group, 0, sizeof(*group));
	group->members.items = group->items;
	group->policy.voters = 3;
	group->policy.voter_timeout_us = 10 * SECOND;
	group->policy.learner_timeout_us = 60 * SECOND;
	group->now_us = NOW;
}

static void group_add(struct group *group, uint64_t id, const char *zone,
		      enum member_role role, bool disk, int64_t silent_s)
{
	size_t at = group->members.count++;
	struct member *member = &group->items[at];

	member->id = id;
	snprintf(member->vm, MEMBER_TEXT_SIZE, "vm-%d", (int)id);
	snprintf(member->zone, MEMBER_TEXT_SIZE, "%s", zone);
	member->role = role;
	member->disk = disk;
	group->health[at].id = id;
	group->health[at].last_contact_us = NOW - silent_s * SECOND;
	group->health[at].caught_up = disk;
	group->health[at].present = silent_s == 0;
}

static struct member_change group_next(const struct group *group)
{
	return member_repair(&group->policy, &group->members, group->health,
			     group->members.count, 1, group->now_us);
}

/* leader 1, voters 2 and 3, in three zones; learners 4 and 5 with disks */
static void group_of_three(struct group *group, int64_t silent_s)
{
	group_init(group);
	group_add(group, 1, "a", MEMBER_VOTER, true, 0);
	group_add(group, 2, "b", MEMBER_VOTER, true, 0);
	group_add(group, 3, "c", MEMBER_VOTER, true, silent_s);
	group_add(group, 4, "a", MEMBER_LEARNER, true, 0);
	group_add(group, 5, "c", MEMBER_LEARNER, true, 0);
}

/* leader 1, voters 2 to 5, with policy.keep_voters; learner 6 with a disk */
static void group_of_five(struct group *group, int64_t silent_s)
{
	group_init(group);
	group->policy.voters = 5;
	group->policy.keep_voters = true;
	group_add(group, 1, "a", MEMBER_VOTER, true, 0);
	group_add(group, 2, "b", MEMBER_VOTER, true, 0);
	group_add(group, 3, "c", MEMBER_VOTER, true, silent_s);
	group_add(group, 4, "a", MEMBER_VOTER, true, 0);
	group_add(group, 5, "b", MEMBER_VOTER, true, 0);
	group_add(group, 6, "c", MEMBER_LEARNER, true, 0);
}

static void expect(struct member_change change, enum member_change_kind kind,
		   uint64_t id)
{
	g_assert_cmpint(change.kind, ==, kind);
	if (kind != MEMBER_NO_CHANGE)
		g_assert_cmpuint(change.member.id, ==, id);
}

static void healthy_group_is_left_alone(void)
{
	struct group group;

	group_of_three(&group, 9);
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
}

/* After the repair there are three live voters again. */
static void dead_voter_is_replaced_in_its_zone(void)
{
	struct member_change change;
	struct group group;

	group_of_three(&group, 10);
	change = group_next(&group);
	expect(change, MEMBER_PROMOTE, 5);
	members_change(&group.members, &change);
	expect(group_next(&group), MEMBER_REMOVE, 3);
}

static void learner_that_lags_or_has_no_disk_never_votes(void)
{
	struct group group;

	group_of_three(&group, 10);
	group.health[3].caught_up = false;
	group.items[4].disk = false;
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
}

static void voter_with_a_failed_disk_counts_as_dead(void)
{
	struct member_change change;
	struct group group;

	group_of_three(&group, 0);
	group.health[1].disk_failed = true;
	change = group_next(&group);
	expect(change, MEMBER_PROMOTE, 4);
	members_change(&group.members, &change);
	expect(group_next(&group), MEMBER_REMOVE, 2);
}

/*
 * A voter's disk fails while another voter has just died unnoticed: if the
 * first were removed, the group would wait for the dead one forever.
 */
static void voter_stays_while_another_is_in_doubt(void)
{
	struct group group;

	group_of_three(&group, 1);
	group.health[1].disk_failed = true;
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
}

/*
 * One of five voters has a full disk; a second one is lost for good, and the VM
 * in its place is ready to vote. The first must not be removed: if a third
 * voter then lost its disk, the members with that change and the one without it
 * would block each other's election forever, although three of the five were
 * present again.
 */
static void full_disk_is_no_reason_while_another_is_in_doubt(void)
{
	struct group group;

	group_of_five(&group, 1);
	group.health[1].disk_failed = true;
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
	/*
	 * Once the lost voter is known, its replacement is promoted and it is
	 * removed.
	 */
	group.health[2].last_contact_us =
		group.now_us - group.policy.voter_timeout_us;
	expect(group_next(&group), MEMBER_PROMOTE, 6);
	group.items[5].role = MEMBER_VOTER;
	expect(group_next(&group), MEMBER_REMOVE, 3);
}

/*
 * A voter is unreachable, and its VM has joined again with an empty folder: the
 * old member can't come back, so it is removed first, which leaves the smaller
 * quorum.
 */
static void emptied_voter_goes_before_its_successor_votes(void)
{
	struct group group;

	group_of_five(&group, 10);
	memcpy(group.items[5].vm, group.items[2].vm, MEMBER_TEXT_SIZE);
	expect(group_next(&group), MEMBER_REMOVE, 3);
}

/* A learner that doesn't answer just now is not a candidate. */
static void silent_learner_is_no_candidate(void)
{
	struct group group;

	group_of_three(&group, 10);
	group.health[3].present = false;
	group.health[4].present = false;
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
}

/*
 * Two of five voters are lost and no member can replace them: a group of three
 * tolerates one more loss.
 */
static void group_shrinks_if_nobody_can_take_over(void)
{
	struct member_change change;
	struct group group;
	uint64_t id;

	group_init(&group);
	group.policy.voters = 5;
	for (id = 1; id <= 5; id++)
		group_add(&group, id, "a", MEMBER_VOTER, true, id > 3 ? 20 : 0);
	change = group_next(&group);
	expect(change, MEMBER_REMOVE, 4);
	group.members.count = 5;
	group.items[3] = group.items[4];
	group.health[3] = group.health[4];
	group.members.count = 4;
	expect(group_next(&group), MEMBER_REMOVE, 5);
	group.members.count = 3;
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
}

static void one_dead_of_three_stays_if_nobody_can_take_over(void)
{
	struct group group;

	group_of_three(&group, 10);
	group.members.count = 3;
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
}

/* Two VMs join a single one: both become voters, not just one of them. */
static void group_grows_to_an_odd_number(void)
{
	struct group group;

	group_init(&group);
	group_add(&group, 1, "a", MEMBER_VOTER, true, 0);
	group_add(&group, 2, "b", MEMBER_LEARNER, true, 0);
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
	group_add(&group, 3, "c", MEMBER_LEARNER, true, 0);
	expect(group_next(&group), MEMBER_PROMOTE, 2);
	group.items[1].role = MEMBER_VOTER;
	expect(group_next(&group), MEMBER_PROMOTE, 3);
}

/* Two of three voters are in the same zone, whose loss would stop the group. */
static void crowded_zone_gives_a_voter_up(void)
{
	struct member_change change;
	struct group group;

	group_of_three(&group, 0);
	group.items[2].zone[0] = 'b';
	change = group_next(&group);
	expect(change, MEMBER_PROMOTE, 5);
	members_change(&group.members, &change);
	expect(group_next(&group), MEMBER_DEMOTE, 2);
}

/*
 * A VM comes back with an empty disk and a new id: its old member is removed
 * sooner than an unreachable VM would be.
 */
static void old_self_of_a_returned_vm_goes_early(void)
{
	struct group group;

	group_of_three(&group, 3);
	group.items[4].vm[3] = group.items[2].vm[3];
	expect(group_next(&group), MEMBER_REMOVE, 3);
}

static void silent_learner_is_dropped(void)
{
	struct group group;

	group_of_three(&group, 0);
	group.health[4].last_contact_us = NOW - 59 * SECOND;
	expect(group_next(&group), MEMBER_NO_CHANGE, 0);
	group.health[4].last_contact_us = NOW - 60 * SECOND;
	expect(group_next(&group), MEMBER_REMOVE, 5);
}

static void configuration_survives_its_encoding(void)
{
	struct members read = { 0 };
	struct bytes body = { 0 };
	struct group group;
	size_t len;

	group_of_three(&group, 0);
	members_encode(&group.members, &body);
	for (len = 0; len < body.len; len++)
		g_assert_false(members_decode(&read, body.data, len));
	g_assert_true(members_decode(&read, body.data, body.len));
	g_assert_cmpuint(read.count, ==, 5);
	g_assert_true(member_same(&read.items[4], &group.items[4]));
	g_assert_cmpint(read.items[2].role, ==, MEMBER_VOTER);
	members_clear(&read);
	bytes_clear(&body);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/member/healthy", healthy_group_is_left_alone);
	g_test_add_func("/member/replace", dead_voter_is_replaced_in_its_zone);
	g_test_add_func("/member/caught-up",
			learner_that_lags_or_has_no_disk_never_votes);
	g_test_add_func("/member/failed-disk",
			voter_with_a_failed_disk_counts_as_dead);
	g_test_add_func("/member/doubt", voter_stays_while_another_is_in_doubt);
	g_test_add_func("/member/emptied",
			emptied_voter_goes_before_its_successor_votes);
	g_test_add_func("/member/full-disk",
			full_disk_is_no_reason_while_another_is_in_doubt);
	g_test_add_func("/member/silent-candidate",
			silent_learner_is_no_candidate);
	g_test_add_func("/member/shrink",
			group_shrinks_if_nobody_can_take_over);
	g_test_add_func("/member/stay",
			one_dead_of_three_stays_if_nobody_can_take_over);
	g_test_add_func("/member/grow", group_grows_to_an_odd_number);
	g_test_add_func("/member/spread", crowded_zone_gives_a_voter_up);
	g_test_add_func("/member/old-self",
			old_self_of_a_returned_vm_goes_early);
	g_test_add_func("/member/drop", silent_learner_is_dropped);
	g_test_add_func("/member/encoding",
			configuration_survives_its_encoding);
	return g_test_run();
}
