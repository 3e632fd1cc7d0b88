#include <glib.h>
#include <string.h>

#include "load/retry_history.h"

#define SECOND INT64_C(1000000)
#define STEP_US (SECOND / 2)

static struct retry_report report_at(uint64_t process, int64_t made_us)
{
	struct retry_report report = { .vm = "entry-1",
				       .process = process,
				       .pool = "s:desk",
				       .made_us = made_us,
				       .step_us = STEP_US };

	retry_window_add(&report.window, made_us / STEP_US,
			 (struct retry_counts){ 10, 4 });
	return report;
}

static struct retry_counts total(const struct retry_window *window)
{
	struct retry_counts sum = { 0 };
	int i;

	for (i = 0; i <= RETRY_STEPS; i++) {
		sum.fresh += window->steps[i].fresh;
		sum.retries += window->steps[i].retries;
	}
	return sum;
}

static struct retry_counts sum_of(const struct retry_history *history)
{
	struct retry_window sum = retry_history_sum(history, "s:desk", STEP_US);

	return total(&sum);
}

/* Guards against processes that count for one another, or twice. */
static void processes_add_up(void)
{
	struct retry_report first = report_at(1, 100 * SECOND);
	struct retry_report second = report_at(2, 3 * SECOND);
	struct retry_history history;

	retry_history_init(&history);
	g_assert_true(retry_history_merge(&history, &first, 50 * SECOND));
	g_assert_false(retry_history_merge(&history, &first, 51 * SECOND));
	g_assert_true(retry_history_merge(&history, &second, 53 * SECOND));
	g_assert_cmpint(sum_of(&history).retries, ==, 8);
	g_assert_cmpint(sum_of(&history).fresh, ==, 20);
	retry_history_clear(&history);
}

/* Guards against an old report that arrives late and replaces a newer one. */
static void the_newest_report_counts(void)
{
	struct retry_report old = report_at(1, 100 * SECOND);
	struct retry_report new = report_at(1, 101 * SECOND);
	struct retry_history history;

	retry_window_add(&new.window, 101 * SECOND / STEP_US,
			 (struct retry_counts){ 0, 3 });
	retry_history_init(&history);
	g_assert_true(retry_history_merge(&history, &new, 51 * SECOND));
	g_assert_false(retry_history_merge(&history, &old, 52 * SECOND));
	g_assert_cmpint(sum_of(&history).retries, ==, 7);
	retry_history_clear(&history);
}

/* Guards against a past that lasts longer or shorter than a window. */
static void what_left_the_window_is_forgotten(void)
{
	struct retry_report report = report_at(1, 100 * SECOND);
	struct retry_history history;

	retry_history_init(&history);
	retry_history_merge(&history, &report, 50 * SECOND);
	retry_history_expire(&history, 60 * SECOND);
	g_assert_cmpint(sum_of(&history).retries, ==, 4);
	retry_history_expire(&history, 62 * SECOND);
	g_assert_cmpint(sum_of(&history).retries, ==, 0);
	retry_history_clear(&history);
}

/* Guards against clocks whose steps begin at other times: more is allowed. */
static void steps_are_taken_to_the_own_clock(void)
{
	struct retry_report report = report_at(1, 100 * SECOND);
	struct retry_history history;
	struct retry_window sum;
	int64_t step = 50 * SECOND / STEP_US;

	retry_history_init(&history);
	retry_history_merge(&history, &report, 50 * SECOND + STEP_US / 5);
	sum = retry_history_sum(&history, "s:desk", STEP_US);
	g_assert_cmpint(retry_window_at(&sum, step).fresh, ==, 10);
	g_assert_cmpint(retry_window_at(&sum, step).retries, ==, 0);
	g_assert_cmpint(retry_window_at(&sum, step + 1).retries, ==, 4);
	retry_history_clear(&history);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry-history/add-up", processes_add_up);
	g_test_add_func("/retry-history/newest", the_newest_report_counts);
	g_test_add_func("/retry-history/forgotten",
			what_left_the_window_is_forgotten);
	g_test_add_func("/retry-history/clocks",
			steps_are_taken_to_the_own_clock);
	return g_test_run();
}
