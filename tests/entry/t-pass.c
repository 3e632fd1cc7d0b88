#include <glib.h>

#include "bed.h"

static const char *const ways[] = { "10.9.0.2:80", "10.9.0.3:80" };

/* No connection to either server of the service can be made. */
static void cut_off(struct bed *bed)
{
	bed_deliver_server(bed, STEADY, 1, false, false);
	bed_connect(bed, ENGINE, false);
	bed_connect(bed, STEADY, false);
	bed_deliver_ways(bed, 2, ways);
}

/* A request is lost where the first VM that is named can't be connected to. */
static void test_next_way(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	cut_off(&bed);
	id = bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	g_assert_cmpstr(bed.started_at, ==, ways[0]);
	bed_end_attempt(&bed, id, RESULT_BACKEND_CONNECT, 0, false);
	g_assert_cmpstr(bed.started_at, ==, ways[1]);
	bed_end_nth(&bed, id, 2, RESULT_BACKEND_CONNECT, 0, false);
	bed_check_refused(&bed, id, RESULT_BACKEND_CONNECT);
	bed_end(&bed);
}

/* A request that was sent to another VM is sent a second time. */
static void test_sent_once(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	cut_off(&bed);
	id = bed_ask(&bed, "/porch/7", "k1");
	bed.started = 0;
	bed_end_attempt(&bed, id, RESULT_BACKEND_BROKE, 0, true);
	g_assert_cmpuint(bed.started, ==, 0);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.run, ==, RUN_UNKNOWN);
	bed_end(&bed);
}

/* "Not run" by another VM of a request that a server here may have run. */
static void test_may_have_run(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = bed_ask(&bed, "/porch/7", "k1");
	cut_off(&bed);
	bed_end_attempt(&bed, id, RESULT_BACKEND_BROKE, 0, true);
	g_assert_cmpstr(bed.started_at, ==, ways[0]);
	bed_end_attempt(&bed, id, RESULT_BACKEND_ERROR, 503, true);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.code, ==, RESULT_BACKEND_BROKE);
	g_assert_cmpint(bed.run, ==, RUN_UNKNOWN);
	bed_end(&bed);
}

/* The cut ends, and requests still go to another VM. */
static void test_cut_ends(void)
{
	struct bed bed;

	bed_start(&bed);
	cut_off(&bed);
	bed_connect(&bed, ENGINE, true);
	bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpstr(bed.started_at, !=, ways[0]);
	g_assert_cmpstr(bed.started_at, !=, ways[1]);
	bed_end(&bed);
}

/* A planned stop cuts off what another VM was asked, without an answer. */
static void test_stop(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	cut_off(&bed);
	id = bed_ask(&bed, "/lodge/7", "k1");
	entry_stop(bed.entry, bed.now_us, 1000000, &bed.effects);
	bed_advance(&bed, 900000);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.code, ==, RESULT_STOPPING);
	g_assert_cmpint(bed.run, ==, RUN_UNKNOWN);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pass/next-way", test_next_way);
	g_test_add_func("/pass/sent-once", test_sent_once);
	g_test_add_func("/pass/may-have-run", test_may_have_run);
	g_test_add_func("/pass/cut-ends", test_cut_ends);
	g_test_add_func("/pass/stop", test_stop);
	return g_test_run();
}
