#include <glib.h>

#include "load/unserved.h"

#define SECOND INT64_C(1000000)

static void add(struct unserved *unserved, int begun, int nothing,
		int64_t now_us)
{
	struct unserved_count count = { begun, nothing };

	unserved_add(unserved, 2, &count, now_us);
}

/* A few requests that got nothing among many are taken for a shortage. */
static void test_part(void)
{
	struct unserved unserved = { 0 };

	add(&unserved, 100, 2, SECOND);
	g_assert_cmpfloat(unserved_part(&unserved, 2), ==, 0);
	add(&unserved, 0, 2, SECOND);
	g_assert_cmpfloat(unserved_part(&unserved, 2), ==, 0);
	add(&unserved, 0, 21, SECOND);
	g_assert_cmpfloat(unserved_part(&unserved, 2), ==, 0.2);
	g_assert_cmpfloat(unserved_part(&unserved, 1), ==, 0);
}

/* Two requests alone, or what was long ago, are taken for a shortage. */
static void test_few(void)
{
	struct unserved unserved = { 0 };

	add(&unserved, 0, 2, SECOND);
	g_assert_cmpfloat(unserved_part(&unserved, 2), ==, 0);
	add(&unserved, 0, 2, SECOND);
	g_assert_cmpfloat(unserved_part(&unserved, 2), ==, 1);
	add(&unserved, 0, 0, 3 * SECOND);
	g_assert_cmpfloat(unserved_part(&unserved, 2), ==, 0);
}

/* A tier leaves slots free for itself, or for a lower one. */
static void test_reserve(void)
{
	struct reserve reserve = { 0 };

	reserve_raise(&reserve, 2, RESERVE_STEP_LEAST / 2, SECOND);
	g_assert_cmpfloat(reserve_below(&reserve, 1, SECOND), ==, 0);
	g_assert_cmpfloat(reserve_below(&reserve, 2, SECOND), ==, 0);
	g_assert_cmpfloat(reserve_below(&reserve, 3, SECOND), ==,
			  RESERVE_STEP_LEAST);
}

/* News from several control VMs counts several times. */
static void test_told_twice(void)
{
	struct reserve reserve = { 0 };
	int i;

	for (i = 0; i < 5; i++)
		reserve_raise(&reserve, 0, 1, SECOND);
	g_assert_cmpfloat(reserve_below(&reserve, 1, SECOND), ==,
			  RESERVE_STEP_MOST);
	for (i = 1; i < 5; i++)
		reserve_raise(&reserve, 0, 1, SECOND + i * RESERVE_STEP_US);
	g_assert_cmpfloat(reserve_below(&reserve, 1, 3 * SECOND), <=, 1);
}

/* What is left free doesn't return to the lower tiers. */
static void test_returns(void)
{
	struct reserve reserve = { 0 };
	int64_t whole_us = (int64_t)(1e6 / RESERVE_DECAY_PER_S);

	reserve_raise(&reserve, 0, 1, SECOND);
	g_assert_cmpfloat(reserve_below(&reserve, 1, SECOND + whole_us / 4), >=,
			  RESERVE_STEP_MOST - 0.25);
	g_assert_cmpfloat(reserve_below(&reserve, 1, SECOND + whole_us), ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/unserved/part", test_part);
	g_test_add_func("/unserved/few", test_few);
	g_test_add_func("/unserved/reserve", test_reserve);
	g_test_add_func("/unserved/told-twice", test_told_twice);
	g_test_add_func("/unserved/returns", test_returns);
	return g_test_run();
}
