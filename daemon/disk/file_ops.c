#include "daemon/disk/file_ops.h"

#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

static int system_open(void *data, const char *path, int flags, mode_t mode)
{
	return open(path, flags | O_CLOEXEC, mode);
}

static ssize_t system_write(void *data, int fd, const void *buffer, size_t len)
{
	return write(fd, buffer, len);
}

static int system_fdatasync(void *data, int fd)
{
	return fdatasync(fd);
}

static int system_fsync(void *data, int fd)
{
	return fsync(fd);
}

static int system_ftruncate(void *data, int fd, off_t len)
{
	return ftruncate(fd, len);
}

static int system_rename(void *data, const char *from, const char *to)
{
	return rename(from, to);
}

static int system_unlink(void *data, const char *path)
{
	return unlink(path);
}

const struct file_ops *file_ops_system(void)
{
	static const struct file_ops ops = {
		.open = system_open,
		.write = system_write,
		.fdatasync = system_fdatasync,
		.fsync = system_fsync,
		.ftruncate = system_ftruncate,
		.rename = system_rename,
		.unlink = system_unlink,
	};

	return &ops;
}
