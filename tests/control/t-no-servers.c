#include <glib.h>

#include "entries.h"

#define SECOND INT64_C(1000000)
#define VMS 7
#define SERVERS 8
#define MANY_VMS 60
#define PER_S 100

/* From when a cut counts, as in the rules of the users. */
#define BINDS_US (3 * SECOND)

static struct entries_traffic start(int n_vms, double per_s)
{
	struct entries_traffic traffic =
		entries_traffic(entries_new(n_vms, SERVERS), per_s);

	entries_play(&traffic, 5 * SECOND);
	return traffic;
}

/* The first `n` VMs lose their way to all servers, or get it back. */
static void cut(struct entries *entries, int n, enum entries_path path)
{
	int vm;

	for (vm = 0; vm < n; vm++)
		entries_set_path(entries, vm, path);
}

static double served_share(const struct entries *entries, int from, int until)
{
	int asked = 0;
	int served = 0;
	int vm;

	for (vm = from; vm < until; vm++) {
		asked += entries_asked(entries, vm);
		served += entries_served(entries, vm);
	}
	return asked ? (double)served / asked : 1;
}

static void play_cut(struct entries_traffic *traffic, int n,
		     enum entries_path path)
{
	cut(traffic->entries, n, path);
	entries_play(traffic, BINDS_US);
	entries_count_anew(traffic->entries);
	entries_play(traffic, 10 * SECOND);
}

static guint count_arrivals(const struct entries *entries)
{
	guint n = 0;
	int i;

	for (i = 0; i < entries->n_servers; i++)
		n += entries->servers[i].arrivals->len;
	return n;
}

/* Those that are cut off serve their callers two thirds as often as others. */
static void check_served(const struct entries *entries, int n)
{
	double others = served_share(entries, n, entries->n_vms);

	g_assert_cmpfloat(others, >=, 0.95);
	g_assert_cmpfloat(served_share(entries, 0, n), >=, others * 2 / 3);
	g_assert_cmpuint(count_arrivals(entries), <=, entries->asked->len);
}

/* Three of seven VMs refuse all their callers. */
static void test_refused(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);

	play_cut(&traffic, 3, ENTRIES_PATH_REFUSED);
	check_served(traffic.entries, 3);
	entries_free(traffic.entries);
}

/* The same where connections hang. */
static void test_silent(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);

	play_cut(&traffic, 3, ENTRIES_PATH_SILENT);
	check_served(traffic.entries, 3);
	entries_free(traffic.entries);
}

/* All VMs but one are cut off. */
static void test_one_left(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);

	play_cut(&traffic, VMS - 1, ENTRIES_PATH_SILENT);
	check_served(traffic.entries, VMS - 1);
	entries_free(traffic.entries);
}

/* Many VMs, half of them cut off with few requests each. */
static void test_many_vms(void)
{
	struct entries_traffic traffic = start(MANY_VMS, 120);

	play_cut(&traffic, MANY_VMS / 2, ENTRIES_PATH_SILENT);
	check_served(traffic.entries, MANY_VMS / 2);
	entries_free(traffic.entries);
}

/* A VM that no control VM can tell who reaches the servers. */
static void test_out_of_contact(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);

	entries_cut(traffic.entries, 0, true);
	cut(traffic.entries, 1, ENTRIES_PATH_REFUSED);
	entries_play(&traffic, 2 * SECOND);
	entries_count_anew(traffic.entries);
	entries_play(&traffic, 2 * SECOND);
	check_served(traffic.entries, 1);
	entries_free(traffic.entries);
}

/* What VMs that are cut off are told comes half a second late. */
static void test_late(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);
	int vm;

	for (vm = 0; vm < 3; vm++)
		entries_slow(traffic.entries, vm, SECOND / 2);
	play_cut(&traffic, 3, ENTRIES_PATH_SILENT);
	check_served(traffic.entries, 3);
	entries_free(traffic.entries);
}

/* VMs start again while they are cut off, one that serves the others too. */
static void test_restarted(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);

	cut(traffic.entries, 3, ENTRIES_PATH_REFUSED);
	entries_play(&traffic, 2 * SECOND);
	entries_restart(traffic.entries, 0);
	entries_restart(traffic.entries, VMS - 1);
	entries_play(&traffic, BINDS_US);
	entries_count_anew(traffic.entries);
	entries_play(&traffic, 10 * SECOND);
	check_served(traffic.entries, 3);
	entries_free(traffic.entries);
}

/* VMs that are cut off by turns send each other's requests round. */
static void test_by_turns(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);
	int turn;
	int vm;

	entries_count_anew(traffic.entries);
	for (turn = 0; turn < 6; turn++) {
		for (vm = 0; vm < VMS; vm++)
			entries_set_path(traffic.entries, vm,
					 vm % 2 == turn % 2
						 ? ENTRIES_PATH_REFUSED
						 : ENTRIES_PATH_GOOD);
		entries_play(&traffic, 6 * SECOND);
	}
	g_assert_cmpfloat(served_share(traffic.entries, 0, VMS), >=, 2.0 / 3);
	entries_free(traffic.entries);
}

/* Half of the servers are down, and VMs probe without end. */
static void test_half_down(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);
	struct entries *entries = traffic.entries;
	int i;

	for (i = 0; i < SERVERS / 2; i++)
		entries->servers[i].up_us =
			group_now(entries->group) + 100 * SECOND;
	entries_count_anew(entries);
	entries_play(&traffic, 10 * SECOND);
	g_assert_cmpfloat(served_share(entries, 0, VMS), >=, 0.95);
	g_assert_cmpint(entries->probes, <=, VMS * 10 * 2 * 8);
	entries_free(entries);
}

/* No VM reaches a server: callers are refused at once, and told so. */
static void test_nobody_left(void)
{
	struct entries_traffic traffic = start(VMS, PER_S);

	play_cut(&traffic, VMS, ENTRIES_PATH_REFUSED);
	g_assert_cmpfloat(served_share(traffic.entries, 0, VMS), ==, 0);
	cut(traffic.entries, VMS, ENTRIES_PATH_GOOD);
	entries_play(&traffic, 2 * SECOND);
	entries_count_anew(traffic.entries);
	entries_play(&traffic, 5 * SECOND);
	g_assert_cmpfloat(served_share(traffic.entries, 0, VMS), >=, 0.95);
	entries_free(traffic.entries);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/no-servers/refused", test_refused);
	g_test_add_func("/no-servers/silent", test_silent);
	g_test_add_func("/no-servers/one-left", test_one_left);
	g_test_add_func("/no-servers/many-vms", test_many_vms);
	g_test_add_func("/no-servers/out-of-contact", test_out_of_contact);
	g_test_add_func("/no-servers/late", test_late);
	g_test_add_func("/no-servers/restarted", test_restarted);
	g_test_add_func("/no-servers/by-turns", test_by_turns);
	g_test_add_func("/no-servers/half-down", test_half_down);
	g_test_add_func("/no-servers/nobody-left", test_nobody_left);
	return g_test_run();
}
