#include <glib.h>

#include "bed.h"

/* Adds a class whose streams may pause for at most `pause_us`. */
static void pace_class(struct bed *bed, const char *name, int64_t pause_us)
{
	struct class_rule rule = {
		.deadline_us = 10 * SECOND,
		.first_token_us = SECOND,
		.pause_us = pause_us,
		.idempotent = true,
	};

	g_strlcpy(rule.name, name, sizeof(rule.name));
	router_set_class(bed->router, &rule, bed->now_us, &bed->effects);
}

static void pieces_come(struct bed *bed, uint64_t id, int64_t every_us, int n,
			int64_t so_far)
{
	int i;

	for (i = 1; i <= n; i++) {
		struct event_attempt_tokens tokens = { id, 1, so_far + i,
						       so_far + i == 1 };

		bed->now_us += every_us;
		router_tokens(bed->router, &tokens, bed->now_us, &bed->effects);
	}
}

/*
 * A stream of cues has a chunk every 20 ms, stops for a second while the engine
 * reads two long prompts, and continues. The mean interval is well within the
 * target, so the daemon counted the stream as on time, and the servers that
 * were missing were never ordered. The longest pause must count.
 */
static void a_stream_that_stood_still_has_missed(void)
{
	struct bed bed;
	uint64_t id;

	bed_open(&bed);
	pace_class(&bed, "cue", SECOND / 4);
	bed_engine(&bed, "10.0.0.1:1", 8, 1);
	id = bed_submit(&bed, "cue", true);
	pieces_come(&bed, id, SECOND / 50, 40, 0);
	pieces_come(&bed, id, SECOND, 1, 40);
	pieces_come(&bed, id, SECOND / 50, 40, 41);
	bed_end(&bed, id, 1, RESULT_OK, true);
	g_assert_cmpint(bed.last.code, ==, RESULT_OK);
	g_assert_cmpint(bed.last.pause_us, ==, SECOND);
	g_assert_false(bed.last.attained);

	id = bed_submit(&bed, "cue", true);
	pieces_come(&bed, id, SECOND / 5, 10, 0);
	bed_end(&bed, id, 1, RESULT_OK, true);
	g_assert_cmpint(bed.last.pause_us, ==, SECOND / 5);
	g_assert_true(bed.last.attained);
	bed_close(&bed);
}

/*
 * Submits a request with the given prompt length and a deadline in six seconds.
 */
static uint64_t ask(struct bed *bed, const char *class_name, int64_t prompt)
{
	struct router_request request = {
		.id = ++bed->last_id,
		.organisation = "a",
		.class_name = class_name,
		.model = "base",
		.prompt_tokens = prompt,
		.arrived_us = bed->now_us,
		.deadline_us = bed->now_us + 6 * SECOND,
		.idempotent = true,
		.stream = true,
	};

	router_submit(bed->router, &request, bed->now_us, &bed->effects);
	return request.id;
}

/*
 * Runs `n` requests of a class one after the other and renews the lease of the
 * server each time.
 */
static void serve(struct bed *bed, const char *class_name, int64_t prompt,
		  int64_t takes_us, int n)
{
	while (n--) {
		uint64_t id;

		bed_engine(bed, "10.0.0.1:1", 8, bed->now_us);
		id = ask(bed, class_name, prompt);
		bed->now_us += takes_us;
		bed_end(bed, id, 1, RESULT_OK, true);
	}
	bed_engine(bed, "10.0.0.1:1", 8, bed->now_us);
}

/*
 * Cues with 700 prompt tokens take two seconds because of their long answers;
 * scores with 9,000 take half a second. With one time per token for both, a
 * score was estimated at far more than the 6 s it had, and was refused while
 * servers were idle.
 */
static void a_long_prompt_is_judged_by_its_own_kind(void)
{
	struct bed bed;

	bed_open(&bed);
	serve(&bed, "low", 9000, SECOND / 2, 1);
	serve(&bed, "high", 700, 2 * SECOND, 32);
	g_assert_true(bed_was_sent(&bed, ask(&bed, "low", 9000)));
	bed_close(&bed);
}

/*
 * During an overload scores took seven seconds each, so those with a deadline
 * of six seconds were refused. After the overload no score was sent any more,
 * so the estimate never changed and half of all scores were refused for a
 * minute.
 */
static void a_refused_kind_is_tried_again(void)
{
	struct bed bed;

	bed_open(&bed);
	serve(&bed, "high", 700, SECOND / 10, 8);
	serve(&bed, "low", 9000, 7 * SECOND, 1);
	g_assert_false(bed_was_sent(&bed, ask(&bed, "low", 9000)));
	serve(&bed, "high", 700, SECOND / 10, 20);
	g_assert_true(bed_was_sent(&bed, ask(&bed, "low", 9000)));
	bed_close(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pace/stood-still",
			a_stream_that_stood_still_has_missed);
	g_test_add_func("/pace/own-kind",
			a_long_prompt_is_judged_by_its_own_kind);
	g_test_add_func("/pace/tried-again", a_refused_kind_is_tried_again);
	return g_test_run();
}
