#include <glib.h>

#include "bed.h"

/* A class whose stream may rest for a quarter of a second. */
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
 * A singer's cue marks come every 20 ms, stand still for a second while an
 * engine reads two long prompts, and go on. The mean between pieces is well
 * within the goal, so the daemon counted the stream as good, and the group
 * that orders servers never heard that some were missing.
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

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/pace/stood-still",
			a_stream_that_stood_still_has_missed);
	return g_test_run();
}
