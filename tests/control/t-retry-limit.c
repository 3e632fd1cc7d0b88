#include <glib.h>

#include "entries.h"

#define SECOND INT64_C(1000000)
#define VMS 7
#define SERVERS 8
#define MANY_VMS 40
#define CONTROL_VMS 5

/* The VMs have run for longer than a window. */
static struct entries_traffic start(int n_vms, double per_s)
{
	struct entries_traffic traffic =
		entries_traffic(entries_new(n_vms, SERVERS), per_s);

	traffic.entries->path = ENTRIES_AGAIN;
	entries_play(&traffic, ENTRIES_RETRY_WINDOW_US);
	return traffic;
}

static void reject(struct entries *entries, bool rejects)
{
	int i;

	for (i = 0; i < entries->n_servers; i++)
		entries->servers[i].rejects = rejects;
}

static void restart_all(struct entries_traffic *traffic)
{
	int vm;

	for (vm = 0; vm < traffic->entries->n_vms; vm++)
		entries_restart(traffic->entries, vm);
}

/* All processes end `n` times, two seconds after one another. */
static void restart_all_again(struct entries_traffic *traffic, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		entries_play(traffic, 2 * SECOND);
		restart_all(traffic);
	}
}

static int count(const GArray *times, int64_t from_us, int64_t until_us)
{
	int n = 0;
	guint i;

	for (i = 0; i < times->len; i++) {
		int64_t at_us = g_array_index(times, int64_t, i);

		n += at_us >= from_us && at_us < until_us;
	}
	return n;
}

/* Retries that the limit leaves unused in the window that ends then. */
static double left_until(const struct entries *entries, int64_t until_us)
{
	int64_t from_us = until_us - ENTRIES_RETRY_WINDOW_US;

	return ENTRIES_RETRY_HEADROOM +
	       ENTRIES_RETRY_SHARE * count(entries->asked, from_us, until_us) -
	       count(entries->repeats, from_us, until_us);
}

/* The same where it is least; a window begins or ends with a retry there. */
static double least_left(const struct entries *entries)
{
	int64_t now_us = group_now(entries->group);
	double least = ENTRIES_RETRY_HEADROOM;
	guint i;

	for (i = 0; i < entries->repeats->len; i++) {
		int64_t at_us = g_array_index(entries->repeats, int64_t, i);
		int64_t until_us = at_us + ENTRIES_RETRY_WINDOW_US;

		least = MIN(least, left_until(entries, at_us + 1));
		if (until_us <= now_us)
			least = MIN(least, left_until(entries, until_us));
	}
	return least;
}

/* Nothing ends; the limit is used and kept. */
static void test_steady(void)
{
	struct entries_traffic traffic = start(VMS, 70);

	reject(traffic.entries, true);
	entries_play(&traffic, 20 * SECOND);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	g_assert_cmpint(traffic.entries->repeats->len, >=,
			2 * ENTRIES_RETRY_HEADROOM);
	entries_free(traffic.entries);
}

/* All processes end three times while servers reject; each forgets. */
static void test_all_restarted(void)
{
	struct entries_traffic traffic = start(VMS, 70);

	reject(traffic.entries, true);
	restart_all_again(&traffic, 3);
	entries_play(&traffic, 12 * SECOND);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	entries_free(traffic.entries);
}

/* The same for half of the VMs each time. */
static void test_half_restarted(void)
{
	struct entries_traffic traffic = start(VMS, 70);
	int vm;
	int i;

	reject(traffic.entries, true);
	for (i = 0; i < 6; i++) {
		entries_play(&traffic, SECOND);
		for (vm = i % 2; vm < VMS; vm += 2)
			entries_restart(traffic.entries, vm);
	}
	entries_play(&traffic, 12 * SECOND);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	entries_free(traffic.entries);
}

/* One VM after the other ends, again and again. */
static void test_many_vms(void)
{
	struct entries_traffic traffic = start(MANY_VMS, 300);
	int i;

	reject(traffic.entries, true);
	for (i = 0; i < 3 * MANY_VMS; i++) {
		entries_play(&traffic, SECOND / 20);
		entries_restart(traffic.entries, i % MANY_VMS);
	}
	entries_play(&traffic, 12 * SECOND);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	entries_free(traffic.entries);
}

/* A VM has a link to one control VM, which others return to later. */
static void test_cut_off(void)
{
	struct entries_traffic traffic = start(VMS, 70);
	int control;
	int vm;

	for (vm = 0; vm < VMS; vm++)
		for (control = 0; control < CONTROL_VMS; control++)
			entries_cut_from(traffic.entries, vm, control,
					 control != vm % CONTROL_VMS);
	reject(traffic.entries, true);
	entries_play(&traffic, 2 * SECOND);
	for (vm = 0; vm < VMS; vm++)
		for (control = 0; control < CONTROL_VMS; control++)
			entries_cut_from(traffic.entries, vm, control,
					 control != (vm + 1) % CONTROL_VMS);
	restart_all(&traffic);
	entries_play(&traffic, 2 * SECOND);
	entries_cut(traffic.entries, 0, true);
	entries_play(&traffic, 2 * SECOND);
	restart_all(&traffic);
	entries_cut(traffic.entries, 0, false);
	entries_play(&traffic, 12 * SECOND);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	entries_free(traffic.entries);
}

/* What half of the VMs are told comes half a second late. */
static void test_late(void)
{
	struct entries_traffic traffic = start(VMS, 70);
	int vm;

	for (vm = 0; vm < VMS / 2; vm++)
		entries_slow(traffic.entries, vm, SECOND / 2);
	reject(traffic.entries, true);
	restart_all_again(&traffic, 3);
	entries_play(&traffic, 12 * SECOND);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	entries_free(traffic.entries);
}

/* Two of seven VMs get all requests. */
static void test_uneven(void)
{
	struct entries_traffic traffic = start(VMS, 70);

	traffic.n_vms = 2;
	reject(traffic.entries, true);
	restart_all_again(&traffic, 4);
	entries_play(&traffic, 12 * SECOND);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	entries_free(traffic.entries);
}

static void restart_group(struct group *group)
{
	int vm;

	for (vm = 0; vm < CONTROL_VMS; vm++)
		group_kill(group, vm);
	for (vm = 0; vm < CONTROL_VMS; vm++)
		group_start(group, vm);
}

/* Control VMs start again, and know too few entry VMs and no past retries. */
static void test_group_restarted(void)
{
	struct entries_traffic traffic = start(VMS, 70);

	reject(traffic.entries, true);
	entries_play(&traffic, 2 * SECOND);
	restart_group(traffic.entries->group);
	entries_play(&traffic, 2 * SECOND);
	restart_all(&traffic);
	entries_play(&traffic, 2 * SECOND);
	restart_group(traffic.entries->group);
	restart_all(&traffic);
	entries_play(&traffic, 12 * SECOND);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	entries_free(traffic.entries);
}

/* A VM that starts again and had repeated nothing may repeat nothing. */
static void test_unspent(void)
{
	struct entries_traffic traffic = start(VMS, 70);
	int64_t from_us;

	restart_all(&traffic);
	entries_play(&traffic, SECOND);
	from_us = group_now(traffic.entries->group);
	reject(traffic.entries, true);
	entries_play(&traffic, 2 * SECOND);
	g_assert_cmpint(count(traffic.entries->repeats, from_us,
			      group_now(traffic.entries->group)),
			>=, ENTRIES_RETRY_HEADROOM / 2);
	entries_free(traffic.entries);
}

/* VMs of a site that has just been founded may repeat nothing. */
static void test_new_site(void)
{
	struct entries_traffic traffic =
		entries_traffic(entries_new(VMS, SERVERS), 70);

	traffic.entries->path = ENTRIES_AGAIN;
	reject(traffic.entries, true);
	entries_play(&traffic, 2 * SECOND);
	g_assert_cmpuint(traffic.entries->repeats->len, >=,
			 ENTRIES_RETRY_HEADROOM / 2);
	g_assert_cmpfloat(least_left(traffic.entries), >=, 0);
	entries_free(traffic.entries);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-limit/steady", test_steady);
	g_test_add_func("/retry-limit/all-restarted", test_all_restarted);
	g_test_add_func("/retry-limit/half-restarted", test_half_restarted);
	g_test_add_func("/retry-limit/many-vms", test_many_vms);
	g_test_add_func("/retry-limit/cut-off", test_cut_off);
	g_test_add_func("/retry-limit/late", test_late);
	g_test_add_func("/retry-limit/uneven", test_uneven);
	g_test_add_func("/retry-limit/group-restarted", test_group_restarted);
	g_test_add_func("/retry-limit/unspent", test_unspent);
	g_test_add_func("/retry-limit/new-site", test_new_site);
	return g_test_run();
}
