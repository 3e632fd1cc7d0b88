#include "bed.h"

#include <glib.h>
#include <string.h>

#include "fleet/backend.h"
#include "load/router.h"

static void note_finished(void *data, const struct router_outcome *outcome)
{
	struct bed *bed = data;

	bed->finished++;
	bed->last = *outcome;
}

void bed_class(struct bed *bed, const char *name, int tier)
{
	struct class_rule rule = {
		.tier = tier,
		.deadline_us = 10 * SECOND,
		.idempotent = true,
	};

	g_strlcpy(rule.name, name, sizeof(rule.name));
	router_set_class(bed->router, &rule, bed->now_us, &bed->effects);
}

void bed_engine(struct bed *bed, char *address, int64_t slots, int64_t sequence)
{
	struct event_announce announce = {
		.address = address,
		.boot_id = "boot",
		.sequence = sequence,
		.zone = "z",
		.model = "base",
		.lease_ms = 5000,
		.slots = slots,
		.prefill_rate = 20000,
		.decode_rate = 1600,
	};

	fleet_announce(&bed->fleet, &announce, bed->now_us);
	router_fleet_changed(bed->router, bed->now_us, &bed->effects);
}

static void open_router(struct bed *bed, uint64_t self,
			struct router_features features)
{
	struct router_options options = {
		.seed = 1,
		.self = self,
		.zone = "z",
		.fleet = &bed->fleet,
		.features = features,
		.hooks = { note_finished, bed },
	};

	memset(bed, 0, sizeof(*bed));
	bed->now_us = SECOND;
	fleet_init(&bed->fleet);
	effects_init(&bed->effects);
	bed->router = router_new(&options);
	bed_class(bed, "high", 0);
	bed_class(bed, "low", 2);
}

void bed_open_as(struct bed *bed, uint64_t self)
{
	open_router(bed, self, router_features_all());
}

/* As an entry VM, which doesn't hedge. */
void bed_open_with(struct bed *bed, bool lost_answers)
{
	struct router_features features = router_features_all();

	features.hedging = false;
	features.lost_answers = lost_answers;
	open_router(bed, 1, features);
}

void bed_open(struct bed *bed)
{
	bed_open_as(bed, 1);
}

void bed_close(struct bed *bed)
{
	router_free(bed->router);
	effects_clear(&bed->effects);
	fleet_clear(&bed->fleet);
}

uint64_t bed_submit(struct bed *bed, const char *class_name, bool idempotent)
{
	struct router_request request = {
		.id = ++bed->last_id,
		.organisation = "a",
		.class_name = class_name,
		.model = "base",
		.prompt_tokens = 100,
		.arrived_us = bed->now_us,
		.idempotent = idempotent,
		.stream = true,
	};

	router_submit(bed->router, &request, bed->now_us, &bed->effects);
	return request.id;
}

/* Returns the next effect of the given kind and drops those before it. */
struct effect *bed_effect(struct bed *bed, enum effect_kind kind)
{
	struct effect *effect;

	while ((effect = effects_take(&bed->effects))) {
		if (effect->kind == kind)
			return effect;
		effect_free(effect);
	}
	return NULL;
}

void bed_end(struct bed *bed, uint64_t id, int64_t attempt, enum result code,
	     bool sent)
{
	struct event_attempt_ended ended = {
		.id = id,
		.attempt = attempt,
		.code = code,
		.tokens = code == RESULT_CALLER_LEFT ? 5
			  : code		     ? 0
						     : 10,
		.sent = sent,
	};

	router_ended(bed->router, &ended, bed->now_us, &bed->effects);
}

static bool had_effect(struct bed *bed, enum effect_kind kind, uint64_t id)
{
	struct effect *effect;
	bool had = false;
	uint64_t its_id;

	while ((effect = effects_take(&bed->effects))) {
		its_id = kind == EFFECT_START_ATTEMPT ? effect->u.start.id
						      : effect->u.cancel.id;
		had |= effect->kind == kind && its_id == id;
		effect_free(effect);
	}
	return had;
}

bool bed_was_sent(struct bed *bed, uint64_t id)
{
	return had_effect(bed, EFFECT_START_ATTEMPT, id);
}

bool bed_was_cancelled(struct bed *bed, uint64_t id)
{
	return had_effect(bed, EFFECT_CANCEL_ATTEMPT, id);
}
