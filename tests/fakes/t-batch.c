#include <glib.h>
#include <string.h>

#include "fakes/batch.h"

/*
 * Steps of whole seconds, so that reading the clock between two looks makes
 * no difference; no time passes, since each step is fired by hand.
 */
#define SECOND_US INT64_C(1000000)

static const struct batch_limits limits = {
	.slots = 4,
	.prefill_rate = 16,
	.decode_rate = 0.4,
	.kv_tokens = 4000,
};

struct told {
	int64_t tokens;
	int64_t finished;
};

/* The sequence is the first member of what the calls get at. */
struct case_sequence {
	struct sequence sequence;
	struct told told;
};

static void case_started(struct sequence *sequence)
{
}

static void case_token(struct sequence *sequence)
{
	((struct case_sequence *)sequence)->told.tokens++;
}

static void case_finished(struct sequence *sequence)
{
	((struct case_sequence *)sequence)->told.finished++;
}

static const struct sequence_calls calls = { case_started, case_token,
					     case_finished };

static void case_changed(void *data, uint64_t prefix_hash, bool held)
{
	int *held_now = data;

	*held_now += held ? 1 : -1;
}

struct fixture {
	struct loop loop;
	struct batch batch;
	double slow;
	int held;
	struct case_sequence sequences[8];
};

static void fixture_init(struct fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->slow = 1;
	g_assert_true(loop_init(&fixture->loop));
	batch_init(&fixture->batch, &fixture->loop, &limits, &fixture->slow,
		   case_changed, &fixture->held);
}

static void fixture_clear(struct fixture *fixture)
{
	batch_clear(&fixture->batch);
	loop_clear(&fixture->loop);
}

static struct case_sequence *add(struct fixture *fixture, int at,
				 int64_t priority, int64_t prompt_tokens)
{
	struct case_sequence *added = &fixture->sequences[at];

	list_init(&added->sequence.node);
	added->sequence.calls = &calls;
	added->sequence.priority = priority;
	added->sequence.prompt_tokens = prompt_tokens;
	added->sequence.prefix_tokens = prompt_tokens;
	added->sequence.prefix_hash = (uint64_t)at + 1;
	added->sequence.length = 100;
	batch_add(&fixture->batch, &added->sequence);
	return added;
}

static int64_t step_s(const struct fixture *fixture)
{
	int64_t left_us = fixture->batch.timer.at_us - loop_now_us();

	return (left_us + SECOND_US / 2) / SECOND_US;
}

static void step(struct fixture *fixture)
{
	loop_timer_cancel(&fixture->batch.timer);
	fixture->batch.timer.fire(fixture->batch.timer.data);
}

static void a_full_batch_slows_the_token_rate(void)
{
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	add(&fixture, 0, 0, 16);
	step(&fixture);
	/* A full step takes 4 / 0.4 = 10 s, a lone sequence's 6.25 s. */
	g_assert_cmpint(step_s(&fixture), ==, 6);
	for (i = 1; i < 4; i++)
		add(&fixture, i, 0, 16);
	step(&fixture);
	step(&fixture);
	g_assert_cmpint(step_s(&fixture), ==, 10);
	g_assert_cmpint(fixture.sequences[0].told.tokens, ==, 3);
	g_assert_cmpint(fixture.sequences[3].told.tokens, ==, 1);
	fixture.slow = 3;
	step(&fixture);
	g_assert_cmpint(step_s(&fixture), ==, 30);
	fixture_clear(&fixture);
}

static void a_long_prompt_is_prefilled_in_chunks(void)
{
	struct fixture fixture;
	struct case_sequence *added;

	fixture_init(&fixture);
	added = add(&fixture, 0, 0, 1536);
	g_assert_cmpint(step_s(&fixture), ==, 32);
	step(&fixture);
	step(&fixture);
	g_assert_cmpint(added->told.tokens, ==, 0);
	step(&fixture);
	g_assert_cmpint(added->told.tokens, ==, 1);
	fixture_clear(&fixture);
}

static void a_higher_tier_is_admitted_first(void)
{
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	for (i = 0; i < 6; i++)
		add(&fixture, i, i == 5 ? 0 : 1, 16);
	g_assert_cmpint(fixture.batch.n_waiting, ==, 5);
	step(&fixture);
	g_assert_true(fixture.sequences[5].sequence.running);
	g_assert_true(fixture.sequences[2].sequence.running);
	g_assert_false(fixture.sequences[3].sequence.running);
	fixture_clear(&fixture);
}

static void memory_bounds_the_batch_and_the_cache(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	/* 1900 and 100 tokens each: two fill the memory, a third waits. */
	add(&fixture, 0, 0, 1900);
	add(&fixture, 1, 0, 1900);
	add(&fixture, 2, 0, 1900);
	step(&fixture);
	g_assert_cmpint(fixture.batch.n_running, ==, 2);
	g_assert_cmpint(fixture.batch.n_waiting, ==, 1);
	step(&fixture);
	step(&fixture);
	step(&fixture);
	g_assert_cmpint(batch_kv_used(&fixture.batch), <=, limits.kv_tokens);
	batch_remove(&fixture.batch, &fixture.sequences[1].sequence);
	batch_remove(&fixture.batch, &fixture.sequences[2].sequence);
	step(&fixture);
	g_assert_cmpint(fixture.held, ==, 1);
	g_assert_cmpint(fixture.batch.kv_reserved, ==, 2000);
	fixture_clear(&fixture);
}

static void a_held_prefix_spares_the_prefill(void)
{
	struct fixture fixture;
	struct case_sequence *again;

	fixture_init(&fixture);
	add(&fixture, 0, 0, 480)->sequence.length = 1;
	step(&fixture);
	g_assert_cmpint(fixture.sequences[0].told.finished, ==, 1);
	again = &fixture.sequences[1];
	again->sequence = fixture.sequences[0].sequence;
	list_init(&again->sequence.node);
	again->sequence.running = false;
	again->sequence.done = 0;
	batch_add(&fixture.batch, &again->sequence);
	g_assert_true(again->sequence.cached);
	g_assert_cmpint(step_s(&fixture), ==, 6);
	fixture_clear(&fixture);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/batch/rate", a_full_batch_slows_the_token_rate);
	g_test_add_func("/batch/prefill", a_long_prompt_is_prefilled_in_chunks);
	g_test_add_func("/batch/priority", a_higher_tier_is_admitted_first);
	g_test_add_func("/batch/memory", memory_bounds_the_batch_and_the_cache);
	g_test_add_func("/batch/cache", a_held_prefix_spares_the_prefill);
	return g_test_run();
}
