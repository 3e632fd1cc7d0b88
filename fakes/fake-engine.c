#include <argp.h>
#include <stdlib.h>

#include "fakes/engine.h"

/** fake-engine: a stand-in for a model engine. */

enum flag_key {
	FLAG_MODEL = OPTIONS_OWN_KEY,
	FLAG_ADAPTERS,
	FLAG_VERSION,
	FLAG_ROLE,
	FLAG_SLOTS,
	FLAG_PREFILL,
	FLAG_DECODE,
	FLAG_KV,
};

static const struct argp_option flags[] = {
	{ "model", FLAG_MODEL, "NAME", 0, "model it serves", 0 },
	{ "adapters", FLAG_ADAPTERS, "A,B", 0, "adapters loaded", 0 },
	{ "model-version", FLAG_VERSION, "V", 0, "version of the model", 0 },
	{ "role", FLAG_ROLE, "ROLE", 0, "serve, prefill or decode", 0 },
	{ "slots", FLAG_SLOTS, "N", 0, "sequences at once (16)", 0 },
	{ "prefill", FLAG_PREFILL, "RATE", 0, "prompt tokens/s (8000)", 0 },
	{ "decode", FLAG_DECODE, "RATE", 0,
	  "tokens/s of a full batch (800); a lone sequence gets nearly "
	  "2/SLOTS of it",
	  0 },
	{ "kv", FLAG_KV, "TOKENS", 0, "memory of the KV cache (65536)", 0 },
	{ 0 },
};

static error_t parse(int key, char *text, struct argp_state *state)
{
	struct engine_options *options = state->input;

	switch (key) {
	case ARGP_KEY_INIT:
		state->child_inputs[0] = &options->common;
		break;
	case FLAG_MODEL:
		options->model = text;
		break;
	case FLAG_ADAPTERS:
		options->adapters = text;
		break;
	case FLAG_VERSION:
		options->version = text;
		break;
	case FLAG_ROLE:
		options->role = text;
		break;
	case FLAG_SLOTS:
		options->limits.slots = options_int(text, state);
		break;
	case FLAG_PREFILL:
		options->limits.prefill_rate = options_real(text, state);
		break;
	case FLAG_DECODE:
		options->limits.decode_rate = options_real(text, state);
		break;
	case FLAG_KV:
		options->limits.kv_tokens = options_int(text, state);
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
				   .doc = "A stand-in model engine.",
				   .children = children };
	struct engine_options options = {
		.model = "calf-7b",
		.version = "1",
		.role = "serve",
		.limits = { .slots = 16,
			    .prefill_rate = 8000,
			    .decode_rate = 800,
			    .kv_tokens = 65536 },
	};
	struct engine engine;
	bool started;

	options_init(&options.common);
	argp_parse(&argp, argc, argv, 0, NULL, &options);
	started = engine_start(&engine, &options);
	if (started)
		engine_run(&engine);
	engine_clear(&engine);
	return started ? EXIT_SUCCESS : EXIT_FAILURE;
}
