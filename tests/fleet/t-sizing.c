#include <glib.h>

#include "fleet/sizing.h"

#define ZONES 4

static struct sizing pool(int64_t steady, int64_t cheap)
{
	struct sizing sizing = { .min_servers = 1,
				 .max_servers = 6,
				 .has_cheap = true,
				 .n_zones = ZONES };
	int i;

	for (i = 0; i < ZONES; i++) {
		sizing.zones[i].steady = steady;
		sizing.zones[i].cheap = cheap;
	}
	return sizing;
}

/* The initial servers continue to serve until the cheap ones do. */
static void test_start(void)
{
	struct sizing sizing = pool(3, 0);

	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 3);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 3);
}

static void test_cheap_serve(void)
{
	struct sizing sizing = pool(3, 3);

	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 0);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 3);
	sizing = pool(0, 3);
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 6);
}

/*
 * Three of four zones are reclaimed and offer no cheap servers. The remaining
 * capacity is too small, so steady servers are ordered in each zone with room.
 */
static void test_reclaimed(void)
{
	struct sizing sizing = pool(0, 0);

	sizing.zones[0].cheap = 6;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 0);
	g_assert_cmpint(sizing.zones[1].want_steady, ==, 1);
	g_assert_cmpint(sizing.zones[1].want_cheap, ==, 5);
}

/*
 * Two of four zones are reclaimed and offer no cheap servers, and a burst of
 * requests arrives. The remaining servers handle the mean load, but callers of
 * the burst waited for 10 s, since steady servers were ordered only after
 * requests had been late.
 */
static void test_dry(void)
{
	struct sizing sizing = pool(0, 4);
	int i;

	for (i = 0; i < 2; i++) {
		sizing.zones[i].cheap = 0;
		sizing.zones[i].cheap_unavailable = true;
	}
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 2);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 4);
	g_assert_cmpint(sizing.zones[2].want_steady, ==, 0);
	/* The steady servers stay as long as they are needed. */
	sizing.zones[0].steady = 2;
	sizing.zones[1].steady = 2;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 2);
	/* Cheap servers are available again. */
	sizing.zones[0].cheap_unavailable = false;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 0);
}

static void test_no_cheap(void)
{
	struct sizing sizing = pool(2, 0);

	sizing.has_cheap = false;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 2);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 0);
	sizing = pool(0, 0);
	sizing.has_cheap = false;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 1);
}

/* Both kinds together never exceed the limit of a place. */
static void test_bounds(void)
{
	int64_t steady;
	int64_t cheap;

	for (steady = 0; steady <= 6; steady++) {
		for (cheap = 0; cheap + steady <= 6; cheap++) {
			struct sizing sizing = pool(steady, cheap);

			sizing_plan(&sizing);
			g_assert_cmpint(sizing.zones[0].want_steady +
						sizing.zones[0].want_cheap,
					<=, 6);
		}
	}
}

/*
 * A zone is evacuated while another one offers no cheap servers: the servers
 * that get no requests hide that too few are left.
 */
static void test_evacuated(void)
{
	struct sizing sizing = pool(0, 6);

	sizing.zones[0].evacuated = true;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 1);
	g_assert_cmpint(sizing.zones[1].want_cheap, ==, 6);
	sizing.zones[1].cheap = 0;
	sizing.zones[1].cheap_unavailable = true;
	sizing.zones[2].cheap = 3;
	sizing.zones[3].cheap = 3;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 6);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 0);
	g_assert_cmpint(sizing.zones[1].want_steady, ==, 6);
	sizing.zones[1].steady = 6;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 1);
}

/* All zones are evacuated: nothing is divided by the zones that are left. */
static void test_all_evacuated(void)
{
	struct sizing sizing = pool(0, 2);
	int i;

	for (i = 0; i < ZONES; i++)
		sizing.zones[i].evacuated = true;
	sizing_plan(&sizing);
	g_assert_cmpint(sizing.zones[0].want_cheap, ==, 2);
	g_assert_cmpint(sizing.zones[0].want_steady, ==, 0);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/sizing/start", test_start);
	g_test_add_func("/sizing/cheap-serve", test_cheap_serve);
	g_test_add_func("/sizing/reclaimed", test_reclaimed);
	g_test_add_func("/sizing/dry", test_dry);
	g_test_add_func("/sizing/no-cheap", test_no_cheap);
	g_test_add_func("/sizing/bounds", test_bounds);
	g_test_add_func("/sizing/evacuated", test_evacuated);
	g_test_add_func("/sizing/all-evacuated", test_all_evacuated);
	return g_test_run();
}
