#ifndef FILBERTHALL_CLI_OPTIONS_H
#define FILBERTHALL_CLI_OPTIONS_H

#include "cli/cli.h"

/** How an option's text becomes JSON. */
enum option_type {
	OPTION_TEXT,
	OPTION_NUMBER,
	OPTION_LIST, /**< may be given several times */
	OPTION_FLAG,
};

/** An option of a subcommand; the table ends with a NULL name. */
struct option_row {
	const char *name; /**< long name */
	const char *key;  /**< in the arguments */
	enum option_type type;
	const char *argument; /**< such as "N", NULL for a flag */
	const char *help;
};

/** A subcommand's command line. */
struct option_set {
	const char *usage; /**< such as "settings set PATH VALUE" */
	const char *summary;
	const struct option_row *rows;
	const char *const *positional; /**< keys, ended by NULL */
	int required;		       /**< positional ones at least */
};

/**
 * Read a subcommand's command line into a new JSON object. argp prints help
 * and errors itself and exits.
 */
json_t *options_read(const struct option_set *set, int argc, char **argv);

/** Take a key out of the arguments: text (borrowed by no one), or NULL. */
char *options_take_text(json_t *args, const char *key);

/**
 * The same, with any number of further positional arguments: they become the
 * list `rest`, which is missing if there are none.
 */
json_t *options_read_rest(const struct option_set *set, const char *rest,
			  int argc, char **argv);

/** Take a flag out of the arguments. */
bool options_take_flag(json_t *args, const char *key);

#endif
