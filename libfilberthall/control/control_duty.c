/*
 * The duty of the one in charge: each usage window is added up, its figure
 * agreed through the log, and only then reported.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "control/control_state.h"

/*
 * How long after its end a window is added up. Entry VMs send their counts
 * every tenth of a second; two seconds cover a link that has to be set up
 * again.
 */
#define SETTLE_US INT64_C(2000000)

/* What a figure needs to be agreed and reported, one lost call included. */
#define REPORT_US INT64_C(1500000)

/* A window this old is no use to anybody any more. */
#define WINDOW_OLD_US INT64_C(60000000)

/* One call to the platform; it must fit into the lease with room to spare. */
#define CALL_MS INT64_C(1000)

/* Pauses between tries, doubled each time up to the second. */
#define AGAIN_FIRST_US INT64_C(250000)
#define AGAIN_LAST_US INT64_C(4000000)

/* A proposal that isn't applied by then is made again. */
#define PROPOSED_US INT64_C(2000000)

/* A new holder repeats what was agreed so lately; repeats are ignored. */
#define REPEAT_WINDOWS 3

void control_drop_reports(struct control *control)
{
	struct control_report *report;
	struct control_report *next;

	list_foreach_safe(report, next, &control->reports, node) {
		list_remove(&report->node);
		free(report);
	}
}

static struct control_report *report_find(struct control *control,
					  int64_t window)
{
	struct control_report *report;

	list_foreach(report, &control->reports, node)
		if (report->window == window)
			return report;
	return NULL;
}

static void report_add(struct control *control, int64_t window)
{
	struct control_report *report;

	if (report_find(control, window))
		return;
	report = xcalloc(1, sizeof(*report));
	report->window = window;
	list_append(&control->reports, &report->node);
}

void control_window_applied(struct control *control)
{
	control->window_pending = 0;
	if (control->in_charge)
		report_add(control, control->ledger.applied_window);
}

/*
 * How long after its end a window is added up now. Counts of entry VMs that are
 * cut off are waited for as long as the report may wait.
 */
static int64_t settle_us(struct control *control, int64_t now_us)
{
	int64_t patience_us = control->options.due_us - REPORT_US;

	return patience_us > SETTLE_US &&
			       roster_awaited(&control->roster, now_us)
		       ? patience_us
		       : SETTLE_US;
}

/* The next window that anything is known of, here or in the log. */
static int64_t known_window(const struct control *control, int64_t after)
{
	int64_t told = begun_next(&control->begun, after);
	int64_t counted = ledger_next_counted(&control->ledger, after);

	return counted && (!told || counted < told) ? counted : told;
}

typedef const struct feed_begun *window_lookup(const struct ledger *ledger,
					       int64_t window);

/*
 * The first window that ended `settled_us` ago and that the log has nothing of
 * yet, 0 if there is none. One without counts is checked again: entry VMs
 * may report it late, and those whose clock was wrong have counted in another
 * one.
 */
static int64_t next_window(const struct control *control, window_lookup *has,
			   int64_t settled_us, int64_t wall_us)
{
	int64_t length_us = control->options.window_us;
	int64_t newest = (wall_us - settled_us) / length_us - 1;
	int64_t window = (wall_us - WINDOW_OLD_US) / length_us - 1;

	while ((window = known_window(control, window)))
		if (window > newest || !has(&control->ledger, window))
			break;
	return window <= newest ? window : 0;
}

/* A figure, or what was counted before there was one. */
static const struct feed_begun *any_counts(const struct ledger *ledger,
					   int64_t window)
{
	const struct feed_begun *figure = ledger_window(ledger, window);

	return figure ? figure : ledger_counted(ledger, window);
}

static bool propose_entry(struct control *control, struct bytes *entry,
			  int64_t window, int64_t now_us,
			  struct effects *effects)
{
	int64_t index;
	int64_t term;
	enum result code = raft_propose(control->raft, entry->data, entry->len,
					now_us, effects, &index, &term);

	bytes_clear(entry);
	if (code)
		return false;
	control->window_pending = window;
	control->window_us = now_us;
	return true;
}

static void propose_figure(struct control *control, int64_t window,
			   int64_t wall_us, int64_t now_us,
			   struct effects *effects)
{
	int64_t end_us = (window + 1) * control->options.window_us;
	struct feed_begun total = begun_total(&control->begun, window);
	struct bytes entry = { 0 };

	begun_raise(&total, ledger_counted(&control->ledger, window));
	ledger_write_window(&entry, &total);
	feed_begun_clear(&total);
	if (!propose_entry(control, &entry, window, now_us, effects))
		return;
	control_log(effects, LOG_INFO, "duty",
		    "event=added-up window=%lld after_ms=%lld absent=%d",
		    (long long)window, (long long)((wall_us - end_us) / 1000),
		    roster_awaited(&control->roster, now_us));
}

/* So that a window that waits isn't lost if all VMs lose power meanwhile. */
static void propose_counted(struct control *control, int64_t window,
			    int64_t now_us, struct effects *effects)
{
	struct feed_begun total = begun_total(&control->begun, window);
	struct bytes entry = { 0 };

	ledger_write_counted(&entry, &total);
	feed_begun_clear(&total);
	propose_entry(control, &entry, window, now_us, effects);
}

static void propose_window(struct control *control, int64_t wall_us,
			   int64_t now_us, struct effects *effects)
{
	int64_t window;

	if (control->window_pending &&
	    now_us - control->window_us < PROPOSED_US)
		return;
	control->window_pending = 0;
	window = next_window(control, ledger_window, settle_us(control, now_us),
			     wall_us);
	if (window) {
		propose_figure(control, window, wall_us, now_us, effects);
		return;
	}
	window = next_window(control, any_counts, SETTLE_US, wall_us);
	if (window)
		propose_counted(control, window, now_us, effects);
}

static void report_body(struct bytes *out, const struct feed_begun *total)
{
	json_t *counts = json_object();
	json_t *root = json_object();
	char *text;
	size_t i;

	for (i = 0; i < total->n_counts; i++)
		json_object_set_new(counts, total->counts[i].organisation,
				    json_integer(total->counts[i].requests));
	json_object_set_new(root, "window", json_integer(total->window));
	json_object_set_new(root, "counts", counts);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	bytes_append_text(out, text);
	free(text);
}

/** Whether the lease lasts long enough for a call to the platform. */
/* With a short lease less, so that a call fits in and time is left for more. */
static int64_t call_ms(const struct control *control)
{
	int64_t third_ms = control->options.lease_us / 3000;

	return third_ms < CALL_MS ? third_ms : CALL_MS;
}

bool control_may_call(const struct control *control, int64_t now_us)
{
	return lease_may_order(raft_lease(control->raft),
			       call_ms(control) * 1000, now_us);
}

/** A call of the one in charge; its id and body are the caller's to fill. */
struct effect_platform_call *
control_platform_call(const struct control *control, const char *verb,
		      struct effects *effects)
{
	const struct lease *lease = raft_lease(control->raft);
	struct effect_platform_call *call;

	call = &effects_add(effects, EFFECT_PLATFORM_CALL)->u.platform_call;
	call->verb = xstrdup(verb);
	call->fence = lease->term;
	call->timeout_ms = call_ms(control);
	call->until_us = lease_order_deadline(lease);
	return call;
}

static void send_report(struct control *control, struct control_report *report,
			const struct feed_begun *total, int64_t now_us,
			struct effects *effects)
{
	const struct lease *lease = raft_lease(control->raft);
	struct effect_platform_call *call;

	report->under_way = true;
	report->tries++;
	call = control_platform_call(control, "report", effects);
	call->order_id = xstrfmt("usage-%lld", (long long)report->window);
	report_body(&call->body, total);
	control_log(effects, LOG_INFO, "duty",
		    "event=report window=%lld try=%d fence=%lld lease_ms=%lld",
		    (long long)report->window, report->tries,
		    (long long)lease->term,
		    (long long)((lease->expires_us - now_us) / 1000));
}

static void send_reports(struct control *control, int64_t now_us,
			 struct effects *effects)
{
	struct control_report *report;
	struct control_report *next;

	list_foreach_safe(report, next, &control->reports, node) {
		const struct feed_begun *total =
			ledger_window(&control->ledger, report->window);

		if (!total) {
			list_remove(&report->node);
			free(report);
			continue;
		}
		if (report->under_way || now_us < report->next_us ||
		    !control_may_call(control, now_us))
			continue;
		send_report(control, report, total, now_us, effects);
	}
}

/* Just put in charge: the one before may not have got its reports through. */
static void repeat_reports(struct control *control, int64_t wall_us)
{
	int64_t window = wall_us / control->options.window_us - REPEAT_WINDOWS;

	for (; window <= control->ledger.last_window; window++)
		if (ledger_window(&control->ledger, window))
			report_add(control, window);
	control->repeated = true;
}

void control_duty_tick(struct control *control, int64_t now_us,
		       struct effects *effects)
{
	int64_t wall_us = wall_time_us(&control->wall, now_us);

	if (!control->options.report || !control->in_charge || !wall_us)
		return;
	if (!control->repeated)
		repeat_reports(control, wall_us);
	propose_window(control, wall_us, now_us, effects);
	send_reports(control, now_us, effects);
}

void control_platform_answer(struct control *control, const char *order_id,
			     enum result code, int64_t now_us,
			     struct effects *effects)
{
	struct control_report *report;
	int64_t pause_us = AGAIN_FIRST_US;
	int i;

	if (strncmp(order_id, "usage-", strlen("usage-")) != 0) {
		control_fleet_answer(control, order_id, code, now_us, effects);
		return;
	}
	report = report_find(control,
			     strtoll(order_id + strlen("usage-"), NULL, 10));
	if (!report)
		return;
	report->under_way = false;
	if (code == RESULT_OK) {
		control->reported++;
		list_remove(&report->node);
		free(report);
		return;
	}
	for (i = 1; i < report->tries && pause_us < AGAIN_LAST_US; i++)
		pause_us *= 2;
	report->next_us = now_us + pause_us;
	control_log(effects, LOG_WARN, "duty",
		    "event=report-failed window=%lld try=%d code=%d",
		    (long long)report->window, report->tries, code);
}
