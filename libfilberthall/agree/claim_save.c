#include <msgpack.h>
#include <string.h>

#include "agree/claim_state.h"
#include "agree/codec.h"
#include "core/pack.h"

json_t *claims_save(const struct claims *claims)
{
	const struct claim_member *member;
	json_t *members = json_array();

	list_foreach(member, &claims->members.order, node.order)
		json_array_append_new(
			members,
			json_pack("[o o]", codec_uint(member->member),
				  codec_uint(member->gone_incarnation)));
	return json_pack("{sI so}", "claims", (json_int_t)claims->by_id.count,
			 "members", members);
}

static void claim_pack_text(msgpack_packer *packer, const char *text)
{
	size_t len = strlen(text);

	msgpack_pack_str(packer, len);
	msgpack_pack_str_body(packer, text, len);
}

/* The order of the fields must match claim_load(). */
static void claim_pack(msgpack_packer *packer, const struct claim *claim)
{
	msgpack_pack_array(packer, 9);
	claim_pack_text(packer, claim->id);
	claim_pack_text(packer, claim->body_hash);
	msgpack_pack_int64(packer, (int64_t)claim->owner.member);
	msgpack_pack_int64(packer, (int64_t)claim->owner.incarnation);
	msgpack_pack_int(packer, (int)claim->state);
	msgpack_pack_int64(packer, claim->changed_us);
	msgpack_pack_int64(packer, claim->http_status);
	claim_pack_text(packer, claim->content_type);
	if (!claim->has_answer) {
		msgpack_pack_nil(packer);
		return;
	}
	msgpack_pack_bin(packer, claim->body_len);
	msgpack_pack_bin_body(packer, claim->body, claim->body_len);
}

void claims_save_chunks(const struct claims *claims, struct bytes *out)
{
	const struct claim_entry *entry;
	size_t left = claims->by_id.count;
	size_t in_chunk = 0;
	msgpack_packer packer;

	pack_init(&packer, out);
	list_foreach(entry, &claims->by_age, age_node) {
		if (!in_chunk) {
			in_chunk = left < CLAIMS_CHUNK ? left : CLAIMS_CHUNK;
			msgpack_pack_array(&packer, in_chunk);
		}
		claim_pack(&packer, &entry->claim);
		in_chunk--;
		left--;
	}
}

static bool claim_load(struct claims *claims, json_t *saved)
{
	struct claim_op op = { 0 };
	struct claim_owner owner;
	struct claim_entry *entry;
	const char *id;
	json_int_t member;
	json_int_t incarnation;
	json_int_t changed_us;
	json_int_t status;
	json_t *body;
	int state;

	if (json_unpack(saved, "[s s I I i I I s o]", &id, &op.body_hash,
			&member, &incarnation, &state, &changed_us, &status,
			&op.content_type, &body) < 0 ||
	    strlen(id) != CLAIM_ID_SIZE - 1 || state < CLAIM_OPEN ||
	    state > CLAIM_UNKNOWN || claims_find_entry(claims, id))
		return false;
	owner.member = (uint64_t)member;
	owner.incarnation = (uint64_t)incarnation;
	entry = claim_add(claims, id, op.body_hash, &owner);
	claim_set_head(entry, status, op.content_type);
	if (state == CLAIM_DONE && json_is_string(body))
		claim_keep_body(claims, entry, json_string_value(body),
				json_string_length(body));
	claim_update_state(claims, entry, (enum claim_state)state, changed_us);
	return true;
}

enum result claims_load_chunk(struct claims *claims, const json_t *chunk)
{
	json_t *item;
	size_t i;

	json_array_foreach(chunk, i, item)
		if (!claim_load(claims, item))
			return RESULT_MESSAGE_MALFORMED;
	return RESULT_OK;
}

enum result claims_load(struct claims *claims, const json_t *saved)
{
	json_t *item;
	size_t i;

	json_array_foreach(json_object_get(saved, "members"), i, item) {
		struct claim_owner owner = { 0 };
		json_int_t member;
		json_int_t gone;

		if (json_unpack(item, "[I I]", &member, &gone) < 0)
			return RESULT_MESSAGE_MALFORMED;
		owner.member = (uint64_t)member;
		owner.incarnation = (uint64_t)gone;
		claims_remember_gone(claims, &owner);
	}
	return RESULT_OK;
}
