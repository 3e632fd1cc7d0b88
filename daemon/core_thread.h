#ifndef FILBERTHALL_DAEMON_CORE_THREAD_H
#define FILBERTHALL_DAEMON_CORE_THREAD_H

#include <stdio.h>

#include "core/core.h"
#include "daemon/edge.h"

/**
 * The core thread: takes events from the edges' queue, in order, hands each
 * with the present time to the reducer, and passes the effects on.
 */
struct core_thread;

struct core_thread_options {
	struct core *core; /**< taken over */
	FILE *recording;   /**< events are written here, or NULL */
	/** Carry one effect out; takes it over. On the core thread. */
	void (*carry_out)(void *data, struct effect *effect);
	void *data;
};

/** A queue that takes events already; the thread starts later. */
struct core_thread *core_thread_new(void);

/** Where edges post events. */
const struct edge_sink *core_thread_sink(struct core_thread *thread);

/**
 * Run until EFFECT_EXIT came; in the caller's thread.
 *
 * @param effects	what core_new() made, carried out first
 */
void core_thread_run(struct core_thread *thread,
		     const struct core_thread_options *options,
		     struct effects *effects);

/** Free the queue and the core. No edge may post any more. */
void core_thread_free(struct core_thread *thread);

#endif
