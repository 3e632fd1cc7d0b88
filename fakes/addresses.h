#ifndef FAKES_ADDRESSES_H
#define FAKES_ADDRESSES_H

#include <stdbool.h>
#include <stddef.h>

#include "fakes/exchange.h"

/** Addresses of daemons; owned. `list` has a NULL at its end, or is NULL. */
struct addresses {
	char **list;
	size_t n;
};

/** Replace by a copy of `from`, which ends with NULL. */
void addresses_set(struct addresses *addresses, char *const *from);

void addresses_clear(struct addresses *addresses);

/**
 * Answer POST /daemons {"daemons": ["IP:PORT", ...]}, which replaces them;
 * false if the exchange is for another path.
 */
bool addresses_handle(struct addresses *addresses, struct exchange *exchange);

#endif
