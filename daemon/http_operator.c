#include <string.h>

#include "base/alloc.h"
#include "daemon/adapter.h"
#include "daemon/http_call.h"

enum MHD_Result http_operator_serve(struct http_call *call)
{
	const struct http_in_options *options = &call->in->options;
	const char *prefix = adapter_caller()->operator_prefix;
	struct exchange *exchange;
	struct event *event;
	char *hash;

	if (strcmp(call->method, "POST") != 0 ||
	    strncmp(call->path, prefix, strlen(prefix)) != 0 ||
	    !call->path[strlen(prefix)])
		return http_refuse(call, RESULT_NO_ROUTE, NULL);
	hash = http_bearer_hash(call);
	if (!hash)
		return http_refuse(call, RESULT_NO_KEY, NULL);
	exchange = exchange_new(options->exchanges, options->sink);
	exchange->admin = true;
	event = event_new(EVENT_ADMIN);
	event->u.admin.id = exchange->id;
	event->u.admin.key_hash = hash;
	event->u.admin.command = xstrdup(call->path + strlen(prefix));
	event->u.admin.body = call->body;
	memset(&call->body, 0, sizeof(call->body));
	return http_await(call, exchange, event);
}
