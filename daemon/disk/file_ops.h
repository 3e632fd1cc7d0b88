#ifndef FILBERTHALL_DAEMON_FILE_OPS_H
#define FILBERTHALL_DAEMON_FILE_OPS_H

#include <stddef.h>
#include <sys/types.h>

/**
 * The file calls by which state reaches the disk, as a table, so that tests
 * can let a write, a sync or a rename fail. Results and errno are those of
 * the system calls of the same names.
 */
struct file_ops {
	int (*open)(void *data, const char *path, int flags, mode_t mode);
	ssize_t (*write)(void *data, int fd, const void *buffer, size_t len);
	int (*fdatasync)(void *data, int fd);
	int (*fsync)(void *data, int fd);
	int (*ftruncate)(void *data, int fd, off_t len);
	int (*rename)(void *data, const char *from, const char *to);
	int (*unlink)(void *data, const char *path);
	void *data;
};

/** The system's own calls. */
const struct file_ops *file_ops_system(void);

#endif
