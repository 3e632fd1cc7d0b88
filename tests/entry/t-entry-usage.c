#include <glib.h>

#include "bed.h"

/* Requests whose answers were lost were missing from their usage window. */
static void test_lost_answer_counts(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed_pass(&bed, SECOND / 25);
	bed_end_attempt(&bed, id, RESULT_BACKEND_BROKE, 0, true);
	bed_pass(&bed, SECOND);
	g_assert_cmpint(bed.begun, ==, 1);
	/* The connection was refused, or nothing was sent: it can't have run. */
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed_end_attempt(&bed, id, RESULT_BACKEND_BROKE, 0, true);
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed_pass(&bed, SECOND / 25);
	bed_end_attempt(&bed, id, RESULT_BACKEND_CONNECT, 0, false);
	bed_pass(&bed, SECOND);
	g_assert_cmpint(bed.begun, ==, 1);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/lost-answer-counts", test_lost_answer_counts);
	return g_test_run();
}
