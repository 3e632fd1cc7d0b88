#include <stdio.h>

#include "cli/options.h"

static const struct option_set completion_options = {
	.usage = "",
	.summary = "print completion for bash",
};

/* Completion of the first word only: the rest is in each command's --help. */
int cli_completion(struct cli *cli, int argc, char **argv)
{
	json_t *args = options_read(&completion_options, argc, argv);
	const struct cli_command *command;

	json_decref(args);
	printf("complete -W '");
	for (command = cli_commands(); command->name; command++)
		printf("%s ", command->name);
	printf("--server --key-file --config --json --help' %s\n",
	       cli->program);
	return 0;
}
