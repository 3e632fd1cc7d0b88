#ifndef FILBERTHALL_LOAD_PREFIX_H
#define FILBERTHALL_LOAD_PREFIX_H

#include <stdbool.h>
#include <stdint.h>

#include "base/map.h"

/**
 * Hints of which backend servers hold which prompt prefix in their cache.
 *
 * Load pattern: a few long prompt openings shared by most requests (a
 * lookbook, a template). Sent where the prefix lies, a request skips most of
 * its prefill; spread blindly, each server computes every prefix anew and
 * pushes others out of its limited memory.
 *
 * Cache events come late and with gaps, so an entry is a hint and never a
 * promise. Own dispatches count too: a server will hold what it has just
 * been sent. The least recently used of 16,384 prefixes goes first: 1,000
 * engines hold some tens each.
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

/** Note that a server holds a prefix, or no longer does. */
void prefix_note(struct prefix *prefix, uint64_t prefix_hash,
		 const char *address, bool held);

/** The servers that may hold it, by the hash of their address, or NULL. */
const struct prefix_entry *prefix_find(const struct prefix *prefix,
				       uint64_t prefix_hash);

/** Whether the entry (or NULL) names that server. */
bool prefix_holds(const struct prefix_entry *entry, uint64_t address_hash);

#endif
