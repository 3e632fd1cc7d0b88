#include <glib.h>

#include "bed.h"

/* z1 is in the north, z2 in the south; the region of z9 isn't known. */
static void start(struct bed *bed)
{
	struct registration south = { .zone = "z2", .sequence = 1, .slots = 8 };
	struct registration unknown = { .zone = "z9",
					.sequence = 1,
					.slots = 8 };

	bed_start(bed);
	bed_deliver_registration(bed, STEADY, south);
	bed_deliver_registration(bed, CHEAP, unknown);
}

static void check_all_at(struct bed *bed, const char *path, const char *server)
{
	int i;

	for (i = 0; i < 32; i++) {
		uint64_t id = bed_ask(bed, path, "k1");

		g_assert_cmpuint(bed->started, ==, id);
		g_assert_cmpstr(bed->started_at, ==, server);
		bed_end_attempt(bed, id, RESULT_OK, 200, true);
	}
}

/* A request runs where its route doesn't allow it. */
static void test_route(void)
{
	struct bed bed;

	start(&bed);
	check_all_at(&bed, "/north/7", ENGINE);
	check_all_at(&bed, "/south/7", STEADY);
	bed_end(&bed);
}

/* The only region has no server left: others look free, and get it. */
static void test_region_lost(void)
{
	struct bed bed;
	uint64_t id;

	start(&bed);
	bed_deliver_evacuation(&bed, "z2", true, 1);
	id = bed_ask(&bed, "/south/7", "k1");
	g_assert_cmpuint(bed.started, !=, id);
	bed_check_refused(&bed, id, RESULT_NO_CAPACITY);
	bed_end(&bed);
}

/* A region's servers are full: requests for other regions wait behind it. */
static void test_region_full(void)
{
	struct bed bed;
	uint64_t id;
	int i;

	start(&bed);
	for (i = 0; i < 8; i++)
		bed_ask(&bed, "/south/7", "k1");
	id = bed_ask(&bed, "/south/7", "k1");
	g_assert_cmpuint(bed.started, !=, id);
	id = bed_ask(&bed, "/north/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	g_assert_cmpstr(bed.started_at, ==, ENGINE);
	bed_end(&bed);
}

/* A second try is sent to another region, as no other server has failed it. */
static void test_retry(void)
{
	struct bed bed;
	uint64_t id;
	int i;

	start(&bed);
	for (i = 0; i < 8; i++) {
		id = bed_ask(&bed, "/south/7", "k1");
		bed.started_at[0] = '\0';
		bed_end_attempt(&bed, id, RESULT_BACKEND_ERROR, 500, true);
		g_assert_cmpuint(bed.started, ==, id);
		g_assert_cmpstr(bed.started_at, ==, STEADY);
		bed_end_nth(&bed, id, 2, RESULT_OK, 200, true);
	}
	bed_end(&bed);
}

/* Route and organisation name regions that have none in common. */
static void test_both_bind(void)
{
	struct bed bed;
	uint64_t id;

	start(&bed);
	id = bed_ask(&bed, "/south/7", BOARD_KEY);
	g_assert_cmpuint(bed.started, !=, id);
	bed_check_refused(&bed, id, RESULT_NO_CAPACITY);
	id = bed_ask(&bed, "/north/7", BOARD_KEY);
	g_assert_cmpuint(bed.started, ==, id);
	g_assert_cmpstr(bed.started_at, ==, ENGINE);
	bed_end(&bed);
}

/* A server of a new zone counts as in the region once that is known. */
static void test_new_zone(void)
{
	struct regions regions = { 0 };
	struct bed bed;

	start(&bed);
	regions_set(&regions, "z1", "north");
	regions_set(&regions, "z9", "south");
	entry_set_regions(bed.entry, &regions);
	check_all_at(&bed, "/south/7", CHEAP);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/regions/route", test_route);
	g_test_add_func("/regions/region-lost", test_region_lost);
	g_test_add_func("/regions/region-full", test_region_full);
	g_test_add_func("/regions/retry", test_retry);
	g_test_add_func("/regions/both-bind", test_both_bind);
	g_test_add_func("/regions/new-zone", test_new_zone);
	return g_test_run();
}
