#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "daemon/http/adapter.h"
#include "daemon/http/attempt_private.h"

struct attempt_key {
	uint64_t id;
	int64_t attempt;
};

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
	memory_release(&attempt->claim);
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
	attempt_post(attempt, event);
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
	attempt_post(attempt, event);
}

static void attempt_run(struct wire *wire)
{
	struct attempt *attempt = attempt_of(wire);
	enum result code;

	edge_count(&attempt->set->counters->attempts);
	code = wire_run(wire);
	if (!code)
		code = attempt_end_body(attempt);
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
	attempt->claim = memory_claim(set->exchanges->memory, MEMORY_ANSWERS);
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
