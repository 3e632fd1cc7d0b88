#ifndef TESTS_AGREE_RAFT_BED_H
#define TESTS_AGREE_RAFT_BED_H

#include "agree/raft_internal.h"
#include "core/event.h"

#define SECOND 1000000

/** One member of a group, driven by hand: the others are messages. */

/** Member 1 of three, with a configuration and one command of term 2. */
struct raft *bed_restored(enum raft_mutant mutant, bool disk);

/** Member 1 elected by 2 in term 3 at 3 s; everything is synced. */
struct raft *bed_elected(enum raft_mutant mutant, struct effects *effects);

void bed_deliver(struct raft *raft, uint64_t from, struct raft_message message,
		 int64_t now_us, struct effects *effects);

/** Take all effects; the first sent message of that kind, if any. */
bool bed_take_sent(struct effects *effects, int64_t kind,
		   struct raft_message *out);

#endif
