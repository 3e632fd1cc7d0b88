#ifndef FILBERTHALL_DAEMON_LOG_H
#define FILBERTHALL_DAEMON_LOG_H

#include <stdint.h>

#include "base/error.h"
#include "base/result.h"
#include "core/effect.h"

/** Structured log: one JSON object a line, through log4c. */
struct log;

/**
 * Open the log; `path` NULL is standard error, "-" standard output.
 *
 * Standard output is never waited for: a reader that has stopped would stop
 * the daemon with it. Lines that find no room are dropped, and the next one
 * that does says how many.
 */
enum result log_open(struct log **log, const char *path, const char *vm,
		     enum log_level level, const struct error_handler *handler);

/** Write what the reducer logged. Any thread may call it. */
void log_effect(struct log *log, const struct effect_log *line);

/** Write a line of the daemon itself. Any thread may call it. */
void log_line(struct log *log, enum log_level level, const char *module,
	      const char *format, ...) __attribute__((format(printf, 4, 5)));

void log_close(struct log *log);

#endif
