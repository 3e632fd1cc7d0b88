#include "fakes/server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"

#define SERVER_BODY_LIMIT (16 * 1024 * 1024)
#define SERVER_CONNECTIONS 4096
#define SERVER_STOP_TURNS 16

static enum MHD_Result server_access(void *data, struct MHD_Connection *mhd,
				     const char *url, const char *method,
				     const char *version, const char *upload,
				     size_t *upload_len, void **context)
{
	struct server *server = data;
	struct exchange *exchange = *context;

	if (!exchange->method) {
		exchange->method = xstrdup(method);
		return MHD_YES;
	}
	if (*upload_len) {
		if (exchange->body.len + *upload_len > SERVER_BODY_LIMIT)
			return MHD_NO;
		bytes_append(&exchange->body, upload, *upload_len);
		*upload_len = 0;
		return MHD_YES;
	}
	/* A silent connection's requests never reached the server. */
	if (!exchange->handled && !exchange->connection->silent) {
		exchange->handled = true;
		server->handle(server->data, exchange);
	}
	return exchange_proceed(exchange) ? MHD_YES : MHD_NO;
}

/* The first sight of a request: its line with the query, undecoded. */
static void *server_line(void *data, const char *uri,
			 struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd,
					MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return exchange_new(data, info->socket_context, mhd, uri);
}

static void server_completed(void *data, struct MHD_Connection *mhd,
			     void **context,
			     enum MHD_RequestTerminationCode code)
{
	struct exchange *exchange = *context;

	if (!exchange)
		return;
	*context = NULL;
	exchange_finish(exchange, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

/*
 * libmicrohttpd doesn't look at a suspended connection's socket, so a caller
 * that left while its request waits would keep its slot. The socket is
 * therefore watched here for the other end's hang-up.
 */
static void server_hung_up(void *data, uint32_t events)
{
	struct server_connection *connection = data;

	connection->hung_up = true;
	if (connection->exchange)
		exchange_hang_up(connection->exchange);
}

static void server_connected(struct server *server, struct MHD_Connection *mhd,
			     void **context)
{
	struct server_connection *connection = xcalloc(1, sizeof(*connection));
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);

	connection->server = server;
	connection->fd = info->connect_fd;
	connection->watch.ready = server_hung_up;
	connection->watch.data = connection;
	list_append(&server->connections, &connection->node);
	loop_watch(server->loop, info->connect_fd, EPOLLRDHUP | EPOLLET,
		   &connection->watch);
	*context = connection;
}

static void server_connection_free(struct server_connection *connection)
{
	loop_unwatch(connection->server->loop, connection->fd);
	if (connection->exchange)
		connection->exchange->connection = NULL;
	list_remove(&connection->node);
	free(connection);
}

static void server_connection_event(void *data, struct MHD_Connection *mhd,
				    void **context,
				    enum MHD_ConnectionNotificationCode code)
{
	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		server_connected(data, mhd, context);
	else if (*context)
		server_connection_free(*context);
}

static void server_ready(void *data, uint32_t events)
{
	/* The turn that follows calls MHD_run(). */
}

static int64_t server_turn(void *data)
{
	struct server *server = data;
	MHD_UNSIGNED_LONG_LONG wait_ms;

	MHD_run(server->daemon);
	if (MHD_get_timeout(server->daemon, &wait_ms) != MHD_YES)
		return -1;
	return (int64_t)wait_ms;
}

static bool server_parse_address(struct sockaddr_in *to, const char *address)
{
	cleanup(free_ptr) char *ip = xstrdup(address);
	char *colon = strrchr(ip, ':');

	if (!colon)
		return false;
	*colon = '\0';
	to->sin_family = AF_INET;
	to->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &to->sin_addr) == 1;
}

static void server_read_bound(struct server *server,
			      const struct sockaddr_in *asked)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &asked->sin_addr, ip, sizeof(ip));
	server->address = xstrfmt("%s:%u", ip, (unsigned int)info->port);
}

bool server_start(struct server *server, struct loop *loop, const char *address,
		  server_handle_fn handle, void *data)
{
	struct sockaddr_in to = { 0 };
	const union MHD_DaemonInfo *info;

	memset(server, 0, sizeof(*server));
	list_init(&server->connections);
	list_init(&server->exchanges);
	server->loop = loop;
	server->handle = handle;
	server->data = data;
	server->watch.ready = server_ready;
	if (!server_parse_address(&to, address)) {
		fprintf(stderr, "%s: not an IP:port\n", address);
		return false;
	}
	server->daemon = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
		server_access, server, MHD_OPTION_SOCK_ADDR, &to,
		MHD_OPTION_CONNECTION_LIMIT, SERVER_CONNECTIONS,
		MHD_OPTION_URI_LOG_CALLBACK, server_line, server,
		MHD_OPTION_NOTIFY_COMPLETED, server_completed, server,
		MHD_OPTION_NOTIFY_CONNECTION, server_connection_event, server,
		MHD_OPTION_END);
	if (!server->daemon) {
		fprintf(stderr, "%s: can't listen\n", address);
		return false;
	}
	server_read_bound(server, &to);
	info = MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	loop->on_turn = server_turn;
	loop->turn_data = server;
	return loop_watch(loop, info->epoll_fd, EPOLLIN, &server->watch);
}

void server_stop(struct server *server)
{
	struct exchange *exchange;
	int turn;

	if (!server->daemon)
		return;
	/* libmicrohttpd must not be stopped with suspended connections. */
	for (turn = 0; turn < SERVER_STOP_TURNS; turn++) {
		list_foreach(exchange, &server->exchanges, node) {
			exchange->connection->silent = false;
			exchange_abort(exchange);
		}
		MHD_run(server->daemon);
	}
	MHD_stop_daemon(server->daemon);
	free(server->address);
	server->daemon = NULL;
}

void server_silence(struct server *server)
{
	struct server_connection *connection;

	list_foreach(connection, &server->connections, node)
		connection->silent = true;
}

size_t server_exchange_count(const struct server *server)
{
	const struct exchange *exchange;
	size_t n = 0;

	list_foreach(exchange, &server->exchanges, node)
		n += exchange->handled && !exchange->connection->silent;
	return n;
}

bool server_publish(const struct server *server, const char *path)
{
	cleanup(free_ptr) char *aside = xstrfmt("%s.new", path);
	FILE *file = fopen(aside, "w");

	if (!file) {
		perror(aside);
		return false;
	}
	fprintf(file, "address: %s\n", server->address);
	if (fclose(file) || rename(aside, path)) {
		perror(path);
		return false;
	}
	return true;
}
