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
 * An entry VM counts what it sees and tells all control VMs its totals, again
 * and again while a window is young; a total that is told twice changes
 * nothing. A control VM keeps them by entry VM and adds them up. So neither a
 * lost message nor a new leader loses a count, and an entry VM that dies takes
 * only what it counted since it last told: a tenth of a second's worth.
 */

/** Windows that are kept: what is older has long been reported. */
#define BEGUN_WINDOWS 12

struct begun_window {
	struct list node;
	int64_t window;
	bool send_pending;  /**< entry VM: counted since it was told */
	struct map sources; /**< what each daemon has counted */
};

struct begun {
	struct list windows; /**< the newest first */
};

void begun_init(struct begun *begun);
void begun_clear(struct begun *begun);

/** Entry VM: a request of the organisation began in that window. */
void begun_add(struct begun *begun, int64_t window, const char *organisation);

/** Entry VM: write the next window to be sent as FEED_BEGUN; false if none is. */
bool begun_tell(struct begun *begun, struct bytes *out);

/** Entry VM: tell everything again, to a control VM that has just come up. */
void begun_tell_again(struct begun *begun);

/** Control VM: what an entry VM has counted in a window, in all so far. */
void begun_take(struct begun *begun, uint64_t source,
		const struct feed_begun *told);

/** Control VM: the first window behind `after` with counts, 0 for none. */
int64_t begun_next(const struct begun *begun, int64_t after);

/** Control VM: totals of a window over all entry VMs; to be freed. */
struct feed_begun begun_total(const struct begun *begun, int64_t window);

/** Raise totals to those that were known before; `known` may be NULL. */
void begun_raise(struct feed_begun *total, const struct feed_begun *known);

#endif
