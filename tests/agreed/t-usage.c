#include <glib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/alloc.h"
#include "core/effect.h"
#include "usage_bench.h"

/*
 * 1,000 windows with crashes, partitioned VMs, clock steps, changes of the
 * lease holder, messages lost, duplicated and reordered, and reports whose call
 * or answer is lost or duplicated. No window may be reported with two sets of
 * figures, and each organisation must be billed for all of its usage and never
 * for more; only usage that a crashed VM had not yet reported may be missing.
 */
static void usage_is_billed_once_through_1000_windows(void)
{
	struct bench *bench = g_new0(struct bench, 1);
	int64_t truth = 0;
	int64_t billed = 0;
	int w;
	int o;

	usage_bench_start(bench, 6);
	bench->faults = true;
	while (bench->now_us < FIRST_US + 1000 * WINDOW_US)
		usage_bench_step(bench);
	bench->faults = false;
	while (bench->now_us < FIRST_US + 1050 * WINDOW_US)
		usage_bench_step(bench);
	g_assert_cmpint(bench->wrong, ==, 0);
	for (w = 0; w < 1040; w++) {
		for (o = 0; o < ORGANISATIONS; o++) {
			g_assert_cmpint(bench->billed[w][o], <=,
					bench->truth[w][o]);
			truth += bench->truth[w][o];
			billed += bench->billed[w][o];
		}
	}
	g_test_message("%d windows, %d reports, %d late, %d wrong; %d crashes, "
		       "%d changes of holder; %ld tokens, %ld lost, %ld were "
		       "at risk",
		       w, bench->reports, bench->late, bench->wrong,
		       bench->crashes, bench->changes, (long)truth,
		       (long)(truth - billed), (long)bench->at_risk);
	g_assert_cmpint(truth - billed, <=, bench->at_risk);
	g_assert_cmpint(bench->crashes, >, 20);
	g_assert_cmpint(bench->changes, >, 100);
	usage_bench_stop(bench);
	g_free(bench);
}

/* Without faults no usage is lost and no report is late. */
static void quiet_site_bills_all_in_time(void)
{
	struct bench *bench = g_new0(struct bench, 1);
	int w;
	int o;

	usage_bench_start(bench, 1);
	while (bench->now_us < FIRST_US + 50 * WINDOW_US)
		usage_bench_step(bench);
	for (w = 0; w < 48; w++)
		for (o = 0; o < ORGANISATIONS; o++)
			g_assert_cmpint(bench->billed[w][o], ==,
					bench->truth[w][o]);
	g_assert_cmpint(bench->late, ==, 0);
	usage_bench_stop(bench);
	g_free(bench);
}

/*
 * A VM crashes. Its counts up to one second before the crash must be stored on
 * the VM that holds its copy, and reach the lease holder, which never received
 * a message from the crashed VM itself.
 */
static void loss_of_a_vm_loses_at_most_the_last_second(void)
{
	struct usage *lost = usage_new(1, 1);
	struct usage *copy = usage_new(2, 1);
	struct usage *holder = usage_new(3, 1);
	struct usage_counters one = { .requests = 1 };
	struct bytes body = { 0 };
	struct bytes reply = { 0 };
	int64_t sums = 0;
	int64_t now;

	usage_peers(lost, 0, 2);
	usage_peers(copy, 3, 0);
	for (now = 0; now <= 10; now++) {
		int64_t now_us = now * SITE_SECOND_US / 2;

		usage_tick(lost, WINDOW_US, now_us, now_us);
		usage_tick(copy, WINDOW_US, now_us, now_us);
		usage_count(lost, "yard", "caption", &one);
		while (usage_next_message(lost, 2, now_us, 1024, &body)) {
			usage_receive(copy, 1, &body, now_us, &reply);
			bytes_clear(&body);
			bytes_clear(&reply);
		}
	}
	usage_free(lost);
	for (now = 11; now <= 30; now++) {
		int64_t now_us = now * SITE_SECOND_US / 2;

		usage_tick(copy, WINDOW_US, now_us, now_us);
		while (usage_next_message(copy, 3, now_us, 1024, &body)) {
			usage_receive(holder, 2, &body, now_us, &reply);
			bytes_clear(&body);
			bytes_clear(&reply);
		}
	}
	for (now = 0; now < 2; now++) {
		json_t *rows;
		struct windows *none = windows_new();
		struct report_situation situation = { .usage = holder,
						      .windows = none };

		rows = report_figures(&situation, now);
		sums += codec_int(json_array_get(rows, 0), "requests", 0);
		json_decref(rows);
		windows_free(none);
	}
	g_assert_cmpint(sums, >=, 9);
	g_assert_cmpint(usage_lost_us(copy, 1, 15 * SITE_SECOND_US), ==,
			10 * SITE_SECOND_US);
	usage_free(copy);
	usage_free(holder);
}

/* Deliver one message of `from` to `to`, and its reply, unless it is lost. */
static bool pass_on(struct usage *from, struct usage *to, int64_t now_us,
		    bool lost)
{
	struct bytes body = { 0 };
	struct bytes reply = { 0 };
	bool sent = usage_next_message(from, 2, now_us, 1024, &body);

	if (sent && !lost) {
		usage_receive(to, 1, &body, now_us, &reply);
		usage_receive(from, 2, &reply, now_us, NULL);
	}
	bytes_clear(&body);
	bytes_clear(&reply);
	return sent;
}

/*
 * A link breaks while a message is in flight; the next message arrives. The
 * receiver must not acknowledge past the gap, or the lost counts would stay
 * unknown until the same organisation is counted again.
 */
static void message_lost_with_its_link_is_sent_again(void)
{
	struct usage *usage = usage_new(1, 1);
	struct usage *holder = usage_new(2, 1);
	struct usage_counters one = { .requests = 1 };
	int64_t second;

	usage_peers(usage, 2, 0);
	usage_tick(usage, WINDOW_US, FIRST_US, 0);
	usage_count(usage, "yard", "caption", &one);
	g_assert_true(pass_on(usage, holder, 0, true));
	usage_count(usage, "college", "caption", &one);
	for (second = 1; second <= 5; second++)
		while (pass_on(usage, holder, second * SITE_SECOND_US, false))
			;
	g_assert_cmpuint(usage_rows(holder), ==, 2);
	usage_free(usage);
	usage_free(holder);
}

/*
 * A VM's wall clock steps an hour ahead for half a minute, as after a resume on
 * a host with a wrong clock. The VM must count nothing into the windows of that
 * hour. It follows a step that lasts, but never backwards.
 */
static void leap_of_a_clock_moves_no_window_at_once(void)
{
	struct usage *usage = usage_new(1, 1);
	int64_t leap = 360 * WINDOW_US;
	int64_t now;

	usage_tick(usage, WINDOW_US, FIRST_US, 0);
	for (now = 1; now <= 30; now++)
		usage_tick(usage, WINDOW_US,
			   FIRST_US + leap + now * SITE_SECOND_US,
			   now * SITE_SECOND_US);
	g_assert_cmpint(usage_window(usage), ==, FIRST_US / WINDOW_US + 3);
	usage_tick(usage, WINDOW_US, FIRST_US + 31 * SITE_SECOND_US,
		   31 * SITE_SECOND_US);
	for (now = 32; now <= 100; now++)
		usage_tick(usage, WINDOW_US,
			   FIRST_US + leap + now * SITE_SECOND_US,
			   now * SITE_SECOND_US);
	g_assert_cmpint(usage_window(usage), ==,
			(FIRST_US + leap) / WINDOW_US + 10);
	usage_tick(usage, WINDOW_US, FIRST_US, 101 * SITE_SECOND_US);
	g_assert_cmpint(usage_window(usage), ==,
			(FIRST_US + leap) / WINDOW_US + 10);
	usage_free(usage);
}

/*
 * The lease holder's clock is permanently a day ahead. If it closed the windows
 * that are over by its clock, no figures could be committed any more for the
 * windows that the other two VMs are still in.
 */
static void holder_a_day_ahead_closes_nothing_early(void)
{
	struct usage *holder = usage_new(1, 1);
	struct windows *windows = windows_new();
	struct report *report = report_new();
	uint64_t members[] = { 1, 2, 3 };
	struct report_situation situation = { .usage = holder,
					      .windows = windows,
					      .members = members,
					      .n_members = 3,
					      .window_us = WINDOW_US,
					      .grace_us = GRACE_US };
	struct usage_counters one = { .requests = 1 };
	struct bytes body = { 0 };
	struct bytes reply = { 0 };
	uint64_t other;

	usage_tick(holder, WINDOW_US, FIRST_US + 8640 * WINDOW_US, 0);
	for (other = 2; other <= 3; other++) {
		struct usage *usage = usage_new(other, 1);

		usage_tick(usage, WINDOW_US, FIRST_US, 0);
		usage_peers(usage, 1, 0);
		usage_count(usage, "yard", "caption", &one);
		usage_next_message(usage, 1, 0, 1024, &body);
		usage_receive(holder, other, &body, 0, &reply);
		bytes_clear(&body);
		bytes_clear(&reply);
		usage_free(usage);
	}
	for (; situation.now_us < 3 * GRACE_US;
	     situation.now_us += SITE_SECOND_US)
		g_assert_cmpint(report_due(report, &situation), ==, -1);
	report_free(report);
	windows_free(windows);
	usage_free(holder);
}

/* The platform's answers for one committed window, and which are retried. */
static void platform_answer_lost_doubled_and_refused(void)
{
	struct windows *windows = windows_new();
	struct report *report = report_new();
	json_t *rows = json_pack("[{s:s s:i s:i s:i s:n}]", "name", "yard",
				 "requests", 1, "prompt_tokens", 2,
				 "output_tokens", 3, "correction_of");
	struct effects effects;
	struct effect *first;
	struct effect *again;
	bool accepted;
	int i;

	effects_init(&effects);
	windows_commit(windows, 7, rows);
	report_tick(report, windows, 4, SITE_SECOND_US, 0, &effects);
	g_assert_null(effects_take(&effects)); /* the lease ends before */
	report_tick(report, windows, 4, 9 * SITE_SECOND_US, 0, &effects);
	first = effects_take(&effects);
	g_assert_cmpint(report_answer(report, "usage-7",
				      RESULT_PLATFORM_UNKNOWN, &accepted),
			==, -1);
	report_tick(report, windows, 4, INT64_MAX, 30 * SITE_SECOND_US,
		    &effects);
	again = effects_take(&effects);
	g_assert_cmpstr(first->u.platform_call.order_id, ==, "usage-7");
	g_assert_true(bytes_equal(&first->u.platform_call.body,
				  &again->u.platform_call.body));
	g_assert_cmpint(report_answer(report, "usage-6", RESULT_OK, &accepted),
			==, -1);
	for (i = 0; i < 2; i++)
		g_assert_cmpint(report_answer(report, "usage-7",
					      RESULT_PLATFORM_REFUSED,
					      &accepted),
				==, -1);
	g_assert_cmpint(report_answer(report, "usage-7",
				      RESULT_PLATFORM_REFUSED, &accepted),
			==, 7);
	g_assert_false(accepted);
	g_assert_cmpint(windows_settle(windows, 7, false), ==, RESULT_OK);
	g_assert_cmpint(windows_settle(windows, 7, true), ==, RESULT_NOT_FOUND);
	g_assert_cmpint(windows_commit(windows, 7, rows), ==, RESULT_CONFLICT);
	effect_free(first);
	effect_free(again);
	json_decref(rows);
	report_free(report);
	windows_free(windows);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/usage/quiet", quiet_site_bills_all_in_time);
	g_test_add_func("/usage/loss",
			loss_of_a_vm_loses_at_most_the_last_second);
	g_test_add_func("/usage/gap", message_lost_with_its_link_is_sent_again);
	g_test_add_func("/usage/leap", leap_of_a_clock_moves_no_window_at_once);
	g_test_add_func("/usage/ahead",
			holder_a_day_ahead_closes_nothing_early);
	g_test_add_func("/usage/platform",
			platform_answer_lost_doubled_and_refused);
	g_test_add_func("/usage/faults",
			usage_is_billed_once_through_1000_windows);
	return g_test_run();
}
