#include "daemon/http/sse.h"

#include <string.h>

static const char data_field[] = "data:";

/* Bytes up to and with the first blank line, 0 if there's none yet. */
static size_t event_end(const struct sse *sse)
{
	const char *data = sse->rest.data;
	size_t from = sse->scanned > 3 ? sse->scanned - 3 : 0;
	size_t i;

	for (i = from; i + 1 < sse->rest.len; i++) {
		if (data[i] != '\n')
			continue;
		if (data[i + 1] == '\n')
			return i + 2;
		if (data[i + 1] == '\r' && i + 2 < sse->rest.len &&
		    data[i + 2] == '\n')
			return i + 3;
	}
	return 0;
}

/* Where the payload of an event's first data line is. */
static const char *event_payload(const char *event, size_t len, size_t *n)
{
	const char *line = event;
	const char *end = event;

	while (line < event + len) {
		end = memchr(line, '\n', event + len - line);
		if (!end)
			end = event + len;
		if ((size_t)(end - line) >= strlen(data_field) &&
		    !memcmp(line, data_field, strlen(data_field)))
			break;
		line = end + 1;
	}
	if (line >= event + len)
		return NULL;
	line += strlen(data_field);
	while (line < end && *line == ' ')
		line++;
	while (end > line && end[-1] == '\r')
		end--;
	*n = end - line;
	return line;
}

static enum result take_event(struct sse *sse, size_t len, sse_event_fn each,
			      void *each_data)
{
	const char *payload;
	size_t n = 0;
	enum result code;

	payload = event_payload(sse->rest.data, len, &n);
	code = each(each_data, sse->rest.data, len, payload, n);
	bytes_consume(&sse->rest, len);
	sse->scanned = 0;
	return code;
}

enum result sse_feed(struct sse *sse, const char *data, size_t len,
		     sse_event_fn each, void *each_data)
{
	enum result code;
	size_t end;

	bytes_append(&sse->rest, data, len);
	while ((end = event_end(sse)) != 0) {
		code = take_event(sse, end, each, each_data);
		if (code)
			return code;
	}
	sse->scanned = sse->rest.len;
	return sse->rest.len > SSE_EVENT_BYTES ? RESULT_BACKEND_BROKE
					       : RESULT_OK;
}

void sse_clear(struct sse *sse)
{
	bytes_clear(&sse->rest);
	sse->scanned = 0;
}
