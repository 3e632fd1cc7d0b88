#include "daemon/disk/folder.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/random.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/map.h"

#define FOLDER_IDENTITY "identity"
#define FOLDER_LOCK "lock"
#define FOLDER_TEXT_SIZE 128

enum result folder_error(const struct error_handler *errors, const char *what,
			 const char *path)
{
	enum result code = errno == ENOSPC || errno == EDQUOT
				   ? RESULT_DISK_FULL
				   : RESULT_DISK_FAILED;

	return error_report(errors, code, "%s: %s: %s", path, what,
			    strerror(errno));
}

void folder_close_fd(int *fd)
{
	if (*fd >= 0)
		close(*fd);
	*fd = -1;
}

bool folder_write_all(const struct file_ops *ops, int fd, const void *buffer,
		      size_t len)
{
	const char *at = buffer;

	while (len) {
		ssize_t done = ops->write(ops->data, fd, at, len);

		if (done < 0 && errno == EINTR)
			continue;
		if (done <= 0)
			return false;
		at += done;
		len -= (size_t)done;
	}
	return true;
}

enum result folder_sync(const char *folder, const struct file_ops *ops,
			const struct error_handler *errors)
{
	cleanup(folder_close_fd) int fd =
		ops->open(ops->data, folder, O_RDONLY | O_DIRECTORY, 0);

	if (fd < 0)
		return folder_error(errors, "open", folder);
	if (ops->fsync(ops->data, fd))
		return folder_error(errors, "sync", folder);
	return RESULT_OK;
}

static enum result folder_write_file(const char *path, const void *data,
				     size_t len, const struct file_ops *ops,
				     const struct error_handler *errors)
{
	cleanup(folder_close_fd) int fd =
		ops->open(ops->data, path, O_WRONLY | O_CREAT | O_TRUNC, 0600);

	if (fd < 0)
		return folder_error(errors, "open", path);
	if (!folder_write_all(ops, fd, data, len))
		return folder_error(errors, "write", path);
	if (ops->fsync(ops->data, fd))
		return folder_error(errors, "sync", path);
	return RESULT_OK;
}

enum result folder_replace(const char *folder, const char *name,
			   const void *data, size_t len,
			   const struct file_ops *ops,
			   const struct error_handler *errors)
{
	cleanup(free_ptr) char *path = xstrfmt("%s/%s", folder, name);
	cleanup(free_ptr) char *aside = xstrfmt("%s/%s.new", folder, name);
	enum result code = folder_write_file(aside, data, len, ops, errors);

	if (code != RESULT_OK) {
		ops->unlink(ops->data, aside);
		return code;
	}
	if (ops->rename(ops->data, aside, path))
		return folder_error(errors, "rename", aside);
	return folder_sync(folder, ops, errors);
}

enum result folder_lock(const char *folder, const struct file_ops *ops,
			const struct error_handler *errors, int *fd)
{
	cleanup(free_ptr) char *path = xstrfmt("%s/%s", folder, FOLDER_LOCK);

	*fd = ops->open(ops->data, path, O_RDWR | O_CREAT, 0600);
	if (*fd < 0)
		return folder_error(errors, "open", path);
	if (!flock(*fd, LOCK_EX | LOCK_NB))
		return RESULT_OK;
	folder_close_fd(fd);
	if (errno != EWOULDBLOCK)
		return folder_error(errors, "lock", path);
	return error_report(errors, RESULT_FOLDER_IN_USE,
			    "%s: another daemon uses this data folder", folder);
}

static uint64_t folder_identity_sum(const struct folder_identity *identity)
{
	char text[FOLDER_TEXT_SIZE];

	snprintf(text, sizeof(text), "%" PRIu64 " %" PRId64,
		 identity->member_id, identity->incarnation);
	return map_hash_text(text);
}

enum result folder_load_identity(const char *folder,
				 struct folder_identity *identity,
				 const struct error_handler *errors)
{
	cleanup(free_ptr) char *path =
		xstrfmt("%s/%s", folder, FOLDER_IDENTITY);
	char text[FOLDER_TEXT_SIZE] = { 0 };
	uint64_t sum;
	FILE *file = fopen(path, "re");
	size_t len;

	memset(identity, 0, sizeof(*identity));
	if (!file && errno == ENOENT)
		return RESULT_OK;
	if (!file)
		return folder_error(errors, "open", path);
	len = fread(text, 1, sizeof(text) - 1, file);
	fclose(file);
	if (!len ||
	    sscanf(text, "%" SCNu64 " %" SCNd64 " %" SCNx64,
		   &identity->member_id, &identity->incarnation, &sum) != 3 ||
	    !identity->member_id || sum != folder_identity_sum(identity))
		return error_report(errors, RESULT_LOG_DAMAGED,
				    "%s: the identity is damaged; empty the "
				    "data folder to join as a new member",
				    path);
	return RESULT_OK;
}

enum result folder_save_identity(const char *folder,
				 const struct folder_identity *identity,
				 const struct file_ops *ops,
				 const struct error_handler *errors)
{
	cleanup(free_ptr) char *text =
		xstrfmt("%" PRIu64 " %" PRId64 " %016" PRIx64 "\n",
			identity->member_id, identity->incarnation,
			folder_identity_sum(identity));

	return folder_replace(folder, FOLDER_IDENTITY, text, strlen(text), ops,
			      errors);
}

uint64_t folder_random_id(void)
{
	uint64_t id = 0;

	while (!id)
		if (getrandom(&id, sizeof(id), 0) != sizeof(id))
			id = 0;
	return id;
}
