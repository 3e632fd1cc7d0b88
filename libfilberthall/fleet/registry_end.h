#ifndef FILBERTHALL_FLEET_REGISTRY_END_H
#define FILBERTHALL_FLEET_REGISTRY_END_H

#include <stdint.h>

#include "base/list.h"
#include "fleet/backend.h"

/** A server has said that it is gone, to a VM that may not know its start. */
struct registry_end {
	struct list node;
	char id[BACKEND_NAME_SIZE];
	int64_t wall_ms; /**< wall clock when it said so */
	int64_t at_us;	 /**< the same moment, own clock */
};

/** The last end of each server; of more than the most the oldest goes. */
struct registry_ends {
	struct list list; /**< struct registry_end, the oldest first */
	int n;
};

#define REGISTRY_ENDS_MOST 1024

void registry_ends_init(struct registry_ends *ends);

/** The last end of that server, or NULL. */
struct registry_end *registry_ends_find(const struct registry_ends *ends,
					const char *id);

/** Keep a copy, unless a later one is known. */
void registry_ends_keep(struct registry_ends *ends,
			const struct registry_end *end);

/** Free those from before that time, own clock. */
void registry_ends_forget(struct registry_ends *ends, int64_t before_us);

#endif
