#include "cli/verb.h"

#include <stdio.h>
#include <string.h>

int verb_run(struct cli *cli, const struct verb *verbs, int argc, char **argv)
{
	bool help = argc > 1 && !strcmp(argv[1], "--help");
	FILE *out = help ? stdout : stderr;
	const struct verb *verb;

	for (verb = verbs; verb->name; verb++)
		if (argc > 1 && !strcmp(verb->name, argv[1]))
			return verb->run(cli, options_read(&verb->options,
							   argc - 1, argv + 1));
	if (help)
		fprintf(out, "Usage: %s %s VERB [ARGUMENT...]\n", cli->program,
			argv[0]);
	else
		fprintf(out, "%s %s: one of these is needed:\n", cli->program,
			argv[0]);
	for (verb = verbs; verb->name; verb++)
		fprintf(out, "  %s %-9s %-28s %s\n", argv[0], verb->name,
			verb->options.usage, verb->options.summary);
	return help ? 0 : cli_exit_status(RESULT_BAD_REQUEST);
}
