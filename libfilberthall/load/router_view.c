#include "load/router_state.h"

static void view_add_class(struct router_pool_view *view,
			   const struct pool *pool,
			   const struct router_class *class)
{
	double demand = (double)(pool->running_by_class[class->id] +
				 pool->waiting_by_class[class->id]);
	int tier = class->rule.tier;

	/* Scheduler tiers below the last tier of the rules count as that tier. */
	view->by_tier[tier < RULE_TIERS ? tier : RULE_TIERS - 1] += demand;
	if (class->rule.reclaimable)
		view->reclaimable += demand;
}

void router_visit_pools(const struct router *router,
			void (*visit)(void *data,
				      const struct router_pool_view *view),
			void *data)
{
	struct pool *pool;
	struct pool *next;
	int id;

	map_foreach(pool, next, &router->pools, node) {
		struct router_pool_view view = {
			.name = pool->model ? pool->model : pool->service,
			.is_service = !pool->model,
		};

		for (id = 0; id < SCHED_CLASSES; id++)
			if (router->by_id[id])
				view_add_class(&view, pool, router->by_id[id]);
		visit(data, &view);
	}
}
