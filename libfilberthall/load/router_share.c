#include <stdlib.h>

#include "base/alloc.h"
#include "load/router_state.h"

/** Who hands out shares, and which daemons live. */
struct router_peers {
	uint64_t allocator;
	int n;
};

void router_share_init(struct router *router)
{
	router->peers = xcalloc(1, sizeof(*router->peers));
	router->peers->n = 1;
}

void router_share_free(struct router *router)
{
	free(router->peers);
}

bool router_shares(const struct router *router)
{
	return router->options.features.shares && router->peers->n > 1;
}

void router_peers(struct router *router, uint64_t allocator,
		  const uint64_t *members, int n, int64_t now_us)
{
	router->peers->allocator = allocator;
	router->peers->n = n;
}

void router_share_tick(struct router *router, int64_t now_us,
		       struct effects *effects)
{
}

void router_share_crash(struct router *router, uint64_t fingerprint,
			uint64_t server, int64_t ran_us,
			struct effects *effects)
{
}

enum result router_message(struct router *router, uint64_t peer,
			   const struct bytes *body, int64_t now_us,
			   struct effects *effects)
{
	return RESULT_OK;
}
