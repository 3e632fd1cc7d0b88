#include "daemon/http/adapter.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"

static const struct caller_adapter caller_adapter = {
	.chat_path = "/v1/chat/completions",
	.completion_path = "/v1/completions",
	.models_path = "/v1/models",
	.service_prefix = "/service/",
	.health_path = "/healthz",
	.metrics_path = "/metrics",
	.class_header = "X-Filberthall-Class",
	.deadline_header = "X-Filberthall-Deadline-Ms",
	.idempotency_header = "Idempotency-Key",
	.trace_header = "traceparent",
	.request_id_header = "X-Request-Id",
	.run_header = "Filberthall-Run",
	.code_header = "Filberthall-Code",
	.operator_prefix = "/admin/",
};

static const struct backend_adapter backend_adapter = {
	.announce_path = "/backend/announce",
	.cache_path = "/backend/cache",
	.notice_path = "/platform/notice",
	.request_id_header = "X-Request-Id",
	.priority_header = "X-Priority",
	.resume_header = "X-Resume-Tokens",
	.cached_header = "X-Prefix-Cached",
	.id_field = "id",
	.usage_field = "usage",
	.prompt_tokens_field = "prompt_tokens",
	.output_tokens_field = "completion_tokens",
};

/* How a verb becomes a call; `named` verbs carry the verb in the body. */
struct verb_row {
	const char *verb;
	const char *method;
	const char *path;
	const char *id_field;
	bool named;
};

static const struct verb_row platform_verbs[] = {
	{ "start", "POST", "/orders", "order_id", true },
	{ "stop", "POST", "/orders", "order_id", true },
	{ "list", "GET", "/orders", NULL, false },
	{ "offers", "GET", "/offers", NULL, false },
	{ "report", "POST", "/reports", "report_id", false },
	{ 0 }
};

static const struct verb_row engine_verbs[] = {
	{ "load-model", "POST", "/engine/orders", "order_id", true },
	{ "load-adapter", "POST", "/engine/orders", "order_id", true },
	{ "unload-adapter", "POST", "/engine/orders", "order_id", true },
	{ "set-version", "POST", "/engine/orders", "order_id", true },
	{ "set-role", "POST", "/engine/orders", "order_id", true },
	{ "cancel", "POST", "/engine/cancel", NULL, false },
	{ "export", "POST", "/engine/kv/export", NULL, false },
	{ "import", "POST", "/engine/kv/import", NULL, false },
	{ "status", "GET", "/engine/status", NULL, false },
	{ 0 }
};

static void json_cleanup(json_t **json)
{
	json_decref(*json);
}

const struct caller_adapter *adapter_caller(void)
{
	return &caller_adapter;
}

const struct backend_adapter *adapter_backend(void)
{
	return &backend_adapter;
}

const char *adapter_engine_path(enum request_kind kind)
{
	return kind == REQUEST_CHAT ? caller_adapter.chat_path
				    : caller_adapter.completion_path;
}

static const struct verb_row *find_verb(const struct verb_row *rows,
					const char *verb)
{
	for (; rows->verb; rows++)
		if (!strcmp(rows->verb, verb))
			return rows;
	return NULL;
}

static enum result build_call(struct adapter_call *call,
			      const struct verb_row *row, const char *order_id,
			      int64_t fence, const struct bytes *arguments)
{
	cleanup(json_cleanup) json_t *root = NULL;
	cleanup(free_ptr) char *text = NULL;

	memset(call, 0, sizeof(*call));
	if (!row)
		return RESULT_BAD_REQUEST;
	call->method = row->method;
	call->path = row->path;
	if (!strcmp(row->method, "GET"))
		return RESULT_OK;
	root = arguments->len
		       ? json_loadb(arguments->data, arguments->len, 0, NULL)
		       : json_object();
	if (!json_is_object(root))
		return RESULT_BAD_REQUEST;
	if (row->id_field) {
		json_object_set_new(root, row->id_field, json_string(order_id));
		json_object_set_new(root, "fence", json_integer(fence));
	}
	if (row->named)
		json_object_set_new(root, "verb", json_string(row->verb));
	text = json_dumps(root, JSON_COMPACT);
	bytes_append_text(&call->body, text);
	return RESULT_OK;
}

enum result adapter_platform_call(struct adapter_call *call,
				  const struct effect_platform_call *effect)
{
	return build_call(call, find_verb(platform_verbs, effect->verb),
			  effect->order_id, effect->fence, &effect->body);
}

enum result adapter_engine_call(struct adapter_call *call,
				const struct effect_engine_order *effect)
{
	return build_call(call, find_verb(engine_verbs, effect->verb),
			  effect->order_id, effect->fence, &effect->body);
}

static bool choice_has_text(const json_t *root)
{
	const json_t *choices = json_object_get(root, "choices");
	const json_t *choice = json_array_get(choices, 0);
	const json_t *part = json_object_get(choice, "delta");
	const json_t *text;

	if (!part)
		part = json_object_get(choice, "message");
	text = json_object_get(part ? part : choice, part ? "content" : "text");
	return json_string_length(text) > 0;
}

static bool choice_is_finished(const json_t *root)
{
	const json_t *choices = json_object_get(root, "choices");
	const json_t *choice = json_array_get(choices, 0);

	return json_is_string(json_object_get(choice, "finish_reason"));
}

bool adapter_read_chunk(struct adapter_chunk *chunk, const char *data,
			size_t len, const char *request_id)
{
	cleanup(json_cleanup) json_t *root = json_loadb(data, len, 0, NULL);
	const json_t *usage =
		json_object_get(root, backend_adapter.usage_field);
	const char *id = json_string_value(
		json_object_get(root, backend_adapter.id_field));

	memset(chunk, 0, sizeof(*chunk));
	if (!json_is_object(root))
		return false;
	chunk->mine = id && !strcmp(id, request_id);
	chunk->tokens = choice_has_text(root);
	chunk->finished = choice_is_finished(root);
	chunk->error = json_object_get(root, "error") != NULL;
	chunk->prompt_tokens = json_integer_value(
		json_object_get(usage, backend_adapter.prompt_tokens_field));
	chunk->output_tokens = json_integer_value(
		json_object_get(usage, backend_adapter.output_tokens_field));
	return true;
}
