#include <stdlib.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/json.h"
#include "fakes/platform.h"

#define US_PER_MS 1000

/** A zone whose cheap backend servers end at a set time. */
struct platform_reclaim {
	struct list node;
	struct loop_timer timer;
	struct platform *platform;
	char *zone;
};

static void platform_reclaim_free(struct platform_reclaim *reclaim)
{
	loop_timer_cancel(&reclaim->timer);
	list_remove(&reclaim->node);
	free(reclaim->zone);
	free(reclaim);
}

static void platform_reclaim_due(void *data)
{
	struct platform_reclaim *reclaim = data;
	struct platform *platform = reclaim->platform;
	int64_t n = children_kill_cheap(&platform->children, reclaim->zone);

	platform_log(platform, "reclaimed",
		     json_pack("{s:s, s:I}", "zone", reclaim->zone, "ended",
			       (json_int_t)n),
		     0);
	platform_reclaim_free(reclaim);
}

static void platform_reclaim_plan(struct platform *platform, const char *zone,
				  int64_t in_ms)
{
	struct platform_reclaim *reclaim = xcalloc(1, sizeof(*reclaim));

	reclaim->platform = platform;
	reclaim->zone = xstrdup(zone);
	list_append(&platform->reclaims, &reclaim->node);
	loop_timer_init(&reclaim->timer, platform_reclaim_due, reclaim);
	loop_timer_set(&platform->loop, &reclaim->timer,
		       loop_now_us() + in_ms * US_PER_MS);
}

void platform_reclaim(struct platform *platform, struct exchange *exchange)
{
	json_t *arguments = json_body(exchange);
	const char *zone = json_text(arguments, "zone");
	int64_t in_ms = json_int(arguments, "in_ms");
	cleanup(free_ptr) char *notice = NULL;
	json_t *json;
	size_t i;

	platform_log(platform, "reclaim", arguments, zone ? 200 : 400);
	if (!zone) {
		exchange_answer_json(exchange, 400, "{\"error\": \"zone\"}\n");
		return;
	}
	json = json_pack("{s:s, s:s, s:I}", "zone", zone, "kind", "reclaim",
			 "in_ms", (json_int_t)in_ms);
	notice = json_dumps(json, 0);
	json_decref(json);
	for (i = 0; i < platform->daemons.n; i++)
		post_send(&platform->posts, platform->daemons.list[i],
			  "/platform/notice", notice, NULL, NULL);
	platform_reclaim_plan(platform, zone, in_ms);
	exchange_answer_json(exchange, 200, "{\"state\": \"planned\"}\n");
}

void platform_zones_clear(struct platform *platform)
{
	struct platform_reclaim *reclaim;
	struct platform_offer *offer;

	while ((reclaim = list_first(&platform->reclaims,
				     struct platform_reclaim, node)))
		platform_reclaim_free(reclaim);
	while ((offer = list_first(&platform->offers, struct platform_offer,
				   node))) {
		list_remove(&offer->node);
		free(offer->zone);
		free(offer);
	}
}
