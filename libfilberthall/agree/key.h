#ifndef FILBERTHALL_AGREE_KEY_H
#define FILBERTHALL_AGREE_KEY_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agree/settings.h"
#include "base/error.h"
#include "base/result.h"
#include "core/rule.h"

/**
 * The keys of callers and operators. Only a keyed hash of each secret is stored
 * (BLAKE2b-256 under the site's secret, 64 hex digits), so neither log nor
 * snapshot nor a stolen disk reveals a key. Part of the agreed state: a
 * withdrawal takes effect on a daemon when it applies that entry, and a
 * partitioned daemon stops admitting requests (site/keys stale_ms).
 *
 * A hash is found by one table lookup; the comparison with the candidate takes
 * constant time, so that response times don't reveal how much of a guessed hash
 * was right.
 */
struct keys;

/**
 * One key. It is stored compactly: 4,500 organisations with several keys each
 * must fit into 128 MB beside everything else. Lists end with NULL; an empty
 * list permits all.
 */
struct key {
	const char *id;
	const char *hash;
	const char *organisation;  /**< "" for an operator's key */
	const char *default_class; /**< "" for none */
	const char *subtree;	   /**< subtree of the settings that an
	                    	   operator may change; "" is the whole
	                    	   tree */
	bool caller;
	bool operates;
	int64_t max_concurrent;	  /**< 0 no limit */
	int64_t requests_per_min; /**< 0 no limit */
	const char **classes;
	const char **models;
	const char **services;
	int64_t version; /**< log index of the last change */
};

struct keys *keys_new(void);
void keys_free(struct keys *keys);

/** The key with that hash (64 hex digits) or id, borrowed, or NULL. */
const struct key *keys_find(const struct keys *keys, const char *hash);
const struct key *keys_find_id(const struct keys *keys, const char *id);

size_t keys_count(const struct keys *keys);

/** Memory used by all keys, in bytes; documented in docs/CAPACITY.md. */
size_t keys_bytes(const struct keys *keys);

/**
 * Grant a key. `args`: "id", "hash", and optionally "organisation",
 * "default_class", "subtree", "caller", "operates", "classes", "models",
 * "services", "max_concurrent", "requests_per_min". A key with neither "caller"
 * nor "operates" is a caller's key.
 *
 * Returns RESULT_OK, RESULT_CONFLICT if id or hash is in use, or
 * RESULT_BAD_REQUEST with a message that names the field.
 */
enum result keys_grant(struct keys *keys, const json_t *args, int64_t index,
		       const struct error_handler *handler);

/** Change a key's permissions; the fields of keys_grant() except "hash". */
enum result keys_limit(struct keys *keys, const json_t *args, int64_t index,
		       const struct error_handler *handler);

/** Withdraw a key. RESULT_NOT_FOUND if there is none. */
enum result keys_withdraw(struct keys *keys, const char *id);

/**
 * Whether the key may send this request. `class_name`, `model` and `service`
 * may be NULL if the request has none. A class must belong to the team of the
 * key's organisation.
 *
 * Returns RESULT_OK, RESULT_KEY_UNKNOWN (not a caller's key, or its
 * organisation no longer exists), RESULT_CLASS_FORBIDDEN,
 * RESULT_MODEL_FORBIDDEN or RESULT_SERVICE_FORBIDDEN.
 */
enum result key_permits(const struct key *key, const struct settings *settings,
			const char *class_name, const char *model,
			const char *service);

/**
 * Whether an operator with this key may change this path of the settings:
 * RESULT_OK or RESULT_PATH_FORBIDDEN.
 */
enum result key_covers_path(const struct key *key, const char *path);

/** Convert a key to the format of core/rule.h. */
void key_fill_rule(const struct key *key, struct key_rule *rule);

/** A key as JSON without its hash, for the command `key list`. */
json_t *key_describe(const struct key *key);

void keys_visit(const struct keys *keys,
		void (*visit)(void *data, const struct key *key), void *data);

json_t *keys_save(const struct keys *keys);
enum result keys_load(struct keys *keys, const json_t *saved);

#endif
