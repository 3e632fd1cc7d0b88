#ifndef FILBERTHALL_LOAD_OVERDUE_H
#define FILBERTHALL_LOAD_OVERDUE_H

#include <stdint.h>

/**
 * When the answer of a repeatable stream counts as lost.
 *
 * Load pattern: a backend server runs requests, and the answers of some are
 * lost on their way while it serves all others. Nothing closes the connection,
 * so the caller waits until its deadline and gets nothing. A second server
 * could have answered within a fraction of that time.
 *
 * The first event must be later by far than is usual now: on a busy pool all
 * first events are late, and sending the requests again would double its load.
 * The retry limit bounds what an error of this estimate costs.
 */

/** No attempt is given up earlier: most goals are missed by then anyway. */
#define OVERDUE_MIN_US INT64_C(1000000)

/** Nor earlier than this many times the mean time to the first event. */
#define OVERDUE_MEAN_RATIO 8.0

/** Microseconds without an event after which an attempt is overdue. */
int64_t overdue_wait_us(double mean_first_us);

#endif
