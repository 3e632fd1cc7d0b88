#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/pack.h"
#include "fleet/backend.h"

static void pack_text_or_nil(msgpack_packer *packer, const char *text)
{
	if (!text) {
		msgpack_pack_nil(packer);
		return;
	}
	msgpack_pack_str(packer, strlen(text));
	msgpack_pack_str_body(packer, text, strlen(text));
}

static void pack_field(msgpack_packer *packer, const struct field *field,
		       const struct event *event)
{
	const void *at = (const char *)event + field->offset;

	switch (field->type) {
	case FIELD_BOOL:
		if (*(const bool *)at)
			msgpack_pack_true(packer);
		else
			msgpack_pack_false(packer);
		break;
	case FIELD_INT:
		msgpack_pack_int64(packer, *(const int64_t *)at);
		break;
	case FIELD_UINT:
		msgpack_pack_uint64(packer, *(const uint64_t *)at);
		break;
	case FIELD_REAL:
		msgpack_pack_double(packer, *(const double *)at);
		break;
	case FIELD_TEXT:
		pack_text_or_nil(packer, *(char *const *)at);
		break;
	case FIELD_BYTES:
		msgpack_pack_nil(packer);
		break;
	}
}

static char *name_or_null(const char *name)
{
	return *name ? (char *)name : NULL;
}

/* Fill in an announcement of the known state; its strings are borrowed. */
static void announce_of(const struct backend *backend, int64_t now_us,
			struct event_announce *announce)
{
	*announce = (struct event_announce){
		.address = (char *)backend->address,
		.boot_id = (char *)backend->boot_id,
		.sequence = backend->sequence,
		.zone = (char *)backend->zone,
		.service = name_or_null(backend->service),
		.model = name_or_null(backend->model),
		.adapters = name_or_null(backend->adapters),
		.version = (char *)backend->version,
		.role = (char *)backend->role,
		.cheap = backend->cheap,
		.leaving = backend->leaving,
		.fences = backend->fences,
		.lease_ms = (backend->lease_end_us - now_us) / 1000,
		.slots = backend->slots,
		.running = backend->running,
		.queued = backend->queued,
		.queued_prompt_tokens = backend->queued_prompt_tokens,
		.kv_tokens = backend->kv_tokens,
		.kv_used = backend->kv_used,
		.prefill_rate = backend->prefill_rate,
		.decode_rate = backend->decode_rate,
		.age_ms = (now_us - backend->report_us) / 1000,
	};
	if (announce->lease_ms < 1)
		announce->lease_ms = 1;
}

void backend_pack(const struct backend *backend, int64_t now_us,
		  struct bytes *to)
{
	const struct field *fields;
	msgpack_packer packer;
	struct event event = { 0 };
	size_t n;
	size_t i;

	announce_of(backend, now_us, &event.u.announce);
	fields = event_fields(EVENT_ANNOUNCE, &n);
	pack_init(&packer, to);
	msgpack_pack_array(&packer, n);
	for (i = 0; i < n; i++)
		pack_field(&packer, &fields[i], &event);
}

static bool unpack_number(const msgpack_object *object, double *real,
			  int64_t *number)
{
	switch (object->type) {
	case MSGPACK_OBJECT_POSITIVE_INTEGER:
		*number = (int64_t)object->via.u64;
		*real = (double)object->via.u64;
		return object->via.u64 <= INT64_MAX;
	case MSGPACK_OBJECT_NEGATIVE_INTEGER:
		*number = object->via.i64;
		*real = (double)object->via.i64;
		return true;
	case MSGPACK_OBJECT_FLOAT32:
	case MSGPACK_OBJECT_FLOAT64:
		*real = object->via.f64;
		*number = 0;
		return true;
	default:
		return false;
	}
}

static bool unpack_field(const struct field *field, struct event *event,
			 const msgpack_object *object)
{
	void *at = (char *)event + field->offset;
	int64_t number = 0;
	double real = 0;

	switch (field->type) {
	case FIELD_BOOL:
		*(bool *)at = object->via.boolean;
		return object->type == MSGPACK_OBJECT_BOOLEAN;
	case FIELD_TEXT:
		if (object->type == MSGPACK_OBJECT_NIL)
			return true;
		if (object->type != MSGPACK_OBJECT_STR)
			return false;
		*(char **)at =
			xmemdup(object->via.str.ptr, object->via.str.size);
		return true;
	case FIELD_REAL:
		if (!unpack_number(object, &real, &number))
			return false;
		*(double *)at = real;
		return true;
	case FIELD_INT:
		if (!unpack_number(object, &real, &number))
			return false;
		*(int64_t *)at = number;
		return true;
	default:
		return false;
	}
}

void event_announce_clear(struct event_announce *announce)
{
	struct event event = { 0 };
	const struct field *fields;
	size_t n;

	event.u.announce = *announce;
	fields = event_fields(EVENT_ANNOUNCE, &n);
	field_clear(fields, n, &event);
	*announce = event.u.announce;
}

enum result backend_unpack(struct event_announce *announce, const void *data,
			   size_t len)
{
	enum result code = RESULT_MESSAGE_MALFORMED;
	const struct field *fields;
	msgpack_unpacked unpacked;
	struct event event = { 0 };
	size_t at = 0;
	size_t n;
	size_t i;

	fields = event_fields(EVENT_ANNOUNCE, &n);
	msgpack_unpacked_init(&unpacked);
	if (!unpack_next(&unpacked, data, len, &at))
		goto out;
	if (unpacked.data.type != MSGPACK_OBJECT_ARRAY ||
	    unpacked.data.via.array.size != n)
		goto out;
	for (i = 0; i < n; i++)
		if (!unpack_field(&fields[i], &event,
				  &unpacked.data.via.array.ptr[i]))
			goto out;
	if (event.u.announce.address)
		code = RESULT_OK;
out:
	msgpack_unpacked_destroy(&unpacked);
	*announce = event.u.announce;
	if (code)
		event_announce_clear(announce);
	return code;
}
