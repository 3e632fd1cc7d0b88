#include "load/pick.h"

#include <math.h>
#include <string.h>

#include "load/backoff.h"
#include "load/warmup.h"

/* Assumed prefill rate of servers that report none, tokens per second. */
#define PICK_PREFILL_RATE 10000.0

/* Assumed time per token of one stream while none is measured. */
#define PICK_TOKEN_US 30000.0

/* Load reports older than this are ignored. */
#define PICK_REPORT_OLD_US INT64_C(10000000)

static double backend_weight(const struct backend *backend,
			     const struct pick_options *options, int64_t now_us)
{
	if (!options->stragglers)
		return 1;
	return health_weight(&backend->health, now_us);
}

static bool role_serves(const struct backend *backend)
{
	return !backend->role[0] || !strcmp(backend->role, "serve");
}

static bool version_serves(const struct backend *backend,
			   const struct pick_query *query)
{
	int i;

	if (query->version)
		return query->version == backend->version_hash &&
		       !backend->unconfirmed;
	for (i = 0; i < query->n_reserved && !backend->unconfirmed; i++)
		if (query->reserved[i].version == backend->version_hash &&
		    backend_in_regions(backend, query->reserved[i].regions))
			return false;
	return true;
}

bool pick_fits(const struct backend *backend, const struct pick_query *query,
	       const struct pick_options *options, int64_t now_us)
{
	if (!(query->leaving ? backend_lingers(backend, now_us)
			     : backend_usable(backend, now_us)) ||
	    !role_serves(backend))
		return false;
	if (backend->cheap != query->cheap ||
	    !backend_in_regions(backend, query->regions) ||
	    !version_serves(backend, query))
		return false;
	if (warmup_is_cold(backend, now_us) != query->cold ||
	    (query->cold && !warmup_allows(backend, &query->vm, now_us)))
		return false;
	if (!server_limit_allows(backend, &query->place.vm, now_us) ||
	    !backoff_allows(backend, now_us) ||
	    (query->proven && backoff_is_untried(backend)))
		return false;
	if (query->avoid && !strcmp(query->avoid, backend->address))
		return false;
	if (query->silent_us &&
	    backend_is_silent(backend, query->silent_us, now_us))
		return false;
	if (query->adapter && *query->adapter &&
	    !backend_serves(backend, backend->model, query->adapter, NULL))
		return false;
	return backend_weight(backend, options, now_us) > 0;
}

bool pick_any_full(const struct pick_options *options,
		   const struct pick_query *query,
		   struct backend *const *members, int n, int64_t now_us)
{
	int i;

	for (i = 0; i < n; i++)
		if (pick_fits(members[i], query, options, now_us) &&
		    backend_weight(members[i], options, now_us) >= 1 &&
		    backend_load(members[i]) >= (double)members[i]->slots)
			return true;
	return false;
}

int64_t pick_own_slots(const struct backend *backend, double slots,
		       const struct pick_query *query)
{
	double phase = (double)(backend->node.hash % 1024) / 1024.0;

	return (int64_t)floor(query->share_end * slots + phase) -
	       (int64_t)floor(query->share_begin * slots + phase);
}

/* Whether the server has a free slot, by its report and this VM's count. */
static bool pick_has_room(const struct backend *backend,
			  const struct pick_query *query,
			  const struct pick_options *options, int64_t now_us)
{
	double weight = backend_weight(backend, options, now_us);
	double slots = ceil((double)backend->slots * weight);
	double own = slots;

	if (query->share_end > 0)
		own = (double)pick_own_slots(backend, slots, query);
	/* Allow one probe of a server that is recovering or straggling. */
	if (weight < 1 && own < 1)
		own = 1;
	if (query->cap_long &&
	    (double)backend->own.long_running >= ceil(own * PICK_LONG_SHARE))
		return false;
	/* The VMs' shares limit their sum; without shares the report decides. */
	if (query->share_end > 0 || weight < 1)
		return (double)backend->own.running < own;
	return backend_load(backend) < slots * (1 - query->leave_free);
}

double pick_first_token_us(const struct backend *backend,
			   const struct pick_query *query,
			   const struct pick_options *options, int64_t now_us)
{
	double rate = backend->prefill_rate > 0 ? backend->prefill_rate
						: PICK_PREFILL_RATE;
	double token_us = backend->health.token_us;
	double prompt = backend_queued_prompt(backend, now_us);
	double load = backend_load(backend);
	double slots = (double)backend->slots;
	double wait = 0;

	if (token_us <= 0)
		token_us = PICK_TOKEN_US;
	if (now_us - backend->report_us > PICK_REPORT_OLD_US)
		load = (double)backend->own.running;
	if (load >= slots)
		wait = (load - slots + 1) * query->hold_us / slots;
	if (!options->prefix_affinity ||
	    !prefix_holds(query->prefix, backend->node.hash))
		prompt += (double)query->prompt_tokens;
	/* A larger batch is slower; this term also breaks ties by load. */
	return wait + prompt / rate * 1e6 + token_us * (1 + load / slots);
}

static struct backend *pick_better(struct backend *a, struct backend *b,
				   const struct pick_options *options,
				   const struct pick_query *query,
				   int64_t now_us)
{
	double x;
	double y;

	if (!a || !b)
		return a ? a : b;
	x = pick_first_token_us(a, query, options, now_us);
	y = pick_first_token_us(b, query, options, now_us);
	if (x == y && query->zone && strcmp(a->zone, b->zone))
		return strcmp(b->zone, query->zone) ? a : b;
	return y < x ? b : a;
}

static struct backend *pick_holder(const struct pick_options *options,
				   const struct pick_query *query,
				   struct backend *const *members, int n,
				   int64_t now_us)
{
	struct backend *best = NULL;
	double bound;
	int i;

	if (!options->prefix_affinity || !query->prefix)
		return NULL;
	bound = query->mean_load * PICK_AFFINITY_BOUND;
	for (i = 0; i < n; i++) {
		struct backend *member = members[i];
		double load = backend_load(member);

		if (!prefix_holds(query->prefix, member->node.hash) ||
		    load > bound * (double)member->slots + 1 ||
		    !pick_fits(member, query, options, now_us) ||
		    !pick_has_room(member, query, options, now_us))
			continue;
		best = pick_better(best, member, options, query, now_us);
	}
	return best;
}

/* Returns the first server with a free slot, from a random start. */
static struct backend *pick_random(const struct pick_options *options,
				   const struct pick_query *query,
				   struct backend *const *members, int n,
				   struct rng *rng, const struct backend *other,
				   int64_t now_us)
{
	int start = (int)rng_below(rng, (uint64_t)n);
	int i;

	for (i = 0; i < n; i++) {
		struct backend *member = members[(start + i) % n];

		if (member != other &&
		    pick_fits(member, query, options, now_us) &&
		    pick_has_room(member, query, options, now_us))
			return member;
	}
	return NULL;
}

static struct backend *pick_best(const struct pick_options *options,
				 const struct pick_query *query,
				 struct backend *const *members, int n,
				 int64_t now_us)
{
	struct backend *best = NULL;
	int i;

	for (i = 0; i < n; i++)
		if (pick_fits(members[i], query, options, now_us) &&
		    pick_has_room(members[i], query, options, now_us))
			best = pick_better(best, members[i], options, query,
					   now_us);
	return best;
}

/* Arguments of case_fits(), passed through place_choose(). */
struct pick_case {
	const struct pick_options *options;
	const struct pick_query *query;
	int64_t now_us;
};

static bool case_fits(const void *data, const struct backend *backend)
{
	const struct pick_case *pick = data;

	return pick_fits(backend, pick->query, pick->options, pick->now_us) &&
	       pick_has_room(backend, pick->query, pick->options, pick->now_us);
}

struct backend *pick_backend(const struct pick_options *options,
			     const struct pick_query *query,
			     struct backend *const *members, int n,
			     struct rng *rng, int64_t now_us)
{
	struct backend *first;
	struct backend *second;
	struct backend *holder;

	struct pick_case pick = { options, query, now_us };

	if (!n)
		return NULL;
	if (query->cold)
		return pick_random(options, query, members, n, rng, NULL,
				   now_us);
	if (options->homes)
		return place_choose(&query->place, members, n, case_fits, &pick,
				    now_us);
	holder = pick_holder(options, query, members, n, now_us);
	if (!options->two_choices) {
		first = pick_best(options, query, members, n, now_us);
		return pick_better(holder, first, options, query, now_us);
	}
	first = pick_random(options, query, members, n, rng, NULL, now_us);
	if (!first)
		return NULL;
	second = pick_random(options, query, members, n, rng, first, now_us);
	first = pick_better(first, second, options, query, now_us);
	return pick_better(holder, first, options, query, now_us);
}
