#include "daemon/attempt.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "daemon/adapter.h"

/* The core hears of the first token at once, then at most this often. */
#define TOKENS_EVENT_US 100000

static const char stream_end[] = "[DONE]";

struct attempt {
	struct map_node node;
	struct wire wire;
	struct attempt_set *set;
	struct exchange *exchange;
	struct effect_start_attempt start; /**< with texts of its own */
	char *request_id;
	bool engine;
	bool stream; /**< this answer is a stream of chunks */
	bool owns;   /**< its answer is the one that's delivered */
	bool whole;  /**< the stream's end was seen */
	bool cached;
	bool keep_over; /**< more than keep_limit */
	struct sse sse;
	struct bytes held; /**< of a stream: before the first token */
	struct bytes body; /**< of a whole answer */
	struct bytes kept; /**< for the core */
	char *content_type;
	int64_t tokens;
	int64_t prompt_tokens;
	int64_t told_us;
};

struct attempt_key {
	uint64_t id;
	int64_t attempt;
};

static struct attempt *attempt_of(struct wire *wire)
{
	return container_of(wire, struct attempt, wire);
}

static void post(struct attempt *attempt, struct event *event)
{
	attempt->set->sink->post(attempt->set->sink->data, event);
}

static void attempt_free(struct attempt *attempt)
{
	exchange_unref(attempt->exchange);
	free(attempt->start.address);
	free(attempt->start.trace);
	free(attempt->request_id);
	free(attempt->content_type);
	sse_clear(&attempt->sse);
	bytes_clear(&attempt->held);
	bytes_clear(&attempt->body);
	bytes_clear(&attempt->kept);
	free(attempt);
}

static void tell_ended(struct attempt *attempt, enum result code)
{
	struct event *event = event_new(EVENT_ATTEMPT_ENDED);
	struct event_attempt_ended *ended = &event->u.ended;

	ended->id = attempt->start.id;
	ended->attempt = attempt->start.attempt;
	ended->code = code;
	ended->http_status = attempt->wire.http_status;
	ended->tokens = attempt->owns ? attempt->tokens : 0;
	ended->prompt_tokens = attempt->prompt_tokens;
	ended->sent = attempt->wire.sent;
	ended->cached = attempt->cached;
	if (!code && attempt->start.keep_answer && !attempt->keep_over) {
		ended->content_type = xstrdup(attempt->content_type);
		ended->answer = attempt->kept;
		memset(&attempt->kept, 0, sizeof(attempt->kept));
	}
	post(attempt, event);
}

/* The set's lock makes sure that no cancel still holds the attempt. */
static void attempt_finish(struct attempt *attempt, enum result code)
{
	struct attempt_set *set = attempt->set;

	pthread_mutex_lock(&set->lock);
	map_remove(&set->by_id, &attempt->node);
	pthread_mutex_unlock(&set->lock);
	wire_forget(&attempt->wire);
	if (code && attempt->owns)
		exchange_disown(attempt->exchange, attempt->start.attempt);
	tell_ended(attempt, code);
	attempt_free(attempt);
}

static void attempt_drop(struct wire *wire)
{
	attempt_finish(attempt_of(wire), wire->timed_out
						 ? RESULT_BACKEND_CONNECT
						 : RESULT_CALLER_LEFT);
}

static void attempt_nudge(struct wire *wire)
{
	exchange_nudge(attempt_of(wire)->exchange);
}

static void attempt_prepare(struct wire *wire, ne_request *request)
{
	const struct backend_adapter *names = adapter_backend();
	struct attempt *attempt = attempt_of(wire);
	const struct exchange *exchange = attempt->exchange;
	const char *type = exchange->content_type;

	ne_add_request_header(request, names->request_id_header,
			      attempt->request_id);
	ne_add_request_header(request, adapter_caller()->trace_header,
			      attempt->start.trace);
	if (attempt->engine)
		type = "application/json";
	if (type && wire->body_len)
		ne_add_request_header(request, "Content-Type", type);
	if (!attempt->engine && exchange->idempotency_key)
		ne_add_request_header(request,
				      adapter_caller()->idempotency_header,
				      exchange->idempotency_key);
	if (!attempt->engine)
		return;
	ne_print_request_header(request, names->priority_header, "%d",
				(int)attempt->start.priority);
	if (attempt->start.resume_tokens)
		ne_print_request_header(request, names->resume_header, "%d",
					(int)attempt->start.resume_tokens);
}

static void attempt_sending(struct wire *wire)
{
	struct attempt *attempt = attempt_of(wire);
	struct event *event = event_new(EVENT_ATTEMPT_SENT);

	event->u.sent.id = attempt->start.id;
	event->u.sent.attempt = attempt->start.attempt;
	post(attempt, event);
}

static enum result crossed(struct attempt *attempt)
{
	edge_count(&attempt->set->counters->crossed);
	return RESULT_BACKEND_CROSSED;
}

/*
 * What ends an attempt by its status: for an engine all but 200 and its
 * verdict on the request itself; for a plain service only what says that it
 * couldn't take the request, as any other status is its answer.
 */
static bool is_failure(const struct attempt *attempt, int status)
{
	if (!attempt->engine)
		return status >= 502 && status <= 504;
	return status >= 500 || status == 408 || status == 429;
}

static enum result attempt_head(struct wire *wire, ne_request *request)
{
	const struct backend_adapter *names = adapter_backend();
	struct attempt *attempt = attempt_of(wire);
	const char *id =
		ne_get_response_header(request, names->request_id_header);
	const char *cached =
		ne_get_response_header(request, names->cached_header);

	if (is_failure(attempt, wire->http_status))
		return RESULT_BACKEND_ERROR;
	if (!id || strcmp(id, attempt->request_id) != 0)
		return crossed(attempt);
	attempt->cached = cached && !strcmp(cached, "1");
	attempt->stream = attempt->engine && attempt->exchange->stream &&
			  wire->http_status == 200;
	attempt->content_type =
		xstrdup(ne_get_response_header(request, "Content-Type"));
	return RESULT_OK;
}

static void tell_tokens(struct attempt *attempt, bool first)
{
	int64_t now_us = edge_now_us();
	struct event *event;

	if (!first && now_us - attempt->told_us < TOKENS_EVENT_US)
		return;
	attempt->told_us = now_us;
	event = event_new(EVENT_ATTEMPT_TOKENS);
	event->u.tokens.id = attempt->start.id;
	event->u.tokens.attempt = attempt->start.attempt;
	event->u.tokens.tokens = attempt->tokens;
	event->u.tokens.first = first;
	post(attempt, event);
}

static enum result late(struct attempt *attempt)
{
	edge_count(&attempt->set->counters->late);
	return RESULT_CALLER_LEFT;
}

static bool attempt_own(struct attempt *attempt)
{
	if (!attempt->owns)
		attempt->owns =
			exchange_own(attempt->exchange, attempt->start.attempt);
	return attempt->owns;
}

static void keep(struct attempt *attempt, const void *data, size_t len)
{
	if (!attempt->start.keep_answer || attempt->keep_over)
		return;
	if (attempt->kept.len + len > (size_t)attempt->start.keep_limit) {
		attempt->keep_over = true;
		bytes_clear(&attempt->kept);
		return;
	}
	bytes_append(&attempt->kept, data, len);
}

static enum result pass(struct attempt *attempt, const void *data, size_t len)
{
	struct wire *wire = &attempt->wire;
	bool taken;

	keep(attempt, data, len);
	/* Waiting for a slow caller isn't the backend server's silence. */
	wire_set_deadline(wire, 0);
	taken = exchange_pass(attempt->exchange, attempt->start.attempt, data,
			      len, &wire->stopped);
	wire_set_deadline(wire, wire->idle_ms);
	return taken ? RESULT_OK : late(attempt);
}

/*
 * The caller sees one id over all attempts: its own, which the attempt's id
 * starts with.
 */
static void add_with_callers_id(struct attempt *attempt, struct bytes *out,
				const char *data, size_t len)
{
	size_t id_len = strlen(attempt->request_id);
	size_t short_len = strlen(attempt->exchange->caller_id);
	const char *at = memmem(data, len, attempt->request_id, id_len);
	const char *rest = at ? at + id_len : NULL;

	if (!at) {
		bytes_append(out, data, len);
		return;
	}
	bytes_append(out, data, at - data + short_len);
	bytes_append(out, rest, data + len - rest);
}

static enum result take_chunk(struct attempt *attempt,
			      const struct adapter_chunk *chunk,
			      const char *event, size_t len)
{
	bool first = chunk->tokens && !attempt->tokens;
	enum result code;

	if (chunk->prompt_tokens)
		attempt->prompt_tokens = chunk->prompt_tokens;
	/* The head of a resumed stream has been passed by the one before. */
	if (attempt->start.resume_tokens && !chunk->tokens && !chunk->finished)
		return RESULT_OK;
	add_with_callers_id(attempt, &attempt->held, event, len);
	if (!chunk->tokens && !attempt->owns && !chunk->finished)
		return attempt->held.len > SSE_EVENT_BYTES
			       ? RESULT_BACKEND_BROKE
			       : RESULT_OK;
	if (!attempt_own(attempt))
		return late(attempt);
	code = pass(attempt, attempt->held.data, attempt->held.len);
	bytes_consume(&attempt->held, attempt->held.len);
	if (code || !chunk->tokens)
		return code;
	attempt->tokens += chunk->tokens;
	edge_count(&attempt->set->counters->tokens);
	tell_tokens(attempt, first);
	return RESULT_OK;
}

static enum result take_event(void *data, const char *event, size_t len,
			      const char *payload, size_t payload_len)
{
	struct attempt *attempt = data;
	struct adapter_chunk chunk;

	if (attempt->whole)
		return RESULT_BACKEND_BROKE;
	if (payload_len == strlen(stream_end) &&
	    !memcmp(payload, stream_end, payload_len)) {
		attempt->whole = true;
		return attempt_own(attempt) ? pass(attempt, event, len)
					    : late(attempt);
	}
	if (!adapter_read_chunk(&chunk, payload, payload_len,
				attempt->request_id))
		return RESULT_BACKEND_BROKE;
	if (chunk.error)
		return RESULT_BACKEND_ERROR;
	if (!chunk.mine)
		return crossed(attempt);
	return take_chunk(attempt, &chunk, event, len);
}

static enum result attempt_block(struct wire *wire, const char *data,
				 size_t len)
{
	struct attempt *attempt = attempt_of(wire);

	if (attempt->stream)
		return sse_feed(&attempt->sse, data, len, take_event, attempt);
	if (attempt->body.len + len > EXCHANGE_WHOLE_BYTES)
		return RESULT_BACKEND_BROKE;
	bytes_append(&attempt->body, data, len);
	return RESULT_OK;
}

/* An engine's whole answer is checked and counted before it is held. */
static enum result check_whole(struct attempt *attempt)
{
	struct bytes renamed = { 0 };
	struct adapter_chunk chunk;

	if (!attempt->engine || attempt->wire.http_status != 200)
		return RESULT_OK;
	if (!adapter_read_chunk(&chunk, bytes_text(&attempt->body),
				attempt->body.len, attempt->request_id))
		return RESULT_BACKEND_BROKE;
	if (!chunk.mine)
		return crossed(attempt);
	attempt->prompt_tokens = chunk.prompt_tokens;
	attempt->tokens = chunk.output_tokens;
	add_with_callers_id(attempt, &renamed, attempt->body.data,
			    attempt->body.len);
	bytes_clear(&attempt->body);
	attempt->body = renamed;
	return RESULT_OK;
}

static enum result hold_whole(struct attempt *attempt)
{
	struct exchange_answer answer = { 0 };
	enum result code = check_whole(attempt);

	if (code)
		return code;
	keep(attempt, attempt->body.data, attempt->body.len);
	answer.http_status = attempt->wire.http_status;
	answer.content_type = xstrdup(attempt->content_type);
	answer.body = attempt->body;
	memset(&attempt->body, 0, sizeof(attempt->body));
	if (!exchange_hold(attempt->exchange, attempt->start.attempt, &answer))
		return late(attempt);
	attempt->owns = true;
	edge_count_many(&attempt->set->counters->tokens, attempt->tokens);
	tell_tokens(attempt, true);
	return RESULT_OK;
}

static void attempt_run(struct wire *wire)
{
	struct attempt *attempt = attempt_of(wire);
	enum result code;

	edge_count(&attempt->set->counters->attempts);
	code = wire_run(wire);
	if (!code && attempt->stream && !attempt->whole)
		code = RESULT_BACKEND_BROKE;
	if (!code && !attempt->stream)
		code = hold_whole(attempt);
	attempt_finish(attempt, code);
}

static const struct wire_ops attempt_ops = {
	.run = attempt_run,
	.drop = attempt_drop,
	.nudge = attempt_nudge,
	.prepare = attempt_prepare,
	.sending = attempt_sending,
	.head = attempt_head,
	.block = attempt_block,
};

void attempt_set_init(struct attempt_set *set, struct wire_hub *hub,
		      struct exchange_table *exchanges,
		      const struct edge_sink *sink,
		      struct edge_counters *counters)
{
	pthread_mutex_init(&set->lock, NULL);
	map_init(&set->by_id);
	set->hub = hub;
	set->exchanges = exchanges;
	set->sink = sink;
	set->counters = counters;
}

void attempt_set_clear(struct attempt_set *set)
{
	map_clear(&set->by_id);
	pthread_mutex_destroy(&set->lock);
}

static bool attempt_match(const struct map_node *node, const void *key)
{
	const struct attempt *attempt =
		container_of(node, struct attempt, node);
	const struct attempt_key *wanted = key;

	return attempt->start.id == wanted->id &&
	       attempt->start.attempt == wanted->attempt;
}

static void fill_wire(struct attempt *attempt)
{
	const struct exchange *exchange = attempt->exchange;
	struct wire *wire = &attempt->wire;

	list_init(&wire->queued);
	list_init(&wire->node);
	wire->ops = &attempt_ops;
	wire->address = attempt->start.address;
	wire->method = attempt->engine ? "POST" : exchange->method;
	wire->path = attempt->engine ? adapter_engine_path(exchange->kind)
				     : exchange->path;
	wire->body = exchange->body.data;
	wire->body_len = exchange->body.len;
	wire->connect_ms = attempt->start.connect_ms;
	wire->first_byte_ms = attempt->start.first_byte_ms;
	wire->idle_ms = attempt->start.idle_ms;
	wire->fresh = attempt->start.proven;
}

static struct attempt *attempt_new(struct attempt_set *set,
				   struct exchange *exchange,
				   const struct effect_start_attempt *start)
{
	struct attempt *attempt = xcalloc(1, sizeof(*attempt));

	attempt->set = set;
	attempt->exchange = exchange;
	attempt->start = *start;
	attempt->start.address = xstrdup(start->address);
	attempt->start.trace = xstrdup(start->trace);
	attempt->request_id =
		xstrfmt("%s.%d", exchange->caller_id, (int)start->attempt);
	attempt->engine = exchange->kind != REQUEST_SERVICE;
	fill_wire(attempt);
	return attempt;
}

/* The caller left and the core has heard of it, but not this effect. */
static void tell_gone(struct attempt_set *set,
		      const struct effect_start_attempt *start)
{
	struct event *event = event_new(EVENT_ATTEMPT_ENDED);

	event->u.ended.id = start->id;
	event->u.ended.attempt = start->attempt;
	event->u.ended.code = RESULT_CALLER_LEFT;
	set->sink->post(set->sink->data, event);
}

void attempt_set_start(struct attempt_set *set,
		       const struct effect_start_attempt *start)
{
	struct exchange *exchange =
		exchange_table_find(set->exchanges, start->id);
	struct attempt_key key = { start->id, start->attempt };
	struct attempt *attempt;

	if (!exchange) {
		tell_gone(set, start);
		return;
	}
	attempt = attempt_new(set, exchange, start);
	pthread_mutex_lock(&set->lock);
	map_insert(&set->by_id, &attempt->node, map_hash(&key, sizeof(key)));
	pthread_mutex_unlock(&set->lock);
	wire_submit(set->hub, &attempt->wire);
}

void attempt_set_cancel(struct attempt_set *set, uint64_t id, int64_t number)
{
	struct attempt_key key = { id, number };
	struct map_node *node;
	struct wire *dropped = NULL;

	pthread_mutex_lock(&set->lock);
	node = map_find(&set->by_id, map_hash(&key, sizeof(key)), attempt_match,
			&key);
	if (node)
		dropped = &container_of(node, struct attempt, node)->wire;
	if (dropped && !wire_stop(dropped))
		dropped = NULL;
	pthread_mutex_unlock(&set->lock);
	if (dropped)
		attempt_drop(dropped);
}
