#include <glib.h>

#include "load/part.h"

#define SECOND INT64_C(1000000)
#define DEADLY 7
#define POPULAR 8

static struct part_watch *watch_new(void)
{
	struct part_watch *watch = g_new(struct part_watch, 1);

	part_watch_init(watch);
	return watch;
}

static void watch_free(struct part_watch *watch)
{
	part_watch_clear(watch);
	g_free(watch);
}

/* A server crashes under a request with the part that was just sent. */
static bool crash(struct part_watch *watch, uint64_t part, uint64_t server,
		  int64_t now_us)
{
	struct part_report report = {
		.part = part,
		.sound_us = PART_NEVER,
		.crashes = { { server, now_us - 100, now_us } },
		.n = 1,
	};

	return part_merge(watch, &report, true, now_us);
}

static void crash_many(struct part_watch *watch, uint64_t part, int n,
		       int64_t from_us)
{
	int i;

	for (i = 0; i < n; i++)
		crash(watch, part, (uint64_t)i + 1, from_us + i * SECOND);
}

/* One crash that several VMs tell of counts several times. */
static void test_told_twice(void)
{
	struct part_watch *watch = watch_new();
	int i;

	for (i = 0; i < 10; i++)
		crash(watch, DEADLY, 1, SECOND + i * SECOND);
	g_assert_cmpint(part_held_us(watch, DEADLY, 12 * SECOND), ==, 0);
	watch_free(watch);
}

/* The time since the last crash overflows where none is left that counts. */
static void test_no_crash_left(void)
{
	struct part_watch *watch = watch_new();

	crash(watch, POPULAR, 1, SECOND);
	part_server_lives(watch, 1, 2 * SECOND, 2 * SECOND);
	crash_many(watch, DEADLY, 5, 3 * SECOND);
	g_assert_cmpint(part_held_us(watch, POPULAR, 9 * SECOND), ==, 0);
	g_assert_cmpint(part_held_us(watch, DEADLY, 9 * SECOND), >, 0);
	watch_free(watch);
}

/* Servers that are lost together hold the parts of what they ran. */
static void test_lost_together(void)
{
	struct part_watch *watch = watch_new();
	int i;

	for (i = 0; i < 12; i++)
		crash(watch, DEADLY, (uint64_t)i + 1, SECOND + i);
	g_assert_cmpint(part_held_us(watch, DEADLY, 2 * SECOND), ==, 0);
	watch_free(watch);
}

/* A new part's hold comes late, or never ends. */
static void test_new(void)
{
	struct part_watch *watch = watch_new();
	int64_t last_us = SECOND + (PART_NEW_CRASHES - 1) * SECOND;

	crash_many(watch, DEADLY, PART_NEW_CRASHES - 1, SECOND);
	g_assert_cmpint(part_held_us(watch, DEADLY, last_us), ==, 0);
	crash(watch, DEADLY, 99, last_us);
	g_assert_cmpint(part_held_us(watch, DEADLY, last_us), ==, 0);
	last_us += PART_NEW_DOUBT_US;
	g_assert_cmpint(part_held_us(watch, DEADLY, last_us), ==,
			PART_QUARANTINE_US - PART_NEW_DOUBT_US);
	g_assert_cmpint(part_held_us(watch, POPULAR, last_us), ==, 0);
	g_assert_cmpint(part_held_us(watch, DEADLY,
				     last_us + PART_QUARANTINE_US),
			==, 0);
	watch_free(watch);
}

/* A part that ran well is held before news of its sound answers can come. */
static void test_proven(void)
{
	struct part_watch *watch = watch_new();
	int64_t last_us = 2 * SECOND + (PART_PROVEN_CRASHES - 1) * SECOND;

	part_is_sound(watch, DEADLY, SECOND, SECOND);
	crash_many(watch, DEADLY, PART_PROVEN_CRASHES, 2 * SECOND);
	g_assert_cmpint(part_held_us(watch, DEADLY, last_us), ==, 0);
	g_assert_cmpint(part_held_us(watch, DEADLY, last_us + PART_DOUBT_US),
			==, PART_HOLD_US - PART_DOUBT_US);
	watch_free(watch);
}

/* A hold can't be taken back by an answer that goes on. */
static void test_taken_back(void)
{
	struct part_watch *watch = watch_new();

	crash_many(watch, DEADLY, PART_NEW_CRASHES, SECOND);
	g_assert_cmpint(part_held_us(watch, DEADLY, 10 * SECOND), >, 0);
	part_is_sound(watch, DEADLY, 9 * SECOND, 11 * SECOND);
	g_assert_cmpint(part_held_us(watch, DEADLY, 11 * SECOND), ==, 0);
	watch_free(watch);
}

/* A popular part is held for the crashes of a deadly one. */
static void test_explained(void)
{
	struct part_watch *watch = watch_new();
	int i;

	part_is_sound(watch, POPULAR, SECOND, SECOND);
	for (i = 0; i < 8; i++) {
		crash(watch, POPULAR, (uint64_t)i + 1, (2 + i) * SECOND);
		crash(watch, DEADLY, (uint64_t)i + 1, (2 + i) * SECOND);
	}
	g_assert_cmpint(part_held_us(watch, DEADLY, 12 * SECOND), >, 0);
	g_assert_cmpint(part_held_us(watch, POPULAR, 12 * SECOND), ==, 0);
	watch_free(watch);
}

/* New parts are held by chance where many answers break off. */
static void test_chance(void)
{
	struct part_watch *watch = watch_new();
	int i;

	for (i = 0; i < 100; i++)
		part_count_answer(watch, i % 2, SECOND);
	crash_many(watch, DEADLY, PART_NEW_MOST - 1, SECOND);
	g_assert_cmpint(part_held_us(watch, DEADLY, 10 * SECOND), ==, 0);
	crash(watch, DEADLY, 99, 10 * SECOND);
	g_assert_cmpint(part_held_us(watch, DEADLY, 11 * SECOND), >, 0);
	watch_free(watch);
}

/* Parts in one crash push a part that is held out of the table. */
static void test_many(void)
{
	struct part_watch *watch = watch_new();
	uint64_t i;

	crash_many(watch, DEADLY, PART_NEW_CRASHES, SECOND);
	for (i = 0; i < 2 * PART_ENTRIES; i++)
		crash(watch, 1000 + i, 1, 10 * SECOND);
	g_assert_cmpint(part_held_us(watch, DEADLY, 10 * SECOND), >, 0);
	g_assert_cmpuint(watch->entries.count, <=, PART_ENTRIES);
	watch_free(watch);
}

/* VMs whose clocks differ tell of a request that was sent after its crash. */
static void test_clocks(void)
{
	struct part_report late = {
		.part = DEADLY,
		.sound_us = PART_NEVER,
		.crashes = { { 1, SECOND + 200, SECOND + 300 } },
		.n = 1,
	};
	struct part_watch *watch = watch_new();
	struct part_report known;

	crash(watch, DEADLY, 1, SECOND);
	g_assert_true(part_merge(watch, &late, false, 2 * SECOND));
	g_assert_false(part_merge(watch, &late, false, 2 * SECOND));
	g_assert_true(part_find(watch, DEADLY, &known));
	g_assert_cmpint(known.n, ==, 1);
	g_assert_cmpint(known.crashes[0].started_us, <=,
			known.crashes[0].at_us);
	watch_free(watch);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/part/no-crash-left", test_no_crash_left);
	g_test_add_func("/part/told-twice", test_told_twice);
	g_test_add_func("/part/lost-together", test_lost_together);
	g_test_add_func("/part/new", test_new);
	g_test_add_func("/part/proven", test_proven);
	g_test_add_func("/part/taken-back", test_taken_back);
	g_test_add_func("/part/explained", test_explained);
	g_test_add_func("/part/chance", test_chance);
	g_test_add_func("/part/many", test_many);
	g_test_add_func("/part/clocks", test_clocks);
	return g_test_run();
}
