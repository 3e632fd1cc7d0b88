#include "fakes/announcer.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "fakes/json.h"

#define US_PER_MS 1000
#define ANNOUNCER_RETRY_MS 100
#define ANNOUNCER_SAMPLE_MS 20
#define ANNOUNCER_CACHE_MS 100
#define ANNOUNCER_HASH_SIZE 17
#define ANNOUNCER_LAG_PARTS 8

struct cache_event {
	struct list node;
	uint64_t prefix_hash;
	bool held;
	int64_t due_us;
};

static void announcer_announce(void *data);
static void announcer_sample(void *data);
static void announcer_send_cache(void *data);

void announcer_init(struct announcer *announcer, struct loop *loop,
		    const struct announcer_options *options,
		    announcer_measure_fn measure, void *data)
{
	memset(announcer, 0, sizeof(*announcer));
	announcer->options = *options;
	announcer->loop = loop;
	announcer->measure = measure;
	announcer->data = data;
	announcer->rng.state = options->seed;
	addresses_set(&announcer->daemons, options->daemons);
	list_init(&announcer->cache_events);
	post_pool_init(&announcer->posts, loop);
	loop_timer_init(&announcer->announce_timer, announcer_announce,
			announcer);
	loop_timer_init(&announcer->sample_timer, announcer_sample, announcer);
	loop_timer_init(&announcer->cache_timer, announcer_send_cache,
			announcer);
}

static void announcer_set(struct announcer *announcer, struct loop_timer *timer,
			  int64_t in_ms)
{
	loop_timer_set(announcer->loop, timer,
		       loop_now_us() + in_ms * US_PER_MS);
}

static const char *announcer_pick(struct announcer *announcer)
{
	uint64_t at = rng_below(&announcer->rng, announcer->daemons.n);

	return announcer->daemons.list[at];
}

static void announcer_sample(void *data)
{
	struct announcer *announcer = data;
	struct announcer_sample *sample =
		&announcer->samples[announcer->n_samples++ % ANNOUNCER_SAMPLES];
	struct event_announce now = { 0 };
	int64_t period_ms = announcer->options.lag_ms / ANNOUNCER_LAG_PARTS;

	announcer->measure(announcer->data, &now);
	sample->at_us = loop_now_us();
	sample->running = now.running;
	sample->queued = now.queued;
	sample->queued_prompt_tokens = now.queued_prompt_tokens;
	sample->kv_used = now.kv_used;
	if (announcer->options.lag_ms)
		announcer_set(announcer, &announcer->sample_timer,
			      period_ms < ANNOUNCER_SAMPLE_MS
				      ? ANNOUNCER_SAMPLE_MS
				      : period_ms);
}

/* The newest sample that is as old as the lag, or the oldest there is. */
static const struct announcer_sample *
announcer_lagged(const struct announcer *announcer, int64_t now_us)
{
	int64_t latest_us = now_us - announcer->options.lag_ms * US_PER_MS;
	int64_t i = announcer->n_samples - 1;
	int64_t oldest = announcer->n_samples - ANNOUNCER_SAMPLES;

	while (i > 0 && i > oldest &&
	       announcer->samples[i % ANNOUNCER_SAMPLES].at_us > latest_us)
		i--;
	return &announcer->samples[i % ANNOUNCER_SAMPLES];
}

static json_t *announcer_field(const struct field *field, const void *at)
{
	switch (field->type) {
	case FIELD_BOOL:
		return json_boolean(*(const bool *)at);
	case FIELD_INT:
		return json_integer(*(const int64_t *)at);
	case FIELD_REAL:
		return json_real(*(const double *)at);
	case FIELD_TEXT:
		if (*(char *const *)at)
			return json_string(*(char *const *)at);
		break;
	default:
		break;
	}
	return json_null();
}

static char *announcer_write(struct announcer *announcer)
{
	cleanup(json_free) json_t *json = json_object();
	const struct announcer_sample *sample;
	struct event event = { .kind = EVENT_ANNOUNCE };
	struct event_announce *announce = &event.u.announce;
	int64_t now_us = loop_now_us();
	const struct field *fields;
	size_t n;
	size_t i;

	if (!announcer->options.lag_ms)
		announcer_sample(announcer);
	sample = announcer_lagged(announcer, now_us);
	announcer->announce.sequence++;
	*announce = announcer->announce;
	announce->running = sample->running;
	announce->queued = sample->queued;
	announce->queued_prompt_tokens = sample->queued_prompt_tokens;
	announce->kv_used = sample->kv_used;
	announce->age_ms = (now_us - sample->at_us) / US_PER_MS;
	if (announce->age_ms < 0)
		announce->age_ms = 0;
	fields = event_fields(EVENT_ANNOUNCE, &n);
	for (i = 0; i < n; i++)
		json_object_set_new(json, fields[i].name,
				    announcer_field(&fields[i],
						    (const char *)&event +
							    fields[i].offset));
	return json_dumps(json, 0);
}

static void announcer_answered(void *data, int status)
{
	struct announcer *announcer = data;

	if (status == 200)
		return;
	/* That daemon is down: the balancer gives another one. */
	announcer_set(announcer, &announcer->announce_timer,
		      ANNOUNCER_RETRY_MS);
}

static void announcer_announce(void *data)
{
	struct announcer *announcer = data;
	cleanup(free_ptr) char *json = NULL;

	announcer_set(announcer, &announcer->announce_timer,
		      announcer->options.period_ms);
	if (!announcer->daemons.n)
		return;
	json = announcer_write(announcer);
	post_send(&announcer->posts, announcer_pick(announcer),
		  "/backend/announce", json, announcer_answered, announcer);
}

void announcer_start(struct announcer *announcer)
{
	announcer_sample(announcer);
	announcer_announce(announcer);
}

void announcer_now(struct announcer *announcer)
{
	announcer_announce(announcer);
}

void announcer_leave(struct announcer *announcer)
{
	announcer->announce.leaving = true;
	announcer->left_us = loop_now_us();
	announcer_announce(announcer);
}

void announcer_cache_event(struct announcer *announcer, uint64_t prefix_hash,
			   bool held)
{
	int64_t lag_ms = announcer->options.lag_ms;
	struct cache_event *event;

	if (!announcer->daemons.n || (int64_t)rng_below(&announcer->rng, 100) <
					     announcer->options.gap_percent)
		return;
	event = xcalloc(1, sizeof(*event));
	event->prefix_hash = prefix_hash;
	event->held = held;
	event->due_us = loop_now_us() + lag_ms * US_PER_MS;
	list_append(&announcer->cache_events, &event->node);
	if (!loop_timer_is_set(&announcer->cache_timer))
		announcer_set(announcer, &announcer->cache_timer,
			      lag_ms + ANNOUNCER_CACHE_MS);
}

static json_t *announcer_take_cache_event(struct cache_event *event)
{
	char hash[ANNOUNCER_HASH_SIZE];
	json_t *json;

	snprintf(hash, sizeof(hash), "%016" PRIx64, event->prefix_hash);
	json = json_pack("{s:s, s:b}", "prefix", hash, "held",
			 (int)event->held);
	list_remove(&event->node);
	free(event);
	return json;
}

static void announcer_send_cache(void *data)
{
	struct announcer *announcer = data;
	cleanup(json_free) json_t *json = NULL;
	cleanup(free_ptr) char *text = NULL;
	json_t *events = json_array();
	int64_t now_us = loop_now_us();
	struct cache_event *event;
	struct cache_event *tmp;

	list_foreach_safe(event, tmp, &announcer->cache_events, node)
		if (event->due_us <= now_us)
			json_array_append_new(events,
					      announcer_take_cache_event(
						      event));
	json = json_pack("{s:s, s:s, s:o}", "address",
			 announcer->announce.address, "boot_id",
			 announcer->announce.boot_id, "events", events);
	text = json_dumps(json, 0);
	if (announcer->daemons.n)
		post_send(&announcer->posts, announcer_pick(announcer),
			  "/backend/cache", text, NULL, NULL);
	if (!list_empty(&announcer->cache_events))
		announcer_set(announcer, &announcer->cache_timer,
			      ANNOUNCER_CACHE_MS);
}

void announcer_clear(struct announcer *announcer)
{
	struct cache_event *event;
	struct cache_event *tmp;

	loop_timer_cancel(&announcer->announce_timer);
	loop_timer_cancel(&announcer->sample_timer);
	loop_timer_cancel(&announcer->cache_timer);
	list_foreach_safe(event, tmp, &announcer->cache_events, node)
		free(event);
	list_init(&announcer->cache_events);
	post_pool_clear(&announcer->posts);
	addresses_clear(&announcer->daemons);
}
