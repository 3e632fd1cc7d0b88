#ifndef TESTS_FLEET_SERVERS_H
#define TESTS_FLEET_SERVERS_H

#include "fleet/backend.h"

#define SECOND_US INT64_C(1000000)

/** Registers a server that reports this number of running requests. */
void servers_announce(struct fleet *fleet, const char *address,
		      const char *zone, bool cheap, int64_t running,
		      int64_t now_us);

#endif
