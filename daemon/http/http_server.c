#include "daemon/http/http_server.h"

#include <errno.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/alloc.h"
#include "base/list.h"
#include "daemon/acceptor.h"

#define BACKLOG 512

/* Without a descriptor, the listener is looked at again after so long. */
#define SHORT_MS 50

/* Requests that wait behind the one being answered, on one connection. */
#define PIPELINE_BYTES (64 * 1024)

/*
 * After an answer that ends its connection we read on for so long: closed with
 * unread bytes, the system would reset it and the caller lose the answer.
 */
#define LINGER_MS 1000

/* A kept connection is closed so much later than callers stop using it. */
#define IDLE_SLACK_MS 2000

enum conn_state {
	CONN_READING,	/* a request, or nothing yet */
	CONN_ANSWERING, /* its exchange is with the owner */
	CONN_FLUSHING,	/* the last answer goes out */
	CONN_LINGERING	/* it is out; what still comes is dropped */
};

struct http_exchange {
	struct conn *conn;
	struct http_head head;
	struct bytes body;
	void *user;
	bool unframed; /* the answer ends with its connection */
};

struct conn {
	struct list node;
	struct list resting; /* among those without a request */
	struct http_server *server;
	struct stream *stream;
	ev_timer timer;
	struct http_parse parse;
	struct http_exchange *exchange;
	enum conn_state state;
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
	int n_conns;
	int most;
	ev_timer retry; /* while the listener isn't watched */
	bool full;
	bool winding_down;
};

static void exchange_free(struct http_exchange *exchange)
{
	http_head_clear(&exchange->head);
	bytes_clear(&exchange->body);
	free(exchange);
}

/* Look at the listener after so long, and meanwhile not at all. */
static void arm_retry(struct http_server *server, int64_t ms)
{
	struct ev_loop *ev = server->loop->ev;

	ev_timer_stop(ev, &server->retry);
	ev_timer_set(&server->retry, (double)ms / 1000, 0);
	ev_timer_start(ev, &server->retry);
}

/* A listener that stays readable must not keep the loop from sleeping. */
static void rest_listener(struct http_server *server)
{
	server->full = true;
	ev_io_stop(server->loop->ev, &server->listener);
	arm_retry(server, SHORT_MS);
}

static void conn_free(struct conn *conn)
{
	list_remove(&conn->node);
	list_remove(&conn->resting);
	conn->server->n_conns--;
	if (conn->server->full)
		arm_retry(conn->server, 0);
	if (conn->exchange)
		exchange_free(conn->exchange);
	http_parse_clear(&conn->parse);
	ev_timer_stop(conn->server->loop->ev, &conn->timer);
	stream_free(conn->stream);
	free(conn);
}

/* The caller is gone: whoever works for it hears of it first. */
static void conn_lost(struct conn *conn)
{
	struct http_server *server = conn->server;

	if (conn->state == CONN_ANSWERING && server->hooks.left)
		server->hooks.left(server->hooks.data, conn->exchange);
	conn_free(conn);
}

static void conn_rest(struct conn *conn)
{
	conn->state = CONN_READING;
	list_append(&conn->server->resting, &conn->resting);
}

/* Nothing is asked on it, and nothing of an answer is still to be written. */
static bool is_idle(const struct conn *conn)
{
	return !conn->request_begun && !stream_unwritten(conn->stream) &&
	       !stream_input(conn->stream)->len;
}

/* The one that has been idle longest, or NULL. */
static struct conn *longest_idle(struct http_server *server)
{
	struct conn *conn;

	list_foreach(conn, &server->resting, resting)
		if (is_idle(conn))
			return conn;
	return NULL;
}

static void conn_arm(struct conn *conn, int64_t ms)
{
	struct ev_loop *ev = conn->server->loop->ev;

	ev_timer_stop(ev, &conn->timer);
	ev_timer_set(&conn->timer, (double)ms / 1000, 0);
	ev_timer_start(ev, &conn->timer);
}

static void conn_linger(struct conn *conn)
{
	conn->state = CONN_LINGERING;
	stream_shutdown(conn->stream);
	bytes_clear(stream_input(conn->stream));
	stream_kick(conn->stream);
	conn_arm(conn, LINGER_MS);
}

static void conn_flush(struct conn *conn)
{
	conn->state = CONN_FLUSHING;
	bytes_clear(stream_input(conn->stream));
	stream_kick(conn->stream);
	conn_arm(conn, conn->server->limits.idle_ms);
	if (!stream_unwritten(conn->stream))
		conn_linger(conn);
}

static void write_text(struct conn *conn, const char *text)
{
	stream_write(conn->stream, text, strlen(text));
}

static void write_head(struct conn *conn, int status, const char *headers)
{
	char line[64];

	conn->closes |= conn->server->winding_down;
	snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", status,
		 http_status_str((enum http_status)status));
	write_text(conn, line);
	if (headers)
		write_text(conn, headers);
	if (conn->closes)
		write_text(conn, "Connection: close\r\n");
}

/* The bytes were no request, or too many: nothing after them can be trusted. */
static void conn_refuse(struct conn *conn, int status)
{
	conn->closes = true;
	write_head(conn, status, "Content-Length: 0\r\n");
	write_text(conn, "\r\n");
	conn_flush(conn);
}

static void on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct conn *conn = timer->data;

	if (conn->state == CONN_READING && conn->request_begun)
		conn_refuse(conn, 408);
	else if (conn->state != CONN_ANSWERING)
		conn_free(conn);
}

static bool on_head(void *data, const struct http_head *head)
{
	struct conn *conn = data;
	const char *length = http_head_get(head, "Content-Length");
	const char *expect = http_head_get(head, "Expect");

	conn->exchange = xcalloc(1, sizeof(*conn->exchange));
	conn->exchange->conn = conn;
	if (length &&
	    strtoll(length, NULL, 10) > conn->server->limits.body_bytes)
		return false;
	if (expect && !strcasecmp(expect, "100-continue"))
		write_text(conn, "HTTP/1.1 100 Continue\r\n\r\n");
	return true;
}

static bool on_body(void *data, const char *piece, size_t len)
{
	struct conn *conn = data;
	struct bytes *body = &conn->exchange->body;

	bytes_append(body, piece, len);
	return (int64_t)body->len <= conn->server->limits.body_bytes;
}

static const struct http_parse_hooks parse_hooks = { on_head, on_body };

static void conn_request(struct conn *conn)
{
	struct http_server *server = conn->server;
	struct http_exchange *exchange = conn->exchange;

	exchange->head = conn->parse.head;
	memset(&conn->parse.head, 0, sizeof(conn->parse.head));
	conn->closes = !exchange->head.keep_alive;
	conn->state = CONN_ANSWERING;
	conn->request_begun = false;
	ev_timer_stop(server->loop->ev, &conn->timer);
	http_parse_next(&conn->parse);
	server->hooks.request(server->hooks.data, exchange);
}

static void conn_refuse_bad(struct conn *conn)
{
	int status = 400;

	if (conn->parse.too_large)
		status = 431;
	else if (conn->parse.stopped)
		status = 413;
	conn_refuse(conn, status);
}

static void on_read(void *data, struct bytes *in)
{
	struct conn *conn = data;

	if (conn->state == CONN_FLUSHING || conn->state == CONN_LINGERING)
		bytes_clear(in);
	if (conn->state != CONN_READING || !in->len)
		return;
	if (!conn->request_begun) {
		conn->request_begun = true;
		list_remove(&conn->resting);
		conn_arm(conn, conn->server->limits.header_ms);
	}
	conn->parse.head_limit = (size_t)conn->server->limits.header_bytes;
	switch (http_parse_feed(&conn->parse, in)) {
	case HTTP_PARSE_DONE:
		conn_request(conn);
		break;
	case HTTP_PARSE_BAD:
		conn_refuse_bad(conn);
		break;
	case HTTP_PARSE_HEAD:
	case HTTP_PARSE_BODY:
		break;
	}
}

static void on_drained(void *data)
{
	struct conn *conn = data;

	if (conn->state == CONN_FLUSHING)
		conn_linger(conn);
}

static void on_closed(void *data, bool reset)
{
	conn_lost(data);
}

static const struct stream_hooks stream_hooks = {
	.readable = on_read,
	.drained = on_drained,
	.closed = on_closed,
};

static void conn_new(struct http_server *server, int fd)
{
	struct conn *conn = xcalloc(1, sizeof(*conn));

	conn->server = server;
	conn->stream =
		stream_new(server->loop, fd,
			   (size_t)server->limits.body_bytes + PIPELINE_BYTES,
			   &stream_hooks, conn);
	ev_timer_init(&conn->timer, on_timer, 0, 0);
	conn->timer.data = conn;
	http_parse_init(&conn->parse, HTTP_REQUEST,
			(size_t)server->limits.header_bytes, &parse_hooks,
			conn);
	list_init(&conn->resting);
	list_append(&server->conns, &conn->node);
	server->n_conns++;
	conn_rest(conn);
	conn_arm(conn, server->limits.idle_ms + IDLE_SLACK_MS);
}

static bool has_room(void *data)
{
	const struct http_server *server = data;

	return server->n_conns < server->most;
}

static void on_taken(void *data, int fd)
{
	conn_new(data, fd);
}

static bool make_room(void *data)
{
	return http_server_close_longest_idle(data);
}

static const struct acceptor_hooks acceptor_hooks = { has_room, on_taken,
						      make_room };

/* At least one connection waits. */
static void take_waiting(struct http_server *server)
{
	bool room = has_room(server) || make_room(server);

	if (!room ||
	    !acceptor_take_some(&server->acceptor, &acceptor_hooks, server)) {
		rest_listener(server);
		return;
	}
	server->full = false;
	ev_io_start(server->loop->ev, &server->listener);
}

static void on_accept(struct ev_loop *ev, ev_io *watcher, int events)
{
	struct http_server *server = watcher->data;

	/* With EV_ERROR the system doesn't watch it any more. */
	if (events & EV_ERROR)
		rest_listener(server);
	else
		take_waiting(server);
}

static void on_retry(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct http_server *server = timer->data;

	if (acceptor_waits(&server->acceptor)) {
		take_waiting(server);
		return;
	}
	server->full = false;
	ev_io_start(ev, &server->listener);
}

struct http_server *http_server_start(struct stream_loop *loop,
				      const char *text,
				      const struct http_limits *limits,
				      const struct http_server_hooks *hooks,
				      const struct error_handler *handler)
{
	struct http_server *server = xcalloc(1, sizeof(*server));
	struct address address;

	server->loop = loop;
	server->limits = *limits;
	server->hooks = *hooks;
	list_init(&server->conns);
	list_init(&server->resting);
	server->most = INT_MAX;
	ev_timer_init(&server->retry, on_retry, 0, 0);
	server->retry.data = server;
	if (!address_parse(&address, text) ||
	    !acceptor_open(&server->acceptor, &address, BACKLOG)) {
		error_report(handler, RESULT_SETTING_VALUE, "%s: %s", text,
			     strerror(errno));
		free(server);
		return NULL;
	}
	ev_io_init(&server->listener, on_accept, server->acceptor.fd, EV_READ);
	server->listener.data = server;
	ev_io_start(loop->ev, &server->listener);
	return server;
}

int http_server_port(const struct http_server *server)
{
	return server->acceptor.port;
}

struct http_server_view http_server_view(const struct http_server *server)
{
	struct http_server_view view = {
		.open = server->n_conns,
		.full = server->full,
		.accepted = acceptor_view(&server->acceptor),
	};

	return view;
}

void http_server_set_most(struct http_server *server, int connections)
{
	server->most = connections;
}

bool http_server_close_longest_idle(struct http_server *server)
{
	struct conn *conn = longest_idle(server);

	if (conn)
		conn_free(conn);
	return conn != NULL;
}

void http_server_set_limits(struct http_server *server,
			    const struct http_limits *limits)
{
	server->limits = *limits;
}

void http_server_wind_down(struct http_server *server)
{
	server->winding_down = true;
}

void http_server_close_idle(struct http_server *server)
{
	struct conn *conn;
	struct conn *next;

	list_foreach_safe(conn, next, &server->resting, resting)
		if (is_idle(conn))
			conn_free(conn);
}

struct http_server_unwritten
http_server_unwritten(const struct http_server *server)
{
	struct http_server_unwritten unwritten = { 0 };
	const struct conn *conn;

	list_foreach(conn, &server->conns, node) {
		unwritten.bytes += stream_unwritten(conn->stream);
		unwritten.connections += stream_unwritten(conn->stream) > 0;
	}
	return unwritten;
}

void http_server_stop(struct http_server *server)
{
	struct conn *conn;
	struct conn *next;

	if (!server)
		return;
	ev_io_stop(server->loop->ev, &server->listener);
	list_foreach_safe(conn, next, &server->conns, node)
		conn_free(conn);
	ev_timer_stop(server->loop->ev, &server->retry);
	acceptor_close(&server->acceptor);
	free(server);
}

const struct http_head *http_exchange_head(const struct http_exchange *exchange)
{
	return &exchange->head;
}

const struct bytes *http_exchange_body(const struct http_exchange *exchange)
{
	return &exchange->body;
}

void http_exchange_set_user(struct http_exchange *exchange, void *user)
{
	exchange->user = user;
}

void *http_exchange_user(const struct http_exchange *exchange)
{
	return exchange->user;
}

/* Reads on in a later turn: the owner may be in the middle of something. */
static void conn_next(struct conn *conn)
{
	exchange_free(conn->exchange);
	conn->exchange = NULL;
	if (conn->closes) {
		conn_flush(conn);
		return;
	}
	conn_rest(conn);
	conn_arm(conn, conn->server->limits.idle_ms + IDLE_SLACK_MS);
	stream_kick(conn->stream);
}

void http_exchange_answer(struct http_exchange *exchange, int status,
			  const char *headers, const struct bytes *body)
{
	struct conn *conn = exchange->conn;
	char line[64];
	bool head = !strcmp(exchange->head.method, "HEAD");

	conn->closes |= exchange->unframed;
	write_head(conn, status, headers);
	if (status != 204 && status != 304 && !exchange->unframed) {
		snprintf(line, sizeof(line), "Content-Length: %zu\r\n",
			 body ? body->len : 0);
		write_text(conn, line);
	}
	write_text(conn, "\r\n");
	if (body && !head)
		stream_write(conn->stream, body->data, body->len);
	conn_next(conn);
}

void http_exchange_unframe(struct http_exchange *exchange)
{
	exchange->unframed = true;
}

void http_exchange_begin(struct http_exchange *exchange, int status,
			 const char *headers)
{
	struct conn *conn = exchange->conn;

	exchange->unframed |= exchange->head.http_1_0;
	conn->closes |= exchange->unframed;
	write_head(conn, status, headers);
	if (!exchange->unframed)
		write_text(conn, "Transfer-Encoding: chunked\r\n");
	write_text(conn, "\r\n");
}

void http_exchange_piece(struct http_exchange *exchange, const char *data,
			 size_t len)
{
	char line[32];

	if (exchange->unframed) {
		stream_write(exchange->conn->stream, data, len);
		return;
	}
	if (!len)
		return;
	snprintf(line, sizeof(line), "%zx\r\n", len);
	write_text(exchange->conn, line);
	stream_write(exchange->conn->stream, data, len);
	write_text(exchange->conn, "\r\n");
}

void http_exchange_end(struct http_exchange *exchange)
{
	struct conn *conn = exchange->conn;

	if (!exchange->unframed)
		write_text(conn, "0\r\n\r\n");
	conn_next(conn);
}

/* Closed in a later turn: the owner may be in the middle of something. */
static void conn_reset(struct conn *conn)
{
	const struct linger at_once = { .l_onoff = 1 };

	setsockopt(stream_fd(conn->stream), SOL_SOCKET, SO_LINGER, &at_once,
		   sizeof(at_once));
	exchange_free(conn->exchange);
	conn->exchange = NULL;
	conn->state = CONN_LINGERING;
	conn_arm(conn, 0);
}

void http_exchange_cut(struct http_exchange *exchange)
{
	struct conn *conn = exchange->conn;

	conn->closes = true;
	if (exchange->unframed)
		conn_reset(conn);
	else
		conn_next(conn);
}
