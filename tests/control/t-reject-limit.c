#include <glib.h>

#include "base/rng.h"
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

struct traffic {
	struct entries *entries;
	struct rng rng;
	double per_s; /* over all VMs */
	int n_vms;    /* that get requests */
};

/* Each body is another one: a server that fails says nothing of a request. */
static void ask(struct traffic *traffic)
{
	char body[32];

	g_snprintf(body, sizeof(body), "body-%u", traffic->entries->asked->len);
	entries_ask(traffic->entries,
		    (int)rng_below(&traffic->rng, (uint64_t)traffic->n_vms),
		    body);
}

static void play(struct traffic *traffic, int64_t us)
{
	struct entries *entries = traffic->entries;
	int64_t until_us = group_now(entries->group) + us;
	double due = 0;
	int i;

	while (group_now(entries->group) < until_us) {
		due += traffic->per_s * GROUP_STEP_US / 1e6;
		for (i = 0; i < (int)due; i++)
			ask(traffic);
		due -= i;
		entries_run(entries, GROUP_STEP_US);
	}
}

/* Servers have few slots, and fail if they reject more than `most` a second. */
static struct traffic start(int n_vms, double load, int most)
{
	struct traffic traffic = {
		entries_new(n_vms, SERVERS), { 7 }, load * CAPACITY_PER_S, n_vms
	};
	int i;

	traffic.entries->path = ENTRIES_AGAIN;
	for (i = 0; i < SERVERS; i++) {
		traffic.entries->servers[i].slots = SLOTS;
		traffic.entries->servers[i].work_us = WORK_US;
	}
	play(&traffic, 5 * SECOND);
	for (i = 0; i < SERVERS; i++)
		traffic.entries->servers[i].rejects_named = most;
	play(&traffic, BINDS_US);
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

static double check(struct traffic *traffic, int64_t us)
{
	struct entries *entries = traffic->entries;
	int served;

	play(traffic, 3 * SECOND);
	served = entries->served;
	play(traffic, us);
	g_assert_cmpint(count_failures(entries), <=, 2 + SERVERS / 10);
	return (entries->served - served) * 1e6 / (double)us;
}

/* More requests than the servers can run, from all VMs. */
static void test_overload(void)
{
	struct traffic traffic = start(VMS, 1.4, 4);

	g_assert_cmpfloat(check(&traffic, 20 * SECOND), >=,
			  CAPACITY_PER_S * 3 / 4);
	entries_free(traffic.entries);
}

/* Many VMs, each of which has few requests at a server. */
static void test_many_vms(void)
{
	struct traffic traffic = start(MANY_VMS, 1.4, 4);

	g_assert_cmpfloat(check(&traffic, 20 * SECOND), >=, CAPACITY_PER_S / 2);
	entries_free(traffic.entries);
}

/* Two of seven VMs get all requests. */
static void test_uneven(void)
{
	struct traffic traffic = start(VMS, 1.2, 4);

	traffic.n_vms = 2;
	check(&traffic, 20 * SECOND);
	entries_free(traffic.entries);
}

/* VMs start again, and one is cut off from control VMs. */
static void test_restarted(void)
{
	struct traffic traffic = start(VMS, 1.4, 4);
	int vm;

	entries_cut(traffic.entries, 0, true);
	play(&traffic, 2 * SECOND);
	for (vm = 1; vm < VMS; vm++) {
		entries_restart(traffic.entries, vm);
		play(&traffic, SECOND);
	}
	entries_cut(traffic.entries, 0, false);
	check(&traffic, 10 * SECOND);
	entries_free(traffic.entries);
}

/* Servers that aren't full take all that callers ask. */
static void test_room(void)
{
	struct traffic traffic = start(VMS, 0.6, 4);

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
