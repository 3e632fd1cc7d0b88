#include <glib.h>

#include "group.h"

#define SECOND INT64_C(1000000)

static struct group *site(void)
{
	struct group *group = group_founded(NULL);

	group_put(group, group_leader(group), 1);
	group_run(group, SECOND);
	return group;
}

static int any_follower(struct group *group)
{
	return (group_leader(group) + 1) % 5;
}

static void check_all(struct group *group, int evacuated)
{
	int vm;

	for (vm = 0; vm < 5; vm++)
		g_assert_cmpint(group_view(group, vm).evacuated, ==, evacuated);
}

/* An order that comes to a VM that doesn't lead is answered as unknown. */
static void test_acknowledged(void)
{
	struct group *group = site();
	uint64_t call = group_evacuate(group, any_follower(group), "z1", true);

	g_assert_cmpint(group_code(group, call), ==, -1);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	check_all(group, 1);
	call = group_evacuate(group, group_leader(group), "z1", false);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	check_all(group, 0);
	group_free(group);
}

/* The answer is lost and the order is sent again: it changes nothing. */
static void test_repeated(void)
{
	struct group *group = site();
	uint64_t call;

	group_evacuate(group, 0, "z1", true);
	group_run(group, SECOND);
	call = group_evacuate(group, 1, "z1", true);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	g_assert_cmpint(group_view(group, 2).evacuation_changes, ==, 1);
	call = group_evacuate(group, 1, "z2", false);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	g_assert_cmpint(group_view(group, 2).evacuation_changes, ==, 1);
	group_free(group);
}

/*
 * An evacuation that was delayed between two VMs comes after its withdrawal
 * was acknowledged, and the zone stays unused for ever.
 */
static void test_overtaken(void)
{
	struct group *group = site();
	int leader = group_leader(group);
	int slow = any_follower(group);
	uint64_t late;
	uint64_t call;

	group_slow(group, slow, leader, SECOND);
	late = group_evacuate(group, slow, "z1", true);
	call = group_evacuate(group, leader, "z1", true);
	group_run(group, SECOND / 4);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	call = group_evacuate(group, leader, "z1", false);
	group_run(group, SECOND / 4);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	group_run(group, 3 * SECOND);
	g_assert_cmpint(group_code(group, late), ==, RESULT_NO_QUORUM);
	check_all(group, 0);
	group_free(group);
}

/* A leader that was cut off acknowledges what another one has withdrawn. */
static void test_no_quorum(void)
{
	struct group *group = site();
	int old = group_leader(group);
	uint64_t call;
	int vm;

	group_evacuate(group, old, "z1", true);
	group_run(group, SECOND);
	for (vm = 0; vm < 5; vm++)
		if (vm != old)
			group_cut(group, old, vm, true);
	call = group_evacuate(group, old, "z1", true);
	group_run(group, 5 * SECOND);
	g_assert_cmpint(group_code(group, call), !=, -1);
	g_assert_cmpint(group_code(group, call), !=, RESULT_OK);
	group_free(group);
}

/* The leader dies after an order came: it is in force, or was unclear. */
static void test_leader_lost(void)
{
	struct group *group = site();
	int leader = group_leader(group);
	int follower = any_follower(group);
	uint64_t call = group_evacuate(group, follower, "z1", true);

	group_run(group, GROUP_STEP_US);
	group_kill(group, leader);
	group_run(group, 5 * SECOND);
	g_assert_cmpint(group_code(group, call), !=, -1);
	call = group_evacuate(group, follower, "z1", true);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	g_assert_cmpint(group_view(group, follower).evacuated, ==, 1);
	group_free(group);
}

/* All VMs lose power right after the acknowledgement. */
static void test_power_lost(void)
{
	struct group *group = site();
	uint64_t call = group_evacuate(group, 3, "z1", true);
	int vm;

	while (group_code(group, call) == -1)
		group_run(group, GROUP_STEP_US);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	for (vm = 0; vm < 5; vm++)
		group_kill(group, vm);
	for (vm = 0; vm < 5; vm++)
		group_start(group, vm);
	group_run(group, 5 * SECOND);
	check_all(group, 1);
	group_free(group);
}

/* Two disks are lost right after the acknowledgement. */
static void test_disks_lost(void)
{
	struct group *group = site();
	int leader = group_leader(group);
	int follower = any_follower(group);
	uint64_t call = group_evacuate(group, leader, "z1", true);

	while (group_code(group, call) == -1)
		group_run(group, GROUP_STEP_US);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	group_wipe(group, leader);
	group_wipe(group, follower);
	group_run(group, SECOND / 2);
	group_start(group, leader);
	group_start(group, follower);
	group_run(group, 10 * SECOND);
	check_all(group, 1);
	group_free(group);
}

/* An entry VM that was cut off returns and sends to an evacuated zone. */
static void test_entry_returns(void)
{
	struct group *group = site();
	int leader = group_leader(group);

	group_poll(group, leader, true);
	g_assert_cmpint(group_told_evacuations(group, leader), ==, 0);
	group_evacuate(group, leader, "z1", true);
	group_run(group, SECOND);
	g_assert_cmpint(group_told_evacuations(group, leader), ==, 1);
	group_entry_down(group);
	group_evacuate(group, leader, "z2", true);
	group_run(group, SECOND);
	group_poll(group, leader, true);
	g_assert_cmpint(group_told_evacuations(group, leader), ==, 2);
	group_free(group);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/evacuation/acknowledged", test_acknowledged);
	g_test_add_func("/evacuation/repeated", test_repeated);
	g_test_add_func("/evacuation/overtaken", test_overtaken);
	g_test_add_func("/evacuation/no-quorum", test_no_quorum);
	g_test_add_func("/evacuation/leader-lost", test_leader_lost);
	g_test_add_func("/evacuation/power-lost", test_power_lost);
	g_test_add_func("/evacuation/disks-lost", test_disks_lost);
	g_test_add_func("/evacuation/entry-returns", test_entry_returns);
	return g_test_run();
}
