#ifndef FILBERTHALL_DAEMON_MAILBOX_H
#define FILBERTHALL_DAEMON_MAILBOX_H

#include <ev.h>

#include "daemon/edge.h"

/**
 * Events of other threads (links, disk) on their way into an event loop: a
 * queue with one wake-up for whatever has gathered.
 */
struct mailbox;

/** `take` gets each event in the loop's thread and takes it over. */
struct mailbox *mailbox_new(struct ev_loop *ev,
			    void (*take)(void *data, struct event *event),
			    void *data);

/** Nobody may post any more. */
void mailbox_free(struct mailbox *mailbox);

/** Drop what is queued: those that posted it are gone. */
void mailbox_drop(struct mailbox *mailbox);

const struct edge_sink *mailbox_sink(struct mailbox *mailbox);

#endif
