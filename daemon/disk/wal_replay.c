#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/disk/snapshot.h"
#include "daemon/disk/wal_internal.h"

/** Reading of what an earlier life wrote. */

struct replay {
	struct wal *wal;
	struct raft_persistent_state *saved;
	size_t capacity; /**< of saved->entries */
	struct wal_segment *segment;
	struct bytes content; /**< of the segment */
	const char *path;
};

static enum result replay_damaged(const struct replay *replay, int64_t offset)
{
	return error_report(replay->wal->options.errors, RESULT_LOG_DAMAGED,
			    "%s: damaged at byte %" PRId64 ", with valid "
			    "writes after it; empty the data folder to join "
			    "as a new member",
			    replay->path, offset);
}

static void replay_cut(struct raft_persistent_state *saved, int64_t from)
{
	while (saved->n_entries &&
	       saved->entries[saved->n_entries - 1].index >= from)
		bytes_clear(&saved->entries[--saved->n_entries].body);
}

/** Entries must follow one another, or what the snapshot holds. */
static bool replay_append(struct replay *replay, const struct wal_item *item,
			  const char *body)
{
	struct raft_persistent_state *saved = replay->saved;
	struct raft_entry *entry;

	if (saved->n_entries &&
	    saved->entries[saved->n_entries - 1].index + 1 != item->a) {
		if (item->a > saved->snapshot_index + 1)
			return false;
		replay_cut(saved, 0);
	}
	if (saved->n_entries == replay->capacity) {
		replay->capacity = 2 * replay->capacity + 64;
		saved->entries = xrealloc(saved->entries,
					  replay->capacity * sizeof(*entry));
	}
	entry = &saved->entries[saved->n_entries++];
	memset(entry, 0, sizeof(*entry));
	entry->index = item->a;
	entry->term = item->b;
	bytes_append(&entry->body, body, item->len);
	if (item->a > replay->segment->max_index)
		replay->segment->max_index = item->a;
	return true;
}

static bool replay_item(struct replay *replay, const struct wal_item *item,
			const char *body)
{
	switch (item->kind) {
	case WAL_APPEND:
		return replay_append(replay, item, body);
	case WAL_TRUNCATE:
		replay_cut(replay->saved, item->a);
		return true;
	case WAL_HARD_STATE:
		replay->saved->term = item->a;
		replay->saved->vote = (uint64_t)item->b;
		return true;
	default:
		return false;
	}
}

static bool replay_items(struct replay *replay, const char *at, size_t len)
{
	while (len >= sizeof(struct wal_item)) {
		struct wal_item item;

		memcpy(&item, at, sizeof(item));
		at += sizeof(item);
		len -= sizeof(item);
		if (item.len > len || !replay_item(replay, &item, at))
			return false;
		at += item.len;
		len -= item.len;
	}
	return !len;
}

/** Length of the valid frame at an offset, 0 if there is none. */
static size_t replay_frame_at(const struct replay *replay, size_t offset)
{
	struct wal_frame head;
	const char *at = replay->content.data + offset;
	size_t left = replay->content.len - offset;

	if (left < sizeof(head))
		return 0;
	memcpy(&head, at, sizeof(head));
	if (head.magic != WAL_FRAME_MAGIC || head.len > WAL_MAX_FRAME ||
	    head.len > left - sizeof(head))
		return 0;
	if (head.sum != wal_sum(replay->wal, replay->segment->number,
				(int64_t)offset, at + sizeof(head), head.len))
		return 0;
	return sizeof(head) + head.len;
}

static bool replay_any_frame_after(const struct replay *replay, size_t offset)
{
	for (offset++; offset < replay->content.len; offset++)
		if (replay_frame_at(replay, offset))
			return true;
	return false;
}

/**
 * A last frame that is broken was never acknowledged: a crash came in the
 * middle of it. It goes, so that the next one doesn't stand behind it.
 */
static enum result replay_cut_tail(struct replay *replay, size_t offset)
{
	const struct file_ops *ops = replay->wal->options.ops;
	cleanup(folder_close_fd) int fd =
		ops->open(ops->data, replay->path, O_WRONLY, 0);

	if (fd < 0 || ops->ftruncate(ops->data, fd, (off_t)offset) ||
	    ops->fsync(ops->data, fd))
		return folder_error(replay->wal->options.errors, "cut",
				    replay->path);
	replay->wal->size = (int64_t)offset;
	return RESULT_OK;
}

static enum result replay_frames(struct replay *replay, bool last)
{
	size_t offset = WAL_HEADER_SIZE;
	size_t len;

	if (replay->content.len < WAL_HEADER_SIZE ||
	    memcmp(replay->content.data, WAL_MAGIC, WAL_HEADER_SIZE) != 0) {
		if (!last || replay->content.len > WAL_HEADER_SIZE)
			return replay_damaged(replay, 0);
		return replay_cut_tail(replay, 0);
	}
	while ((len = replay_frame_at(replay, offset))) {
		if (!replay_items(replay,
				  replay->content.data + offset +
					  sizeof(struct wal_frame),
				  len - sizeof(struct wal_frame)))
			return replay_damaged(replay, (int64_t)offset);
		offset += len;
	}
	replay->wal->size = (int64_t)offset;
	if (offset == replay->content.len)
		return RESULT_OK;
	if (!last || replay_any_frame_after(replay, offset))
		return replay_damaged(replay, (int64_t)offset);
	return replay_cut_tail(replay, offset);
}

static enum result replay_read(struct replay *replay)
{
	FILE *file = fopen(replay->path, "re");
	char piece[65536];
	size_t got;
	bool ok;

	if (!file)
		return folder_error(replay->wal->options.errors, "open",
				    replay->path);
	while ((got = fread(piece, 1, sizeof(piece), file)) > 0)
		bytes_append(&replay->content, piece, got);
	ok = !ferror(file);
	fclose(file);
	return ok ? RESULT_OK
		  : folder_error(replay->wal->options.errors, "read",
				 replay->path);
}

/*
 * What was read may never have been synced. It is written again, as after a
 * failed sync the next one would claim success for what the kernel dropped.
 */
static enum result replay_rewrite(struct replay *replay)
{
	const struct file_ops *ops = replay->wal->options.ops;
	cleanup(folder_close_fd) int fd =
		ops->open(ops->data, replay->path, O_WRONLY, 0);

	if (fd < 0 ||
	    !folder_write_all(ops, fd, replay->content.data,
			      (size_t)replay->wal->size) ||
	    ops->fdatasync(ops->data, fd))
		return folder_error(replay->wal->options.errors, "sync",
				    replay->path);
	return RESULT_OK;
}

static enum result replay_segment(struct replay *replay, int64_t number,
				  bool last)
{
	cleanup(free_ptr) char *path = wal_segment_path(replay->wal, number);
	enum result code;

	replay->path = path;
	replay->segment = wal_segment_add(replay->wal, number);
	replay->content.len = 0;
	code = replay_read(replay);
	if (code == RESULT_OK && !replay->wal->identity.member_id &&
	    replay->content.len > WAL_HEADER_SIZE)
		return error_report(replay->wal->options.errors,
				    RESULT_LOG_DAMAGED,
				    "%s: a log without an identity; empty the "
				    "data folder to join as a new member",
				    path);
	if (code == RESULT_OK)
		code = replay_frames(replay, last);
	if (code == RESULT_OK && last)
		code = replay_rewrite(replay);
	return code;
}

static int replay_is_segment(const struct dirent *entry)
{
	return !strncmp(entry->d_name, "log-", 4);
}

/** First and last number of the segments in the folder; 0 for none. */
static void replay_range(const struct wal *wal, int64_t *first, int64_t *last)
{
	struct dirent **names;
	int n = scandir(wal->folder, &names, replay_is_segment, alphasort);
	int i;

	*first = 0;
	*last = 0;
	if (n > 0) {
		*first = strtoll(names[0]->d_name + 4, NULL, 10);
		*last = strtoll(names[n - 1]->d_name + 4, NULL, 10);
	}
	for (i = 0; i < n; i++)
		free(names[i]);
	if (n >= 0)
		free(names);
}

static enum result replay_snapshot(struct wal *wal,
				   struct raft_persistent_state *saved)
{
	struct snapshot snapshot;
	enum result code =
		snapshot_load(wal->folder, &snapshot, wal->options.errors);

	saved->snapshot_index = snapshot.index;
	saved->snapshot_term = snapshot.term;
	saved->snapshot = snapshot.body;
	wal->snapshot_index = snapshot.index;
	return code;
}

/** What is left must continue the snapshot; else entries are missing. */
static enum result replay_check(const struct wal *wal,
				const struct raft_persistent_state *saved)
{
	if (!saved->n_entries ||
	    saved->entries[0].index <= saved->snapshot_index + 1)
		return RESULT_OK;
	return error_report(wal->options.errors, RESULT_LOG_DAMAGED,
			    "%s: the log lacks what comes before entry "
			    "%" PRId64,
			    wal->folder, saved->entries[0].index);
}

enum result wal_replay(struct wal *wal, struct raft_persistent_state *saved)
{
	struct replay replay = { .wal = wal, .saved = saved };
	enum result code = replay_snapshot(wal, saved);
	int64_t first;
	int64_t last;
	int64_t number;

	replay_range(wal, &first, &last);
	if (code == RESULT_OK && wal->identity.member_id && !last)
		return error_report(wal->options.errors, RESULT_LOG_DAMAGED,
				    "%s: the log is missing; empty the data "
				    "folder to join as a new member",
				    wal->folder);
	for (number = first; code == RESULT_OK && last && number <= last;
	     number++)
		code = replay_segment(&replay, number, number == last);
	bytes_clear(&replay.content);
	if (code == RESULT_OK)
		code = replay_check(wal, saved);
	wal->term = saved->term;
	wal->vote = saved->vote;
	if (saved->n_entries)
		wal->last_index = saved->entries[saved->n_entries - 1].index;
	return code;
}
