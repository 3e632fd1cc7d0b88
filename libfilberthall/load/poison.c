#include "load/poison.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

struct poison_entry {
	struct map_node node;
	uint64_t fingerprint;
	uint64_t server; /* of the first crash */
	int64_t ran_us;	 /* until the first crash */
	int64_t state_expires_us;
	bool held;
};

static bool poison_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct poison_entry, node)->fingerprint ==
	       *(const uint64_t *)key;
}

void poison_init(struct poison *poison)
{
	map_init(&poison->entries);
}

static void poison_drop(struct poison *poison, struct poison_entry *entry)
{
	map_remove(&poison->entries, &entry->node);
	free(entry);
}

void poison_clear(struct poison *poison)
{
	struct poison_entry *entry;
	struct poison_entry *next;

	map_foreach(entry, next, &poison->entries, node)
		free(entry);
	map_clear(&poison->entries);
}

uint64_t poison_fingerprint(const char *organisation, const char *body_hash)
{
	if (!body_hash || !*body_hash)
		return 0;
	return (map_hash_text(organisation) * 31 + map_hash_text(body_hash)) |
	       1;
}

static struct poison_entry *poison_find(struct poison *poison,
					uint64_t fingerprint, int64_t now_us)
{
	struct map_node *node = map_find(&poison->entries, fingerprint,
					 poison_match, &fingerprint);
	struct poison_entry *entry;

	if (!node)
		return NULL;
	entry = container_of(node, struct poison_entry, node);
	if (now_us < entry->state_expires_us)
		return entry;
	poison_drop(poison, entry);
	return NULL;
}

static void poison_add(struct poison *poison, uint64_t fingerprint,
		       uint64_t server, int64_t ran_us, int64_t now_us)
{
	struct poison_entry *entry;

	if (poison->entries.count >= POISON_ENTRIES) {
		entry = container_of(poison->entries.order.next,
				     struct poison_entry, node.order);
		poison_drop(poison, entry);
	}
	entry = xcalloc(1, sizeof(*entry));
	entry->fingerprint = fingerprint;
	entry->server = server;
	entry->ran_us = ran_us;
	entry->state_expires_us = now_us + POISON_SUSPECT_US;
	map_insert(&poison->entries, &entry->node, fingerprint);
}

enum poison_verdict poison_crashed(struct poison *poison, uint64_t fingerprint,
				   uint64_t server, int64_t ran_us,
				   int64_t now_us)
{
	struct poison_entry *entry;
	bool same_point;

	if (!fingerprint)
		return POISON_CLEAR;
	entry = poison_find(poison, fingerprint, now_us);
	if (!entry) {
		poison_add(poison, fingerprint, server, ran_us, now_us);
		return POISON_SUSPECT;
	}
	if (entry->server == server)
		return entry->held ? POISON_HELD : POISON_SUSPECT;
	same_point =
		(double)ran_us >= (double)entry->ran_us * POISON_SAME_POINT;
	if (same_point || !entry->held)
		entry->state_expires_us =
			now_us +
			(same_point ? POISON_QUARANTINE_US : POISON_HOLD_US);
	entry->held = true;
	return POISON_HELD;
}

enum poison_verdict poison_check(struct poison *poison, uint64_t fingerprint,
				 int64_t now_us)
{
	const struct poison_entry *entry;

	if (!fingerprint)
		return POISON_CLEAR;
	entry = poison_find(poison, fingerprint, now_us);
	if (!entry)
		return POISON_CLEAR;
	return entry->held ? POISON_HELD : POISON_SUSPECT;
}

void poison_forget(struct poison *poison, uint64_t fingerprint)
{
	struct map_node *node;

	if (!fingerprint)
		return;
	node = map_find(&poison->entries, fingerprint, poison_match,
			&fingerprint);
	if (node)
		poison_drop(poison,
			    container_of(node, struct poison_entry, node));
}
