/*
 * Messages of LINK_FORWARD: log entries and operators' calls forwarded to the
 * leader, and its answers. Any daemon accepts operators' calls and claims;
 * only the leader can append to the log.
 */
#include <stdlib.h>

#include "base/cleanup.h"
#include "core/core_state.h"
#include "core/pack.h"

enum forward_kind { FORWARD_ENTRY = 1, FORWARD_ADMIN = 2, FORWARD_ANSWER = 3 };

#define FORWARD_TEXT_MAX 256

void forward_entry(struct core *core, uint64_t peer, const struct bytes *entry)
{
	struct bytes body = { 0 };
	msgpack_packer packer;

	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_int(&packer, FORWARD_ENTRY);
	pack_bytes(&packer, entry->data, entry->len);
	peers_send(core, peer, LINK_FORWARD, &body);
}

void forward_admin(struct core *core, uint64_t peer, uint64_t ticket,
		   const char *key_id, const char *command,
		   const struct bytes *args)
{
	struct bytes body = { 0 };
	msgpack_packer packer;

	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_int(&packer, FORWARD_ADMIN);
	msgpack_pack_uint64(&packer, ticket);
	pack_text(&packer, key_id);
	pack_text(&packer, command);
	pack_bytes(&packer, args->data, args->len);
	peers_send(core, peer, LINK_FORWARD, &body);
}

void forward_answer(struct core *core, uint64_t peer, uint64_t ticket,
		    enum result code, const struct bytes *answer)
{
	struct bytes body = { 0 };
	msgpack_packer packer;

	pack_init(&packer, &body);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_int(&packer, FORWARD_ANSWER);
	msgpack_pack_uint64(&packer, ticket);
	msgpack_pack_int(&packer, code);
	pack_bytes(&packer, answer->data, answer->len);
	peers_send(core, peer, LINK_FORWARD, &body);
}

static void forward_handle_admin(struct core *core, uint64_t peer,
				 const struct unpacked *message)
{
	cleanup(free_ptr) char *key_id = NULL;
	cleanup(free_ptr) char *command = NULL;
	struct bytes args = { 0 };
	const char *data;
	uint64_t ticket;
	size_t len;

	key_id = unpack_text(message, 2, FORWARD_TEXT_MAX);
	command = unpack_text(message, 3, FORWARD_TEXT_MAX);
	if (!key_id || !command || !unpack_uint(message, 1, &ticket) ||
	    !unpack_bytes(message, 4, &data, &len))
		return;
	bytes_append(&args, data, len);
	operator_forwarded(core, peer, ticket, key_id, command, &args);
	bytes_clear(&args);
}

static void forward_handle_answer(struct core *core,
				  const struct unpacked *message)
{
	struct bytes answer = { 0 };
	const char *data;
	uint64_t ticket;
	int64_t code;
	size_t len;

	if (!unpack_uint(message, 1, &ticket) ||
	    !unpack_int(message, 2, &code) ||
	    !unpack_bytes(message, 3, &data, &len))
		return;
	bytes_append(&answer, data, len);
	operator_answered(core, ticket, (enum result)code, &answer);
	bytes_clear(&answer);
}

void forward_message(struct core *core, uint64_t peer, const struct bytes *body)
{
	struct unpacked message;
	const char *data;
	int64_t kind;
	size_t len;

	if (!unpack_array(&message, body->data, body->len))
		return;
	if (!unpack_int(&message, 0, &kind))
		kind = 0;
	switch (kind) {
	case FORWARD_ENTRY:
		if (unpack_bytes(&message, 1, &data, &len))
			propose_forwarded(core, data, len);
		break;
	case FORWARD_ADMIN:
		forward_handle_admin(core, peer, &message);
		break;
	case FORWARD_ANSWER:
		forward_handle_answer(core, &message);
		break;
	default:
		core_log(core, LOG_WARN, "forward", "unknown message %lld",
			 (long long)kind);
		break;
	}
	unpack_clear(&message);
}
