#ifndef FILBERTHALL_DAEMON_SNAPSHOT_H
#define FILBERTHALL_DAEMON_SNAPSHOT_H

#include <stdint.h>

#include "base/bytes.h"
#include "base/error.h"
#include "daemon/disk/file_ops.h"

/**
 * Snapshots in the data folder: written aside, synced, renamed, the folder
 * synced. A crash leaves either the old one or the new one whole, never a
 * part; without the sync before the rename, the name could point to an empty
 * file after a power loss.
 */
struct snapshot {
	int64_t index;
	int64_t term;
	struct bytes body;
};

/** Store `snapshot`; RESULT_DISK_FULL or RESULT_DISK_FAILED on errors. */
enum result snapshot_save(const char *folder, const struct snapshot *snapshot,
			  const struct file_ops *ops,
			  const struct error_handler *errors);

/**
 * Load the newest snapshot; index 0 if there is none.
 *
 * @return RESULT_OK, RESULT_LOG_DAMAGED, RESULT_DISK_FAILED
 */
enum result snapshot_load(const char *folder, struct snapshot *snapshot,
			  const struct error_handler *errors);

#endif
