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

/* The layout of a msgpack item, as its first byte defines it. */
struct item {
	size_t count_bytes;  /**< size of the count after the first byte */
	size_t inline_count; /**< payload size or count, if the first byte
	             	   gives it */
	int items_per_count; /**< items per count; 0 if the count is in bytes */
};

static bool parse_fix_item(unsigned char first, struct item *item)
{
	if (first < 0x80 || first >= 0xe0)
		return true;
	if (first < 0x90) {
		item->inline_count = first & 0x0f;
		item->items_per_count = 2;
	} else if (first < 0xa0) {
		item->inline_count = first & 0x0f;
		item->items_per_count = 1;
	} else if (first < 0xc0) {
		item->inline_count = first & 0x1f;
	} else {
		return false;
	}
	return true;
}

static bool parse_other_item(unsigned char first, struct item *item)
{
	static const unsigned char numbers[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };

	if (first == 0xc0 || first == 0xc2 || first == 0xc3)
		return true;
	if (first >= 0xc4 && first <= 0xc6) {
		item->count_bytes = (size_t)1 << (first - 0xc4);
	} else if (first >= 0xca && first <= 0xd3) {
		item->inline_count = numbers[first - 0xca];
	} else if (first >= 0xd9 && first <= 0xdb) {
		item->count_bytes = (size_t)1 << (first - 0xd9);
	} else if (first >= 0xdc) {
		item->count_bytes = (first & 1) ? 4 : 2;
		item->items_per_count = first < 0xde ? 1 : 2;
	} else {
		return false;
	}
	return true;
}

/*
 * The library allocates an array as soon as it has read its length, so a
 * damaged or malicious message of five bytes could make it allocate gigabytes.
 * So the lengths are checked first: each item needs at least one byte, so no
 * count may exceed the remaining bytes. Returns the size of the first item, 0
 * if it isn't complete.
 */
static size_t item_size(const unsigned char *data, size_t len)
{
	size_t items = 1;
	size_t at = 0;

	while (items) {
		struct item item = { 0 };
		size_t count;

		if (items > len - at)
			return 0;
		if (!parse_fix_item(data[at], &item) &&
		    !parse_other_item(data[at], &item))
			return 0;
		at++;
		items--;
		if (item.count_bytes > len - at)
			return 0;
		count = item.inline_count;
		for (; item.count_bytes; item.count_bytes--)
			count = count << 8 | data[at++];
		if (count > len - at)
			return 0;
		if (item.items_per_count)
			items += count * (size_t)item.items_per_count;
		else
			at += count;
	}
	return at;
}

bool unpack_next(msgpack_unpacked *message, const void *data, size_t len,
		 size_t *at)
{
	const char *item = (const char *)data + *at;
	size_t size = item_size((const unsigned char *)item, len - *at);
	size_t used = 0;

	if (!size)
		return false;
	*at += size;
	return msgpack_unpack_next(message, item, size, &used) ==
	       MSGPACK_UNPACK_SUCCESS;
}

bool unpack_array(struct unpacked *unpacked, const void *data, size_t len)
{
	size_t at = 0;

	msgpack_unpacked_init(&unpacked->message);
	if (!unpack_next(&unpacked->message, data, len, &at) || at != len ||
	    unpacked->message.data.type != MSGPACK_OBJECT_ARRAY ||
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

/* The library gives NULL for what is empty. */
static const char *bytes_of(const char *ptr)
{
	return ptr ? ptr : "";
}

char *unpack_text(const struct unpacked *unpacked, size_t i, size_t max)
{
	const msgpack_object *item;
	const char *text;

	if (i >= unpacked->n || unpacked->items[i].type != MSGPACK_OBJECT_STR)
		return NULL;
	item = &unpacked->items[i];
	text = bytes_of(item->via.str.ptr);
	if (item->via.str.size > max || memchr(text, 0, item->via.str.size))
		return NULL;
	return xmemdup(text, item->via.str.size);
}

bool unpack_bytes(const struct unpacked *unpacked, size_t i, const char **data,
		  size_t *len)
{
	if (i >= unpacked->n || unpacked->items[i].type != MSGPACK_OBJECT_BIN)
		return false;
	*data = bytes_of(unpacked->items[i].via.bin.ptr);
	*len = unpacked->items[i].via.bin.size;
	return true;
}
