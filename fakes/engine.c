#include "fakes/engine.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/completion.h"
#include "fakes/json.h"

#define US_PER_MS 1000
#define ENGINE_POLL_MS 20
#define ENGINE_KV_BYTES (128 * 1024) /* of cache for each token */

void engine_refuse(struct exchange *exchange, int status, const char *message)
{
	json_answer(exchange, status,
		    json_pack("{s:{s:s, s:s, s:i}}", "error", "message",
			      message, "type",
			      status < 500 ? "invalid_request_error"
					   : "server_error",
			      "code", status));
}

static bool engine_has_adapter(const struct engine *engine, const char *adapter)
{
	cleanup(free_ptr) char *list = xstrdup(engine->adapters);
	char *rest = NULL;
	char *name = list ? strtok_r(list, ",", &rest) : NULL;

	for (; name; name = strtok_r(NULL, ",", &rest))
		if (!strcmp(name, adapter))
			return true;
	return false;
}

bool engine_serves(const struct engine *engine, const char *model,
		   const char *adapter)
{
	return !strcmp(engine->model, model) &&
	       (!adapter || engine_has_adapter(engine, adapter));
}

static void engine_answer_unknown_request(struct exchange *exchange)
{
	engine_refuse(exchange, 404, "no such request runs here");
}

static struct completion *engine_named_request(struct engine *engine,
					       struct exchange *exchange)
{
	cleanup(json_free) json_t *json = json_body(exchange);
	const char *id = json_text(json, "request_id");

	return id ? completion_find(engine, id) : NULL;
}

static void engine_cancel(struct engine *engine, struct exchange *exchange)
{
	struct completion *completion = engine_named_request(engine, exchange);

	if (!completion) {
		engine_answer_unknown_request(exchange);
		return;
	}
	completion_cancel(completion);
	exchange_answer_json(exchange, 200, "{\"state\": \"done\"}\n");
}

static void engine_kv_export(struct engine *engine, struct exchange *exchange)
{
	struct completion *completion = engine_named_request(engine, exchange);
	cleanup(free_ptr) char *handle = NULL;
	int64_t tokens;

	if (!completion) {
		engine_answer_unknown_request(exchange);
		return;
	}
	tokens = completion->sequence.done;
	handle =
		xstrfmt("kv-%016" PRIx64 "-%" PRId64, completion->hash, tokens);
	json_answer(exchange, 200,
		    json_pack("{s:s, s:I, s:I}", "handle", handle, "tokens",
			      (json_int_t)tokens, "bytes",
			      (json_int_t)(tokens +
					   completion->sequence.prompt_tokens) *
				      ENGINE_KV_BYTES));
	completion_cancel(completion);
}

static void engine_kv_import(struct engine *engine, struct exchange *exchange)
{
	cleanup(json_free) json_t *json = json_body(exchange);

	if (!json_text(json, "handle") || !json_text(json, "from"))
		engine_refuse(exchange, 400, "handle and from are needed");
	else
		exchange_answer_json(exchange, 200, "{\"state\": \"done\"}\n");
}

static json_t *engine_counts_json(const struct engine *engine)
{
	const struct engine_counts *counts = &engine->counts;

	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "requests",
			 (json_int_t)counts->requests, "started",
			 (json_int_t)counts->started, "completed",
			 (json_int_t)counts->completed, "cancelled",
			 (json_int_t)counts->cancelled, "tokens",
			 (json_int_t)counts->tokens, "late_work_ms",
			 (json_int_t)counts->late_work_ms);
}

static void engine_status(struct engine *engine, struct exchange *exchange)
{
	const struct batch *batch = &engine->batch;
	json_t *json =
		json_pack("{s:s, s:s, s:s, s:s?, s:s?, s:s, s:b}", "address",
			  engine->backend.server.address, "boot_id",
			  engine->options->common.boot_id, "model",
			  engine->model, "adapters", engine->adapters,
			  "version", engine->version, "role", engine->role,
			  "leaving",
			  (int)engine->backend.announcer.announce.leaving);

	json_object_set_new(json, "running", json_integer(batch->n_running));
	json_object_set_new(json, "queued", json_integer(batch->n_waiting));
	json_object_set_new(json, "kv_used",
			    json_integer(batch_kv_used(batch)));
	json_object_set_new(json, "fence", json_integer(engine->orders.fence));
	json_object_set_new(json, "counts", engine_counts_json(engine));
	json_answer(exchange, 200, json);
}

static void engine_models(struct engine *engine, struct exchange *exchange)
{
	json_answer(exchange, 200,
		    json_pack("{s:s, s:[{s:s, s:s, s:s}]}", "object", "list",
			      "data", "id", engine->model, "object", "model",
			      "owned_by", "fake-engine"));
}

typedef void (*engine_route_fn)(struct engine *engine,
				struct exchange *exchange);

struct engine_route {
	const char *method;
	const char *path;
	engine_route_fn handle;
};

static void engine_chat(struct engine *engine, struct exchange *exchange)
{
	completion_begin(engine, exchange, true);
}

static void engine_completion(struct engine *engine, struct exchange *exchange)
{
	completion_begin(engine, exchange, false);
}

static const struct engine_route engine_routes[] = {
	{ "POST", "/v1/chat/completions", engine_chat },
	{ "POST", "/v1/completions", engine_completion },
	{ "POST", "/engine/cancel", engine_cancel },
	{ "POST", "/engine/kv/export", engine_kv_export },
	{ "POST", "/engine/kv/import", engine_kv_import },
	{ "POST", "/engine/orders", engine_order },
	{ "GET", "/engine/status", engine_status },
	{ "GET", "/v1/models", engine_models },
};

static void engine_handle(void *data, struct exchange *exchange)
{
	struct engine *engine = data;
	size_t i;

	for (i = 0; i < sizeof(engine_routes) / sizeof(*engine_routes); i++) {
		const struct engine_route *route = &engine_routes[i];

		if (strcmp(route->method, exchange->method) ||
		    strcmp(route->path, exchange->path))
			continue;
		if (!strncmp(exchange->path, "/v1/", 4))
			engine->counts.late_work_ms =
				backend_left_ms(&engine->backend);
		route->handle(engine, exchange);
		return;
	}
	engine_refuse(exchange, 404, "no such path");
}

static void engine_measure(void *data, struct event_announce *now)
{
	const struct engine *engine = data;

	now->running = engine->batch.n_running;
	now->queued = engine->batch.n_waiting;
	now->queued_prompt_tokens = engine->batch.waiting_prompt_tokens;
	now->kv_used = batch_kv_used(&engine->batch);
}

static void engine_cache_changed(void *data, uint64_t prefix_hash, bool held)
{
	struct engine *engine = data;

	announcer_cache_event(&engine->backend.announcer, prefix_hash, held);
}

static void engine_describe(struct engine *engine)
{
	struct event_announce *announce = &engine->backend.announcer.announce;
	const struct batch_limits *limits = &engine->options->limits;

	announce->model = engine->model;
	announce->adapters = engine->adapters;
	announce->version = engine->version;
	announce->role = engine->role;
	announce->slots = limits->slots;
	announce->kv_tokens = limits->kv_tokens;
	announce->prefill_rate = limits->prefill_rate;
	announce->decode_rate = limits->decode_rate;
}

static void engine_init(struct engine *engine,
			const struct engine_options *options)
{
	memset(engine, 0, sizeof(*engine));
	engine->options = options;
	engine->model = xstrdup(options->model);
	engine->adapters = xstrdup(options->adapters);
	engine->version = xstrdup(options->version);
	engine->role = xstrdup(options->role);
	list_init(&engine->completions);
	order_book_init(&engine->orders, options->common.fences);
	batch_init(&engine->batch, &engine->backend.loop, &options->limits,
		   &engine->backend.faults.slow, engine_cache_changed, engine);
}

bool engine_start(struct engine *engine, const struct engine_options *options)
{
	engine_init(engine, options);
	if (!backend_start(&engine->backend, &options->common, engine_handle,
			   engine_measure, engine))
		return false;
	engine_describe(engine);
	return backend_announce(&engine->backend);
}

void engine_run(struct engine *engine)
{
	backend_run(&engine->backend);
}

void engine_clear(struct engine *engine)
{
	backend_clear(&engine->backend);
	batch_clear(&engine->batch);
	order_book_clear(&engine->orders);
	free(engine->model);
	free(engine->adapters);
	free(engine->version);
	free(engine->role);
	free(engine->last_id);
}
