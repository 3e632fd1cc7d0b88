#include <jansson.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "daemon/http/adapter.h"
#include "daemon/http/http_call.h"

/*
 * A key's secret goes no further than this: what it is granted by is its
 * keyed hash, so neither log nor snapshot nor recording ever holds a key.
 */
static void http_operator_hide_key(const struct http_in_options *options,
				   struct bytes *body)
{
	json_t *args = json_loadb(body->data, body->len, 0, NULL);
	const json_t *key = json_object_get(args, "key");
	char hash[65];
	char *text;

	if (json_is_string(key)) {
		key_hash(hash, options->key_secret, options->key_secret_len,
			 json_string_value(key), json_string_length(key));
		json_object_set_new(args, "hash", json_string(hash));
		json_object_del(args, "key");
		text = json_dumps(args, JSON_COMPACT);
		sodium_memzero(body->data, body->len);
		bytes_clear(body);
		bytes_append_text(body, text ? text : "");
		free(text);
	}
	json_decref(args);
}

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
	http_operator_hide_key(options, &event->u.admin.body);
	return http_await(call, exchange, event);
}
