#include <string.h>

#include "base/cleanup.h"
#include "daemon/http/adapter.h"
#include "daemon/http/http_call.h"

static enum MHD_Result accepted(struct http_call *call)
{
	return http_reply(call, MHD_HTTP_OK, "application/json", "{}", 2, NULL);
}

static enum MHD_Result take_event(struct http_call *call, struct event *event,
				  const char *fault)
{
	const struct edge_sink *sink = call->in->options.sink;

	if (!event)
		return http_refuse(call, RESULT_BAD_REQUEST, fault);
	edge_count(&call->in->options.counters->announcements);
	sink->post(sink->data, event);
	return accepted(call);
}

static enum MHD_Result take_cache(struct http_call *call, const char *body,
				  struct http_message *message)
{
	const struct edge_sink *sink = call->in->options.sink;

	if (adapter_read_cache(body, call->body.len, sink->post, sink->data,
			       &message->handler))
		return http_refuse(call, RESULT_BAD_REQUEST, message->text);
	return accepted(call);
}

enum MHD_Result http_backend_serve(struct http_call *call)
{
	const struct backend_adapter *names = adapter_backend();
	cleanup(http_message_clear) struct http_message message;
	const char *body = bytes_text(&call->body);
	size_t len = call->body.len;
	struct event *event;

	http_message_init(&message);
	if (strcmp(call->method, "POST") != 0)
		return http_refuse(call, RESULT_NO_ROUTE, NULL);
	if (!strcmp(call->path, names->announce_path)) {
		event = adapter_read_announce(body, len, &message.handler);
		return take_event(call, event, message.text);
	}
	if (!strcmp(call->path, names->notice_path)) {
		event = adapter_read_notice(body, len, &message.handler);
		return take_event(call, event, message.text);
	}
	if (!strcmp(call->path, names->cache_path))
		return take_cache(call, body, &message);
	return http_refuse(call, RESULT_NO_ROUTE, NULL);
}
