#include "usage/report.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"

/*
 * A holder that is validly in charge is refused for its figures, never for
 * its fence; but an answer may have crossed a change of holder, so it takes
 * this many refusals in a row before the report is given up.
 */
#define REPORT_REFUSALS 3

struct report {
	int64_t window;	  /**< being reported, -1 for none */
	int64_t next_us;  /**< not sent again before */
	int64_t retry_us; /**< wait after the next loss */
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
	report->retry_us = REPORT_RETRY_US;
}

/*
 * The first window that isn't committed. On a new site that is the oldest
 * one with counts. A site that was down for longer than late counts are kept
 * skips what no daemon can have counts of.
 */
static int64_t report_candidate(const struct report_situation *situation)
{
	int64_t present = usage_window(situation->usage);
	int64_t oldest = usage_oldest(situation->usage);
	int64_t next = windows_last(situation->windows) + 1;

	if (!next)
		next = oldest >= 0 ? oldest : present;
	if (next < present - WINDOWS_KEPT)
		next = present - WINDOWS_KEPT;
	return next;
}

static int report_count_passed(const struct report_situation *situation,
			       int64_t window)
{
	int passed = 0;
	int i;

	for (i = 0; i < situation->n_members; i++)
		passed += usage_passed(situation->usage, situation->members[i],
				       window);
	return passed;
}

/*
 * The grace alone doesn't close a window: a holder whose clock has leaped
 * ahead would commit windows that the others are still in, and no figures
 * could be committed for them later. Half of the daemons must have passed it.
 */
int64_t report_due(const struct report *report,
		   const struct report_situation *situation)
{
	int64_t window = report_candidate(situation);
	int64_t end_us = (window + 1) * situation->window_us;
	int passed;

	if (window < 0 || window >= usage_window(situation->usage))
		return -1;
	passed = report_count_passed(situation, window);
	if (passed == situation->n_members)
		return window;
	if (situation->wall_us < end_us + situation->grace_us ||
	    2 * passed < situation->n_members)
		return -1;
	return window;
}

/* Rows of a window's figures as they are collected. */
struct report_rows {
	const struct windows *windows;
	json_t *rows;
	int64_t window; /**< of which the sums are */
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
			int64_t fence, struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_PLATFORM_CALL);
	struct effect_platform_call *call = &effect->u.platform_call;
	cleanup(free_ptr) char *text = NULL;
	json_t *body;

	call->order_id = xstrfmt("usage-%lld", (long long)window);
	call->verb = xstrdup("report");
	call->fence = fence;
	call->timeout_ms = REPORT_TIMEOUT_MS;
	body = json_pack("{ss sI sI sO}", "report_id", call->order_id, "fence",
			 (json_int_t)fence, "window", (json_int_t)window,
			 "organisations", windows_rows(windows, window));
	text = json_dumps(body, JSON_COMPACT);
	bytes_append_text(&call->body, text);
	json_decref(body);
}

/*
 * A call that outlives the lease could reach the platform while the next
 * holder reports too; so none is made that its time-out doesn't end before.
 */
void report_tick(struct report *report, const struct windows *windows,
		 int64_t fence, int64_t until_us, int64_t now_us,
		 struct effects *effects)
{
	int64_t window = windows_unsettled(windows);

	if (window != report->window) {
		report_reset(report);
		report->window = window;
	}
	if (window < 0 || now_us < report->next_us ||
	    now_us + REPORT_TIMEOUT_MS * INT64_C(1000) > until_us)
		return;
	report_send(windows, window, fence, effects);
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
	if (report->window < 0 || strcmp(order_id, expected) != 0)
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
