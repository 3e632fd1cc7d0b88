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
 * Callers' and operators' keys. Only a keyed hash of a secret is held
 * (BLAKE2b-256 under the site's secret, 64 hex digits), so neither log nor
 * snapshot nor a stolen disk shows a key. Part of the agreed state: a
 * withdrawal is in force on a daemon as soon as it applies that entry, and a
 * daemon that is cut off stops admitting (site/keys stale_ms).
 *
 * Finding a hash takes one table lookup; the comparison with the candidate
 * is in constant time, so that answer times don't tell how much of a guessed
 * hash was right.
 */
struct keys;

/**
 * One key, compact: 4,500 organisations with several keys each must fit
 * beside everything else into 128 MB. Lists end with NULL; an empty list
 * permits all.
 */
struct key {
	const char *id;
	const char *hash;
	const char *organisation;  /**< "" for an operator's key */
	const char *default_class; /**< "" for none */
	const char *subtree;	   /**< "" reaches the whole tree */
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

/** Bytes held by all keys, for docs/CAPACITY.md. */
size_t keys_bytes(const struct keys *keys);

/**
 * Grant a key. `args`: "id", "hash", and optionally "organisation",
 * "default_class", "subtree", "caller", "operates", "classes", "models",
 * "services", "max_concurrent", "requests_per_min". A key with neither
 * "caller" nor "operates" is a caller's.
 *
 * Returns RESULT_OK, RESULT_CONFLICT if id or hash is taken, or
 * RESULT_BAD_REQUEST with a message that names the field.
 */
enum result keys_grant(struct keys *keys, const json_t *args, int64_t index,
		       const struct error_handler *handler);

/** Change what a key permits; fields as in keys_grant() but "hash". */
enum result keys_limit(struct keys *keys, const json_t *args, int64_t index,
		       const struct error_handler *handler);

/** Withdraw a key. RESULT_NOT_FOUND if there is none. */
enum result keys_withdraw(struct keys *keys, const char *id);

/**
 * Whether the key may send this request. `class_name`, `model` and `service`
 * may be NULL where the request has none. A class must belong to the team of
 * the key's organisation.
 *
 * Returns RESULT_OK, RESULT_KEY_UNKNOWN (no caller's key, or its organisation
 * is gone), RESULT_CLASS_FORBIDDEN, RESULT_MODEL_FORBIDDEN or
 * RESULT_SERVICE_FORBIDDEN.
 */
enum result key_permits(const struct key *key, const struct settings *settings,
			const char *class_name, const char *model,
			const char *service);

/**
 * Whether the key's operator may change this path of the settings:
 * RESULT_OK or RESULT_PATH_FORBIDDEN.
 */
enum result key_reaches(const struct key *key, const char *path);

/** The key as core/rule.h has it. */
void key_fill_rule(const struct key *key, struct key_rule *rule);

/** A key as JSON without its hash, for `key list`. */
json_t *key_describe(const struct key *key);

void keys_visit(const struct keys *keys,
		void (*visit)(void *data, const struct key *key), void *data);

json_t *keys_save(const struct keys *keys);
enum result keys_load(struct keys *keys, const json_t *saved);

#endif
