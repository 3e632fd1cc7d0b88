#include "load/share_message.h"

#include <msgpack.h>
#include <stdio.h>
#include <string.h>

#include "core/pack.h"

void share_write_demand(struct share_writer *writer,
			const struct share_demand *demand)
{
	msgpack_packer packer;
	int i;

	pack_init(&packer, &writer->first);
	msgpack_pack_array(&packer, 3 + SCHED_TIERS);
	pack_text(&packer, demand->pool);
	msgpack_pack_int64(&packer, demand->slots);
	msgpack_pack_int64(&packer, demand->pressured_tier);
	for (i = 0; i < SCHED_TIERS; i++)
		msgpack_pack_int64(&packer, demand->demand[i]);
	writer->n_first++;
}

void share_write_usage(struct share_writer *writer,
		       const struct share_usage *use)
{
	msgpack_packer packer;

	pack_init(&packer, &writer->second);
	msgpack_pack_array(&packer, 4);
	pack_text(&packer, use->organisation);
	msgpack_pack_int64(&packer, use->concurrent);
	msgpack_pack_int64(&packer, use->requests);
	msgpack_pack_int64(&packer, use->limit);
	writer->n_second++;
}

void share_write_grant(struct share_writer *writer,
		       const struct share_grant *grant)
{
	msgpack_packer packer;

	pack_init(&packer, &writer->first);
	msgpack_pack_array(&packer, 5);
	pack_text(&packer, grant->pool);
	msgpack_pack_int64(&packer, grant->slots);
	msgpack_pack_int64(&packer, grant->offset);
	msgpack_pack_int64(&packer, grant->total);
	msgpack_pack_int64(&packer, grant->pressured_tier);
	writer->n_first++;
}

void share_write_limit_grant(struct share_writer *writer,
			     const struct share_limit_grant *part)
{
	msgpack_packer packer;

	pack_init(&packer, &writer->second);
	msgpack_pack_array(&packer, 3);
	pack_text(&packer, part->organisation);
	msgpack_pack_double(&packer, part->rate_fraction);
	msgpack_pack_int64(&packer, part->concurrent);
	writer->n_second++;
}

struct bytes share_write_end(struct share_writer *writer, enum share_kind kind)
{
	struct bytes out = { 0 };
	msgpack_packer packer;

	pack_init(&packer, &out);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_int(&packer, kind);
	msgpack_pack_array(&packer, (size_t)writer->n_first);
	bytes_append(&out, writer->first.data, writer->first.len);
	msgpack_pack_array(&packer, (size_t)writer->n_second);
	bytes_append(&out, writer->second.data, writer->second.len);
	bytes_clear(&writer->first);
	bytes_clear(&writer->second);
	writer->n_first = 0;
	writer->n_second = 0;
	return out;
}

struct bytes share_write_crash(const struct share_crash *crash)
{
	struct bytes out = { 0 };
	msgpack_packer packer;

	pack_init(&packer, &out);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_int(&packer, SHARE_CRASH);
	msgpack_pack_uint64(&packer, crash->fingerprint);
	msgpack_pack_uint64(&packer, crash->server);
	msgpack_pack_int64(&packer, crash->ran_us);
	msgpack_pack_int64(&packer, crash->age_us);
	return out;
}

/* Iterator over a row; `bad` stays set after the first invalid field. */
struct row {
	const msgpack_object_array *array;
	uint32_t at;
	bool bad;
};

static const msgpack_object *row_next(struct row *row)
{
	if (row->bad || row->at >= row->array->size) {
		row->bad = true;
		return NULL;
	}
	return &row->array->ptr[row->at++];
}

static int64_t row_int(struct row *row)
{
	const msgpack_object *object = row_next(row);

	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->via.u64 <= INT64_MAX)
		return (int64_t)object->via.u64;
	row->bad = true;
	return 0;
}

static uint64_t row_uint(struct row *row)
{
	const msgpack_object *object = row_next(row);

	if (object && object->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return object->via.u64;
	row->bad = true;
	return 0;
}

static double row_real(struct row *row)
{
	const msgpack_object *object = row_next(row);

	if (object && (object->type == MSGPACK_OBJECT_FLOAT64 ||
		       object->type == MSGPACK_OBJECT_FLOAT32))
		return object->via.f64;
	row->bad = true;
	return 0;
}

static void row_text(struct row *row, char *to, size_t size)
{
	const msgpack_object *object = row_next(row);

	if (!object || object->type != MSGPACK_OBJECT_STR ||
	    object->via.str.size >= size) {
		row->bad = true;
		return;
	}
	memcpy(to, object->via.str.ptr, object->via.str.size);
	to[object->via.str.size] = '\0';
}

static bool read_demand(struct row *row, const struct share_reader *reader)
{
	struct share_demand demand = { 0 };
	int i;

	row_text(row, demand.pool, sizeof(demand.pool));
	demand.slots = row_int(row);
	demand.pressured_tier = row_int(row);
	for (i = 0; i < SCHED_TIERS; i++)
		demand.demand[i] = row_int(row);
	if (!row->bad && reader->demand)
		reader->demand(reader->data, &demand);
	return !row->bad;
}

static bool read_use(struct row *row, const struct share_reader *reader)
{
	struct share_usage use = { 0 };

	row_text(row, use.organisation, sizeof(use.organisation));
	use.concurrent = row_int(row);
	use.requests = row_int(row);
	use.limit = row_int(row);
	if (!row->bad && reader->usage)
		reader->usage(reader->data, &use);
	return !row->bad;
}

static bool read_grant(struct row *row, const struct share_reader *reader)
{
	struct share_grant grant = { 0 };

	row_text(row, grant.pool, sizeof(grant.pool));
	grant.slots = row_int(row);
	grant.offset = row_int(row);
	grant.total = row_int(row);
	grant.pressured_tier = row_int(row);
	if (!row->bad && reader->grant)
		reader->grant(reader->data, &grant);
	return !row->bad;
}

static bool read_part(struct row *row, const struct share_reader *reader)
{
	struct share_limit_grant part = { 0 };

	row_text(row, part.organisation, sizeof(part.organisation));
	part.rate_fraction = row_real(row);
	part.concurrent = row_int(row);
	if (!row->bad && reader->limit_grant)
		reader->limit_grant(reader->data, &part);
	return !row->bad;
}

static bool read_crash(struct row *row, const struct share_reader *reader)
{
	struct share_crash crash = { 0 };

	crash.fingerprint = row_uint(row);
	crash.server = row_uint(row);
	crash.ran_us = row_int(row);
	/* Releases before this item tell of a crash only when it happens. */
	if (row->at < row->array->size)
		crash.age_us = row_int(row);
	if (!row->bad && reader->crash)
		reader->crash(reader->data, &crash);
	return !row->bad;
}

typedef bool (*read_row_fn)(struct row *row, const struct share_reader *reader);

static bool read_rows(struct row *message, read_row_fn read_row,
		      const struct share_reader *reader)
{
	const msgpack_object *list = row_next(message);
	uint32_t i;

	if (!list || list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (i = 0; i < list->via.array.size; i++) {
		const msgpack_object *item = &list->via.array.ptr[i];
		struct row row = { .array = &item->via.array };

		if (item->type != MSGPACK_OBJECT_ARRAY ||
		    !read_row(&row, reader))
			return false;
	}
	return true;
}

static bool read_message(struct row *message, const struct share_reader *reader)
{
	int64_t kind = row_int(message);

	if (message->bad)
		return false;
	if (reader->message)
		reader->message(reader->data, (enum share_kind)kind);
	switch (kind) {
	case SHARE_DEMAND:
		return read_rows(message, read_demand, reader) &&
		       read_rows(message, read_use, reader);
	case SHARE_GRANT:
		return read_rows(message, read_grant, reader) &&
		       read_rows(message, read_part, reader);
	case SHARE_CRASH:
		return read_crash(message, reader);
	default:
		return true;
	}
}

enum result share_read(const struct bytes *body,
		       const struct share_reader *reader)
{
	msgpack_unpacked unpacked;
	struct row message = { 0 };
	bool good = false;
	size_t at = 0;

	msgpack_unpacked_init(&unpacked);
	if (unpack_next(&unpacked, body->data, body->len, &at) &&
	    unpacked.data.type == MSGPACK_OBJECT_ARRAY) {
		message.array = &unpacked.data.via.array;
		good = read_message(&message, reader);
	}
	msgpack_unpacked_destroy(&unpacked);
	return good ? RESULT_OK : RESULT_MESSAGE_MALFORMED;
}
