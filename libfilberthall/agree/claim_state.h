#ifndef FILBERTHALL_AGREE_CLAIM_STATE_H
#define FILBERTHALL_AGREE_CLAIM_STATE_H

#include "agree/claim.h"
#include "base/list.h"
#include "base/map.h"

/** Internals shared by claim.c and claim_save.c; not for other modules. */
struct claim_entry {
	struct map_node node;
	struct list age_node;  /**< in claims.by_age, oldest change first */
	struct list kept_node; /**< in claims.kept, oldest answer first */
	struct claim claim;
	char *body_hash;
	char *content_type;
	char *body;
};

/* All incarnations of `member` up to `gone` are gone. */
struct claim_member {
	struct map_node node;
	uint64_t member;
	uint64_t gone_incarnation;
};

struct claims {
	struct map by_id;
	struct list by_age;
	struct list kept;
	struct map members;
	size_t answer_bytes;
	struct claim_limits limits;
};

struct claim_entry *claims_find_entry(const struct claims *claims,
				      const char *id);

/** Add a claim; claim_update_state() must follow. */
struct claim_entry *claim_add(struct claims *claims, const char *id,
			      const char *body_hash,
			      const struct claim_owner *owner);

/** Set the state, and the time of the change. */
void claim_update_state(struct claims *claims, struct claim_entry *entry,
			enum claim_state state, int64_t time_us);

/** Set the status and content type of the answer. */
void claim_set_head(struct claim_entry *entry, int64_t http_status,
		    const char *content_type);

/** Keep the answer's body, whatever its size. */
void claim_keep_body(struct claims *claims, struct claim_entry *entry,
		     const char *body, size_t len);

/** Record that an incarnation and those before it are gone. */
void claims_remember_gone(struct claims *claims,
			  const struct claim_owner *owner);

#endif
