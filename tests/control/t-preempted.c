#include <glib.h>

#include "entries.h"

#define SECOND INT64_C(1000000)
#define VMS 7
#define SERVERS 2
#define SLOTS 32
#define MEMORY 60000

static const struct entries_ask kinds[] = {
	{ .path = ENTRIES_MEMBER_SMALL,
	  .prompt_tokens = 500,
	  .output_tokens = 1000,
	  .work_us = 400000 },
	{ .path = ENTRIES_MEMBER_MIDDLE,
	  .prompt_tokens = 3000,
	  .output_tokens = 1000,
	  .work_us = 700000 },
	{ .path = ENTRIES_MEMBER_LARGE,
	  .prompt_tokens = 8000,
	  .output_tokens = 4000,
	  .work_us = 1500000 },
};

static struct entries *start(void)
{
	struct entries *entries = entries_new(VMS, SERVERS);
	int i;

	for (i = 0; i < SERVERS; i++) {
		entries->servers[i].slots = SLOTS;
		entries->servers[i].queue = 4 * SLOTS;
		entries->servers[i].memory = MEMORY;
	}
	return entries;
}

/* Callers of all ranks at all VMs. */
static void play(struct entries *entries, struct rng *rng, int64_t us)
{
	int64_t until_us = group_now(entries->group) + us;
	struct entries_ask ask;

	while (group_now(entries->group) < until_us) {
		ask = kinds[rng_below(rng, G_N_ELEMENTS(kinds))];
		ask.key = entries_keys[rng_below(rng, ENTRIES_KEYS)];
		entries_send(entries, (int)rng_below(rng, VMS), &ask);
		entries_run(entries, GROUP_STEP_US * 2);
	}
}

static void check(struct entries *entries)
{
	int preempted = 0;
	int i;

	for (i = 0; i < SERVERS; i++) {
		preempted += entries->servers[i].preempted;
		g_assert_cmpint(entries->servers[i].inverted, ==, 0);
	}
	g_assert_cmpint(preempted, >, 100);
	entries_free(entries);
}

/* Requests of low-ranked organisations are preempted for less urgent ones. */
static void test_ranks(void)
{
	struct entries *entries = start();
	struct rng rng = { 5 };

	play(entries, &rng, 10 * SECOND);
	check(entries);
}

/* Requests that started again, at other VMs and servers, are told otherwise. */
static void test_restarts(void)
{
	struct entries *entries = start();
	struct rng rng = { 6 };
	int vm;

	for (vm = 0; vm < VMS; vm++) {
		play(entries, &rng, SECOND);
		entries_restart(entries, vm);
		if (vm == VMS / 2)
			entries_restart_server(entries, 0, "v1");
	}
	play(entries, &rng, 5 * SECOND);
	check(entries);
}

/* VMs with different versions of the document say different things. */
static void test_versions(void)
{
	struct entries *entries = start();
	struct rng rng = { 7 };
	int vm;

	play(entries, &rng, 3 * SECOND);
	for (vm = 0; vm < VMS; vm += 2)
		entries_slow(entries, vm, SECOND / 4);
	group_put(entries->group, group_leader(entries->group),
		  ENTRIES_LARGE_LAST);
	play(entries, &rng, 5 * SECOND);
	check(entries);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/preempted/ranks", test_ranks);
	g_test_add_func("/preempted/restarts", test_restarts);
	g_test_add_func("/preempted/versions", test_versions);
	return g_test_run();
}
