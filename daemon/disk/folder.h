#ifndef FILBERTHALL_DAEMON_FOLDER_H
#define FILBERTHALL_DAEMON_FOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "daemon/disk/file_ops.h"

/** The data folder: its lock, the member's identity, safe file writes. */

/** Report errno as RESULT_DISK_FULL or RESULT_DISK_FAILED. */
enum result folder_error(const struct error_handler *errors, const char *what,
			 const char *path);

/** Close a descriptor that goes out of scope. */
void folder_close_fd(int *fd);

/** Write all of a buffer; false with errno set on errors. */
bool folder_write_all(const struct file_ops *ops, int fd, const void *buffer,
		      size_t len);

/** Make names made, renamed or removed in the folder durable. */
enum result folder_sync(const char *folder, const struct file_ops *ops,
			const struct error_handler *errors);

/**
 * Write `data` aside, sync it, rename it to `name`, sync the folder: after a
 * crash there is the old file or the new one, whole.
 */
enum result folder_replace(const char *folder, const char *name,
			   const void *data, size_t len,
			   const struct file_ops *ops,
			   const struct error_handler *errors);

/**
 * Lock the folder for this process.
 *
 * @param fd  holds the lock until it is closed
 * @return RESULT_OK, RESULT_FOLDER_IN_USE or a disk error
 */
enum result folder_lock(const char *folder, const struct file_ops *ops,
			const struct error_handler *errors, int *fd);

struct folder_identity {
	uint64_t member_id;  /**< 0 if there is none yet */
	int64_t incarnation; /**< number of starts */
};

/** Read the identity; RESULT_LOG_DAMAGED if it can't be read. */
enum result folder_load_identity(const char *folder,
				 struct folder_identity *identity,
				 const struct error_handler *errors);

enum result folder_save_identity(const char *folder,
				 const struct folder_identity *identity,
				 const struct file_ops *ops,
				 const struct error_handler *errors);

/** A random id that isn't 0. */
uint64_t folder_random_id(void);

#endif
