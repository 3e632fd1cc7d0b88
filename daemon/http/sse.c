#include "daemon/http/sse.h"

#include <string.h>

static const char data_field[] = "data:";

/* Where the event that begins at `at` ends, 0 if it isn't whole yet. */
static size_t event_end(const struct sse *sse, size_t at)
{
	const char *data = sse->rest.data;
	size_t from = sse->scanned > 3 ? sse->scanned - 3 : 0;
	size_t i;

	for (i = from > at ? from : at; i + 1 < sse->rest.len; i++) {
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

enum result sse_feed(struct sse *sse, const char *data, size_t len,
		     sse_event_fn each, void *each_data)
{
	enum result code = RESULT_OK;
	size_t at = 0;
	size_t end;

	bytes_append(&sse->rest, data, len);
	while (!code && (end = event_end(sse, at)) != 0) {
		const char *event = sse->rest.data + at;
		size_t n = 0;
		const char *payload = event_payload(event, end - at, &n);

		code = each(each_data, event, end - at, payload, n);
		at = end;
	}
	/* Once for all: a piece may hold thousands of small events. */
	bytes_consume(&sse->rest, at);
	sse->scanned = code ? 0 : sse->rest.len;
	if (code)
		return code;
	return sse->rest.len > SSE_EVENT_BYTES ? RESULT_BACKEND_BROKE
					       : RESULT_OK;
}

void sse_clear(struct sse *sse)
{
	bytes_clear(&sse->rest);
	sse->scanned = 0;
}
