#ifndef FILBERTHALL_DAEMON_MEMORY_H
#define FILBERTHALL_DAEMON_MEMORY_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"

/**
 * One budget for all bytes that a process holds for its peers: callers,
 * operators, backend servers and other VMs.
 *
 * Failure answered: the bytes of each connection were bounded, those of all
 * connections together weren't, and many of legal size ended the process.
 *
 * Whoever holds such bytes keeps a claim. Claims may be changed from any
 * thread, each by one thread at a time.
 */

enum memory_use {
	MEMORY_SOCKETS,	  /**< read and not taken, or not yet written */
	MEMORY_REQUESTS,  /**< until they are answered */
	MEMORY_ANSWERS,	  /**< of backend servers, until they are passed on */
	MEMORY_DOCUMENTS, /**< of operators, until they are answered */
	MEMORY_LINKS,	  /**< messages of other VMs; they have a reserve */
	MEMORY_USES
};

/** Larger claims leave the last part of the budget to smaller ones. */
#define MEMORY_SMALL_BYTES ((size_t)64 * 1024)

struct memory {
	int64_t limit;	/**< bytes that the process may use */
	int64_t budget; /**< of these, for its peers; 0 for no bound */
	atomic_int_fast64_t held;
	atomic_int_fast64_t most; /**< held at once */
	atomic_int_fast64_t held_for[MEMORY_USES];
	atomic_int_fast64_t refused[MEMORY_USES];
	atomic_int n_large;
	atomic_bool wanted; /**< a claim was refused */
};

/** Of one holder. Zeroed it is empty, and without a budget not bounded. */
struct memory_claim {
	struct memory *memory;
	enum memory_use use;
	size_t bytes;
};

/** @param mebibytes	that the process may use; 0 for all of the machine */
void memory_init(struct memory *memory, int64_t mebibytes);

/** An empty claim. @param memory	NULL for no bound */
struct memory_claim memory_claim(struct memory *memory, enum memory_use use);

/**
 * Make the claim that large. Less is always granted.
 *
 * Returns false, with the claim as it was, if the budget has no room. A large
 * claim is granted while there is no other: one request of any legal size is
 * served in calm.
 */
bool memory_ask(struct memory_claim *claim, size_t bytes);

/** The same for bytes that are held already. */
void memory_hold(struct memory_claim *claim, size_t bytes);

void memory_release(struct memory_claim *claim);

/** Whether nothing at all would be granted. */
bool memory_is_full(const struct memory *memory);

/**
 * Whether a claim was refused since this was last called, and little has been
 * given back: holders that make no progress are to be closed.
 */
bool memory_is_wanted(struct memory *memory);

/** Whether enough has been given back. */
bool memory_has_room(const struct memory *memory);

/**
 * Connections of a listener at most, out of the `wanted` ones, while `queued`
 * more may wait to be taken, whose bytes the system receives as well.
 */
int memory_connections(const struct memory *memory, int wanted, int queued);

/** What the system may buffer of each of them, each way. */
int memory_socket_bytes(const struct memory *memory, int connections,
			int queued);

struct memory_view {
	int64_t limit;
	int64_t budget;
	int64_t held;
	int64_t most;
	int64_t held_for[MEMORY_USES];
	int64_t refused[MEMORY_USES];
};

struct memory_view memory_view(const struct memory *memory);

/** From now on `most` counts anew. */
void memory_begin_most(struct memory *memory);

void memory_write_metrics(const struct memory *memory, struct bytes *out);

#endif
