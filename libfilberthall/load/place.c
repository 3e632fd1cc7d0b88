#include "load/place.h"

#include <string.h>

#include "load/backoff.h"
#include "load/warmup.h"

uint64_t place_score(uint64_t prefix_hash, const struct backend *backend)
{
	uint64_t key[2] = { prefix_hash, backend->node.hash };

	return map_hash(key, sizeof(key));
}

int64_t place_prefill_tokens(const struct place_query *query, bool holds)
{
	int64_t own = query->prompt_tokens - query->shared_tokens;

	return holds && own > 0 ? own : query->prompt_tokens;
}

double place_cost(const struct place_query *query,
		  const struct backend *backend, bool home, int64_t now_us)
{
	bool holds = home || prefix_holds(query->prefix, backend->node.hash);
	double cost =
		backend_queued_prompt(backend, now_us) / query->prefill_rate;
	double slots = (double)(backend->slots > 0 ? backend->slots : 1);

	cost += (double)(query->prompt_tokens - query->shared_tokens) /
		query->prefill_rate;
	if (!holds)
		cost += PLACE_RECOMPUTE_FACTOR * (double)query->shared_tokens /
			query->prefill_rate;
	/* Pools without prompts, such as plain services, aren't divided. */
	if (query->divided && query->paced != backend->for_paced)
		cost += query->paced ? PLACE_PACED_SPILL_S
				     : PLACE_UNPACED_SPILL_S;
	if (query->zone && strcmp(query->zone, backend->zone) != 0)
		cost += PLACE_REMOTE_ZONE_S;
	/* This term also spreads requests over otherwise equal servers. */
	return cost + PLACE_FULL_BATCH_S * backend_load(backend) / slots;
}

/* Pseudorandom from 0 to 1, a function of the draw and the server. */
static double place_tie_break(uint64_t draw, const struct backend *backend)
{
	return (double)place_score(draw, backend) / (double)UINT64_MAX;
}

struct backend *place_choose(const struct place_query *query,
			     struct backend *const *members, int n,
			     bool (*fits)(const void *data,
					  const struct backend *backend),
			     const void *data, int64_t now_us)
{
	struct backend *home = NULL;
	struct backend *best = NULL;
	uint64_t home_score = 0;
	double best_cost = 0;
	int i;

	for (i = 0; query->prefix_hash && i < n; i++) {
		uint64_t score = place_score(query->prefix_hash, members[i]);

		if (members[i]->for_paced != query->paced ||
		    !backend_usable(members[i], now_us) ||
		    warmup_is_cold(members[i], now_us) ||
		    !server_limit_allows(members[i], &query->vm, now_us) ||
		    backoff_holds(members[i], now_us) ||
		    !backend_in_regions(members[i], query->regions) ||
		    (home && score <= home_score))
			continue;
		home = members[i];
		home_score = score;
	}
	for (i = 0; i < n; i++) {
		double cost;

		if (!fits(data, members[i]))
			continue;
		cost = place_cost(query, members[i], home && members[i] == home,
				  now_us);
		cost += PLACE_TIE_S *
			place_tie_break(query->tie_seed, members[i]);
		if (best && cost >= best_cost)
			continue;
		best = members[i];
		best_cost = cost;
	}
	return best;
}
