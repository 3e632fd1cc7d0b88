#ifndef FILBERTHALL_CORE_SCRIPT_H
#define FILBERTHALL_CORE_SCRIPT_H

#include <stddef.h>

#include "base/bytes.h"
#include "base/error.h"
#include "base/result.h"
#include "core/effect.h"
#include "core/event.h"

/**
 * Events and effects as text, one JSON object a line: recordings of a
 * daemon, scripted tests and the output of replay share it.
 *
 *	{"at_us": 1000, "event": "caller-left", "id": "7"}
 *
 * Fields that hold nothing (0, false, no text) are left out. Byte fields are
 * text where they are valid UTF-8, else {"hex": "..."}; a byte field may be
 * given as any other JSON value, which then stands for its own text.
 */

/** Append an event's line, with its newline. */
void script_write_event(struct bytes *out, const struct event *event);

/** Append an effect's line, with its newline. */
void script_write_effect(struct bytes *out, const struct effect *effect);

/**
 * Read one event line.
 *
 * Returns RESULT_OK and an event for event_free(), or
 * RESULT_MESSAGE_MALFORMED with a message that names the field.
 */
enum result script_read_event(struct event **event, const char *line,
			      size_t len, const struct error_handler *handler);

#endif
