#include "daemon/role/relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "base/alloc.h"

/* The server answers at its time-out by itself; we wait a little longer. */
#define TIMEOUT_SLACK_MS 100

/* Bytes of a whole answer at most; those of plain services are a few kB. */
#define WHOLE_BYTES (8 * 1024 * 1024)

/*
 * Of the body of an answer whose fate its head has decided: it is read over for
 * the sake of the connection.
 */
#define USELESS_BYTES (64 * 1024)
#define USELESS_MS 1000

/* Of events that are held until their server is heard. */
#define EARLY_BYTES (1024 * 1024)

/* How long an answer may wait for memory before its caller is given up. */
#define MEMORY_WAIT_US INT64_C(2000000)

/* Of an event's id that we may have to repeat. */
#define EVENT_ID_BYTES 256

/* What an answer in the making turned out to be. */
enum answer_kind {
	ANSWER_NONE,	 /* no head yet */
	ANSWER_STREAM,	 /* success, passed on event by event */
	ANSWER_WHOLE,	 /* held until it is whole */
	ANSWER_FAILED,	 /* a failure whose status callers would misread */
	ANSWER_REJECTED, /* the server says that it didn't run the request */
	ANSWER_WRONG	 /* not the server's own answer */
};

struct relay {
	const struct relay_host *host;
	struct http_exchange *exchange; /* NULL once answered or left */
	uint64_t id;
	struct dialect_request asked;
	struct http_body body;
	char body_hash[17];
	bool stream;

	/* the attempt that is under way */
	struct http_call *call;
	int64_t attempt;
	struct entry_server server;
	bool to_vm; /* another entry VM, whose promises are founded */
	enum answer_kind kind;
	int status;
	struct bytes headers; /* lines for the caller */
	struct bytes whole; /* of a stream: what came before its first event */
	struct memory_claim claim; /* of what is held of the answer */
	size_t whole_bytes;	   /* of `whole` by its length, if it has one */
	int64_t paused_us; /* since then the answer waits for memory; or 0 */
	struct sse sse;
	size_t useless;	    /* bytes of the body since the last event, if any */
	int64_t events;	    /* passed on by this attempt */
	bool waits;	    /* it isn't known yet whether they may be */
	struct bytes early; /* events that are held meanwhile */
	bool early_ended;   /* the answer has ended behind them, as follows */
	enum result early_code;
	bool early_sent;

	/* of all attempts */
	bool begun; /* the caller has the head of a stream */
	char event_id[EVENT_ID_BYTES];
	bool has_event_id;
	bool held; /* `status`, `headers` and `whole` are a server's answer */
};

static void hash_body(struct relay *relay)
{
	const struct http_head *head = http_exchange_head(relay->exchange);
	const struct bytes *body = &relay->body.bytes;
	uint64_t hash = XXH3_64bits(body->data, body->len) * 31 +
			XXH3_64bits(head->target, strlen(head->target));

	snprintf(relay->body_hash, sizeof(relay->body_hash), "%016llx",
		 (unsigned long long)hash);
}

struct relay *relay_new(const struct relay_host *host,
			struct http_exchange *exchange, uint64_t id)
{
	struct relay *relay = xcalloc(1, sizeof(*relay));

	relay->host = host;
	relay->exchange = exchange;
	relay->id = id;
	host->dialect->read_request(http_exchange_head(exchange),
				    &relay->asked);
	http_exchange_take_body(exchange, &relay->body);
	relay->claim = memory_claim(host->memory, MEMORY_ANSWERS);
	hash_body(relay);
	http_exchange_set_user(exchange, relay);
	return relay;
}

uint64_t relay_id(const struct relay *relay)
{
	return relay->id;
}

struct entry_request relay_request(struct relay *relay)
{
	const struct dialect_request *asked = &relay->asked;
	struct entry_request request = {
		.id = relay->id,
		.name = relay_name(relay),
		.host = asked->host ? asked->host : "",
		.path = http_exchange_head(relay->exchange)->target,
		.key = asked->key,
		.model = asked->model,
		.body_hash = relay->body_hash,
		.prefix_hash = asked->prefix_hash,
		.parts = asked->parts,
		.n_parts = asked->n_parts,
		.prompt_tokens = asked->prompt_tokens,
		.shared_tokens = asked->shared_tokens,
		.output_tokens = asked->output_tokens,
		.deadline_ms = asked->deadline_ms,
		.passed_on = asked->passed_on,
		.last_event = asked->last_event,
		.resumes = asked->resumes,
		.unreadable = asked->unreadable,
	};

	return request;
}

const char *relay_name(const struct relay *relay)
{
	return relay->asked.id ? relay->asked.id : "none";
}

/* Forget an attempt's answer, as another one may follow. */
static void forget_answer(struct relay *relay)
{
	relay->kind = ANSWER_NONE;
	relay->status = 0;
	relay->events = 0;
	relay->useless = 0;
	relay->held = false;
	relay->whole_bytes = 0;
	relay->paused_us = 0;
	bytes_clear(&relay->headers);
	bytes_clear(&relay->whole);
	bytes_clear(&relay->early);
	relay->waits = false;
	relay->early_ended = false;
	sse_clear(&relay->sse);
	memset(&relay->sse, 0, sizeof(relay->sse));
	memory_release(&relay->claim);
}

/* False if there is no memory for what is held of the answer. */
static bool claim_answer(struct relay *relay)
{
	size_t held = relay->whole.capacity + relay->early.capacity +
		      relay->sse.rest.capacity;
	size_t wanted = held;

	if (relay->whole.capacity < relay->whole_bytes)
		wanted += relay->whole_bytes - relay->whole.capacity;
	if (memory_ask(&relay->claim, wanted))
		return true;
	memory_hold(&relay->claim, held);
	return false;
}

/* Read on once there is memory for what is being read. */
static void wait_for_memory(struct relay *relay)
{
	if (!relay->call || relay->paused_us)
		return;
	http_call_pause(relay->call);
	relay->paused_us = relay->host->paused(relay->host->data, relay->id);
}

/* The answer can't be kept: the server may have run the request. */
static void give_up_caller(struct relay *relay)
{
	const struct effect_answer answer = {
		.id = relay->id,
		.code = RESULT_NO_MEMORY,
		.run = RUN_UNKNOWN,
	};

	if (!relay->exchange)
		return;
	relay_answer(relay, &answer);
	relay->host->left(relay->host->data, relay->id);
}

static void tell_ended(struct relay *relay, enum result code, bool sent)
{
	struct event_attempt_ended ended = {
		.id = relay->id,
		.attempt = relay->attempt,
		.code = code,
		.http_status = relay->status,
		.tokens = relay->events,
		.sent = sent,
	};

	relay->waits = false;
	relay->early_ended = false;
	relay->host->ended(relay->host->data, &ended);
}

/* The bytes of a whole answer are claimed before they are read. */
static void claim_whole(struct relay *relay, const struct http_head *head)
{
	const char *length = http_head_get(head, "Content-Length");
	long long len = length ? strtoll(length, NULL, 10) : 0;

	if (len <= 0 || len > WHOLE_BYTES)
		return;
	relay->whole_bytes = (size_t)len;
	if (!claim_answer(relay))
		wait_for_memory(relay);
	else
		bytes_reserve(&relay->whole, relay->whole_bytes);
}

/* An answer without a type is taken for what was asked for. */
static bool is_event_stream(const struct http_head *head)
{
	static const char type[] = "text/event-stream";
	const char *given = http_head_get(head, "Content-Type");

	return !given || !strncasecmp(given, type, sizeof(type) - 1);
}

static void on_head(void *data, const struct http_head *head)
{
	struct relay *relay = data;
	const struct relay_host *host = relay->host;
	struct dialect_answer answer = { 0 };
	bool success = head->status >= 200 && head->status < 300;

	host->dialect->read_answer(head, &answer);
	if (!answer.elsewhere)
		host->state(host->data, &relay->server, &answer);
	relay->status = head->status;
	if (answer.not_run)
		relay->kind = ANSWER_REJECTED;
	else if (answer.unfounded && !relay->to_vm)
		relay->kind = ANSWER_FAILED;
	else if (success && (!answer.signed_off || answer.encoded ||
			     (relay->begun && !is_event_stream(head))))
		relay->kind = ANSWER_WRONG;
	else if (success && relay->stream)
		relay->kind = ANSWER_STREAM;
	else
		relay->kind = ANSWER_WHOLE;
	if (relay->call &&
	    (relay->kind == ANSWER_REJECTED || relay->kind == ANSWER_FAILED ||
	     relay->kind == ANSWER_WRONG))
		http_call_limit(relay->call, USELESS_MS);
	host->dialect->write_answer(head, &relay->headers);
	if (relay->kind == ANSWER_WHOLE)
		claim_whole(relay, head);
}

/* Remember the id of an event: where another server would go on. */
static void note_event_id(struct relay *relay, const char *event, size_t len)
{
	const char *line = event;
	const char *end = event + len;
	const char *next;
	size_t n;

	for (; line < end; line = next + 1) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next)
			return;
		if (strncmp(line, "id:", 3) != 0)
			continue;
		line += 3;
		while (line < next && *line == ' ')
			line++;
		n = (size_t)(next - line);
		if (n && line[n - 1] == '\r')
			n--;
		if (n >= sizeof(relay->event_id))
			return;
		memcpy(relay->event_id, line, n);
		relay->event_id[n] = '\0';
		relay->has_event_id = true;
		return;
	}
}

static enum result hold_event(struct relay *relay, const char *event,
			      size_t len)
{
	relay->waits = true;
	relay->useless = 0;
	bytes_append(&relay->early, event, len);
	return relay->early.len > EARLY_BYTES ? RESULT_BACKEND_CROSSED
					      : RESULT_OK;
}

static enum entry_begin may_begin(const struct relay *relay)
{
	const struct relay_host *host = relay->host;

	if (relay->events)
		return ENTRY_BEGIN_PASS;
	return host->begins(host->data, relay->id, relay->attempt);
}

/* What came before the first event of this attempt. */
static void pass_before(struct relay *relay)
{
	if (relay->whole.len)
		http_exchange_piece(relay->exchange, relay->whole.data,
				    relay->whole.len);
	bytes_clear(&relay->whole);
}

/* Comments go on in their places and begin nothing by themselves. */
static enum result pass_between(struct relay *relay, const char *text,
				size_t len)
{
	if (relay->waits) {
		bytes_append(&relay->early, text, len);
		return relay->early.len > EARLY_BYTES ? RESULT_BACKEND_CROSSED
						      : RESULT_OK;
	}
	if (!relay->events) {
		bytes_append(&relay->whole, text, len);
		return RESULT_OK;
	}
	note_event_id(relay, text, len);
	http_exchange_piece(relay->exchange, text, len);
	return RESULT_OK;
}

static enum result pass_event(void *data, const char *event, size_t len,
			      const char *payload, size_t payload_len)
{
	struct relay *relay = data;
	struct event_attempt_tokens tokens = {
		.id = relay->id,
		.attempt = relay->attempt,
		.tokens = relay->events + 1,
		.first = !relay->events,
	};
	enum entry_begin begin;

	(void)payload_len;
	if (!relay->exchange)
		return RESULT_CALLER_LEFT;
	if (!payload)
		return pass_between(relay, event, len);
	begin = relay->waits ? ENTRY_BEGIN_WAIT : may_begin(relay);
	if (begin == ENTRY_BEGIN_WAIT)
		return hold_event(relay, event, len);
	if (begin == ENTRY_BEGIN_REJECT)
		return RESULT_BACKEND_CROSSED;
	relay->events++;
	if (!relay->begun) {
		relay->begun = true;
		http_exchange_begin(relay->exchange, relay->status,
				    bytes_text(&relay->headers));
	}
	relay->useless = 0;
	pass_before(relay);
	note_event_id(relay, event, len);
	http_exchange_piece(relay->exchange, event, len);
	relay->host->tokens(relay->host->data, &tokens);
	return RESULT_OK;
}

/* No more of the answer is read; another server may be asked at once. */
static void give_up(struct relay *relay, enum result code, bool sent)
{
	http_call_cancel(relay->call);
	relay->call = NULL;
	tell_ended(relay, code, sent);
}

static void on_events(struct relay *relay, const char *piece, size_t len)
{
	enum result code;

	relay->useless += len;
	code = sse_feed(&relay->sse, piece, len, pass_event, relay);
	if (!code && relay->useless > SSE_EVENT_BYTES)
		code = RESULT_BACKEND_BROKE;
	if (code == RESULT_BACKEND_CROSSED || code == RESULT_BACKEND_BROKE)
		give_up(relay, RESULT_BACKEND_CROSSED, true);
	else if (!code && !claim_answer(relay))
		give_up_caller(relay);
}

static void on_whole(struct relay *relay, const char *piece, size_t len)
{
	if (!relay->exchange)
		return;
	bytes_append(&relay->whole, piece, len);
	if (relay->whole.len > WHOLE_BYTES) {
		relay->kind = ANSWER_WRONG;
		give_up(relay, RESULT_BACKEND_CROSSED, true);
	} else if (!claim_answer(relay)) {
		wait_for_memory(relay);
	}
}

static void on_useless(struct relay *relay, size_t len)
{
	relay->useless += len;
	if (relay->useless > USELESS_BYTES)
		give_up(relay, RESULT_BACKEND_CROSSED,
			relay->kind != ANSWER_REJECTED);
}

static void on_body(void *data, const char *piece, size_t len)
{
	struct relay *relay = data;

	if (relay->kind == ANSWER_STREAM)
		on_events(relay, piece, len);
	else if (relay->kind == ANSWER_WHOLE)
		on_whole(relay, piece, len);
	else
		on_useless(relay, len);
}

/* What an answer that came whole means. */
static enum result judge(struct relay *relay)
{
	switch (relay->kind) {
	case ANSWER_REJECTED:
	case ANSWER_FAILED:
		return RESULT_BACKEND_ERROR;
	case ANSWER_STREAM:
		return relay->sse.rest.len ? RESULT_BACKEND_BROKE : RESULT_OK;
	case ANSWER_WHOLE:
		relay->held = true;
		return relay->status >= 500 || relay->begun
			       ? RESULT_BACKEND_ERROR
			       : RESULT_OK;
	case ANSWER_NONE:
	case ANSWER_WRONG:
		break;
	}
	return RESULT_BACKEND_CROSSED;
}

static void on_end(void *data, enum result code, bool sent)
{
	struct relay *relay = data;

	relay->call = NULL;
	if (!code)
		code = judge(relay);
	if (relay->kind == ANSWER_REJECTED)
		sent = false;
	if (relay->waits) {
		relay->early_ended = true;
		relay->early_code = code;
		relay->early_sent = sent;
		return;
	}
	tell_ended(relay, code, sent);
}

/* No more of the answer is read, or is to be passed on. */
static void end_early(struct relay *relay, enum result code, bool sent)
{
	if (relay->call)
		give_up(relay, code, sent);
	else
		tell_ended(relay, code, sent);
}

/* The answer may be read on, or its caller is given up. */
static void look_for_memory(struct relay *relay, int64_t now_us)
{
	if (claim_answer(relay)) {
		relay->paused_us = 0;
		http_call_go_on(relay->call);
	} else if (now_us - relay->paused_us >= MEMORY_WAIT_US) {
		give_up_caller(relay);
	} else {
		relay->host->paused(relay->host->data, relay->id);
	}
}

void relay_ask_again(struct relay *relay, int64_t now_us)
{
	struct bytes early = relay->early;
	struct sse sse = { 0 };
	enum result code;

	if (relay->paused_us && relay->call) {
		look_for_memory(relay, now_us);
		return;
	}
	if (!relay->waits)
		return;
	relay->waits = false;
	relay->early = (struct bytes){ 0 };
	code = sse_feed(&sse, early.data, early.len, pass_event, relay);
	sse_clear(&sse);
	bytes_clear(&early);
	if (relay->waits)
		return;
	if (code == RESULT_BACKEND_CROSSED)
		end_early(relay, code, true);
	else if (relay->early_ended)
		end_early(relay, relay->early_code, relay->early_sent);
}

static const struct http_call_hooks call_hooks = { on_head, on_body, on_end };

void relay_start(struct relay *relay, const struct effect_start_attempt *start,
		 int64_t now_us)
{
	const struct relay_host *host = relay->host;
	struct dialect_forward forward = { 0 };
	struct http_call_request request = { 0 };
	struct entry_call call;
	struct bytes head = { 0 };

	forget_answer(relay);
	relay->attempt = start->attempt;
	relay->to_vm = start->to_vm;
	relay->server = entry_server_named(host->entry, start->address);
	if (!relay->exchange ||
	    !entry_find_call(host->entry, relay->id, &call)) {
		tell_ended(relay, RESULT_CALLER_LEFT, false);
		return;
	}
	/* Whoever has the address by now would run the request. */
	if (!start->to_vm && !relay->server.id[0]) {
		tell_ended(relay, RESULT_BACKEND_CONNECT, false);
		return;
	}
	relay->stream = call.stream;
	forward.organisation = call.organisation;
	forward.server = relay->server.id[0] ? relay->server.id : NULL;
	if (relay->has_event_id) {
		forward.resume_after = relay->event_id;
		forward.resumes = relay->asked.resumes ? relay->asked.resumes
						       : relay->asked.id;
	}
	forward.urgency = call.urgency;
	forward.wait_ms = (call.deadline_us - now_us) / 1000;
	forward.body_len = relay->body.bytes.len;
	if (start->to_vm)
		host->dialect->write_passed(http_exchange_head(relay->exchange),
					    &forward, &head);
	else
		host->dialect->write_request(http_exchange_head(
						     relay->exchange),
					     &forward, &head);
	request.address = relay->server.address;
	request.head = &head;
	request.lasting_body = &relay->body.bytes;
	request.id = relay->asked.id;
	request.fresh = start->proven;
	request.no_body =
		!strcmp(http_exchange_head(relay->exchange)->method, "HEAD");
	request.timeout_ms = forward.wait_ms + TIMEOUT_SLACK_MS;
	relay->call =
		http_call_start(host->client, &request, &call_hooks, relay);
	bytes_clear(&head);
}

void relay_cancel(struct relay *relay, int64_t attempt)
{
	bool sent;

	if (relay->attempt != attempt)
		return;
	if (relay->early_ended)
		end_early(relay, RESULT_CALLER_LEFT, true);
	if (!relay->call)
		return;
	sent = http_call_sent(relay->call);
	http_call_cancel(relay->call);
	relay->call = NULL;
	tell_ended(relay, RESULT_CALLER_LEFT, sent);
}

/* The bytes go over to the caller's connection, which claims them itself. */
static void answer_held(struct relay *relay)
{
	memory_release(&relay->claim);
	http_exchange_answer(relay->exchange, relay->status,
			     bytes_text(&relay->headers), &relay->whole);
	bytes_clear(&relay->whole);
}

static void answer_refusal(struct relay *relay,
			   const struct effect_answer *answer)
{
	struct bytes headers = { 0 };
	int status = relay->host->dialect->write_refusal(
		relay->asked.id, (enum result)answer->code,
		(enum run_state)answer->run, answer->retry_after_ms, &headers);

	http_exchange_answer(relay->exchange, status, bytes_text(&headers),
			     NULL);
	bytes_clear(&headers);
}

void relay_answer(struct relay *relay, const struct effect_answer *answer)
{
	struct http_exchange *exchange = relay->exchange;

	if (!exchange)
		return;
	if (answer->code == RESULT_OK && relay->begun) {
		pass_before(relay);
		http_exchange_end(exchange);
	} else if (relay->begun) {
		http_exchange_cut(exchange);
	} else if (answer->code == RESULT_OK ||
		   (relay->held && (answer->code == RESULT_BACKEND_ERROR ||
				    answer->code == RESULT_RETRY_BUDGET))) {
		/* Of a stream without events what else came is held. */
		answer_held(relay);
	} else {
		answer_refusal(relay, answer);
	}
	relay->exchange = NULL;
}

void relay_caller_left(struct relay *relay)
{
	relay->exchange = NULL;
}

bool relay_is_over(const struct relay *relay)
{
	return !relay->exchange && !relay->call && !relay->early_ended;
}

void relay_free(struct relay *relay)
{
	if (relay->call)
		http_call_cancel(relay->call);
	free(relay->asked.key);
	free(relay->asked.parts);
	http_body_clear(&relay->body);
	memory_release(&relay->claim);
	bytes_clear(&relay->headers);
	bytes_clear(&relay->whole);
	bytes_clear(&relay->early);
	sse_clear(&relay->sse);
	free(relay);
}
