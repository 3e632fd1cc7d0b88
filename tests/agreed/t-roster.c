#include <glib.h>

#include "usage/roster.h"

#define SECOND INT64_C(1000000)

/* Guards against a window closed without the counts of a disconnected VM. */
static void one_without_a_link_is_awaited(void)
{
	struct roster roster;

	roster_init(&roster);
	g_assert_cmpint(roster_awaited(&roster, 0), ==, 0);
	roster_up(&roster, "entry-1", 1, 0);
	roster_up(&roster, "entry-2", 2, 0);
	g_assert_cmpint(roster_awaited(&roster, SECOND), ==, 0);
	roster_down(&roster, 1, SECOND);
	g_assert_cmpint(roster_awaited(&roster, 10 * SECOND), ==, 1);
	roster_up(&roster, "entry-1", 1, 10 * SECOND);
	g_assert_cmpint(roster_awaited(&roster, 10 * SECOND + 1), ==, 1);
	g_assert_cmpint(roster_awaited(&roster, 11 * SECOND), ==, 0);
	roster_clear(&roster);
}

/* Guards against windows that wait forever for a process that ended. */
static void one_that_ended_is_not_awaited(void)
{
	struct roster roster;

	roster_init(&roster);
	roster_up(&roster, "entry-1", 1, 0);
	roster_up(&roster, "entry-1", 2, SECOND);
	roster_down(&roster, 1, 2 * SECOND);
	g_assert_cmpint(roster_awaited(&roster, 3 * SECOND), ==, 0);
	roster_down(&roster, 2, 4 * SECOND);
	g_assert_cmpint(roster_awaited(&roster, 63 * SECOND), ==, 1);
	g_assert_cmpint(roster_awaited(&roster, 64 * SECOND), ==, 0);
	roster_clear(&roster);
}

/* Guards against a restart of all VMs after which the first counts one. */
static void one_that_ended_lately_is_seen(void)
{
	struct roster roster;

	roster_init(&roster);
	roster_up(&roster, "entry-1", 1, 0);
	roster_up(&roster, "entry-2", 2, 0);
	roster_down(&roster, 1, SECOND);
	roster_down(&roster, 2, SECOND);
	roster_up(&roster, "entry-1", 3, 2 * SECOND);
	g_assert_cmpint(roster_seen(&roster, 10 * SECOND, 3 * SECOND), ==, 2);
	g_assert_cmpint(roster_seen(&roster, 10 * SECOND, 11 * SECOND), ==, 1);
	roster_clear(&roster);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/roster/cut-off", one_without_a_link_is_awaited);
	g_test_add_func("/roster/ended", one_that_ended_is_not_awaited);
	g_test_add_func("/roster/seen", one_that_ended_lately_is_seen);
	return g_test_run();
}
