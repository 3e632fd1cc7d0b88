#include "daemon/http/http_parse.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/alloc.h"

/* Headers of one message; a head within its limit seldom has a tenth. */
#define HEADERS_MOST 256

/* What the allocator adds to the two texts of a header. */
#define ALLOCATED_BYTES 32

const char *http_head_get(const struct http_head *head, const char *name)
{
	size_t i;

	for (i = 0; i < head->n_headers; i++)
		if (!strcasecmp(head->headers[i].name, name))
			return head->headers[i].value;
	return NULL;
}

size_t http_head_size(const struct http_head *head)
{
	size_t bytes = head->target ? strlen(head->target) : 0;
	size_t i;

	for (i = 0; i < head->n_headers; i++) {
		bytes += sizeof(head->headers[i]) + ALLOCATED_BYTES;
		bytes += strlen(head->headers[i].name);
		bytes += strlen(head->headers[i].value);
	}
	return bytes;
}

void http_head_clear(struct http_head *head)
{
	size_t i;

	for (i = 0; i < head->n_headers; i++) {
		free(head->headers[i].name);
		free(head->headers[i].value);
	}
	free(head->headers);
	free(head->method);
	free(head->target);
	memset(head, 0, sizeof(*head));
}

/* What the check of a head has seen so far. */
struct framing {
	int hosts;
	int lengths;
	int codings;
};

static bool is_digit(char byte)
{
	return byte >= '0' && byte <= '9';
}

static bool is_token(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		unsigned char byte = (unsigned char)text[i];

		if (byte <= ' ' || byte >= 0x7f ||
		    strchr("\"(),/:;<=>?@[\\]{}", byte))
			return false;
	}
	return len > 0;
}

static bool is_clean(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		unsigned char byte = (unsigned char)text[i];

		if ((byte < ' ' && byte != '\t') || byte == 0x7f)
			return false;
	}
	return true;
}

static bool is_name(const char *line, size_t len, const char *name)
{
	return strlen(name) == len && !strncasecmp(line, name, len);
}

/* Whether the value, blanks aside, is exactly "chunked". */
static bool is_chunked(const char *value, size_t len)
{
	while (len && (*value == ' ' || *value == '\t')) {
		value++;
		len--;
	}
	while (len && (value[len - 1] == ' ' || value[len - 1] == '\t'))
		len--;
	return is_name(value, len, "chunked");
}

static bool check_field(const char *line, size_t len, struct framing *framing)
{
	const char *colon = memchr(line, ':', len);
	size_t name_len;

	if (!colon || !is_clean(line, len))
		return false;
	name_len = (size_t)(colon - line);
	/* A blank before the colon or a folded line is no token. */
	if (!is_token(line, name_len))
		return false;
	if (is_name(line, name_len, "host"))
		framing->hosts++;
	if (is_name(line, name_len, "content-length"))
		framing->lengths++;
	if (!is_name(line, name_len, "transfer-encoding"))
		return true;
	framing->codings++;
	return is_chunked(colon + 1, len - name_len - 1);
}

static bool check_request_line(const char *line, size_t len)
{
	const char *target = memchr(line, ' ', len);
	const char *version;
	size_t i;

	if (!target || !is_token(line, (size_t)(target - line)))
		return false;
	/* The parser takes its body for what follows the request. */
	if (is_name(line, (size_t)(target - line), "CONNECT"))
		return false;
	target++;
	version = memchr(target, ' ', len - (size_t)(target - line));
	if (!version || *target != '/')
		return false;
	for (i = 0; i < (size_t)(version - target); i++)
		if ((unsigned char)target[i] <= ' ' ||
		    (unsigned char)target[i] >= 0x7f)
			return false;
	version++;
	return is_name(version, len - (size_t)(version - line), "HTTP/1.1") ||
	       is_name(version, len - (size_t)(version - line), "HTTP/1.0");
}

/*
 * Of an answer. Other numbers are no status, and none of ours asks for another
 * protocol.
 */
static bool check_status_line(const char *line, size_t len)
{
	const char *status = memchr(line, ' ', len);
	size_t rest;

	if (!status || (!is_name(line, (size_t)(status - line), "HTTP/1.1") &&
			!is_name(line, (size_t)(status - line), "HTTP/1.0")))
		return false;
	status++;
	rest = len - (size_t)(status - line);
	if (rest < 3 || (rest > 3 && status[3] != ' '))
		return false;
	return status[0] >= '1' && status[0] <= '5' && is_digit(status[1]) &&
	       is_digit(status[2]) && memcmp(status, "101", 3) != 0;
}

static bool check_first_line(const struct http_parse *parse, const char *line,
			     size_t len)
{
	return parse->type == HTTP_REQUEST ? check_request_line(line, len)
					   : check_status_line(line, len);
}

/* A whole head, up to and with its empty line. */
static bool check_head(const struct http_parse *parse, const char *head,
		       size_t len)
{
	bool request = parse->type == HTTP_REQUEST;
	struct framing framing = { 0 };
	const char *end = head + len;
	const char *line = head;
	const char *next;

	while (line < end) {
		next = memchr(line, '\n', (size_t)(end - line));
		if (!next || next == line || next[-1] != '\r')
			return false;
		if (line == head) {
			if (!check_first_line(parse, line,
					      (size_t)(next - line) - 1))
				return false;
		} else if (next - line > 1) {
			if (!check_field(line, (size_t)(next - line) - 1,
					 &framing))
				return false;
		}
		line = next + 1;
	}
	if (framing.lengths + framing.codings > 1)
		return false;
	return !request || framing.hosts == 1;
}

static struct http_header *new_header(struct http_head *head)
{
	struct http_header *header;

	head->headers = xrealloc(head->headers, (head->n_headers + 1) *
							sizeof(*head->headers));
	header = &head->headers[head->n_headers++];
	memset(header, 0, sizeof(*header));
	return header;
}

static void append(char **text, const char *piece, size_t len)
{
	size_t had = *text ? strlen(*text) : 0;

	*text = xrealloc(*text, had + len + 1);
	memcpy(*text + had, piece, len);
	(*text)[had + len] = '\0';
}

static int on_url(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *parse = parser->data;

	append(&parse->head.target, at, len);
	return 0;
}

static int on_field(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *parse = parser->data;
	struct http_head *head = &parse->head;

	if (parse->head_done)
		return 0;
	if (parse->in_value || !head->n_headers) {
		if (head->n_headers >= HEADERS_MOST)
			return 1;
		new_header(head);
	}
	parse->in_value = false;
	append(&head->headers[head->n_headers - 1].name, at, len);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *parse = parser->data;
	struct http_head *head = &parse->head;

	if (parse->head_done)
		return 0;
	parse->in_value = true;
	append(&head->headers[head->n_headers - 1].value, at, len);
	return 0;
}

static int on_headers(http_parser *parser)
{
	struct http_parse *parse = parser->data;
	struct http_head *head = &parse->head;
	size_t i;

	parse->head_done = true;
	head->status = (int)parser->status_code;
	if (parse->type == HTTP_REQUEST)
		head->method = xstrdup(
			http_method_str((enum http_method)parser->method));
	head->keep_alive = http_should_keep_alive(parser);
	head->http_1_0 = parser->http_major == 1 && !parser->http_minor;
	for (i = 0; i < head->n_headers; i++)
		if (!head->headers[i].value)
			head->headers[i].value = xstrdup("");
	if (parse->hooks->head && !parse->hooks->head(parse->data, head)) {
		parse->stopped = true;
		return -1;
	}
	return parse->no_body ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_parse *parse = parser->data;

	if (parse->hooks->body && !parse->hooks->body(parse->data, at, len)) {
		parse->stopped = true;
		return -1;
	}
	return 0;
}

static int on_end(http_parser *parser)
{
	struct http_parse *parse = parser->data;

	parse->state = HTTP_PARSE_DONE;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_end,
};

void http_parse_init(struct http_parse *parse, enum http_parser_type type,
		     size_t head_limit, const struct http_parse_hooks *hooks,
		     void *data)
{
	memset(parse, 0, sizeof(*parse));
	parse->type = type;
	parse->head_limit = head_limit;
	parse->hooks = hooks;
	parse->data = data;
	http_parse_next(parse);
}

void http_parse_clear(struct http_parse *parse)
{
	http_head_clear(&parse->head);
}

void http_parse_next(struct http_parse *parse)
{
	http_head_clear(&parse->head);
	http_parser_init(&parse->parser, parse->type);
	parse->parser.data = parse;
	parse->state = HTTP_PARSE_HEAD;
	parse->in_value = false;
	parse->head_done = false;
	parse->stopped = false;
}

/* A few readers send an empty line behind a body. */
static void skip_empty_lines(struct bytes *in)
{
	while (in->len >= 2 && !memcmp(in->data, "\r\n", 2))
		bytes_consume(in, 2);
}

static enum http_parse_state run(struct http_parse *parse, const char *data,
				 size_t len, size_t *used)
{
	enum http_errno error;

	*used = http_parser_execute(&parse->parser, &settings, data, len);
	error = HTTP_PARSER_ERRNO(&parse->parser);
	if (parse->state != HTTP_PARSE_DONE && error != HPE_OK)
		parse->state = HTTP_PARSE_BAD;
	return parse->state;
}

static enum http_parse_state feed_head(struct http_parse *parse,
				       struct bytes *in)
{
	const char *end;
	size_t used;
	size_t len;

	skip_empty_lines(in);
	end = in->len ? memmem(in->data, in->len, "\r\n\r\n", 4) : NULL;
	len = end ? (size_t)(end - in->data) + 4 : in->len;
	if (len > parse->head_limit) {
		parse->too_large = true;
		return parse->state = HTTP_PARSE_BAD;
	}
	if (!end)
		return parse->state;
	if (!check_head(parse, in->data, len))
		return parse->state = HTTP_PARSE_BAD;
	parse->state = HTTP_PARSE_BODY;
	run(parse, in->data, len, &used);
	bytes_consume(in, len);
	return parse->state;
}

enum http_parse_state http_parse_feed(struct http_parse *parse,
				      struct bytes *in)
{
	size_t used;

	if (parse->state == HTTP_PARSE_HEAD)
		feed_head(parse, in);
	if (parse->state == HTTP_PARSE_BODY && in->len) {
		run(parse, in->data, in->len, &used);
		bytes_consume(in, used);
	}
	return parse->state;
}

enum http_parse_state http_parse_eof(struct http_parse *parse)
{
	size_t used;

	if (parse->state == HTTP_PARSE_BODY)
		run(parse, NULL, 0, &used);
	if (parse->state != HTTP_PARSE_DONE)
		parse->state = HTTP_PARSE_BAD;
	return parse->state;
}
