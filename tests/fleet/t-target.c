#include <glib.h>
#include <math.h>
#include <string.h>

#include "fleet/target.h"
#include "servers.h"

#define ZONES 3

/* A platform that starts and stops servers immediately. */
struct site {
	struct target *target;
	struct fleet fleet;
	struct order_book *book;
	int64_t now_us;
	int next;
	int starts;
	int stops;
	int refused_cheap; /* zones without available cheap servers */
};

static const char *const zones[ZONES] = { "z1", "z2", "z3" };

static void stop_server(struct site *site, const char *address)
{
	struct backend *backend = fleet_find(&site->fleet, address);

	backend->lease_end_us = 0;
	fleet_expire(&site->fleet, site->now_us, NULL, NULL);
}

static void carry_out(void *data, const struct target_step *step)
{
	struct site *site = data;
	char address[32];

	if (!step->start) {
		site->stops++;
		stop_server(site, step->address);
		return;
	}
	site->starts++;
	if (step->cheap && step->zone[1] - '0' <= site->refused_cheap) {
		target_unavailable(site->target, step->zone, true,
				   site->now_us);
		return;
	}
	g_snprintf(address, sizeof(address), "s:%d", ++site->next);
	servers_announce(&site->fleet, address, step->zone, step->cheap, 0,
			 site->now_us);
}

static void site_start(struct site *site, double cheap_share)
{
	struct target_pool pool = { .name = "m",
				    .team = "looks",
				    .min = 1,
				    .max = 100,
				    .cheap_share = cheap_share,
				    .slots = 10 };
	int i;

	memset(site, 0, sizeof(*site));
	site->target = target_new();
	site->book = order_book_new();
	site->now_us = 1;
	fleet_init(&site->fleet);
	target_set_pool(site->target, &pool);
	for (i = 0; i < ZONES; i++) {
		target_set_offer(site->target, zones[i], false, 3, true);
		target_set_offer(site->target, zones[i], true, 1, true);
	}
}

static void site_stop(struct site *site)
{
	target_free(site->target);
	order_book_free(site->book);
	fleet_clear(&site->fleet);
}

/* Runs this number of seconds with constant demand. */
static void run(struct site *site, int seconds, double tier0, double tier3,
		double reclaimable)
{
	double by_tier[RULE_TIERS] = { tier0, 0, 0, tier3 };

	for (; seconds > 0; seconds -= 10) {
		site->now_us += 10 * SECOND_US;
		target_note_demand(site->target, "m", by_tier, reclaimable,
				   site->now_us);
		target_plan(site->target, &site->fleet, site->book,
			    site->now_us, carry_out, site);
	}
}

static int count(const struct site *site, const char *zone, bool cheap)
{
	struct backend *backend;
	struct backend *next;
	int n = 0;

	map_foreach(backend, next, &site->fleet.backends, node)
		n += backend->cheap == cheap &&
		     (!zone || !strcmp(backend->zone, zone));
	return n;
}

/*
 * A zone fails at peak load. Tier 0 must fit into the remaining zones for any
 * failed zone: 21 slots of tier 0 need 3 servers, so any two zones must have 3.
 */
static void tier_0_fits_without_any_zone(void)
{
	struct site site;
	int i;

	site_start(&site, 1);
	run(&site, 100, 21, 60, 60);
	for (i = 0; i < ZONES; i++)
		g_assert_cmpint(count(&site, NULL, false) -
					count(&site, zones[i], false),
				>=, 3);
	g_assert_cmpint(count(&site, NULL, true), >=, 6);
	site_stop(&site);
}

/*
 * A site starts: there is no demand yet, and the pool's minimum number of
 * servers is ordered. With cheap servers only, the first request that may not
 * be reclaimed would be refused for as long as a server takes to start.
 */
static void an_idle_pool_has_steady_servers(void)
{
	struct site site;

	site_start(&site, 1);
	run(&site, 200, 0, 0, 0);
	g_assert_cmpint(count(&site, NULL, false), ==, 1);
	g_assert_cmpint(count(&site, NULL, true), ==, 0);
	site_stop(&site);
}

/*
 * Demand changes by a third each minute. Without hysteresis, servers would be
 * stopped and started with it, and each start is billed.
 */
static void wavering_demand_makes_no_flapping(void)
{
	struct site site;
	int before;
	int i;

	site_start(&site, 0);
	run(&site, 200, 40, 40, 0);
	run(&site, 60, 30, 30, 0);
	run(&site, 60, 40, 40, 0);
	before = site.starts + site.stops;
	for (i = 0; i < 60; i++)
		run(&site, 60, i % 2 ? 40 : 30, i % 2 ? 40 : 30, 0);
	g_assert_cmpint(site.starts + site.stops - before, <=, 4);
	run(&site, 3600, 5, 5, 0);
	g_assert_cmpint(count(&site, NULL, false), <=, 4);
	site_stop(&site);
}

/*
 * Cheap servers are unavailable in one zone, then in all. They are replaced by
 * servers in other zones, then by steady servers. Refused offers are retried at
 * a low rate.
 */
static void unavailable_cheap_servers_are_replaced(void)
{
	struct site site;

	site_start(&site, 1);
	site.refused_cheap = 1;
	run(&site, 100, 0, 70, 70);
	g_assert_cmpint(count(&site, NULL, true), >=, 11);
	g_assert_cmpint(count(&site, "z1", true), ==, 0);
	site_stop(&site);
	site_start(&site, 1);
	site.refused_cheap = 3;
	run(&site, 3600, 0, 70, 70);
	g_assert_cmpint(count(&site, NULL, true), ==, 0);
	g_assert_cmpint(count(&site, NULL, false), >=, 11);
	g_assert_cmpint(site.starts - count(&site, NULL, false), <, 60);
	site_stop(&site);
}

/* After a reclaim of a zone, the capacity is ordered elsewhere immediately. */
static void reclaimed_zone_is_replaced_elsewhere(void)
{
	struct site site;
	struct backend *backend;
	struct backend *next;
	int total;

	site_start(&site, 1);
	run(&site, 100, 0, 70, 70);
	total = count(&site, NULL, true);
	map_foreach(backend, next, &site.fleet.backends, node)
		if (backend->cheap && !strcmp(backend->zone, "z2"))
			backend->drained = true;
	target_reclaimed(site.target, "z2", site.now_us);
	run(&site, 10, 0, 70, 70);
	g_assert_cmpint(count(&site, "z1", true) + count(&site, "z3", true), >=,
			total);
	site_stop(&site);
}

static void budget_cuts_cheap_first_and_never_the_floor(void)
{
	struct site site;

	site_start(&site, 1);
	target_set_budget(site.target, "looks", 20);
	run(&site, 100, 21, 200, 200);
	g_assert_cmpint(count(&site, NULL, false) * 3 +
				count(&site, NULL, true),
			<=, 20);
	g_assert_cmpint(count(&site, NULL, false), >=, 6);
	g_assert_false(target_over_budget(site.target, "looks"));
	target_set_budget(site.target, "looks", 10);
	run(&site, 100, 21, 200, 200);
	g_assert_cmpint(count(&site, NULL, false), >=, 6);
	g_assert_true(target_over_budget(site.target, "looks"));
	site_stop(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/target/zone", tier_0_fits_without_any_zone);
	g_test_add_func("/target/idle", an_idle_pool_has_steady_servers);
	g_test_add_func("/target/waver", wavering_demand_makes_no_flapping);
	g_test_add_func("/target/unavailable",
			unavailable_cheap_servers_are_replaced);
	g_test_add_func("/target/reclaimed",
			reclaimed_zone_is_replaced_elsewhere);
	g_test_add_func("/target/budget",
			budget_cuts_cheap_first_and_never_the_floor);
	return g_test_run();
}
