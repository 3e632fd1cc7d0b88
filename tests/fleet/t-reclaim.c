#include <glib.h>
#include <string.h>

#include "fleet/reclaim.h"
#include "servers.h"

struct seen {
	struct fleet fleet;
	GString *drained;
	GString *moved;
};

static void set_drained(void *data, const char *address, bool drained)
{
	struct seen *seen = data;

	fleet_drain(&seen->fleet, address, drained);
	g_string_append_printf(seen->drained, "%s ", address);
}

static void move(void *data, const char *address)
{
	struct seen *seen = data;

	g_string_append_printf(seen->moved, "%s ", address);
}

/*
 * The cheap servers of a zone are to be reclaimed in 5 s while streams run on
 * them. From the notice on they get no new requests, nor does a server that
 * registers during the notice. Running requests are moved server by server, the
 * least loaded first, and all before the 5 s end. Steady servers stay.
 */
static void zone_is_given_up_in_order_and_in_time(void)
{
	struct seen seen = { .drained = g_string_new(""),
			     .moved = g_string_new("") };
	struct reclaim_hooks hooks = { set_drained, move, &seen };
	struct reclaims *reclaims = reclaims_new(&hooks);
	struct reclaim_counts counts;
	int64_t at;

	fleet_init(&seen.fleet);
	servers_announce(&seen.fleet, "full:1", "z1", true, 8, 1);
	servers_announce(&seen.fleet, "half:1", "z1", true, 4, 1);
	servers_announce(&seen.fleet, "steady:1", "z1", false, 8, 1);
	servers_announce(&seen.fleet, "other:1", "z2", true, 8, 1);
	reclaims_notice(reclaims, &seen.fleet, "z1", 5 * SECOND_US, 0);
	g_assert_cmpstr(seen.drained->str, ==, "full:1 half:1 ");
	g_assert_true(reclaims_zone_active(reclaims, "z1", SECOND_US));
	servers_announce(&seen.fleet, "late:1", "z1", true, 0, SECOND_US);
	for (at = 0; at <= 50; at++) {
		int64_t now_us = at * SECOND_US / 10;

		reclaims_tick(reclaims, &seen.fleet, now_us);
		if (now_us < 3 * SECOND_US)
			g_assert_cmpstr(seen.moved->str, ==, "");
		if (now_us == 4 * SECOND_US)
			g_assert_cmpstr(seen.moved->str, ==, "late:1 half:1 ");
	}
	g_assert_cmpstr(seen.drained->str, ==, "full:1 half:1 late:1 ");
	g_assert_cmpstr(seen.moved->str, ==, "late:1 half:1 full:1 ");
	g_assert_false(reclaims_zone_active(reclaims, "z1", 5 * SECOND_US));
	counts = reclaims_counts(reclaims);
	g_assert_cmpint(counts.servers, ==, 3);
	g_assert_cmpint(counts.running, ==, 12);
	g_assert_cmpint(counts.moved, ==, 12);
	reclaims_free(reclaims);
	fleet_clear(&seen.fleet);
	g_string_free(seen.drained, TRUE);
	g_string_free(seen.moved, TRUE);
}

/* The notice arrives twice, the second time with less time left. */
static void second_notice_may_only_shorten_the_time(void)
{
	struct seen seen = { .drained = g_string_new(""),
			     .moved = g_string_new("") };
	struct reclaim_hooks hooks = { set_drained, move, &seen };
	struct reclaims *reclaims = reclaims_new(&hooks);

	fleet_init(&seen.fleet);
	servers_announce(&seen.fleet, "full:1", "z1", true, 8, 1);
	reclaims_notice(reclaims, &seen.fleet, "z1", 5 * SECOND_US, 0);
	reclaims_notice(reclaims, &seen.fleet, "z1", 9 * SECOND_US, 1);
	reclaims_notice(reclaims, &seen.fleet, "z1", SECOND_US, 2);
	g_assert_cmpstr(seen.drained->str, ==, "full:1 ");
	reclaims_tick(reclaims, &seen.fleet, 3);
	g_assert_cmpstr(seen.moved->str, ==, "full:1 ");
	g_assert_cmpint(reclaims_counts(reclaims).notices, ==, 1);
	reclaims_free(reclaims);
	fleet_clear(&seen.fleet);
	g_string_free(seen.drained, TRUE);
	g_string_free(seen.moved, TRUE);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reclaim/zone", zone_is_given_up_in_order_and_in_time);
	g_test_add_func("/reclaim/twice",
			second_notice_may_only_shorten_the_time);
	return g_test_run();
}
