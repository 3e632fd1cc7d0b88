#include "fleet/weight.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree/codec.h"
#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/list.h"

struct weight {
	struct list node; /**< in weights.list, oldest first */
	char *order_id;
	char *address;
	char *name;
	enum weight_verb verb;
	int urgency;
	bool running;	    /**< sent and not known to have ended */
	int64_t started_us; /**< when it was first sent */
	int64_t next_us;    /**< not sent again before */
};

struct weights {
	struct list list;
};

static const struct {
	const char *name;
	bool loads; /**< loads from the weight store */
} weight_verbs[] = {
	[WEIGHT_LOAD_MODEL] = { "load-model", true },
	[WEIGHT_LOAD_ADAPTER] = { "load-adapter", true },
	[WEIGHT_UNLOAD_ADAPTER] = { "unload-adapter", false },
	[WEIGHT_SET_VERSION] = { "set-version", true },
	[WEIGHT_SET_ROLE] = { "set-role", false },
};

struct weights *weights_new(void)
{
	struct weights *weights = xcalloc(1, sizeof(*weights));

	list_init(&weights->list);
	return weights;
}

static void weight_free(struct weight *weight)
{
	list_remove(&weight->node);
	free(weight->order_id);
	free(weight->address);
	free(weight->name);
	free(weight);
}

void weights_reset(struct weights *weights)
{
	struct weight *weight;
	struct weight *next;

	list_foreach_safe(weight, next, &weights->list, node)
		weight_free(weight);
}

void weights_free(struct weights *weights)
{
	if (!weights)
		return;
	weights_reset(weights);
	free(weights);
}

static struct weight *weights_find(const struct weights *weights,
				   const char *order_id)
{
	struct weight *weight;

	list_foreach(weight, &weights->list, node)
		if (!strcmp(weight->order_id, order_id))
			return weight;
	return NULL;
}

void weights_add(struct weights *weights, const struct weight_order *order,
		 int64_t now_us)
{
	cleanup(free_ptr) char *order_id =
		xstrfmt("w-%s-%s-%s-%lld", order->address,
			weight_verbs[order->verb].name, order->name,
			(long long)order->reason);
	struct weight *weight = weights_find(weights, order_id);

	if (weight) {
		if (order->urgency < weight->urgency)
			weight->urgency = order->urgency;
		return;
	}
	weight = xcalloc(1, sizeof(*weight));
	weight->order_id = take_ptr(order_id);
	weight->address = xstrdup(order->address);
	weight->name = xstrdup(order->name);
	weight->verb = order->verb;
	weight->urgency = order->urgency;
	weight->next_us = now_us;
	list_append(&weights->list, &weight->node);
}

void weights_forget(struct weights *weights, const char *address)
{
	struct weight *weight;
	struct weight *next;

	list_foreach_safe(weight, next, &weights->list, node)
		if (!strcmp(weight->address, address))
			weight_free(weight);
}

static void weight_send(struct weight *weight, int64_t fence, int64_t now_us,
			struct effects *effects)
{
	struct effect *effect = effects_add(effects, EFFECT_ENGINE_ORDER);
	struct effect_engine_order *order = &effect->u.engine_order;
	const char *verb = weight_verbs[weight->verb].name;
	cleanup(free_ptr) char *text = NULL;
	json_t *body = json_pack("{ss sI ss ss}", "order_id", weight->order_id,
				 "fence", (json_int_t)fence, "verb", verb,
				 "name", weight->name);

	text = json_dumps(body, JSON_COMPACT);
	json_decref(body);
	order->order_id = xstrdup(weight->order_id);
	order->address = xstrdup(weight->address);
	order->verb = xstrdup(verb);
	order->fence = fence;
	order->timeout_ms = WEIGHT_TIMEOUT_MS;
	bytes_append_text(&order->body, text);
	if (!weight->running)
		weight->started_us = now_us;
	weight->running = true;
	weight->next_us = now_us + WEIGHT_POLL_US;
}

static int weights_count_loads(const struct weights *weights)
{
	const struct weight *weight;
	int n = 0;

	list_foreach(weight, &weights->list, node)
		n += weight->running && weight_verbs[weight->verb].loads;
	return n;
}

/* The most urgent order that isn't running, the oldest of equals, or NULL. */
static struct weight *weights_next(const struct weights *weights, bool loads)
{
	struct weight *first = NULL;
	struct weight *weight;

	list_foreach(weight, &weights->list, node) {
		if (weight->running ||
		    (weight_verbs[weight->verb].loads && !loads))
			continue;
		if (!first || weight->urgency < first->urgency)
			first = weight;
	}
	return first;
}

/*
 * A load that never finishes must not count towards the limit for ever: its
 * order is moved to the end of the queue, under the same id.
 */
static void weights_poll(struct weights *weights, int64_t fence, int64_t now_us,
			 struct effects *effects)
{
	struct weight *weight;
	struct weight *next;

	list_foreach_safe(weight, next, &weights->list, node) {
		if (!weight->running || now_us < weight->next_us)
			continue;
		if (now_us - weight->started_us < WEIGHT_LOAD_LIMIT_US) {
			weight_send(weight, fence, now_us, effects);
			continue;
		}
		weight->running = false;
		list_remove(&weight->node);
		list_append(&weights->list, &weight->node);
	}
}

void weights_tick(struct weights *weights, int limit, int64_t fence,
		  int64_t until_us, int64_t now_us, struct effects *effects)
{
	int loads = weights_count_loads(weights);
	struct weight *weight;

	if (now_us + WEIGHT_TIMEOUT_MS * INT64_C(1000) > until_us)
		return;
	weights_poll(weights, fence, now_us, effects);
	while ((weight = weights_next(weights, loads < limit))) {
		loads += weight_verbs[weight->verb].loads;
		weight_send(weight, fence, now_us, effects);
	}
}

bool weights_answer(struct weights *weights,
		    const struct event_platform *answer, int64_t now_us)
{
	struct weight *weight =
		answer->order_id ? weights_find(weights, answer->order_id)
				 : NULL;
	json_t *body;

	if (!weight)
		return false;
	body = answer->body.len ? json_loadb(answer->body.data,
					     answer->body.len, 0, NULL)
				: NULL;
	if (answer->code == RESULT_PLATFORM_REFUSED ||
	    (answer->code == RESULT_OK &&
	     !strcmp(codec_text(body, "state", ""), "done")))
		weight_free(weight);
	else
		weight->next_us = now_us + WEIGHT_POLL_US;
	json_decref(body);
	return true;
}

int weights_waiting(const struct weights *weights)
{
	const struct weight *weight;
	int n = 0;

	list_foreach(weight, &weights->list, node)
		n += !weight->running;
	return n;
}

int weights_running(const struct weights *weights)
{
	const struct weight *weight;
	int n = 0;

	list_foreach(weight, &weights->list, node)
		n += weight->running;
	return n;
}
