#include "daemon/http/http_call.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/http/adapter.h"

#define STREAM_BLOCK_BYTES 4096

static const char bearer_prefix[] = "Bearer ";

const char *http_request_header(struct http_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
					   name);
}

char *http_bearer_hash(struct http_call *call)
{
	const struct http_in_options *options = &call->in->options;
	const char *value = http_request_header(call, "Authorization");
	size_t prefix = strlen(bearer_prefix);
	char hash[65];

	if (!value || strncasecmp(value, bearer_prefix, prefix) ||
	    !value[prefix])
		return NULL;
	value += prefix;
	key_hash(hash, options->key_secret, options->key_secret_len, value,
		 strlen(value));
	return xstrdup(hash);
}

static enum MHD_Result queue(struct http_call *call, int status,
			     const char *type, struct MHD_Response *response,
			     const struct http_header *headers)
{
	enum MHD_Result result;

	if (!response)
		return MHD_NO;
	if (type)
		MHD_add_response_header(response, "Content-Type", type);
	for (; headers && headers->name; headers++)
		if (headers->value)
			MHD_add_response_header(response, headers->name,
						headers->value);
	result = MHD_queue_response(call->connection, (unsigned int)status,
				    response);
	MHD_destroy_response(response);
	call->answered = true;
	return result;
}

enum MHD_Result http_reply(struct http_call *call, int status, const char *type,
			   const void *body, size_t len,
			   const struct http_header *headers)
{
	return queue(call, status, type,
		     MHD_create_response_from_buffer(len, (void *)body,
						     MHD_RESPMEM_MUST_COPY),
		     headers);
}

enum MHD_Result http_refuse(struct http_call *call, enum result code,
			    const char *message)
{
	const struct caller_adapter *names = adapter_caller();
	cleanup(free_ptr) char *json =
		exchange_error_json(code, RUN_NOT, message);
	cleanup(free_ptr) char *number = xstrfmt("%d", code);
	const struct http_header headers[] = {
		{ names->run_header, run_state_name(RUN_NOT) },
		{ names->code_header, number },
		{ "Retry-After", code == RESULT_NO_MEMORY ? "1" : NULL },
		{ 0 },
	};

	edge_count(&call->in->options.counters->refused);
	return http_reply(call, result_http_status(code), "application/json",
			  json, strlen(json), headers);
}

static void sleep_until_woken(struct exchange *exchange,
			      struct MHD_Connection *connection)
{
	exchange->asleep = true;
	MHD_suspend_connection(connection);
}

static ssize_t read_stream(void *data, uint64_t position, char *buffer,
			   size_t max)
{
	struct exchange *exchange = data;
	ssize_t n = 0;

	(void)position;
	pthread_mutex_lock(&exchange->lock);
	if (exchange->left) {
		n = MHD_CONTENT_READER_END_WITH_ERROR;
	} else if (exchange->waiting.len) {
		n = exchange->waiting.len < max ? exchange->waiting.len : max;
		memcpy(buffer, exchange->waiting.data, n);
		bytes_consume(&exchange->waiting, n);
		pthread_cond_broadcast(&exchange->room);
	} else if (exchange->ended) {
		n = MHD_CONTENT_READER_END_OF_STREAM;
	} else {
		sleep_until_woken(exchange, exchange->wake_data);
	}
	pthread_mutex_unlock(&exchange->lock);
	return n;
}

/* A whole answer doesn't change any more. */
static ssize_t read_whole(void *data, uint64_t position, char *buffer,
			  size_t max)
{
	const struct exchange *exchange = data;
	size_t left = exchange->waiting.len - (size_t)position;
	size_t n = left < max ? left : max;

	memcpy(buffer, exchange->waiting.data + position, n);
	return (ssize_t)n;
}

static void free_stream(void *data)
{
	exchange_unref(data);
}

static struct MHD_Response *exchange_response(struct exchange *exchange)
{
	if (exchange->chunked)
		return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
							 STREAM_BLOCK_BYTES,
							 read_stream,
							 exchange_ref(exchange),
							 free_stream);
	if (!exchange->waiting.len)
		return MHD_create_response_from_buffer(0, NULL,
						       MHD_RESPMEM_PERSISTENT);
	return MHD_create_response_from_callback(exchange->waiting.len,
						 STREAM_BLOCK_BYTES, read_whole,
						 exchange_ref(exchange),
						 free_stream);
}

/*
 * The head is decided and stays as it is, and so does a body that isn't
 * passed piece by piece: no lock. The library holds a lock of its own when it
 * calls read_stream(), so queueing under the exchange's would be a deadlock.
 */
static enum MHD_Result answer_from(struct http_call *call)
{
	const struct caller_adapter *names = adapter_caller();
	struct exchange *exchange = call->exchange;
	cleanup(free_ptr) char *code = xstrfmt("%d", (int)exchange->code);
	cleanup(free_ptr) char *retry = xstrfmt("%d", (int)exchange->retry_s);
	const char *run =
		exchange->chunked
			? run_state_name(RUN_RAN)
			: run_state_name((enum run_state)exchange->run);
	const struct http_header headers[] = {
		{ names->request_id_header, exchange->caller_id },
		{ names->trace_header, exchange->trace },
		{ names->run_header, exchange->admin ? NULL : run },
		{ names->code_header, exchange->code ? code : NULL },
		{ "Retry-After", exchange->retry_s ? retry : NULL },
		{ "Cache-Control", exchange->chunked ? "no-cache" : NULL },
		{ 0 },
	};

	return queue(call, exchange->http_status, exchange->answer_type,
		     exchange_response(exchange), headers);
}

enum MHD_Result http_continue(struct http_call *call)
{
	struct exchange *exchange = call->exchange;
	bool decided;
	bool left;

	pthread_mutex_lock(&exchange->lock);
	left = exchange->left;
	decided = exchange->http_status != 0;
	if (!left && !decided)
		sleep_until_woken(exchange, call->connection);
	pthread_mutex_unlock(&exchange->lock);
	if (left)
		return MHD_NO;
	return decided ? answer_from(call) : MHD_YES;
}

static void resume(void *data)
{
	MHD_resume_connection(data);
}

static struct caller_socket *socket_of(struct http_call *call)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(call->connection,
					MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void call_begins(struct http_in *in)
{
	pthread_mutex_lock(&in->lock);
	in->n_calls++;
	pthread_mutex_unlock(&in->lock);
}

void http_call_over(struct http_in *in)
{
	pthread_mutex_lock(&in->lock);
	if (!--in->n_calls)
		pthread_cond_signal(&in->drained);
	pthread_mutex_unlock(&in->lock);
}

enum MHD_Result http_await(struct http_call *call, struct exchange *exchange,
			   struct event *event)
{
	const struct http_in_options *options = &call->in->options;

	exchange->wake = resume;
	exchange->wake_data = call->connection;
	exchange->caller_id = xstrfmt("%s-%" PRIx64 "-%" PRIu64, options->vm,
				      options->incarnation, exchange->id);
	call->exchange = exchange;
	call_begins(call->in);
	edge_count(&options->counters->requests);
	caller_watch_attach(socket_of(call), exchange);
	/*
	 * From here on the core may answer and a worker may pass bytes; the
	 * sleep below looks under the exchange's lock whether they have.
	 */
	exchange_table_add(options->exchanges, exchange);
	options->sink->post(options->sink->data, event);
	return http_continue(call);
}

static void keep_message(void *data, enum result code, const char *text)
{
	struct http_message *message = data;

	(void)code;
	free(message->text);
	message->text = xstrdup(text);
}

void http_message_init(struct http_message *message)
{
	message->handler.report = keep_message;
	message->handler.data = message;
	message->text = NULL;
}

void http_message_clear(struct http_message *message)
{
	free(message->text);
}
