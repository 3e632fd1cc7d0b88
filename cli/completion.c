#include <stdio.h>

#include "cli/cli.h"

/* Completion of the first word only: the rest is in each command's --help. */
int cli_completion(struct cli *cli, int argc, char **argv)
{
	const struct cli_command *command;

	printf("complete -W '");
	for (command = cli_commands(); command->name; command++)
		printf("%s ", command->name);
	printf("--server --key-file --config --json --help' %s\n",
	       cli->program);
	return 0;
}
