#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli/cli.h"

const char *argp_program_version = "filberthall 0.1.0";

#define MAIN_PROGRAM "filberthall"

static const struct cli_command main_commands[] = {
	{ "settings", "read and change the settings tree", cli_settings },
	{ "key", "grant, limit, withdraw and list keys", cli_key },
	{ "class", "list classes", cli_class },
	{ "organisation", "list organisations", cli_organisation },
	{ "member", "list and change the group's members", cli_member },
	{ "backend", "list backend servers", cli_backend },
	{ "drain", "give a backend server no new work", cli_drain },
	{ "zone", "evacuate a zone's backend servers, and list zones",
	  cli_zone },
	{ "usage", "show usage windows", cli_usage },
	{ "spend", "show what service costs", cli_spend },
	{ "status", "show classes and this VM", cli_status },
	{ "trace", "draw a request's spans", cli_trace },
	{ "explain", "tell a request's story from log files", cli_explain },
	{ "tally", "count what became of requests, from log files", cli_tally },
	{ "replay", "run a recording through the reducer", cli_replay },
	{ "check", "check settings files offline", cli_check },
	{ "completion", "print completion for bash", cli_completion },
	{ 0 }
};

const struct cli_command *cli_commands(void)
{
	return main_commands;
}

static const struct argp_option main_options[] = {
	{ "server", 's', "IP:PORT", 0,
	  "operators' address of a daemon; may be given several times", 0 },
	{ "key-file", 'k', "FILE", 0, "file with the operator's key", 0 },
	{ "config", 'c', "FILE", 0, "YAML with servers and key_file", 0 },
	{ "json", 'j', NULL, 0, "print the answer as JSON", 0 },
	{ 0 }
};

struct main_arguments {
	struct cli *cli;
	int rest; /* index of the subcommand in argv */
};

static error_t main_parse(int key, char *arg, struct argp_state *state)
{
	struct main_arguments *arguments = state->input;
	struct cli *cli = arguments->cli;

	switch (key) {
	case 's':
		if (cli->n_servers == CLI_MAX_SERVERS)
			argp_error(state, "too many servers");
		cli->servers[cli->n_servers++] = arg;
		return 0;
	case 'k':
		cli->key_file = arg;
		return 0;
	case 'c':
		cli->config = arg;
		return 0;
	case 'j':
		cli->json = true;
		return 0;
	case ARGP_KEY_ARG:
		arguments->rest = state->next - 1;
		state->next = state->argc;
		return 0;
	case ARGP_KEY_NO_ARGS:
		argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static char *main_help(int key, const char *text, void *input)
{
	const struct cli_command *command;
	char *help = NULL;
	size_t size;
	FILE *out;

	if (key != ARGP_KEY_HELP_POST_DOC)
		return (char *)text;
	out = open_memstream(&help, &size);
	if (!out)
		return (char *)text;
	fprintf(out, "Commands:\n");
	for (command = main_commands; command->name; command++)
		fprintf(out, "  %-14s%s\n", command->name, command->summary);
	fprintf(out, "\nExit status: 0, the hundreds of the result code "
		     "(docs/RESULT-CODES.md), or 10 if no daemon answers.");
	fclose(out);
	return help;
}

static const struct argp main_argp = { main_options,
				       main_parse,
				       "COMMAND [ARGUMENT...]",
				       "Operate filberthall.\v",
				       NULL,
				       main_help,
				       NULL };

int main(int argc, char **argv)
{
	struct cli cli = { .program = MAIN_PROGRAM };
	struct main_arguments arguments = { &cli, 0 };
	const struct cli_command *command;

	cli.config = getenv("FILBERTHALL_CONFIG");
	argp_parse(&main_argp, argc, argv, ARGP_IN_ORDER, NULL, &arguments);
	for (command = main_commands; command->name; command++)
		if (!strcmp(command->name, argv[arguments.rest]))
			return command->run(&cli, argc - arguments.rest,
					    argv + arguments.rest);
	return cli_fail(&cli, RESULT_BAD_REQUEST,
			"no such command: %s; see %s --help",
			argv[arguments.rest], MAIN_PROGRAM);
}
