#ifndef FAKES_SERVER_H
#define FAKES_SERVER_H

#include <stdbool.h>
#include <stddef.h>

#include "fakes/exchange.h"
#include "fakes/loop.h"

/**
 * HTTP server of the stand-ins: libmicrohttpd driven by a struct loop, with
 * answers that may come later, streams, and the connection faults that all
 * stand-ins share.
 */

struct MHD_Daemon;

/** Gets each request once it has been read whole. */
typedef void (*server_handle_fn)(void *data, struct exchange *exchange);

struct server {
	struct loop *loop;
	struct MHD_Daemon *daemon;
	struct loop_watch watch;
	server_handle_fn handle;
	void *data;
	struct list connections;
	struct list exchanges;
	char *address; /**< IP:port really bound */
};

/** One connection; the faults make it silent. */
struct server_connection {
	struct list node;
	struct server *server;
	struct loop_watch watch;
	int fd;
	struct exchange *exchange;
	bool silent;
	bool hung_up;
};

/**
 * Listen at `address` (IP:port, port 0 for any). Returns false and says why
 * on standard error if it can't.
 */
bool server_start(struct server *server, struct loop *loop, const char *address,
		  server_handle_fn handle, void *data);

/** Break off what is open and free the server. */
void server_stop(struct server *server);

/** Make all connections that are open now silent for good. */
void server_silence(struct server *server);

/** How many requests are being answered. */
size_t server_exchange_count(const struct server *server);

/** Write "address: ADDRESS" to `path`, whole or not at all. */
bool server_publish(const struct server *server, const char *path);

#endif
