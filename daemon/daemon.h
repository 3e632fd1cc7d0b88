#ifndef FILBERTHALL_DAEMON_DAEMON_H
#define FILBERTHALL_DAEMON_DAEMON_H

#include "base/error.h"
#include "base/result.h"
#include "daemon/boot.h"

/**
 * Run a daemon with these boot settings until it is told to stop (SIGTERM or
 * SIGINT: a graceful shutdown).
 *
 * @param recording	file for the event stream, or NULL
 * @return RESULT_OK after a graceful shutdown; else what kept it from
 *	   starting, reported to `handler`
 */
enum result daemon_run(const struct boot *boot, const char *recording,
		       const struct error_handler *handler);

/** Check boot settings with the files they name; nothing is started. */
enum result daemon_check(const struct boot *boot,
			 const struct error_handler *handler);

#endif
