#include "fakes/batch.h"

/*
 * A step prefills at most this much, so that decoding goes on meanwhile: what
 * takes a sixteenth of a second, and on a slow engine so many tokens.
 */
#define BATCH_CHUNK_PARTS 16
#define BATCH_CHUNK_TOKENS 512
/* What a step costs even for a single sequence, as a part of a full step. */
#define BATCH_STEP_FLOOR 0.5
#define US_PER_S 1e6

static void batch_step_done(void *data);

void batch_init(struct batch *batch, struct loop *loop,
		const struct batch_limits *limits, const double *slow,
		cache_change_fn change, void *data)
{
	batch->loop = loop;
	batch->limits = *limits;
	cache_init(&batch->cache, change, data);
	list_init(&batch->waiting);
	list_init(&batch->running);
	loop_timer_init(&batch->timer, batch_step_done, batch);
	batch->n_waiting = 0;
	batch->n_running = 0;
	batch->waiting_prompt_tokens = 0;
	batch->kv_reserved = 0;
	batch->slow = slow;
}

void batch_clear(struct batch *batch)
{
	loop_timer_cancel(&batch->timer);
	cache_clear(&batch->cache);
}

int64_t batch_kv_used(const struct batch *batch)
{
	return batch->kv_reserved + batch->cache.tokens;
}

static int64_t sequence_kv(const struct sequence *sequence)
{
	return sequence->prompt_tokens + sequence->length;
}

static void batch_start(struct batch *batch, struct sequence *sequence)
{
	int64_t held = cache_use(&batch->cache, sequence->prefix_hash);

	list_remove(&sequence->node);
	list_append(&batch->running, &sequence->node);
	batch->n_waiting--;
	batch->n_running++;
	batch->waiting_prompt_tokens -= sequence->prompt_tokens;
	batch->kv_reserved += sequence_kv(sequence);
	cache_shrink(&batch->cache,
		     batch->limits.kv_tokens - batch->kv_reserved);
	sequence->running = true;
	sequence->cached = held > 0;
	sequence->prefill_left =
		sequence->prompt_tokens + sequence->done -
		(held < sequence->prompt_tokens ? held
						: sequence->prompt_tokens);
	if (sequence->prefilled)
		sequence->prefill_left = 0;
	sequence->calls->started(sequence);
}

static void batch_admit(struct batch *batch)
{
	struct sequence *first;

	while ((first = list_first(&batch->waiting, struct sequence, node))) {
		if (batch->n_running >= batch->limits.slots)
			return;
		/* One that never fits runs alone. */
		if (batch->n_running &&
		    batch->kv_reserved + sequence_kv(first) >
			    batch->limits.kv_tokens)
			return;
		batch_start(batch, first);
	}
}

/* Prefill what a step can; returns the tokens prefilled. */
static int64_t batch_prefill(struct batch *batch)
{
	int64_t most =
		(int64_t)(batch->limits.prefill_rate / BATCH_CHUNK_PARTS);
	struct sequence *sequence;
	int64_t budget;

	if (most < BATCH_CHUNK_TOKENS)
		most = BATCH_CHUNK_TOKENS;
	budget = most;
	list_foreach(sequence, &batch->running, node) {
		int64_t chunk = sequence->prefill_left < budget
					? sequence->prefill_left
					: budget;

		sequence->prefill_left -= chunk;
		budget -= chunk;
		sequence->in_step = !sequence->prefill_left;
	}
	return most - budget;
}

static void batch_step_begin(struct batch *batch)
{
	const struct batch_limits *limits = &batch->limits;
	struct sequence *sequence;
	int64_t prefilled;
	int64_t decoding = 0;
	double full_s;
	double step_s;

	batch_admit(batch);
	if (list_empty(&batch->running))
		return;
	prefilled = batch_prefill(batch);
	list_foreach(sequence, &batch->running, node)
		decoding += sequence->in_step;
	full_s = (double)limits->slots / limits->decode_rate;
	step_s = (double)prefilled / limits->prefill_rate;
	if (decoding)
		step_s += full_s * (BATCH_STEP_FLOOR +
				    (1 - BATCH_STEP_FLOOR) * (double)decoding /
					    (double)limits->slots);
	loop_timer_set(batch->loop, &batch->timer,
		       loop_now_us() +
			       (int64_t)(step_s * *batch->slow * US_PER_S) + 1);
}

static void batch_give_token(struct batch *batch, struct sequence *sequence)
{
	sequence->in_step = false;
	cache_hold(&batch->cache, sequence->prefix_hash,
		   sequence->prefix_tokens);
	if (sequence->done < sequence->length) {
		sequence->done++;
		sequence->calls->token(sequence);
	}
	if (sequence->done < sequence->length)
		return;
	batch_remove(batch, sequence);
	sequence->calls->finished(sequence);
}

static void batch_step_done(void *data)
{
	struct batch *batch = data;
	struct sequence *sequence;
	struct sequence *tmp;

	list_foreach_safe(sequence, tmp, &batch->running, node)
		if (sequence->in_step)
			batch_give_token(batch, sequence);
	cache_shrink(&batch->cache,
		     batch->limits.kv_tokens - batch->kv_reserved);
	batch_step_begin(batch);
}

void batch_add(struct batch *batch, struct sequence *sequence)
{
	struct list *at = batch->waiting.prev;

	while (at != &batch->waiting &&
	       container_of(at, struct sequence, node)->priority >
		       sequence->priority)
		at = at->prev;
	list_prepend(at, &sequence->node);
	batch->n_waiting++;
	batch->waiting_prompt_tokens += sequence->prompt_tokens;
	if (!loop_timer_is_set(&batch->timer))
		batch_step_begin(batch);
}

void batch_remove(struct batch *batch, struct sequence *sequence)
{
	if (list_empty(&sequence->node))
		return;
	list_remove(&sequence->node);
	if (sequence->running) {
		batch->n_running--;
		batch->kv_reserved -= sequence_kv(sequence);
	} else {
		batch->n_waiting--;
		batch->waiting_prompt_tokens -= sequence->prompt_tokens;
	}
}
