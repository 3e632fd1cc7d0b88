#ifndef TESTS_AGREE_DISK_H
#define TESTS_AGREE_DISK_H

#include "daemon/disk/wal.h"

/** A data folder for tests, whose file operations can be made to fail. */
struct disk {
	char *folder;
	struct file_ops ops;
	int writes_left;  /**< writes until the disk is full; -1 for never */
	bool sync_fails;  /**< each fdatasync fails from now on */
	int64_t unsynced; /**< bytes written since the last fdatasync */
	int64_t covered;  /**< bytes that the last good one covered */
	bool read_only;	  /**< files can't be opened for writing */
	bool rename_fails;
	int64_t synced;	  /**< last ticket reported as synced */
	int failures;	  /**< number of calls of failed() */
	enum result code; /**< of the last failure */
	char *message;	  /**< last error reported */
	struct error_handler errors;
};

void disk_init(struct disk *disk);
void disk_clear(struct disk *disk);

/** Open the log in the folder. */
enum result disk_open(struct disk *disk, struct raft_persistent_state *saved,
		      struct wal **wal);

/** Queue an entry with that text, and a sync with that ticket. */
void disk_put_entry(struct wal *wal, int64_t index, int64_t term,
		    const char *text);
void disk_put_sync(struct wal *wal, int64_t ticket);
void disk_put_hard_state(struct wal *wal, int64_t term, uint64_t vote);
void disk_put_truncate(struct wal *wal, int64_t index);
void disk_put_snapshot(struct wal *wal, int64_t index, int64_t term,
		       const char *text);

/** Path of the last file, by name, with that prefix, or NULL; to be freed. */
char *disk_find(const struct disk *disk, const char *prefix);

#endif
