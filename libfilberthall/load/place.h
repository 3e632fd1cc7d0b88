#ifndef FILBERTHALL_LOAD_PLACE_H
#define FILBERTHALL_LOAD_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"
#include "load/prefix.h"
#include "load/server_limit.h"

/**
 * Placement of a model's requests when many VMs choose independently.
 *
 * Load pattern: each request repeats 6,000 to 13,000 prompt tokens that about a
 * hundred others share, and adds 1,000 to 4,000 of its own. An engine that has
 * the shared prefix in its cache only prefills the rest. If each VM only
 * remembers where it sent a prefix itself, seven VMs prefill it on seven
 * engines: each prefix is cached several times, and captions on an engine with
 * such a prefill get no tokens meanwhile.
 *
 * - Each shared prefix has a home on which all VMs agree without communication:
 *   the engine with the highest hash of prefix and address (rendezvous
 *   hashing). An engine that leaves moves only its own prefixes, and a new one
 *   takes over only those that become its own.
 * - Another engine is taken only if the home is so far behind that computing
 *   the prefix again is faster, even when counted PLACE_RECOMPUTE_FACTOR times:
 *   a prefill also delays the other requests on that engine.
 * - Among equally good servers each request draws one, by its prefix if it has
 *   one, so that requests that overflow from a busy home meet where the prefix
 *   is cached. Without the draw all VMs would choose the same one of equal
 *   servers, and retries would collide on one server while others are idle.
 * - Paced streams have engines reserved for them (load/divide.h), because long
 *   prompts delay every token generated beside them. They are sent elsewhere
 *   only when these engines are behind.
 */

/** Weight of the prefill of a shared prefix that isn't cached yet. */
#define PLACE_RECOMPUTE_FACTOR 3.0

/** Extra cost of a paced stream on a server not reserved for them, s. */
#define PLACE_PACED_SPILL_S 0.05

/** Extra cost of other requests on a server for paced streams, s. */
#define PLACE_UNPACED_SPILL_S 4.0

/** Cost of the latency and traffic to another availability zone, s. */
#define PLACE_REMOTE_ZONE_S 0.004

/** Servers whose costs differ by less count as equal, s. */
#define PLACE_TIE_S 0.00005

/** Cost of a full batch over an empty one, as full batches are slower, s. */
#define PLACE_FULL_BATCH_S 0.02

struct place_query {
	uint64_t prefix_hash;  /**< of the shared prefix, 0 for none */
	int64_t shared_tokens; /**< length of the shared prefix */
	int64_t prompt_tokens; /**< whole prompt */
	bool divided;	       /**< the pool's requests have prompts */
	bool paced;	       /**< is a paced stream */
	double prefill_rate;   /**< prompt tokens per second and engine */
	const char *zone;      /**< own availability zone */
	uint64_t regions;      /**< of servers that may run it; 0: all */
	uint64_t tie_seed;     /**< seed of the draw among equal servers */
	const struct prefix_entry *prefix; /**< known holders, or NULL */
	struct server_limit_vm vm;	   /**< this VM */
};

/** Rendezvous hash: the server with the highest is the prefix's home. */
uint64_t place_score(uint64_t prefix_hash, const struct backend *backend);

/** Returns the number of prompt tokens that the server must prefill. */
int64_t place_prefill_tokens(const struct place_query *query, bool holds);

/**
 * Returns the cost of sending the request to a server, in seconds.
 *
 * @param home	whether the server is the home of the prefix
 */
double place_cost(const struct place_query *query,
		  const struct backend *backend, bool home, int64_t now_us);

/**
 * Returns the member to send the request to, or NULL if none fits.
 *
 * @param fits	whether a member may take the request
 */
struct backend *place_choose(const struct place_query *query,
			     struct backend *const *members, int n,
			     bool (*fits)(const void *data,
					  const struct backend *backend),
			     const void *data, int64_t now_us);

#endif
