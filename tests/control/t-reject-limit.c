#include <glib.h>

#include "entries.h"

#define SECOND INT64_C(1000000)
#define VMS 7
#define SERVERS 8
#define MANY_VMS 60
#define SLOTS 32
#define WORK_US INT64_C(200000)

/* From when the limit binds after servers first named it. */
#define BINDS_US (3 * SECOND)

/* What all servers can run in a second. */
#define CAPACITY_PER_S (SERVERS * SLOTS * 1e6 / WORK_US)

/* Servers have few slots, and fail if they reject more than `most` a second. */
static struct entries_traffic start(int n_vms, double load, int most)
{
	struct entries_traffic traffic =
		entries_traffic(entries_new(n_vms, SERVERS),
				load * CAPACITY_PER_S);
	int i;

	/* A server that fails says nothing of a request. */
	traffic.distinct = true;
	traffic.entries->path = ENTRIES_AGAIN;
	for (i = 0; i < SERVERS; i++) {
		traffic.entries->servers[i].slots = SLOTS;
		traffic.entries->servers[i].work_us = WORK_US;
	}
	entries_play(&traffic, 5 * SECOND);
	for (i = 0; i < SERVERS; i++)
		traffic.entries->servers[i].rejects_named = most;
	entries_play(&traffic, BINDS_US);
	for (i = 0; i < SERVERS; i++)
		traffic.entries->servers[i].rejects_most = most;
	return traffic;
}

static int count_failures(const struct entries *entries)
{
	int n = 0;
	int i;

	for (i = 0; i < entries->n_servers; i++)
		n += entries->servers[i].failures;
	return n;
}

static double check(struct entries_traffic *traffic, int64_t us)
{
	struct entries *entries = traffic->entries;
	int served;

	entries_play(traffic, 3 * SECOND);
	served = entries->served;
	entries_play(traffic, us);
	g_assert_cmpint(count_failures(entries), <=, 2 + SERVERS / 10);
	return (entries->served - served) * 1e6 / (double)us;
}

/* More requests than the servers can run, from all VMs. */
static void test_overload(void)
{
	struct entries_traffic traffic = start(VMS, 1.4, 4);

	g_assert_cmpfloat(check(&traffic, 20 * SECOND), >=,
			  CAPACITY_PER_S * 3 / 4);
	entries_free(traffic.entries);
}

/* Many VMs, each of which has few requests at a server. */
static void test_many_vms(void)
{
	struct entries_traffic traffic = start(MANY_VMS, 1.4, 4);

	g_assert_cmpfloat(check(&traffic, 20 * SECOND), >=, CAPACITY_PER_S / 2);
	entries_free(traffic.entries);
}

/* Two of seven VMs get all requests. */
static void test_uneven(void)
{
	struct entries_traffic traffic = start(VMS, 1.2, 4);

	traffic.n_vms = 2;
	check(&traffic, 20 * SECOND);
	entries_free(traffic.entries);
}

/* VMs start again, and one is cut off from control VMs. */
static void test_restarted(void)
{
	struct entries_traffic traffic = start(VMS, 1.4, 4);
	int vm;

	entries_cut(traffic.entries, 0, true);
	entries_play(&traffic, 2 * SECOND);
	for (vm = 1; vm < VMS; vm++) {
		entries_restart(traffic.entries, vm);
		entries_play(&traffic, SECOND);
	}
	entries_cut(traffic.entries, 0, false);
	check(&traffic, 10 * SECOND);
	entries_free(traffic.entries);
}

/* Servers that aren't full take all that callers ask. */
static void test_room(void)
{
	struct entries_traffic traffic = start(VMS, 0.6, 4);

	g_assert_cmpfloat(check(&traffic, 20 * SECOND), >=,
			  0.6 * CAPACITY_PER_S * 99 / 100);
	entries_free(traffic.entries);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/reject-limit/overload", test_overload);
	g_test_add_func("/reject-limit/many-vms", test_many_vms);
	g_test_add_func("/reject-limit/uneven", test_uneven);
	g_test_add_func("/reject-limit/restarted", test_restarted);
	g_test_add_func("/reject-limit/room", test_room);
	return g_test_run();
}
