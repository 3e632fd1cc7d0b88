#ifndef FILBERTHALL_CLI_LOG_LINES_H
#define FILBERTHALL_CLI_LOG_LINES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cli/cli.h"

/** Lines of daemons' logs, of several VMs. What isn't a log line is passed over. */
struct log_line {
	int64_t at_ms; /**< wall clock */
	size_t order;  /**< in the files: breaks ties */
	char *vm;
	char *module;
	char *message;
};

struct log_lines {
	struct log_line *items;
	size_t n;
};

/**
 * Read the files of a list and put their lines in order.
 *
 * @return 0, or the exit status after a message
 */
int log_lines_read_all(struct cli *cli, struct log_lines *lines,
		       const json_t *files);

void log_lines_clear(struct log_lines *lines);

/** Whether a message has the word NAME=VALUE. */
bool log_has_word(const char *message, const char *name, const char *value);

/** The value of NAME= in a message, to be freed, or NULL. */
char *log_word(const char *message, const char *name);

/** The number after NAME= in a message, or `none` if there is none. */
int64_t log_number(const char *message, const char *name, int64_t none);

#endif
