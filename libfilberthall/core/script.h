#ifndef FILBERTHALL_CORE_SCRIPT_H
#define FILBERTHALL_CORE_SCRIPT_H

#include <stddef.h>

#include "base/bytes.h"
#include "base/error.h"
#include "base/result.h"
#include "core/effect.h"
#include "core/event.h"

/**
 * Reads events and writes events and effects as text, one JSON object per
 * line. Recordings of a daemon, scripted tests and replay use this format.
 *
 *	{"at_us": 1000, "event": "caller-left", "id": "7"}
 *
 * Empty fields (0, false, NULL) are omitted. A byte field is written as a
 * string if it is valid UTF-8, else as {"hex": "..."}. On reading, any other
 * JSON value of a byte field is replaced by its serialised text.
 */

/** Append an event's line, with its newline. */
void script_write_event(struct bytes *out, const struct event *event);

/** Append an effect's line, with its newline. */
void script_write_effect(struct bytes *out, const struct effect *effect);

/**
 * Read one event line.
 *
 * Returns RESULT_OK and an event for event_free(), or
 * RESULT_MESSAGE_MALFORMED with an error message that names the field.
 */
enum result script_read_event(struct event **event, const char *line,
			      size_t len, const struct error_handler *handler);

#endif
