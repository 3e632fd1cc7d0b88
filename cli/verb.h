#ifndef FILBERTHALL_CLI_VERB_H
#define FILBERTHALL_CLI_VERB_H

#include "cli/options.h"

/** One verb of a subcommand, such as `set` of `settings`. */
struct verb {
	struct option_set options;
	const char *name;
	int (*run)(struct cli *cli, json_t *args); /**< takes args over */
};

/** Run the verb that argv[1] names; the table ends with a NULL name. */
int verb_run(struct cli *cli, const struct verb *verbs, int argc, char **argv);

#endif
