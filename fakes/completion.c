#include "fakes/completion.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/text.h"

#define US_PER_MS 1000
#define COMPLETION_PREFIX_MAX (PROMPT_PREFIX_BYTES / 4)
#define COMPLETION_NEVER (-1)

static void completion_free(struct completion *completion)
{
	if (completion->exchange)
		exchange_on_over(completion->exchange, NULL, NULL);
	loop_timer_cancel(&completion->late_timer);
	batch_remove(&completion->engine->batch, &completion->sequence);
	list_remove(&completion->node);
	prompt_clear(&completion->prompt);
	bytes_clear(&completion->text);
	free(completion->id);
	free(completion->request_id);
	free(completion);
}

/* The caller closed the connection: that cancels. */
static void completion_over(void *data, bool whole)
{
	struct completion *completion = data;

	completion->exchange = NULL;
	completion->engine->counts.cancelled++;
	completion_free(completion);
}

void completion_cancel(struct completion *completion)
{
	exchange_abort(completion->exchange);
	completion->engine->counts.cancelled++;
	completion_free(completion);
}

struct completion *completion_find(const struct engine *engine,
				   const char *request_id)
{
	struct completion *completion;

	list_foreach(completion, &engine->completions, node)
		if (!strcmp(completion->request_id, request_id))
			return completion;
	return NULL;
}

static const char *completion_finish_reason(const struct completion *completion)
{
	int64_t max_tokens = completion->prompt.max_tokens;

	return completion->sequence.length == max_tokens ? "length" : "stop";
}

static void completion_write_head(struct bytes *out,
				  const struct completion *completion,
				  const char *kind)
{
	bytes_append_format(out,
			    "{\"id\":\"%s\",\"object\":\"%s\","
			    "\"created\":%" PRId64 ",\"model\":\"%s\","
			    "\"choices\":[{\"index\":0,",
			    completion->id, kind, completion->created,
			    completion->prompt.model);
}

static void completion_write_usage(struct bytes *out,
				   const struct completion *completion)
{
	const struct sequence *sequence = &completion->sequence;

	bytes_append_format(out,
			    "\"usage\":{\"prompt_tokens\":%" PRId64
			    ",\"completion_tokens\":%" PRId64
			    ",\"total_tokens\":%" PRId64 "}",
			    sequence->prompt_tokens, sequence->done,
			    sequence->prompt_tokens + sequence->done);
}

static void completion_begin_stream(struct completion *completion)
{
	exchange_set_header(completion->exchange, "X-Prefix-Cached",
			    completion->sequence.cached ? "1" : "0");
	exchange_set_header(completion->exchange, "Cache-Control", "no-cache");
	exchange_begin(completion->exchange, 200, "text/event-stream");
}

static void completion_stream_token(struct completion *completion,
				    const char *token)
{
	cleanup(bytes_clear) struct bytes chunk = { 0 };
	bool first = completion->sequence.done == 1;

	bytes_append_text(&chunk, "data: ");
	completion_write_head(&chunk, completion,
			      completion->chat ? "chat.completion.chunk"
					       : "text_completion");
	if (completion->chat)
		bytes_append_format(&chunk, "\"delta\":{%s\"content\":\"%s\"}",
				    first ? "\"role\":\"assistant\"," : "",
				    token);
	else
		bytes_append_format(&chunk, "\"text\":\"%s\"", token);
	bytes_append_text(&chunk, ",\"finish_reason\":null}]}\n\n");
	exchange_write(completion->exchange, chunk.data, chunk.len);
}

static void completion_stream_end(struct completion *completion)
{
	cleanup(bytes_clear) struct bytes chunk = { 0 };

	bytes_append_text(&chunk, "data: ");
	completion_write_head(&chunk, completion,
			      completion->chat ? "chat.completion.chunk"
					       : "text_completion");
	bytes_append_format(&chunk, "%s,\"finish_reason\":\"%s\"}],",
			    completion->chat ? "\"delta\":{}" : "\"text\":\"\"",
			    completion_finish_reason(completion));
	completion_write_usage(&chunk, completion);
	bytes_append_text(&chunk, "}\n\ndata: [DONE]\n\n");
	exchange_write(completion->exchange, chunk.data, chunk.len);
	exchange_end(completion->exchange);
}

static void completion_answer_whole(struct completion *completion)
{
	cleanup(bytes_clear) struct bytes out = { 0 };
	const char *text = bytes_text(&completion->text);

	completion_write_head(&out, completion,
			      completion->chat ? "chat.completion"
					       : "text_completion");
	if (completion->chat)
		bytes_append_format(&out,
				    "\"message\":{\"role\":\"assistant\","
				    "\"content\":\"%s\"}",
				    text);
	else
		bytes_append_format(&out, "\"text\":\"%s\"", text);
	bytes_append_format(&out, ",\"finish_reason\":\"%s\"}],",
			    completion_finish_reason(completion));
	completion_write_usage(&out, completion);
	bytes_append_text(&out, "}\n");
	exchange_set_header(completion->exchange, "X-Prefix-Cached",
			    completion->sequence.cached ? "1" : "0");
	exchange_answer(completion->exchange, 200, "application/json", out.data,
			out.len);
}

static struct completion *completion_of(struct sequence *sequence)
{
	return container_of(sequence, struct completion, sequence);
}

static void completion_started(struct sequence *sequence)
{
	struct completion *completion = completion_of(sequence);
	const struct bytes *body = &completion->exchange->body;

	completion->engine->counts.started++;
	if (faults_strike(&completion->engine->backend.faults,
			  FAULT_CRASH_BEFORE_RUN, completion->exchange->path,
			  NULL))
		faults_crash("before the run");
	faults_crash_on_mark(&completion->engine->backend.faults, body->data,
			     body->len);
}

static void completion_token(struct sequence *sequence)
{
	struct completion *completion = completion_of(sequence);
	char token[TEXT_TOKEN_SIZE];

	completion->engine->counts.tokens++;
	text_token(completion->hash, sequence->done - 1, token);
	if (sequence->done <= completion->resume)
		return;
	if (!completion->prompt.stream) {
		bytes_append_text(&completion->text, token);
	} else {
		if (!completion->exchange->status)
			completion_begin_stream(completion);
		completion_stream_token(completion, token);
	}
	if (sequence->done == completion->break_after)
		exchange_abort(completion->exchange);
}

static void completion_finished(struct sequence *sequence)
{
	struct completion *completion = completion_of(sequence);
	struct exchange *exchange = completion->exchange;
	const char *path = exchange->path;

	completion->engine->counts.completed++;
	if (faults_strike(&completion->engine->backend.faults,
			  FAULT_CRASH_AFTER_RUN, path, NULL))
		faults_crash("after the run");
	if (!exchange->status && completion->prompt.stream)
		completion_begin_stream(completion);
	if (faults_strike(&completion->engine->backend.faults,
			  FAULT_CLOSE_AFTER_RUN, path, NULL))
		exchange_abort(exchange);
	else if (completion->prompt.stream)
		completion_stream_end(completion);
	else
		completion_answer_whole(completion);
	completion_free(completion);
}

static const struct sequence_calls completion_calls = {
	.started = completion_started,
	.token = completion_token,
	.finished = completion_finished,
};

static void completion_queue(void *data)
{
	struct completion *completion = data;

	batch_add(&completion->engine->batch, &completion->sequence);
}

static int64_t completion_header_int(const struct exchange *exchange,
				     const char *name)
{
	const char *text = exchange_header(exchange, name);
	int64_t value = text ? strtoll(text, NULL, 10) : 0;

	return value > 0 ? value : 0;
}

static void completion_name(struct completion *completion)
{
	struct engine *engine = completion->engine;
	const char *given =
		exchange_header(completion->exchange, "X-Request-Id");

	completion->request_id =
		given ? xstrdup(given)
		      : xstrfmt("cmpl-%" PRIu64, ++engine->next_id);
	completion->id = xstrdup(completion->request_id);
	if (faults_strike(&engine->backend.faults, FAULT_CROSSED,
			  completion->exchange->path, NULL)) {
		free(completion->id);
		completion->id = engine->last_id ? xstrdup(engine->last_id)
						 : xstrdup("crossed");
		completion->hash = ~completion->hash;
	}
	free(engine->last_id);
	engine->last_id = xstrdup(completion->request_id);
	exchange_set_header(completion->exchange, "X-Request-Id",
			    completion->id);
}

static void completion_fill_sequence(struct completion *completion)
{
	struct sequence *sequence = &completion->sequence;
	struct exchange *exchange = completion->exchange;
	const struct prompt *prompt = &completion->prompt;

	list_init(&sequence->node);
	sequence->calls = &completion_calls;
	sequence->priority = completion_header_int(exchange, "X-Priority");
	sequence->prefix_hash = prompt->prefix_hash;
	sequence->prompt_tokens = prompt->prompt_tokens;
	sequence->prefix_tokens = prompt->prompt_tokens < COMPLETION_PREFIX_MAX
					  ? prompt->prompt_tokens
					  : COMPLETION_PREFIX_MAX;
	sequence->length = text_length(exchange->body.data, exchange->body.len,
				       completion->hash, prompt->max_tokens);
	sequence->prefilled = exchange_header(exchange, "X-KV-Handle") != NULL;
	completion->resume = completion_header_int(exchange, "X-Resume-Tokens");
	if (completion->resume > sequence->length)
		completion->resume = sequence->length;
	sequence->done = completion->resume;
}

static void completion_run(struct completion *completion)
{
	struct engine *engine = completion->engine;
	const char *path = completion->exchange->path;
	int64_t late_ms;

	completion->break_after = COMPLETION_NEVER;
	faults_strike(&engine->backend.faults, FAULT_BREAK, path,
		      &completion->break_after);
	loop_timer_init(&completion->late_timer, completion_queue, completion);
	exchange_on_over(completion->exchange, completion_over, completion);
	list_append(&engine->completions, &completion->node);
	if (faults_strike(&engine->backend.faults, FAULT_LATE, path, &late_ms))
		loop_timer_set(&engine->backend.loop, &completion->late_timer,
			       loop_now_us() + late_ms * US_PER_MS);
	else
		completion_queue(completion);
}

static void completion_refuse_unread(void *data, enum result code,
				     const char *message)
{
	engine_refuse(data, 400, message);
}

static bool completion_strike_early(struct engine *engine,
				    struct exchange *exchange)
{
	int64_t status;

	if (faults_strike(&engine->backend.faults, FAULT_CLOSE_AFTER_READ,
			  exchange->path, NULL)) {
		exchange_abort(exchange);
		return true;
	}
	if (!faults_strike(&engine->backend.faults, FAULT_ERROR, exchange->path,
			   &status))
		return false;
	engine_refuse(exchange, (int)status, "asked for");
	return true;
}

void completion_begin(struct engine *engine, struct exchange *exchange,
		      bool chat)
{
	struct error_handler handler = { completion_refuse_unread, exchange };
	struct completion *completion;
	struct prompt prompt;

	engine->counts.requests++;
	if (completion_strike_early(engine, exchange))
		return;
	if (prompt_parse(&prompt, chat ? REQUEST_CHAT : REQUEST_COMPLETION,
			 bytes_text(&exchange->body), exchange->body.len,
			 &handler))
		return;
	if (!engine_serves(engine, prompt.model, prompt.adapter)) {
		engine_refuse(exchange, 404, "no such model here");
		prompt_clear(&prompt);
		return;
	}
	completion = xcalloc(1, sizeof(*completion));
	completion->engine = engine;
	completion->exchange = exchange;
	completion->prompt = prompt;
	completion->chat = chat;
	completion->created = time(NULL);
	completion->hash = text_hash(exchange->body.data, exchange->body.len);
	completion_fill_sequence(completion);
	completion_name(completion);
	completion_run(completion);
}
