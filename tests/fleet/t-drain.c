#include <glib.h>
#include <string.h>

#include "fleet/drain.h"
#include "servers.h"

struct seen {
	struct fleet fleet;
	int drains;
	int stops;
	char stopped[64];
};

static void set_drained(void *data, const char *address, bool drained)
{
	struct seen *seen = data;

	fleet_drain(&seen->fleet, address, drained);
	seen->drains += drained ? 1 : -1;
}

static void stop(void *data, const char *address)
{
	struct seen *seen = data;

	seen->stops++;
	g_strlcpy(seen->stopped, address, sizeof(seen->stopped));
}

static struct drains *start(struct seen *seen)
{
	struct drain_hooks hooks = { set_drained, stop, seen };

	memset(seen, 0, sizeof(*seen));
	fleet_init(&seen->fleet);
	return drains_new(&hooks);
}

/*
 * An operator stops a server under load. A stream runs for a minute, and one
 * VM that was briefly disconnected still sends requests to the server. The stop
 * may be ordered only after a report, made when all VMs had stopped sending,
 * shows that the server has no requests.
 */
static void stop_under_load_cuts_nothing(void)
{
	struct drain_policy policy = { 30 * SECOND_US, false };
	struct seen seen;
	struct drains *drains = start(&seen);
	int64_t second;
	json_t *list;

	servers_announce(&seen.fleet, "a:1", "z1", false, 3, 1);
	servers_announce(&seen.fleet, "b:1", "z2", false, 3, 1);
	g_assert_true(drains_begin(drains, &seen.fleet, "a:1", 1));
	for (second = 1; second <= 70; second++) {
		int64_t running = second >= 4 && second < 60;

		servers_announce(&seen.fleet, "a:1", "z1", false, running,
				 second * SECOND_US);
		drains_tick(drains, &seen.fleet, &policy, second * SECOND_US);
		g_assert_cmpint(seen.stops, ==, second >= 60);
		if (second != 50)
			continue;
		list = drains_describe(drains, second * SECOND_US);
		g_assert_true(json_is_true(
			json_object_get(json_array_get(list, 0), "overdue")));
		json_decref(list);
	}
	g_assert_cmpstr(seen.stopped, ==, "a:1");
	g_assert_cmpint(seen.drains, ==, 1);
	drains_free(drains);
	fleet_clear(&seen.fleet);
}

/*
 * Two servers serve a class, and stopping one would leave nine requests for the
 * one free slot of the other. The drain is held, reports that it is, and
 * continues without a command once a third server has registered.
 */
static void stop_that_leaves_no_capacity_is_held(void)
{
	struct drain_policy policy = { 30 * SECOND_US, false };
	struct seen seen;
	struct drains *drains = start(&seen);
	enum drain_state state;
	json_t *list;

	servers_announce(&seen.fleet, "a:1", "z1", false, 9, 1);
	servers_announce(&seen.fleet, "b:1", "z2", false, 9, 1);
	drains_begin(drains, &seen.fleet, "a:1", 1);
	drains_tick(drains, &seen.fleet, &policy, SECOND_US);
	g_assert_true(drains_state(drains, "a:1", &state));
	g_assert_cmpint(state, ==, DRAIN_HELD);
	g_assert_cmpint(seen.drains, ==, 0);
	list = drains_describe(drains, SECOND_US);
	g_assert_cmpstr(json_string_value(
				json_object_get(json_array_get(list, 0),
						"reason")),
			==, "the others of m have 10 slots for 18");
	json_decref(list);
	servers_announce(&seen.fleet, "c:1", "z3", false, 0, SECOND_US);
	drains_tick(drains, &seen.fleet, &policy, 2 * SECOND_US);
	g_assert_true(drains_state(drains, "a:1", &state));
	g_assert_cmpint(state, ==, DRAIN_DRAINING);
	drains_begin(drains, &seen.fleet, "b:1", 2 * SECOND_US);
	drains_tick(drains, &seen.fleet, &policy, 3 * SECOND_US);
	g_assert_true(drains_state(drains, "b:1", &state));
	g_assert_cmpint(state, ==, DRAIN_HELD);
	g_assert_true(drains_cancel(drains, "a:1"));
	g_assert_cmpint(seen.drains, ==, 0);
	drains_free(drains);
	fleet_clear(&seen.fleet);
}

static void deadline_cuts_only_where_the_setting_says_so(void)
{
	struct drain_policy policy = { 30 * SECOND_US, true };
	struct seen seen;
	struct drains *drains = start(&seen);
	int64_t second;

	servers_announce(&seen.fleet, "a:1", "z1", false, 1, 1);
	servers_announce(&seen.fleet, "b:1", "z2", false, 1, 1);
	drains_begin(drains, &seen.fleet, "a:1", 1);
	for (second = 1; second <= 40; second++) {
		servers_announce(&seen.fleet, "a:1", "z1", false, 1,
				 second * SECOND_US);
		drains_tick(drains, &seen.fleet, &policy, second * SECOND_US);
		g_assert_cmpint(seen.stops, ==, second >= 31);
	}
	drains_tick(drains, &seen.fleet, &policy, 61 * SECOND_US);
	g_assert_cmpint(seen.stops, ==, 2); /* the server still exists */
	drains_free(drains);
	fleet_clear(&seen.fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/drain/load", stop_under_load_cuts_nothing);
	g_test_add_func("/drain/held", stop_that_leaves_no_capacity_is_held);
	g_test_add_func("/drain/deadline",
			deadline_cuts_only_where_the_setting_says_so);
	return g_test_run();
}
