#include <glib.h>

#include "group.h"

#define SECOND INT64_C(1000000)

/* Guards against an operator's call that leaves no line on any VM. */
static void test_each_call_is_logged(void)
{
	struct group *group = group_founded(NULL);
	int leader = group_leader(group);
	int other = (leader + 1) % 5;

	group_put(group, other, 3);
	group_get(group, other);
	group_get(group, leader);
	g_assert_cmpint(group_logged(group, other,
				     "event=redirected call=1 what=change "
				     "version=3 held=0 leader=vm-"),
			==, 1);
	g_assert_cmpint(group_logged(group, other,
				     "event=redirected call=2 what=read"),
			==, 1);
	g_assert_cmpint(group_logged(group, leader,
				     "event=read call=3 version=0 "
				     "code=NO_QUORUM"),
			==, 1);
	group_put(group, leader, 3);
	group_run(group, SECOND);
	group_get(group, leader);
	g_assert_cmpint(group_logged(group, leader, "event=answered call=4 "),
			==, 1);
	g_assert_cmpint(group_logged(group, leader,
				     "event=read call=5 version=3 code=OK"),
			==, 1);
	group_free(group);
}

/* Guards against a change whose fate is unclear without a line that says so. */
static void test_unclear_change_is_logged(void)
{
	struct group *group = group_founded(NULL);
	int leader = group_leader(group);
	int vm;

	for (vm = 0; vm < 5; vm++)
		if (vm != leader)
			group_cut(group, leader, vm, true);
	group_put(group, leader, 3);
	group_run(group, 4 * SECOND);
	g_assert_cmpint(group_logged(group, leader, "code=NO_QUORUM"), ==, 1);
	group_free(group);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/calls-logged/each-call", test_each_call_is_logged);
	g_test_add_func("/calls-logged/unclear-change",
			test_unclear_change_is_logged);
	return g_test_run();
}
