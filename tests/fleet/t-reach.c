#include <glib.h>

#include "fleet/reach.h"

#define SECOND INT64_C(1000000)
#define SERVERS 24

/* Guards against a VM that takes its own fault for that of each server. */
static void all_servers_fail(void)
{
	struct reach reach = { 0 };
	int i;

	g_assert_false(reach_failed(&reach, 1, SERVERS, SECOND));
	g_assert_true(reach_failed(&reach, 2, SERVERS, SECOND));
	g_assert_cmpint(reach.state, ==, REACH_DOUBTED);
	for (i = 3; i < REACH_ENOUGH; i++)
		g_assert_false(
			reach_failed(&reach, (uint64_t)i, SERVERS, SECOND));
	g_assert_true(reach_failed(&reach, REACH_ENOUGH, SERVERS, SECOND));
	g_assert_cmpint(reach.state, ==, REACH_LOST);
	g_assert_true(reach_connected(&reach, 2 * SECOND));
	g_assert_cmpint(reach.state, ==, REACH_GOOD);
}

/* Guards against one dead server, tried again and again, for all of them. */
static void one_server_fails(void)
{
	struct reach reach = { 0 };
	int i;

	for (i = 0; i < 100; i++)
		g_assert_false(reach_failed(&reach, 7, SERVERS, SECOND));
	g_assert_cmpint(reach.state, ==, REACH_GOOD);
}

/* Guards against failures hours apart that add up. */
static void failures_far_apart(void)
{
	struct reach reach = { 0 };
	int i;

	for (i = 1; i < 20; i++)
		g_assert_false(reach_failed(&reach, (uint64_t)i, SERVERS,
					    i * 10 * SECOND));
	g_assert_cmpint(reach.state, ==, REACH_GOOD);
}

/* Guards against a doubt after each connection while half of them fail. */
static void half_of_the_servers_fail(void)
{
	struct reach reach = { 0 };
	int doubts = 0;
	int i;

	for (i = 0; i < 1000; i++) {
		int64_t now_us = SECOND + i * SECOND / 1000;

		doubts +=
			reach_failed(&reach, (uint64_t)i % 12, SERVERS, now_us);
		if (i % 4 == 3)
			reach_connected(&reach, now_us);
	}
	g_assert_cmpint(doubts, <=, 2);
}

/* Guards against a service with few servers that is never lost. */
static void few_servers(void)
{
	struct reach reach = { 0 };

	reach_failed(&reach, 1, 3, SECOND);
	reach_failed(&reach, 2, 3, SECOND);
	g_assert_cmpint(reach.state, ==, REACH_DOUBTED);
	reach_failed(&reach, 3, 3, SECOND);
	g_assert_cmpint(reach.state, ==, REACH_LOST);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reach/all", all_servers_fail);
	g_test_add_func("/reach/one", one_server_fails);
	g_test_add_func("/reach/apart", failures_far_apart);
	g_test_add_func("/reach/half", half_of_the_servers_fail);
	g_test_add_func("/reach/few", few_servers);
	return g_test_run();
}
