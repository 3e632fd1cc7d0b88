#ifndef FAKES_BATCH_H
#define FAKES_BATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "fakes/cache.h"
#include "fakes/loop.h"

/**
 * Continuous batching as engines do it: steps, each of which gives one token
 * to every sequence that decodes, and in which a chunk of a waiting prompt is
 * prefilled. A step takes longer the more sequences take part and the more is
 * prefilled in it, so that the token rate of each falls with the batch.
 */

struct batch_limits {
	int64_t slots;	     /**< sequences at once */
	double prefill_rate; /**< tokens a second */
	double decode_rate;  /**< tokens a second of a full batch */
	int64_t kv_tokens;   /**< memory for running and cached tokens */
};

struct sequence;

/** What a sequence's owner is told. */
struct sequence_calls {
	/** It left the queue and runs. */
	void (*started)(struct sequence *sequence);
	/** One more token: number `done` - 1. */
	void (*token)(struct sequence *sequence);
	/** All tokens came; the sequence has left the batch. */
	void (*finished)(struct sequence *sequence);
};

struct sequence {
	struct list node;
	const struct sequence_calls *calls;
	int64_t priority; /**< 0 is the highest */
	uint64_t prefix_hash;
	int64_t prefix_tokens;
	int64_t prompt_tokens;
	int64_t length; /**< tokens to be generated in all */
	int64_t done;	/**< tokens generated, or resumed after */
	int64_t prefill_left;
	bool prefilled; /**< its KV cache was imported */
	bool cached;	/**< the prefix cache helped */
	bool running;
	bool in_step; /**< takes part in the step under way */
};

struct batch {
	struct loop *loop;
	struct batch_limits limits;
	struct cache cache;
	struct list waiting; /**< by priority, then age */
	struct list running;
	struct loop_timer timer;
	int64_t n_waiting;
	int64_t n_running;
	int64_t waiting_prompt_tokens;
	int64_t kv_reserved; /**< tokens of running sequences */
	const double *slow;  /**< factor on each step */
};

void batch_init(struct batch *batch, struct loop *loop,
		const struct batch_limits *limits, const double *slow,
		cache_change_fn change, void *data);

void batch_clear(struct batch *batch);

/** Queue a sequence; its owner set the fields up to `done`. */
void batch_add(struct batch *batch, struct sequence *sequence);

/** Take a sequence out, wherever it is. */
void batch_remove(struct batch *batch, struct sequence *sequence);

/** Memory in use by running sequences and the prefix cache, tokens. */
int64_t batch_kv_used(const struct batch *batch);

#endif
