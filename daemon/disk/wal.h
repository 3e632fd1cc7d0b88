#ifndef FILBERTHALL_DAEMON_WAL_H
#define FILBERTHALL_DAEMON_WAL_H

#include <stdint.h>

#include "agree/raft.h"
#include "base/error.h"
#include "daemon/disk/file_ops.h"

/**
 * The write-ahead log of Raft under one data folder, with the folder's lock,
 * the member's identity and its snapshots.
 *
 * Failures answered:
 * - A crash in the middle of a write: the last record's checksum fails and
 *   nothing valid follows, so the tail is cut. It was never acknowledged.
 * - Damage in the middle (valid records follow): what was acknowledged is
 *   gone, so the member must not vote; wal_open() refuses with the file and
 *   offset.
 * - Full disk, failed write or sync: reported once, and nothing is written
 *   or acknowledged after it. A sync isn't tried again: the kernel may have
 *   dropped the dirty pages, and the second sync would claim success.
 * - Two daemons on one folder: the lock on it refuses the second.
 * - An emptied folder: a new random member id, so that the VM never votes as
 *   its old self.
 */
struct wal_options {
	const char *folder;
	int64_t segment_bytes;	    /**< a new segment after so many bytes */
	const struct file_ops *ops; /**< file_ops_system() */
	const struct error_handler *errors;
	/** All writes up to `ticket` are on the disk; on the disk thread. */
	void (*synced)(void *data, int64_t ticket);
	/** Nothing more is promised; on the disk thread, once. */
	void (*failed)(void *data, enum result code, const char *message);
	void *data;
};

struct wal;

/** 16 MB segments, the system's file calls; folder and calls are to fill. */
struct wal_options wal_default_options(void);

/**
 * Lock the folder and read what it holds. Makes the folder's files at the
 * first start.
 *
 * @param saved  what raft_restore() takes; freed by raft_persistent_state_clear()
 * @return RESULT_OK, RESULT_FOLDER_IN_USE, RESULT_LOG_DAMAGED,
 *         RESULT_DISK_FULL, RESULT_DISK_FAILED; reported to `errors`
 */
enum result wal_open(const struct wal_options *options,
		     struct raft_persistent_state *saved, struct wal **out);

/** Identity kept in the folder. */
uint64_t wal_member_id(const struct wal *wal);

/** Number of this start, counted in the folder. */
int64_t wal_incarnation(const struct wal *wal);

/** Start the disk thread. */
enum result wal_start(struct wal *wal);

/**
 * Give the disk thread a LOG_APPEND, LOG_TRUNCATE, HARD_STATE, SNAPSHOT or
 * LOG_SYNC effect; takes it over. Never blocks on the disk.
 */
void wal_put(struct wal *wal, struct effect *effect);

/** Write what was put without a disk thread, in the caller's thread. */
void wal_flush(struct wal *wal);

/** Write what was put, end the disk thread, unlock the folder, free. */
void wal_close(struct wal *wal);

/** Syncs of the log so far, for measurements. */
int64_t wal_syncs(const struct wal *wal);

#endif
