#include "agree/codec.h"

#include <msgpack.h>
#include <stdbool.h>
#include <string.h>

#include "base/cleanup.h"
#include "core/pack.h"

static bool codec_is_text(const char *text, size_t len)
{
	json_t *probe;

	if (memchr(text, '\0', len))
		return false;
	probe = json_stringn(text, len);
	json_decref(probe);
	return probe;
}

static void codec_pack_string(msgpack_packer *packer, const json_t *value)
{
	const char *text = json_string_value(value);
	size_t len = json_string_length(value);

	if (codec_is_text(text, len)) {
		msgpack_pack_str(packer, len);
		msgpack_pack_str_body(packer, text, len);
	} else {
		msgpack_pack_bin(packer, len);
		msgpack_pack_bin_body(packer, text, len);
	}
}

static void codec_pack(msgpack_packer *packer, const json_t *value)
{
	const char *name;
	json_t *item;
	size_t i;

	switch (json_typeof(value)) {
	case JSON_OBJECT:
		msgpack_pack_map(packer, json_object_size(value));
		json_object_foreach((json_t *)value, name, item) {
			msgpack_pack_str(packer, strlen(name));
			msgpack_pack_str_body(packer, name, strlen(name));
			codec_pack(packer, item);
		}
		break;
	case JSON_ARRAY:
		msgpack_pack_array(packer, json_array_size(value));
		json_array_foreach(value, i, item)
			codec_pack(packer, item);
		break;
	case JSON_STRING:
		codec_pack_string(packer, value);
		break;
	case JSON_INTEGER:
		msgpack_pack_int64(packer, json_integer_value(value));
		break;
	case JSON_REAL:
		msgpack_pack_double(packer, json_real_value(value));
		break;
	case JSON_TRUE:
		msgpack_pack_true(packer);
		break;
	case JSON_FALSE:
		msgpack_pack_false(packer);
		break;
	case JSON_NULL:
		msgpack_pack_nil(packer);
		break;
	}
}

void codec_encode(const json_t *value, struct bytes *out)
{
	msgpack_packer packer;

	pack_init(&packer, out);
	codec_pack(&packer, value);
}

static json_t *codec_value(const msgpack_object *object);

/* The library returns NULL for an empty string at the start of a message. */
static const char *codec_str(const msgpack_object *object)
{
	return object->via.str.size ? object->via.str.ptr : "";
}

/* Whether an object is a string without NUL. */
static bool codec_is_c_string(const msgpack_object *object)
{
	return object->type == MSGPACK_OBJECT_STR &&
	       !memchr(codec_str(object), '\0', object->via.str.size);
}

static json_t *codec_map(const msgpack_object_map *map)
{
	json_t *value = json_object();
	uint32_t i;

	for (i = 0; i < map->size; i++) {
		const msgpack_object *key = &map->ptr[i].key;

		if (!codec_is_c_string(key) ||
		    json_object_setn_new(value, codec_str(key),
					 key->via.str.size,
					 codec_value(&map->ptr[i].val)) < 0) {
			json_decref(value);
			return NULL;
		}
	}
	return value;
}

static json_t *codec_array(const msgpack_object_array *array)
{
	json_t *value = json_array();
	uint32_t i;

	for (i = 0; i < array->size; i++) {
		json_t *item = codec_value(&array->ptr[i]);

		if (!item) {
			json_decref(value);
			return NULL;
		}
		json_array_append_new(value, item);
	}
	return value;
}

static json_t *codec_value(const msgpack_object *object)
{
	switch (object->type) {
	case MSGPACK_OBJECT_NIL:
		return json_null();
	case MSGPACK_OBJECT_BOOLEAN:
		return json_boolean(object->via.boolean);
	case MSGPACK_OBJECT_POSITIVE_INTEGER:
		return json_integer((json_int_t)object->via.u64);
	case MSGPACK_OBJECT_NEGATIVE_INTEGER:
		return json_integer(object->via.i64);
	case MSGPACK_OBJECT_FLOAT32:
	case MSGPACK_OBJECT_FLOAT64:
		return json_real(object->via.f64);
	case MSGPACK_OBJECT_STR:
		return codec_is_c_string(object)
			       ? json_stringn(codec_str(object),
					      object->via.str.size)
			       : NULL;
	case MSGPACK_OBJECT_BIN:
		return json_stringn_nocheck(object->via.bin.size
						    ? object->via.bin.ptr
						    : "",
					    object->via.bin.size);
	case MSGPACK_OBJECT_ARRAY:
		return codec_array(&object->via.array);
	case MSGPACK_OBJECT_MAP:
		return codec_map(&object->via.map);
	default:
		return NULL;
	}
}

json_t *codec_decode_next(const void *data, size_t len, size_t *at)
{
	msgpack_unpacked unpacked;
	json_t *value = NULL;

	msgpack_unpacked_init(&unpacked);
	if (unpack_next(&unpacked, data, len, at))
		value = codec_value(&unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	return value;
}

json_t *codec_decode(const void *data, size_t len)
{
	size_t at = 0;
	json_t *value = codec_decode_next(data, len, &at);

	if (at == len)
		return value;
	json_decref(value);
	return NULL;
}

json_t *codec_uint(uint64_t value)
{
	return json_integer((json_int_t)value);
}

uint64_t codec_uint_value(const json_t *value)
{
	return (uint64_t)json_integer_value(value);
}

const char *codec_text(const json_t *object, const char *name,
		       const char *fallback)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : fallback;
}

int64_t codec_int(const json_t *object, const char *name, int64_t fallback)
{
	const json_t *value = json_object_get(object, name);

	return json_is_integer(value) ? json_integer_value(value) : fallback;
}
