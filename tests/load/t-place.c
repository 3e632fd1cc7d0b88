#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/rng.h"
#include "load/divide.h"
#include "load/place.h"

#define ENGINES 12
#define VMS 7
#define PARTS 267

struct pool {
	struct fleet fleet;
	struct backend *members[ENGINES * 2];
	int n;
};

static void pool_add(struct pool *pool, int n)
{
	char address[32];
	char boot_id[32];
	struct event_announce announce = {
		.address = address,
		.boot_id = boot_id,
		.zone = (char *)"z1",
		.service = (char *)"scribe",
		.lease_ms = 86400000,
		.slots = 128,
	};
	struct divide divide;

	while (pool->n < n) {
		g_snprintf(address, sizeof(address), "10.0.0.%d:80", pool->n);
		g_snprintf(boot_id, sizeof(boot_id), "b%d", pool->n);
		announce.sequence = 1;
		fleet_announce(&pool->fleet, &announce, 0);
		pool->members[pool->n++] = fleet_find(&pool->fleet, address);
	}
	divide_init(&divide);
	divide_mark(&divide, pool->members, pool->n, 0);
}

static void pool_start(struct pool *pool, int n)
{
	memset(pool, 0, sizeof(*pool));
	fleet_init(&pool->fleet);
	pool_add(pool, n);
}

static bool fits(const void *data, const struct backend *backend)
{
	return backend_usable(backend, 1);
}

static struct place_query long_prompt(uint64_t part)
{
	struct place_query query = {
		.prefix_hash = map_hash(&part, sizeof(part)),
		.shared_tokens = 13300,
		.prompt_tokens = 17000,
		.divided = true,
		.prefill_rate = 100000,
	};

	return query;
}

static struct place_query short_prompt(void)
{
	struct place_query query = {
		.prompt_tokens = 1400,
		.divided = true,
		.paced = true,
		.prefill_rate = 100000,
	};

	return query;
}

static struct backend *choose(const struct pool *pool,
			      const struct place_query *query)
{
	return place_choose(query, pool->members, pool->n, fits, NULL, 1);
}

/*
 * Seven VMs without shared state send requests with 267 long shared prefixes to
 * twelve engines. Returns how often an engine had to read 13,300 tokens that
 * another engine had already read.
 */
static int read_again(struct pool *vms)
{
	static bool read[ENGINES][PARTS];
	struct rng rng = { 1 };
	int again = 0;
	int i;
	int e;

	memset(read, 0, sizeof(read));
	for (i = 0; i < 4000; i++) {
		struct pool *pool = &vms[rng_below(&rng, VMS)];
		int part = (int)rng_below(&rng, PARTS);
		struct place_query query = long_prompt((uint64_t)part);
		struct backend *chosen = choose(pool, &query);
		bool known = false;

		for (e = 0; e < ENGINES; e++) {
			known |= read[e][part];
			if (pool->members[e] != chosen)
				continue;
			if (!read[e][part])
				again += known;
			read[e][part] = true;
			known = true;
		}
	}
	return again;
}

static void test_homes(void)
{
	struct pool vms[VMS];
	int i;

	for (i = 0; i < VMS; i++)
		pool_start(&vms[i], ENGINES);
	g_assert_cmpint(read_again(vms), ==, 0);
	for (i = 0; i < VMS; i++)
		fleet_clear(&vms[i].fleet);
}

/* When an engine leaves, only the prefixes that were placed on it move. */
static void test_moves(void)
{
	struct backend *before[PARTS];
	struct pool pool;
	int moved = 0;
	int homeless = 0;
	int part;

	pool_start(&pool, ENGINES);
	for (part = 0; part < PARTS; part++) {
		struct place_query query = long_prompt((uint64_t)part);

		before[part] = choose(&pool, &query);
	}
	fleet_drain(&pool.fleet, before[0]->address, true);
	for (part = 0; part < PARTS; part++) {
		struct place_query query = long_prompt((uint64_t)part);

		homeless += before[part] == before[0];
		moved += choose(&pool, &query) != before[part];
	}
	g_assert_cmpint(homeless, >, 0);
	g_assert_cmpint(moved, ==, homeless);
	fleet_clear(&pool.fleet);
}

/* Captions don't wait behind critiques: engines are reserved for them. */
static void test_short(void)
{
	struct place_query query = short_prompt();
	struct pool pool;
	int part;
	int i;

	pool_start(&pool, ENGINES);
	for (i = 0; i < 50; i++) {
		struct backend *chosen = choose(&pool, &query);

		g_assert_true(chosen->for_paced);
		backend_started(chosen, 1400, 100, false, 1);
		backend_prefilled(chosen, 1400);
	}
	for (part = 0; part < PARTS; part++) {
		query = long_prompt((uint64_t)part);
		g_assert_false(choose(&pool, &query)->for_paced);
	}
	fleet_clear(&pool.fleet);
}

/*
 * When the engine that holds the prefix has a long backlog, reading the prefix
 * on another engine is quicker.
 */
static void test_overloaded_home(void)
{
	struct place_query query = long_prompt(5);
	struct backend *home;
	struct pool pool;

	pool_start(&pool, ENGINES);
	home = choose(&pool, &query);
	backend_started(home, 20000, 100, false, 1);
	g_assert_true(choose(&pool, &query) == home);
	backend_started(home, 60000, 100, false, 1);
	g_assert_true(choose(&pool, &query) != home);
	fleet_clear(&pool.fleet);
}

/*
 * When all engines for short prompts have a long backlog, those for long ones
 * are used too.
 */
static void test_spill(void)
{
	struct place_query query = short_prompt();
	struct pool pool;
	int i;

	pool_start(&pool, ENGINES);
	for (i = 0; i < pool.n; i++)
		if (pool.members[i]->for_paced)
			backend_started(pool.members[i], 60000, 100, false, 1);
	g_assert_false(choose(&pool, &query)->for_paced);
	fleet_clear(&pool.fleet);
}

/*
 * The requests of a plain service with three servers have no prompts. One of
 * the servers was reserved for short prompts all the same, and received 43 of
 * 1,174 requests.
 */
static void test_plain(void)
{
	struct place_query query = { .prefill_rate = 100000 };
	struct pool pool;
	int i;

	pool_start(&pool, 3);
	for (i = 0; i < 9; i++)
		backend_started(choose(&pool, &query), 0, 0, false, 1);
	for (i = 0; i < 3; i++)
		g_assert_cmpint(pool.members[i]->own.running, ==, 3);
	fleet_clear(&pool.fleet);
}

/*
 * Second attempts from all VMs were sent to the same one of six equally good
 * servers. They must be spread over all six.
 */
static void test_equals(void)
{
	struct place_query query = { .prefill_rate = 100000, .zone = "z2" };
	struct rng rng = { 1 };
	struct pool pool;
	int i;

	pool_start(&pool, 6);
	for (i = 0; i < 1200; i++) {
		query.tie_seed = rng_next(&rng);
		choose(&pool, &query)->slots++;
	}
	for (i = 0; i < 6; i++) {
		g_assert_cmpint(pool.members[i]->slots, >, 128 + 100);
		g_assert_cmpint(pool.members[i]->slots, <, 128 + 400);
	}
	fleet_clear(&pool.fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/place/homes", test_homes);
	g_test_add_func("/place/moves", test_moves);
	g_test_add_func("/place/short", test_short);
	g_test_add_func("/place/overloaded-home", test_overloaded_home);
	g_test_add_func("/place/spill", test_spill);
	g_test_add_func("/place/plain", test_plain);
	g_test_add_func("/place/equals", test_equals);
	return g_test_run();
}
