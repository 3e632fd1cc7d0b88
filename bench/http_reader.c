#include "bench/http_reader.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HTTP_READER_LINE_LIMIT 16384

void http_reader_reset(struct http_reader *reader)
{
	reader->state = HTTP_READER_STATUS;
	reader->line.len = 0;
	reader->left = 0;
	reader->status = 0;
	reader->close = false;
	reader->chunked = false;
	reader->request_id[0] = '\0';
	reader->run[0] = '\0';
}

void http_reader_clear(struct http_reader *reader)
{
	bytes_clear(&reader->line);
}

static void http_reader_status(struct http_reader *reader, const char *line)
{
	reader->state = HTTP_READER_HEADERS;
	if (sscanf(line, "HTTP/1.%*d %d", &reader->status) != 1)
		reader->state = HTTP_READER_BAD;
}

static void http_reader_begin_body(struct http_reader *reader)
{
	if (reader->chunked)
		reader->state = HTTP_READER_CHUNK_SIZE;
	else if (reader->left == UINT64_MAX)
		reader->state = HTTP_READER_TO_CLOSE;
	else
		reader->state =
			reader->left ? HTTP_READER_LENGTH : HTTP_READER_DONE;
}

static const char *http_reader_value(const char *line, const char *name)
{
	size_t len = strlen(name);

	if (strncasecmp(line, name, len) || line[len] != ':')
		return NULL;
	return line + len + 1 + strspn(line + len + 1, " ");
}

static void http_reader_header(struct http_reader *reader, const char *line)
{
	const char *value;

	if (!*line) {
		http_reader_begin_body(reader);
		return;
	}
	if ((value = http_reader_value(line, "Content-Length")))
		reader->left = strtoull(value, NULL, 10);
	else if ((value = http_reader_value(line, "Transfer-Encoding")))
		reader->chunked = !strcasecmp(value, "chunked");
	else if ((value = http_reader_value(line, "Connection")))
		reader->close = !strcasecmp(value, "close");
	else if ((value = http_reader_value(line, "X-Request-Id")))
		snprintf(reader->request_id, sizeof(reader->request_id), "%s",
			 value);
	else if ((value = http_reader_value(line, "Filberthall-Run")))
		snprintf(reader->run, sizeof(reader->run), "%s", value);
}

static void http_reader_line(struct http_reader *reader, const char *line)
{
	switch (reader->state) {
	case HTTP_READER_STATUS:
		http_reader_status(reader, line);
		reader->left = UINT64_MAX;
		break;
	case HTTP_READER_HEADERS:
		http_reader_header(reader, line);
		break;
	case HTTP_READER_CHUNK_SIZE:
		reader->left = strtoull(line, NULL, 16);
		reader->state =
			reader->left ? HTTP_READER_CHUNK : HTTP_READER_TRAILER;
		break;
	case HTTP_READER_CHUNK_END:
		reader->state = HTTP_READER_CHUNK_SIZE;
		break;
	case HTTP_READER_TRAILER:
		if (!*line)
			reader->state = HTTP_READER_DONE;
		break;
	default:
		reader->state = HTTP_READER_BAD;
		break;
	}
}

static size_t http_reader_take_line(struct http_reader *reader,
				    const char *data, size_t len)
{
	const char *end = memchr(data, '\n', len);
	size_t taken = end ? (size_t)(end - data) + 1 : len;

	bytes_append(&reader->line, data, end ? taken - 1 : taken);
	if (reader->line.len > HTTP_READER_LINE_LIMIT) {
		reader->state = HTTP_READER_BAD;
		return taken;
	}
	if (!end)
		return taken;
	if (reader->line.len && reader->line.data[reader->line.len - 1] == '\r')
		reader->line.data[--reader->line.len] = '\0';
	http_reader_line(reader, bytes_text(&reader->line));
	reader->line.len = 0;
	return taken;
}

static size_t http_reader_take_body(struct http_reader *reader,
				    const char *data, size_t len)
{
	size_t taken = len < reader->left ? len : (size_t)reader->left;

	reader->body(reader->data, data, taken);
	if (reader->state == HTTP_READER_TO_CLOSE)
		return taken;
	reader->left -= taken;
	if (reader->left)
		return taken;
	reader->state = reader->state == HTTP_READER_CHUNK
				? HTTP_READER_CHUNK_END
				: HTTP_READER_DONE;
	return taken;
}

size_t http_reader_take(struct http_reader *reader, const char *data,
			size_t len)
{
	size_t taken = 0;

	while (taken < len && reader->state != HTTP_READER_DONE &&
	       reader->state != HTTP_READER_BAD) {
		bool in_body = reader->state == HTTP_READER_LENGTH ||
			       reader->state == HTTP_READER_CHUNK ||
			       reader->state == HTTP_READER_TO_CLOSE;

		if (in_body)
			taken += http_reader_take_body(reader, data + taken,
						       len - taken);
		else
			taken += http_reader_take_line(reader, data + taken,
						       len - taken);
	}
	return taken;
}

bool http_reader_end(struct http_reader *reader)
{
	if (reader->state == HTTP_READER_TO_CLOSE)
		reader->state = HTTP_READER_DONE;
	return reader->state == HTTP_READER_DONE;
}
