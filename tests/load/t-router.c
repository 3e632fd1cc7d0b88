#include "bed.h"

#include <glib.h>
#include <string.h>

#include "fleet/backend.h"
#include "load/router.h"

static void a_request_is_sent_and_answered_once(void)
{
	struct effect *effect;
	struct bed bed;
	uint64_t id;

	bed_open(&bed);
	bed_engine(&bed, "10.0.0.1:1", 4, 1);
	id = bed_submit(&bed, "high", true);
	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpstr(effect->u.start.address, ==, "10.0.0.1:1");
	effect_free(effect);
	bed_end(&bed, id, 1, RESULT_OK, true);
	effect = bed_effect(&bed, EFFECT_ANSWER);
	g_assert_nonnull(effect);
	g_assert_cmpint(effect->u.answer.code, ==, RESULT_OK);
	g_assert_cmpint(effect->u.answer.run, ==, RUN_RAN);
	effect_free(effect);
	g_assert_null(bed_effect(&bed, EFFECT_ANSWER));
	g_assert_cmpint(bed.finished, ==, 1);
	g_assert_cmpint(router_load(bed.router), ==, 0);
	bed_close(&bed);
}

/*
 * The server of a non-idempotent request dies after a byte of the request was
 * sent. It can't be known whether the request ran, and running it twice would
 * record a calf in two places. The caller must get "unknown", and no second
 * attempt may start.
 */
static void a_non_idempotent_request_is_not_sent_twice(void)
{
	struct event_attempt_sent sent = { .attempt = 1 };
	struct effect *effect;
	struct bed bed;

	bed_open(&bed);
	bed_engine(&bed, "10.0.0.1:1", 4, 1);
	bed_engine(&bed, "10.0.0.2:1", 4, 1);
	sent.id = bed_submit(&bed, "high", false);
	effect_free(bed_effect(&bed, EFFECT_START_ATTEMPT));
	router_sent(bed.router, &sent, bed.now_us, &bed.effects);
	bed_end(&bed, sent.id, 1, RESULT_BACKEND_BROKE, true);
	effect = bed_effect(&bed, EFFECT_ANSWER);
	g_assert_nonnull(effect);
	g_assert_cmpint(effect->u.answer.run, ==, RUN_UNKNOWN);
	effect_free(effect);
	g_assert_null(bed_effect(&bed, EFFECT_START_ATTEMPT));
	bed_close(&bed);
}

static void a_failed_connection_is_tried_elsewhere(void)
{
	struct effect *effect;
	struct bed bed;
	uint64_t id;
	char *first;

	bed_open(&bed);
	bed_engine(&bed, "10.0.0.1:1", 4, 1);
	bed_engine(&bed, "10.0.0.2:1", 4, 1);
	id = bed_submit(&bed, "high", false);
	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	first = g_strdup(effect->u.start.address);
	effect_free(effect);
	bed_end(&bed, id, 1, RESULT_BACKEND_CONNECT, false);
	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpstr(effect->u.start.address, !=, first);
	effect_free(effect);
	g_free(first);
	bed_close(&bed);
}

/*
 * All slots are busy. A low-tier and then a high-tier request wait; the first
 * free slot goes to the high-tier one, whatever the order of arrival.
 */
static void the_higher_tier_is_served_first(void)
{
	struct effect *effect;
	struct bed bed;
	uint64_t running[8];
	uint64_t high;
	int n = 0;

	bed_open(&bed);
	bed_engine(&bed, "10.0.0.1:1", 1, 1);
	do {
		running[n++] = bed_submit(&bed, "high", false);
		effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
		effect_free(effect);
	} while (effect && n < 8);
	n--;
	g_assert_cmpint(n, >=, 1);
	router_caller_left(bed.router, running[n], bed.now_us, &bed.effects);
	bed_submit(&bed, "low", false);
	high = bed_submit(&bed, "high", false);
	bed_end(&bed, running[0], 1, RESULT_OK, true);
	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpuint(effect->u.start.id, ==, high);
	effect_free(effect);
	bed_close(&bed);
}

/*
 * Seven VMs use one server with four slots, and there is no allocator. A
 * seventh of four slots rounds down to none, but requests through the seventh
 * VM must be served too.
 */
static void a_small_pool_serves_every_vm(void)
{
	uint64_t members[7] = { 1, 2, 3, 4, 5, 6, 7 };
	uint64_t self;

	for (self = 1; self <= 7; self++) {
		struct effect *effect;
		struct bed bed;

		bed_open_as(&bed, self);
		router_peers(bed.router, 0, members, 7, bed.now_us);
		bed_engine(&bed, "10.0.0.1:1", 4, 1);
		bed.now_us += 2 * SECOND;
		router_tick(bed.router, bed.now_us, &bed.effects);
		bed_submit(&bed, "high", true);
		effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
		g_assert_nonnull(effect);
		effect_free(effect);
		bed_close(&bed);
	}
}

static uint64_t bed_submit_body(struct bed *bed, const char *body_hash)
{
	struct router_request request = {
		.id = ++bed->last_id,
		.organisation = "a",
		.class_name = "high",
		.model = "base",
		.body_hash = body_hash,
		.arrived_us = bed->now_us,
		.idempotent = true,
		.stream = true,
	};

	router_submit(bed->router, &request, bed->now_us, &bed->effects);
	return request.id;
}

/*
 * A request crashes its server and then a second one, and its caller resends
 * it. It must not reach a third server through any VM; the resent request is
 * answered with "not run".
 */
static void a_poison_request_is_held_on_all_vms(void)
{
	uint64_t members[2] = { 1, 2 };
	struct bytes told = { 0 };
	struct effect *effect;
	struct bed other;
	struct bed bed;
	uint64_t id;

	bed_open(&bed);
	bed_open(&other);
	router_peers(bed.router, 2, members, 2, bed.now_us);
	bed_engine(&bed, "10.0.0.1:1", 8, 1);
	bed_engine(&bed, "10.0.0.2:1", 8, 1);
	bed_engine(&bed, "10.0.0.3:1", 8, 1);
	bed_engine(&other, "10.0.0.3:1", 8, 1);
	id = bed_submit_body(&bed, "p");
	bed.now_us += SECOND / 10;
	bed_end(&bed, id, 1, RESULT_BACKEND_BROKE, true);
	effect = bed_effect(&bed, EFFECT_SEND);
	g_assert_nonnull(effect);
	router_message(other.router, 1, &effect->u.send.body, other.now_us,
		       &other.effects);
	effect_free(effect);
	bed.now_us += SECOND / 10;
	bed_end(&bed, id, 2, RESULT_BACKEND_BROKE, true);
	effect = bed_effect(&bed, EFFECT_SEND);
	g_assert_nonnull(effect);
	told = bytes_copy(&effect->u.send.body);
	effect_free(effect);
	effect = bed_effect(&bed, EFFECT_ANSWER);
	g_assert_cmpint(effect->u.answer.code, ==, RESULT_POISON);
	g_assert_cmpint(effect->u.answer.run, ==, RUN_UNKNOWN);
	effect_free(effect);
	router_message(other.router, 1, &told, other.now_us, &other.effects);
	bytes_clear(&told);
	bed_submit_body(&other, "p");
	effect = bed_effect(&other, EFFECT_ANSWER);
	g_assert_nonnull(effect);
	g_assert_cmpint(effect->u.answer.code, ==, RESULT_POISON);
	g_assert_cmpint(effect->u.answer.run, ==, RUN_NOT);
	g_assert_cmpint(effect->u.answer.retry_after_ms, >, 500000);
	effect_free(effect);
	bed_submit_body(&other, "q");
	effect = bed_effect(&other, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	effect_free(effect);
	bed_close(&bed);
	bed_close(&other);
}

/*
 * A long low-tier request holds the only slot when a caption arrives that has
 * half a second. If the long request is idempotent, it is preempted and queued
 * again, and keeps what its caller has already received; one that must not be
 * repeated continues.
 */
static void only_repeatable_work_gives_way(bool idempotent)
{
	struct class_rule rule = { .name = "high",
				   .first_token_us = SECOND / 2,
				   .deadline_us = 10 * SECOND };
	struct event_attempt_tokens tokens = { .attempt = 1,
					       .tokens = 5,
					       .first = true };
	struct effect *effect;
	struct bed bed;
	uint64_t high;

	bed_open(&bed);
	router_set_class(bed.router, &rule, bed.now_us, &bed.effects);
	bed_engine(&bed, "10.0.0.1:1", 1, 1);
	tokens.id = bed_submit(&bed, "low", idempotent);
	effect_free(bed_effect(&bed, EFFECT_START_ATTEMPT));
	router_tokens(bed.router, &tokens, bed.now_us, &bed.effects);
	high = bed_submit(&bed, "high", true);
	effect = bed_effect(&bed, EFFECT_CANCEL_ATTEMPT);
	g_assert_true(!!effect == idempotent);
	if (!effect) {
		bed_close(&bed);
		return;
	}
	g_assert_cmpuint(effect->u.cancel.id, ==, tokens.id);
	effect_free(effect);
	bed_end(&bed, tokens.id, 1, RESULT_CALLER_LEFT, true);
	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpuint(effect->u.start.id, ==, high);
	effect_free(effect);
	bed_end(&bed, high, 1, RESULT_OK, true);
	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpuint(effect->u.start.id, ==, tokens.id);
	g_assert_cmpint(effect->u.start.resume_tokens, ==, 5);
	effect_free(effect);
	bed_close(&bed);
}

static void a_caption_takes_a_long_ones_place(void)
{
	only_repeatable_work_gives_way(true);
	only_repeatable_work_gives_way(false);
}

/*
 * Low-tier and high-tier requests wait. An operator sets the low class to tier
 * 0 and gives its older request a shorter deadline, so it must be sent next.
 */
static void a_change_of_class_acts_on_what_waits(void)
{
	struct class_rule rule = { .name = "low",
				   .deadline_us = 5 * SECOND,
				   .idempotent = true };
	struct effect *effect;
	struct bed bed;
	uint64_t first;
	uint64_t low;

	bed_open(&bed);
	bed_engine(&bed, "10.0.0.1:1", 1, 1);
	first = bed_submit(&bed, "high", false);
	effect_free(bed_effect(&bed, EFFECT_START_ATTEMPT));
	low = bed_submit(&bed, "low", false);
	bed_submit(&bed, "high", false);
	router_set_class(bed.router, &rule, bed.now_us, &bed.effects);
	bed_end(&bed, first, 1, RESULT_OK, true);
	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpuint(effect->u.start.id, ==, low);
	g_assert_cmpint(effect->u.start.priority, ==, 0);
	effect_free(effect);
	bed_close(&bed);
}

/*
 * A key is withdrawn while one of its requests streams and another waits. Both
 * end at once; the waiting one is answered with "not run".
 */
static void a_withdrawn_key_ends_its_requests(void)
{
	struct router_request request = { .organisation = "a",
					  .key_id = "k1",
					  .class_name = "high",
					  .model = "base",
					  .stream = true };
	struct effect *effect;
	struct bed bed;
	int n = 0;

	bed_open(&bed);
	bed_engine(&bed, "10.0.0.1:1", 1, 1);
	for (request.id = 1; request.id <= 2; request.id++) {
		request.arrived_us = bed.now_us;
		router_submit(bed.router, &request, bed.now_us, &bed.effects);
	}
	effect_free(bed_effect(&bed, EFFECT_START_ATTEMPT));
	router_withdraw_key(bed.router, "k1", bed.now_us, &bed.effects);
	while ((effect = bed_effect(&bed, EFFECT_ANSWER))) {
		g_assert_cmpint(effect->u.answer.code, ==,
				RESULT_KEY_WITHDRAWN);
		g_assert_cmpint(effect->u.answer.run, ==,
				effect->u.answer.id == 2 ? RUN_NOT
							 : RUN_UNKNOWN);
		effect_free(effect);
		n++;
	}
	g_assert_cmpint(n, ==, 2);
	g_assert_cmpint(router_load(bed.router), ==, 0);
	bed_close(&bed);
}

/*
 * A request waits in the queue until its deadline passes. It is answered once,
 * at the deadline: the deadline has passed and the request did not run.
 */
static void an_expired_request_says_not_run(void)
{
	struct effect *effect;
	struct bed bed;
	uint64_t id;

	bed_open(&bed);
	bed_engine(&bed, "10.0.0.1:1", 1, 1);
	while ((effect = (bed_submit(&bed, "high", false),
			  bed_effect(&bed, EFFECT_START_ATTEMPT))))
		effect_free(effect);
	id = bed.last_id;
	bed.now_us += 11 * SECOND;
	router_tick(bed.router, bed.now_us, &bed.effects);
	while ((effect = bed_effect(&bed, EFFECT_ANSWER))) {
		bool is_it = effect->u.answer.id == id;

		if (is_it) {
			g_assert_cmpint(effect->u.answer.code, ==,
					RESULT_EXPIRED);
			g_assert_cmpint(effect->u.answer.run, ==, RUN_NOT);
		}
		effect_free(effect);
		if (is_it)
			break;
	}
	g_assert_nonnull(effect);
	bed_close(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/router/answered-once",
			a_request_is_sent_and_answered_once);
	g_test_add_func("/router/sent-once",
			a_non_idempotent_request_is_not_sent_twice);
	g_test_add_func("/router/elsewhere",
			a_failed_connection_is_tried_elsewhere);
	g_test_add_func("/router/tier-first", the_higher_tier_is_served_first);
	g_test_add_func("/router/small-pool", a_small_pool_serves_every_vm);
	g_test_add_func("/router/poison", a_poison_request_is_held_on_all_vms);
	g_test_add_func("/router/preempt", a_caption_takes_a_long_ones_place);
	g_test_add_func("/router/class-change",
			a_change_of_class_acts_on_what_waits);
	g_test_add_func("/router/withdrawn-key",
			a_withdrawn_key_ends_its_requests);
	g_test_add_func("/router/expired", an_expired_request_says_not_run);
	return g_test_run();
}
