#include <glib.h>

#include "bed.h"

/* Both zones have servers; requests go to either. */
static void start(struct bed *bed)
{
	struct registration other = { .zone = "z2", .sequence = 1, .slots = 8 };

	bed_start(bed);
	bed_deliver_registration(bed, STEADY, other);
}

/* Where all of some requests went; NULL if to several servers or nowhere. */
static const char *all_at(struct bed *bed)
{
	char first[sizeof(bed->started_at)] = "";
	int i;

	for (i = 0; i < 16; i++) {
		uint64_t id = bed_ask(bed, "/lodge/7", "k1");

		if (bed->started != id)
			return NULL;
		if (!i)
			g_strlcpy(first, bed->started_at, sizeof(first));
		else if (strcmp(first, bed->started_at) != 0)
			return NULL;
		bed_end_attempt(bed, id, RESULT_OK, 200, true);
	}
	return bed->started_at;
}

/*
 * Requests go on to a zone whose power is about to be cut. Servers of a zone
 * that returns are cold, and what they say of it comes later.
 */
static void test_unused(void)
{
	struct bed bed;

	start(&bed);
	g_assert_cmpstr(all_at(&bed), !=, STEADY);
	bed_deliver_evacuation(&bed, "z1", true, 1);
	g_assert_cmpstr(all_at(&bed), ==, STEADY);
	bed_deliver_evacuation(&bed, "z1", false, 2);
	g_assert_cmpstr(all_at(&bed), ==, STEADY);
	bed_advance(&bed, COLD_MS * 1000);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpstr(all_at(&bed), !=, STEADY);
	bed_end(&bed);
}

/*
 * A server that serves becomes cold and crashes under its usual requests: it
 * says so in an announcement like any other.
 */
static void test_cold(void)
{
	struct registration told = {
		.zone = "z1", .sequence = 2, .slots = 8, .cold_ms = COLD_MS
	};
	struct bed bed;

	bed_start(&bed);
	bed_deliver_registration(&bed, STEADY, told);
	g_assert_cmpstr(all_at(&bed), ==, ENGINE);
	bed_deliver_document(&bed, 2, "k1");
	g_assert_cmpstr(all_at(&bed), ==, ENGINE);
	bed_advance(&bed, COLD_MS * 1000);
	bed_deliver_state(&bed, bed.polled_us, 0, 2);
	g_assert_cmpstr(all_at(&bed), !=, ENGINE);
	bed_end(&bed);
}

/* A control VM that lags brings back what was withdrawn. */
static void test_older_revision(void)
{
	struct bed bed;

	start(&bed);
	bed_deliver_evacuation(&bed, "z1", true, 3);
	bed_deliver_evacuation(&bed, "z1", false, 2);
	g_assert_cmpstr(all_at(&bed), ==, STEADY);
	bed_end(&bed);
}

/* A server that starts in an evacuated zone gets requests. */
static void test_new_server(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_evacuation(&bed, "z2", true, 1);
	bed_deliver_registration(&bed, STEADY,
				 (struct registration){ .zone = "z2",
							.sequence = 1,
							.slots = 8 });
	g_assert_cmpstr(all_at(&bed), ==, ENGINE);
	bed_end(&bed);
}

/* All zones are evacuated: requests are refused as not run. */
static void test_last_zone(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	bed_deliver_evacuation(&bed, "z1", true, 1);
	id = bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, !=, id);
	bed_advance(&bed, 5 * SECOND);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.run, ==, RUN_NOT);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-evacuation/unused", test_unused);
	g_test_add_func("/entry-evacuation/older-revision",
			test_older_revision);
	g_test_add_func("/entry-evacuation/new-server", test_new_server);
	g_test_add_func("/entry-evacuation/last-zone", test_last_zone);
	g_test_add_func("/entry-evacuation/cold", test_cold);
	return g_test_run();
}
