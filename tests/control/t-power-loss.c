#include <glib.h>

#include "entries.h"

#define SECOND INT64_C(1000000)
#define VMS 7
#define SERVERS 6
#define CONTROLS 5
#define PER_S 60

/* After which requests are served again, as sites set it. */
#define RECOVERY_US (12 * SECOND)

/* A version that the operator's call has acknowledged just now. */
static void put(struct entries *entries, int64_t version)
{
	struct group *group = entries->group;
	uint64_t call = group_put(group, group_leader(group), version);
	int i;

	for (i = 0; i < 500 && group_code(group, call) != RESULT_OK; i++)
		entries_run(entries, GROUP_STEP_US);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
}

/* All machines lose power at once; the disks of these two are lost. */
static void lose_power(struct entries *entries, int a, int b, int64_t down_us)
{
	int vm;

	for (vm = 0; vm < CONTROLS; vm++)
		if (vm == a || vm == b)
			group_wipe(entries->group, vm);
		else
			group_kill(entries->group, vm);
	for (vm = 0; vm < VMS; vm++)
		entries_restart(entries, vm);
	entries_run(entries, down_us);
	for (vm = 0; vm < CONTROLS; vm++)
		group_start(entries->group, vm);
}

static void check_held(struct entries *entries, int64_t version)
{
	struct group *group = entries->group;
	char *text = g_strdup_printf("document %d", (int)version);
	uint64_t call;

	g_assert_cmpint(group_leader(group), >=, 0);
	call = group_get(group, group_leader(group));
	entries_run(entries, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	g_assert_cmpstr(group_body(group, call), ==, text);
	g_free(text);
}

static void check_served(struct entries_traffic *traffic)
{
	struct entries *entries = traffic->entries;
	int served = entries->served;

	entries_play(traffic, 4 * SECOND);
	g_assert_cmpint(entries->served - served, >=, 4 * PER_S * 9 / 10);
}

static void play(int a, int b, int64_t down_us)
{
	struct entries_traffic traffic =
		entries_traffic(entries_new(VMS, SERVERS), PER_S);
	struct entries *entries = traffic.entries;

	entries->path = ENTRIES_AGAIN;
	check_served(&traffic);
	put(entries, 2);
	lose_power(entries, a, b, down_us);
	entries_play(&traffic, RECOVERY_US);
	check_served(&traffic);
	check_held(entries, 2);
	/* The group is whole again: it bears the same once more. */
	put(entries, 3);
	lose_power(entries, (a + 2) % CONTROLS, (b + 2) % CONTROLS, down_us);
	entries_play(&traffic, RECOVERY_US);
	check_served(&traffic);
	check_held(entries, 3);
	entries_free(entries);
}

/* No machine keeps its memory, and two of five control VMs lose their disks. */
static void test_two_disks(void)
{
	int a;
	int b;

	for (a = 0; a < CONTROLS; a++)
		for (b = a + 1; b < CONTROLS; b++)
			play(a, b, SECOND);
}

/* The same with no disk lost, and for longer than entry VMs wait. */
static void test_no_disk(void)
{
	play(CONTROLS, CONTROLS, SECOND);
	play(CONTROLS, CONTROLS, 8 * SECOND);
	play(1, 3, 8 * SECOND);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/power-loss/two-disks", test_two_disks);
	g_test_add_func("/power-loss/no-disk", test_no_disk);
	return g_test_run();
}
