#ifndef FILBERTHALL_USAGE_BEGUN_H
#define FILBERTHALL_USAGE_BEGUN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/map.h"
#include "feed/feed.h"

/**
 * Requests that began to run, by usage window and organisation.
 *
 * An entry VM counts the requests it sees and sends its totals to all control
 * VMs repeatedly while a window is recent; receiving a total twice changes
 * nothing. A control VM stores the totals per entry VM and adds them up. So
 * neither a lost message nor a new leader loses a count, and the failure of an
 * entry VM loses only what it counted since its last message, a tenth of a
 * second earlier.
 */

/** Windows kept in memory; older ones have already been reported. */
#define BEGUN_WINDOWS 12

struct begun_window {
	struct list node;
	int64_t window;
	bool send_pending;  /**< entry VM: counted since last sent */
	struct map sources; /**< counts of each daemon */
};

struct begun {
	struct list windows; /**< newest first */
};

void begun_init(struct begun *begun);
void begun_clear(struct begun *begun);

/** Entry VM: counts a request of the organisation that began in `window`. */
void begun_add(struct begun *begun, int64_t window, const char *organisation);

/** Entry VM: writes the next pending window as FEED_BEGUN; false if none. */
bool begun_tell(struct begun *begun, struct bytes *out);

/** Entry VM: marks all windows for resending, after a control VM started. */
void begun_tell_again(struct begun *begun);

/** Control VM: stores an entry VM's totals of a window. */
void begun_take(struct begun *begun, uint64_t source,
		const struct feed_begun *told);

/** Control VM: the first window later than `after` with counts, 0 for none. */
int64_t begun_next(const struct begun *begun, int64_t after);

/** Control VM: totals of a window over all entry VMs; the caller frees them. */
struct feed_begun begun_total(const struct begun *begun, int64_t window);

/** Raises each total to at least the one in `known`, which may be NULL. */
void begun_raise(struct feed_begun *total, const struct feed_begun *known);

#endif
