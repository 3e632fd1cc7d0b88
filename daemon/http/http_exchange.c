#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "daemon/http/http_server_private.h"

void http_body_clear(struct http_body *body)
{
	bytes_clear(&body->bytes);
	memory_release(&body->claim);
}

void http_exchange_free(struct http_exchange *exchange)
{
	http_head_clear(&exchange->head);
	memory_release(&exchange->claim);
	http_body_clear(&exchange->body);
	free(exchange);
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
static void conn_next(struct http_conn *conn)
{
	http_exchange_free(conn->exchange);
	conn->exchange = NULL;
	if (conn->closes) {
		http_conn_flush(conn);
		return;
	}
	http_conn_rest(conn);
	http_conn_arm(conn, conn->server->limits.idle_ms + IDLE_SLACK_MS);
	stream_kick(conn->stream);
}

void http_exchange_answer(struct http_exchange *exchange, int status,
			  const char *headers, const struct bytes *body)
{
	struct http_conn *conn = exchange->conn;
	char line[64];
	bool head = !strcmp(exchange->head.method, "HEAD");

	conn->closes |= exchange->unframed;
	http_conn_write_head(conn, status, headers);
	if (status != 204 && status != 304 && !exchange->unframed) {
		snprintf(line, sizeof(line), "Content-Length: %zu\r\n",
			 body ? body->len : 0);
		http_conn_write(conn, line);
	}
	http_conn_write(conn, "\r\n");
	if (body && !head)
		stream_write(conn->stream, body->data, body->len);
	http_conn_note_holding(conn);
	conn_next(conn);
}

void http_exchange_unframe(struct http_exchange *exchange)
{
	exchange->unframed = true;
}

void http_exchange_begin(struct http_exchange *exchange, int status,
			 const char *headers)
{
	struct http_conn *conn = exchange->conn;

	exchange->unframed |= exchange->head.http_1_0;
	conn->closes |= exchange->unframed;
	http_conn_write_head(conn, status, headers);
	if (!exchange->unframed)
		http_conn_write(conn, "Transfer-Encoding: chunked\r\n");
	http_conn_write(conn, "\r\n");
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
		http_conn_write(exchange->conn, line);
		stream_write(exchange->conn->stream, data, len);
		http_conn_write(exchange->conn, "\r\n");
	}
	http_conn_note_holding(exchange->conn);
}

void http_exchange_end(struct http_exchange *exchange)
{
	struct http_conn *conn = exchange->conn;

	if (!exchange->unframed)
		http_conn_write(conn, "0\r\n\r\n");
	conn_next(conn);
}

/* Closed in a later turn: the owner may be in the middle of something. */
static void conn_reset(struct http_conn *conn)
{
	http_conn_set_reset(conn);
	http_exchange_free(conn->exchange);
	conn->exchange = NULL;
	conn->state = CONN_LINGERING;
	http_conn_arm(conn, 0);
}

void http_exchange_cut(struct http_exchange *exchange)
{
	struct http_conn *conn = exchange->conn;

	conn->closes = true;
	if (exchange->unframed)
		conn_reset(conn);
	else
		conn_next(conn);
}
