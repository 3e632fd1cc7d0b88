#include "daemon/http/http_client.h"

#include <limits.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/address.h"
#include "base/alloc.h"
#include "base/list.h"
#include "base/map.h"

/* Of an answer's head; ours are a tenth of it. */
#define HEAD_BYTES (64 * 1024)

/* A server that doesn't say how long it keeps connections: hardly at all. */
#define KEPT_DEFAULT_MS 500

/* We stop using a connection so long before the server closes it. */
#define KEPT_MARGIN_MS 500

/* Longest time for which a connection is kept, whatever the server says. */
#define KEPT_MOST_MS 10000

/*
 * Of all that comes beside the answer's own body: interim answers, answers to
 * other requests, bodies that nobody takes.
 */
#define BESIDE_BYTES (256 * 1024)

/* Of a request's body, copied at once for the system to take. */
#define BODY_PIECE_BYTES (128 * 1024)

/* Of an answer, waiting to be taken; each piece is taken as it comes. */
#define READ_MOST (256 * 1024)

struct origin {
	struct map_node node; /* by address */
	char *address;
	struct list idle; /* connections, the one used last first */
	int n_idle;
};

struct wire_conn {
	struct list node;    /* among the idle ones of its origin, or probes */
	struct list resting; /* among all idle ones */
	struct http_client *client;
	struct origin *origin;
	struct stream *stream;
	ev_timer timer; /* connecting; later the idle time */
	struct http_parse parse;
	struct http_call *call;
	const struct bytes *body; /* of the call, while some is unsent */
	size_t body_at;
	bool connected;
	bool probe; /* nothing is sent on it */
	bool spoiled;
	bool paused;   /* nothing is read */
	bool skipping; /* an answer of another request */
	bool taken;    /* the body that is being read is the call's */
	size_t beside; /* bytes read that weren't taken */
	bool reading;  /* its bytes are being parsed: not to be freed now */
	int64_t kept_ms;
};

struct http_call {
	struct list node;
	struct http_client *client;
	struct wire_conn *conn;
	struct http_call_hooks hooks;
	void *data;
	char *id;
	ev_timer timer;
	bool sent;
};

struct http_client {
	struct stream_loop *loop;
	struct http_client_options options;
	struct map origins;
	struct list calls;
	struct list probes;
	struct list resting; /* the one used last first */
	http_client_watcher *watcher;
	void *watcher_data;
	int64_t opened;
	int n_open;
	int most; /* of n_open */
	bool (*free_one)(void *data);
	void *free_data;
};

static bool origin_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct origin, node)->address, key);
}

static struct origin *origin_of(struct http_client *client, const char *address)
{
	struct map_node *node =
		map_find(&client->origins, map_hash_text(address), origin_match,
			 address);
	struct origin *origin;

	if (node)
		return container_of(node, struct origin, node);
	origin = xcalloc(1, sizeof(*origin));
	origin->address = xstrdup(address);
	list_init(&origin->idle);
	map_insert(&client->origins, &origin->node, map_hash_text(address));
	return origin;
}

static void wire_free(struct wire_conn *conn)
{
	if (!list_empty(&conn->node)) {
		list_remove(&conn->node);
		if (!conn->probe)
			conn->origin->n_idle--;
	}
	list_remove(&conn->resting);
	http_parse_clear(&conn->parse);
	ev_timer_stop(conn->client->loop->ev, &conn->timer);
	stream_free(conn->stream);
	conn->client->n_open--;
	free(conn);
}

static void call_free(struct http_call *call)
{
	list_remove(&call->node);
	ev_timer_stop(call->client->loop->ev, &call->timer);
	free(call->id);
	free(call);
}

/* The call is over; its connection must have been dealt with. */
static void call_end(struct http_call *call, enum result code)
{
	struct http_call_hooks hooks = call->hooks;
	void *data = call->data;
	bool sent = call->sent;

	call_free(call);
	hooks.end(data, code, sent);
}

static void wire_fail(struct wire_conn *conn, enum result code)
{
	struct http_call *call = conn->call;

	wire_free(conn);
	if (call)
		call_end(call, code);
}

static void tell_connected(const struct wire_conn *conn)
{
	const struct http_client *client = conn->client;

	if (client->watcher)
		client->watcher(client->watcher_data, conn->origin->address,
				conn->connected);
}

/* Whatever ended it, a request may have arrived once it was connected. */
static void wire_lost(struct wire_conn *conn)
{
	if (conn->connected) {
		wire_fail(conn, RESULT_BACKEND_BROKE);
	} else if (stream_is_short(conn->stream)) {
		wire_fail(conn, RESULT_NO_DESCRIPTOR);
	} else {
		tell_connected(conn);
		wire_fail(conn, RESULT_BACKEND_CONNECT);
	}
}

static void arm(struct http_client *client, ev_timer *timer, int64_t ms)
{
	ev_timer_stop(client->loop->ev, timer);
	ev_timer_set(timer, (double)ms / 1000, 0);
	ev_timer_start(client->loop->ev, timer);
}

static void on_call_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct http_call *call = timer->data;

	wire_fail(call->conn, RESULT_BACKEND_TIMEOUT);
}

static void on_conn_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	wire_lost(timer->data);
}

/* How long the server keeps the connection, less a margin; 0 for not. */
static int64_t kept_ms(const struct http_head *head)
{
	const char *text = http_head_get(head, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	int64_t seconds;

	if (!timeout)
		return KEPT_DEFAULT_MS;
	seconds = strtoll(timeout + strlen("timeout="), NULL, 10);
	if (seconds < 0)
		return 0;
	if (seconds > (KEPT_MOST_MS + KEPT_MARGIN_MS) / 1000)
		return KEPT_MOST_MS;
	return seconds * 1000 - KEPT_MARGIN_MS;
}

static bool on_head(void *data, const struct http_head *head)
{
	struct wire_conn *conn = data;
	struct http_call *call = conn->call;
	const char *id_header = conn->client->options.id_header;
	const char *id;

	if (head->status < 200)
		return true;
	id = id_header ? http_head_get(head, id_header) : NULL;
	conn->skipping = call->id && (!id || strcmp(id, call->id) != 0);
	conn->taken = !conn->skipping && call->hooks.body;
	conn->kept_ms = kept_ms(head);
	if (conn->skipping)
		conn->spoiled = true;
	else
		call->hooks.head(call->data, head);
	return conn->call != NULL;
}

static bool on_body(void *data, const char *piece, size_t len)
{
	struct wire_conn *conn = data;

	if (conn->skipping)
		return true;
	if (conn->call->hooks.body)
		conn->call->hooks.body(conn->call->data, piece, len);
	/* The hook may have given the call up, and this connection with it. */
	return conn->call != NULL;
}

static const struct http_parse_hooks parse_hooks = { on_head, on_body };

/* Keep the connection, or close it if anything about it is doubtful. */
static void wire_keep(struct wire_conn *conn, bool keep_alive)
{
	struct origin *origin = conn->origin;
	struct wire_conn *oldest;

	conn->call = NULL;
	conn->taken = false;
	conn->beside = 0;
	if (!keep_alive || conn->spoiled || conn->paused ||
	    conn->kept_ms <= 0 || conn->body ||
	    stream_input(conn->stream)->len || stream_unwritten(conn->stream)) {
		wire_free(conn);
		return;
	}
	http_parse_next(&conn->parse);
	list_prepend(&origin->idle, &conn->node);
	list_prepend(&conn->client->resting, &conn->resting);
	arm(conn->client, &conn->timer, conn->kept_ms);
	origin->n_idle++;
	oldest = list_last(&origin->idle, struct wire_conn, node);
	if (oldest && origin->n_idle > conn->client->options.idle_most)
		wire_free(oldest);
}

/* False once the connection isn't ours to read any more. */
static bool wire_answered(struct wire_conn *conn)
{
	struct http_call *call = conn->call;
	bool keep_alive = conn->parse.head.keep_alive;
	bool other = conn->skipping || conn->parse.head.status < 200;

	if (other && keep_alive) {
		conn->skipping = false;
		http_parse_next(&conn->parse);
		return true;
	}
	if (other) {
		wire_fail(conn, RESULT_BACKEND_BROKE);
		return false;
	}
	wire_keep(conn, keep_alive);
	call_end(call, RESULT_OK);
	return false;
}

/* False if more than an answer can need has come beside its body. */
static bool count_beside(struct wire_conn *conn, size_t len)
{
	if (!conn->taken)
		conn->beside += len;
	return conn->beside <= BESIDE_BYTES;
}

static void on_read(void *data, struct bytes *in)
{
	struct wire_conn *conn = data;

	/* Nobody asked, so nobody knows whose these bytes are. */
	if (!conn->call) {
		wire_free(conn);
		return;
	}
	while (in->len) {
		enum http_parse_state state;
		size_t waiting = in->len;

		conn->reading = true;
		state = http_parse_feed(&conn->parse, in);
		conn->reading = false;
		/* A hook that gave the call up left the connection to us. */
		if (state == HTTP_PARSE_BAD || !conn->call ||
		    !count_beside(conn, waiting - in->len)) {
			wire_fail(conn, RESULT_BACKEND_BROKE);
			return;
		}
		if (state != HTTP_PARSE_DONE || !wire_answered(conn))
			return;
	}
}

static void on_connected(void *data)
{
	struct wire_conn *conn = data;

	conn->connected = true;
	ev_timer_stop(conn->client->loop->ev, &conn->timer);
	if (conn->call)
		conn->call->sent = true;
	tell_connected(conn);
	if (conn->probe)
		wire_free(conn);
}

/*
 * A server that closes before it has read the request may have broken off: its
 * success has no other end than this.
 */
static bool is_cut_short(const struct wire_conn *conn)
{
	return conn->parse.head.status < 300 &&
	       (conn->body || stream_unwritten(conn->stream));
}

/* A closed connection ends an answer without a length; a reset one doesn't. */
static void on_eof(struct wire_conn *conn)
{
	struct http_call *call = conn->call;

	if (call && !conn->skipping && conn->parse.head.status >= 200 &&
	    !is_cut_short(conn) &&
	    http_parse_eof(&conn->parse) == HTTP_PARSE_DONE && conn->call) {
		wire_free(conn);
		call_end(call, RESULT_OK);
		return;
	}
	wire_lost(conn);
}

static void on_closed(void *data, bool reset)
{
	struct wire_conn *conn = data;

	if (reset)
		wire_lost(conn);
	else
		on_eof(conn);
}

/* The next piece of the body. */
static void send_body(struct wire_conn *conn)
{
	const struct bytes *body = conn->body;
	size_t len;

	if (!body)
		return;
	len = body->len - conn->body_at;
	if (len > BODY_PIECE_BYTES)
		len = BODY_PIECE_BYTES;
	stream_write(conn->stream, body->data + conn->body_at, len);
	conn->body_at += len;
	if (conn->body_at == body->len)
		conn->body = NULL;
}

static void on_drained(void *data)
{
	send_body(data);
}

static const struct stream_hooks stream_hooks = {
	.connected = on_connected,
	.readable = on_read,
	.drained = on_drained,
	.closed = on_closed,
};

static void set_options(int fd, int64_t silent_ms)
{
	unsigned int user_ms = (unsigned int)silent_ms;
	int seconds = (int)((silent_ms + 999) / 2000);
	int count = 1;
	int one = 1;

	if (seconds < 1)
		seconds = 1;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms,
		   sizeof(user_ms));
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
}

static bool close_longest_idle(struct http_client *client)
{
	struct wire_conn *conn =
		list_last(&client->resting, struct wire_conn, resting);

	if (conn)
		wire_free(conn);
	return conn != NULL;
}

static struct stream *dial(struct http_client *client, struct wire_conn *conn)
{
	const char *address = conn->origin->address;
	struct stream *stream;

	if (client->n_open >= client->most && !close_longest_idle(client))
		return stream_short(client->loop, &stream_hooks, conn);
	for (;;) {
		stream = stream_connect(client->loop, address, READ_MOST,
					&stream_hooks, conn);
		if (!stream_is_short(stream))
			return stream;
		if (!close_longest_idle(client) &&
		    !(client->free_one && client->free_one(client->free_data)))
			return stream;
		stream_free(stream);
	}
}

static struct wire_conn *wire_new(struct http_client *client,
				  struct origin *origin)
{
	struct wire_conn *conn = xcalloc(1, sizeof(*conn));

	conn->client = client;
	conn->origin = origin;
	list_init(&conn->node);
	list_init(&conn->resting);
	ev_timer_init(&conn->timer, on_conn_timer, 0, 0);
	conn->timer.data = conn;
	http_parse_init(&conn->parse, HTTP_RESPONSE, HEAD_BYTES, &parse_hooks,
			conn);
	conn->stream = dial(client, conn);
	if (stream_fd(conn->stream) >= 0)
		set_options(stream_fd(conn->stream), client->options.silent_ms);
	arm(client, &conn->timer, client->options.connect_ms);
	client->opened++;
	client->n_open++;
	return conn;
}

static struct wire_conn *wire_of(struct http_client *client,
				 const struct http_call_request *request)
{
	struct origin *origin = origin_of(client, request->address);
	struct wire_conn *conn =
		list_first(&origin->idle, struct wire_conn, node);

	if (conn && !request->fresh) {
		list_remove(&conn->node);
		list_remove(&conn->resting);
		origin->n_idle--;
		ev_timer_stop(client->loop->ev, &conn->timer);
		return conn;
	}
	return wire_new(client, origin);
}

struct http_call *http_call_start(struct http_client *client,
				  const struct http_call_request *request,
				  const struct http_call_hooks *hooks,
				  void *data)
{
	struct http_call *call = xcalloc(1, sizeof(*call));
	struct wire_conn *conn = wire_of(client, request);

	call->client = client;
	call->conn = conn;
	call->hooks = *hooks;
	call->data = data;
	call->id = xstrdup(request->id);
	call->sent = conn->connected;
	ev_timer_init(&call->timer, on_call_timer, 0, 0);
	call->timer.data = call;
	list_append(&client->calls, &call->node);
	conn->call = call;
	conn->parse.no_body = request->no_body;
	arm(client, &call->timer,
	    request->timeout_ms > 0 ? request->timeout_ms : 1);
	stream_write(conn->stream, request->head->data, request->head->len);
	if (request->body)
		stream_write(conn->stream, request->body->data,
			     request->body->len);
	if (request->lasting_body && request->lasting_body->len) {
		conn->body = request->lasting_body;
		conn->body_at = 0;
		send_body(conn);
	}
	return call;
}

void http_client_probe(struct http_client *client, const char *address)
{
	struct wire_conn *conn = wire_new(client, origin_of(client, address));

	conn->probe = true;
	list_append(&client->probes, &conn->node);
}

void http_call_cancel(struct http_call *call)
{
	struct wire_conn *conn = call->conn;

	conn->call = NULL;
	conn->body = NULL;
	call_free(call);
	if (!conn->reading)
		wire_free(conn);
}

void http_call_pause(struct http_call *call)
{
	call->conn->paused = true;
	stream_pause(call->conn->stream);
}

void http_call_go_on(struct http_call *call)
{
	call->conn->paused = false;
	stream_kick(call->conn->stream);
}

void http_call_limit(struct http_call *call, int64_t ms)
{
	struct http_client *client = call->client;

	if (ev_timer_remaining(client->loop->ev, &call->timer) >
	    (double)ms / 1000)
		arm(client, &call->timer, ms);
}

bool http_call_sent(const struct http_call *call)
{
	return call->sent;
}

void http_client_distrust(struct http_client *client, const char *address)
{
	struct origin *origin = origin_of(client, address);
	struct wire_conn *conn;
	struct wire_conn *next;

	list_foreach_safe(conn, next, &origin->idle, node)
		wire_free(conn);
}

int64_t http_client_opened(const struct http_client *client)
{
	return client->opened;
}

int http_client_open(const struct http_client *client)
{
	return client->n_open;
}

struct http_client *http_client_new(struct stream_loop *loop,
				    const struct http_client_options *options)
{
	struct http_client *client = xcalloc(1, sizeof(*client));

	client->loop = loop;
	client->options = *options;
	client->most = INT_MAX;
	map_init(&client->origins);
	list_init(&client->calls);
	list_init(&client->probes);
	list_init(&client->resting);
	return client;
}

void http_client_watch(struct http_client *client, http_client_watcher *watcher,
		       void *data)
{
	client->watcher = watcher;
	client->watcher_data = data;
}

void http_client_bound(struct http_client *client, int most,
		       bool (*free_one)(void *data), void *data)
{
	client->most = most;
	client->free_one = free_one;
	client->free_data = data;
}

void http_client_free(struct http_client *client)
{
	struct http_call *call;
	struct http_call *next_call;
	struct wire_conn *probe;
	struct wire_conn *next_probe;
	struct origin *origin;
	struct origin *next;

	if (!client)
		return;
	list_foreach_safe(probe, next_probe, &client->probes, node)
		wire_free(probe);
	list_foreach_safe(call, next_call, &client->calls, node)
		http_call_cancel(call);
	map_foreach(origin, next, &client->origins, node) {
		http_client_distrust(client, origin->address);
		map_remove(&client->origins, &origin->node);
		free(origin->address);
		free(origin);
	}
	map_clear(&client->origins);
	free(client);
}
