#include "agree/claim.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "agree/claim_state.h"
#include "base/alloc.h"

/*
 * Number of members whose gone incarnations are remembered. Only an entry that
 * was in transit when its member was declared gone needs this, for a few
 * seconds; 1,024 members cover days of restarts.
 */
#define CLAIM_MAX_GONE_MEMBERS 1024

struct claim_limits claims_default_limits(void)
{
	struct claim_limits limits = {
		.keep_us = INT64_C(86400000000),
		.max_claims = 100000,
		.max_bytes = 16 * 1024 * 1024,
		.answer_bytes = 64 * 1024,
	};

	return limits;
}

struct claims *claims_new(void)
{
	struct claims *claims = xcalloc(1, sizeof(*claims));

	map_init(&claims->by_id);
	map_init(&claims->members);
	list_init(&claims->by_age);
	list_init(&claims->kept);
	claims->limits = claims_default_limits();
	return claims;
}

static void claim_drop_answer(struct claims *claims, struct claim_entry *entry)
{
	list_remove(&entry->kept_node);
	claims->answer_bytes -= entry->claim.body_len;
	free(entry->body);
	entry->body = NULL;
	entry->claim.body = NULL;
	entry->claim.body_len = 0;
	entry->claim.has_answer = false;
}

static void claim_delete(struct claims *claims, struct claim_entry *entry)
{
	if (entry->claim.has_answer)
		claim_drop_answer(claims, entry);
	list_remove(&entry->age_node);
	map_remove(&claims->by_id, &entry->node);
	free(entry->body_hash);
	free(entry->content_type);
	free(entry);
}

void claims_free(struct claims *claims)
{
	struct claim_entry *entry;
	struct claim_entry *next;
	struct claim_member *member;
	struct claim_member *next_member;

	if (!claims)
		return;
	map_foreach(entry, next, &claims->by_id, node)
		claim_delete(claims, entry);
	map_foreach(member, next_member, &claims->members, node)
		free(member);
	map_clear(&claims->by_id);
	map_clear(&claims->members);
	free(claims);
}

void claims_set_limits(struct claims *claims, const struct claim_limits *limits)
{
	claims->limits = *limits;
}

void claim_id(char id[CLAIM_ID_SIZE], const char *organisation,
	      const char *service, const char *idempotency_key)
{
	unsigned char hash[(CLAIM_ID_SIZE - 1) / 2];
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(hash));
	crypto_generichash_update(&state, (const unsigned char *)organisation,
				  strlen(organisation) + 1);
	crypto_generichash_update(&state, (const unsigned char *)service,
				  strlen(service) + 1);
	crypto_generichash_update(&state,
				  (const unsigned char *)idempotency_key,
				  strlen(idempotency_key));
	crypto_generichash_final(&state, hash, sizeof(hash));
	sodium_bin2hex(id, CLAIM_ID_SIZE, hash, sizeof(hash));
}

static bool claims_match(const struct map_node *node, const void *id)
{
	return !strcmp(container_of(node, struct claim_entry, node)->claim.id,
		       id);
}

struct claim_entry *claims_find_entry(const struct claims *claims,
				      const char *id)
{
	struct map_node *node =
		map_find(&claims->by_id, map_hash_text(id), claims_match, id);

	return node ? container_of(node, struct claim_entry, node) : NULL;
}

const struct claim *claims_find(const struct claims *claims, const char *id)
{
	struct claim_entry *entry = claims_find_entry(claims, id);

	return entry ? &entry->claim : NULL;
}

size_t claims_count(const struct claims *claims)
{
	return claims->by_id.count;
}

size_t claims_answer_bytes(const struct claims *claims)
{
	return claims->answer_bytes;
}

static enum result claim_open_result(const struct claim *claim,
				     const char *body_hash)
{
	if (body_hash && strcmp(claim->body_hash, body_hash) != 0)
		return RESULT_KEY_REUSED;
	switch (claim->state) {
	case CLAIM_OPEN:
	case CLAIM_SENT:
		return RESULT_CLAIM_RUNNING;
	case CLAIM_DONE:
		return claim->has_answer ? RESULT_CLAIM_DONE
					 : RESULT_CLAIM_ANSWER_GONE;
	case CLAIM_UNKNOWN:
		break;
	}
	return RESULT_CLAIM_UNKNOWN;
}

enum result claims_check_open(const struct claims *claims, const char *id,
			      const char *body_hash)
{
	const struct claim *claim = claims_find(claims, id);

	if (claim)
		return claim_open_result(claim, body_hash);
	if (claims->by_id.count >= (size_t)claims->limits.max_claims)
		return RESULT_CLAIM_FULL;
	return RESULT_OK;
}

void claim_update_state(struct claims *claims, struct claim_entry *entry,
			enum claim_state state, int64_t time_us)
{
	entry->claim.state = state;
	entry->claim.changed_us = time_us;
	list_remove(&entry->age_node);
	list_append(&claims->by_age, &entry->age_node);
}

struct claim_entry *claim_add(struct claims *claims, const char *id,
			      const char *body_hash,
			      const struct claim_owner *owner)
{
	struct claim_entry *entry = xcalloc(1, sizeof(*entry));

	memcpy(entry->claim.id, id, CLAIM_ID_SIZE - 1);
	entry->body_hash = xstrdup(body_hash ? body_hash : "");
	entry->claim.body_hash = entry->body_hash;
	entry->claim.owner = *owner;
	entry->claim.content_type = "";
	list_init(&entry->kept_node);
	list_init(&entry->age_node);
	map_insert(&claims->by_id, &entry->node, map_hash_text(id));
	return entry;
}

void claim_set_head(struct claim_entry *entry, int64_t http_status,
		    const char *content_type)
{
	free(entry->content_type);
	entry->content_type = xstrdup(content_type ? content_type : "");
	entry->claim.content_type = entry->content_type;
	entry->claim.http_status = http_status;
}

void claim_keep_body(struct claims *claims, struct claim_entry *entry,
		     const char *body, size_t len)
{
	entry->body = xmemdup(body ? body : "", len);
	entry->claim.body = entry->body;
	entry->claim.body_len = len;
	entry->claim.has_answer = true;
	claims->answer_bytes += len;
	list_append(&claims->kept, &entry->kept_node);
}

static struct claim_member *claims_find_member(const struct claims *claims,
					       uint64_t member);

static bool claims_is_gone(const struct claims *claims,
			   const struct claim_owner *owner)
{
	const struct claim_member *member =
		claims_find_member(claims, owner->member);

	return member && owner->incarnation <= member->gone_incarnation;
}

/*
 * CLAIM_VERB_OPEN of an owner that was declared gone was in transit when the
 * owner was lost. If it were accepted, the claim would stay SENT, with no owner
 * to finish it.
 */
static enum result claims_open(struct claims *claims,
			       const struct claim_owner *owner,
			       const struct claim_op *op, int64_t time_us)
{
	struct claim_entry *entry;
	enum result code;

	if (claims_is_gone(claims, owner))
		return RESULT_CONFLICT;
	code = claims_check_open(claims, op->id,
				 op->body_hash ? op->body_hash : "");
	if (code != RESULT_OK)
		return code;
	entry = claim_add(claims, op->id, op->body_hash, owner);
	claim_update_state(claims, entry, op->sending ? CLAIM_SENT : CLAIM_OPEN,
			   time_us);
	return RESULT_OK;
}

static bool claim_is_owned(const struct claim *claim,
			   const struct claim_owner *owner)
{
	return claim->owner.member == owner->member &&
	       claim->owner.incarnation == owner->incarnation;
}

static enum result claims_finish(struct claims *claims,
				 struct claim_entry *entry,
				 const struct claim_op *op, int64_t time_us)
{
	if (entry->claim.state == CLAIM_DONE)
		return RESULT_OK;
	claim_set_head(entry, op->http_status, op->content_type);
	if ((int64_t)op->body_len <= claims->limits.answer_bytes)
		claim_keep_body(claims, entry, op->body, op->body_len);
	claim_update_state(claims, entry, CLAIM_DONE, time_us);
	return RESULT_OK;
}

static enum result claims_transition(struct claims *claims,
				     struct claim_entry *entry,
				     const struct claim_op *op, int64_t time_us)
{
	enum claim_state state = entry->claim.state;

	if (state == CLAIM_DONE || state == CLAIM_UNKNOWN)
		return RESULT_CONFLICT;
	if (op->verb == CLAIM_VERB_RELEASE)
		claim_delete(claims, entry);
	else
		claim_update_state(claims, entry,
				   op->verb == CLAIM_VERB_SENT ? CLAIM_SENT
							       : CLAIM_UNKNOWN,
				   time_us);
	return RESULT_OK;
}

/* Drop the oldest answers beyond the limit; their claims stay. */
static void claims_drop_excess_answers(struct claims *claims)
{
	struct claim_entry *entry;
	struct claim_entry *next;

	list_foreach_safe(entry, next, &claims->kept, kept_node) {
		if ((int64_t)claims->answer_bytes <= claims->limits.max_bytes)
			break;
		claim_drop_answer(claims, entry);
	}
}

enum result claims_apply(struct claims *claims, const struct claim_owner *owner,
			 const struct claim_op *op, int64_t time_us)
{
	struct claim_entry *entry;
	enum result code;

	if (op->verb == CLAIM_VERB_OPEN)
		return claims_open(claims, owner, op, time_us);
	entry = claims_find_entry(claims, op->id);
	if (!entry)
		return RESULT_NOT_FOUND;
	if (!claim_is_owned(&entry->claim, owner))
		return RESULT_CONFLICT;
	if (op->verb != CLAIM_VERB_DONE)
		return claims_is_gone(claims, owner)
			       ? RESULT_CONFLICT
			       : claims_transition(claims, entry, op, time_us);
	code = claims_finish(claims, entry, op, time_us);
	claims_drop_excess_answers(claims);
	return code;
}

void claims_expire(struct claims *claims, int64_t time_us)
{
	struct claim_entry *entry;
	struct claim_entry *next;

	list_foreach_safe(entry, next, &claims->by_age, age_node) {
		if (entry->claim.changed_us + claims->limits.keep_us > time_us)
			break;
		claim_delete(claims, entry);
	}
	claims_drop_excess_answers(claims);
}

static bool claims_match_member(const struct map_node *node, const void *member)
{
	return container_of(node, struct claim_member, node)->member ==
	       *(const uint64_t *)member;
}

static struct claim_member *claims_find_member(const struct claims *claims,
					       uint64_t member)
{
	struct map_node *node =
		map_find(&claims->members, map_hash(&member, sizeof(member)),
			 claims_match_member, &member);

	return node ? container_of(node, struct claim_member, node) : NULL;
}

void claims_remember_gone(struct claims *claims,
			  const struct claim_owner *owner)
{
	struct claim_member *member = claims_find_member(claims, owner->member);

	if (!member) {
		member = xcalloc(1, sizeof(*member));
		member->member = owner->member;
	} else {
		map_remove(&claims->members, &member->node);
	}
	member->gone_incarnation = owner->incarnation;
	map_insert(&claims->members, &member->node,
		   map_hash(&member->member, sizeof(member->member)));
	if (claims->members.count <= CLAIM_MAX_GONE_MEMBERS)
		return;
	member = list_first(&claims->members.order, struct claim_member,
			    node.order);
	map_remove(&claims->members, &member->node);
	free(member);
}

uint64_t claims_latest_owner(const struct claims *claims, uint64_t member)
{
	const struct claim_entry *entry;
	uint64_t latest = 0;

	list_foreach(entry, &claims->by_age, age_node) {
		const struct claim *claim = &entry->claim;

		if (claim->owner.member == member &&
		    (claim->state == CLAIM_OPEN ||
		     claim->state == CLAIM_SENT) &&
		    claim->owner.incarnation > latest)
			latest = claim->owner.incarnation;
	}
	return latest;
}

void claims_owner_gone(struct claims *claims, const struct claim_owner *owner,
		       int64_t time_us,
		       void (*visit)(void *data, const char *id), void *data)
{
	struct claim_entry *entry;
	struct claim_entry *next;

	if (claims_is_gone(claims, owner))
		return;
	claims_remember_gone(claims, owner);
	list_foreach_safe(entry, next, &claims->by_age, age_node) {
		const struct claim *claim = &entry->claim;

		if (claim->owner.member != owner->member ||
		    claim->owner.incarnation > owner->incarnation ||
		    claim->state == CLAIM_DONE || claim->state == CLAIM_UNKNOWN)
			continue;
		visit(data, claim->id);
		if (claim->state == CLAIM_OPEN)
			claim_delete(claims, entry);
		else
			claim_update_state(claims, entry, CLAIM_UNKNOWN,
					   time_us);
	}
}
