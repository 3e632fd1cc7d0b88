#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "daemon/acceptor.h"
#include "daemon/descriptors.h"
#include "daemon/http/http_call.h"

#define LISTEN_BACKLOG 1024
#define CALLER_THREADS 4

/* What a caller may take to read the last of its answer at a stop. */
#define DRAIN_US 5000000

/* A request has this many idle time-outs to be read whole. */
#define READ_IDLE_TIMES 2

/* Of a connection's memory, beside the request's headers. */
#define ANSWER_HEADER_BYTES 4096

typedef enum MHD_Result (*serve_fn)(struct http_call *call);

static const serve_fn serve[HTTP_DOORS] = {
	[HTTP_CALLERS] = http_caller_serve,
	[HTTP_BACKENDS] = http_backend_serve,
	[HTTP_OPERATORS] = http_operator_serve,
};

static void *begin_call(void *data, const char *uri,
			struct MHD_Connection *connection)
{
	struct http_listener *listener = data;
	struct http_call *call = xcalloc(1, sizeof(*call));

	call->in = listener->in;
	call->door = listener->door;
	call->connection = connection;
	call->raw_target = xstrdup(uri);
	call->claim = memory_claim(listener->in->options.exchanges->memory,
				   MEMORY_REQUESTS);
	return call;
}

/* Refuse a body by its length, or claim the memory for it. */
static enum result claim_announced(struct http_call *call)
{
	const char *length = http_request_header(call, "Content-Length");
	unsigned long long len = length ? strtoull(length, NULL, 10) : 0;

	if (len > (unsigned long long)call->in->options.body_bytes)
		return RESULT_TOO_LARGE;
	return memory_ask(&call->claim, (size_t)len) ? RESULT_OK
						     : RESULT_NO_MEMORY;
}

/* Room for a body of that length; twice as much as there was. */
static bool claim_body(struct http_call *call, size_t len)
{
	size_t wanted = 2 * call->claim.bytes;

	if (len <= call->claim.bytes)
		return true;
	return memory_ask(&call->claim, wanted > len ? wanted : len);
}

static enum MHD_Result take_body(struct http_call *call, const char *data,
				 size_t *len)
{
	if (call->body.len + *len > (size_t)call->in->options.body_bytes)
		call->too_large = true;
	else if (!claim_body(call, call->body.len + *len))
		call->no_memory = true;
	if (call->no_memory)
		bytes_clear(&call->body);
	else if (!call->too_large)
		bytes_append(&call->body, data, *len);
	*len = 0;
	return MHD_YES;
}

static enum MHD_Result handle(void *data, struct MHD_Connection *connection,
			      const char *url, const char *method,
			      const char *version, const char *upload,
			      size_t *upload_len, void **context)
{
	struct http_call *call = *context;
	enum result code;

	(void)data;
	(void)connection;
	(void)version;
	call->method = method;
	call->path = url;
	if (!call->started) {
		call->started = true;
		code = claim_announced(call);
		return code ? http_refuse(call, code, NULL) : MHD_YES;
	}
	if (*upload_len)
		return take_body(call, upload, upload_len);
	if (call->exchange)
		return http_continue(call);
	if (call->too_large)
		return http_refuse(call, RESULT_TOO_LARGE, NULL);
	if (call->no_memory)
		return http_refuse(call, RESULT_NO_MEMORY, NULL);
	return serve[call->door](call);
}

static void end_call(void *data, struct MHD_Connection *connection,
		     void **context, enum MHD_RequestTerminationCode why)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(connection,
					MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct http_call *call = *context;

	(void)data;
	if (!call)
		return;
	if (info && info->socket_context)
		caller_watch_detach(info->socket_context);
	if (call->exchange) {
		pthread_mutex_lock(&call->exchange->lock);
		call->exchange->asleep = false;
		pthread_mutex_unlock(&call->exchange->lock);
		if (why != MHD_REQUEST_TERMINATED_COMPLETED_OK)
			exchange_leave(call->exchange);
		exchange_unref(call->exchange);
		http_call_over(call->in);
	}
	bytes_clear(&call->body);
	memory_release(&call->claim);
	free(call->raw_target);
	free(call);
	*context = NULL;
}

static void watch_connection(void *data, struct MHD_Connection *connection,
			     void **socket_context,
			     enum MHD_ConnectionNotificationCode what)
{
	struct http_listener *listener = data;
	const union MHD_ConnectionInfo *info;

	if (what == MHD_CONNECTION_NOTIFY_CLOSED) {
		if (*socket_context)
			caller_watch_remove(*socket_context);
		*socket_context = NULL;
		return;
	}
	info = MHD_get_connection_info(connection,
				       MHD_CONNECTION_INFO_CONNECTION_FD);
	*socket_context =
		caller_watch_add(listener->in->watch, info->connect_fd);
}

static int listen_at(struct http_listener *listener, const char *text,
		     const struct error_handler *handler)
{
	struct address address;
	int fd;

	if (!address_parse(&address, text)) {
		error_report(handler, RESULT_SETTING_VALUE,
			     "%s: not an address IP:port", text);
		return -1;
	}
	fd = acceptor_listen(&address, LISTEN_BACKLOG, &listener->port);
	if (fd < 0)
		error_report(handler, RESULT_SETTING_VALUE, "%s: %s", text,
			     strerror(errno));
	return fd;
}

static unsigned int connection_limit(const struct http_listener *listener)
{
	int wanted = (int)listener->in->options.connections;

	if (listener->door != HTTP_CALLERS)
		return (unsigned int)wanted;
	return (unsigned int)descriptors_for_callers(wanted);
}

/*
 * A stop takes no further connection. MHD_quiesce_daemon() isn't used for that:
 * it takes the listening socket out of the epoll set while the library's own
 * thread may do the same, and the second of them aborts the process.
 */
static enum MHD_Result
accept_connection(void *data, const struct sockaddr *from, socklen_t len)
{
	const struct http_listener *listener = data;

	(void)from;
	(void)len;
	return atomic_load(&listener->in->stopping) ? MHD_NO : MHD_YES;
}

static bool open_listener(struct http_listener *listener,
			  const struct error_handler *handler)
{
	const struct http_in_options *options = &listener->in->options;
	bool tls = options->certificate && listener->door != HTTP_BACKENDS;
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			     MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC |
			     (tls ? MHD_USE_TLS : 0);
	const struct MHD_OptionItem tls_options[] = {
		{ MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)options->certificate },
		{ MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)options->private_key },
		{ MHD_OPTION_END, 0, NULL },
	};
	const struct MHD_OptionItem no_options[] = {
		{ MHD_OPTION_END, 0, NULL },
	};
	int fd = listen_at(listener, options->address[listener->door], handler);

	if (fd < 0)
		return false;
	listener->daemon = MHD_start_daemon(
		flags, 0, accept_connection, listener, handle, listener,
		MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_THREAD_POOL_SIZE,
		listener->door == HTTP_CALLERS ? CALLER_THREADS : 0U,
		MHD_OPTION_CONNECTION_LIMIT, connection_limit(listener),
		MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)options->idle_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)options->header_bytes + ANSWER_HEADER_BYTES,
		MHD_OPTION_URI_LOG_CALLBACK, begin_call, listener,
		MHD_OPTION_NOTIFY_COMPLETED, end_call, listener,
		MHD_OPTION_NOTIFY_CONNECTION, watch_connection, listener,
		MHD_OPTION_ARRAY, tls ? tls_options : no_options,
		MHD_OPTION_END);
	if (listener->daemon)
		return true;
	close(fd);
	error_report(handler, RESULT_SETTING_VALUE,
		     "%s: the listener can't be started",
		     options->address[listener->door]);
	return false;
}

static void copy_options(struct http_in_options *to,
			 const struct http_in_options *from)
{
	int door;

	*to = *from;
	for (door = 0; door < HTTP_DOORS; door++)
		to->address[door] = xstrdup(from->address[door]);
	to->certificate = xstrdup(from->certificate);
	to->private_key = xstrdup(from->private_key);
	to->vm = xstrdup(from->vm);
	to->key_secret = xmemdup(from->key_secret, from->key_secret_len);
}

static void free_options(struct http_in_options *options)
{
	int door;

	for (door = 0; door < HTTP_DOORS; door++)
		free((char *)options->address[door]);
	free((char *)options->certificate);
	free((char *)options->private_key);
	free((char *)options->vm);
	free((void *)options->key_secret);
}

struct http_in *http_in_start(const struct http_in_options *options,
			      const struct error_handler *handler)
{
	struct http_in *in = xcalloc(1, sizeof(*in));
	int door;

	copy_options(&in->options, options);
	view_slot_init(&in->view);
	pthread_mutex_init(&in->lock, NULL);
	pthread_cond_init(&in->drained, NULL);
	in->watch =
		caller_watch_start(options->idle_s * READ_IDLE_TIMES * 1000000,
				   options->counters);
	if (!in->watch) {
		error_report(handler, RESULT_SETTING_VALUE,
			     "the watch of callers can't be started");
		goto fail;
	}
	for (door = 0; door < HTTP_DOORS; door++) {
		in->listeners[door].in = in;
		in->listeners[door].door = door;
		if (options->address[door] &&
		    !open_listener(&in->listeners[door], handler))
			goto fail;
	}
	return in;

fail:
	http_in_stop(in);
	return NULL;
}

int http_in_port(const struct http_in *in, enum http_door door)
{
	return in->listeners[door].port;
}

void http_in_answer(struct http_in *in, const struct effect_answer *answer)
{
	exchange_table_answer(in->options.exchanges, answer);
}

void http_in_admin_answer(struct http_in *in,
			  const struct effect_admin_answer *answer)
{
	exchange_table_admin_answer(in->options.exchanges, answer);
}

void http_in_publish(struct http_in *in, const struct effect_publish *publish)
{
	view_publish(&in->view, publish);
}

/* A suspended connection can't be closed: wake each, as if it had left. */
static void wake_all(struct exchange_table *table)
{
	struct exchange *exchange;
	struct exchange *next;

	pthread_mutex_lock(&table->lock);
	map_foreach(exchange, next, &table->by_id, node)
		exchange_leave(exchange);
	pthread_mutex_unlock(&table->lock);
}

/*
 * The last answers have been handed over but not yet written; closing now
 * would cut them short.
 */
static void drain(struct http_in *in)
{
	int64_t until_us = edge_now_us() + DRAIN_US;
	struct timespec until = { .tv_sec = until_us / 1000000,
				  .tv_nsec = until_us % 1000000 * 1000 };
	int timed_out = 0;

	pthread_mutex_lock(&in->lock);
	while (in->n_calls && !timed_out)
		timed_out = pthread_cond_clockwait(&in->drained, &in->lock,
						   CLOCK_MONOTONIC, &until);
	pthread_mutex_unlock(&in->lock);
}

void http_in_stop(struct http_in *in)
{
	int door;

	atomic_store(&in->stopping, true);
	wake_all(in->options.exchanges);
	drain(in);
	for (door = 0; door < HTTP_DOORS; door++)
		if (in->listeners[door].daemon)
			MHD_stop_daemon(in->listeners[door].daemon);
	caller_watch_stop(in->watch);
	view_slot_clear(&in->view);
	pthread_cond_destroy(&in->drained);
	pthread_mutex_destroy(&in->lock);
	free_options(&in->options);
	free(in);
}
