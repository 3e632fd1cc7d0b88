#include "fakes/options.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

enum options_key {
	OPTIONS_LISTEN = 500,
	OPTIONS_PUBLISH,
	OPTIONS_DAEMON,
	OPTIONS_ZONE,
	OPTIONS_CHEAP,
	OPTIONS_LAG,
	OPTIONS_GAP,
	OPTIONS_PERIOD,
	OPTIONS_LINGER,
	OPTIONS_SEED,
	OPTIONS_FAULT,
	OPTIONS_NO_FENCING,
};

static const struct argp_option options_flags[] = {
	{ "listen", OPTIONS_LISTEN, "IP:PORT", 0, "where to listen", 0 },
	{ "publish", OPTIONS_PUBLISH, "FILE", 0, "write the address there", 0 },
	{ "daemon", OPTIONS_DAEMON, "IP:PORT", 0,
	  "announce to this daemon (repeatable: one at random)", 0 },
	{ "zone", OPTIONS_ZONE, "ZONE", 0, "availability zone", 0 },
	{ "cheap", OPTIONS_CHEAP, NULL, 0, "may be reclaimed", 0 },
	{ "lag-ms", OPTIONS_LAG, "N", 0, "age of load figures, cache events",
	  0 },
	{ "gap-percent", OPTIONS_GAP, "N", 0, "cache events lost (10)", 0 },
	{ "announce-ms", OPTIONS_PERIOD, "N", 0, "between announcements (1000)",
	  0 },
	{ "linger-ms", OPTIONS_LINGER, "N", 0,
	  "between leaving and the end (3000)", 0 },
	{ "seed", OPTIONS_SEED, "N", 0, "of all random draws", 0 },
	{ "fault", OPTIONS_FAULT, "JSON", 0, "as by POST /fault (repeatable)",
	  0 },
	{ "no-fencing", OPTIONS_NO_FENCING, NULL, 0,
	  "don't check the fencing number of orders", 0 },
	{ 0 },
};

int64_t options_int(const char *text, struct argp_state *state)
{
	char *end;
	int64_t value = strtoll(text, &end, 10);

	if (!*text || *end || value < 0)
		argp_error(state, "%s: a whole number is needed", text);
	return value;
}

double options_real(const char *text, struct argp_state *state)
{
	char *end;
	double value = strtod(text, &end);

	if (!*text || *end || value <= 0)
		argp_error(state, "%s: a number above 0 is needed", text);
	return value;
}

static void options_add(char **list, int64_t *n, char *text,
			struct argp_state *state)
{
	if (*n == OPTIONS_MOST)
		argp_error(state, "%s: too many of these", text);
	list[(*n)++] = text;
}

static error_t options_parse_number(int key, const char *text,
				    struct argp_state *state)
{
	struct options *options = state->input;
	struct announcer_options *announcer = &options->announcer;

	switch (key) {
	case OPTIONS_LAG:
		announcer->lag_ms = options_int(text, state);
		break;
	case OPTIONS_GAP:
		announcer->gap_percent = options_int(text, state);
		break;
	case OPTIONS_PERIOD:
		announcer->period_ms = options_int(text, state);
		break;
	case OPTIONS_LINGER:
		options->linger_ms = options_int(text, state);
		break;
	case OPTIONS_SEED:
		announcer->seed = (uint64_t)options_int(text, state);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	return 0;
}

static error_t options_parse(int key, char *text, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case OPTIONS_LISTEN:
		options->listen = text;
		break;
	case OPTIONS_PUBLISH:
		options->publish = text;
		break;
	case OPTIONS_DAEMON:
		options_add(options->daemons, &options->n_daemons, text, state);
		break;
	case OPTIONS_ZONE:
		options->zone = text;
		break;
	case OPTIONS_CHEAP:
		options->cheap = true;
		break;
	case OPTIONS_FAULT:
		options_add(options->faults, &options->n_faults, text, state);
		break;
	case OPTIONS_NO_FENCING:
		options->fences = false;
		break;
	default:
		return options_parse_number(key, text, state);
	}
	return 0;
}

void options_init(struct options *options)
{
	struct timespec now;

	memset(options, 0, sizeof(*options));
	clock_gettime(CLOCK_REALTIME, &now);
	snprintf(options->boot_id, sizeof(options->boot_id),
		 "%" PRIx64 "-%" PRIx64 "-%x", (uint64_t)now.tv_sec,
		 (uint64_t)now.tv_nsec, (unsigned int)getpid());
	options->listen = "127.0.0.1:0";
	options->zone = "zone-1";
	options->fences = true;
	options->linger_ms = 3000;
	options->announcer.daemons = options->daemons;
	options->announcer.period_ms = 1000;
	options->announcer.gap_percent = 10;
	options->announcer.seed = 1;
}

const struct argp *options_argp(void)
{
	static const struct argp argp = { options_flags, options_parse, NULL,
					  NULL,		 NULL,		NULL,
					  NULL };

	return &argp;
}
