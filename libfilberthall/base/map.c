#include "base/map.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/alloc.h"

#define MAP_FIRST_BUCKETS 16

void map_init(struct map *map)
{
	memset(map, 0, sizeof(*map));
	list_init(&map->order);
}

void map_clear(struct map *map)
{
	free(map->buckets);
	map_init(map);
}

uint64_t map_hash(const void *data, size_t len)
{
	return XXH3_64bits(data, len);
}

uint64_t map_hash_text(const char *text)
{
	return map_hash(text, strlen(text));
}

static struct map_node **map_bucket(const struct map *map, uint64_t hash)
{
	return &map->buckets[hash & (map->n_buckets - 1)];
}

struct map_node *map_find(const struct map *map, uint64_t hash,
			  map_match_fn match, const void *key)
{
	struct map_node *node;

	if (!map->n_buckets)
		return NULL;
	for (node = *map_bucket(map, hash); node; node = node->chain)
		if (node->hash == hash && match(node, key))
			return node;
	return NULL;
}

static void map_link(struct map *map, struct map_node *node)
{
	struct map_node **bucket = map_bucket(map, node->hash);

	node->chain = *bucket;
	*bucket = node;
}

static void map_grow(struct map *map)
{
	struct list *item;

	free(map->buckets);
	map->n_buckets =
		map->n_buckets ? 2 * map->n_buckets : MAP_FIRST_BUCKETS;
	map->buckets = xcalloc(map->n_buckets, sizeof(*map->buckets));
	for (item = map->order.next; item != &map->order; item = item->next)
		map_link(map, container_of(item, struct map_node, order));
}

void map_insert(struct map *map, struct map_node *node, uint64_t hash)
{
	if (map->count >= map->n_buckets)
		map_grow(map);
	node->hash = hash;
	map_link(map, node);
	list_append(&map->order, &node->order);
	map->count++;
}

void map_remove(struct map *map, struct map_node *node)
{
	struct map_node **at = map_bucket(map, node->hash);

	while (*at != node)
		at = &(*at)->chain;
	*at = node->chain;
	list_remove(&node->order);
	map->count--;
}
