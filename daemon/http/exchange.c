#include "daemon/http/exchange.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/result.h"

#define MS_PER_S 1000

static const char stream_type[] = "text/event-stream";
static const char json_text[] = "application/json";

void exchange_table_init(struct exchange_table *table, struct memory *memory)
{
	table->memory = memory;
	pthread_mutex_init(&table->lock, NULL);
	map_init(&table->by_id);
	atomic_init(&table->next_id, 1);
}

static struct exchange *exchange_of(struct map_node *node)
{
	return container_of(node, struct exchange, node);
}

void exchange_table_clear(struct exchange_table *table)
{
	struct exchange *exchange;
	struct exchange *next;

	map_foreach(exchange, next, &table->by_id, node) {
		map_remove(&table->by_id, &exchange->node);
		exchange_unref(exchange);
	}
	map_clear(&table->by_id);
	pthread_mutex_destroy(&table->lock);
}

struct exchange *exchange_new(struct exchange_table *table,
			      const struct edge_sink *sink)
{
	struct exchange *exchange = xcalloc(1, sizeof(*exchange));

	atomic_init(&exchange->references, 1);
	exchange->sink = sink;
	exchange->id = atomic_fetch_add(&table->next_id, 1);
	pthread_mutex_init(&exchange->lock, NULL);
	pthread_cond_init(&exchange->room, NULL);
	return exchange;
}

static bool exchange_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct exchange, node)->id ==
	       *(const uint64_t *)key;
}

static uint64_t exchange_hash(uint64_t id)
{
	return map_hash(&id, sizeof(id));
}

void exchange_table_add(struct exchange_table *table, struct exchange *exchange)
{
	exchange_ref(exchange);
	pthread_mutex_lock(&table->lock);
	map_insert(&table->by_id, &exchange->node, exchange_hash(exchange->id));
	pthread_mutex_unlock(&table->lock);
}

struct exchange *exchange_table_find(struct exchange_table *table, uint64_t id)
{
	struct map_node *node;

	pthread_mutex_lock(&table->lock);
	node = map_find(&table->by_id, exchange_hash(id), exchange_match, &id);
	if (node)
		exchange_ref(exchange_of(node));
	pthread_mutex_unlock(&table->lock);
	return node ? exchange_of(node) : NULL;
}

/* The table's reference goes over to the caller. */
static struct exchange *exchange_table_take(struct exchange_table *table,
					    uint64_t id)
{
	struct map_node *node;

	pthread_mutex_lock(&table->lock);
	node = map_find(&table->by_id, exchange_hash(id), exchange_match, &id);
	if (node)
		map_remove(&table->by_id, node);
	pthread_mutex_unlock(&table->lock);
	return node ? exchange_of(node) : NULL;
}

struct exchange *exchange_ref(struct exchange *exchange)
{
	atomic_fetch_add(&exchange->references, 1);
	return exchange;
}

void exchange_unref(struct exchange *exchange)
{
	if (!exchange || atomic_fetch_sub(&exchange->references, 1) != 1)
		return;
	free(exchange->caller_id);
	free(exchange->method);
	free(exchange->path);
	free(exchange->content_type);
	free(exchange->idempotency_key);
	free(exchange->trace);
	free(exchange->answer_type);
	bytes_clear(&exchange->body);
	memory_release(&exchange->claim);
	bytes_clear(&exchange->waiting);
	exchange_answer_clear(&exchange->whole);
	pthread_cond_destroy(&exchange->room);
	pthread_mutex_destroy(&exchange->lock);
	free(exchange);
}

void exchange_answer_clear(struct exchange_answer *answer)
{
	free(answer->content_type);
	bytes_clear(&answer->body);
	memory_release(&answer->claim);
	memset(answer, 0, sizeof(*answer));
}

static bool exchange_owned_by(struct exchange *exchange, int64_t attempt)
{
	if (exchange->ended || exchange->left)
		return false;
	if (!exchange->owner)
		exchange->owner = attempt;
	return exchange->owner == attempt;
}

bool exchange_own(struct exchange *exchange, int64_t attempt)
{
	bool owned;

	pthread_mutex_lock(&exchange->lock);
	owned = exchange_owned_by(exchange, attempt);
	pthread_mutex_unlock(&exchange->lock);
	return owned;
}

void exchange_disown(struct exchange *exchange, int64_t attempt)
{
	pthread_mutex_lock(&exchange->lock);
	if (exchange->owner == attempt)
		exchange->owner = 0;
	pthread_mutex_unlock(&exchange->lock);
}

/* The lock must be held. */
static void exchange_wake(struct exchange *exchange)
{
	if (!exchange->asleep)
		return;
	exchange->asleep = false;
	exchange->wake(exchange->wake_data);
}

static void exchange_set_head(struct exchange *exchange, int http_status,
			      const char *type)
{
	exchange->http_status = http_status;
	free(exchange->answer_type);
	exchange->answer_type = xstrdup(type);
}

bool exchange_pass(struct exchange *exchange, int64_t attempt, const void *data,
		   size_t len, const atomic_bool *stop)
{
	bool taken = false;

	pthread_mutex_lock(&exchange->lock);
	while (exchange_owned_by(exchange, attempt) && !atomic_load(stop) &&
	       exchange->waiting.len &&
	       exchange->waiting.len + len > EXCHANGE_WAITING_BYTES)
		pthread_cond_wait(&exchange->room, &exchange->lock);
	if (exchange_owned_by(exchange, attempt) && !atomic_load(stop)) {
		if (!exchange->http_status) {
			exchange_set_head(exchange, 200, stream_type);
			exchange->chunked = true;
		}
		bytes_append(&exchange->waiting, data, len);
		exchange_wake(exchange);
		taken = true;
	}
	pthread_mutex_unlock(&exchange->lock);
	return taken;
}

void exchange_nudge(struct exchange *exchange)
{
	pthread_mutex_lock(&exchange->lock);
	pthread_cond_broadcast(&exchange->room);
	pthread_mutex_unlock(&exchange->lock);
}

bool exchange_hold(struct exchange *exchange, int64_t attempt,
		   struct exchange_answer *answer)
{
	bool held;

	pthread_mutex_lock(&exchange->lock);
	held = exchange_owned_by(exchange, attempt) && !exchange->http_status;
	if (held) {
		exchange_answer_clear(&exchange->whole);
		exchange->whole = *answer;
		memset(answer, 0, sizeof(*answer));
	}
	pthread_mutex_unlock(&exchange->lock);
	exchange_answer_clear(answer);
	return held;
}

char *exchange_error_json(int64_t code, int64_t run, const char *message)
{
	json_t *error;
	json_t *root;
	char *text;

	error = json_pack("{s:s, s:s, s:I, s:s, s:s}", "message",
			  message ? message : result_text((enum result)code),
			  "type", "filberthall", "code", (json_int_t)code,
			  "name", result_name((enum result)code), "run",
			  run_state_name((enum run_state)run));
	/* A message that isn't UTF-8 can't be packed. */
	if (!error)
		return exchange_error_json(code, run, NULL);
	root = json_pack("{s:o}", "error", error);
	text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

static int64_t whole_seconds(int64_t ms)
{
	return (ms + MS_PER_S - 1) / MS_PER_S;
}

static void exchange_refuse(struct exchange *exchange,
			    const struct effect_answer *answer, int64_t code)
{
	cleanup(free_ptr) char *json =
		exchange_error_json(code, answer->run, answer->message);

	if (exchange->http_status) {
		bytes_append_format(&exchange->waiting, "data: %s\n\n", json);
		return;
	}
	exchange->code = code;
	exchange->run = answer->run;
	exchange->retry_s = whole_seconds(answer->retry_after_ms);
	exchange_set_head(exchange, result_http_status((enum result)code),
			  json_text);
	bytes_append_text(&exchange->waiting, json);
}

/* The core says that all went well: release what was held. */
static void exchange_release(struct exchange *exchange)
{
	struct exchange_answer *whole = &exchange->whole;

	exchange_set_head(exchange, whole->http_status, whole->content_type);
	exchange->waiting = whole->body;
	exchange->run = RUN_RAN;
	memset(&whole->body, 0, sizeof(whole->body));
}

static void exchange_deliver_kept(struct exchange *exchange,
				  const struct effect_answer *answer)
{
	exchange_set_head(exchange, (int)answer->http_status,
			  answer->content_type ? answer->content_type
					       : json_text);
	exchange->run = answer->run;
	bytes_append(&exchange->waiting, answer->body.data, answer->body.len);
}

static void exchange_end(struct exchange *exchange,
			 const struct effect_answer *answer)
{
	if (answer->code)
		exchange_refuse(exchange, answer, answer->code);
	else if (answer->http_status && !exchange->http_status)
		exchange_deliver_kept(exchange, answer);
	else if (!exchange->http_status && exchange->whole.http_status)
		exchange_release(exchange);
	else if (!exchange->http_status)
		exchange_refuse(exchange, answer, RESULT_BACKEND_BROKE);
	exchange->ended = true;
	exchange_wake(exchange);
	pthread_cond_broadcast(&exchange->room);
}

void exchange_table_answer(struct exchange_table *table,
			   const struct effect_answer *answer)
{
	struct exchange *exchange = exchange_table_take(table, answer->id);

	if (!exchange)
		return;
	pthread_mutex_lock(&exchange->lock);
	exchange_end(exchange, answer);
	pthread_mutex_unlock(&exchange->lock);
	exchange_unref(exchange);
}

void exchange_table_admin_answer(struct exchange_table *table,
				 const struct effect_admin_answer *answer)
{
	struct exchange *exchange = exchange_table_take(table, answer->id);

	if (!exchange)
		return;
	pthread_mutex_lock(&exchange->lock);
	exchange->code = answer->code;
	exchange_set_head(exchange,
			  result_http_status((enum result)answer->code),
			  json_text);
	bytes_append(&exchange->waiting, answer->body.data, answer->body.len);
	exchange->ended = true;
	exchange_wake(exchange);
	pthread_mutex_unlock(&exchange->lock);
	exchange_unref(exchange);
}

void exchange_leave(struct exchange *exchange)
{
	bool tell;

	pthread_mutex_lock(&exchange->lock);
	tell = !exchange->left && !exchange->ended && !exchange->admin;
	exchange->left = true;
	pthread_cond_broadcast(&exchange->room);
	exchange_wake(exchange);
	pthread_mutex_unlock(&exchange->lock);
	if (tell) {
		struct event *event = event_new(EVENT_CALLER_LEFT);

		event->u.caller_left.id = exchange->id;
		exchange->sink->post(exchange->sink->data, event);
	}
}
