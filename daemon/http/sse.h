#ifndef FILBERTHALL_DAEMON_SSE_H
#define FILBERTHALL_DAEMON_SSE_H

#include "base/bytes.h"
#include "base/result.h"

/** Bytes of one server-sent event at most. */
#define SSE_EVENT_BYTES (256 * 1024)

/** Cuts a byte stream into server-sent events. Zeroed is empty. */
struct sse {
	struct bytes rest;
	size_t scanned; /**< bytes of `rest` that hold no end of an event */
};

/**
 * One event: all its bytes with the blank line, and the part after "data:".
 * Comments and other lines without data come in the same way, with a payload of
 * NULL. Not RESULT_OK ends the reading.
 */
typedef enum result (*sse_event_fn)(void *data, const char *event, size_t len,
				    const char *payload, size_t payload_len);

/**
 * Take more bytes and call `each` for every event that is whole; it gets all of
 * them, in order, but those behind the last blank line.
 *
 * Returns RESULT_OK, what `each` returned, or RESULT_BACKEND_BROKE if an
 * event grows too large.
 */
enum result sse_feed(struct sse *sse, const char *data, size_t len,
		     sse_event_fn each, void *each_data);

void sse_clear(struct sse *sse);

#endif
