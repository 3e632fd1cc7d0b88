#include <argp.h>
#include <stdlib.h>

#include "fakes/service.h"

/** fake-service: a stand-in for a plain service. */

enum flag_key {
	FLAG_NAME = OPTIONS_OWN_KEY,
	FLAG_SLOTS,
	FLAG_WORK,
	FLAG_RECORD,
};

static const struct argp_option flags[] = {
	{ "name", FLAG_NAME, "NAME", 0, "service it is (movements)", 0 },
	{ "slots", FLAG_SLOTS, "N", 0, "runs at once (32)", 0 },
	{ "work-ms", FLAG_WORK, "N", 0, "what a run takes (5)", 0 },
	{ "record", FLAG_RECORD, "FILE", 0,
	  "append a line for each run: request id, key, body hash, path", 0 },
	{ 0 },
};

static error_t parse(int key, char *text, struct argp_state *state)
{
	struct service_options *options = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &options->common;
		break;
	case FLAG_NAME:
		options->name = text;
		break;
	case FLAG_SLOTS:
		options->slots = options_int(text, state);
		break;
	case FLAG_WORK:
		options->work_ms = options_int(text, state);
		break;
	case FLAG_RECORD:
		options->record = text;
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
				   .doc = "A stand-in plain service.",
				   .children = children };
	struct service_options options = {
		.name = "movements",
		.slots = 32,
		.work_ms = 5,
	};
	struct service service;
	bool started;

	options_init(&options.common);
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	started = service_start(&service, &options);
	if (started)
		service_run(&service);
	service_clear(&service);
	return started ? EXIT_SUCCESS : EXIT_FAILURE;
}
