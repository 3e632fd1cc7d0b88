#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "bench/report.h"
#include "bench/sim.h"

#define POLICIES_MOST 32

struct arguments {
	const char *words[2]; /* command and file */
	int n_words;
	const char *policies[POLICIES_MOST];
	int n_policies;
	const char *plot;
	bool has_seed;
	uint64_t seed;
	bool json;
};

static const struct argp_option options[] = {
	{ "seed", 's', "N", 0, "seed in place of the scenario's", 0 },
	{ "policy", 'p', "NAME", 0, "policy to run; may be repeated", 0 },
	{ "json", 'j', NULL, 0, "one JSON object a line", 0 },
	{ "plot", 'o', "FILE.svg", 0, "draw goodput over time", 0 },
	{ 0 },
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct arguments *arguments = state->input;
	char *end;

	switch (key) {
	case 's':
		arguments->seed = strtoull(arg, &end, 10);
		if (end == arg || *end)
			argp_error(state, "--seed needs a number");
		arguments->has_seed = true;
		return 0;
	case 'p':
		if (arguments->n_policies == POLICIES_MOST)
			argp_error(state, "too many policies");
		arguments->policies[arguments->n_policies++] = arg;
		return 0;
	case 'j':
		arguments->json = true;
		return 0;
	case 'o':
		arguments->plot = arg;
		return 0;
	case ARGP_KEY_ARG:
		if (arguments->n_words == 2)
			argp_usage(state);
		arguments->words[arguments->n_words++] = arg;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static const struct argp argp = {
	.options = options,
	.parser = parse_option,
	.args_doc = "run FILE.yaml\nlist",
	.doc = "Runs the router's decisions before a queueing model of "
	       "engines and measures what callers receive.",
};

static void print_error(void *data, enum result code, const char *message)
{
	(void)data;
	(void)code;
	fprintf(stderr, "policy-bench: %s\n", message);
}

static int list_policies(void)
{
	struct policy policy;
	int i;

	for (i = 0; policy_at(i, &policy); i++)
		printf("%-20s %s\n", policy.name, policy.about);
	return 0;
}

static struct report_curve curve_of(const struct measure *measure,
				    const struct policy *policy)
{
	size_t size = (size_t)measure->n_seconds * sizeof(double);
	struct report_curve curve = {
		.name = policy->name,
		.values = xcalloc(1, size),
		.n = measure->n_seconds,
	};

	memcpy(curve.values, measure->goodput_by_s, size);
	return curve;
}

static int run_policy(const struct arguments *arguments,
		      const struct scenario *scenario, const char *name,
		      struct report_curve *curve)
{
	struct policy policy;
	struct measure measure;
	struct sim_options sim = { scenario, &policy, 0 };

	if (!policy_find(name, &policy)) {
		fprintf(stderr, "policy-bench: no policy '%s'\n", name);
		return 2;
	}
	sim.seed = arguments->has_seed ? arguments->seed
				       : (uint64_t)scenario->seed;
	sim_run(&sim, &measure);
	if (arguments->json)
		report_json(stdout, &measure, &policy, sim.seed);
	else
		report_text(stdout, &measure, &policy, sim.seed);
	fflush(stdout);
	*curve = curve_of(&measure, &policy);
	curve->name = name;
	measure_clear(&measure);
	return 0;
}

static int run_scenario(struct arguments *arguments)
{
	struct error_handler handler = { print_error, NULL };
	struct report_curve curves[POLICIES_MOST] = { 0 };
	struct scenario scenario;
	int status = 0;
	int n = 0;
	int i;

	if (scenario_load(&scenario, arguments->words[1], &handler))
		return 2;
	if (!arguments->n_policies)
		arguments->policies[arguments->n_policies++] = "full";
	for (i = 0; !status && i < arguments->n_policies; i++) {
		status = run_policy(arguments, &scenario,
				    arguments->policies[i], &curves[i]);
		n += !status;
	}
	if (!status && arguments->plot &&
	    !report_plot(arguments->plot, scenario.name, curves, n)) {
		fprintf(stderr, "policy-bench: can't write %s\n",
			arguments->plot);
		status = 1;
	}
	for (i = 0; i < n; i++)
		free(curves[i].values);
	scenario_clear(&scenario);
	return status;
}

int main(int argc, char **argv)
{
	struct arguments arguments = { 0 };

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	if (arguments.n_words == 1 && !strcmp(arguments.words[0], "list"))
		return list_policies();
	if (arguments.n_words == 2 && !strcmp(arguments.words[0], "run"))
		return run_scenario(&arguments);
	argp_help(&argp, stderr, ARGP_HELP_USAGE, argv[0]);
	return 2;
}
