#ifndef FILBERTHALL_DAEMON_FILE_H
#define FILBERTHALL_DAEMON_FILE_H

#include <stddef.h>

#include "base/bytes.h"
#include "base/error.h"
#include "base/result.h"

/**
 * Read a whole file of at most `limit` bytes. RESULT_SETTING_VALUE with a
 * message if it can't be read or is larger.
 */
enum result file_read(struct bytes *content, const char *path, size_t limit,
		      const struct error_handler *handler);

/** Write a file aside and rename it into place, so no reader sees a part. */
enum result file_publish(const char *path, const char *text,
			 const struct error_handler *handler);

#endif
