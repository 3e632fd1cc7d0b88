#ifndef FILBERTHALL_DAEMON_HTTP_SERVER_PRIVATE_H
#define FILBERTHALL_DAEMON_HTTP_SERVER_PRIVATE_H

#include "base/list.h"
#include "daemon/http/http_server.h"

/** Shared by the files of a listener for HTTP: http_server.c listens, http_conn.c
 *  reads requests from a connection, http_exchange.c answers them. */

/* A kept connection is closed so much later than callers stop using it. */
#define IDLE_SLACK_MS 2000

enum conn_state {
	CONN_READING,	/* a request, or nothing yet */
	CONN_ANSWERING, /* its exchange is with the owner */
	CONN_FLUSHING,	/* the last answer goes out */
	CONN_LINGERING	/* it is out; what still comes is dropped */
};

struct http_exchange {
	struct http_conn *conn;
	struct http_head head;
	struct memory_claim claim; /* of the head */
	struct http_body body;
	void *user;
	bool unframed; /* the answer ends with its connection */
};

struct http_conn {
	struct list node;
	struct list resting; /* among those without a request */
	struct list holding; /* among those with bytes that don't get less */
	double held_since;   /* by the loop's clock, while among these */
	struct http_server *server;
	struct stream *stream;
	ev_timer timer;
	struct http_parse parse;
	struct http_exchange *exchange;
	enum conn_state state;
	bool no_memory; /* for the request that is being read */
	bool request_begun;
	bool closes; /* after this answer */
};

struct http_server {
	struct stream_loop *loop;
	struct acceptor acceptor;
	ev_io listener;
	struct http_limits limits;
	struct http_server_hooks hooks;
	struct list conns;
	struct list resting; /* the one that has rested longest first */
	struct list holding; /* the one that has held bytes longest first */
	enum memory_use use;
	int weight; /* bytes of memory for each one of a body */
	int n_conns;
	int most;
	ev_timer retry; /* while the listener isn't watched */
	bool full;
	bool winding_down;
};

/* http_server.c */

/** Look at the listener after so long, and meanwhile not at all. */
void http_server_look_again(struct http_server *server, int64_t ms);

/* http_conn.c */

/** Take a connection over. */
void http_conn_new(struct http_server *server, int fd);
void http_conn_free(struct http_conn *conn);

/** The caller is gone: whoever works for it hears of it first. */
void http_conn_lost(struct http_conn *conn);

/** The next request may come. */
void http_conn_rest(struct http_conn *conn);

/** Look after it in so long. */
void http_conn_arm(struct http_conn *conn, int64_t ms);

/** No more is answered; what has been goes out, and the connection ends. */
void http_conn_flush(struct http_conn *conn);

/** The bytes were no request, or too many: the connection ends. */
void http_conn_refuse(struct http_conn *conn, int status);

/** Bytes were written, or are out, or a request has begun or is whole. */
void http_conn_note_holding(struct http_conn *conn);

/** It ends by a reset when it is closed. */
void http_conn_set_reset(struct http_conn *conn);

void http_conn_write(struct http_conn *conn, const char *text);
void http_conn_write_head(struct http_conn *conn, int status,
			  const char *headers);

/* http_exchange.c */
void http_exchange_free(struct http_exchange *exchange);

#endif
