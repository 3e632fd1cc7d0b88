#include "daemon/http/http_server.h"

#include <errno.h>
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "daemon/descriptors.h"
#include "daemon/http/http_server_private.h"

#define BACKLOG 512

/* Without a descriptor, the listener is looked at again after so long. */
#define SHORT_MS 50

/* Look at the listener after so long, and meanwhile not at all. */
void http_server_look_again(struct http_server *server, int64_t ms)
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
	http_server_look_again(server, SHORT_MS);
}

/* Nothing is asked on it, and nothing of an answer is still to be written. */
static bool is_idle(const struct http_conn *conn)
{
	return !conn->request_begun && !stream_unwritten(conn->stream) &&
	       !stream_input(conn->stream)->len;
}

/* The one that has been idle longest, or NULL. */
static struct http_conn *longest_idle(struct http_server *server)
{
	struct http_conn *conn;

	list_foreach(conn, &server->resting, resting)
		if (is_idle(conn))
			return conn;
	return NULL;
}

static bool has_room(void *data)
{
	const struct http_server *server = data;

	return server->n_conns < server->most &&
	       !memory_is_full(server->loop->memory);
}

static void on_taken(void *data, int fd)
{
	http_conn_new(data, fd);
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
	int most =
		memory_connections(memory, descriptors_for_requests(), BACKLOG);

	server->most = memory_connections(memory, connections, BACKLOG);
	/* A listener for few isn't given what the one for requests is. */
	acceptor_set_buffers(&server->acceptor,
			     memory_socket_bytes(memory, most, BACKLOG));
}

bool http_server_close_longest_idle(struct http_server *server)
{
	struct http_conn *conn = longest_idle(server);

	if (conn)
		http_conn_free(conn);
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
	struct http_conn *conn =
		list_first(&server->holding, struct http_conn, holding);

	if (!conn || now - conn->held_since < (double)held_ms / 1000)
		return false;
	if (conn->state == CONN_READING && conn->request_begun) {
		http_conn_refuse(conn, 503);
		return true;
	}
	http_conn_lost(conn);
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
	struct http_conn *conn;
	struct http_conn *next;

	list_foreach_safe(conn, next, &server->resting, resting)
		if (is_idle(conn))
			http_conn_free(conn);
}

struct http_server_unwritten
http_server_unwritten(const struct http_server *server)
{
	struct http_server_unwritten unwritten = { 0 };
	const struct http_conn *conn;

	list_foreach(conn, &server->conns, node) {
		unwritten.bytes += stream_unwritten(conn->stream);
		unwritten.connections += stream_unwritten(conn->stream) > 0;
	}
	return unwritten;
}

void http_server_stop(struct http_server *server)
{
	struct http_conn *conn;
	struct http_conn *next;

	if (!server)
		return;
	ev_io_stop(server->loop->ev, &server->listener);
	list_foreach_safe(conn, next, &server->conns, node)
		http_conn_free(conn);
	ev_timer_stop(server->loop->ev, &server->retry);
	acceptor_close(&server->acceptor);
	free(server);
}
