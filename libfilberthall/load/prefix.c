#include "load/prefix.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static bool prefix_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct prefix_entry, node)->prefix_hash ==
	       *(const uint64_t *)key;
}

void prefix_init(struct prefix *prefix)
{
	map_init(&prefix->entries);
}

static void prefix_drop(struct prefix *prefix, struct prefix_entry *entry)
{
	map_remove(&prefix->entries, &entry->node);
	free(entry);
}

void prefix_clear(struct prefix *prefix)
{
	struct prefix_entry *entry;
	struct prefix_entry *next;

	map_foreach(entry, next, &prefix->entries, node)
		free(entry);
	map_clear(&prefix->entries);
}

const struct prefix_entry *prefix_find(const struct prefix *prefix,
				       uint64_t prefix_hash)
{
	struct map_node *node = map_find(&prefix->entries, prefix_hash,
					 prefix_match, &prefix_hash);

	return node ? container_of(node, struct prefix_entry, node) : NULL;
}

bool prefix_holds(const struct prefix_entry *entry, uint64_t address_hash)
{
	int i;

	if (!entry)
		return false;
	for (i = 0; i < PREFIX_HOLDERS; i++)
		if (entry->holders[i] == address_hash)
			return true;
	return false;
}

static struct prefix_entry *prefix_add(struct prefix *prefix,
				       uint64_t prefix_hash)
{
	struct prefix_entry *entry;

	if (prefix->entries.count >= PREFIX_ENTRIES) {
		entry = container_of(prefix->entries.order.next,
				     struct prefix_entry, node.order);
		prefix_drop(prefix, entry);
	}
	entry = xcalloc(1, sizeof(*entry));
	entry->prefix_hash = prefix_hash;
	map_insert(&prefix->entries, &entry->node, prefix_hash);
	return entry;
}

void prefix_record(struct prefix *prefix, uint64_t prefix_hash,
		   const char *address, bool held)
{
	uint64_t holder = map_hash_text(address);
	struct prefix_entry *entry;
	int i;

	if (!prefix_hash)
		return;
	entry = (struct prefix_entry *)prefix_find(prefix, prefix_hash);
	if (!held && !prefix_holds(entry, holder))
		return;
	if (!entry)
		entry = prefix_add(prefix, prefix_hash);
	list_remove(&entry->node.order);
	list_append(&prefix->entries.order, &entry->node.order);
	for (i = 0; i < PREFIX_HOLDERS - 1; i++)
		if (entry->holders[i] == holder)
			break;
	/* Move the newest holder to the front; the last one is dropped. */
	memmove(&entry->holders[1], &entry->holders[0],
		(size_t)i * sizeof(entry->holders[0]));
	entry->holders[0] = holder;
	if (held)
		return;
	memmove(&entry->holders[0], &entry->holders[1],
		(PREFIX_HOLDERS - 1) * sizeof(entry->holders[0]));
	entry->holders[PREFIX_HOLDERS - 1] = 0;
}
