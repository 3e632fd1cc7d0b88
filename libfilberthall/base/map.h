#ifndef FILBERTHALL_BASE_MAP_H
#define FILBERTHALL_BASE_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"

/**
 * Intrusive hash map. The member sits inside the caller's struct and holds
 * its hash; the caller compares keys. All members are also on one list in
 * order of insertion, so that visiting them is deterministic.
 */
struct map_node {
	struct map_node *chain;
	struct list order;
	uint64_t hash;
};

struct map {
	struct map_node **buckets;
	size_t n_buckets;
	size_t count;
	struct list order;
};

/** Whether the struct around `node` has the key `key`. */
typedef bool (*map_match_fn)(const struct map_node *node, const void *key);

/** Visit all structs in order of insertion; the present one may go. */
#define map_foreach(pos, tmp, map, member) \
	list_foreach_safe(pos, tmp, &(map)->order, member.order)

void map_init(struct map *map);

/** Free the buckets; the members belong to the caller. */
void map_clear(struct map *map);

/** Hash of `len` bytes, the same on all machines. */
uint64_t map_hash(const void *data, size_t len);

/** Hash of a C string. */
uint64_t map_hash_text(const char *text);

/** The node with that hash and key, or NULL. */
struct map_node *map_find(const struct map *map, uint64_t hash,
			  map_match_fn match, const void *key);

/** Add a node; its key must not be in the map yet. */
void map_insert(struct map *map, struct map_node *node, uint64_t hash);

/** Take a node out; it must be in the map. */
void map_remove(struct map *map, struct map_node *node);

#endif
