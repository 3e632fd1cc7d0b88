#include "bench/client.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"

#define CLIENT_READ_SIZE 65536

struct client_connection {
	struct list node;
	struct list idle;
	struct client *client;
	struct client_target *target;
	struct client_call *call;
	struct http_reader reader;
	struct loop_watch watch;
	size_t sent;
	int fd;
	bool wants_write;
};

static bool client_parse(struct client_target *target, const char *address)
{
	cleanup(free_ptr) char *ip = xstrdup(address);
	char *colon = strrchr(ip, ':');

	list_init(&target->idle);
	if (!colon)
		return false;
	*colon = '\0';
	target->at.sin_family = AF_INET;
	target->at.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &target->at.sin_addr) == 1;
}

bool client_init(struct client *client, struct loop *loop, char *const *targets,
		 size_t n_targets, int64_t timeout_us)
{
	size_t i;

	client->loop = loop;
	client->targets = xcalloc(n_targets, sizeof(*client->targets));
	client->n_targets = n_targets;
	client->next_target = 0;
	client->timeout_us = timeout_us;
	list_init(&client->connections);
	for (i = 0; i < n_targets; i++) {
		if (client_parse(&client->targets[i], targets[i]))
			continue;
		fprintf(stderr, "%s: not an IP:port\n", targets[i]);
		return false;
	}
	return true;
}

static void client_close(struct client_connection *connection)
{
	list_remove(&connection->node);
	list_remove(&connection->idle);
	http_reader_clear(&connection->reader);
	if (connection->fd >= 0)
		close(connection->fd);
	free(connection);
}

void client_clear(struct client *client)
{
	struct client_connection *connection;
	struct client_connection *tmp;

	list_foreach_safe(connection, tmp, &client->connections, node)
		client_close(connection);
	free(client->targets);
}

static void client_detach(struct client_connection *connection,
			  enum client_end end)
{
	struct client_call *call = connection->call;

	connection->call = NULL;
	call->connection = NULL;
	loop_timer_cancel(&call->timer);
	call->calls->ended(call, end);
}

static void client_fail(struct client_connection *connection,
			enum client_end end)
{
	if (connection->call)
		client_detach(connection, end);
	client_close(connection);
}

static void client_timed_out(void *data)
{
	struct client_call *call = data;

	client_fail(call->connection, CLIENT_LATE);
}

static void client_copy_head(struct client_connection *connection)
{
	struct client_call *call = connection->call;

	call->status = connection->reader.status;
	memcpy(call->request_id, connection->reader.request_id,
	       sizeof(call->request_id));
	memcpy(call->run, connection->reader.run, sizeof(call->run));
}

static void client_body(void *data, const char *piece, size_t len)
{
	struct client_connection *connection = data;

	client_copy_head(connection);
	connection->call->calls->body(connection->call, piece, len);
}

static void client_answered(struct client_connection *connection)
{
	client_copy_head(connection);
	if (connection->reader.close) {
		client_fail(connection, CLIENT_WHOLE);
		return;
	}
	/* Idle before its owner is told, who may send the next call on it. */
	list_append(&connection->target->idle, &connection->idle);
	client_detach(connection, CLIENT_WHOLE);
}

static void client_read(struct client_connection *connection)
{
	char buffer[CLIENT_READ_SIZE];
	ssize_t n = recv(connection->fd, buffer, sizeof(buffer), 0);

	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		bool whole = connection->call &&
			     http_reader_end(&connection->reader);

		if (whole)
			client_copy_head(connection);
		client_fail(connection, whole ? CLIENT_WHOLE : CLIENT_CLOSED);
		return;
	}
	/* Bytes that no call waits for: this connection has lost count. */
	if (!connection->call ||
	    http_reader_take(&connection->reader, buffer, (size_t)n) <
		    (size_t)n ||
	    connection->reader.state == HTTP_READER_BAD)
		client_fail(connection, CLIENT_CLOSED);
	else if (connection->reader.state == HTTP_READER_DONE)
		client_answered(connection);
}

static void client_set_write(struct client_connection *connection, bool wanted)
{
	if (connection->wants_write == wanted)
		return;
	connection->wants_write = wanted;
	loop_rewatch(connection->client->loop, connection->fd,
		     wanted ? EPOLLIN | EPOLLOUT : EPOLLIN, &connection->watch);
}

/* False if the connection failed and is gone. */
static bool client_write(struct client_connection *connection)
{
	const struct bytes *request = &connection->call->request;
	ssize_t n = send(connection->fd, request->data + connection->sent,
			 request->len - connection->sent, MSG_NOSIGNAL);

	if (n < 0 && errno != EAGAIN) {
		client_fail(connection, CLIENT_CLOSED);
		return false;
	}
	if (n > 0)
		connection->sent += (size_t)n;
	client_set_write(connection, connection->sent < request->len);
	return true;
}

static void client_ready(void *data, uint32_t events)
{
	struct client_connection *connection = data;

	if (connection->wants_write && connection->call &&
	    (events & EPOLLOUT) && !client_write(connection))
		return;
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		client_read(connection);
}

static struct client_connection *client_open(struct client *client,
					     struct client_target *target)
{
	struct client_connection *connection = xcalloc(1, sizeof(*connection));
	int one = 1;

	connection->client = client;
	connection->target = target;
	connection->watch.ready = client_ready;
	connection->watch.data = connection;
	connection->reader.body = client_body;
	connection->reader.data = connection;
	list_init(&connection->idle);
	list_append(&client->connections, &connection->node);
	connection->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connection->fd < 0)
		return connection;
	setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/* A refusal shows at the first write. */
	(void)!connect(connection->fd, (struct sockaddr *)&target->at,
		       sizeof(target->at));
	connection->wants_write = true;
	loop_watch(client->loop, connection->fd, EPOLLIN | EPOLLOUT,
		   &connection->watch);
	return connection;
}

/* A failure is left to the loop: the call must not end before it is sent. */
static void client_write_first(struct client_connection *connection)
{
	const struct bytes *request = &connection->call->request;
	ssize_t n =
		send(connection->fd, request->data, request->len, MSG_NOSIGNAL);

	if (n > 0)
		connection->sent = (size_t)n;
	client_set_write(connection, connection->sent < request->len);
}

void client_send(struct client *client, struct client_call *call)
{
	struct client_target *target =
		&client->targets[client->next_target++ % client->n_targets];
	struct client_connection *connection =
		list_last(&target->idle, struct client_connection, idle);
	bool fresh = !connection;

	if (fresh)
		connection = client_open(client, target);
	list_remove(&connection->idle);
	connection->call = call;
	connection->sent = 0;
	http_reader_reset(&connection->reader);
	call->connection = connection;
	call->status = 0;
	call->request_id[0] = '\0';
	call->run[0] = '\0';
	loop_timer_init(&call->timer, client_timed_out, call);
	loop_timer_set(client->loop, &call->timer,
		       loop_now_us() + client->timeout_us);
	if (!fresh)
		client_write_first(connection);
}
