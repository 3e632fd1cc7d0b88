#include "rest.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "ledger.h"
#include "vm.h"

#define WELL_MS 4000
#define WELL_MORE_MS 6000
#define ASK_MS 1500
#define ASK_MORE_MS 3000
/* What it asks for. */
#define TIME_MS 800
#define TIME_MORE_MS 3200
/* Requests that were sent before the answer came. */
#define UNDER_WAY_US (500 * SOAK_MS)
#define EARLY_MOST 2
#define WINDOWS 64

/* A VM was asked to send nothing from `from_us` on. */
struct window {
	int entry;
	int64_t from_us;
	int64_t until_us;
	int n;
};

struct rest {
	struct soak *soak;
	int server;
	struct rng rng; /* of its own: other seeds' draws stay as they were */
	ev_timer timer;
	bool asking;
	struct window windows[WINDOWS]; /* the last ones, a ring */
	int64_t n;
};

bool rest_asks(const struct rest *rest)
{
	return rest->asking;
}

bool rest_holds(const struct rest *rest)
{
	int64_t now_us = edge_now_us();
	int i;

	for (i = 0; i < WINDOWS; i++)
		if (rest->windows[i].until_us > now_us)
			return true;
	return rest->asking;
}

static void count(struct rest *rest, struct window *window, int number)
{
	int64_t now_us = edge_now_us();
	const struct soak *soak = rest->soak;

	if (now_us < window->from_us || now_us >= window->until_us ||
	    window->entry != ledger_get(soak->ledger, number)->entry ||
	    ++window->n <= EARLY_MOST)
		return;
	if (soak_calm_since(soak, window->from_us) &&
	    vm_in_touch(soak->vms[SOAK_CONTROLS + window->entry],
			window->from_us))
		soak_violation(rest->soak, "rest",
			       "server %d asked entry VM %d for %" PRId64
			       " ms and got %d requests in that time; the "
			       "last is %d",
			       rest->server, window->entry,
			       (window->until_us - window->from_us +
				UNDER_WAY_US) /
				       SOAK_MS,
			       window->n, number);
}

void rest_arrival(struct rest *rest, int number)
{
	int i;

	for (i = 0; i < WINDOWS; i++)
		count(rest, &rest->windows[i], number);
}

int64_t rest_ask(struct rest *rest, int number)
{
	int64_t ms = TIME_MS + (int64_t)rng_below(&rest->rng, TIME_MORE_MS);
	int64_t now_us = edge_now_us();

	rest->windows[rest->n++ % WINDOWS] = (struct window){
		.entry = ledger_get(rest->soak->ledger, number)->entry,
		.from_us = now_us + UNDER_WAY_US,
		.until_us = now_us + ms * SOAK_MS,
	};
	return ms;
}

static void on_change(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct rest *rest = timer->data;
	int64_t ms;

	rest->asking = !rest->asking;
	if (rest->asking)
		ms = ASK_MS + (int64_t)rng_below(&rest->rng, ASK_MORE_MS);
	else
		ms = WELL_MS + (int64_t)rng_below(&rest->rng, WELL_MORE_MS);
	soak_say(rest->soak, "server %d %s", rest->server,
		 rest->asking ? "asks for rest" : "takes requests");
	soak_timer(rest->soak, &rest->timer, on_change, ms, rest);
}

void rest_started(struct rest *rest)
{
	memset(rest->windows, 0, sizeof(rest->windows));
}

void rest_end(struct rest *rest)
{
	ev_timer_stop(rest->soak->ev, &rest->timer);
	rest->asking = false;
}

struct rest *rest_new(struct soak *soak, int server)
{
	struct rest *rest = xcalloc(1, sizeof(*rest));

	rest->soak = soak;
	rest->server = server;
	rest->rng = (struct rng){ soak->seed * 31 + (uint64_t)server };
	soak_timer(soak, &rest->timer, on_change,
		   (int64_t)rng_below(&rest->rng, WELL_MS), rest);
	return rest;
}

void rest_free(struct rest *rest)
{
	ev_timer_stop(rest->soak->ev, &rest->timer);
	free(rest);
}
