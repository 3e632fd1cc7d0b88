#ifndef FILBERTHALL_CLI_CLI_H
#define FILBERTHALL_CLI_CLI_H

#include <argp.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "base/result.h"

#define CLI_MAX_SERVERS 16

/** Exit status when no daemon could be reached. */
#define CLI_EXIT_UNREACHABLE 10

/** What all subcommands share. */
struct cli {
	const char *program;
	const char *servers[CLI_MAX_SERVERS]; /**< operators' addresses */
	int n_servers;
	const char *key_file;
	const char *config; /**< YAML: servers, key_file */
	bool json;
};

/** A subcommand: its name, what it is for, and its code. */
struct cli_command {
	const char *name;
	const char *summary;
	/** Runs with argv[0] its own name; returns an exit status. */
	int (*run)(struct cli *cli, int argc, char **argv);
};

/** Table of all subcommands, ended by a NULL name. */
const struct cli_command *cli_commands(void);

int cli_settings(struct cli *cli, int argc, char **argv);
int cli_key(struct cli *cli, int argc, char **argv);
int cli_class(struct cli *cli, int argc, char **argv);
int cli_organisation(struct cli *cli, int argc, char **argv);
int cli_member(struct cli *cli, int argc, char **argv);
int cli_backend(struct cli *cli, int argc, char **argv);
int cli_drain(struct cli *cli, int argc, char **argv);
int cli_zone(struct cli *cli, int argc, char **argv);
int cli_usage(struct cli *cli, int argc, char **argv);
int cli_spend(struct cli *cli, int argc, char **argv);
int cli_status(struct cli *cli, int argc, char **argv);
int cli_explain(struct cli *cli, int argc, char **argv);
int cli_tally(struct cli *cli, int argc, char **argv);
int cli_trace(struct cli *cli, int argc, char **argv);
int cli_replay(struct cli *cli, int argc, char **argv);
int cli_check(struct cli *cli, int argc, char **argv);
int cli_completion(struct cli *cli, int argc, char **argv);

/**
 * Call a command of a daemon: tries one server after the other until one
 * answers. The same arguments go to each, so a change carries one change id
 * and is made once however often it is sent.
 *
 * @param args	JSON object, taken over
 * @param answer	gets the daemon's JSON object; NULL if none answered
 * @return an exit status: 0, the code's hundreds, or CLI_EXIT_UNREACHABLE
 */
int cli_call(struct cli *cli, const char *command, json_t *args,
	     json_t **answer);

/** The same, and print message or answer; `print` may be NULL. */
int cli_call_and_print(struct cli *cli, const char *command, json_t *args,
		       void (*print)(const json_t *answer));

/** Exit status of a result code: its hundreds. */
int cli_exit_status(int64_t code);

/** Print an error to standard error, return the exit status of a code. */
int cli_fail(const struct cli *cli, enum result code, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Handler that prints to standard error; its data is the struct cli. */
struct error_handler cli_errors(struct cli *cli);

/** A change id that no other call has. */
json_t *cli_change_id(void);

/** Read a file; NULL after a message. The caller frees it. */
char *cli_read_file(struct cli *cli, const char *path, size_t *len);

/** Columns of a table, ended by a NULL key. */
struct cli_column {
	const char *key;
	const char *title;
};

/** Print an array of objects as a table, columns as wide as needed. */
void cli_print_table(const json_t *rows, const struct cli_column *columns);

/** Print any JSON value as indented "key: value" lines. */
void cli_print_value(const json_t *value);

#endif
