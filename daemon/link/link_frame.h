#ifndef FILBERTHALL_DAEMON_LINK_FRAME_H
#define FILBERTHALL_DAEMON_LINK_FRAME_H

#include "base/bytes.h"
#include "base/result.h"
#include "core/event.h"

/**
 * What daemons say to each other on a link. A frame is its length as four
 * bytes, the highest first, and a row of msgpack scalars: the kind, then the
 * fields of that kind. No containers, so a few bytes can't claim much memory.
 */

#define LINK_VERSION 2

/** Of text fields. */
#define LINK_TEXT_BYTES 255

/** Of a hello: four texts and numbers. */
#define LINK_HELLO_BYTES 2048

enum link_frame_kind {
	LINK_FRAME_HELLO = 1,
	LINK_FRAME_HEARTBEAT = 2,
	LINK_FRAME_MESSAGE = 3
};

/** The first frame each way. */
struct link_hello {
	uint64_t version;
	char *site;
	char *vm;
	char *zone;
	char *address; /**< of its links */
	uint64_t member;
	uint64_t incarnation; /**< new at each start of the process */
	uint64_t observer;    /**< 1 if it never joins the group, else 0 */
};

struct link_frame {
	enum link_frame_kind kind;
	struct link_hello hello;
	int64_t channel;  /**< enum link_channel */
	const char *body; /**< inside the bytes that were read */
	size_t body_len;
};

void link_frame_add_hello(struct bytes *out, const struct link_hello *hello);
void link_frame_add_heartbeat(struct bytes *out);
void link_frame_add_message(struct bytes *out, int64_t channel,
			    const struct bytes *body);

/**
 * Read the frame that `data` starts with, of `most` bytes.
 *
 * `*used` is its length, 0 while it isn't whole. Returns RESULT_OK or
 * RESULT_MESSAGE_MALFORMED. The caller clears the frame either way.
 */
enum result link_frame_read(struct link_frame *frame, const char *data,
			    size_t len, size_t most, size_t *used);

/** Bytes of a frame with a message of the largest size. */
#define LINK_FRAME_MOST_BYTES (LINK_FRAME_BYTES + 64)

void link_frame_clear(struct link_frame *frame);
void link_hello_clear(struct link_hello *hello);

#endif
