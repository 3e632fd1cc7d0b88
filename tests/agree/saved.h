#ifndef TESTS_AGREE_SAVED_H
#define TESTS_AGREE_SAVED_H

#include "agree/raft.h"

/** A model of a disk: what the effect of a log, once synced, leaves there. */
void saved_apply(struct raft_persistent_state *saved,
		 const struct effect *effect);

#endif
