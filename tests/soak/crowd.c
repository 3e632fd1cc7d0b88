#include "crowd.h"

#include <stdlib.h>

#include "base/alloc.h"

#define APART_MS 5000
#define APART_MORE_MS 4000
#define CROWD_MS 7000
/* Of a hundred requests. */
#define CROWD_SHARE 85
/* Fewer show nothing; of those of before so many quarters are served. */
#define LEAST 20
#define QUARTERS 3

struct tally {
	int ended;
	int served;
};

struct crowd {
	struct soak *soak;
	struct rng rng; /* of its own */
	ev_timer timer;
	int at; /* VM, or -1 */
	int64_t since_us;
	struct tally apart;
	struct tally crowded;
};

int crowd_entry(struct crowd *crowd, int entry)
{
	if (crowd->at < 0 || rng_below(&crowd->rng, 100) >= CROWD_SHARE)
		return entry;
	return crowd->at;
}

void crowd_count(struct crowd *crowd, int64_t sent_us, bool served)
{
	struct tally *tally = crowd->at < 0 ? &crowd->apart : &crowd->crowded;

	if (!soak_calm_since(crowd->soak, sent_us) ||
	    sent_us <= crowd->soak->bound_us ||
	    sent_us < crowd->since_us + SOAK_CALM_US)
		return;
	tally->ended++;
	tally->served += served;
}

void crowd_check(struct crowd *crowd)
{
	const struct tally *apart = &crowd->apart;
	const struct tally *crowded = &crowd->crowded;

	soak_say(crowd->soak,
		 "served %d of %d, %d of %d with callers at one VM",
		 apart->served, apart->ended, crowded->served, crowded->ended);
	if (apart->ended >= LEAST && crowded->ended >= LEAST &&
	    4 * crowded->served * apart->ended <
		    QUARTERS * apart->served * crowded->ended)
		soak_violation(crowd->soak, "crowd",
			       "%d of %d served with most callers at one VM, "
			       "%d of %d without",
			       crowded->served, crowded->ended, apart->served,
			       apart->ended);
}

static void on_change(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct crowd *crowd = timer->data;
	int64_t ms = CROWD_MS;

	crowd->since_us = edge_now_us();
	if (crowd->at < 0) {
		crowd->at = (int)rng_below(&crowd->rng, SOAK_ENTRIES);
	} else if (rng_below(&crowd->rng, 2)) {
		crowd->at = (crowd->at + 1) % SOAK_ENTRIES;
	} else {
		crowd->at = -1;
		ms = APART_MS + (int64_t)rng_below(&crowd->rng, APART_MORE_MS);
	}
	soak_say(crowd->soak, "most callers at VM %d", crowd->at);
	soak_timer(crowd->soak, &crowd->timer, on_change, ms, crowd);
}

struct crowd *crowd_new(struct soak *soak)
{
	struct crowd *crowd = xcalloc(1, sizeof(*crowd));

	crowd->soak = soak;
	crowd->at = -1;
	crowd->rng.state = soak->seed * 13 + 5;
	soak_timer(soak, &crowd->timer, on_change, APART_MS, crowd);
	return crowd;
}

void crowd_free(struct crowd *crowd)
{
	ev_timer_stop(crowd->soak->ev, &crowd->timer);
	free(crowd);
}
