#include "daemon/http/wire.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <fcntl.h>

#include "daemon/http/connect_watch.h"

#define BLOCK_BYTES 8192

/* neon's own time-outs only back the watch up. */
#define BACKSTOP_S 600

/*
 * neon is about to connect. If the request has been given up meanwhile, or
 * it went out once already on a pooled connection and neon means to send it
 * again by itself, the connect is vetoed: no byte leaves.
 */
static bool wire_connecting(void *data, int fd)
{
	struct wire *wire = data;
	struct connection *connection = wire->connection;
	bool allowed = false;

	pthread_mutex_lock(&wire->hub->lock);
	if (wire->sent)
		wire->resend_stopped = true;
	else if (!atomic_load(&wire->stopped))
		allowed = true;
	if (allowed && connection->fd >= 0)
		close(connection->fd);
	if (allowed)
		connection->fd = fcntl(fd, F_DUPFD_CLOEXEC, 0);
	/* Out of descriptors: without one no deadline would hold. */
	if (allowed && connection->fd < 0)
		allowed = false;
	pthread_mutex_unlock(&wire->hub->lock);
	if (!allowed && wire->resend_stopped)
		edge_count(&wire->hub->counters->resends_stopped);
	return allowed;
}

/*
 * From here on bytes may leave. A request that has been stopped in the
 * meantime finds its socket shut for writing.
 */
static void wire_sending(struct wire *wire)
{
	bool stopped;

	pthread_mutex_lock(&wire->hub->lock);
	stopped = atomic_load(&wire->stopped);
	wire->sent = !stopped;
	if (!stopped)
		wire_set_deadline(wire, wire->first_byte_ms);
	else if (wire->connection->fd >= 0)
		shutdown(wire->connection->fd, SHUT_RDWR);
	pthread_mutex_unlock(&wire->hub->lock);
	if (!stopped && wire->ops->sending)
		wire->ops->sending(wire);
}

static void wire_notify(void *data, ne_session_status status,
			const ne_session_status_info *info)
{
	struct wire *wire = data;

	(void)info;
	if (status != ne_status_connected)
		return;
	wire->connection->open = true;
	edge_count(&wire->hub->counters->connects);
	wire_sending(wire);
}

static enum result wire_read_body(struct wire *wire, ne_request *request)
{
	char buffer[BLOCK_BYTES];
	enum result code;
	ssize_t n;

	while ((n = ne_read_response_block(request, buffer, sizeof(buffer))) >
	       0) {
		wire_set_deadline(wire, wire->idle_ms);
		code = wire->ops->block(wire, buffer, n);
		if (code)
			return code;
	}
	if (n < 0 || ne_end_request(request) != NE_OK)
		return RESULT_BACKEND_BROKE;
	return RESULT_OK;
}

static enum result wire_exchange(struct wire *wire, ne_request *request)
{
	enum result code;
	int ret;

	connect_watch_begin(wire_connecting, wire);
	ret = ne_begin_request(request);
	connect_watch_end();
	if (ret != NE_OK)
		return RESULT_BACKEND_BROKE;
	wire->http_status = ne_get_status(request)->code;
	code = wire->ops->head(wire, request);
	return code ? code : wire_read_body(wire, request);
}

static enum result wire_verdict(struct wire *wire, enum result code)
{
	bool timed_out;
	bool sent;

	pthread_mutex_lock(&wire->hub->lock);
	timed_out = wire->timed_out;
	sent = wire->sent;
	wire_set_deadline(wire, 0);
	pthread_mutex_unlock(&wire->hub->lock);
	if (timed_out)
		return sent ? RESULT_BACKEND_TIMEOUT : RESULT_BACKEND_CONNECT;
	if (atomic_load(&wire->stopped))
		return RESULT_CALLER_LEFT;
	return sent || !code ? code : RESULT_BACKEND_CONNECT;
}

static ne_request *wire_request(struct wire *wire)
{
	ne_session *session = wire->connection->session;
	ne_request *request;

	ne_set_connect_timeout(session, BACKSTOP_S);
	ne_set_read_timeout(session, BACKSTOP_S);
	ne_set_notifier(session, wire_notify, wire);
	request = ne_request_create(session, wire->method, wire->path);
	/*
	 * With this flag off, neon never uses a kept-alive connection. With
	 * it on, neon sends a request again by itself if the peer closed the
	 * connection; wire_connecting() stops that.
	 */
	ne_set_request_flag(request, NE_REQFLAG_IDEMPOTENT, !wire->fresh);
	if (wire->body_len)
		ne_set_request_body_buffer(request, wire->body, wire->body_len);
	wire->ops->prepare(wire, request);
	return request;
}

static struct connection *wire_connection(struct wire *wire)
{
	struct pool *pool = &wire->hub->pool;

	return wire->fresh ? pool_open(pool, wire->address)
			   : pool_take(pool, wire->address);
}

static void wire_set_connection(struct wire *wire,
				struct connection *connection)
{
	pthread_mutex_lock(&wire->hub->lock);
	wire->connection = connection;
	pthread_mutex_unlock(&wire->hub->lock);
}

static void wire_give_back(struct wire *wire, enum result code)
{
	struct connection *connection = wire->connection;

	wire_set_connection(wire, NULL);
	ne_set_notifier(connection->session, NULL, NULL);
	if (!code && connection->open && connection->fd >= 0 &&
	    !atomic_load(&wire->stopped))
		pool_put(&wire->hub->pool, connection);
	else
		connection_close(connection);
}

enum result wire_run(struct wire *wire)
{
	struct connection *connection = wire_connection(wire);
	enum result raw;
	enum result code;
	ne_request *request;

	if (!connection)
		return RESULT_BACKEND_CONNECT;
	wire_set_connection(wire, connection);
	request = wire_request(wire);
	if (connection->open)
		wire_sending(wire);
	raw = wire_exchange(wire, request);
	code = wire_verdict(wire, raw);
	ne_request_destroy(request);
	wire_give_back(wire, code);
	/* The silence of one connection says the same of its siblings. */
	if (code == RESULT_BACKEND_TIMEOUT)
		pool_distrust(&wire->hub->pool, wire->address);
	return code;
}
