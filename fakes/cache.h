#ifndef FAKES_CACHE_H
#define FAKES_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"

/**
 * Prefix cache of a fake engine: which prompt prefixes are held, within a
 * limit in tokens; the least lately used one goes first.
 */

/** Told of each prefix that comes or goes. */
typedef void (*cache_change_fn)(void *data, uint64_t prefix_hash, bool held);

struct cache {
	struct map entries;
	struct list by_use; /**< least lately used first */
	int64_t tokens;	    /**< of all entries */
	cache_change_fn change;
	void *data;
};

void cache_init(struct cache *cache, cache_change_fn change, void *data);

/** Free the entries without telling of it. */
void cache_clear(struct cache *cache);

/** Tokens held of that prefix, 0 if none; counts as a use. */
int64_t cache_use(struct cache *cache, uint64_t prefix_hash);

/** Hold a prefix of so many tokens. */
void cache_hold(struct cache *cache, uint64_t prefix_hash, int64_t tokens);

/** Drop prefixes until at most `limit` tokens are held. */
void cache_shrink(struct cache *cache, int64_t limit);

#endif
