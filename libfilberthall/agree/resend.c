#include "agree/resend.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/map.h"

#define RESEND_DIGEST_BYTES 16
#define RESEND_DIGEST_SIZE (2 * RESEND_DIGEST_BYTES + 1)

struct resend {
	struct map_node node; /**< in order of time */
	char *name;	      /**< operator, newline, change id */
	char digest[RESEND_DIGEST_SIZE];
	json_t *answer;
	int64_t time_us;
};

struct resends {
	struct map by_name;
};

struct resends *resends_new(void)
{
	struct resends *resends = xcalloc(1, sizeof(*resends));

	map_init(&resends->by_name);
	return resends;
}

static void resend_remove(struct resends *resends, struct resend *resend)
{
	map_remove(&resends->by_name, &resend->node);
	json_decref(resend->answer);
	free(resend->name);
	free(resend);
}

void resends_free(struct resends *resends)
{
	struct resend *resend;
	struct resend *next;

	if (!resends)
		return;
	map_foreach(resend, next, &resends->by_name, node)
		resend_remove(resends, resend);
	map_clear(&resends->by_name);
	free(resends);
}

static void resend_digest(char digest[RESEND_DIGEST_SIZE], const char *command,
			  const json_t *args)
{
	unsigned char hash[RESEND_DIGEST_BYTES];
	crypto_generichash_state state;
	cleanup(free_ptr) char *text =
		json_dumps(args, JSON_COMPACT | JSON_SORT_KEYS);

	crypto_generichash_init(&state, NULL, 0, sizeof(hash));
	crypto_generichash_update(&state, (const unsigned char *)command,
				  strlen(command) + 1);
	if (text)
		crypto_generichash_update(&state, (const unsigned char *)text,
					  strlen(text));
	crypto_generichash_final(&state, hash, sizeof(hash));
	sodium_bin2hex(digest, RESEND_DIGEST_SIZE, hash, sizeof(hash));
}

static bool resend_match(const struct map_node *node, const void *name)
{
	return !strcmp(container_of(node, struct resend, node)->name, name);
}

const json_t *resends_find(const struct resends *resends,
			   const char *operator_id, const char *change_id,
			   const char *command, const json_t *args, bool *same)
{
	cleanup(free_ptr) char *name =
		xstrfmt("%s\n%s", operator_id, change_id);
	char digest[RESEND_DIGEST_SIZE];
	const struct resend *resend;
	struct map_node *node;

	node = map_find(&resends->by_name, map_hash_text(name), resend_match,
			name);
	if (!node)
		return NULL;
	resend = container_of(node, struct resend, node);
	resend_digest(digest, command, args);
	*same = !strcmp(digest, resend->digest);
	return resend->answer;
}

static void resends_add(struct resends *resends, char *name, const char *digest,
			json_t *answer, int64_t time_us)
{
	struct resend *resend = xcalloc(1, sizeof(*resend));

	resend->name = name;
	memcpy(resend->digest, digest, RESEND_DIGEST_SIZE);
	resend->answer = answer;
	resend->time_us = time_us;
	map_insert(&resends->by_name, &resend->node, map_hash_text(name));
}

void resends_keep(struct resends *resends, const char *operator_id,
		  const char *change_id, const char *command,
		  const json_t *args, const json_t *answer, int64_t time_us)
{
	char digest[RESEND_DIGEST_SIZE];

	resend_digest(digest, command, args);
	resends_add(resends, xstrfmt("%s\n%s", operator_id, change_id), digest,
		    json_deep_copy(answer), time_us);
	resends_expire(resends, time_us);
}

void resends_expire(struct resends *resends, int64_t time_us)
{
	struct resend *resend;
	struct resend *next;

	map_foreach(resend, next, &resends->by_name, node) {
		if (resends->by_name.count <= RESENDS_KEPT &&
		    resend->time_us + RESENDS_KEEP_US > time_us)
			break;
		resend_remove(resends, resend);
	}
}

size_t resends_count(const struct resends *resends)
{
	return resends->by_name.count;
}

json_t *resends_save(const struct resends *resends)
{
	const struct resend *resend;
	const struct resend *next;
	json_t *saved = json_array();

	map_foreach(resend, next, &resends->by_name, node)
		json_array_append_new(saved,
				      json_pack("[s s O I]", resend->name,
						resend->digest, resend->answer,
						(json_int_t)resend->time_us));
	return saved;
}

enum result resends_load(struct resends *resends, const json_t *saved)
{
	json_t *item;
	size_t i;

	json_array_foreach(saved, i, item) {
		const char *name;
		const char *digest;
		json_int_t time_us;
		json_t *answer;

		if (json_unpack(item, "[s s o I]", &name, &digest, &answer,
				&time_us) < 0 ||
		    strlen(digest) != RESEND_DIGEST_SIZE - 1 ||
		    !json_is_object(answer))
			return RESULT_MESSAGE_MALFORMED;
		resends_add(resends, xstrdup(name), digest, json_incref(answer),
			    time_us);
	}
	return RESULT_OK;
}
