#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "bench/sim.h"

/*
 * Tests what callers receive from the router's decisions in the bench's
 * simulation of engines. Each bound is a little below the measured value; runs
 * with the same seed are identical.
 */
static void load_scenario(struct scenario *scenario, const char *name)
{
	const char *root = g_getenv("SOURCE_ROOT");
	char *path = g_strdup_printf("%s/bench/scenarios/%s.yaml",
				     root ? root : ".", name);

	g_assert_cmpint(scenario_load(scenario, path, NULL), ==, RESULT_OK);
	g_free(path);
}

static void run(const char *name, const char *policy_name, uint64_t seed,
		struct scenario *scenario, struct measure *measure)
{
	struct policy policy;
	struct sim_options options = { scenario, &policy, seed };

	load_scenario(scenario, name);
	g_assert_true(policy_find(policy_name, &policy));
	sim_run(&options, measure);
}

static double attained(const struct measure *measure, const char *class_name)
{
	int i = scenario_class_index(measure->scenario, class_name);

	return (double)measure->classes[i].attained /
	       (double)measure->classes[i].offered;
}

static void done(struct scenario *scenario, struct measure *measure)
{
	measure_clear(measure);
	scenario_clear(scenario);
}

static void no_promise_broken(const struct measure *measure)
{
	g_assert_cmpint(measure->unanswered, ==, 0);
	g_assert_cmpint(measure->answers_again, ==, 0);
	g_assert_cmpint(measure->false_not_run, ==, 0);
	g_assert_cmpint(measure->run_twice, ==, 0);
	g_assert_cmpint(measure->starved, ==, 0);
	g_assert_cmpint(measure->shed_over_lower, ==, 0);
}

/*
 * Captions arrive at six times their usual rate while long requests fill the
 * pool. Without tiers every caption waits for critiques to end; with tiers the
 * long requests wait.
 */
static void a_burst_is_served_in_time(void)
{
	struct scenario scenario;
	struct measure measure;

	run("burst", "full", 1, &scenario, &measure);
	g_assert_cmpfloat(attained(&measure, "caption"), >, 0.98);
	g_assert_cmpfloat(attained(&measure, "critique"), >, 0.85);
	g_assert_cmpfloat(measure_wasted_share(&measure), <, 0.02);
	no_promise_broken(&measure);
	done(&scenario, &measure);
	run("burst", "no-tiers", 1, &scenario, &measure);
	g_assert_cmpfloat(attained(&measure, "caption"), <, 0.9);
	done(&scenario, &measure);
}

/*
 * One organisation sends twenty times as many requests as each of three others.
 * With first-come, first-served the three get a twentieth each; they must get
 * all they request, and the first organisation the rest.
 */
static void a_hot_caller_harms_only_itself(void)
{
	struct scenario scenario;
	struct measure measure;
	int i;

	run("hot-caller", "full", 1, &scenario, &measure);
	for (i = 1; i < 4; i++)
		g_assert_cmpfloat(
			(double)measure.organisations[i].attained, >,
			0.9 * (double)measure.organisations[i].offered);
	no_promise_broken(&measure);
	done(&scenario, &measure);
	run("hot-caller", "no-fairness", 1, &scenario, &measure);
	g_assert_cmpfloat((double)measure.organisations[1].attained, <,
			  0.6 * (double)measure.organisations[1].offered);
	done(&scenario, &measure);
}

/*
 * One engine of twelve becomes slow while its own reports show it as idle.
 * Without detection a twelfth of all requests would be late for as long as it
 * is slow.
 */
static void a_slow_server_costs_little(void)
{
	const char *names[] = { "caption", "summary", "critique", "batch" };
	struct scenario scenario;
	struct measure measure;
	double with[4];
	int i;

	run("slow-server", "full", 1, &scenario, &measure);
	for (i = 0; i < 4; i++)
		with[i] = attained(&measure, names[i]);
	no_promise_broken(&measure);
	done(&scenario, &measure);
	run("no-slow-server", "full", 1, &scenario, &measure);
	for (i = 0; i < 4; i++)
		g_assert_cmpfloat(with[i], >,
				  attained(&measure, names[i]) - 0.03);
	done(&scenario, &measure);
}

/*
 * Essays that take a minute each exceed the capacity of the pool for a while.
 * Notes that take two seconds, of the same tier, must not wait until essays
 * end.
 */
static void short_work_gets_by_long_work(void)
{
	struct scenario scenario;
	struct measure measure;

	run("long-short", "full", 1, &scenario, &measure);
	g_assert_cmpfloat(attained(&measure, "note"), >, 0.9);
	no_promise_broken(&measure);
	done(&scenario, &measure);
	run("long-short", "least-outstanding", 1, &scenario, &measure);
	g_assert_cmpfloat(attained(&measure, "note"), <, 0.8);
	done(&scenario, &measure);
}

/*
 * The load is five times the capacity of the pool for two minutes. Answers
 * after the deadline are useless: goodput must stay at its full-load level, and
 * the top tier, which fits within the capacity, must not be affected.
 */
static void overload_does_not_collapse(void)
{
	struct scenario scenario;
	struct measure measure;
	double goodput;

	run("overload-1x", "full", 1, &scenario, &measure);
	goodput = measure_goodput(&measure);
	no_promise_broken(&measure);
	done(&scenario, &measure);
	run("overload-5x", "full", 1, &scenario, &measure);
	g_assert_cmpfloat(measure_goodput(&measure), >, 0.95 * goodput);
	g_assert_cmpfloat(attained(&measure, "caption"), >, 0.99);
	g_assert_cmpfloat(measure_gap(&measure), <, 0.1);
	g_assert_cmpfloat(measure_wasted_share(&measure), <, 0.02);
	no_promise_broken(&measure);
	done(&scenario, &measure);
}

/*
 * A request crashes its engine and then a second one, and its caller resends it
 * again and again. It may crash two engines, but no third.
 */
static void a_poison_request_takes_two_servers_at_most(void)
{
	struct scenario scenario;
	struct measure measure;
	uint64_t seed;

	for (seed = 1; seed <= 3; seed++) {
		run("poison", "full", seed, &scenario, &measure);
		g_assert_cmpint(measure.poison_crashes, <=, 2);
		g_assert_cmpfloat(attained(&measure, "caption"), >, 0.98);
		no_promise_broken(&measure);
		done(&scenario, &measure);
	}
	run("poison", "no-poison", 1, &scenario, &measure);
	g_assert_cmpint(measure.poison_crashes, >, 4);
	done(&scenario, &measure);
}

/*
 * Injects faults while some requests must not be sent twice, with several
 * seeds.
 */
static void promises_hold_whatever_fails(void)
{
	const char *names[] = { "cooperative", "crash", "silent", "reclaim" };
	struct scenario scenario;
	struct measure measure;
	uint64_t seed;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++)
		for (seed = 1; seed <= 3; seed++) {
			run(names[i], "full", seed, &scenario, &measure);
			no_promise_broken(&measure);
			done(&scenario, &measure);
		}
}

/*
 * An organisation has a limit of 300 requests per minute, and its callers send
 * 2,400 through seven randomly chosen VMs. It must get 300, neither seven times
 * as many nor only a fraction.
 */
static void limits_hold_over_all_routers(void)
{
	struct scenario_servers servers = { .count = 4,
					    .model = "base",
					    .zone = "z1",
					    .slots = 32,
					    .prefill_tokens_per_s = 20000,
					    .decode_tokens_per_s = 1600,
					    .kv_tokens = 400000 };
	struct scenario_class class = { .name = "c",
					.deadline_s = 30,
					.idempotent = true };
	struct scenario_organisation organisation = { .name = "a",
						      .requests_per_min = 300,
						      .burst_s = 10 };
	struct scenario_traffic traffic = { .organisation = "a",
					    .class_name = "c",
					    .model = "base",
					    .until_s = 120,
					    .rate_per_s = 40,
					    .prompt_tokens = { 200, 0.5 },
					    .output_tokens = { 50, 0.5 },
					    .patience_s = 30 };
	struct scenario scenario = { .name = "limits",
				     .duration_s = 120,
				     .routers = 7,
				     .servers = &servers,
				     .classes = &class,
				     .organisations = &organisation,
				     .traffic = &traffic,
				     .n_servers = 1,
				     .n_classes = 1,
				     .n_organisations = 1,
				     .n_traffic = 1 };
	struct policy policy;
	struct measure measure;
	struct sim_options options = { &scenario, &policy, 1 };

	g_assert_true(policy_find("full", &policy));
	sim_run(&options, &measure);
	g_assert_cmpint(measure.classes[0].served, >, 580);
	g_assert_cmpint(measure.classes[0].served, <, 680);
	no_promise_broken(&measure);
	measure_clear(&measure);
}

/*
 * The same seed must give the same run; otherwise measured values couldn't be
 * reproduced.
 */
static void a_run_repeats_itself(void)
{
	struct scenario scenario;
	struct measure measure;
	double goodput;

	run("crash", "full", 4, &scenario, &measure);
	goodput = measure_goodput(&measure);
	done(&scenario, &measure);
	run("crash", "full", 4, &scenario, &measure);
	g_assert_cmpfloat(measure_goodput(&measure), ==, goodput);
	done(&scenario, &measure);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/policy/burst", a_burst_is_served_in_time);
	g_test_add_func("/policy/hot-caller", a_hot_caller_harms_only_itself);
	g_test_add_func("/policy/slow-server", a_slow_server_costs_little);
	g_test_add_func("/policy/long-short", short_work_gets_by_long_work);
	g_test_add_func("/policy/overload", overload_does_not_collapse);
	g_test_add_func("/policy/poison",
			a_poison_request_takes_two_servers_at_most);
	g_test_add_func("/policy/promises", promises_hold_whatever_fails);
	g_test_add_func("/policy/limits", limits_hold_over_all_routers);
	g_test_add_func("/policy/repeats", a_run_repeats_itself);
	return g_test_run();
}
