#include "need.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

#define WELL_MS 3000
#define WELL_MORE_MS 6000
#define NEED_MS 9000
#define NEED_MORE_MS 6000
#define PER_S_MOST 3
/* From when a limit binds after it was first named. */
#define BINDS_US (3 * SOAK_SECOND)
#define SPAN_US (4 * SOAK_SECOND)
#define ARRIVALS 64

struct need {
	struct soak *soak;
	int server;
	ev_timer timer;
	double per_s;
	int64_t since_us;
	int64_t arrivals[ARRIVALS]; /* the last ones, a ring */
	int64_t n;
};

double need_per_s(const struct need *need)
{
	return need->per_s;
}

static int arrived_since(const struct need *need, int64_t from_us)
{
	int n = 0;
	int i;

	for (i = 0; i < ARRIVALS; i++)
		n += need->arrivals[i] >= from_us;
	return n;
}

void need_arrival(struct need *need, int number)
{
	int64_t now_us = edge_now_us();
	int64_t from_us = now_us - SPAN_US;
	int allowed = (int)(1.5 * need->per_s * SPAN_US / SOAK_SECOND + 5);
	int n;

	need->arrivals[need->n++ % ARRIVALS] = now_us;
	if (!need->per_s || from_us < need->since_us + BINDS_US ||
	    !soak_calm_since(need->soak, from_us))
		return;
	n = arrived_since(need, from_us);
	if (n > allowed)
		soak_violation(need->soak, "limit",
			       "server %d, in need for %" PRId64
			       " ms, got %d requests in 4 s, %d allowed; the "
			       "last is %d",
			       need->server, (now_us - need->since_us) / 1000,
			       n, allowed, number);
}

static void on_change(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct need *need = timer->data;
	struct rng *rng = &need->soak->rng;
	int64_t ms;

	if (need->per_s) {
		need->per_s = 0;
		ms = WELL_MS + (int64_t)rng_below(rng, WELL_MORE_MS);
	} else {
		need->per_s = 1 + (double)rng_below(rng, PER_S_MOST);
		need->since_us = edge_now_us();
		ms = NEED_MS + (int64_t)rng_below(rng, NEED_MORE_MS);
	}
	soak_say(need->soak, "server %d names %.0f/s", need->server,
		 need->per_s);
	soak_timer(need->soak, &need->timer, on_change, ms, need);
}

void need_started(struct need *need)
{
	need->since_us = edge_now_us();
	memset(need->arrivals, 0, sizeof(need->arrivals));
}

void need_rest(struct need *need)
{
	ev_timer_stop(need->soak->ev, &need->timer);
	need->per_s = 0;
}

struct need *need_new(struct soak *soak, int server)
{
	struct need *need = xcalloc(1, sizeof(*need));

	need->soak = soak;
	need->server = server;
	soak_timer(soak, &need->timer, on_change,
		   (int64_t)rng_below(&soak->rng, WELL_MS), need);
	return need;
}

void need_free(struct need *need)
{
	ev_timer_stop(need->soak->ev, &need->timer);
	free(need);
}
