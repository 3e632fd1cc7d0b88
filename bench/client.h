#ifndef BENCH_CLIENT_H
#define BENCH_CLIENT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/list.h"
#include "bench/http_reader.h"
#include "fakes/loop.h"

/**
 * HTTP client for very many requests at once from one thread: non-blocking
 * sockets, kept open and used again.
 */

enum client_end {
	CLIENT_WHOLE,  /**< an answer came whole */
	CLIENT_CLOSED, /**< the connection ended before */
	CLIENT_LATE    /**< it took too long */
};

struct client_call;

/** What a call's owner is told; nothing more comes after `ended`. */
struct client_calls {
	void (*body)(struct client_call *call, const char *piece, size_t len);
	void (*ended)(struct client_call *call, enum client_end end);
};

/** One request; embedded in its owner's struct. */
struct client_call {
	const struct client_calls *calls;
	struct bytes request; /**< whole, from the request line on */
	int status;	      /**< of the answer, once it has come */
	char request_id[HTTP_READER_VALUE_SIZE];
	char run[HTTP_READER_VALUE_SIZE];
	struct loop_timer timer;
	struct client_connection *connection;
};

struct client_target {
	struct sockaddr_in at;
	struct list idle; /**< connections */
};

struct client {
	struct loop *loop;
	struct client_target *targets;
	size_t n_targets;
	size_t next_target; /**< they take turns, as by a balancer */
	int64_t timeout_us;
	struct list connections;
};

/** Set up for targets (IP:port); false and a message if one is no address. */
bool client_init(struct client *client, struct loop *loop, char *const *targets,
		 size_t n_targets, int64_t timeout_us);

/** Close all connections; calls under way are dropped. */
void client_clear(struct client *client);

/** Send a call; `ended` comes later in any case. */
void client_send(struct client *client, struct client_call *call);

#endif
