#ifndef FAKES_ANNOUNCER_H
#define FAKES_ANNOUNCER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "core/event.h"
#include "fakes/addresses.h"
#include "fakes/loop.h"
#include "fakes/post.h"

/**
 * Announces a stand-in backend server to daemons, one picked at random each
 * time as a balancer would, with load figures as old as the set lag.
 */

/** Samples kept to report figures of some time ago. */
#define ANNOUNCER_SAMPLES 64

/** Fill in the load figures as they are now. */
typedef void (*announcer_measure_fn)(void *data, struct event_announce *now);

struct announcer_options {
	char **daemons; /**< addresses, NULL at the end */
	int64_t period_ms;
	int64_t lag_ms;
	int64_t gap_percent; /**< cache events lost on the way */
	uint64_t seed;
};

struct announcer_sample {
	int64_t at_us;
	int64_t running;
	int64_t queued;
	int64_t queued_prompt_tokens;
	int64_t kv_used;
};

struct announcer {
	struct announcer_options options;
	struct loop *loop;
	struct post_pool posts;
	struct loop_timer announce_timer;
	struct loop_timer sample_timer;
	struct loop_timer cache_timer;
	struct event_announce announce; /**< texts belong to the owner */
	struct announcer_sample samples[ANNOUNCER_SAMPLES];
	int64_t n_samples;
	struct list cache_events;
	struct rng rng;
	struct addresses daemons;
	int64_t left_us; /**< when leaving was announced, or 0 */
	announcer_measure_fn measure;
	void *data;
};

/**
 * Prepare; the owner then fills `announce` (its texts must outlive the
 * announcer) and calls announcer_start().
 */
void announcer_init(struct announcer *announcer, struct loop *loop,
		    const struct announcer_options *options,
		    announcer_measure_fn measure, void *data);

void announcer_start(struct announcer *announcer);

/** Announce again at once, since something changed. */
void announcer_now(struct announcer *announcer);

/** Announce from now on that the server leaves. */
void announcer_leave(struct announcer *announcer);

/** Announce a change of the prefix cache: late, and now and then not. */
void announcer_cache_event(struct announcer *announcer, uint64_t prefix_hash,
			   bool held);

void announcer_clear(struct announcer *announcer);

#endif
