#include <glib.h>
#include <string.h>

#include "fleet/weight.h"
#include "servers.h"

/* Runs one tick; returns the addresses that were called, in order. */
static char *tick(struct weights *weights, int limit, int64_t now_us)
{
	GString *calls = g_string_new("");
	struct effects effects;
	struct effect *effect;

	effects_init(&effects);
	weights_tick(weights, limit, 4, INT64_MAX, now_us, &effects);
	while ((effect = effects_take(&effects))) {
		g_string_append_printf(calls, "%s ",
				       effect->u.engine_order.address);
		effect_free(effect);
	}
	return g_string_free(calls, FALSE);
}

static void check_tick(struct weights *weights, int limit, int64_t now_us,
		       const char *expected)
{
	char *calls = tick(weights, limit, now_us);

	g_assert_cmpstr(calls, ==, expected);
	g_free(calls);
}

static void answer(struct weights *weights, const char *order_id,
		   const char *state)
{
	struct event_platform event = { .order_id = (char *)order_id };

	bytes_append_format(&event.body, "{\"state\": \"%s\"}", state);
	g_assert_true(weights_answer(weights, &event, SECOND_US));
	bytes_clear(&event.body);
}

/*
 * A zone has failed, and five engines are to load weights from a store that
 * serves two at a time. The load that tier 0 waits for must be first, though it
 * was requested last, and at most two loads may run.
 */
static void urgent_loads_come_first_and_few_at_a_time(void)
{
	struct weights *weights = weights_new();
	struct weight_order order = { .verb = WEIGHT_LOAD_MODEL, .name = "m" };

	order.urgency = 3;
	order.address = "a";
	weights_add(weights, &order, 0);
	order.address = "b";
	weights_add(weights, &order, 0);
	order.address = "c";
	weights_add(weights, &order, 0);
	order.urgency = 0;
	order.address = "z";
	weights_add(weights, &order, 0);
	order.verb = WEIGHT_SET_ROLE;
	order.address = "r";
	order.urgency = 3;
	weights_add(weights, &order, 0);
	check_tick(weights, 2, 0, "z a r ");
	check_tick(weights, 2, SECOND_US, "");
	answer(weights, "w-z-load-model-m-0", "running");
	answer(weights, "w-a-load-model-m-0", "done");
	check_tick(weights, 2, SECOND_US, "b ");
	g_assert_cmpint(weights_waiting(weights), ==, 1);
	weights_forget(weights, "b");
	check_tick(weights, 2, 2 * SECOND_US, "r c ");
	weights_free(weights);
}

/* The lease ends before the call would: it must not be sent after a pause. */
static void no_call_outlives_the_lease(void)
{
	struct weights *weights = weights_new();
	struct weight_order order = { .verb = WEIGHT_LOAD_MODEL,
				      .name = "m",
				      .address = "a" };
	struct effects effects;

	effects_init(&effects);
	weights_add(weights, &order, 0);
	weights_add(weights, &order, 0);
	weights_tick(weights, 2, 4, SECOND_US - 1, 0, &effects);
	g_assert_null(effects_take(&effects));
	g_assert_cmpint(weights_waiting(weights), ==, 1);
	weights_free(weights);
}

/* A load hangs: after ten minutes another engine gets its slot. */
static void hung_load_gives_its_place_up(void)
{
	struct weights *weights = weights_new();
	struct weight_order order = { .verb = WEIGHT_LOAD_MODEL, .name = "m" };
	int64_t now_us;

	order.address = "hung";
	weights_add(weights, &order, 0);
	order.address = "next";
	weights_add(weights, &order, 0);
	for (now_us = 0; now_us < WEIGHT_LOAD_LIMIT_US; now_us += SECOND_US) {
		char *calls = tick(weights, 1, now_us);

		g_assert_null(strstr(calls, "next"));
		g_free(calls);
	}
	check_tick(weights, 1, now_us, "");
	check_tick(weights, 1, now_us + SECOND_US, "next ");
	weights_free(weights);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/weight/urgency",
			urgent_loads_come_first_and_few_at_a_time);
	g_test_add_func("/weight/lease", no_call_outlives_the_lease);
	g_test_add_func("/weight/hung", hung_load_gives_its_place_up);
	return g_test_run();
}
