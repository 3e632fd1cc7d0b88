#ifndef FILBERTHALL_DAEMON_ROLE_WATCH_H
#define FILBERTHALL_DAEMON_ROLE_WATCH_H

#include <ev.h>
#include <stdint.h>

#include "base/bytes.h"
#include "daemon/http/http_client.h"
#include "daemon/http/http_server.h"
#include "daemon/link/link.h"
#include "daemon/log.h"

#define WATCH_LISTENERS 4

/**
 * What a process holds and how its loop turns: connections by listener, accept
 * errors, listen queues, descriptors in use, memory held for peers, the longest
 * turns. A line of the log at intervals, and metrics. While there is no memory
 * for more, the connections that have held bytes longest are closed.
 */
struct watch {
	struct ev_loop *ev;
	struct log *log;
	ev_check woken;
	ev_prepare sleeping;
	ev_timer timer;
	int64_t woken_us;
	int64_t turn_most_us; /**< since the last line */
	int64_t link_turn_most_us;
	int64_t turn_told_us; /**< the longest one of the last line */
	int64_t link_turn_told_us;
	struct {
		const char *name;
		struct http_server *server;
		int64_t failed; /**< at the last line */
	} listeners[WATCH_LISTENERS];
	int n_listeners;
	struct link_hub *links;	    /**< may be NULL */
	struct http_client *client; /**< may be NULL */
	struct memory *memory;	    /**< set before watch_start() */
	ev_timer room;		    /**< while memory is wanted */
	int64_t closed;		    /**< connections, for want of memory */
	int64_t refused_told;	    /**< claims refused until the last line */
};

void watch_start(struct watch *watch, struct ev_loop *ev, struct log *log);
void watch_stop(struct watch *watch);

/** The name must stay, and the listener while the loop runs. */
void watch_add_listener(struct watch *watch, const char *name,
			struct http_server *server);

/** Descriptors in use, but for those of files and of the loops. */
int watch_sockets(const struct watch *watch);

void watch_write_metrics(struct watch *watch, struct bytes *out);

#endif
