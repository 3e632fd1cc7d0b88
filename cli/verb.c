#include "cli/verb.h"

#include <stdio.h>
#include <string.h>

int verb_run(struct cli *cli, const struct verb *verbs, int argc, char **argv)
{
	const struct verb *verb;

	for (verb = verbs; verb->name; verb++)
		if (argc > 1 && !strcmp(verb->name, argv[1]))
			return verb->run(cli, options_read(&verb->options,
							   argc - 1, argv + 1));
	fprintf(stderr, "%s %s: one of these is needed:\n", cli->program,
		argv[0]);
	for (verb = verbs; verb->name; verb++)
		fprintf(stderr, "  %s %-9s %-28s %s\n", argv[0], verb->name,
			verb->options.usage, verb->options.summary);
	return cli_exit_status(RESULT_BAD_REQUEST);
}
