#include <glib.h>

#include "load/poison.h"

#define SECOND INT64_C(1000000)
#define REQUEST 42

static enum poison_verdict crash(struct poison *poison, uint64_t server,
				 int64_t ran_us, int64_t now_us)
{
	struct poison_crash crash = { server, ran_us, now_us };

	return poison_crashed(poison, REQUEST, &crash, now_us);
}

/* One crash that is told twice counts as two. */
static void test_told_twice(void)
{
	struct poison poison;

	poison_init(&poison);
	g_assert_cmpint(crash(&poison, 1, 1000, SECOND), ==, POISON_SUSPECT);
	g_assert_cmpint(crash(&poison, 1, 1000, 2 * SECOND), ==,
			POISON_SUSPECT);
	g_assert_cmpint(crash(&poison, 2, 1000, 3 * SECOND), ==, POISON_HELD);
	poison_clear(&poison);
}

/* Each time a short hold ends, the request crashes two more servers. */
static void test_after_hold(void)
{
	struct poison poison;
	int64_t now_us = SECOND;

	poison_init(&poison);
	crash(&poison, 1, SECOND, now_us);
	g_assert_cmpint(crash(&poison, 2, SECOND / 10, now_us), ==,
			POISON_HELD);
	now_us += POISON_HOLD_US;
	g_assert_cmpint(poison_check(&poison, REQUEST, now_us), ==,
			POISON_SUSPECT);
	g_assert_cmpint(crash(&poison, 3, SECOND / 10, now_us), ==,
			POISON_HELD);
	now_us += POISON_HOLD_US;
	g_assert_cmpint(poison_check(&poison, REQUEST, now_us), ==,
			POISON_HELD);
	now_us += POISON_QUARANTINE_US;
	g_assert_cmpint(poison_check(&poison, REQUEST, now_us), ==,
			POISON_CLEAR);
	poison_clear(&poison);
}

/* Suspects of a large outage push a request that is held out of the table. */
static void test_many_suspects(void)
{
	struct poison_crash one = { 7, 1000, SECOND };
	struct poison poison;
	uint64_t i;

	poison_init(&poison);
	crash(&poison, 1, 1000, SECOND);
	crash(&poison, 2, 1000, SECOND);
	for (i = 0; i < 2 * POISON_ENTRIES; i++)
		poison_crashed(&poison, 1000 + i, &one, SECOND);
	g_assert_cmpint(poison_check(&poison, REQUEST, SECOND), ==,
			POISON_HELD);
	g_assert_cmpuint(poison.entries.count, <=, POISON_ENTRIES);
	poison_clear(&poison);
}

/* A harmless request that many callers send is held after two crashes. */
static void test_ran_well(void)
{
	struct poison poison;

	poison_init(&poison);
	poison_succeeded(&poison, REQUEST, SECOND);
	g_assert_true(poison_excused(&poison, REQUEST, 1, 2 * SECOND));
	g_assert_true(poison_excused(&poison, REQUEST, 1, 2 * SECOND));
	g_assert_false(poison_excused(&poison, REQUEST, 2, 2 * SECOND));
	poison_succeeded(&poison, REQUEST, SECOND);
	g_assert_true(poison_excused(&poison, REQUEST, 2, SECOND));
	poison_succeeded(&poison, REQUEST, SECOND);
	g_assert_false(poison_excused(&poison, REQUEST, 3,
				      SECOND + POISON_SUSPECT_US));
	g_assert_false(poison_excused(&poison, 0, 1, SECOND));
	crash(&poison, 1, 1000, SECOND);
	crash(&poison, 2, 1000, SECOND);
	poison_succeeded(&poison, REQUEST, 2 * SECOND);
	g_assert_cmpint(poison_check(&poison, REQUEST, 2 * SECOND), ==,
			POISON_CLEAR);
	poison_clear(&poison);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/poison/told-twice", test_told_twice);
	g_test_add_func("/poison/after-hold", test_after_hold);
	g_test_add_func("/poison/many-suspects", test_many_suspects);
	g_test_add_func("/poison/ran-well", test_ran_well);
	return g_test_run();
}
