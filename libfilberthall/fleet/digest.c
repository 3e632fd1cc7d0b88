#include "fleet/digest.h"

#include <msgpack.h>
#include <string.h>

#include "core/pack.h"

/* Items of one server's row, in the order in which they are packed. */
enum digest_item {
	DIGEST_ADDRESS,
	DIGEST_BOOT,
	DIGEST_SEQUENCE,
	DIGEST_LEASE_MS,
	DIGEST_AGE_MS,
	DIGEST_RUNNING,
	DIGEST_QUEUED,
	DIGEST_QUEUED_PROMPT,
	DIGEST_KV_USED,
	DIGEST_ITEMS
};

static uint32_t digest_boot(const struct backend *backend)
{
	return (uint32_t)map_hash_text(backend->boot_id);
}

uint64_t digest_identity(const struct backend *backend)
{
	uint64_t parts[12] = {
		map_hash_text(backend->boot_id),
		map_hash_text(backend->zone),
		map_hash_text(backend->service),
		map_hash_text(backend->model),
		map_hash_text(backend->version),
		map_hash_text(backend->role),
		map_hash_text(backend->adapters),
		(uint64_t)backend->cheap << 2 |
			(uint64_t)backend->leaving << 1 | backend->fences,
		(uint64_t)backend->slots,
		(uint64_t)backend->kv_tokens,
		(uint64_t)backend->prefill_rate,
		(uint64_t)backend->decode_rate,
	};

	return map_hash(parts, sizeof(parts));
}

static void digest_pack_row(msgpack_packer *packer,
			    const struct backend *backend, int64_t now_us)
{
	int64_t lease_ms = (backend->lease_end_us - now_us) / 1000;

	msgpack_pack_uint64(packer, backend->node.hash);
	msgpack_pack_uint32(packer, digest_boot(backend));
	msgpack_pack_int64(packer, backend->sequence);
	msgpack_pack_int64(packer, lease_ms > 0 ? lease_ms : 0);
	msgpack_pack_int64(packer, (now_us - backend->report_us) / 1000);
	msgpack_pack_int64(packer, backend->running);
	msgpack_pack_int64(packer, backend->queued);
	msgpack_pack_int64(packer, backend->queued_prompt_tokens);
	msgpack_pack_int64(packer, backend->kv_used);
}

int digest_write(struct fleet *fleet, int64_t now_us, struct bytes *out)
{
	struct backend *backend;
	struct backend *next;
	msgpack_packer packer;
	int rows = 0;

	map_foreach(backend, next, &fleet->backends, node)
		rows += backend->forward_pending;
	if (!rows)
		return 0;
	pack_init(&packer, out);
	msgpack_pack_array(&packer, (size_t)rows * DIGEST_ITEMS);
	map_foreach(backend, next, &fleet->backends, node) {
		if (!backend->forward_pending)
			continue;
		backend->forward_pending = false;
		digest_pack_row(&packer, backend, now_us);
	}
	return rows;
}

static bool digest_unpack_row(const msgpack_object *items,
			      int64_t row[DIGEST_ITEMS])
{
	int i;

	for (i = 0; i < DIGEST_ITEMS; i++) {
		if (items[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
		row[i] = (int64_t)items[i].via.u64;
		if (i != DIGEST_ADDRESS && row[i] < 0)
			return false;
	}
	return true;
}

/* Matches by hash alone: 64 bits suffice for some thousand addresses. */
static bool digest_match_hash(const struct map_node *node, const void *key)
{
	(void)node;
	(void)key;
	return true;
}

struct backend *digest_find(const struct fleet *fleet, uint64_t address_hash)
{
	struct map_node *node;

	node = map_find(&fleet->backends, address_hash, digest_match_hash,
			NULL);
	return node ? container_of(node, struct backend, node) : NULL;
}

/* Returns false if the server or its boot isn't known. */
static bool digest_apply_row(struct fleet *fleet, const int64_t *row,
			     int64_t now_us)
{
	struct backend *backend;

	backend = digest_find(fleet, (uint64_t)row[DIGEST_ADDRESS]);
	if (!backend || digest_boot(backend) != (uint32_t)row[DIGEST_BOOT])
		return false;
	if (row[DIGEST_SEQUENCE] <= backend->sequence)
		return true;
	backend->sequence = row[DIGEST_SEQUENCE];
	backend->lease_end_us = now_us + row[DIGEST_LEASE_MS] * 1000;
	backend->report_us = now_us - row[DIGEST_AGE_MS] * 1000;
	backend->running = row[DIGEST_RUNNING];
	backend->queued = row[DIGEST_QUEUED];
	backend->queued_prompt_tokens = row[DIGEST_QUEUED_PROMPT];
	backend->kv_used = row[DIGEST_KV_USED];
	backend->forward_pending = false;
	return true;
}

enum result digest_read(struct fleet *fleet, const void *data, size_t len,
			int64_t now_us,
			void (*unknown)(void *data, uint64_t address_hash),
			void *unknown_data)
{
	enum result code = RESULT_MESSAGE_MALFORMED;
	const msgpack_object_array *array;
	msgpack_unpacked message;
	int64_t row[DIGEST_ITEMS];
	size_t at = 0;
	size_t i;

	msgpack_unpacked_init(&message);
	if (!unpack_next(&message, data, len, &at) ||
	    message.data.type != MSGPACK_OBJECT_ARRAY ||
	    message.data.via.array.size % DIGEST_ITEMS)
		goto out;
	array = &message.data.via.array;
	for (i = 0; i < array->size; i += DIGEST_ITEMS) {
		if (!digest_unpack_row(array->ptr + i, row))
			goto out;
		if (!digest_apply_row(fleet, row, now_us))
			unknown(unknown_data, (uint64_t)row[DIGEST_ADDRESS]);
	}
	code = RESULT_OK;
out:
	msgpack_unpacked_destroy(&message);
	return code;
}
