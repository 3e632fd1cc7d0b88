#include "fakes/exchange.h"

#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fakes/server.h"

#define EXCHANGE_BLOCK_SIZE 8192

static void exchange_wake(struct exchange *exchange)
{
	if (!exchange->suspended || exchange->connection->silent)
		return;
	exchange->suspended = false;
	MHD_resume_connection(exchange->mhd);
}

static void exchange_suspend(struct exchange *exchange)
{
	exchange->suspended = true;
	MHD_suspend_connection(exchange->mhd);
}

static void exchange_tell_over(struct exchange *exchange, bool whole)
{
	exchange_over_fn over = exchange->over;

	exchange->over = NULL;
	if (over)
		over(exchange->over_data, whole);
}

struct exchange *exchange_new(struct server *server,
			      struct server_connection *connection,
			      struct MHD_Connection *mhd, const char *path)
{
	struct exchange *exchange = xcalloc(1, sizeof(*exchange));

	exchange->server = server;
	exchange->connection = connection;
	exchange->mhd = mhd;
	exchange->path = xstrdup(path);
	list_init(&exchange->headers);
	connection->exchange = exchange;
	list_append(&server->exchanges, &exchange->node);
	return exchange;
}

static void exchange_free_headers(struct exchange *exchange)
{
	struct exchange_header *header;
	struct exchange_header *tmp;

	list_foreach_safe(header, tmp, &exchange->headers, node) {
		list_remove(&header->node);
		free(header->name);
		free(header->value);
		free(header);
	}
}

void exchange_forget_answer(struct exchange *exchange)
{
	exchange_free_headers(exchange);
	bytes_clear(&exchange->out);
	exchange->status = 0;
	exchange->ended = false;
}

void exchange_finish(struct exchange *exchange, bool whole)
{
	exchange_tell_over(exchange, whole);
	exchange_free_headers(exchange);
	list_remove(&exchange->node);
	exchange->connection->exchange = NULL;
	free(exchange->method);
	free(exchange->path);
	bytes_clear(&exchange->body);
	bytes_clear(&exchange->out);
	free(exchange);
}

void exchange_hang_up(struct exchange *exchange)
{
	if (!exchange->suspended)
		return;
	exchange_tell_over(exchange, false);
	exchange->connection->silent = false;
	exchange_abort(exchange);
}

static ssize_t exchange_read(void *data, uint64_t position, char *buffer,
			     size_t max)
{
	struct exchange *exchange = data;
	size_t len = exchange->out.len < max ? exchange->out.len : max;

	/* What was written before it broke off still goes out. */
	if (!len && exchange->aborted)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (!len && exchange->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (!len || exchange->connection->silent) {
		if (exchange->connection->hung_up)
			return MHD_CONTENT_READER_END_WITH_ERROR;
		exchange_suspend(exchange);
		return 0;
	}
	memcpy(buffer, exchange->out.data, len);
	bytes_consume(&exchange->out, len);
	return (ssize_t)len;
}

static bool exchange_queue(struct exchange *exchange)
{
	struct exchange_header *header;
	struct MHD_Response *response;
	enum MHD_Result queued;

	if (exchange->streaming)
		response =
			MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
							  EXCHANGE_BLOCK_SIZE,
							  exchange_read,
							  exchange, NULL);
	else
		response =
			MHD_create_response_from_buffer(exchange->out.len,
							exchange->out.data,
							MHD_RESPMEM_MUST_COPY);
	list_foreach(header, &exchange->headers, node)
		MHD_add_response_header(response, header->name, header->value);
	queued = MHD_queue_response(exchange->mhd, exchange->status, response);
	MHD_destroy_response(response);
	return queued == MHD_YES;
}

bool exchange_proceed(struct exchange *exchange)
{
	if (exchange->aborted)
		return false;
	if (exchange->status && !exchange->connection->silent)
		return exchange_queue(exchange);
	if (exchange->connection->hung_up) {
		exchange_tell_over(exchange, false);
		return false;
	}
	exchange_suspend(exchange);
	return true;
}

const char *exchange_header(const struct exchange *exchange, const char *name)
{
	return MHD_lookup_connection_value(exchange->mhd, MHD_HEADER_KIND,
					   name);
}

void exchange_set_header(struct exchange *exchange, const char *name,
			 const char *value)
{
	struct exchange_header *header = xcalloc(1, sizeof(*header));

	header->name = xstrdup(name);
	header->value = xstrdup(value);
	list_append(&exchange->headers, &header->node);
}

void exchange_begin(struct exchange *exchange, int status, const char *type)
{
	exchange_set_header(exchange, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	exchange->status = status;
	exchange->streaming = true;
	exchange_wake(exchange);
}

void exchange_write(struct exchange *exchange, const void *data, size_t len)
{
	bytes_append(&exchange->out, data, len);
	exchange_wake(exchange);
}

void exchange_end(struct exchange *exchange)
{
	exchange->ended = true;
	exchange_wake(exchange);
}

void exchange_answer(struct exchange *exchange, int status, const char *type,
		     const void *body, size_t len)
{
	exchange_set_header(exchange, MHD_HTTP_HEADER_CONTENT_TYPE, type);
	bytes_append(&exchange->out, body, len);
	exchange->status = status;
	exchange->ended = true;
	exchange_wake(exchange);
}

void exchange_answer_json(struct exchange *exchange, int status,
			  const char *json)
{
	exchange_answer(exchange, status, "application/json", json,
			strlen(json));
}

void exchange_abort(struct exchange *exchange)
{
	exchange->aborted = true;
	exchange_wake(exchange);
}

void exchange_on_over(struct exchange *exchange, exchange_over_fn over,
		      void *data)
{
	exchange->over = over;
	exchange->over_data = data;
}
