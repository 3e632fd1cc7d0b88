#ifndef FILBERTHALL_LOAD_PREFIX_H
#define FILBERTHALL_LOAD_PREFIX_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"

/**
 * Hints about which backend servers have which prompt prefix in their cache.
 *
 * Load pattern: most requests share a few long prompt prefixes (a lookbook, a
 * template). A request that is sent to a server with its prefix skips most of
 * the prefill. If requests are spread regardless, each server computes every
 * prefix again and evicts others from its limited memory.
 *
 * Cache events arrive late and some are lost, so an entry is only a hint. This
 * VM's own dispatches also count, since a server will cache what it has just
 * been sent. The least recently used of 16,384 prefixes is evicted first; 1,000
 * engines hold a few tens each.
 */
#define PREFIX_HOLDERS 4
#define PREFIX_ENTRIES 16384

struct prefix_entry {
	struct map_node node;
	uint64_t prefix_hash;
	uint64_t holders[PREFIX_HOLDERS]; /**< hashes of addresses, 0 none */
};

struct prefix {
	struct map entries;
};

void prefix_init(struct prefix *prefix);
void prefix_clear(struct prefix *prefix);

/** Records that a server holds a prefix, or no longer does. */
void prefix_record(struct prefix *prefix, uint64_t prefix_hash,
		   const char *address, bool held);

/** Returns the hints for a prefix, or NULL if there are none. */
const struct prefix_entry *prefix_find(const struct prefix *prefix,
				       uint64_t prefix_hash);

/** Whether the entry lists that server; false if `entry` is NULL. */
bool prefix_holds(const struct prefix_entry *entry, uint64_t address_hash);

#endif
