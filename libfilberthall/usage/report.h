#ifndef FILBERTHALL_USAGE_REPORT_H
#define FILBERTHALL_USAGE_REPORT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/effect.h"
#include "usage/merge.h"
#include "usage/window.h"

/**
 * The lease holder's part of usage accounting: closes windows and reports
 * them to the platform.
 *
 * A window closes when all live daemons have passed it, or `grace_us` after
 * most of them have. The current window is the one that most daemons have
 * reached. No single clock decides it, since a lease holder whose clock is
 * ahead would commit windows that the others still count into. The figures of
 * a closed window are written to the log (the caller proposes
 * report_figures()). Once they are committed, the report is sent, and resent
 * unchanged after REPORT_RETRY_US, doubling up to REPORT_RETRY_MAX_US, until
 * the platform has acknowledged it. Reports are sent in the order of windows,
 * one at a time.
 */
#define REPORT_TIMEOUT_MS 2000
#define REPORT_RETRY_US INT64_C(3000000)
#define REPORT_RETRY_MAX_US INT64_C(60000000)

struct report;

struct report *report_new(void);
void report_free(struct report *report);

/** Input for the decision whether a window may close. */
struct report_situation {
	const struct usage *usage;
	const struct windows *windows;
	const uint64_t *members; /**< live daemons, this one included */
	int n_members;
	int64_t window_us;
	int64_t grace_us;
	int64_t now_us;
};

/**
 * Returns the window to commit now, or -1. The caller proposes an entry with
 * report_figures() and calls this again only after the entry was applied or
 * lost.
 */
int64_t report_due(struct report *report,
		   const struct report_situation *situation);

/**
 * Returns a new array with the figures of a window in the format of
 * windows_commit(): its sums, and corrections for counts that arrived after
 * their window was committed.
 */
json_t *report_figures(const struct report_situation *situation,
		       int64_t window);

/**
 * Sends the report of the oldest committed window if one is due. Requires a
 * valid lease with the fencing number `fence`. The lease is safe to use until
 * `until_us`: no call is made whose time-out would end later.
 */
void report_tick(struct report *report, const struct windows *windows,
		 int64_t fence, int64_t until_us, int64_t now_us,
		 struct effects *effects);

/**
 * Processes the platform's answer to a report, or the loss of the answer.
 *
 * Returns the window that is now settled and sets `accepted` (the caller
 * proposes entry_window_settled()), or -1 if the report has to be resent or
 * the answer belongs to another call.
 */
int64_t report_answer(struct report *report, const char *order_id,
		      enum result code, bool *accepted);

/** Clears the state of sent reports, after the lease was lost or acquired. */
void report_reset(struct report *report);

#endif
