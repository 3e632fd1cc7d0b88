#include "bench/answer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "base/cleanup.h"
#include "fakes/json.h"
#include "fakes/text.h"

#define ANSWER_HTTP_OK 200
#define ANSWER_EVENT "data: "
#define ANSWER_HASH_SIZE 17

const char *answer_verdict_name(enum answer_verdict verdict)
{
	static const char *const names[ANSWER_VERDICTS] = {
		"ok", "refused", "lost", "torn", "doubled", "crossed",
	};

	return names[verdict];
}

void answer_init(struct answer *answer, enum answer_kind kind, const char *body,
		 size_t len, int64_t max_tokens)
{
	memset(answer, 0, sizeof(*answer));
	answer->kind = kind;
	answer->hash = text_hash(body, len);
	answer->length = text_length(body, len, answer->hash, max_tokens);
}

void answer_clear(struct answer *answer)
{
	bytes_clear(&answer->rest);
}

/* The first fault found is the one that counts. */
static void answer_fault(struct answer *answer, enum answer_verdict verdict)
{
	if (answer->verdict == ANSWER_OK)
		answer->verdict = verdict;
}

static bool answer_is_token(const struct answer *answer, int64_t index,
			    const char *text)
{
	char token[TEXT_TOKEN_SIZE];

	if (index < 0 || index >= answer->length)
		return false;
	text_token(answer->hash, index, token);
	return !strcmp(token, text);
}

static void answer_judge_token(struct answer *answer, const char *text)
{
	if (answer_is_token(answer, answer->tokens, text))
		answer->tokens++;
	else if (answer_is_token(answer, answer->tokens - 1, text) ||
		 answer->tokens >= answer->length)
		answer_fault(answer, ANSWER_DOUBLED);
	else if (answer_is_token(answer, answer->tokens + 1, text))
		answer_fault(answer, ANSWER_TORN);
	else
		answer_fault(answer, ANSWER_CROSSED);
}

static void answer_read_error(struct answer *answer, const json_t *error)
{
	answer->code = json_int(error, "code");
	answer_fault(answer, ANSWER_REFUSED);
}

/* Whether the event brought a token. */
static bool answer_event(struct answer *answer, const char *data)
{
	cleanup(json_free) json_t *json = NULL;
	const json_t *choice;
	const char *text;

	if (!strcmp(data, "[DONE]")) {
		answer->ended = true;
		return false;
	}
	json = json_loads(data, 0, NULL);
	if (json_object_get(json, "error")) {
		answer_read_error(answer, json_object_get(json, "error"));
		return false;
	}
	choice = json_array_get(json_object_get(json, "choices"), 0);
	if (!choice) {
		answer_fault(answer, ANSWER_TORN);
		return false;
	}
	text = json_text(json_object_get(choice, "delta"), "content");
	if (!text)
		return false;
	answer_judge_token(answer, text);
	return true;
}

static int64_t answer_take_events(struct answer *answer)
{
	int64_t tokens = 0;
	size_t done = 0;
	char *end;

	while ((end = memchr(answer->rest.data + done, '\n',
			     answer->rest.len - done))) {
		char *line = answer->rest.data + done;

		*end = '\0';
		if (!strncmp(line, ANSWER_EVENT, strlen(ANSWER_EVENT)))
			tokens += answer_event(answer,
					       line + strlen(ANSWER_EVENT));
		done = (size_t)(end - answer->rest.data) + 1;
	}
	bytes_consume(&answer->rest, done);
	return tokens;
}

int64_t answer_take(struct answer *answer, int status, const char *piece,
		    size_t len)
{
	bytes_append(&answer->rest, piece, len);
	if (answer->kind != ANSWER_STREAM || status != ANSWER_HTTP_OK)
		return 0;
	return answer_take_events(answer);
}

static void answer_judge_whole(struct answer *answer, const json_t *json)
{
	const json_t *choice =
		json_array_get(json_object_get(json, "choices"), 0);
	const char *text =
		json_text(json_object_get(choice, "message"), "content");
	cleanup(bytes_clear) struct bytes wanted = { 0 };
	int64_t i;

	for (i = 0; i < answer->length; i++) {
		char token[TEXT_TOKEN_SIZE];

		text_token(answer->hash, i, token);
		bytes_append_text(&wanted, token);
	}
	if (!text)
		answer_fault(answer, ANSWER_TORN);
	else if (!strcmp(text, bytes_text(&wanted)))
		answer->tokens = answer->length;
	else if (!strncmp(text, wanted.data, strlen(text)))
		answer_fault(answer, ANSWER_TORN);
	else
		answer_fault(answer, ANSWER_CROSSED);
}

static void answer_judge_service(struct answer *answer, const json_t *json)
{
	const char *hash = json_text(json, "body_hash");
	char wanted[ANSWER_HASH_SIZE];

	snprintf(wanted, sizeof(wanted), "%016" PRIx64, answer->hash);
	if (!hash)
		answer_fault(answer, ANSWER_TORN);
	else if (strcmp(hash, wanted))
		answer_fault(answer, ANSWER_CROSSED);
	else if (json_int(json, "run") > 1)
		answer_fault(answer, ANSWER_DOUBLED);
}

static void answer_judge_body(struct answer *answer, int status)
{
	cleanup(json_free) json_t *json = json_loadb(bytes_text(&answer->rest),
						     answer->rest.len, 0, NULL);

	if (status != ANSWER_HTTP_OK)
		answer_read_error(answer, json_object_get(json, "error"));
	else if (answer->kind == ANSWER_SERVICE)
		answer_judge_service(answer, json);
	else
		answer_judge_whole(answer, json);
}

enum answer_verdict answer_end(struct answer *answer, int status, bool whole)
{
	bool stream = answer->kind == ANSWER_STREAM && status == ANSWER_HTTP_OK;

	if (!status)
		answer_fault(answer, ANSWER_LOST);
	else if (!whole)
		answer_fault(answer, ANSWER_TORN);
	else if (!stream)
		answer_judge_body(answer, status);
	else if (!answer->ended || answer->tokens < answer->length)
		answer_fault(answer, ANSWER_TORN);
	return answer->verdict;
}
