#ifndef FILBERTHALL_USAGE_PRESUMED_H
#define FILBERTHALL_USAGE_PRESUMED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/result.h"
#include "fleet/registry.h"
#include "usage/begun.h"

/**
 * Requests whose connection to the server broke before an answer arrived.
 *
 * Failure handled: a server runs a request and its answer is lost, so the
 * request is missing from the usage window. A server that crashes breaks its
 * connections too, with requests that it had not begun. Only a server that
 * still runs continues to announce itself. So the request is counted, in the
 * window of the break, once the same start of the server has announced itself
 * again, and otherwise not at all.
 */
struct presumed {
	struct list items;
};

/** An attempt whose connection broke. */
struct presumed_break {
	uint64_t request;
	const struct registration
		*server; /**< the start of the server that had it */
	const char *organisation;
	int64_t window;
};

void presumed_init(struct presumed *presumed);
void presumed_clear(struct presumed *presumed);

/**
 * Whether the server may have begun an attempt that ended this way. A break
 * immediately after the start is a connection failure, not one of the request.
 *
 * @param code	how the attempt ended
 * @param sent	a byte may have been sent by this VM
 * @param us	microseconds since the start of the attempt
 */
bool presumed_possible(enum result code, bool sent, int64_t us);

void presumed_add(struct presumed *presumed, const struct presumed_break *what,
		  int64_t now_us);

/** Removes a request that began on another server and is counted there. */
void presumed_drop(struct presumed *presumed, uint64_t request);

/**
 * Counts the requests whose servers announced themselves again, and removes
 * those whose servers didn't in time. Calls `counted` for each one counted.
 */
void presumed_tick(struct presumed *presumed, const struct registry *registry,
		   int64_t now_us,
		   void (*counted)(void *data, uint64_t request,
				   const char *organisation, int64_t window),
		   void *data);

#endif
