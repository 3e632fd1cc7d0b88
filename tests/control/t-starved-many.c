#include <glib.h>

#include "starved.h"

#define SECOND INT64_C(1000000)

/* A load, with few servers for many VMs. */
struct way {
	const char *name;
	int servers;
	double small;
	double large;
	double share; /* of one VM, and then of another one */
	int lost;     /* servers that end and are back */
	bool late;    /* what half of the VMs tell and are told */
};

static const struct way ways[] = {
	{ "even", 8, 150, 200, 0, 0, false },
	{ "urgent", 8, 300, 150, 0, 0, false },
	{ "large", 8, 100, 400, 0, 0, false },
	{ "one-vm-urgent", 8, 300, 150, 0.8, 0, false },
	{ "one-vm-large", 8, 100, 400, 0.8, 0, false },
	{ "more-servers", 16, 600, 300, 0, 0, false },
	{ "servers-lost", 8, 200, 100, 0, 4, false },
	{ "servers-lost-one-vm", 8, 200, 100, 0.5, 4, false },
	{ "late", 8, 300, 150, 0, 0, true },
};

static const int numbers[] = { 30, 60, 91, 300 };

struct play {
	const struct way *way;
	int n_vms;
	uint64_t seed;
};

static void make_late(struct entries *entries)
{
	int vm;

	for (vm = 0; vm < entries->n_vms; vm += 2) {
		entries_slow(entries, vm, SECOND / 4);
		entries_slow_news(entries, vm, SECOND / 4);
	}
}

static void test_way(const void *data)
{
	const struct play *play = data;
	const struct way *way = play->way;
	struct entries *entries = starved_new(play->n_vms, way->servers);
	struct starved_load load = {
		.rng = { play->seed },
		.small = way->small,
		.large = way->large,
	};
	int64_t from_us = group_now(entries->group) + STARVED_SETTLES_US;
	int i;

	if (way->late)
		make_late(entries);
	starved_play(entries, &load, NULL, 8 * SECOND);
	for (i = 0; i < way->lost; i++)
		entries_restart_server(entries, i, "v1");
	if (way->lost)
		from_us =
			group_now(entries->group) + ENTRIES_RESTART_US + SECOND;
	load.share = way->share;
	starved_play(entries, &load, NULL, 6 * SECOND);
	load.busy = 3;
	starved_play(entries, &load, NULL, 6 * SECOND);
	starved_check(entries, from_us);
}

static void add(const struct way *way, int n_vms)
{
	struct play *play = g_new(struct play, 1);
	g_autofree char *name =
		g_strdup_printf("/starved-many/%d/%s", n_vms, way->name);

	*play = (struct play){ way, n_vms, 11 };
	g_test_add_data_func_full(name, play, test_way, g_free);
}

int main(int argc, char **argv)
{
	gsize way;
	gsize i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++)
		for (way = 0; way < G_N_ELEMENTS(ways); way++)
			add(&ways[way], numbers[i]);
	return g_test_run();
}
