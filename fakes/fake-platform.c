#include <argp.h>
#include <stdlib.h>

#include "fakes/platform.h"

/** fake-platform: a stand-in for the platform. */

enum flag_key {
	FLAG_SPAWN = OPTIONS_OWN_KEY,
	FLAG_OFFER_ZONE,
	FLAG_STEADY,
	FLAG_CHEAP,
};

static const struct argp_option flags[] = {
	{ "spawn", FLAG_SPAWN, "FOLDER", 0,
	  "start the stand-ins found there when ordered to", 0 },
	{ "offer-zone", FLAG_OFFER_ZONE, "ZONE", 0,
	  "availability zone on offer (repeatable)", 0 },
	{ "steady-price", FLAG_STEADY, "P", 0, "an hour (4)", 0 },
	{ "cheap-price", FLAG_CHEAP, "P", 0, "an hour (1.5)", 0 },
	{ 0 },
};

static error_t parse(int key, char *text, struct argp_state *state)
{
	struct platform_options *options = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &options->common;
		break;
	case FLAG_SPAWN:
		options->spawn = text;
		break;
	case FLAG_OFFER_ZONE:
		if (options->n_zones == OPTIONS_MOST)
			argp_error(state, "%s: too many zones", text);
		options->zones[options->n_zones++] = text;
		break;
	case FLAG_STEADY:
		options->steady_price = options_real(text, state);
		break;
	case FLAG_CHEAP:
		options->cheap_price = options_real(text, state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

int main(int argc, char **argv)
{
	const struct argp_child children[] = {
		{ options_argp(), 0, NULL, 0 },
		{ 0 },
	};
	const struct argp argp = { .options = flags,
				   .parser = parse,
				   .doc = "A stand-in platform.",
				   .children = children };
	struct platform_options options = {
		.steady_price = 4,
		.cheap_price = 1.5,
	};
	struct platform platform;
	bool started;

	options_init(&options.common);
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	started = platform_start(&platform, &options);
	if (started)
		platform_run(&platform);
	platform_clear(&platform);
	return started ? EXIT_SUCCESS : EXIT_FAILURE;
}
