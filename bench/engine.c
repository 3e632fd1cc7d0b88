#include "bench/engine.h"

#include <math.h>
#include <string.h>

/* Virtual and real times are compared with this much slack. */
#define ENGINE_EPSILON 1e-9

static bool job_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct engine_job *x = container_of(a, struct engine_job, decode);
	const struct engine_job *y = container_of(b, struct engine_job, decode);

	if (x->end_v != y->end_v)
		return x->end_v < y->end_v;
	return x->sequence < y->sequence;
}

void engine_init(struct engine *engine, const struct scenario_servers *from)
{
	memset(engine, 0, sizeof(*engine));
	engine->slots = from->slots;
	engine->prefill_rate = from->prefill_tokens_per_s;
	engine->decode_rate = from->decode_tokens_per_s;
	engine->kv_tokens = from->kv_tokens;
	engine->factor = 1;
	engine->up = true;
	list_init(&engine->queue);
	list_init(&engine->prefill);
	heap_init(&engine->decoding, job_before);
}

void engine_clear(struct engine *engine)
{
	heap_clear(&engine->decoding);
}

/* Tokens a second that each stream is given. */
static double engine_pace(const struct engine *engine)
{
	double full_step = (double)engine->slots / engine->decode_rate;
	double fill = (double)engine->decoding.n / (double)engine->slots;

	return engine->factor / (full_step * (0.5 + 0.5 * fill));
}

void engine_advance(struct engine *engine, double at_s)
{
	double elapsed_s = at_s - engine->at_s;

	engine->at_s = at_s;
	if (elapsed_s <= 0 || !engine->up)
		return;
	if (engine->decoding.n)
		engine->v += engine_pace(engine) * elapsed_s;
	if (!list_empty(&engine->prefill))
		engine->prefill_left -=
			engine->prefill_rate * engine->factor * elapsed_s;
}

double engine_next_s(const struct engine *engine)
{
	const struct heap_node *top = heap_top(&engine->decoding);
	const struct engine_job *job;
	double next_s = INFINITY;
	double at_s;

	if (!engine->up || engine->factor <= 0)
		return INFINITY;
	if (top) {
		job = container_of(top, struct engine_job, decode);
		next_s = engine->at_s +
			 (job->end_v - engine->v) / engine_pace(engine);
	}
	if (!list_empty(&engine->prefill)) {
		at_s = engine->at_s + engine->prefill_left /
					      engine->prefill_rate /
					      engine->factor;
		next_s = at_s < next_s ? at_s : next_s;
	}
	return next_s > engine->at_s ? next_s : engine->at_s;
}

static int cache_find(const struct engine *engine, uint64_t prefix)
{
	int i;

	for (i = 0; i < engine->n_cache; i++)
		if (engine->cache[i].prefix == prefix)
			return i;
	return -1;
}

/* The most recently used stands first; the last go when memory is short. */
static void cache_use(struct engine *engine, uint64_t prefix, double tokens)
{
	double room = (double)engine->kv_tokens / ENGINE_CACHE_SHARE;
	int at = cache_find(engine, prefix);
	double sum = 0;
	int i;

	if (at < 0) {
		if (engine->n_cache < ENGINE_CACHE_SIZE)
			engine->n_cache++;
		at = engine->n_cache - 1;
	}
	memmove(&engine->cache[1], &engine->cache[0],
		(size_t)at * sizeof(engine->cache[0]));
	engine->cache[0] = (struct engine_cache_line){ prefix, tokens };
	for (i = 0; i < engine->n_cache; i++) {
		sum += engine->cache[i].tokens;
		if (sum > room && i > 0)
			break;
	}
	engine->n_cache = i;
}

static double job_prefill_tokens(const struct engine_job *job)
{
	double tokens = (double)job->prompt_tokens;

	return job->cached ? tokens * (1 - ENGINE_PREFIX_SHARE) : tokens;
}

static void prefill_begin(struct engine *engine)
{
	struct engine_job *job =
		list_first(&engine->prefill, struct engine_job, in_engine);

	if (!job)
		return;
	if (job->prefix) {
		job->cached = cache_find(engine, job->prefix) >= 0;
		cache_use(engine, job->prefix,
			  (double)job->prompt_tokens * ENGINE_PREFIX_SHARE);
	}
	engine->prefill_left = job_prefill_tokens(job);
}

/* Behind the `keep` first and all of its own priority or a higher one. */
static void insert_by_priority(struct list *head, struct engine_job *job,
			       int keep)
{
	struct list *last = keep ? head->next : head;
	struct list *at = head;

	while (at->prev != last && at->prev != head &&
	       container_of(at->prev, struct engine_job, in_engine)->priority >
		       job->priority)
		at = at->prev;
	list_insert_before(at, &job->in_engine);
}

static int64_t job_kv(const struct engine_job *job)
{
	return job->prompt_tokens + job->output_tokens;
}

/* Give free slots to those that wait. */
static void engine_fill(struct engine *engine)
{
	struct engine_job *job;
	bool idle;

	while (engine->running < engine->slots) {
		job = list_first(&engine->queue, struct engine_job, in_engine);
		if (!job)
			return;
		if (engine->kv_used + job_kv(job) > engine->kv_tokens &&
		    engine->running)
			return;
		engine->running++;
		engine->kv_used += job_kv(job);
		list_remove(&job->in_engine);
		idle = list_empty(&engine->prefill);
		/* The first one is being worked on and is let end. */
		insert_by_priority(&engine->prefill, job, 1);
		job->state = JOB_PREFILL;
		if (idle)
			prefill_begin(engine);
	}
}

void engine_add(struct engine *engine, struct engine_job *job)
{
	job->sequence = ++engine->sequence;
	job->state = JOB_QUEUED;
	list_init(&job->in_engine);
	insert_by_priority(&engine->queue, job, 0);
	engine_fill(engine);
}

static void engine_release(struct engine *engine, struct engine_job *job)
{
	engine->running--;
	engine->kv_used -= job_kv(job);
	job->state = JOB_OVER;
	engine_fill(engine);
}

void engine_remove(struct engine *engine, struct engine_job *job)
{
	bool first = engine->prefill.next == &job->in_engine;

	switch (job->state) {
	case JOB_QUEUED:
		list_remove(&job->in_engine);
		job->state = JOB_OVER;
		break;
	case JOB_PREFILL:
		list_remove(&job->in_engine);
		if (first)
			prefill_begin(engine);
		engine_release(engine, job);
		break;
	case JOB_DECODE:
		heap_remove(&engine->decoding, &job->decode);
		engine_release(engine, job);
		break;
	case JOB_OVER:
		break;
	}
}

struct engine_job *engine_take_ended(struct engine *engine)
{
	struct heap_node *top = heap_top(&engine->decoding);
	struct engine_job *job;

	if (!top || !engine->up)
		return NULL;
	job = container_of(top, struct engine_job, decode);
	if (job->end_v > engine->v + ENGINE_EPSILON)
		return NULL;
	heap_remove(&engine->decoding, &job->decode);
	engine_release(engine, job);
	return job;
}

struct engine_job *engine_take_prefilled(struct engine *engine)
{
	struct engine_job *job =
		list_first(&engine->prefill, struct engine_job, in_engine);

	if (!job || !engine->up || engine->prefill_left > 1e-6)
		return NULL;
	list_remove(&job->in_engine);
	job->state = JOB_DECODE;
	job->start_v = engine->v;
	job->end_v = engine->v + (double)(job->output_tokens - 1);
	heap_push(&engine->decoding, &job->decode);
	prefill_begin(engine);
	return job;
}

int64_t engine_job_tokens(const struct engine *engine,
			  const struct engine_job *job)
{
	int64_t tokens;

	if (job->state != JOB_DECODE)
		return 0;
	tokens = 1 + (int64_t)(engine->v - job->start_v + ENGINE_EPSILON);
	return tokens < job->output_tokens ? tokens : job->output_tokens;
}

int64_t engine_queued(const struct engine *engine)
{
	struct engine_job *job;
	int64_t n = 0;

	list_foreach(job, &engine->queue, in_engine)
		n++;
	return n;
}

int64_t engine_queued_prompt(const struct engine *engine)
{
	double left = list_empty(&engine->prefill) ? 0 : engine->prefill_left;
	struct engine_job *job;

	list_foreach(job, &engine->prefill, in_engine)
		if (&job->in_engine != engine->prefill.next)
			left += (double)job->prompt_tokens;
	list_foreach(job, &engine->queue, in_engine)
		left += (double)job->prompt_tokens;
	return (int64_t)left;
}
