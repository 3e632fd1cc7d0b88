#include <glib.h>

#include "usage/stepout.h"

#define SECOND INT64_C(1000000)
#define WALL (INT64_C(1700000000) * SECOND)

static struct stepout stepout;

static void check(int64_t wall_s, int64_t agreed_s, int64_t now_s,
		  int64_t believed_s)
{
	int64_t agreed_us = agreed_s ? WALL + agreed_s * SECOND : 0;

	g_assert_cmpint(stepout_time_us(&stepout, WALL + wall_s * SECOND,
					agreed_us, now_s * SECOND),
			==, WALL + believed_s * SECOND);
}

static void test_jump_and_back(void)
{
	stepout = (struct stepout){ 0 };
	check(0, 0, 0, 0);
	check(6, 1, 1, 1);
	check(14, 9, 9, 9);
	g_assert_true(stepout.stepping);
	check(10, 10, 10, 10);
	g_assert_false(stepout.stepping);
}

static void test_lasts(void)
{
	stepout = (struct stepout){ 0 };
	check(0, 0, 0, 0);
	check(101, 0, 1, 1);
	check(399, 0, 299, 299);
	check(402, 0, 302, 402);
}

/* Each step is timed on its own: two different steps don't add up. */
static void test_steps_again(void)
{
	stepout = (struct stepout){ 0 };
	check(0, 0, 0, 0);
	check(101, 0, 1, 1);
	check(280, 0, 200, 200);
	check(382, 0, 302, 302);
	check(581, 0, 501, 581);
}

/* The VM was started while its clock was wrong. */
static void test_to_agreed_time(void)
{
	stepout = (struct stepout){ 0 };
	check(-5, 0, 0, -5);
	check(-4, 1, 1, -4);
	check(2, 2, 2, 2);
}

static void test_drift(void)
{
	int64_t i;

	stepout = (struct stepout){ 0 };
	for (i = 0; i < 1000; i++) {
		int64_t wall_us = WALL + i * SECOND + i * 100;

		g_assert_cmpint(stepout_time_us(&stepout, wall_us, 0,
						i * SECOND),
				==, wall_us);
	}
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/stepout/jump-and-back", test_jump_and_back);
	g_test_add_func("/stepout/lasts", test_lasts);
	g_test_add_func("/stepout/steps-again", test_steps_again);
	g_test_add_func("/stepout/to-agreed-time", test_to_agreed_time);
	g_test_add_func("/stepout/drift", test_drift);
	return g_test_run();
}
