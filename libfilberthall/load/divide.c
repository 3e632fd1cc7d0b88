#include "load/divide.h"

#include <math.h>
#include <stdlib.h>

#include "base/alloc.h"

/* The shortest pause expires when no request has asked for it this long. */
#define PAUSE_RETENTION_US INT64_C(10000000)

/* A pause up to this many times the shortest still counts as the shortest. */
#define PAUSE_TOLERANCE 1.25

/* A prefill within this fraction of the pause doesn't delay other streams. */
#define PAUSE_PREFILL_SHARE 0.5

/* If no request sets a pause: fraction of the mean that counts as short. */
#define PROMPT_SHORT 0.35

/* Time constant of the exponential decay of used_us. */
#define USED_DECAY_US 4300000.0

void divide_init(struct divide *divide)
{
	*divide = (struct divide){ .share = DIVIDE_MIN_SHARE };
}

void divide_record_pause(struct divide *divide, int64_t pause_us,
			 int64_t now_us)
{
	bool forgotten = now_us - divide->pause_seen_us > PAUSE_RETENTION_US;

	if (pause_us <= 0)
		return;
	if (divide->pause_us && !forgotten && pause_us > divide->pause_us)
		return;
	divide->pause_us = pause_us;
	divide->pause_seen_us = now_us;
}

bool divide_is_paced(const struct divide *divide,
		     const struct divide_query *query)
{
	double prompt = (double)query->prompt_tokens;
	double pause_us = (double)divide->pause_us;

	if (!divide->pause_us)
		return prompt < PROMPT_SHORT * query->mean_prompt;
	return query->pause_us > 0 &&
	       (double)query->pause_us <= PAUSE_TOLERANCE * pause_us &&
	       prompt / query->prefill_rate * 1e6 <
		       PAUSE_PREFILL_SHARE * pause_us;
}

static void fade(struct divide *divide, int64_t now_us)
{
	double age_us = (double)(now_us - divide->used_at_us);

	divide->used_us *= exp(-age_us / USED_DECAY_US);
	divide->used_at_us = now_us;
}

void divide_record_use(struct divide *divide, double server_us, int64_t now_us)
{
	fade(divide, now_us);
	divide->used_us += server_us;
}

void divide_started(struct divide *divide, int64_t slots)
{
	divide->running += 1.0 / (double)slots;
}

void divide_ended(struct divide *divide, int64_t slots)
{
	divide->running -= 1.0 / (double)slots;
}

static double share_by_work(const struct divide *divide,
			    const struct divide_pool *pool, int vms)
{
	double servers = divide->used_us / USED_DECAY_US * vms;

	return DIVIDE_HEADROOM * servers / pool->n;
}

static double share_by_slots(const struct divide *divide,
			     const struct divide_pool *pool, int vms)
{
	return pool->n_usable ? divide->running * vms / pool->n_usable : 0;
}

bool divide_adjust(struct divide *divide, const struct divide_pool *pool,
		   int64_t now_us)
{
	int vms = pool->vms > 0 ? pool->vms : 1;
	double share;

	if (pool->n <= 0)
		return false;
	fade(divide, now_us);
	share = fmax(share_by_work(divide, pool, vms),
		     share_by_slots(divide, pool, vms));
	share = fmax(DIVIDE_MIN_SHARE, fmin(DIVIDE_MAX_SHARE, share));
	if (fabs(share - divide->share) < DIVIDE_STEP)
		return false;
	divide->share = share;
	return true;
}

static int compare_hash(const void *a, const void *b)
{
	uint64_t left = (*(struct backend *const *)a)->node.hash;
	uint64_t right = (*(struct backend *const *)b)->node.hash;

	return left < right ? -1 : left > right;
}

/* Number of servers, out of `n`, that are reserved for paced streams. */
static int reserved_servers(const struct divide *divide, int n)
{
	return (int)(divide->share * n + 0.5);
}

void divide_mark(const struct divide *divide, struct backend *const *members,
		 int n, int64_t now_us)
{
	struct backend **sorted = xcalloc((size_t)n + 1, sizeof(*sorted));
	int n_usable = 0;
	int n_paced = 0;
	int i;

	for (i = 0; i < n; i++) {
		sorted[i] = members[i];
		n_usable += backend_usable(members[i], now_us);
	}
	qsort(sorted, (size_t)n, sizeof(*sorted), compare_hash);
	for (i = 0; i < n; i++) {
		bool reserved = i < reserved_servers(divide, n) ||
				n_paced < reserved_servers(divide, n_usable);

		sorted[i]->for_paced =
			reserved && backend_usable(sorted[i], now_us);
		n_paced += sorted[i]->for_paced;
	}
	free(sorted);
}
