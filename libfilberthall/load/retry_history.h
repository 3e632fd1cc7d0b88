#ifndef FILBERTHALL_LOAD_RETRY_HISTORY_H
#define FILBERTHALL_LOAD_RETRY_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"
#include "load/retry.h"

/**
 * What processes of entry VMs have spent of the limit on retries, kept beyond
 * their end.
 *
 * Failure handled: entry VMs start again while servers reject. A new process
 * that knows nothing of the one before it has its whole part of the headroom
 * anew, and with each restart the retries of a window grow by another one.
 *
 * Each process reports to the control VMs what it is about to spend. These tell
 * the next process of that VM, which counts it as its own.
 */

#define RETRY_NAME_SIZE 72

/** What a process has spent for one pool. */
struct retry_report {
	char vm[RETRY_NAME_SIZE];
	uint64_t process;
	char pool[RETRY_NAME_SIZE];
	int64_t made_us;	    /**< by the process's clock */
	int64_t age_us;		    /**< since then */
	int64_t step_us;	    /**< length of a step of `window` */
	struct retry_window window; /**< by the process's clock */
};

struct retry_history {
	struct map records;
};

typedef void retry_history_visitor(void *data,
				   const struct retry_report *report);

void retry_history_init(struct retry_history *history);
void retry_history_clear(struct retry_history *history);

/** Keep a report; false if one as new is known of that process and pool. */
bool retry_history_merge(struct retry_history *history,
			 const struct retry_report *report, int64_t now_us);

/** Forget what has left the window. */
void retry_history_expire(struct retry_history *history, int64_t now_us);

/** Call `visit` for each report that is kept, with its present age. */
void retry_history_visit(const struct retry_history *history, int64_t now_us,
			 retry_history_visitor *visit, void *data);

/** Sum of all reports on a pool, by this VM's clock in steps of `step_us`. */
struct retry_window retry_history_sum(const struct retry_history *history,
				      const char *pool, int64_t step_us);

#endif
