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

/* Whoever was refused for want of memory may come back after this. */
#define RETRY_AFTER "Retry-After: 1\r\n"

/* Of a request while it is answered, beside its head and body. */
#define REQUEST_BYTES 4096

/* Of memory for a body of unknown length, claimed at first. */
#define BODY_FIRST_BYTES 4096

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
	struct memory_claim claim; /* of the head */
	struct http_body body;
	void *user;
	bool unframed; /* the answer ends with its connection */
};

struct conn {
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

void http_body_clear(struct http_body *body)
{
	bytes_clear(&body->bytes);
	memory_release(&body->claim);
}

static void exchange_free(struct http_exchange *exchange)
{
	http_head_clear(&exchange->head);
	memory_release(&exchange->claim);
	http_body_clear(&exchange->body);
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

/* The end of what has been written must not look like an answer's end. */
static void conn_set_reset(struct conn *conn)
{
	const struct linger at_once = { .l_onoff = 1 };

	setsockopt(stream_fd(conn->stream), SOL_SOCKET, SO_LINGER, &at_once,
		   sizeof(at_once));
}

static void conn_free(struct conn *conn)
{
	if (stream_unwritten(conn->stream))
		conn_set_reset(conn);
	list_remove(&conn->node);
	list_remove(&conn->resting);
	list_remove(&conn->holding);
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

/*
 * The bytes of an unfinished request, or of an answer that isn't read, are held
 * for as long as the peer pleases.
 */
static void conn_note_holding(struct conn *conn)
{
	bool holds = conn->request_begun || stream_unwritten(conn->stream);

	if (!holds) {
		list_remove(&conn->holding);
	} else if (list_empty(&conn->holding)) {
		conn->held_since = ev_now(conn->server->loop->ev);
		list_append(&conn->server->holding, &conn->holding);
	}
}

static void conn_rest(struct conn *conn)
{
	struct http_server *server = conn->server;

	conn->state = CONN_READING;
	stream_set_read_most(conn->stream, (size_t)server->limits.header_bytes +
						   PIPELINE_BYTES);
	list_append(&server->resting, &conn->resting);
	conn_note_holding(conn);
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
	if (conn->exchange)
		exchange_free(conn->exchange);
	conn->exchange = NULL;
	http_parse_clear(&conn->parse);
	list_remove(&conn->resting);
	list_remove(&conn->holding);
	conn->request_begun = false;
	conn->closes = true;
	write_head(conn, status, "Content-Length: 0\r\n");
	if (status == 503)
		write_text(conn, RETRY_AFTER);
	write_text(conn, "\r\n");
	conn_flush(conn);
	conn_note_holding(conn);
}

static void on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct conn *conn = timer->data;

	if (conn->state == CONN_READING && conn->request_begun)
		conn_refuse(conn, 408);
	else if (conn->state != CONN_ANSWERING)
		conn_free(conn);
}

/* False if there is no memory for a body of that length. */
static bool claim_body(struct conn *conn, size_t len)
{
	struct http_body *body = &conn->exchange->body;

	if (!memory_ask(&body->claim, len * (size_t)conn->server->weight)) {
		conn->no_memory = true;
		return false;
	}
	if (len > body->bytes.capacity)
		bytes_reserve(&body->bytes, len - body->bytes.len);
	return true;
}

static struct http_exchange *exchange_new(struct conn *conn)
{
	struct http_exchange *exchange = xcalloc(1, sizeof(*exchange));
	const struct http_server *server = conn->server;

	exchange->conn = conn;
	exchange->claim = memory_claim(server->loop->memory, server->use);
	exchange->body.claim = exchange->claim;
	return exchange;
}

static bool on_head(void *data, const struct http_head *head)
{
	struct conn *conn = data;
	const char *length = http_head_get(head, "Content-Length");
	const char *expect = http_head_get(head, "Expect");
	long long len = length ? strtoll(length, NULL, 10) : 0;

	conn->exchange = exchange_new(conn);
	if (len > conn->server->limits.body_bytes)
		return false;
	conn->no_memory = !memory_ask(&conn->exchange->claim,
				      http_head_size(head) + REQUEST_BYTES);
	if (conn->no_memory || (len && !claim_body(conn, (size_t)len)))
		return false;
	if (expect && !strcasecmp(expect, "100-continue"))
		write_text(conn, "HTTP/1.1 100 Continue\r\n\r\n");
	return true;
}

/* Room for a piece of a body whose length wasn't said. */
static bool grow_body(struct conn *conn, size_t len)
{
	size_t most = (size_t)conn->server->limits.body_bytes;
	size_t wanted = 2 * conn->exchange->body.bytes.capacity;

	if (wanted < BODY_FIRST_BYTES)
		wanted = BODY_FIRST_BYTES;
	if (wanted > most)
		wanted = most;
	return claim_body(conn, wanted > len ? wanted : len);
}

static bool on_body(void *data, const char *piece, size_t len)
{
	struct conn *conn = data;
	struct bytes *body = &conn->exchange->body.bytes;

	if ((int64_t)(body->len + len) > conn->server->limits.body_bytes)
		return false;
	if (body->len + len >= body->capacity &&
	    !grow_body(conn, body->len + len))
		return false;
	bytes_append(body, piece, len);
	return true;
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
	conn_note_holding(conn);
	ev_timer_stop(server->loop->ev, &conn->timer);
	http_parse_next(&conn->parse);
	server->hooks.request(server->hooks.data, exchange);
}

static void conn_refuse_bad(struct conn *conn)
{
	int status = 400;

	if (conn->no_memory)
		status = 503;
	else if (conn->parse.too_large)
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
		list_remove(&conn->holding);
		conn_note_holding(conn);
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

	conn_note_holding(conn);
	if (conn->state == CONN_FLUSHING)
		conn_linger(conn);
}

static void on_refused(void *data, struct bytes *in)
{
	struct conn *conn = data;

	if (conn->state == CONN_READING) {
		conn_refuse(conn, 503);
	} else if (conn->state != CONN_ANSWERING) {
		bytes_clear(in);
		stream_kick(conn->stream);
	}
}

static void on_closed(void *data, bool reset)
{
	conn_lost(data);
}

static const struct stream_hooks stream_hooks = {
	.readable = on_read,
	.refused = on_refused,
	.drained = on_drained,
	.closed = on_closed,
};

static void conn_new(struct http_server *server, int fd)
{
	struct conn *conn = xcalloc(1, sizeof(*conn));

	conn->server = server;
	conn->stream = stream_new(server->loop, fd, PIPELINE_BYTES,
				  &stream_hooks, conn);
	ev_timer_init(&conn->timer, on_timer, 0, 0);
	conn->timer.data = conn;
	http_parse_init(&conn->parse, HTTP_REQUEST,
			(size_t)server->limits.header_bytes, &parse_hooks,
			conn);
	list_init(&conn->resting);
	list_init(&conn->holding);
	list_append(&server->conns, &conn->node);
	server->n_conns++;
	conn_rest(conn);
	conn_arm(conn, server->limits.idle_ms + IDLE_SLACK_MS);
}

static bool has_room(void *data)
{
	const struct http_server *server = data;

	return server->n_conns < server->most &&
	       !memory_is_full(server->loop->memory);
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
	bool room = has_room(server) || (make_room(server) && has_room(server));

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
	list_init(&server->holding);
	server->use = MEMORY_REQUESTS;
	server->weight = 1;
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
	const struct memory *memory = server->loop->memory;

	server->most = memory_connections(memory, connections, BACKLOG);
	acceptor_set_buffers(&server->acceptor,
			     memory_socket_bytes(memory, server->most,
						 BACKLOG));
}

bool http_server_close_longest_idle(struct http_server *server)
{
	struct conn *conn = longest_idle(server);

	if (conn)
		conn_free(conn);
	return conn != NULL;
}

void http_server_set_weight(struct http_server *server, enum memory_use use,
			    int weight)
{
	server->use = use;
	server->weight = weight;
}

bool http_server_close_longest_held(struct http_server *server, int64_t held_ms)
{
	double now = ev_now(server->loop->ev);
	struct conn *conn = list_first(&server->holding, struct conn, holding);

	if (!conn || now - conn->held_since < (double)held_ms / 1000)
		return false;
	if (conn->state == CONN_READING && conn->request_begun) {
		conn_refuse(conn, 503);
		return true;
	}
	conn_lost(conn);
	return true;
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
	return &exchange->body.bytes;
}

void http_exchange_take_body(struct http_exchange *exchange,
			     struct http_body *body)
{
	*body = exchange->body;
	exchange->body = (struct http_body){ 0 };
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
	conn_note_holding(conn);
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

	if (!len)
		return;
	if (exchange->unframed) {
		stream_write(exchange->conn->stream, data, len);
	} else {
		snprintf(line, sizeof(line), "%zx\r\n", len);
		write_text(exchange->conn, line);
		stream_write(exchange->conn->stream, data, len);
		write_text(exchange->conn, "\r\n");
	}
	conn_note_holding(exchange->conn);
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
	conn_set_reset(conn);
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
