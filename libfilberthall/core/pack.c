#include "core/pack.h"

#include <string.h>

#include "base/alloc.h"

static int pack_write(void *data, const char *buffer, size_t len)
{
	bytes_append(data, buffer, len);
	return 0;
}

void pack_init(msgpack_packer *packer, struct bytes *bytes)
{
	msgpack_packer_init(packer, bytes, pack_write);
}

void pack_text(msgpack_packer *packer, const char *text)
{
	size_t len = text ? strlen(text) : 0;

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text ? text : "", len);
}

void pack_bytes(msgpack_packer *packer, const void *data, size_t len)
{
	msgpack_pack_bin(packer, len);
	msgpack_pack_bin_body(packer, data ? data : "", len);
}

bool unpack_array(struct unpacked *unpacked, const void *data, size_t len)
{
	size_t at = 0;

	msgpack_unpacked_init(&unpacked->message);
	if (msgpack_unpack_next(&unpacked->message, data, len, &at) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    at != len || unpacked->message.data.type != MSGPACK_OBJECT_ARRAY ||
	    !unpacked->message.data.via.array.size) {
		unpack_clear(unpacked);
		return false;
	}
	unpacked->items = unpacked->message.data.via.array.ptr;
	unpacked->n = unpacked->message.data.via.array.size;
	return true;
}

void unpack_clear(struct unpacked *unpacked)
{
	msgpack_unpacked_destroy(&unpacked->message);
	unpacked->items = NULL;
	unpacked->n = 0;
}

bool unpack_int(const struct unpacked *unpacked, size_t i, int64_t *value)
{
	const msgpack_object *item;

	if (i >= unpacked->n)
		return false;
	item = &unpacked->items[i];
	if (item->type != MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    item->type != MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return false;
	*value = item->via.i64;
	return item->type == MSGPACK_OBJECT_NEGATIVE_INTEGER ||
	       item->via.u64 <= INT64_MAX;
}

bool unpack_uint(const struct unpacked *unpacked, size_t i, uint64_t *value)
{
	if (i >= unpacked->n ||
	    unpacked->items[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*value = unpacked->items[i].via.u64;
	return true;
}

char *unpack_text(const struct unpacked *unpacked, size_t i, size_t max)
{
	const msgpack_object *item;

	if (i >= unpacked->n)
		return NULL;
	item = &unpacked->items[i];
	if (item->type != MSGPACK_OBJECT_STR || item->via.str.size > max ||
	    memchr(item->via.str.ptr, 0, item->via.str.size))
		return NULL;
	return xmemdup(item->via.str.ptr, item->via.str.size);
}

bool unpack_bytes(const struct unpacked *unpacked, size_t i, const char **data,
		  size_t *len)
{
	if (i >= unpacked->n || unpacked->items[i].type != MSGPACK_OBJECT_BIN)
		return false;
	*data = unpacked->items[i].via.bin.ptr;
	*len = unpacked->items[i].via.bin.size;
	return true;
}
