#ifndef FILBERTHALL_LOAD_PLACE_H
#define FILBERTHALL_LOAD_PLACE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"
#include "load/prefix.h"

/**
 * Where a model's request is best sent, when many VMs choose on their own.
 *
 * Load pattern: each request repeats 6,000 to 13,000 prompt tokens that some
 * hundred others share and brings 1,000 to 4,000 of its own. An engine that
 * has read the shared part before reads only the rest. If each VM remembers
 * for itself where it sent a part, seven VMs read it on seven engines: their
 * memory holds each part several times, and captions beside such a reading
 * stand still.
 *
 * - Each shared part has a home that all VMs agree on without a word: the
 *   engine with the highest hash of part and address (rendezvous hashing). An
 *   engine that goes moves only its own parts, and one that comes takes only
 *   what becomes its own.
 * - Another engine is taken only if the home is so far behind that reading the
 *   part anew is quicker by PLACE_RECOMPUTE_FACTOR times: it also costs those
 *   who are served there.
 * - Where several are as good, each request draws one, by its part if it has
 *   one: what spills over from a busy home then meets where the part was read.
 *   Without that all VMs take the same one of equals, and second tries meet on
 *   one server while others have nothing to do.
 * - Paced streams have a part of the engines to themselves (load/divide.h), for
 *   long prompts delay every token that is generated beside them; only when
 *   these are behind do they go elsewhere.
 */

/** How many times over the reading of a shared part counts where it's new. */
#define PLACE_RECOMPUTE_FACTOR 3.0

/** What a paced stream bears before it goes among the others, s. */
#define PLACE_PACED_SPILL_S 0.05

/** What the others bear before they go among paced streams, s. */
#define PLACE_UNPACED_SPILL_S 4.0

/** What another zone's way and bytes count for, s. */
#define PLACE_REMOTE_ZONE_S 0.004

/** Servers that differ by less are as good, s. */
#define PLACE_TIE_S 0.00005

/** What a full batch counts for against an empty one, s: it is slower. */
#define PLACE_FULL_BATCH_S 0.02

struct place_query {
	uint64_t prefix_hash;  /**< of the shared parts, 0 for none */
	int64_t shared_tokens; /**< of the prompt */
	int64_t prompt_tokens; /**< in all */
	bool divided;	       /**< the pool's requests have prompts */
	bool paced;	       /**< belongs on the engines for paced streams */
	double prefill_rate;   /**< prompt tokens an engine reads a second */
	const char *zone;      /**< own availability zone */
	uint64_t tie_seed;     /**< chooses among servers that are as good */
	const struct prefix_entry *prefix; /**< where we sent it, or NULL */
};

/** Rank of a home: the highest is the home of that part. */
uint64_t place_score(uint64_t prefix_hash, const struct backend *backend);

/** Prompt tokens that the server would have to read. */
int64_t place_prefill_tokens(const struct place_query *query, bool holds);

/**
 * What sending the request there costs, in seconds.
 *
 * @param home	the server is the part's home
 */
double place_cost(const struct place_query *query,
		  const struct backend *backend, bool home, int64_t now_us);

/**
 * The member that should take the request, or NULL.
 *
 * @param fits	whether a member may take it at all
 */
struct backend *place_choose(const struct place_query *query,
			     struct backend *const *members, int n,
			     bool (*fits)(const void *data,
					  const struct backend *backend),
			     const void *data, int64_t now_us);

#endif
