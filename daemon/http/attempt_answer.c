#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "daemon/http/adapter.h"
#include "daemon/http/attempt_private.h"

/* The core hears of the first token at once, then at most this often. */
#define TOKENS_EVENT_US 100000

static const char stream_end[] = "[DONE]";

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

enum result attempt_head(struct wire *wire, ne_request *request)
{
	const struct backend_adapter *names = adapter_backend();
	struct attempt *attempt = attempt_of(wire);
	const char *id =
		ne_get_response_header(request, names->request_id_header);
	const char *cached =
		ne_get_response_header(request, names->cached_header);

	if (wire->http_status < 100 || wire->http_status > 599)
		return RESULT_BACKEND_BROKE;
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
	attempt_post(attempt, event);
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
	/* The answer is made of chunks; comments aren't for its caller. */
	if (!payload)
		return RESULT_OK;
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

enum result attempt_block(struct wire *wire, const char *data, size_t len)
{
	struct attempt *attempt = attempt_of(wire);

	if (attempt->stream)
		return sse_feed(&attempt->sse, data, len, take_event, attempt);
	if (attempt->body.len + len > EXCHANGE_WHOLE_BYTES)
		return RESULT_BACKEND_BROKE;
	bytes_append(&attempt->body, data, len);
	return memory_ask(&attempt->claim, attempt->body.capacity)
		       ? RESULT_OK
		       : RESULT_NO_MEMORY;
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
	answer.claim = attempt->claim;
	memset(&attempt->body, 0, sizeof(attempt->body));
	memset(&attempt->claim, 0, sizeof(attempt->claim));
	if (!exchange_hold(attempt->exchange, attempt->start.attempt, &answer))
		return late(attempt);
	attempt->owns = true;
	edge_count_many(&attempt->set->counters->tokens, attempt->tokens);
	tell_tokens(attempt, true);
	return RESULT_OK;
}

enum result attempt_end_body(struct attempt *attempt)
{
	if (!attempt->stream)
		return hold_whole(attempt);
	return attempt->whole ? RESULT_OK : RESULT_BACKEND_BROKE;
}
