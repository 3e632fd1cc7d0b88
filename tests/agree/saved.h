#ifndef TESTS_AGREE_SAVED_H
#define TESTS_AGREE_SAVED_H

#include "agree/raft.h"

/** A model of a disk: apply a log effect to the stored state. */
void saved_apply(struct raft_persistent_state *saved,
		 const struct effect *effect);

#endif
