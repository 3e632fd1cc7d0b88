#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/alloc.h"
#include "daemon/http/http_server_private.h"

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

/* The end of what has been written must not look like an answer's end. */
void http_conn_set_reset(struct http_conn *conn)
{
	const struct linger at_once = { .l_onoff = 1 };

	setsockopt(stream_fd(conn->stream), SOL_SOCKET, SO_LINGER, &at_once,
		   sizeof(at_once));
}

void http_conn_free(struct http_conn *conn)
{
	if (stream_unwritten(conn->stream))
		http_conn_set_reset(conn);
	list_remove(&conn->node);
	list_remove(&conn->resting);
	list_remove(&conn->holding);
	conn->server->n_conns--;
	if (conn->server->full)
		http_server_look_again(conn->server, 0);
	if (conn->exchange)
		http_exchange_free(conn->exchange);
	http_parse_clear(&conn->parse);
	ev_timer_stop(conn->server->loop->ev, &conn->timer);
	stream_free(conn->stream);
	free(conn);
}

/* The caller is gone: whoever works for it hears of it first. */
void http_conn_lost(struct http_conn *conn)
{
	struct http_server *server = conn->server;

	if (conn->state == CONN_ANSWERING && server->hooks.left)
		server->hooks.left(server->hooks.data, conn->exchange);
	http_conn_free(conn);
}

/*
 * The bytes of an unfinished request, or of an answer that isn't read, are held
 * for as long as the peer pleases.
 */
void http_conn_note_holding(struct http_conn *conn)
{
	bool holds = conn->request_begun || stream_unwritten(conn->stream);

	if (!holds) {
		list_remove(&conn->holding);
	} else if (list_empty(&conn->holding)) {
		conn->held_since = ev_now(conn->server->loop->ev);
		list_append(&conn->server->holding, &conn->holding);
	}
}

void http_conn_rest(struct http_conn *conn)
{
	struct http_server *server = conn->server;

	conn->state = CONN_READING;
	stream_set_read_most(conn->stream, (size_t)server->limits.header_bytes +
						   PIPELINE_BYTES);
	list_append(&server->resting, &conn->resting);
	http_conn_note_holding(conn);
}

void http_conn_arm(struct http_conn *conn, int64_t ms)
{
	struct ev_loop *ev = conn->server->loop->ev;

	ev_timer_stop(ev, &conn->timer);
	ev_timer_set(&conn->timer, (double)ms / 1000, 0);
	ev_timer_start(ev, &conn->timer);
}

static void conn_linger(struct http_conn *conn)
{
	conn->state = CONN_LINGERING;
	stream_shutdown(conn->stream);
	bytes_clear(stream_input(conn->stream));
	stream_kick(conn->stream);
	http_conn_arm(conn, LINGER_MS);
}

void http_conn_flush(struct http_conn *conn)
{
	conn->state = CONN_FLUSHING;
	bytes_clear(stream_input(conn->stream));
	stream_kick(conn->stream);
	http_conn_arm(conn, conn->server->limits.idle_ms);
	if (!stream_unwritten(conn->stream))
		conn_linger(conn);
}

void http_conn_write(struct http_conn *conn, const char *text)
{
	stream_write(conn->stream, text, strlen(text));
}

void http_conn_write_head(struct http_conn *conn, int status,
			  const char *headers)
{
	char line[64];

	conn->closes |= conn->server->winding_down;
	snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", status,
		 http_status_str((enum http_status)status));
	http_conn_write(conn, line);
	if (headers)
		http_conn_write(conn, headers);
	if (conn->closes)
		http_conn_write(conn, "Connection: close\r\n");
}

/* The bytes were no request, or too many: nothing after them can be trusted. */
void http_conn_refuse(struct http_conn *conn, int status)
{
	if (conn->exchange)
		http_exchange_free(conn->exchange);
	conn->exchange = NULL;
	http_parse_clear(&conn->parse);
	list_remove(&conn->resting);
	list_remove(&conn->holding);
	conn->request_begun = false;
	conn->closes = true;
	http_conn_write_head(conn, status, "Content-Length: 0\r\n");
	if (status == 503)
		http_conn_write(conn, RETRY_AFTER);
	http_conn_write(conn, "\r\n");
	http_conn_flush(conn);
	http_conn_note_holding(conn);
}

static void on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct http_conn *conn = timer->data;

	if (conn->state == CONN_READING && conn->request_begun)
		http_conn_refuse(conn, 408);
	else if (conn->state != CONN_ANSWERING)
		http_conn_free(conn);
}

/* False if there is no memory for a body of that length. */
static bool claim_body(struct http_conn *conn, size_t len)
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

static struct http_exchange *exchange_new(struct http_conn *conn)
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
	struct http_conn *conn = data;
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
		http_conn_write(conn, "HTTP/1.1 100 Continue\r\n\r\n");
	return true;
}

/* Room for a piece of a body whose length wasn't said. */
static bool grow_body(struct http_conn *conn, size_t len)
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
	struct http_conn *conn = data;
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

static void conn_request(struct http_conn *conn)
{
	struct http_server *server = conn->server;
	struct http_exchange *exchange = conn->exchange;

	exchange->head = conn->parse.head;
	memset(&conn->parse.head, 0, sizeof(conn->parse.head));
	conn->closes = !exchange->head.keep_alive;
	conn->state = CONN_ANSWERING;
	conn->request_begun = false;
	http_conn_note_holding(conn);
	ev_timer_stop(server->loop->ev, &conn->timer);
	http_parse_next(&conn->parse);
	server->hooks.request(server->hooks.data, exchange);
}

static void conn_refuse_bad(struct http_conn *conn)
{
	int status = 400;

	if (conn->no_memory)
		status = 503;
	else if (conn->parse.too_large)
		status = 431;
	else if (conn->parse.stopped)
		status = 413;
	http_conn_refuse(conn, status);
}

static void on_read(void *data, struct bytes *in)
{
	struct http_conn *conn = data;

	if (conn->state == CONN_FLUSHING || conn->state == CONN_LINGERING)
		bytes_clear(in);
	if (conn->state != CONN_READING || !in->len)
		return;
	if (!conn->request_begun) {
		conn->request_begun = true;
		list_remove(&conn->resting);
		list_remove(&conn->holding);
		http_conn_note_holding(conn);
		http_conn_arm(conn, conn->server->limits.header_ms);
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
	struct http_conn *conn = data;

	http_conn_note_holding(conn);
	if (conn->state == CONN_FLUSHING)
		conn_linger(conn);
}

static void on_refused(void *data, struct bytes *in)
{
	struct http_conn *conn = data;

	if (conn->state == CONN_READING) {
		http_conn_refuse(conn, 503);
	} else if (conn->state != CONN_ANSWERING) {
		bytes_clear(in);
		stream_kick(conn->stream);
	}
}

static void on_closed(void *data, bool reset)
{
	http_conn_lost(data);
}

static const struct stream_hooks stream_hooks = {
	.readable = on_read,
	.refused = on_refused,
	.drained = on_drained,
	.closed = on_closed,
};

void http_conn_new(struct http_server *server, int fd)
{
	struct http_conn *conn = xcalloc(1, sizeof(*conn));

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
	http_conn_rest(conn);
	http_conn_arm(conn, server->limits.idle_ms + IDLE_SLACK_MS);
}
