#include "load/affinity.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* A record that is kept for less longer than this is no news. */
#define EXTENDED_US INT64_C(1000000)

/* An organisation with records. */
struct owner {
	struct map_node node;
	uint64_t id;
	struct list records; /* the one noted longest ago first */
	size_t n;
};

struct record {
	struct map_node node;
	struct list in_owner;
	struct owner *owner;
	struct affinity affinity;
};

void affinities_init(struct affinities *affinities, size_t most)
{
	map_init(&affinities->records);
	map_init(&affinities->owners);
	affinities->most = most;
}

void affinities_clear(struct affinities *affinities)
{
	struct record *record;
	struct record *next_record;
	struct owner *owner;
	struct owner *next_owner;

	map_foreach(record, next_record, &affinities->records, node)
		free(record);
	map_foreach(owner, next_owner, &affinities->owners, node)
		free(owner);
	map_clear(&affinities->records);
	map_clear(&affinities->owners);
}

struct affinity_key affinity_key(const char *organisation, const char *request)
{
	crypto_generichash_state state;
	struct affinity_key key;

	crypto_generichash_init(&state, NULL, 0, sizeof(key.bytes));
	crypto_generichash_update(&state, (const unsigned char *)organisation,
				  strlen(organisation) + 1);
	crypto_generichash_update(&state, (const unsigned char *)request,
				  strlen(request));
	crypto_generichash_final(&state, key.bytes, sizeof(key.bytes));
	return key;
}

static uint64_t key_hash(const struct affinity_key *key)
{
	uint64_t hash;

	memcpy(&hash, key->bytes, sizeof(hash));
	return hash;
}

static bool record_match(const struct map_node *node, const void *key)
{
	const struct record *record = container_of(node, struct record, node);

	return !memcmp(&record->affinity.key, key, sizeof(struct affinity_key));
}

static struct record *record_find(const struct affinities *affinities,
				  const struct affinity_key *key)
{
	struct map_node *node = map_find(&affinities->records, key_hash(key),
					 record_match, key);

	return node ? container_of(node, struct record, node) : NULL;
}

static bool owner_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct owner, node)->id ==
	       *(const uint64_t *)key;
}

static struct owner *owner_get(struct affinities *affinities, uint64_t id)
{
	struct map_node *node =
		map_find(&affinities->owners, id, owner_match, &id);
	struct owner *owner;

	if (node)
		return container_of(node, struct owner, node);
	owner = xcalloc(1, sizeof(*owner));
	owner->id = id;
	list_init(&owner->records);
	map_insert(&affinities->owners, &owner->node, id);
	return owner;
}

static void record_drop(struct affinities *affinities, struct record *record)
{
	struct owner *owner = record->owner;

	map_remove(&affinities->records, &record->node);
	list_remove(&record->in_owner);
	free(record);
	if (--owner->n)
		return;
	map_remove(&affinities->owners, &owner->node);
	free(owner);
}

static void make_room(struct affinities *affinities)
{
	struct record *oldest = NULL;
	struct owner *owner;
	struct owner *next;
	size_t most = 0;

	map_foreach(owner, next, &affinities->owners, node) {
		if (owner->n <= most)
			continue;
		most = owner->n;
		oldest = list_first(&owner->records, struct record, in_owner);
	}
	if (oldest)
		record_drop(affinities, oldest);
}

static void record_add(struct affinities *affinities,
		       const struct affinity *affinity)
{
	struct record *record;

	if (affinities->records.count >= affinities->most)
		make_room(affinities);
	record = xcalloc(1, sizeof(*record));
	record->affinity = *affinity;
	record->owner = owner_get(affinities, affinity->owner);
	record->owner->n++;
	list_append(&record->owner->records, &record->in_owner);
	map_insert(&affinities->records, &record->node,
		   key_hash(&affinity->key));
}

/* What two records of a stream say together. */
static uint64_t merge_versions(const struct affinity *known,
			       const struct affinity *told)
{
	if (told->version == AFFINITY_PENDING ||
	    (told->version == known->version &&
	     told->service == known->service))
		return known->version;
	if (known->version == AFFINITY_PENDING &&
	    told->service == known->service)
		return told->version;
	return AFFINITY_UNCLEAR;
}

static bool record_update(struct record *record,
			  const struct affinity *affinity)
{
	struct affinity *known = &record->affinity;
	uint64_t version = merge_versions(known, affinity);
	bool news = version != known->version;

	known->version = version;
	if (affinity->expires_us > known->expires_us) {
		news |= affinity->expires_us - known->expires_us > EXTENDED_US;
		known->expires_us = affinity->expires_us;
		list_remove(&record->in_owner);
		list_append(&record->owner->records, &record->in_owner);
	}
	return news;
}

bool affinities_note(struct affinities *affinities,
		     const struct affinity *affinity, int64_t now_us)
{
	struct record *record = record_find(affinities, &affinity->key);

	if (affinity->expires_us <= now_us)
		return false;
	if (record && record->affinity.expires_us <= now_us) {
		record_drop(affinities, record);
		record = NULL;
	}
	if (record)
		return record_update(record, affinity);
	record_add(affinities, affinity);
	return true;
}

const struct affinity *affinities_find(const struct affinities *affinities,
				       const struct affinity_key *key,
				       int64_t now_us)
{
	const struct record *record = record_find(affinities, key);

	if (!record || record->affinity.expires_us <= now_us)
		return NULL;
	return &record->affinity;
}

/* An owner's records expire about in the order in which they were noted. */
static void owner_expire(struct affinities *affinities, struct owner *owner,
			 int64_t now_us)
{
	struct record *record;
	struct record *next;
	bool last;

	list_foreach_safe(record, next, &owner->records, in_owner) {
		if (record->affinity.expires_us > now_us)
			return;
		last = owner->n == 1;
		record_drop(affinities, record);
		if (last)
			return;
	}
}

void affinities_expire(struct affinities *affinities, int64_t now_us)
{
	struct owner *owner;
	struct owner *next;

	map_foreach(owner, next, &affinities->owners, node)
		owner_expire(affinities, owner, now_us);
}

void affinities_visit(const struct affinities *affinities, int64_t now_us,
		      void (*visit)(void *data,
				    const struct affinity *affinity),
		      void *data)
{
	struct record *record;
	struct record *next;

	map_foreach(record, next, &affinities->records, node)
		if (record->affinity.expires_us > now_us)
			visit(data, &record->affinity);
}
