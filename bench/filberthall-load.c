#include <argp.h>
#include <stdlib.h>

#include "bench/load.h"
#include "fakes/options.h"

/** filberthall-load: sends load and judges the answers. */

enum flag_key {
	FLAG_TARGET = OPTIONS_OWN_KEY,
	FLAG_RATE,
	FLAG_SECONDS,
	FLAG_WARM_UP,
	FLAG_REQUESTS,
	FLAG_STREAMS,
	FLAG_TIMEOUT,
	FLAG_SEED,
	FLAG_JSON,
	FLAG_QUIET,
};

/** Most --target flags that are taken. */
#define TARGETS_MOST 512

static const struct argp_option flags[] = {
	{ "target", FLAG_TARGET, "IP:PORT", 0,
	  "send there (repeatable: in turn)", 0 },
	{ "rate", FLAG_RATE, "FACTOR", 0, "factor on all rates (1)", 0 },
	{ "seconds", FLAG_SECONDS, "S", 0, "send for so long", 0 },
	{ "warm-up", FLAG_WARM_UP, "S", 0, "seconds at first that don't count",
	  0 },
	{ "requests", FLAG_REQUESTS, "N", 0, "send so many", 0 },
	{ "streams", FLAG_STREAMS, "N", 0,
	  "closed loop: keep so many requests open", 0 },
	{ "timeout-ms", FLAG_TIMEOUT, "N", 0, "for an answer (60000)", 0 },
	{ "seed", FLAG_SEED, "N", 0, "of all random draws (1)", 0 },
	{ "json", FLAG_JSON, NULL, 0, "print JSON", 0 },
	{ "quiet", FLAG_QUIET, NULL, 0, "show no progress", 0 },
	{ 0 },
};

static error_t parse_rest(int key, char *text, struct argp_state *state)
{
	struct load_options *options = state->input;

	switch (key) {
	case FLAG_REQUESTS:
		options->requests = options_int(text, state);
		break;
	case FLAG_STREAMS:
		options->streams = options_int(text, state);
		break;
	case FLAG_TIMEOUT:
		options->timeout_ms = options_int(text, state);
		break;
	case FLAG_SEED:
		options->seed = (uint64_t)options_int(text, state);
		break;
	case FLAG_JSON:
		options->json = true;
		break;
	case FLAG_QUIET:
		options->quiet = true;
		break;
	case ARGP_KEY_ARG:
		if (options->profile)
			argp_error(state, "one profile only");
		options->profile = text;
		break;
	case ARGP_KEY_END:
		if (!options->profile || !options->n_targets)
			argp_error(state, "a profile and --target are needed");
		if (options->seconds <= 0 && !options->requests)
			argp_error(state, "--seconds or --requests is needed");
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static error_t parse(int key, char *text, struct argp_state *state)
{
	struct load_options *options = state->input;

	switch (key) {
	case FLAG_TARGET:
		if (options->n_targets == TARGETS_MOST)
			argp_error(state, "%s: too many targets", text);
		options->targets[options->n_targets++] = text;
		break;
	case FLAG_RATE:
		options->rate = options_real(text, state);
		break;
	case FLAG_SECONDS:
		options->seconds = options_real(text, state);
		break;
	case FLAG_WARM_UP:
		options->warm_up = options_real(text, state);
		break;
	default:
		return parse_rest(key, text, state);
	}
	return 0;
}

int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = flags,
		.parser = parse,
		.args_doc = "PROFILE",
		.doc = "Send the load that PROFILE (YAML) describes and judge "
		       "each answer.\vExit status: 0, or 1 if an answer was "
		       "lost, torn, doubled or crossed, or 2 if the load "
		       "couldn't be sent.",
	};
	char *targets[TARGETS_MOST];
	struct load_options options = {
		.targets = targets,
		.rate = 1,
		.timeout_ms = 60000,
		.seed = 1,
	};
	struct load load;
	int status = 2;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (load_init(&load, &options)) {
		load_run(&load);
		status = load_report(&load) ? 1 : 0;
	}
	load_clear(&load);
	return status;
}
