#include <glib.h>

#include "bed.h"

/* Submits a request whose server closes the connection after 40 ms. */
static void lose_answer(struct bed *bed)
{
	uint64_t id = bed_ask(bed, "/lodge/7", "k1");

	bed_advance(bed, SECOND / 25);
	bed_end_attempt(bed, id, RESULT_BACKEND_BROKE, 0, true);
}

/* Guards against usage windows that lack requests whose answer was lost. */
static void test_lost_answer_counts(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	lose_answer(&bed);
	bed_advance(&bed, SECOND);
	g_assert_cmpint(bed.reported_requests, ==, 0);
	bed_deliver_engine(&bed, 9, false);
	bed_advance(&bed, SECOND / 2);
	g_assert_cmpint(bed.reported_requests, ==, 1);
	/* Closed at once, or nothing was sent: the request can't have run. */
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed_end_attempt(&bed, id, RESULT_BACKEND_BROKE, 0, true);
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed_advance(&bed, SECOND / 25);
	bed_end_attempt(&bed, id, RESULT_BACKEND_CONNECT, 0, false);
	bed_advance(&bed, SECOND / 2);
	bed_deliver_engine(&bed, 10, false);
	bed_advance(&bed, SECOND / 2);
	g_assert_cmpint(bed.reported_requests, ==, 1);
	bed_end(&bed);
}

/* Guards against billing requests that a crashed server hadn't started. */
static void test_crash_counts_nothing(void)
{
	struct bed bed;

	bed_start(&bed);
	lose_answer(&bed);
	bed_advance(&bed, 6 * SECOND);
	bed_deliver_engine(&bed, 9, false);
	bed_advance(&bed, SECOND);
	g_assert_cmpint(bed.reported_requests, ==, 0);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/lost-answer-counts", test_lost_answer_counts);
	g_test_add_func("/entry/crash-counts-nothing",
			test_crash_counts_nothing);
	return g_test_run();
}
