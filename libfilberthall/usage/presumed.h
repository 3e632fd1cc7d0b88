#ifndef FILBERTHALL_USAGE_PRESUMED_H
#define FILBERTHALL_USAGE_PRESUMED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/result.h"
#include "fleet/registry.h"
#include "usage/begun.h"

/**
 * Requests whose servers broke off without an answer.
 *
 * Failure answered: a server runs a request and its answer is lost; the usage
 * window lacks it. But a server that crashes breaks off as well, with requests
 * that it had not begun. Which of them it was shows a moment later: the one goes
 * on announcing itself. So such a request counts, in the window of the break,
 * once that start of the server was heard again, and else not at all.
 */
struct presumed {
	struct list items;
};

/** What is known when an attempt breaks off. */
struct presumed_break {
	uint64_t request;
	const struct registration *server; /**< the start that had it */
	const char *organisation;
	int64_t window;
};

void presumed_init(struct presumed *presumed);
void presumed_clear(struct presumed *presumed);

/**
 * Whether an attempt that ended like that may have been begun. A break that
 * comes at once is of the connection, not of the request.
 *
 * @param code	how the attempt ended
 * @param sent	a byte may have left this VM
 * @param us	since the attempt was started
 */
bool presumed_possible(enum result code, bool sent, int64_t us);

void presumed_add(struct presumed *presumed, const struct presumed_break *what,
		  int64_t now_us);

/** The request has begun elsewhere and is counted: forget it here. */
void presumed_drop(struct presumed *presumed, uint64_t request);

/**
 * Count those whose servers were heard again, forget those whose servers
 * weren't for long. Calls `counted` with each request that counts.
 */
void presumed_tick(struct presumed *presumed, const struct registry *registry,
		   int64_t now_us,
		   void (*counted)(void *data, uint64_t request,
				   const char *organisation, int64_t window),
		   void *data);

#endif
