#include "cli/verb.h"

static const struct option_row backend_drain_rows[] = {
	{ "undo", "undo", OPTION_FLAG, NULL, "give it new work again" },
	{ 0 }
};

static const struct option_row backend_stop_rows[] = {
	{ "undo", "undo", OPTION_FLAG, NULL,
	  "take the stop back, unless it was ordered" },
	{ 0 }
};

static const char *const backend_address_names[] = { "address", NULL };
static const char *const backend_no_names[] = { NULL };

static void backend_print(const json_t *answer)
{
	static const struct cli_column columns[] = {
		{ "address", "BACKEND SERVER" },
		{ "zone", "ZONE" },
		{ "kind", "KIND" },
		{ "serves", "SERVES" },
		{ "version", "VERSION" },
		{ "usable", "USABLE" },
		{ "leaving", "LEAVING" },
		{ "drained", "DRAINED" },
		{ "slots", "SLOTS" },
		{ "running", "RUNNING" },
		{ "queued", "QUEUED" },
		{ "own_running", "OURS" },
		{ "report_age_s", "REPORT AGE S" },
		{ 0 }
	};

	cli_print_table(json_object_get(answer, "backend_servers"), columns);
}

static int backend_list(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "backend-list", args, backend_print);
}

static const struct cli_column backend_stop_columns[] = {
	{ "address", "BACKEND SERVER" },
	{ "state", "STATE" },
	{ "reason", "REASON" },
	{ "overdue", "OVERDUE" },
	{ 0 }
};

static void backend_print_stops(const json_t *answer)
{
	cli_print_table(json_object_get(answer, "stops"), backend_stop_columns);
}

static int backend_stop(struct cli *cli, json_t *args)
{
	return cli_call_and_print(cli, "backend-stop", args,
				  backend_print_stops);
}

static const struct verb backend_verbs[] = {
	{ { "", "list backend servers", NULL, backend_no_names, 0 },
	  "list",
	  backend_list },
	{ { "ADDRESS", "drain a backend server, then order its stop",
	    backend_stop_rows, backend_address_names, 1 },
	  "stop",
	  backend_stop },
	{ { NULL, NULL, NULL, backend_no_names, 0 }, NULL, NULL }
};

int cli_backend(struct cli *cli, int argc, char **argv)
{
	return verb_run(cli, backend_verbs, argc, argv);
}

int cli_drain(struct cli *cli, int argc, char **argv)
{
	static const struct option_set set = {
		"ADDRESS", "give a backend server no new work",
		backend_drain_rows, backend_address_names, 1
	};

	return cli_call_and_print(cli, "backend-drain",
				  options_read(&set, argc, argv), NULL);
}
