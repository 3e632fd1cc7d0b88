#ifndef FILBERTHALL_DAEMON_HTTP_SERVER_H
#define FILBERTHALL_DAEMON_HTTP_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "daemon/acceptor.h"
#include "daemon/http/http_parse.h"
#include "daemon/http/stream.h"

/**
 * Listens for HTTP/1.1 on one address, in the thread of its loop. One
 * request of a connection at a time is handed over, whole; those behind it
 * wait unread. Bytes and framing only: what an answer says is others' matter.
 */
struct http_server;

/** A request that has been read, until it is answered or its caller leaves. */
struct http_exchange;

/** Bounds of what may be sent here; may change while it runs. */
struct http_limits {
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_ms; /**< for a request's head and body to come in */
	int64_t idle_ms;   /**< a kept connection without a request */
};

/** A request's body with its claim; whoever has it clears it. */
struct http_body {
	struct bytes bytes;
	struct memory_claim claim;
};

void http_body_clear(struct http_body *body);

struct http_server_hooks {
	/** A request was read whole. */
	void (*request)(void *data, struct http_exchange *exchange);
	/**
	 * The caller has gone before the answer's end; the exchange is freed
	 * after this call. NULL for an owner that answers at once.
	 */
	void (*left)(void *data, struct http_exchange *exchange);
	void *data;
};

/** Returns NULL after a message to `handler`. */
struct http_server *http_server_start(struct stream_loop *loop,
				      const char *address,
				      const struct http_limits *limits,
				      const struct http_server_hooks *hooks,
				      const struct error_handler *handler);

/** The port really bound. */
int http_server_port(const struct http_server *server);

/** What it holds, and what became of connections that came in. */
struct http_server_view {
	int open;
	bool full; /**< a connection waits, and none of those open is idle */
	struct acceptor_view accepted;
};

struct http_server_view http_server_view(const struct http_server *server);

void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits);

/**
 * Bound the connections. For one more than that the one that has been idle
 * longest is closed; while none is, those that come wait in the listen queue.
 * Without the memory for so many there are fewer.
 */
void http_server_set_most(struct http_server *server, int connections);

/**
 * Close the connection that has been idle longest, as on
 * http_server_close_idle(); false if there is none.
 */
bool http_server_close_longest_idle(struct http_server *server);

/** Bytes of memory that a request takes for each one of its body; 1 if unset. */
void http_server_set_weight(struct http_server *server, enum memory_use use,
			    int weight);

/**
 * Close the connection that has held bytes longest: an unfinished request gets
 * a 503, an answer that isn't read is cut.
 *
 * Returns false if none has held any for `held_ms`.
 */
bool http_server_close_longest_held(struct http_server *server,
				    int64_t held_ms);

/** From now on answers end their connections: a planned stop. */
void http_server_wind_down(struct http_server *server);

/**
 * Close kept connections on which nothing has been asked. A request that
 * crosses this isn't read, so its caller may send it again elsewhere.
 */
void http_server_close_idle(struct http_server *server);

/** Bytes of answers that wait to be written, and of how many connections. */
struct http_server_unwritten {
	size_t bytes;
	int connections;
};
struct http_server_unwritten
http_server_unwritten(const struct http_server *server);

/** Close everything. */
void http_server_stop(struct http_server *server);

const struct http_head *
http_exchange_head(const struct http_exchange *exchange);
const struct bytes *http_exchange_body(const struct http_exchange *exchange);

/** Take the body over; the exchange has an empty one then. */
void http_exchange_take_body(struct http_exchange *exchange,
			     struct http_body *body);

/** A pointer of the owner's. */
void http_exchange_set_user(struct http_exchange *exchange, void *user);
void *http_exchange_user(const struct http_exchange *exchange);

/**
 * Answer whole. Frees the exchange.
 *
 * @param headers	lines, each with its CRLF, without lengths; may be NULL
 * @param body		may be NULL
 */
void http_exchange_answer(struct http_exchange *exchange, int status,
			  const char *headers, const struct bytes *body);

/**
 * The answer has neither a length nor chunks: it ends with its connection, which
 * is reset if it is cut.
 */
void http_exchange_unframe(struct http_exchange *exchange);

/** Begin an answer that comes in pieces. */
void http_exchange_begin(struct http_exchange *exchange, int status,
			 const char *headers);
void http_exchange_piece(struct http_exchange *exchange, const char *data,
			 size_t len);

/** The answer is whole. Frees the exchange. */
void http_exchange_end(struct http_exchange *exchange);

/** The answer breaks off: the caller sees that. Frees the exchange. */
void http_exchange_cut(struct http_exchange *exchange);

#endif
