#include <glib.h>

#include "starved.h"

#define SECOND INT64_C(1000000)
#define VMS 7
#define MANY_VMS 60
#define SERVERS 8

/* Urgent requests where each kind comes in at other VMs. */
#define APART_PER_S 150

/* More than the servers bear, at all VMs alike. */
static void test_even(void)
{
	struct entries *entries = starved_new(VMS, SERVERS);
	struct starved_load load = { .rng = { 11 },
				     .small = 150,
				     .large = 150 };
	int64_t from_us = group_now(entries->group) + STARVED_SETTLES_US;

	starved_play(entries, &load, NULL, 20 * SECOND);
	starved_check(entries, from_us);
}

/* The same, nearly all of it at one VM, and then at another one. */
static void test_one_vm(void)
{
	struct entries *entries = starved_new(VMS, SERVERS);
	struct starved_load load = {
		.rng = { 11 }, .small = 150, .large = 150, .share = 0.8
	};
	int64_t from_us = group_now(entries->group) + STARVED_SETTLES_US;

	starved_play(entries, &load, NULL, 10 * SECOND);
	load.busy = 3;
	starved_play(entries, &load, NULL, 10 * SECOND);
	starved_check(entries, from_us);
}

/* Urgent ones at one VM, those that can wait at the others. */
static struct entries *play_apart(int64_t *from_us)
{
	struct entries *entries = starved_new(VMS, SERVERS);
	struct starved_load small = { .rng = { 11 },
				      .small = APART_PER_S,
				      .share = 1 };
	struct starved_load large = {
		.rng = { 12 }, .large = 250, .busy = 3, .share = 0.5
	};

	*from_us = group_now(entries->group) + STARVED_SETTLES_US;
	starved_play(entries, &small, &large, 20 * SECOND);
	return entries;
}

static void test_apart(void)
{
	int64_t from_us;
	struct entries *entries = play_apart(&from_us);

	starved_check(entries, from_us);
}

/* Urgent ones wait at one VM for seconds while larger ones begin elsewhere. */
static void test_waits(void)
{
	int64_t from_us;
	struct entries *entries = play_apart(&from_us);
	double asked = APART_PER_S * STARVED_SPAN_US / 1e6;

	entries_run(entries, STARVED_SPAN_US);
	g_assert_cmpint(starved_most_late(entries, from_us), <=,
			(int)(asked / STARVED_SHARE));
	entries_free(entries);
}

/* Nine in ten of the larger ones that come from now on begin. */
static void check_larger(struct entries *entries, struct starved_load *load)
{
	int64_t from_us = group_now(entries->group);
	int asked = (int)(load->large * STARVED_SPAN_US / 1e6);

	starved_play(entries, load, NULL, STARVED_SPAN_US);
	g_assert_cmpint(starved_larger(entries, from_us), >=, asked * 9 / 10);
	entries_free(entries);
}

static void set_limits(struct entries *entries, double per_s)
{
	int i;

	for (i = 0; i < SERVERS; i++)
		entries->servers[i].limit_per_s = per_s;
}

/* Slots stay free for urgent ones that waited for servers that name limits. */
static void test_limits(void)
{
	struct entries *entries = starved_new(VMS, SERVERS);
	struct starved_load load = { .rng = { 11 },
				     .small = 100,
				     .large = 100 };

	starved_play(entries, &load, NULL, 8 * SECOND);
	set_limits(entries, 1);
	starved_play(entries, &load, NULL, 5 * SECOND);
	set_limits(entries, SERVER_LIMIT_NONE);
	starved_play(entries, &load, NULL, 3 * SECOND);
	check_larger(entries, &load);
}

/* Slots stay free for urgent ones that waited for servers that had failed. */
static void test_failed(void)
{
	struct entries *entries = starved_new(VMS, SERVERS);
	struct starved_load load = { .rng = { 11 }, .small = 60, .large = 60 };
	int n;
	int i;

	starved_play(entries, &load, NULL, 8 * SECOND);
	for (n = 0; n < 4; n++) {
		for (i = 0; i < SERVERS; i++)
			entries_restart_server(entries, i, "v1");
		starved_play(entries, &load, NULL, ENTRIES_RESTART_US + SECOND);
	}
	starved_play(entries, &load, NULL, 3 * SECOND);
	check_larger(entries, &load);
}

/* The same with many VMs, of which each knows little. */
static void test_many_vms(void)
{
	struct entries *entries = starved_new(MANY_VMS, SERVERS);
	struct starved_load load = { .rng = { 11 },
				     .small = 150,
				     .large = 150 };
	int64_t from_us = group_now(entries->group) + STARVED_SETTLES_US;

	starved_play(entries, &load, NULL, 10 * SECOND);
	load.share = 0.8;
	starved_play(entries, &load, NULL, 10 * SECOND);
	starved_check(entries, from_us);
}

/* What VMs tell and are told comes late; one hears nothing for a while. */
static void test_late(void)
{
	struct entries *entries = starved_new(VMS, SERVERS);
	struct starved_load small = { .rng = { 11 }, .small = 150, .share = 1 };
	struct starved_load large = {
		.rng = { 12 }, .large = 200, .busy = 3, .share = 0.5
	};
	int64_t from_us = group_now(entries->group) + STARVED_SETTLES_US;
	int vm;

	for (vm = 0; vm < VMS / 2; vm++)
		entries_slow(entries, vm, SECOND / 4);
	entries_slow_news(entries, 0, SECOND / 4);
	starved_play(entries, &small, &large, 10 * SECOND);
	entries_cut(entries, 6, true);
	starved_play(entries, &small, &large, 5 * SECOND);
	entries_restart(entries, 6);
	entries_cut(entries, 6, false);
	starved_play(entries, &small, &large, 5 * SECOND);
	starved_check(entries, from_us);
}

/* Half of the servers end in a burst of urgent ones, and are back. */
static void test_servers_lost(void)
{
	struct entries *entries = starved_new(VMS, SERVERS);
	struct starved_load load = {
		.rng = { 11 }, .small = 100, .large = 100, .share = 0.5
	};
	int64_t from_us;
	int i;

	starved_play(entries, &load, NULL, 8 * SECOND);
	for (i = 0; i < SERVERS / 2; i++)
		entries_restart_server(entries, i, "v1");
	load.small = 300;
	from_us = group_now(entries->group) + ENTRIES_RESTART_US + SECOND;
	starved_play(entries, &load, NULL, 10 * SECOND);
	starved_check(entries, from_us);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/starved/even", test_even);
	g_test_add_func("/starved/one-vm", test_one_vm);
	g_test_add_func("/starved/apart", test_apart);
	g_test_add_func("/starved/waits", test_waits);
	g_test_add_func("/starved/limits", test_limits);
	g_test_add_func("/starved/failed", test_failed);
	g_test_add_func("/starved/many-vms", test_many_vms);
	g_test_add_func("/starved/late", test_late);
	g_test_add_func("/starved/servers-lost", test_servers_lost);
	return g_test_run();
}
