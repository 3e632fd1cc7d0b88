#ifndef FILBERTHALL_DAEMON_CALLER_WATCH_H
#define FILBERTHALL_DAEMON_CALLER_WATCH_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/map.h"
#include "daemon/http/exchange.h"

/**
 * Watches the sockets of callers for two failures that libmicrohttpd doesn't
 * see. A caller hangs up while its connection is suspended: the library
 * reports it only at the next resume, and meanwhile the request holds a slot
 * of a backend server for nobody. A caller sends a byte now and then: it
 * never idles long enough for the library's time-out and holds a connection
 * for good. One thread polls for the first and sweeps for the second.
 *
 * A caller that shuts down only its sending half counts as gone: it can't be
 * told from one that closed until something is written to it.
 */
struct caller_watch;

/** One connection of the HTTP library. */
struct caller_socket;

/** `read_us`: a request must be read whole within this time. */
struct caller_watch *caller_watch_start(int64_t read_us,
					struct edge_counters *counters);
void caller_watch_stop(struct caller_watch *watch);

/** A connection was accepted; it is now reading its first request. */
struct caller_socket *caller_watch_add(struct caller_watch *watch, int fd);

/** The connection is about to be closed. */
void caller_watch_remove(struct caller_socket *socket);

/** A request was read whole: from now on a hang-up ends `exchange`. */
void caller_watch_attach(struct caller_socket *socket,
			 struct exchange *exchange);

/** The answer is out; the connection reads its next request. */
void caller_watch_detach(struct caller_socket *socket);

#endif
