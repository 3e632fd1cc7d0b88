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
 * What the one in charge does about usage: closes windows, and reports them.
 *
 * A window closes when all live daemons passed it, or `grace_us` after most of
 * them did. Present is where most daemons are: neither the holder's clock nor
 * any other single one decides it, since a holder whose clock has leaped ahead
 * would commit windows that the others still count into. Then its figures go into the log (the caller
 * proposes report_figures()); only when they are committed is the report
 * sent, and sent again unchanged, after REPORT_RETRY_US doubling up to
 * REPORT_RETRY_MAX_US, until the platform has acknowledged it. Reports go in
 * the order of windows, one at a time.
 */
#define REPORT_TIMEOUT_MS 2000
#define REPORT_RETRY_US INT64_C(3000000)
#define REPORT_RETRY_MAX_US INT64_C(60000000)

struct report;

struct report *report_new(void);
void report_free(struct report *report);

/** What decides whether a window may close. */
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
 * The window to commit now, or -1. The caller proposes an entry with
 * report_figures() and asks again only after that entry was applied or lost.
 */
int64_t report_due(struct report *report,
		   const struct report_situation *situation);

/**
 * Figures of a window as windows_commit() takes them: its sums, and as
 * corrections what came late for windows committed before. New array.
 */
json_t *report_figures(const struct report_situation *situation,
		       int64_t window);

/**
 * Send the report of the oldest committed window if one is due. Only under a
 * valid lease; `fence` is its fencing number. `until_us` is when the lease's
 * safe part ends: no call is made whose time-out would pass it.
 */
void report_tick(struct report *report, const struct windows *windows,
		 int64_t fence, int64_t until_us, int64_t now_us,
		 struct effects *effects);

/**
 * The platform's answer to a report, or that it was lost.
 *
 * Returns the window that is settled now, with `accepted` telling how (the
 * caller proposes entry_window_settled()), or -1 if it is to be sent again or
 * the answer is for something else.
 */
int64_t report_answer(struct report *report, const char *order_id,
		      enum result code, bool *accepted);

/** Forget what was sent: charge was lost or taken anew. */
void report_reset(struct report *report);

#endif
