#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "agree/raft_internal.h"
#include "base/alloc.h"
#include "core/pack.h"

/**
 * A message is a msgpack map with small integer keys. Values that are 0 or
 * empty are omitted, and unknown keys are skipped.
 */
#define RAFT_KEY_LEADER 20
#define RAFT_KEY_DATA 21
#define RAFT_KEY_ENTRIES 22
#define RAFT_KEY_REPORTS 23

#define RAFT_MAX_ENTRIES 65536
#define RAFT_MAX_REPORTS MEMBER_MAX

/** The integer fields; the position in the table is the key. */
static const size_t raft_numbers[] = {
	offsetof(struct raft_message, kind),
	offsetof(struct raft_message, term),
	offsetof(struct raft_message, index),
	offsetof(struct raft_message, log_term),
	offsetof(struct raft_message, commit),
	offsetof(struct raft_message, sent_us),
	offsetof(struct raft_message, echo_us),
	offsetof(struct raft_message, age_us),
	offsetof(struct raft_message, match),
	offsetof(struct raft_message, received),
	offsetof(struct raft_message, applied),
	offsetof(struct raft_message, flags),
	offsetof(struct raft_message, offset),
	offsetof(struct raft_message, total),
};

#define RAFT_NUMBERS (sizeof(raft_numbers) / sizeof(raft_numbers[0]))

static int64_t raft_message_number(const struct raft_message *message,
				   size_t key)
{
	return *(const int64_t *)((const char *)message + raft_numbers[key]);
}

static void raft_pack_bin(msgpack_packer *packer, const char *data, size_t len)
{
	msgpack_pack_bin(packer, len);
	msgpack_pack_bin_body(packer, data, len);
}

static void raft_pack_numbers(msgpack_packer *packer,
			      const struct raft_message *message)
{
	size_t key;

	for (key = 0; key < RAFT_NUMBERS; key++) {
		int64_t value = raft_message_number(message, key);

		if (!value)
			continue;
		msgpack_pack_uint8(packer, (uint8_t)key);
		msgpack_pack_int64(packer, value);
	}
}

static void raft_pack_entries(msgpack_packer *packer,
			      const struct raft_message *message)
{
	size_t i;

	msgpack_pack_uint8(packer, RAFT_KEY_ENTRIES);
	msgpack_pack_array(packer, 2 * message->n_entries);
	for (i = 0; i < message->n_entries; i++) {
		const struct raft_entry *entry = &message->entries[i];

		msgpack_pack_int64(packer, entry->term);
		raft_pack_bin(packer, entry->body.data, entry->body.len);
	}
}

static void raft_pack_reports(msgpack_packer *packer,
			      const struct raft_message *message)
{
	size_t i;

	msgpack_pack_uint8(packer, RAFT_KEY_REPORTS);
	msgpack_pack_array(packer, 3 * message->n_reports);
	for (i = 0; i < message->n_reports; i++) {
		msgpack_pack_uint64(packer, message->reports[i].id);
		msgpack_pack_int64(packer, message->reports[i].applied);
		msgpack_pack_int64(packer, message->reports[i].age_ms);
	}
}

void raft_message_encode(const struct raft_message *message, struct bytes *out)
{
	msgpack_packer packer;
	size_t fields = 0;
	size_t key;

	for (key = 0; key < RAFT_NUMBERS; key++)
		fields += raft_message_number(message, key) != 0;
	fields += message->leader != 0;
	fields += message->len != 0;
	fields += message->n_entries != 0;
	fields += message->n_reports != 0;
	pack_init(&packer, out);
	msgpack_pack_map(&packer, fields);
	raft_pack_numbers(&packer, message);
	if (message->leader) {
		msgpack_pack_uint8(&packer, RAFT_KEY_LEADER);
		msgpack_pack_uint64(&packer, message->leader);
	}
	if (message->len) {
		msgpack_pack_uint8(&packer, RAFT_KEY_DATA);
		raft_pack_bin(&packer, message->data, message->len);
	}
	if (message->n_entries)
		raft_pack_entries(&packer, message);
	if (message->n_reports)
		raft_pack_reports(&packer, message);
}

static bool raft_read_int(const msgpack_object *object, int64_t *value)
{
	if (object->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    object->via.u64 <= INT64_MAX) {
		*value = (int64_t)object->via.u64;
		return true;
	}
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*value = object->via.i64;
		return true;
	}
	return false;
}

static bool raft_read_id(const msgpack_object *object, uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*value = object->via.u64;
	return true;
}

static bool raft_read_entry(const msgpack_object *pair,
			    struct raft_entry *entry)
{
	if (!raft_read_int(&pair[0], &entry->term) || entry->term <= 0 ||
	    pair[1].type != MSGPACK_OBJECT_BIN || !pair[1].via.bin.size ||
	    pair[1].via.bin.size > RAFT_MAX_ENTRY_BYTES)
		return false;
	bytes_append(&entry->body, pair[1].via.bin.ptr, pair[1].via.bin.size);
	return true;
}

static bool raft_read_entries(const msgpack_object *object,
			      struct raft_message *message)
{
	size_t i;

	if (object->type != MSGPACK_OBJECT_ARRAY || message->entries ||
	    object->via.array.size % 2 ||
	    object->via.array.size > 2 * RAFT_MAX_ENTRIES)
		return false;
	message->n_entries = object->via.array.size / 2;
	message->entries =
		xcalloc(message->n_entries + 1, sizeof(*message->entries));
	for (i = 0; i < message->n_entries; i++)
		if (!raft_read_entry(&object->via.array.ptr[2 * i],
				     &message->entries[i]))
			return false;
	return true;
}

static bool raft_read_reports(const msgpack_object *object,
			      struct raft_message *message)
{
	size_t i;

	if (object->type != MSGPACK_OBJECT_ARRAY || message->reports ||
	    object->via.array.size % 3 ||
	    object->via.array.size > 3 * RAFT_MAX_REPORTS)
		return false;
	message->n_reports = object->via.array.size / 3;
	message->reports =
		xcalloc(message->n_reports + 1, sizeof(*message->reports));
	for (i = 0; i < message->n_reports; i++) {
		const msgpack_object *item = &object->via.array.ptr[3 * i];
		struct raft_report *report = &message->reports[i];

		if (!raft_read_id(&item[0], &report->id) ||
		    !raft_read_int(&item[1], &report->applied) ||
		    !raft_read_int(&item[2], &report->age_ms) ||
		    report->age_ms < 0)
			return false;
	}
	return true;
}

static bool raft_read_field(const msgpack_object_kv *field,
			    struct raft_message *message)
{
	uint64_t key;

	if (!raft_read_id(&field->key, &key))
		return false;
	if (key < RAFT_NUMBERS)
		return raft_read_int(&field->val,
				     (int64_t *)((char *)message +
						 raft_numbers[key]));
	switch (key) {
	case RAFT_KEY_LEADER:
		return raft_read_id(&field->val, &message->leader);
	case RAFT_KEY_DATA:
		if (field->val.type != MSGPACK_OBJECT_BIN)
			return false;
		free((char *)message->data);
		message->data = xmemdup(field->val.via.bin.ptr,
					field->val.via.bin.size);
		message->len = field->val.via.bin.size;
		return true;
	case RAFT_KEY_ENTRIES:
		return raft_read_entries(&field->val, message);
	case RAFT_KEY_REPORTS:
		return raft_read_reports(&field->val, message);
	default:
		return true;
	}
}

static bool raft_read_fields(const msgpack_object *root,
			     struct raft_message *message)
{
	size_t i;

	if (root->type != MSGPACK_OBJECT_MAP)
		return false;
	for (i = 0; i < root->via.map.size; i++)
		if (!raft_read_field(&root->via.map.ptr[i], message))
			return false;
	return message->kind >= RAFT_PREVOTE &&
	       message->kind <= RAFT_SUBSCRIBE_REFUSED && message->term >= 0 &&
	       message->index >= 0 && message->commit >= 0 &&
	       message->match >= 0 && message->received >= 0 &&
	       message->offset >= 0 && message->age_us >= 0 &&
	       message->applied >= 0 && message->total >= 0 &&
	       message->total <= RAFT_MAX_SNAPSHOT_BYTES;
}

/** Decode a message; false if malformed. Free it with raft_message_clear(). */
bool raft_message_decode(struct raft_message *message, const char *data,
			 size_t len)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	memset(message, 0, sizeof(*message));
	msgpack_unpacked_init(&unpacked);
	ok = unpack_next(&unpacked, data, len, &offset) && offset == len &&
	     raft_read_fields(&unpacked.data, message);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		raft_message_clear(message);
	return ok;
}

/** Free what a decoded message owns. */
void raft_message_clear(struct raft_message *message)
{
	size_t i;

	for (i = 0; message->entries && i < message->n_entries; i++)
		bytes_clear(&message->entries[i].body);
	free(message->entries);
	free(message->reports);
	free((char *)message->data);
	memset(message, 0, sizeof(*message));
}
