/*
 * What the fleet costs under three ways to size it: a fixed number of servers,
 * a plain threshold on utilisation, and fleet/target. The plan is the real
 * module; platform and demand are a model in steps of ten seconds:
 *
 * - Demand in slots follows a site's daily curve with noise and bursts. Tiers
 *   0 and 1 need steady servers, tiers 2 and 3 may run on cheap ones.
 * - A server starts within START_S and is paid for from its order on; a stop
 *   drains for DRAIN_S, paid for.
 * - Cheap servers can't be had for part of the time, and a zone of them is
 *   reclaimed three times a day. One zone a day is lost for half an hour.
 * - Work that finds a free slot in its step attains its target, by strict
 *   tiers; of all slots USABLE can be filled, since requests don't come
 *   evenly. So the figures compare policies, they don't foretell a site.
 *
 * Usage: fleet-bench [SEED]. Prints a Markdown table.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "bench/fleet_world.h"
#include "fleet/target.h"

#define START_S 90
#define DRAIN_S 60
#define SLOTS 16
#define USABLE 0.9
#define STEADY_PRICE 3.0
#define CHEAP_PRICE 1.0
#define SERVERS 400
#define STEP_US (STEP_S * INT64_C(1000000))

static const char *const zone_names[ZONES] = { "z1", "z2", "z3", "z4" };
static const double tier_parts[RULE_TIERS] = { 0.3, 0.2, 0.3, 0.2 };

struct server {
	bool used;
	bool cheap;
	int zone;
	int ready_step;	  /* serves from here on */
	int stopped_step; /* gone from here on, 0: not stopped */
	char address[32];
};

struct run {
	const struct site *site;
	const struct world *world;
	struct server servers[SERVERS];
	int step;
	int started;
	int orders;
	double cost;
	double attained[RULE_TIERS];
	double offered[RULE_TIERS];
	double on_cheap;
	int wanted; /* of the fixed policy */
	struct target *target;
	struct fleet fleet;
	struct order_book *book;
};

static bool server_is_up(const struct server *server)
{
	return server->used && !server->stopped_step;
}

static void server_end(struct run *run, struct server *server)
{
	struct backend *backend = fleet_find(&run->fleet, server->address);

	if (backend) {
		backend->lease_end_us = 0;
		fleet_expire(&run->fleet, run->step * STEP_US, NULL, NULL);
	}
	order_book_settle(run->book, server->address, "done", "");
	memset(server, 0, sizeof(*server));
}

/* The order's id doubles as the server's address. */
static void server_order(struct run *run, const struct server *server)
{
	json_t *order = json_pack("{s:s s:s s:s s:s s:s}", "order_id",
				  server->address, "verb", "start", "model",
				  "m", "zone", zone_names[server->zone], "kind",
				  server->cheap ? "cheap" : "steady");

	order_book_place(run->book, order, 0, run->started);
	order_book_settle(run->book, server->address, "accepted",
			  server->address);
	json_decref(order);
}

/* False if the platform can't start that kind there now. */
static bool platform_start(struct run *run, int zone, bool cheap)
{
	const struct world *world = run->world;
	int i;

	run->orders++;
	if (world->lost[run->step][zone] ||
	    (cheap && !world->cheap_open[run->step][zone]))
		return false;
	for (i = 0; i < SERVERS; i++) {
		struct server *server = &run->servers[i];

		if (server->used)
			continue;
		server->used = true;
		server->cheap = cheap;
		server->zone = zone;
		server->ready_step = run->step + START_S / STEP_S;
		snprintf(server->address, sizeof(server->address), "s:%d",
			 ++run->started);
		server_order(run, server);
		return true;
	}
	return false;
}

static void platform_stop(struct run *run, struct server *server)
{
	run->orders++;
	server->stopped_step = run->step + DRAIN_S / STEP_S;
	fleet_drain(&run->fleet, server->address, true);
	order_book_settle(run->book, server->address, "done", "");
}

static void announce(struct run *run, const struct server *server)
{
	struct event_announce announce = {
		.address = (char *)server->address,
		.boot_id = "b",
		.sequence = run->step,
		.zone = (char *)zone_names[server->zone],
		.model = "m",
		.role = "serve",
		.cheap = server->cheap,
		.lease_ms = 60000,
		.slots = SLOTS,
	};

	fleet_announce(&run->fleet, &announce, run->step * STEP_US);
	order_book_settle(run->book, server->address, "done", server->address);
}

static void run_faults(struct run *run)
{
	const struct world *world = run->world;
	int i;

	for (i = 0; i < SERVERS; i++) {
		struct server *server = &run->servers[i];

		if (!server->used)
			continue;
		if (world->lost[run->step][server->zone] ||
		    (server->cheap &&
		     world->reclaimed[run->step][server->zone]) ||
		    (server->stopped_step && run->step >= server->stopped_step))
			server_end(run, server);
	}
}

static double take(double *room, double wanted)
{
	double taken = wanted < *room ? wanted : *room;

	*room -= taken;
	return taken;
}

/* Serve one step, tiers in order; cheap servers first for what may. */
static void run_serve(struct run *run)
{
	double steady = 0;
	double cheap = 0;
	int tier;
	int i;

	for (i = 0; i < SERVERS; i++) {
		struct server *server = &run->servers[i];

		if (!server->used)
			continue;
		run->cost += (server->cheap ? CHEAP_PRICE : STEADY_PRICE) *
			     STEP_S / 3600;
		if (server->ready_step > run->step || server->stopped_step)
			continue;
		*(server->cheap ? &cheap : &steady) += SLOTS * USABLE;
		announce(run, server);
	}
	for (tier = 0; tier < RULE_TIERS; tier++) {
		double wanted =
			run->world->demand[run->step] * tier_parts[tier];
		double taken = tier < 2 ? 0 : take(&cheap, wanted);

		run->on_cheap += taken;
		taken += take(&steady, wanted - taken);
		run->attained[tier] += taken;
		run->offered[tier] += wanted;
	}
}

static int count_up(const struct run *run)
{
	int n = 0;
	int i;

	for (i = 0; i < SERVERS; i++)
		n += server_is_up(&run->servers[i]);
	return n;
}

/* The zone with fewest servers that isn't lost. */
static int emptiest_zone(const struct run *run)
{
	int counts[ZONES] = { 0 };
	int best = -1;
	int i;

	for (i = 0; i < SERVERS; i++)
		if (server_is_up(&run->servers[i]))
			counts[run->servers[i].zone]++;
	for (i = 0; i < run->site->zones; i++)
		if (!run->world->lost[run->step][i] &&
		    (best < 0 || counts[i] < counts[best]))
			best = i;
	return best;
}

static void plan_fixed(struct run *run)
{
	int n = count_up(run);

	for (; n < run->wanted; n++)
		platform_start(run, emptiest_zone(run), false);
}

/* Each minute: more above 80% to come to 70%, one less below 50%. */
static void plan_threshold(struct run *run)
{
	double demand = run->world->demand[run->step];
	int n = count_up(run);
	int i;

	if (run->step % (60 / STEP_S))
		return;
	if (demand < 0.5 * n * SLOTS && n > 1) {
		for (i = 0; i < SERVERS; i++)
			if (server_is_up(&run->servers[i]))
				break;
		platform_stop(run, &run->servers[i]);
	}
	for (; demand > 0.8 * n * SLOTS; n++)
		platform_start(run, emptiest_zone(run), false);
}

static int zone_index(const char *name)
{
	int zone = 0;

	while (zone < ZONES - 1 && strcmp(zone_names[zone], name) != 0)
		zone++;
	return zone;
}

static void target_carry_out(void *data, const struct target_step *step)
{
	struct run *run = data;
	int zone = zone_index(step->zone);
	int i;

	if (step->start) {
		if (!platform_start(run, zone, step->cheap))
			target_unavailable(run->target, step->zone, step->cheap,
					   run->step * STEP_US);
		return;
	}
	for (i = 0; i < SERVERS; i++)
		if (server_is_up(&run->servers[i]) &&
		    !strcmp(run->servers[i].address, step->address))
			platform_stop(run, &run->servers[i]);
}

static void plan_target(struct run *run)
{
	double demand = run->world->demand[run->step];
	double by_tier[RULE_TIERS];
	int zone;
	int tier;

	for (tier = 0; tier < RULE_TIERS; tier++)
		by_tier[tier] = demand * tier_parts[tier];
	for (zone = 0; zone < run->site->zones; zone++)
		if (run->world->reclaimed[run->step][zone])
			target_reclaimed(run->target, zone_names[zone],
					 run->step * STEP_US);
	target_note_demand(run->target, "m", by_tier, by_tier[2] + by_tier[3],
			   run->step * STEP_US);
	target_plan(run->target, &run->fleet, run->book, run->step * STEP_US,
		    target_carry_out, run);
}

static void run_start(struct run *run, const struct site *site,
		      const struct world *world, int wanted)
{
	struct target_pool pool = { .name = "m",
				    .min = 1,
				    .max = SERVERS,
				    .cheap_share = 1,
				    .slots = SLOTS };
	int zone;

	memset(run, 0, sizeof(*run));
	run->site = site;
	run->world = world;
	run->wanted = wanted;
	run->target = target_new();
	run->book = order_book_new();
	fleet_init(&run->fleet);
	target_set_pool(run->target, &pool);
	for (zone = 0; zone < site->zones; zone++) {
		target_set_offer(run->target, zone_names[zone], false,
				 STEADY_PRICE, true);
		target_set_offer(run->target, zone_names[zone], true,
				 CHEAP_PRICE, true);
	}
}

static double part(double of, double all)
{
	return all > 0 ? of / all : 0;
}

static double run_attainment(const struct run *run)
{
	double attained = 0;
	double offered = 0;
	int tier;

	for (tier = 0; tier < RULE_TIERS; tier++) {
		attained += run->attained[tier];
		offered += run->offered[tier];
	}
	return part(attained, offered);
}

static double run_cost_of_attained(const struct run *run)
{
	double attained = 0;
	int tier;

	for (tier = 0; tier < RULE_TIERS; tier++)
		attained += run->attained[tier];
	return part(run->cost, attained * STEP_S / 3600);
}

static void run_days(struct run *run, void (*plan)(struct run *run))
{
	for (run->step = 0; run->step < STEPS; run->step++) {
		run_faults(run);
		plan(run);
		run_serve(run);
	}
	target_free(run->target);
	order_book_free(run->book);
	fleet_clear(&run->fleet);
}

static void print_row(const char *name, const struct run *run, double base)
{
	double all = 0;
	int tier;

	for (tier = 0; tier < RULE_TIERS; tier++)
		all += run->attained[tier];
	printf("| %s | %s | %.4f | %.4f | %.4f | %.0f | %.3f | %+.1f%% | %.0f "
	       "| %.2f |\n",
	       run->site->name, name, part(run->attained[0], run->offered[0]),
	       part(run->attained[3], run->offered[3]), run_attainment(run),
	       run->cost / DAYS, run_cost_of_attained(run),
	       100 * (part(run_cost_of_attained(run), base) - 1),
	       (double)run->orders / DAYS, part(run->on_cheap, all));
}

/* The smallest fixed fleet that attains as much as `attainment`. */
static void run_fixed(struct run *run, const struct site *site,
		      const struct world *world, double attainment)
{
	int wanted;

	for (wanted = site->zones; wanted < SERVERS; wanted++) {
		run_start(run, site, world, wanted);
		run_days(run, plan_fixed);
		if (run_attainment(run) >= attainment)
			return;
	}
}

static void bench_site(const struct site *site, uint64_t seed)
{
	struct world *world = xcalloc(1, sizeof(*world));
	struct run *runs = xcalloc(3, sizeof(*runs));
	double base;

	world_fill(world, site, seed);
	run_start(&runs[0], site, world, 0);
	run_days(&runs[0], plan_target);
	run_start(&runs[1], site, world, 0);
	run_days(&runs[1], plan_threshold);
	run_fixed(&runs[2], site, world, run_attainment(&runs[0]));
	base = run_cost_of_attained(&runs[2]);
	print_row("fixed", &runs[2], base);
	print_row("threshold", &runs[1], base);
	print_row("target", &runs[0], base);
	free(runs);
	free(world);
}

int main(int argc, char **argv)
{
	static const struct site sites[] = {
		{ "Co-operative", 4, 130, world_curve_cooperative },
		{ "Archive", 3, 130, world_curve_archive },
	};
	uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
	size_t i;

	printf("| site | policy | tier 0 attained | tier 3 attained | attained "
	       "| spend a day | spend a slot-hour attained | against fixed | "
	       "orders a day | on cheap |\n|---|---|---|---|---|---|---|---|"
	       "---|---|\n");
	for (i = 0; i < sizeof(sites) / sizeof(sites[0]); i++)
		bench_site(&sites[i], seed);
	return 0;
}
