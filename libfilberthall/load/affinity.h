#ifndef FILBERTHALL_LOAD_AFFINITY_H
#define FILBERTHALL_LOAD_AFFINITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/map.h"

/**
 * Where streams were begun: the service, and the software version of the server
 * that wrote a stream's first event.
 *
 * Failure handled: servers of several versions serve side by side, and a stream
 * that its caller resumes, on this VM or another one, goes on at a server of
 * another version. The caller joins what doesn't fit together.
 *
 * A record is written once, with the first event, so copies on several VMs
 * differ only in that some VM has none. A name that was used for streams of two
 * versions is recorded as unclear, in whichever order the VMs hear of them. A
 * stream whose server may have started again unheard is pending until that is
 * known.
 *
 * Callers choose the names. A key is made of the organisation and the name, and
 * of a full table the oldest record of the organisation with the most goes.
 */

#define AFFINITY_KEY_BYTES 16

/** After the deadline of the request that began a stream, or took it up. */
#define AFFINITY_KEEP_US INT64_C(30000000)

struct affinity_key {
	unsigned char bytes[AFFINITY_KEY_BYTES];
};

struct affinity {
	struct affinity_key key;
	uint64_t owner;	    /**< hash of the organisation */
	uint64_t service;   /**< hash of its name */
	uint64_t version;   /**< by hash; AFFINITY_UNCLEAR or _PENDING */
	int64_t expires_us; /**< by this VM's monotonic clock */
};

#define AFFINITY_UNCLEAR UINT64_C(0)

/** No server has it, so earlier releases refuse such a stream. */
#define AFFINITY_PENDING UINT64_MAX

struct affinities {
	struct map records; /**< by key */
	struct map owners;
	size_t most;
};

/** `most`: records that are kept. */
void affinities_init(struct affinities *affinities, size_t most);
void affinities_clear(struct affinities *affinities);

/** The key of the stream that this request of the organisation began. */
struct affinity_key affinity_key(const char *organisation, const char *request);

/**
 * Record where a stream was begun, or that it is kept for longer.
 *
 * @return whether other VMs need to hear of it
 */
bool affinities_note(struct affinities *affinities,
		     const struct affinity *affinity, int64_t now_us);

/** The record with that key, or NULL. */
const struct affinity *affinities_find(const struct affinities *affinities,
				       const struct affinity_key *key,
				       int64_t now_us);

/** Free records that have expired. */
void affinities_expire(struct affinities *affinities, int64_t now_us);

/** Call `visit` for each record, the oldest first. */
void affinities_visit(const struct affinities *affinities, int64_t now_us,
		      void (*visit)(void *data,
				    const struct affinity *affinity),
		      void *data);

#endif
