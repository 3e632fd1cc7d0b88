#include "agree/member.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "core/pack.h"

#define MEMBER_FIELDS 7

struct member *members_find(const struct members *members, uint64_t id)
{
	size_t i;

	for (i = 0; i < members->count; i++)
		if (members->items[i].id == id)
			return &members->items[i];
	return NULL;
}

bool member_same(const struct member *a, const struct member *b)
{
	return a->id == b->id && a->incarnation == b->incarnation &&
	       a->disk == b->disk && !strcmp(a->vm, b->vm) &&
	       !strcmp(a->zone, b->zone) && !strcmp(a->address, b->address);
}

int members_voters(const struct members *members)
{
	int voters = 0;
	size_t i;

	for (i = 0; i < members->count; i++)
		voters += members->items[i].role == MEMBER_VOTER;
	return voters;
}

int members_quorum(int voters)
{
	return voters / 2 + 1;
}

struct members members_copy(const struct members *from)
{
	struct members copy = { .count = from->count };

	if (!from->count)
		return copy;
	copy.items = xcalloc(from->count, sizeof(*copy.items));
	memcpy(copy.items, from->items, from->count * sizeof(*copy.items));
	return copy;
}

void members_clear(struct members *members)
{
	free(members->items);
	memset(members, 0, sizeof(*members));
}

static void members_put(struct members *members, const struct member *member)
{
	struct member *known = members_find(members, member->id);
	enum member_role role;

	if (known) {
		role = known->role;
		*known = *member;
		known->role = role;
		return;
	}
	members->items =
		xrealloc(members->items,
			 (members->count + 1) * sizeof(*members->items));
	members->items[members->count] = *member;
	members->items[members->count].role = MEMBER_LEARNER;
	members->count++;
}

static void members_remove(struct members *members, uint64_t id)
{
	struct member *member = members_find(members, id);
	size_t at;

	if (!member)
		return;
	at = (size_t)(member - members->items);
	members->count--;
	memmove(member, member + 1,
		(members->count - at) * sizeof(*members->items));
}

void members_change(struct members *members, const struct member_change *change)
{
	struct member *member = members_find(members, change->member.id);

	switch (change->kind) {
	case MEMBER_PUT:
		members_put(members, &change->member);
		break;
	case MEMBER_PROMOTE:
		if (member)
			member->role = MEMBER_VOTER;
		break;
	case MEMBER_DEMOTE:
		if (member)
			member->role = MEMBER_LEARNER;
		break;
	case MEMBER_REMOVE:
		members_remove(members, change->member.id);
		break;
	case MEMBER_NO_CHANGE:
		break;
	}
}

static void member_pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str(packer, strlen(text));
	msgpack_pack_str_body(packer, text, strlen(text));
}

void members_encode(const struct members *members, struct bytes *out)
{
	msgpack_packer packer;
	size_t i;

	pack_init(&packer, out);
	msgpack_pack_array(&packer, members->count);
	for (i = 0; i < members->count; i++) {
		const struct member *member = &members->items[i];

		msgpack_pack_array(&packer, MEMBER_FIELDS);
		msgpack_pack_uint64(&packer, member->id);
		member_pack_text(&packer, member->vm);
		member_pack_text(&packer, member->zone);
		member_pack_text(&packer, member->address);
		msgpack_pack_int64(&packer, member->incarnation);
		msgpack_pack_int64(&packer, member->disk);
		msgpack_pack_int64(&packer, member->role);
	}
}

static bool member_read_text(const msgpack_object *object, char *text)
{
	if (object->type != MSGPACK_OBJECT_STR ||
	    object->via.str.size >= MEMBER_TEXT_SIZE)
		return false;
	if (object->via.str.size)
		memcpy(text, object->via.str.ptr, object->via.str.size);
	text[object->via.str.size] = '\0';
	return true;
}

static bool member_read(const msgpack_object *object, struct member *member)
{
	const msgpack_object *field = object->via.array.ptr;
	int i;

	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < MEMBER_FIELDS)
		return false;
	for (i = 4; i < MEMBER_FIELDS; i++)
		if (field[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
			return false;
	if (field[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	member->id = field[0].via.u64;
	member->incarnation = field[4].via.i64;
	member->disk = field[5].via.u64 != 0;
	member->role = field[6].via.u64 == MEMBER_VOTER ? MEMBER_VOTER
							: MEMBER_LEARNER;
	return member_read_text(&field[1], member->vm) &&
	       member_read_text(&field[2], member->zone) &&
	       member_read_text(&field[3], member->address);
}

static bool members_read(struct members *members, const msgpack_object *root)
{
	size_t i;

	if (root->type != MSGPACK_OBJECT_ARRAY ||
	    root->via.array.size > MEMBER_MAX)
		return false;
	members->count = root->via.array.size;
	members->items = xcalloc(members->count + 1, sizeof(*members->items));
	for (i = 0; i < members->count; i++)
		if (!member_read(&root->via.array.ptr[i], &members->items[i]))
			return false;
	return true;
}

bool members_decode(struct members *members, const char *data, size_t len)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = unpack_next(&unpacked, data, len, &offset) && offset == len &&
	     members_read(members, &unpacked.data);
	msgpack_unpacked_destroy(&unpacked);
	if (!ok)
		members_clear(members);
	return ok;
}
