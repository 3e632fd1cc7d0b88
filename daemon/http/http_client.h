#ifndef FILBERTHALL_DAEMON_HTTP_CLIENT_H
#define FILBERTHALL_DAEMON_HTTP_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "daemon/http/http_parse.h"
#include "daemon/http/stream.h"

/**
 * Sends HTTP/1.1 requests in the thread of its loop and keeps
 * connections for later ones, by address.
 *
 * Failures answered:
 * - A kept connection that the server is about to close: the request may or
 *   may not have been read. It is never sent again here; whoever asked decides
 *   and can ask for a new connection.
 * - A second or late answer on a kept connection would be handed to the next
 *   request. Answers carry the id of their request: one with another id is
 *   read over, and its connection isn't used again.
 * - Bytes behind an answer, or while nobody asked, spoil a connection.
 * - An answer that comes before the request is out: the rest of the request
 *   must not be taken for another one, so the connection isn't used again.
 * - Bytes without end that belong to no answer, or to one that nobody takes:
 *   the call ends after a bounded number of them.
 * - A connection that something in the middle has forgotten: unacknowledged
 *   bytes and unanswered keep-alive probes end it.
 */
struct http_client;
struct http_call;

struct http_client_options {
	/** Header in which a server repeats the request's id, or NULL. */
	const char *id_header;
	int64_t connect_ms;
	int64_t silent_ms; /**< without any sign of the peer's machine */
	int idle_most;	   /**< kept connections to one address */
};

struct http_call_hooks {
	/** The answer's head; informational ones are left out. */
	void (*head)(void *data, const struct http_head *head);
	void (*body)(void *data, const char *piece, size_t len); /**< or NULL */
	/**
	 * The call is over and freed after this. RESULT_OK once the answer is
	 * whole; BACKEND_CONNECT if nothing was sent; NO_DESCRIPTOR if that was
	 * for want of one here; BACKEND_TIMEOUT; BACKEND_BROKE if the answer is
	 * missing or cut.
	 */
	void (*end)(void *data, enum result code, bool sent);
};

struct http_call_request {
	const char *address;	  /**< IP:port */
	const struct bytes *head; /**< lines with the empty one at the end */
	const struct bytes *body; /**< copied; or NULL */
	/** Instead: sent in pieces, stays until the call is over; or NULL. */
	const struct bytes *lasting_body;
	const char *id; /**< expected in the answer, or NULL */
	bool fresh;	/**< only over a new connection */
	bool no_body;	/**< the answer has none: HEAD */
	int64_t timeout_ms;
};

struct http_client *http_client_new(struct stream_loop *loop,
				    const struct http_client_options *options);

/**
 * A new connection stands, or can't be made; one that wasn't tried for want of
 * a descriptor says nothing. Nothing of the client may be called from there.
 */
typedef void http_client_watcher(void *data, const char *address, bool stands);
void http_client_watch(struct http_client *client, http_client_watcher *watcher,
		       void *data);

/**
 * Bound the connections to all addresses; beyond it the one that has been idle
 * longest is closed. Where the system has no descriptor and none is idle,
 * `free_one` is to free one elsewhere; false if it can't.
 */
void http_client_bound(struct http_client *client, int most,
		       bool (*free_one)(void *data), void *data);

/** Ends all calls without telling. */
void http_client_free(struct http_client *client);

struct http_call *http_call_start(struct http_client *client,
				  const struct http_call_request *request,
				  const struct http_call_hooks *hooks,
				  void *data);

/** Give a call up: its connection is closed at once. No hook is called. */
void http_call_cancel(struct http_call *call);

/** Read no more of the answer than has been read, until http_call_go_on(). */
void http_call_pause(struct http_call *call);
void http_call_go_on(struct http_call *call);

/** End the call with BACKEND_TIMEOUT unless it is over within that time. */
void http_call_limit(struct http_call *call, int64_t ms);

/** Connect and close again, for the watcher to be told. */
void http_client_probe(struct http_client *client, const char *address);

/** Whether a byte of the request may have left. */
bool http_call_sent(const struct http_call *call);

/** Close kept connections to an address. */
void http_client_distrust(struct http_client *client, const char *address);

/** Connections opened so far. */
int64_t http_client_opened(const struct http_client *client);

/** Connections that are open or being made. */
int http_client_open(const struct http_client *client);

#endif
