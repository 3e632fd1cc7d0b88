#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

struct reading {
	enum http_parser_type type;
	size_t heads;
	size_t body;
};

static void read_answer(const struct http_head *head)
{
	struct dialect_answer answer;
	struct bytes out = { 0 };

	platform_read_answer(head, &answer);
	if (answer.has_load &&
	    (answer.running < 0 || answer.waiting < 0 || answer.slots < 0))
		abort();
	if (answer.has_limit && !(answer.limit_per_s >= 0))
		abort();
	platform_write_answer(head, &out);
	bytes_clear(&out);
}

static void read_request(const struct http_head *head)
{
	struct dialect_request request = { 0 };
	struct dialect_call call = { 0 };

	platform_read_request(head, &request);
	if (request.prompt_tokens < 0 || request.shared_tokens < 0 ||
	    request.deadline_ms < 0)
		abort();
	platform_dialect()->read_call(head, &call);
	free(request.key);
	free(request.parts);
}

static bool on_head(void *data, const struct http_head *head)
{
	struct reading *reading = data;

	reading->heads++;
	if (reading->type == HTTP_RESPONSE)
		read_answer(head);
	else
		read_request(head);
	return true;
}

static bool on_body(void *data, const char *piece, size_t len)
{
	struct reading *reading = data;

	reading->body += len;
	return true;
}

static const struct http_parse_hooks hooks = { on_head, on_body };

static struct reading read_all(enum http_parser_type type, const char *text,
			       size_t len, size_t piece)
{
	struct reading reading = { .type = type };
	struct bytes in = { 0 };
	struct http_parse parse;
	size_t at;
	size_t n;

	http_parse_init(&parse, type, 4096, &hooks, &reading);
	for (at = 0; at < len && parse.state != HTTP_PARSE_BAD; at += n) {
		n = len - at < piece ? len - at : piece;
		bytes_append(&in, text + at, n);
		while (http_parse_feed(&parse, &in) == HTTP_PARSE_DONE &&
		       in.len)
			http_parse_next(&parse);
		if (parse.state == HTTP_PARSE_DONE)
			http_parse_next(&parse);
	}
	http_parse_clear(&parse);
	bytes_clear(&in);
	return reading;
}

static void check(enum http_parser_type type, const char *text, size_t len)
{
	struct reading whole = read_all(type, text, len, len);
	struct reading single = read_all(type, text, len, 1);

	if (whole.heads != single.heads || whole.body != single.body)
		abort();
}

/* Requests and answers: cut anywhere, they must read the same. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	check(HTTP_REQUEST, (const char *)data, len);
	check(HTTP_RESPONSE, (const char *)data, len);
	return 0;
}
