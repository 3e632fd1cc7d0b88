#include "servers.h"

void servers_announce(struct fleet *fleet, const char *address,
		      const char *zone, bool cheap, int64_t running,
		      int64_t now_us)
{
	struct event_announce announce = {
		.address = (char *)address,
		.boot_id = "b1",
		.sequence = now_us,
		.zone = (char *)zone,
		.model = "m",
		.role = "serve",
		.cheap = cheap,
		.lease_ms = 1000000000,
		.slots = 10,
		.running = running,
	};

	fleet_announce(fleet, &announce, now_us);
}
