/* Servers that say they are gone to control VMs that don't know them. */
#include <glib.h>

#include "entries.h"

#define SECOND INT64_C(1000000)
#define VMS 6
#define SERVERS 6
#define CONTROL_VMS 5
#define PER_S 120
#define LEAVER 5

/* The site's time after which a server that has left gets no request. */
#define DRAIN_US (2 * SECOND)

/* From time in the group to the VMs' wall clock, which a start is told by. */
#define LATER_MS (GROUP_WALL_US / 1000)

static struct entries_traffic start(void)
{
	struct entries_traffic traffic =
		entries_traffic(entries_new(VMS, SERVERS), PER_S);

	traffic.entries->path = ENTRIES_AGAIN;
	entries_play(&traffic, 2 * SECOND);
	return traffic;
}

/* No VM hears the server from now on; it serves. */
static void silence(struct entries *entries)
{
	entries->servers[LEAVER].late_us = 3600 * SECOND;
}

static void restart_control_vms(struct entries_traffic *traffic)
{
	struct group *group = traffic->entries->group;

	group_kill_all(group);
	entries_play(traffic, SECOND * 4 / 5);
	group_start_all(group);
	entries_play(traffic, 4 * SECOND);
}

static void cut_off(struct group *group, bool cut)
{
	int at;

	for (at = 0; at < CONTROL_VMS - 1; at++)
		group_cut(group, at, CONTROL_VMS - 1, cut);
}

/* The last control VM reaches no other one, and starts again. */
static void restart_cut_off(struct entries_traffic *traffic)
{
	struct group *group = traffic->entries->group;

	cut_off(group, true);
	group_kill(group, CONTROL_VMS - 1);
	group_start(group, CONTROL_VMS - 1);
	entries_play(traffic, 4 * SECOND);
}

static void unregister(struct entries *entries, int control)
{
	group_unregister(entries->group, control, entries->servers[LEAVER].id);
}

static int count_arrivals(const struct entries *entries, int64_t since_us)
{
	const GArray *arrivals = entries->servers[LEAVER].arrivals;
	int n = 0;
	guint i;

	for (i = 0; i < arrivals->len; i++)
		n += g_array_index(arrivals, int64_t, i) >= since_us;
	return n;
}

/* Requests later than the site allows, until three seconds after that. */
static int play_late(struct entries_traffic *traffic)
{
	int64_t late_us = group_now(traffic->entries->group) + DRAIN_US;

	entries_play(traffic, DRAIN_US + 3 * SECOND);
	return count_arrivals(traffic->entries, late_us);
}

/* All control VMs have started again and heard nothing of it. */
static void test_control_vms_restarted(void)
{
	struct entries_traffic traffic = start();

	silence(traffic.entries);
	restart_control_vms(&traffic);
	g_assert_cmpint(count_arrivals(traffic.entries,
				       group_now(traffic.entries->group) -
					       SECOND),
			>, 0);
	unregister(traffic.entries, 2);
	g_assert_cmpint(play_late(&traffic), ==, 0);
	entries_free(traffic.entries);
}

/* One that has started again doesn't reach the others, which know it. */
static void test_one_cut_off(void)
{
	struct entries_traffic traffic = start();

	silence(traffic.entries);
	restart_cut_off(&traffic);
	unregister(traffic.entries, CONTROL_VMS - 1);
	g_assert_cmpint(play_late(&traffic), ==, 0);
	entries_free(traffic.entries);
}

/* Its last announcement, delayed, comes behind that. */
static void test_late_announcement(void)
{
	struct entries_traffic traffic = start();
	struct entries *entries = traffic.entries;
	int vm;

	silence(entries);
	restart_control_vms(&traffic);
	unregister(entries, 2);
	entries_play(&traffic, SECOND / 10);
	entries->servers[LEAVER].late_us = 0;
	entries_play(&traffic, SECOND);
	silence(entries);
	for (vm = 0; vm < VMS; vm++)
		entries_restart(entries, vm);
	g_assert_cmpint(play_late(&traffic), ==, 0);
	entries_free(entries);
}

/* An entry VM starts after it, and gets the list of a control VM. */
static void test_entry_vms_restarted(void)
{
	struct entries_traffic traffic = start();
	int vm;

	silence(traffic.entries);
	restart_cut_off(&traffic);
	unregister(traffic.entries, CONTROL_VMS - 1);
	for (vm = 0; vm < VMS; vm++)
		entries_restart(traffic.entries, vm);
	cut_off(traffic.entries->group, false);
	g_assert_cmpint(play_late(&traffic), ==, 0);
	entries_free(traffic.entries);
}

/* Acknowledged before they start again; an old announcement comes after it. */
static void test_forgotten(void)
{
	struct entries_traffic traffic = start();
	struct entries *entries = traffic.entries;

	unregister(entries, 2);
	silence(entries);
	entries_play(&traffic, SECOND / 2);
	entries_restart(entries, 0);
	restart_control_vms(&traffic);
	entries->servers[LEAVER].late_us = 0;
	entries_play(&traffic, SECOND);
	silence(entries);
	g_assert_cmpint(play_late(&traffic), ==, 0);
	entries_free(entries);
}

/* Its first goodbye is acknowledged twice, by two VMs that don't know it. */
static void test_told_twice(void)
{
	struct entries_traffic traffic = start();
	int64_t late_us;

	silence(traffic.entries);
	restart_control_vms(&traffic);
	unregister(traffic.entries, 2);
	late_us = group_now(traffic.entries->group) + DRAIN_US;
	entries_play(&traffic, SECOND / 2);
	unregister(traffic.entries, 3);
	entries_play(&traffic, DRAIN_US + 3 * SECOND);
	g_assert_cmpint(count_arrivals(traffic.entries, late_us), ==, 0);
	entries_free(traffic.entries);
}

/* It says goodbye before any VM has heard it, and is heard late. */
static void test_before_any_announcement(void)
{
	struct entries_traffic traffic;
	struct entries *entries = entries_new(VMS, SERVERS - 1);
	struct registration told = { .id = "new",
				     .address = "10.1.0.6:80",
				     .service = "desk",
				     .zone = "z1",
				     .started_ms = LATER_MS,
				     .sequence = 1,
				     .slots = 4 };

	entries->path = ENTRIES_AGAIN;
	traffic = entries_traffic(entries, PER_S);
	entries_play(&traffic, 2 * SECOND);
	group_unregister(entries->group, 2, told.id);
	entries_play(&traffic, SECOND / 2);
	group_announce(entries->group, 3, &told);
	/* A request to an address without a server ends the test. */
	entries_play(&traffic, DRAIN_US + 3 * SECOND);
	entries_free(entries);
}

/* Two of five control VMs have started again, so nobody leads. */
static void test_nobody_in_charge(void)
{
	struct entries_traffic traffic = start();
	struct group *group = traffic.entries->group;

	silence(traffic.entries);
	group_kill_all(group);
	entries_play(&traffic, SECOND / 2);
	group_start(group, 3);
	group_start(group, 4);
	entries_play(&traffic, SECOND / 2);
	g_assert_cmpint(group_leader(group), ==, -1);
	unregister(traffic.entries, 4);
	g_assert_cmpint(play_late(&traffic), ==, 0);
	entries_free(traffic.entries);
}

/* A new start under its id is in use, and stays so. */
static void test_new_start(void)
{
	struct entries_traffic traffic = start();
	struct entries *entries = traffic.entries;
	struct entries_server *leaver = &entries->servers[LEAVER];
	int at;

	silence(entries);
	restart_control_vms(&traffic);
	unregister(entries, 2);
	entries_play(&traffic, 3 * SECOND);
	entries_restart_server(entries, LEAVER, "v1");
	leaver->started_ms += LATER_MS;
	leaver->late_us = 0;
	entries_play(&traffic, ENTRIES_RESTART_US + 2 * SECOND);
	for (at = 0; at < CONTROL_VMS; at++) {
		group_kill(entries->group, at);
		entries_play(&traffic, SECOND / 2);
		group_start(entries->group, at);
		entries_play(&traffic, SECOND);
	}
	g_assert_cmpint(count_arrivals(entries,
				       group_now(entries->group) - SECOND),
			>, 0);
	entries_free(entries);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/left-unheard/control-vms-restarted",
			test_control_vms_restarted);
	g_test_add_func("/left-unheard/one-cut-off", test_one_cut_off);
	g_test_add_func("/left-unheard/late-announcement",
			test_late_announcement);
	g_test_add_func("/left-unheard/entry-vms-restarted",
			test_entry_vms_restarted);
	g_test_add_func("/left-unheard/forgotten", test_forgotten);
	g_test_add_func("/left-unheard/told-twice", test_told_twice);
	g_test_add_func("/left-unheard/before-any-announcement",
			test_before_any_announcement);
	g_test_add_func("/left-unheard/nobody-in-charge",
			test_nobody_in_charge);
	g_test_add_func("/left-unheard/new-start", test_new_start);
	return g_test_run();
}
