#!/bin/sh
# A log that is opened again after a failed sync, or after its process was
# killed in one, counts what was never synced as durable. Exits with 1 if that
# is so. Not a case: only a loss of power shows it to anyone outside.
program=reopen
. "$(dirname "$0")/compile.sh" <<'END'
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "core/event.h"
#include "daemon/disk/wal.h"

static int log_fd = -1;
static int log_syncs;
static bool fails;

static int do_open(void *data, const char *path, int flags, mode_t mode)
{
	int fd = open(path, flags | O_CLOEXEC, mode);

	if (strstr(path, "/log-"))
		log_fd = fd;
	return fd;
}

static ssize_t do_write(void *data, int fd, const void *buffer, size_t len)
{
	return write(fd, buffer, len);
}

static int do_sync(void *data, int fd)
{
	log_syncs += fd == log_fd;
	if (fails) {
		errno = EIO;
		return -1;
	}
	return fsync(fd);
}

static int do_truncate(void *data, int fd, off_t len)
{
	return ftruncate(fd, len);
}

static int do_rename(void *data, const char *from, const char *to)
{
	return rename(from, to);
}

static int do_unlink(void *data, const char *path)
{
	return unlink(path);
}

static void synced(void *data, int64_t ticket)
{
	printf("synced up to entry %lld\n", (long long)ticket);
}

static void failed(void *data, enum result code, const char *message)
{
	printf("%s\n", message);
}

static void put(struct wal *wal, int64_t index, const char *text)
{
	struct effect *effect = xcalloc(1, sizeof(*effect));

	effect->kind = EFFECT_LOG_APPEND;
	effect->u.log_append.index = index;
	effect->u.log_append.term = 1;
	bytes_append_text(&effect->u.log_append.body, text);
	wal_put(wal, effect);
	effect = xcalloc(1, sizeof(*effect));
	effect->kind = EFFECT_LOG_SYNC;
	effect->u.log_sync.ticket = index;
	wal_put(wal, effect);
	wal_flush(wal);
}

int main(int argc, char **argv)
{
	const struct file_ops ops = { do_open, do_write,  do_sync,  do_sync,
				      do_truncate, do_rename, do_unlink, NULL };
	struct wal_options options = wal_default_options();
	struct raft_persistent_state saved;
	struct effect *effect = xcalloc(1, sizeof(*effect));
	char folder[4096];
	struct wal *wal;

	snprintf(folder, sizeof(folder), "%s/data", argv[1]);
	options.folder = folder;
	options.ops = &ops;
	options.synced = synced;
	options.failed = failed;
	if (wal_open(&options, &saved, &wal))
		return 2;
	effect->kind = EFFECT_HARD_STATE;
	effect->u.hard_state.term = 1;
	wal_put(wal, effect);
	put(wal, 1, "one");
	fails = true;
	put(wal, 2, "two");
	wal_close(wal);
	raft_persistent_state_clear(&saved);
	fails = false;
	log_syncs = 0;
	if (wal_open(&options, &saved, &wal))
		return 2;
	printf("opened again: %zu entries, %d syncs of the log\n",
	       saved.n_entries, log_syncs);
	return saved.n_entries == 2 && !log_syncs;
}
END
