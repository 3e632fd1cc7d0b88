#include "fakes/cache.h"

#include <stdlib.h>

#include "base/alloc.h"

struct cache_entry {
	struct map_node node;
	struct list use;
	uint64_t prefix_hash;
	int64_t tokens;
};

void cache_init(struct cache *cache, cache_change_fn change, void *data)
{
	map_init(&cache->entries);
	list_init(&cache->by_use);
	cache->tokens = 0;
	cache->change = change;
	cache->data = data;
}

static void cache_drop(struct cache *cache, struct cache_entry *entry)
{
	cache->tokens -= entry->tokens;
	map_remove(&cache->entries, &entry->node);
	list_remove(&entry->use);
	free(entry);
}

void cache_clear(struct cache *cache)
{
	struct cache_entry *entry;

	while ((entry = list_first(&cache->by_use, struct cache_entry, use)))
		cache_drop(cache, entry);
	map_clear(&cache->entries);
}

static bool cache_match(const struct map_node *node, const void *key)
{
	const struct cache_entry *entry =
		container_of(node, struct cache_entry, node);

	return entry->prefix_hash == *(const uint64_t *)key;
}

static struct cache_entry *cache_find(struct cache *cache, uint64_t prefix_hash)
{
	struct map_node *node = map_find(&cache->entries, prefix_hash,
					 cache_match, &prefix_hash);

	return node ? container_of(node, struct cache_entry, node) : NULL;
}

int64_t cache_use(struct cache *cache, uint64_t prefix_hash)
{
	struct cache_entry *entry = cache_find(cache, prefix_hash);

	if (!entry)
		return 0;
	list_remove(&entry->use);
	list_append(&cache->by_use, &entry->use);
	return entry->tokens;
}

void cache_hold(struct cache *cache, uint64_t prefix_hash, int64_t tokens)
{
	struct cache_entry *entry;

	if (cache_use(cache, prefix_hash))
		return;
	entry = xcalloc(1, sizeof(*entry));
	entry->prefix_hash = prefix_hash;
	entry->tokens = tokens;
	list_init(&entry->use);
	list_append(&cache->by_use, &entry->use);
	map_insert(&cache->entries, &entry->node, prefix_hash);
	cache->tokens += tokens;
	cache->change(cache->data, prefix_hash, true);
}

void cache_shrink(struct cache *cache, int64_t limit)
{
	struct cache_entry *entry;

	while (cache->tokens > limit &&
	       (entry = list_first(&cache->by_use, struct cache_entry, use))) {
		uint64_t prefix_hash = entry->prefix_hash;

		cache_drop(cache, entry);
		cache->change(cache->data, prefix_hash, false);
	}
}
