#ifndef TESTS_AGREE_RAFT_BED_H
#define TESTS_AGREE_RAFT_BED_H

#include "agree/raft_internal.h"
#include "core/event.h"

#define SECOND 1000000

/**
 * A test bed with one member of a group; the other members are represented by
 * messages.
 */

/**
 * Member 1 of three, restored with a membership entry and one command of term
 * 2.
 */
struct raft *bed_restored(enum raft_mutant mutant, bool disk);

/**
 * Member 1, elected in term 3 at 3 s with the vote of member 2; all writes are
 * synced.
 */
struct raft *bed_elected(enum raft_mutant mutant, struct effects *effects);

void bed_deliver(struct raft *raft, uint64_t from, struct raft_message message,
		 int64_t now_us, struct effects *effects);

/**
 * Take all effects; `out` gets the first message that was sent, and the result
 * is whether it has that kind.
 */
bool bed_take_sent(struct effects *effects, int64_t kind,
		   struct raft_message *out);

#endif
