#include <ctype.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "core/prompt.h"
#include "daemon/http/adapter.h"
#include "daemon/http/http_call.h"

#define NAME_BYTES 63
#define IDEMPOTENCY_KEY_BYTES 255
#define DEADLINE_MS_MAX (24 * 3600 * 1000)

/* traceparent: 2 digits of version, 32 of trace, 16 of span, 2 of flags */
#define TRACE_LEN 55
#define TRACE_ID_AT 3
#define TRACE_SPAN_AT 36

static void event_cleanup(struct event **event)
{
	event_free(*event);
}

static void exchange_cleanup(struct exchange **exchange)
{
	exchange_unref(*exchange);
}

static bool is_hex(const char *text, size_t from, size_t to)
{
	for (; from < to; from++)
		if (!isdigit((unsigned char)text[from]) &&
		    (text[from] < 'a' || text[from] > 'f'))
			return false;
	return true;
}

static bool is_zero(const char *text, size_t from, size_t len)
{
	return strspn(text + from, "0") >= len;
}

static bool is_traceparent(const char *text)
{
	return text && strlen(text) == TRACE_LEN && text[2] == '-' &&
	       text[35] == '-' && text[52] == '-' && is_hex(text, 0, 2) &&
	       strncmp(text, "ff", 2) != 0 && is_hex(text, 3, 35) &&
	       is_hex(text, 36, 52) && is_hex(text, 53, 55) &&
	       !is_zero(text, TRACE_ID_AT, 32) &&
	       !is_zero(text, TRACE_SPAN_AT, 16);
}

/* The caller's trace goes on, or a new one starts; the span is the edge's. */
static char *edge_trace(const char *parent)
{
	unsigned char random[24];
	char digits[49];

	randombytes_buf(random, sizeof(random));
	sodium_bin2hex(digits, sizeof(digits), random, sizeof(random));
	if (!is_traceparent(parent))
		return xstrfmt("00-%.32s-%.16s-01", digits, digits + 32);
	return xstrfmt("00-%.32s-%.16s-%.2s", parent + TRACE_ID_AT, digits + 32,
		       parent + 53);
}

static char *body_hash(const struct bytes *body)
{
	unsigned char hash[crypto_generichash_BYTES];
	char digits[2 * sizeof(hash) + 1];

	crypto_generichash(hash, sizeof(hash),
			   (const unsigned char *)body->data, body->len, NULL,
			   0);
	sodium_bin2hex(digits, sizeof(digits), hash, sizeof(hash));
	return xstrdup(digits);
}

static bool read_deadline(struct http_call *call, int64_t *deadline_ms)
{
	const char *text =
		http_request_header(call, adapter_caller()->deadline_header);
	char *end;

	*deadline_ms = 0;
	if (!text)
		return true;
	if (!isdigit((unsigned char)*text))
		return false;
	*deadline_ms = strtoll(text, &end, 10);
	return !*end && *deadline_ms > 0 && *deadline_ms <= DEADLINE_MS_MAX;
}

/* Headers that all requests share; a message if one isn't allowed. */
static const char *read_headers(struct http_call *call,
				struct event_request *request)
{
	const struct caller_adapter *names = adapter_caller();
	const char *class_name = http_request_header(call, names->class_header);
	const char *key = http_request_header(call, names->idempotency_header);

	request->key_hash = http_bearer_hash(call);
	if (class_name && (!*class_name || strlen(class_name) > NAME_BYTES))
		return "X-Filberthall-Class: a name of 1 to 63 bytes is needed";
	if (key && (!*key || strlen(key) > IDEMPOTENCY_KEY_BYTES))
		return "Idempotency-Key: 1 to 255 bytes are needed";
	if (!read_deadline(call, &request->deadline_ms))
		return "X-Filberthall-Deadline-Ms: milliseconds of 1 to a "
		       "day are needed";
	request->class_name = xstrdup(class_name);
	request->idempotency_key = xstrdup(key);
	request->trace =
		edge_trace(http_request_header(call, names->trace_header));
	request->body_hash = body_hash(&call->body);
	return NULL;
}

static enum result read_prompt(struct http_call *call,
			       struct event_request *request,
			       const struct error_handler *handler)
{
	struct prompt prompt;
	enum result code;

	code = prompt_parse(&prompt, (enum request_kind)request->kind,
			    call->body.data ? call->body.data : "",
			    call->body.len, handler);
	if (code)
		return code;
	request->model = take_ptr(prompt.model);
	request->adapter = take_ptr(prompt.adapter);
	request->prefix_hash = prompt.prefix_hash;
	request->prompt_tokens = prompt.prompt_tokens;
	request->max_tokens = prompt.max_tokens;
	request->stream = prompt.stream;
	prompt_clear(&prompt);
	return RESULT_OK;
}

/* A segment ".." could lead a backend server out of what a rule matched. */
static bool climbs(const char *path)
{
	const char *at = path;

	while ((at = strstr(at, "/.")) != NULL) {
		at += 2;
		if (*at == '.')
			at++;
		if (!*at || *at == '/')
			return true;
	}
	return false;
}

static enum result read_service(struct http_call *call,
				struct event_request *request,
				const struct error_handler *handler)
{
	const char *name =
		call->path + strlen(adapter_caller()->service_prefix);
	size_t len = strcspn(name, "/");

	if (!len || len > NAME_BYTES)
		return error_report(handler, RESULT_NO_ROUTE,
				    "no such service");
	if (climbs(call->path))
		return error_report(handler, RESULT_BAD_REQUEST,
				    "path: no . or .. segments");
	request->service = xmemdup(name, len);
	request->path = xstrdup(name[len] ? name + len : "/");
	request->method = xstrdup(call->method);
	return RESULT_OK;
}

/* The target below /service/NAME as it came, with the query. */
static char *raw_service_path(struct http_call *call)
{
	const char *name =
		call->raw_target + strlen(adapter_caller()->service_prefix);
	const char *path = name + strcspn(name, "/?");

	return xstrfmt("%s%s", *path == '/' ? "" : "/", path);
}

static void fill_exchange(struct exchange *exchange, struct http_call *call,
			  struct event_request *request)
{
	request->id = exchange->id;
	exchange->kind = (enum request_kind)request->kind;
	exchange->stream = request->stream;
	exchange->method = xstrdup(request->method);
	exchange->content_type =
		xstrdup(http_request_header(call, "Content-Type"));
	exchange->idempotency_key = xstrdup(request->idempotency_key);
	exchange->trace = xstrdup(request->trace);
	if (request->kind == REQUEST_SERVICE)
		exchange->path = raw_service_path(call);
	exchange->body = call->body;
	exchange->claim = call->claim;
	memset(&call->body, 0, sizeof(call->body));
	memset(&call->claim, 0, sizeof(call->claim));
}

static enum MHD_Result submit(struct http_call *call, enum request_kind kind)
{
	const struct http_in_options *options = &call->in->options;
	cleanup(event_cleanup) struct event *event = event_new(EVENT_REQUEST);
	cleanup(exchange_cleanup) struct exchange *exchange = NULL;
	cleanup(http_message_clear) struct http_message message;
	struct event_request *request = &event->u.request;
	const char *fault;
	enum result code;

	http_message_init(&message);
	request->kind = kind;
	fault = read_headers(call, request);
	if (fault)
		return http_refuse(call, RESULT_BAD_REQUEST, fault);
	if (!request->key_hash)
		return http_refuse(call, RESULT_NO_KEY, NULL);
	code = kind == REQUEST_SERVICE
		       ? read_service(call, request, &message.handler)
		       : read_prompt(call, request, &message.handler);
	if (code)
		return http_refuse(call, code, message.text);
	exchange = exchange_new(options->exchanges, options->sink);
	fill_exchange(exchange, call, request);
	return http_await(call, take_ptr(exchange), take_ptr(event));
}

static enum MHD_Result serve_health(struct http_call *call)
{
	struct view *view = view_get(&call->in->view);
	const char *text = view->healthy ? "ok\n" : "not ready\n";
	int status = view->healthy ? MHD_HTTP_OK : MHD_HTTP_SERVICE_UNAVAILABLE;

	view_unref(view);
	return http_reply(call, status, "text/plain", text, strlen(text), NULL);
}

static enum MHD_Result serve_models(struct http_call *call)
{
	struct view *view = view_get(&call->in->view);
	enum MHD_Result result;

	if (!view->models.len)
		result = http_refuse(call, RESULT_STOPPING, "not ready yet");
	else
		result = http_reply(call, MHD_HTTP_OK, "application/json",
				    view->models.data, view->models.len, NULL);
	view_unref(view);
	return result;
}

static void add_counters(struct bytes *text, struct edge_counters *counters)
{
#define ADD_COUNTER(field, metric, help)                               \
	bytes_append_format(text,                                      \
			    "# HELP filberthall_" metric " " help "\n" \
			    "# TYPE filberthall_" metric " counter\n"  \
			    "filberthall_" metric " %" PRIu64 "\n",    \
			    (uint64_t)atomic_load(&counters->field));
	EDGE_COUNTER_TABLE(ADD_COUNTER)
#undef ADD_COUNTER
}

static enum MHD_Result serve_metrics(struct http_call *call)
{
	struct view *view = view_get(&call->in->view);
	struct bytes text = bytes_copy(&view->metrics);
	enum MHD_Result result;

	view_unref(view);
	add_counters(&text, call->in->options.counters);
	if (call->in->options.exchanges->memory)
		memory_write_metrics(call->in->options.exchanges->memory,
				     &text);
	result = http_reply(call, MHD_HTTP_OK, "text/plain; version=0.0.4",
			    text.data, text.len, NULL);
	bytes_clear(&text);
	return result;
}

enum MHD_Result http_caller_serve(struct http_call *call)
{
	const struct caller_adapter *names = adapter_caller();
	const char *prefix = names->service_prefix;
	bool post = !strcmp(call->method, "POST");
	bool get =
		!strcmp(call->method, "GET") || !strcmp(call->method, "HEAD");

	if (post && !strcmp(call->path, names->chat_path))
		return submit(call, REQUEST_CHAT);
	if (post && !strcmp(call->path, names->completion_path))
		return submit(call, REQUEST_COMPLETION);
	if (!strncmp(call->path, prefix, strlen(prefix)) &&
	    !strncmp(call->raw_target, prefix, strlen(prefix)))
		return submit(call, REQUEST_SERVICE);
	if (get && !strcmp(call->path, names->health_path))
		return serve_health(call);
	if (get && !strcmp(call->path, names->models_path))
		return serve_models(call);
	if (get && !strcmp(call->path, names->metrics_path))
		return serve_metrics(call);
	return http_refuse(call, RESULT_NO_ROUTE, NULL);
}
