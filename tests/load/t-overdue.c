#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "bed.h"

#define SERVERS 4
#define STEP_US INT64_C(10000)
#define DEADLINE_US (4 * SECOND)

/* How a load was played, and what its callers got. */
struct play {
	struct bed bed;
	struct rng rng;
	GArray *running;  /* struct answer */
	int64_t first_us; /* until the first event of an answer */
	double lost;	  /* part of the answers that never come */
	int asked;
	int served;
	int sent;
	int64_t slowest_us; /* of those served */
};

/* An attempt whose answer is on its way. */
struct answer {
	uint64_t id;
	int64_t attempt;
	int64_t at_us;
};

static void start(struct play *play, bool lost_answers, double lost)
{
	static const char *const addresses[SERVERS] = {
		"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1", "10.0.0.4:1"
	};
	struct retry_limit limit = { 0.2, 50, 10 * SECOND, 1, false };
	int i;

	memset(play, 0, sizeof(*play));
	bed_open_with(&play->bed, lost_answers);
	router_limit_retries(play->bed.router, &limit);
	bed_class(&play->bed, "check", 0);
	for (i = 0; i < SERVERS; i++) {
		bed_engine(&play->bed, (char *)addresses[i], 64, 1);
		fleet_find(&play->bed.fleet, addresses[i])->lease_end_us =
			INT64_MAX;
	}
	play->rng.state = 3;
	play->running = g_array_new(false, false, sizeof(struct answer));
	play->first_us = SECOND / 10;
	play->lost = lost;
}

static void end(struct play *play)
{
	g_array_free(play->running, true);
	bed_close(&play->bed);
}

static void drop(struct play *play, uint64_t id, int64_t attempt)
{
	guint i;

	for (i = 0; i < play->running->len; i++) {
		struct answer *answer =
			&g_array_index(play->running, struct answer, i);

		if (answer->id != id || answer->attempt != attempt)
			continue;
		g_array_remove_index_fast(play->running, i);
		return;
	}
}

static void take_effects(struct play *play)
{
	struct bed *bed = &play->bed;
	struct effect *effect;

	while ((effect = effects_take(&bed->effects))) {
		if (effect->kind == EFFECT_START_ATTEMPT) {
			bool lost = rng_unit(&play->rng) < play->lost;
			struct answer answer = {
				effect->u.start.id, effect->u.start.attempt,
				lost ? INT64_MAX : bed->now_us + play->first_us
			};

			g_array_append_val(play->running, answer);
			play->sent++;
		} else if (effect->kind == EFFECT_CANCEL_ATTEMPT) {
			drop(play, effect->u.cancel.id,
			     effect->u.cancel.attempt);
			bed_end(bed, effect->u.cancel.id,
				effect->u.cancel.attempt,
				RESULT_BACKEND_TIMEOUT, true);
		} else if (effect->kind == EFFECT_ANSWER) {
			play->served += effect->u.answer.code == RESULT_OK;
		}
		effect_free(effect);
	}
}

static void deliver(struct play *play)
{
	guint i = 0;

	while (i < play->running->len) {
		struct answer answer =
			g_array_index(play->running, struct answer, i);
		struct event_attempt_tokens tokens = { .id = answer.id,
						       .attempt =
							       answer.attempt,
						       .tokens = 1,
						       .first = true };

		if (answer.at_us > play->bed.now_us) {
			i++;
			continue;
		}
		g_array_remove_index_fast(play->running, i);
		router_tokens(play->bed.router, &tokens, play->bed.now_us,
			      &play->bed.effects);
		bed_end(&play->bed, answer.id, answer.attempt, RESULT_OK, true);
		take_effects(play);
	}
}

static void ask(struct play *play, bool repeatable)
{
	struct bed *bed = &play->bed;
	struct router_request request = { .id = ++bed->last_id,
					  .organisation = "yards",
					  .class_name = "check",
					  .model = "base",
					  .arrived_us = bed->now_us,
					  .deadline_us =
						  bed->now_us + DEADLINE_US,
					  .idempotent = repeatable,
					  .stream = true,
					  .max_attempts = 2 };

	play->asked++;
	router_submit(bed->router, &request, bed->now_us, &bed->effects);
	take_effects(play);
}

/* 20 requests a second for 20 s, and the time for the last ones to end. */
static void run(struct play *play, bool repeatable)
{
	int64_t until_us = play->bed.now_us + 20 * SECOND;

	while (play->bed.now_us < until_us + DEADLINE_US) {
		play->bed.now_us += STEP_US;
		if (play->bed.now_us < until_us &&
		    rng_unit(&play->rng) < 20.0 * (double)STEP_US / 1e6)
			ask(play, repeatable);
		deliver(play);
		router_tick(play->bed.router, play->bed.now_us,
			    &play->bed.effects);
		take_effects(play);
	}
}

/* A tenth of the answers is lost: those callers wait and get nothing. */
static void test_lost(void)
{
	struct play play;

	start(&play, true, 0.1);
	run(&play, true);
	g_assert_cmpint(play.served, >, play.asked * 97 / 100);
	g_assert_cmpint(play.sent, <, play.asked * 115 / 100);
	end(&play);
}

/* The same with the mechanism off, so that the test above can fail. */
static void test_lost_waits(void)
{
	struct play play;

	start(&play, false, 0.1);
	run(&play, true);
	g_assert_cmpint(play.served, <, play.asked * 93 / 100);
	end(&play);
}

/* What may run once isn't sent again, whatever became of it. */
static void test_once(void)
{
	struct play play;

	start(&play, true, 0.1);
	run(&play, false);
	g_assert_cmpint(play.sent, ==, play.asked);
	end(&play);
}

/* All first events take seconds: sending again would double the load. */
static void test_slow_pool(void)
{
	struct play play;

	start(&play, true, 0);
	play.first_us = 2 * SECOND;
	run(&play, true);
	g_assert_cmpint(play.served, ==, play.asked);
	g_assert_cmpint(play.sent, <, play.asked * 130 / 100);
	end(&play);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/overdue/lost", test_lost);
	g_test_add_func("/overdue/lost-waits", test_lost_waits);
	g_test_add_func("/overdue/once", test_once);
	g_test_add_func("/overdue/slow-pool", test_slow_pool);
	return g_test_run();
}
