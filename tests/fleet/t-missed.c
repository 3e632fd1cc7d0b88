#include <glib.h>
#include <string.h>

#include "fleet/missed.h"

#define SECOND INT64_C(1000000)

static void count(struct missed *missed, const char *service, int64_t ended,
		  int64_t n_missed, int64_t now_us)
{
	struct feed_missed told = { .ended = ended, .missed = n_missed };

	g_strlcpy(told.service, service, sizeof(told.service));
	missed_add(missed, &told, now_us);
}

/* Several entry VMs tell a few each; together they are a burst. */
static void test_pressed(void)
{
	struct missed missed;
	int i;

	missed_init(&missed);
	g_assert_false(missed_pressed(&missed, "desk", 0));
	count(&missed, "desk", 5, 2, 0);
	g_assert_false(missed_pressed(&missed, "desk", 0));
	for (i = 0; i < 3; i++)
		count(&missed, "desk", 5, 2, 0);
	g_assert_true(missed_pressed(&missed, "desk", 0));
	g_assert_false(missed_pressed(&missed, "till", 0));
	missed_clear(&missed);
}

/* A burst that is over is forgotten, also when nothing more is told. */
static void test_fades(void)
{
	struct missed missed;

	missed_init(&missed);
	count(&missed, "desk", 20, 10, 0);
	g_assert_true(missed_pressed(&missed, "desk", SECOND));
	g_assert_false(missed_pressed(&missed, "desk", 4 * SECOND));
	count(&missed, "desk", 100, 0, 2 * SECOND);
	g_assert_false(missed_pressed(&missed, "desk", 2 * SECOND));
	missed_clear(&missed);
}

/* Some requests are always late; that is no want of servers. */
static void test_small_part(void)
{
	struct missed missed;

	missed_init(&missed);
	count(&missed, "desk", 100, 10, 0);
	g_assert_false(missed_pressed(&missed, "desk", 0));
	missed_clear(&missed);
}

/* Each figure is told once, and arrives as it was. */
static void test_told(void)
{
	struct feed_message message;
	struct bytes body = { 0 };
	struct missed missed;

	missed_init(&missed);
	count(&missed, "desk", 7, 3, 0);
	g_assert_true(missed_tell(&missed, &body));
	g_assert_true(feed_read(&message, body.data, body.len));
	g_assert_cmpint(message.kind, ==, FEED_MISSED);
	g_assert_cmpstr(message.u.missed.service, ==, "desk");
	g_assert_cmpint(message.u.missed.ended, ==, 7);
	g_assert_cmpint(message.u.missed.missed, ==, 3);
	feed_clear(&message);
	bytes_clear(&body);
	g_assert_false(missed_tell(&missed, &body));
	missed_clear(&missed);
}

/* From a VM that is out of its mind: nothing is counted. */
static void test_nonsense(void)
{
	struct missed missed;

	missed_init(&missed);
	count(&missed, "desk", 5, 50, 0);
	count(&missed, "desk", -5, -50, 0);
	g_assert_false(missed_pressed(&missed, "desk", 0));
	missed_clear(&missed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/missed/pressed", test_pressed);
	g_test_add_func("/missed/fades", test_fades);
	g_test_add_func("/missed/small-part", test_small_part);
	g_test_add_func("/missed/told", test_told);
	g_test_add_func("/missed/nonsense", test_nonsense);
	return g_test_run();
}
