#include "usage/report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"

/*
 * The platform refuses a valid lease holder only for its figures, never for
 * its fencing number. An answer may arrive after the lease holder changed, so
 * the report is abandoned only after this many consecutive refusals.
 */
#define REPORT_REFUSALS 3

struct report {
	int64_t closing;    /**< window in its grace period, -1 for none */
	int64_t closing_us; /**< when most daemons had passed it */
	int64_t window;	    /**< being reported, -1 for none */
	int64_t next_us;    /**< earliest time to resend */
	int64_t retry_us;   /**< delay after the next loss */
	int refusals;
};

struct report *report_new(void)
{
	struct report *report = xcalloc(1, sizeof(*report));

	report_reset(report);
	return report;
}

void report_free(struct report *report)
{
	free(report);
}

void report_reset(struct report *report)
{
	memset(report, 0, sizeof(*report));
	report->window = -1;
	report->closing = -1;
	report->retry_us = REPORT_RETRY_US;
}

static int report_compare(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left < right) - (left > right);
}

/* The latest window that most daemons have reached. */
static int64_t report_present(const struct report_situation *situation)
{
	cleanup(free_ptr) int64_t *windows =
		xcalloc((size_t)situation->n_members + 1, sizeof(*windows));
	int n = situation->n_members;
	int i;

	for (i = 0; i < n; i++)
		windows[i] = usage_member_window(situation->usage,
						 situation->members[i]);
	qsort(windows, (size_t)n, sizeof(*windows), report_compare);
	return n ? windows[n / 2] : -1;
}

/*
 * The first window that isn't committed. On a new site that is the oldest one
 * with counts. A site that was down for longer than late counts are kept skips
 * the windows that no daemon can have counts for.
 */
static int64_t report_candidate(const struct report_situation *situation,
				int64_t present)
{
	int64_t oldest = usage_oldest(situation->usage);
	int64_t next = windows_last(situation->windows) + 1;

	if (!next)
		next = oldest >= 0 ? oldest : present;
	if (next < present - WINDOWS_KEPT)
		next = present - WINDOWS_KEPT;
	return next;
}

static bool report_all_passed(const struct report_situation *situation,
			      int64_t window)
{
	int i;

	for (i = 0; i < situation->n_members; i++)
		if (!usage_passed(situation->usage, situation->members[i],
				  window))
			return false;
	return true;
}

int64_t report_due(struct report *report,
		   const struct report_situation *situation)
{
	int64_t present = report_present(situation);
	int64_t window = report_candidate(situation, present);

	if (window < 0 || window >= present)
		return -1;
	if (report->closing != window) {
		report->closing = window;
		report->closing_us = situation->now_us;
	}
	if (report_all_passed(situation, window) ||
	    situation->now_us - report->closing_us >= situation->grace_us)
		return window;
	return -1;
}

/* Collects the rows of a window's figures. */
struct report_rows {
	const struct windows *windows;
	json_t *rows;
	int64_t window; /**< window of the sums */
	bool correction;
};

static int64_t report_rest(int64_t counted, int64_t billed)
{
	return counted > billed ? counted - billed : 0;
}

static void report_add_row(void *data, const char *organisation,
			   const struct usage_counters *sum)
{
	struct report_rows *figures = data;
	struct window_row billed;
	json_int_t requests;
	json_int_t prompt_tokens;
	json_int_t output_tokens;

	windows_billed(figures->windows, figures->window, organisation,
		       &billed);
	requests = report_rest(sum->requests, billed.requests);
	prompt_tokens = report_rest(sum->prompt_tokens, billed.prompt_tokens);
	output_tokens = report_rest(sum->output_tokens, billed.output_tokens);
	if (!requests && !prompt_tokens && !output_tokens)
		return;
	json_array_append_new(
		figures->rows,
		json_pack("{ss sI sI sI so}", "name", organisation, "requests",
			  requests, "prompt_tokens", prompt_tokens,
			  "output_tokens", output_tokens, "correction_of",
			  figures->correction ? json_integer(figures->window)
					      : json_null()));
}

json_t *report_figures(const struct report_situation *situation, int64_t window)
{
	struct report_rows figures = {
		.windows = situation->windows,
		.rows = json_array(),
		.window = window,
	};

	usage_visit_sums(situation->usage, window, report_add_row, &figures);
	figures.correction = true;
	for (figures.window = window - WINDOWS_KEPT; figures.window < window;
	     figures.window++)
		if (windows_keeps(situation->windows, figures.window))
			usage_visit_sums(situation->usage, figures.window,
					 report_add_row, &figures);
	return figures.rows;
}

static void report_send(const struct windows *windows, int64_t window,
			int64_t fence, int64_t until_us,
			struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_PLATFORM_CALL);
	struct effect_platform_call *call = &effect->u.platform_call;
	cleanup(free_ptr) char *text = NULL;
	json_t *body;

	call->order_id = xstrfmt("usage-%lld", (long long)window);
	call->verb = xstrdup("report");
	call->fence = fence;
	call->timeout_ms = REPORT_TIMEOUT_MS;
	call->until_us = until_us;
	body = json_pack("{ss sI sI sO}", "report_id", call->order_id, "fence",
			 (json_int_t)fence, "window", (json_int_t)window,
			 "organisations", windows_rows(windows, window));
	text = json_dumps(body, JSON_COMPACT);
	bytes_append_text(&call->body, text);
	json_decref(body);
}

/*
 * A call that lasts longer than the lease could reach the platform while the
 * next lease holder reports too. So a call is made only if its time-out ends
 * before the lease does.
 */
void report_tick(struct report *report, const struct windows *windows,
		 int64_t fence, int64_t until_us, int64_t now_us,
		 struct effects *effects)
{
	int64_t window = windows_unsettled(windows);

	if (window != report->window) {
		report->window = window;
		report->next_us = 0;
		report->retry_us = REPORT_RETRY_US;
		report->refusals = 0;
	}
	if (window < 0 || now_us < report->next_us ||
	    now_us + REPORT_TIMEOUT_MS * INT64_C(1000) > until_us)
		return;
	report_send(windows, window, fence, until_us, effects);
	report->next_us =
		now_us + REPORT_TIMEOUT_MS * INT64_C(1000) + report->retry_us;
	report->retry_us *= 2;
	if (report->retry_us > REPORT_RETRY_MAX_US)
		report->retry_us = REPORT_RETRY_MAX_US;
}

int64_t report_answer(struct report *report, const char *order_id,
		      enum result code, bool *accepted)
{
	char expected[32];

	snprintf(expected, sizeof(expected), "usage-%lld",
		 (long long)report->window);
	if (report->window < 0 || !order_id || strcmp(order_id, expected) != 0)
		return -1;
	*accepted = code == RESULT_OK;
	if (code == RESULT_PLATFORM_REFUSED)
		report->refusals++;
	else
		report->refusals = 0;
	if (code == RESULT_OK || report->refusals >= REPORT_REFUSALS)
		return report->window;
	return -1;
}
