#include "daemon/link/link_frame.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/pack.h"
#include "daemon/link/link.h"

#define LENGTH_BYTES 4

/* Leaves room for the length; end_frame() fills it in. */
static size_t begin_frame(struct bytes *out, msgpack_packer *packer,
			  enum link_frame_kind kind)
{
	static const char room[LENGTH_BYTES];
	size_t at = out->len;

	bytes_append(out, room, sizeof(room));
	pack_init(packer, out);
	msgpack_pack_uint64(packer, kind);
	return at;
}

static void end_frame(struct bytes *out, size_t at)
{
	size_t len = out->len - at - LENGTH_BYTES;

	out->data[at] = (char)(len >> 24);
	out->data[at + 1] = (char)(len >> 16);
	out->data[at + 2] = (char)(len >> 8);
	out->data[at + 3] = (char)len;
}

void link_frame_add_hello(struct bytes *out, const struct link_hello *hello)
{
	msgpack_packer packer;
	size_t at = begin_frame(out, &packer, LINK_FRAME_HELLO);

	msgpack_pack_uint64(&packer, hello->version);
	pack_text(&packer, hello->site);
	pack_text(&packer, hello->vm);
	pack_text(&packer, hello->zone);
	pack_text(&packer, hello->address);
	msgpack_pack_uint64(&packer, hello->member);
	msgpack_pack_uint64(&packer, hello->incarnation);
	msgpack_pack_uint64(&packer, hello->observer);
	end_frame(out, at);
}

void link_frame_add_heartbeat(struct bytes *out)
{
	msgpack_packer packer;

	end_frame(out, begin_frame(out, &packer, LINK_FRAME_HEARTBEAT));
}

void link_frame_add_message(struct bytes *out, int64_t channel,
			    const struct bytes *body)
{
	msgpack_packer packer;
	size_t at = begin_frame(out, &packer, LINK_FRAME_MESSAGE);

	msgpack_pack_uint64(&packer, (uint64_t)channel);
	msgpack_pack_bin(&packer, body->len);
	msgpack_pack_bin_body(&packer, body->data, body->len);
	end_frame(out, at);
}

/* The rest of a frame while it is read. */
struct cursor {
	const char *data;
	size_t len;
	size_t at;
};

static bool next_object(struct cursor *cursor, msgpack_object_type type,
			msgpack_object *object)
{
	msgpack_unpacked unpacked;
	unsigned char first;
	bool read;

	if (cursor->at >= cursor->len)
		return false;
	first = (unsigned char)cursor->data[cursor->at];
	/* Arrays and maps would have the library allocate what they claim. */
	if ((first >= 0x80 && first <= 0x9f) || first >= 0xdc)
		if (first <= 0xdf)
			return false;
	msgpack_unpacked_init(&unpacked);
	read = msgpack_unpack_next(&unpacked, cursor->data, cursor->len,
				   &cursor->at) == MSGPACK_UNPACK_SUCCESS &&
	       unpacked.data.type == type;
	*object = unpacked.data;
	msgpack_unpacked_destroy(&unpacked);
	return read;
}

static bool read_uint(struct cursor *cursor, uint64_t *value)
{
	msgpack_object object;

	if (!next_object(cursor, MSGPACK_OBJECT_POSITIVE_INTEGER, &object))
		return false;
	*value = object.via.u64;
	return true;
}

/* An empty string has no bytes to point at. */
static bool is_text(const char *bytes, size_t len)
{
	return !len || !memchr(bytes, 0, len);
}

static bool read_text(struct cursor *cursor, char **text)
{
	msgpack_object object;

	if (!next_object(cursor, MSGPACK_OBJECT_STR, &object) ||
	    object.via.str.size > LINK_TEXT_BYTES ||
	    !is_text(object.via.str.ptr, object.via.str.size))
		return false;
	*text = xmemdup(object.via.str.size ? object.via.str.ptr : "",
			object.via.str.size);
	return true;
}

static bool read_hello(struct cursor *cursor, struct link_hello *hello)
{
	return read_uint(cursor, &hello->version) &&
	       read_text(cursor, &hello->site) &&
	       read_text(cursor, &hello->vm) &&
	       read_text(cursor, &hello->zone) &&
	       read_text(cursor, &hello->address) &&
	       read_uint(cursor, &hello->member) &&
	       read_uint(cursor, &hello->incarnation) &&
	       read_uint(cursor, &hello->observer);
}

static bool read_message(struct cursor *cursor, struct link_frame *frame)
{
	msgpack_object object;
	uint64_t channel;

	if (!read_uint(cursor, &channel) || channel < LINK_RAFT ||
	    channel >= LINK_CHANNELS ||
	    !next_object(cursor, MSGPACK_OBJECT_BIN, &object))
		return false;
	frame->channel = (int64_t)channel;
	frame->body = object.via.bin.ptr;
	frame->body_len = object.via.bin.size;
	return true;
}

static bool read_fields(struct cursor *cursor, struct link_frame *frame)
{
	uint64_t kind;

	if (!read_uint(cursor, &kind))
		return false;
	frame->kind = (enum link_frame_kind)kind;
	switch (kind) {
	case LINK_FRAME_HELLO:
		return read_hello(cursor, &frame->hello);
	case LINK_FRAME_HEARTBEAT:
		return true;
	case LINK_FRAME_MESSAGE:
		return read_message(cursor, frame);
	default:
		return false;
	}
}

enum result link_frame_read(struct link_frame *frame, const char *data,
			    size_t len, size_t most, size_t *used)
{
	const unsigned char *bytes = (const unsigned char *)data;
	struct cursor cursor;

	memset(frame, 0, sizeof(*frame));
	*used = 0;
	if (len < LENGTH_BYTES)
		return RESULT_OK;
	cursor.data = data + LENGTH_BYTES;
	cursor.len = (size_t)bytes[0] << 24 | bytes[1] << 16 | bytes[2] << 8 |
		     bytes[3];
	cursor.at = 0;
	if (cursor.len > most)
		return RESULT_MESSAGE_MALFORMED;
	if (len < LENGTH_BYTES + cursor.len)
		return RESULT_OK;
	if (!read_fields(&cursor, frame) || cursor.at != cursor.len)
		return RESULT_MESSAGE_MALFORMED;
	*used = LENGTH_BYTES + cursor.len;
	return RESULT_OK;
}

void link_hello_clear(struct link_hello *hello)
{
	free(hello->site);
	free(hello->vm);
	free(hello->zone);
	free(hello->address);
	memset(hello, 0, sizeof(*hello));
}

void link_frame_clear(struct link_frame *frame)
{
	link_hello_clear(&frame->hello);
}
