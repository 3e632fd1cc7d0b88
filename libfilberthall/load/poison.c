#include "load/poison.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

struct poison_entry {
	struct map_node node;
	uint64_t fingerprint;
	struct poison_crash crashes[POISON_CRASHES]; /* earliest first */
	int n;
	int64_t held_until_us;
	int64_t expires_us; /* all of it is forgotten then */
};

static bool poison_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct poison_entry, node)->fingerprint ==
	       *(const uint64_t *)key;
}

void poison_init(struct poison *poison)
{
	*poison = (struct poison){ 0 };
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
	if (now_us < entry->expires_us)
		return entry;
	poison_drop(poison, entry);
	return NULL;
}

/* Make room: the oldest suspect goes, or the oldest if all are held. */
static void poison_evict(struct poison *poison)
{
	struct poison_entry *oldest = NULL;
	struct poison_entry *entry;
	struct poison_entry *next;

	map_foreach(entry, next, &poison->entries, node) {
		if (!oldest)
			oldest = entry;
		if (entry->n > 1)
			continue;
		oldest = entry;
		break;
	}
	if (oldest)
		poison_drop(poison, oldest);
}

static struct poison_entry *poison_add(struct poison *poison,
				       uint64_t fingerprint)
{
	struct poison_entry *entry;

	if (poison->entries.count >= POISON_ENTRIES)
		poison_evict(poison);
	entry = xcalloc(1, sizeof(*entry));
	entry->fingerprint = fingerprint;
	map_insert(&poison->entries, &entry->node, fingerprint);
	return entry;
}

static bool entry_has(const struct poison_entry *entry, uint64_t server)
{
	int i;

	for (i = 0; i < entry->n; i++)
		if (entry->crashes[i].server == server)
			return true;
	return false;
}

/* Reports of crashes may arrive in another order than the crashes. */
static void entry_insert(struct poison_entry *entry,
			 const struct poison_crash *crash)
{
	int i = entry->n++;

	for (; i > 0 && entry->crashes[i - 1].at_us > crash->at_us; i--)
		entry->crashes[i] = entry->crashes[i - 1];
	entry->crashes[i] = *crash;
}

static bool entry_same_point(const struct poison_entry *entry)
{
	return (double)entry->crashes[1].ran_us >=
	       (double)entry->crashes[0].ran_us * POISON_SAME_POINT;
}

static void entry_decide(struct poison_entry *entry)
{
	int64_t at_us = entry->crashes[entry->n - 1].at_us;

	entry->expires_us = at_us + (entry->n < 2 ? POISON_SUSPECT_US
						  : POISON_QUARANTINE_US);
	if (entry->n == POISON_CRASHES)
		entry->held_until_us = entry->expires_us;
	else if (entry->n == 2)
		entry->held_until_us =
			at_us + (entry_same_point(entry) ? POISON_QUARANTINE_US
							 : POISON_HOLD_US);
}

static enum poison_verdict entry_verdict(const struct poison_entry *entry,
					 int64_t now_us)
{
	return now_us < entry->held_until_us ? POISON_HELD : POISON_SUSPECT;
}

enum poison_verdict poison_crashed(struct poison *poison, uint64_t fingerprint,
				   const struct poison_crash *crash,
				   int64_t now_us)
{
	struct poison_entry *entry;

	if (!fingerprint)
		return POISON_CLEAR;
	entry = poison_find(poison, fingerprint, now_us);
	if (!entry)
		entry = poison_add(poison, fingerprint);
	if (entry->n < POISON_CRASHES && !entry_has(entry, crash->server)) {
		entry_insert(entry, crash);
		entry_decide(entry);
	}
	return entry_verdict(entry, now_us);
}

enum poison_verdict poison_check(struct poison *poison, uint64_t fingerprint,
				 int64_t now_us)
{
	const struct poison_entry *entry;

	if (!fingerprint)
		return POISON_CLEAR;
	entry = poison_find(poison, fingerprint, now_us);
	return entry ? entry_verdict(entry, now_us) : POISON_CLEAR;
}

static struct poison_success *success_slot(struct poison *poison,
					   uint64_t fingerprint)
{
	return &poison->successes[map_hash(&fingerprint, sizeof(fingerprint)) %
				  POISON_SUCCESSES];
}

bool poison_excused(struct poison *poison, uint64_t fingerprint,
		    uint64_t server, int64_t now_us)
{
	struct poison_success *slot = success_slot(poison, fingerprint);

	if (!fingerprint || slot->fingerprint != fingerprint ||
	    now_us - slot->at_us >= POISON_SUSPECT_US)
		return false;
	if (!slot->excused)
		slot->excused = server;
	return slot->excused == server;
}

void poison_succeeded(struct poison *poison, uint64_t fingerprint,
		      int64_t now_us)
{
	struct map_node *node;

	if (!fingerprint)
		return;
	*success_slot(poison, fingerprint) =
		(struct poison_success){ fingerprint, now_us, 0 };
	node = map_find(&poison->entries, fingerprint, poison_match,
			&fingerprint);
	if (node)
		poison_drop(poison,
			    container_of(node, struct poison_entry, node));
}
