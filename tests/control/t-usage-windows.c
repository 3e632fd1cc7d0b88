#include <glib.h>
#include <string.h>

#include "group.h"

#define SECOND INT64_C(1000000)
#define WINDOW_US (5 * SECOND)
#define TRUE_WALL_US (INT64_C(1700000000) * SECOND)
/* A report is due so long after the end of its window. */
#define DUE_US (10 * SECOND)
#define EACH_US (WINDOW_US / 50)

static struct group *founded(void)
{
	struct group *group = group_founded(NULL);

	group_put(group, group_leader(group), 1);
	group_run(group, SECOND);
	return group;
}

/* By true time, which no VM of the group need know. */
static int64_t window_now(const struct group *group)
{
	return (TRUE_WALL_US + group_now(group)) / WINDOW_US;
}

static int64_t window_end_us(int64_t window)
{
	return (window + 1) * WINDOW_US - TRUE_WALL_US;
}

/* Half of the VMs, the leader among them. */
static void step_half(struct group *group, int64_t us)
{
	int leader = group_leader(group);
	int i;

	for (i = 0; i < 3; i++)
		group_step_wall(group, (leader + i) % 5, us);
}

/* Requests begin all the while, and are told as they do. */
static void serve(struct group *group, int64_t us)
{
	int64_t until_us = group_now(group) + us;

	while (group_now(group) < until_us) {
		int64_t in_window_us = group_now(group) % WINDOW_US;

		group_begun(group, window_now(group),
			    1 + in_window_us / EACH_US);
		group_run(group, EACH_US);
		group_answer_calls(group, RESULT_OK);
	}
}

static const struct group_call *report_of(struct group *group, int64_t window)
{
	char *order = g_strdup_printf("usage-%" G_GINT64_FORMAT, window);
	const struct group_call *found = NULL;
	const struct group_call *calls;
	int n;
	int i;

	calls = group_calls(group, &n);
	for (i = 0; i < n && !found; i++)
		if (!strcmp(calls[i].order_id, order))
			found = &calls[i];
	g_free(order);
	return found;
}

/* Each whole window was reported in time and with what ran in it. */
static void check_windows(struct group *group, int64_t from, int64_t until)
{
	int64_t window;

	for (window = from; window < until; window++) {
		const struct group_call *report = report_of(group, window);

		g_assert_nonnull(report);
		g_assert_cmpint(report->at_us, >=, window_end_us(window));
		g_assert_cmpint(report->at_us, <=,
				window_end_us(window) + DUE_US);
		g_assert_nonnull(strstr(report->body, "\"yards\":50"));
	}
}

static void play_step(int64_t us)
{
	struct group *group = founded();
	int64_t first;

	serve(group, 2 * WINDOW_US - group_now(group) % WINDOW_US);
	first = window_now(group);
	serve(group, 3 * SECOND);
	step_half(group, us);
	serve(group, 13 * SECOND);
	step_half(group, 0);
	serve(group, 14 * SECOND);
	check_windows(group, first, first + 4);
	group_free(group);
}

/* Windows closed early while wall clocks of half of the VMs were ahead. */
static void test_clocks_ahead(void)
{
	play_step(5 * SECOND);
}

/* Windows reported late while wall clocks of half of the VMs were behind. */
static void test_clocks_behind(void)
{
	play_step(-9 * SECOND);
}

/* A window skipped for ever as a later one had its figure before it. */
static void test_told_late(void)
{
	struct group *group = founded();
	int64_t window = window_now(group);

	group_begun(group, window + 1, 7);
	group_run(group, 3 * WINDOW_US);
	group_answer_calls(group, RESULT_OK);
	g_assert_nonnull(report_of(group, window + 1));
	group_begun(group, window, 40);
	group_run(group, SECOND);
	g_assert_nonnull(report_of(group, window));
	group_free(group);
}

/* Requests begin at an entry VM that is cut off, and are told later. */
static void test_cut_off(void)
{
	struct group *group = founded();
	int64_t window = window_now(group) + 1;
	const struct group_call *report;

	group_begun(group, window, 30);
	group_run(group, window_end_us(window) - group_now(group) - SECOND);
	group_entry_down(group);
	group_run(group, window_end_us(window) - group_now(group) + 8 * SECOND);
	group_begun(group, window, 50);
	group_run(group, SECOND);
	group_answer_calls(group, RESULT_OK);
	report = report_of(group, window);
	g_assert_nonnull(report);
	g_assert_nonnull(strstr(report->body, "\"yards\":50"));
	g_assert_cmpint(report->at_us, <=, window_end_us(window) + DUE_US);
	group_free(group);
}

/* A window that waits for an entry VM that stays away is reported too late. */
static void test_stays_away(void)
{
	struct group *group = founded();
	int64_t window = window_now(group) + 1;
	const struct group_call *report;

	group_begun(group, window, 30);
	group_entry_down(group);
	group_run(group, window_end_us(window) - group_now(group) + DUE_US);
	group_answer_calls(group, RESULT_OK);
	report = report_of(group, window);
	g_assert_nonnull(report);
	g_assert_cmpint(report->at_us, <=,
			window_end_us(window) + DUE_US - SECOND);
	group_free(group);
}

/* Windows wait for a process that ended, and won't tell any more. */
static void test_restarted(void)
{
	struct group *group = founded();
	int64_t window = window_now(group) + 1;

	group_begun(group, window, 30);
	group_run(group, window_end_us(window) - group_now(group) - SECOND);
	group_entry_restart(group);
	group_run(group, 4 * SECOND);
	g_assert_nonnull(report_of(group, window));
	group_free(group);
}

/* All VMs lose power while a window waits for an entry VM. */
static void test_power_lost(void)
{
	struct group *group = founded();
	int64_t window = window_now(group) + 1;
	const struct group_call *report;
	int i;

	group_begun(group, window, 30);
	group_run(group, window_end_us(window) - group_now(group) - SECOND);
	group_entry_down(group);
	group_run(group, 4 * SECOND);
	for (i = 0; i < 5; i++)
		group_kill(group, i);
	for (i = 0; i < 5; i++)
		group_start(group, i);
	group_run(group, window_end_us(window) - group_now(group) + DUE_US);
	group_answer_calls(group, RESULT_OK);
	report = report_of(group, window);
	g_assert_nonnull(report);
	g_assert_nonnull(strstr(report->body, "\"yards\":30"));
	group_free(group);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/usage-windows/clocks-ahead", test_clocks_ahead);
	g_test_add_func("/usage-windows/clocks-behind", test_clocks_behind);
	g_test_add_func("/usage-windows/told-late", test_told_late);
	g_test_add_func("/usage-windows/cut-off", test_cut_off);
	g_test_add_func("/usage-windows/stays-away", test_stays_away);
	g_test_add_func("/usage-windows/restarted", test_restarted);
	g_test_add_func("/usage-windows/power-lost", test_power_lost);
	return g_test_run();
}
