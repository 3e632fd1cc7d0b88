#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "usage/begun.h"
#include "usage/wall.h"

#define SECOND INT64_C(1000000)

/* Deliver all unsent totals of an entry VM to a control VM. */
static int pass_on(struct begun *from, uint64_t source, struct begun *to)
{
	struct bytes body = { 0 };
	struct feed_message message;
	int n = 0;

	while (begun_tell(from, &body)) {
		g_assert_true(feed_read(&message, body.data, body.len));
		begun_take(to, source, &message.u.begun);
		feed_clear(&message);
		bytes_clear(&body);
		n++;
	}
	return n;
}

static int64_t requests(const struct begun *begun, int64_t window,
			const char *organisation)
{
	struct feed_begun total = begun_total(begun, window);
	int64_t found = 0;
	size_t i;

	for (i = 0; i < total.n_counts; i++)
		if (!strcmp(total.counts[i].organisation, organisation))
			found = total.counts[i].requests;
	feed_begun_clear(&total);
	return found;
}

/*
 * Two entry VMs report their totals repeatedly, late and twice, also to a
 * control VM that has just started: the sum stays right throughout.
 */
static void test_totals(void)
{
	struct begun first;
	struct begun second;
	struct begun control;
	struct begun fresh;

	begun_init(&first);
	begun_init(&second);
	begun_init(&control);
	begun_init(&fresh);
	begun_add(&first, 10, "yards");
	g_assert_cmpint(pass_on(&first, 1, &control), ==, 1);
	begun_add(&first, 10, "yards");
	begun_add(&first, 11, "drivers");
	begun_add(&second, 10, "yards");
	g_assert_cmpint(pass_on(&first, 1, &control), ==, 2);
	g_assert_cmpint(pass_on(&first, 1, &control), ==, 0);
	pass_on(&second, 2, &control);
	g_assert_cmpint(requests(&control, 10, "yards"), ==, 3);
	g_assert_cmpint(requests(&control, 11, "drivers"), ==, 1);
	begun_tell_again(&first);
	pass_on(&first, 1, &fresh);
	g_assert_cmpint(requests(&fresh, 10, "yards"), ==, 2);
	begun_tell_again(&first);
	pass_on(&first, 1, &control);
	g_assert_cmpint(requests(&control, 10, "yards"), ==, 3);
	begun_clear(&first);
	begun_clear(&second);
	begun_clear(&control);
	begun_clear(&fresh);
}

static void test_windows_bounded(void)
{
	struct begun begun;
	int i;

	begun_init(&begun);
	for (i = 0; i < 100; i++)
		begun_add(&begun, i, "yards");
	g_assert_cmpint(requests(&begun, 99, "yards"), ==, 1);
	g_assert_cmpint(requests(&begun, 100 - BEGUN_WINDOWS, "yards"), ==, 1);
	g_assert_cmpint(requests(&begun, 99 - BEGUN_WINDOWS, "yards"), ==, 0);
	begun_clear(&begun);
}

/* Many entry VMs report totals of many organisations, each several times. */
static void test_many_sources(void)
{
	struct begun control;
	struct begun entry;
	uint64_t source;
	int i;

	begun_init(&control);
	for (source = 1; source <= 200; source++) {
		begun_init(&entry);
		for (i = 0; i < 80; i++) {
			char name[16];

			g_snprintf(name, sizeof(name), "org%d", i % 40);
			begun_add(&entry, 10, name);
			if (i % 8 == 0)
				pass_on(&entry, source, &control);
		}
		pass_on(&entry, source, &control);
		begun_clear(&entry);
	}
	for (i = 0; i < 40; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "org%d", i);
		g_assert_cmpint(requests(&control, 10, name), ==, 400);
	}
	begun_clear(&control);
}

/* Two of five wall clocks jump by seconds: the median is unaffected. */
static void test_wall(void)
{
	struct wall wall = { 0 };
	uint64_t i;

	g_assert_cmpint(wall_time_us(&wall, 5 * SECOND), ==, 0);
	for (i = 0; i < 5; i++)
		wall_note(&wall, i, 1000 * SECOND, 5 * SECOND);
	g_assert_cmpint(wall_time_us(&wall, 6 * SECOND), ==, 1001 * SECOND);
	wall_note(&wall, 0, 1003 * SECOND, 6 * SECOND);
	wall_note(&wall, 1, 999 * SECOND, 6 * SECOND);
	g_assert_cmpint(wall_time_us(&wall, 6 * SECOND), ==, 1001 * SECOND);
	/* A clock without a recent reading is ignored. */
	wall_note(&wall, 1, 1099 * SECOND, 100 * SECOND);
	g_assert_cmpint(wall_time_us(&wall, 100 * SECOND), ==, 1099 * SECOND);
}

/*
 * Guards against billing a count twice, or losing it, if it is both in the log
 * and reported again.
 */
static void test_raise(void)
{
	struct feed_count counts[] = { { "reds", 4 }, { "yards", 9 } };
	struct feed_begun known = { 7, counts, 2 };
	struct feed_begun total;
	struct begun begun;
	int i;

	begun_init(&begun);
	for (i = 0; i < 5; i++)
		begun_add(&begun, 7, "yards");
	for (i = 0; i < 6; i++)
		begun_add(&begun, 7, "blues");
	total = begun_total(&begun, 7);
	begun_raise(&total, &known);
	g_assert_cmpuint(total.n_counts, ==, 3);
	g_assert_cmpstr(total.counts[0].organisation, ==, "blues");
	g_assert_cmpint(total.counts[0].requests, ==, 6);
	g_assert_cmpint(total.counts[1].requests, ==, 4);
	g_assert_cmpint(total.counts[2].requests, ==, 9);
	begun_raise(&total, NULL);
	g_assert_cmpuint(total.n_counts, ==, 3);
	feed_begun_clear(&total);
	begun_clear(&begun);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/begun/totals", test_totals);
	g_test_add_func("/begun/windows-bounded", test_windows_bounded);
	g_test_add_func("/begun/many-sources", test_many_sources);
	g_test_add_func("/wall/median", test_wall);
	g_test_add_func("/begun/raise", test_raise);
	return g_test_run();
}
