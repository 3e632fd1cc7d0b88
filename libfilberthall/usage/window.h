#ifndef FILBERTHALL_USAGE_WINDOW_H
#define FILBERTHALL_USAGE_WINDOW_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"

/**
 * The agreed record of usage windows: which figures were committed for
 * which window, and whether the platform has them. Part of the agreed state.
 *
 * Failures handled: the answer to a report is lost, or the lease holder is
 * replaced between commit and report. The figures are committed before the
 * first report. Each lease holder then sends them unchanged under the same
 * report id until they are acknowledged, so no window is ever reported with
 * two sets of figures. Counts that arrive after their window was committed go
 * into a later window as a correction. The record contains how much of each
 * window was billed, including corrections, so that nothing is billed twice.
 *
 * Windows are numbered by wall clock: floor(time / length).
 */
struct windows;

/**
 * Committed windows whose billed totals are kept for late counts: a day of
 * one-hour windows. Regions are occasionally disconnected for an hour; counts
 * that are missing for more than a day were lost with their VM.
 */
#define WINDOWS_KEPT 24

/** A row of committed figures. */
struct window_row {
	const char *organisation;
	int64_t requests;
	int64_t prompt_tokens;
	int64_t output_tokens;
	int64_t correction_of; /**< -1 for the window itself */
};

enum window_state {
	WINDOW_OPEN,	  /**< not committed yet */
	WINDOW_COMMITTED, /**< reported until it is settled */
	WINDOW_ACCEPTED,
	WINDOW_REFUSED /**< the platform has other figures; logged */
};

struct windows *windows_new(void);
void windows_free(struct windows *windows);

/**
 * Commits a window's figures: an array of {"name", "requests",
 * "prompt_tokens", "output_tokens", "correction_of": N or null}. A window
 * without rows needs no report and is accepted at once.
 *
 * Returns RESULT_OK; RESULT_CONFLICT if this or a later window was committed
 * (the first figures stay); RESULT_MESSAGE_MALFORMED.
 */
enum result windows_commit(struct windows *windows, int64_t window,
			   const json_t *rows);

/** Settles a window. RESULT_NOT_FOUND unless it is committed and unsettled. */
enum result windows_settle(struct windows *windows, int64_t window,
			   bool accepted);

enum window_state windows_state(const struct windows *windows, int64_t window);

/** The last window committed, -1 for none. */
int64_t windows_last(const struct windows *windows);

/** The oldest window that is committed and not settled, or -1. */
int64_t windows_unsettled(const struct windows *windows);

/** The rows of a window that isn't settled, borrowed JSON, or NULL. */
const json_t *windows_rows(const struct windows *windows, int64_t window);

/**
 * Gets what has been billed for a window and organisation, with corrections.
 * Returns false if nothing was billed or the window is no longer kept.
 */
bool windows_billed(const struct windows *windows, int64_t window,
		    const char *organisation, struct window_row *billed);

/** Returns a new array of what was billed for a window per organisation. */
json_t *windows_figures(const struct windows *windows, int64_t window);

/** Whether late counts of a window can still be billed. */
bool windows_keeps(const struct windows *windows, int64_t window);

/** Calls `visit` for each window kept, in ascending order. */
void windows_visit(const struct windows *windows,
		   void (*visit)(void *data, int64_t window,
				 enum window_state state),
		   void *data);

json_t *windows_save(const struct windows *windows);
enum result windows_load(struct windows *windows, const json_t *saved);

#endif
