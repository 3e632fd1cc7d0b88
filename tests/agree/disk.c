#include "disk.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

static int disk_do_open(void *data, const char *path, int flags, mode_t mode)
{
	struct disk *disk = data;

	if (disk->read_only && (flags & (O_WRONLY | O_RDWR))) {
		errno = EROFS;
		return -1;
	}
	return file_ops_system()->open(NULL, path, flags, mode);
}

static ssize_t disk_do_write(void *data, int fd, const void *buffer, size_t len)
{
	struct disk *disk = data;

	if (disk->writes_left == 0) {
		errno = ENOSPC;
		return -1;
	}
	if (disk->writes_left > 0) {
		disk->writes_left--;
		len = len > 1 ? len / 2 : len;
	}
	disk->unsynced += (int64_t)len;
	return file_ops_system()->write(NULL, fd, buffer, len);
}

static int disk_do_fdatasync(void *data, int fd)
{
	struct disk *disk = data;

	if (disk->sync_fails) {
		errno = EIO;
		return -1;
	}
	disk->covered = disk->unsynced;
	disk->unsynced = 0;
	return file_ops_system()->fdatasync(NULL, fd);
}

static int disk_do_rename(void *data, const char *from, const char *to)
{
	struct disk *disk = data;

	if (disk->rename_fails) {
		errno = EIO;
		return -1;
	}
	return file_ops_system()->rename(NULL, from, to);
}

static void disk_report(void *data, enum result code, const char *message)
{
	struct disk *disk = data;

	g_free(disk->message);
	disk->message = g_strdup(message);
}

static void disk_synced(void *data, int64_t ticket)
{
	((struct disk *)data)->synced = ticket;
}

static void disk_failed(void *data, enum result code, const char *message)
{
	struct disk *disk = data;

	disk->failures++;
	disk->code = code;
}

void disk_init(struct disk *disk)
{
	memset(disk, 0, sizeof(*disk));
	disk->folder = g_dir_make_tmp("filberthall-wal-XXXXXX", NULL);
	g_assert_nonnull(disk->folder);
	disk->writes_left = -1;
	disk->ops = *file_ops_system();
	disk->ops.open = disk_do_open;
	disk->ops.write = disk_do_write;
	disk->ops.fdatasync = disk_do_fdatasync;
	disk->ops.rename = disk_do_rename;
	disk->ops.data = disk;
	disk->errors.report = disk_report;
	disk->errors.data = disk;
}

void disk_clear(struct disk *disk)
{
	GDir *dir = g_dir_open(disk->folder, 0, NULL);
	const char *name;

	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(disk->folder, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(disk->folder);
	g_free(disk->folder);
	g_free(disk->message);
}

enum result disk_open(struct disk *disk, struct raft_persistent_state *saved,
		      struct wal **wal)
{
	struct wal_options options = wal_default_options();

	options.folder = disk->folder;
	options.segment_bytes = 256;
	options.ops = &disk->ops;
	options.errors = &disk->errors;
	options.synced = disk_synced;
	options.failed = disk_failed;
	options.data = disk;
	return wal_open(&options, saved, wal);
}

static void disk_put(struct wal *wal, struct effect effect)
{
	struct effects effects;
	struct effect *put;

	effects_init(&effects);
	put = effects_add(&effects, effect.kind);
	put->u = effect.u;
	wal_put(wal, effects_take(&effects));
}

void disk_put_entry(struct wal *wal, int64_t index, int64_t term,
		    const char *text)
{
	struct effect effect = { .kind = EFFECT_LOG_APPEND };

	effect.u.log_append.index = index;
	effect.u.log_append.term = term;
	bytes_append_text(&effect.u.log_append.body, text);
	disk_put(wal, effect);
}

void disk_put_sync(struct wal *wal, int64_t ticket)
{
	struct effect effect = { .kind = EFFECT_LOG_SYNC };

	effect.u.log_sync.ticket = ticket;
	disk_put(wal, effect);
}

void disk_put_hard_state(struct wal *wal, int64_t term, uint64_t vote)
{
	struct effect effect = { .kind = EFFECT_HARD_STATE };

	effect.u.hard_state.term = term;
	effect.u.hard_state.vote = vote;
	disk_put(wal, effect);
}

void disk_put_truncate(struct wal *wal, int64_t index)
{
	struct effect effect = { .kind = EFFECT_LOG_TRUNCATE };

	effect.u.log_truncate.index = index;
	disk_put(wal, effect);
}

void disk_put_snapshot(struct wal *wal, int64_t index, int64_t term,
		       const char *text)
{
	struct effect effect = { .kind = EFFECT_SNAPSHOT };

	effect.u.snapshot.index = index;
	effect.u.snapshot.term = term;
	bytes_append_text(&effect.u.snapshot.body, text);
	disk_put(wal, effect);
}

char *disk_find(const struct disk *disk, const char *prefix)
{
	GDir *dir = g_dir_open(disk->folder, 0, NULL);
	char *found = NULL;
	const char *name;

	while ((name = g_dir_read_name(dir))) {
		if (!g_str_has_prefix(name, prefix) ||
		    (found && strcmp(name, found) < 0))
			continue;
		g_free(found);
		found = g_strdup(name);
	}
	g_dir_close(dir);
	if (found) {
		char *path = g_build_filename(disk->folder, found, NULL);

		g_free(found);
		return path;
	}
	return NULL;
}
