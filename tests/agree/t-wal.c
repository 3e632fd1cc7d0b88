#include <errno.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "disk.h"

/* Write two batches: term 1 with entries 1 and 2, then entry 3. */
static void write_two_batches(struct disk *disk)
{
	struct raft_persistent_state saved;
	struct wal *wal;

	g_assert_cmpint(disk_open(disk, &saved, &wal), ==, RESULT_OK);
	disk_put_hard_state(wal, 1, 42);
	disk_put_entry(wal, 1, 1, "one");
	disk_put_entry(wal, 2, 1, "two");
	disk_put_sync(wal, 1);
	wal_flush(wal);
	disk_put_entry(wal, 3, 1, "three");
	disk_put_sync(wal, 2);
	wal_flush(wal);
	g_assert_cmpint(disk->synced, ==, 2);
	wal_close(wal);
}

static size_t entries_after_start(struct disk *disk, enum result *code)
{
	struct raft_persistent_state saved;
	struct wal *wal;
	size_t n;

	*code = disk_open(disk, &saved, &wal);
	n = saved.n_entries;
	if (*code == RESULT_OK) {
		g_assert_cmpint(saved.term, ==, 1);
		g_assert_cmpuint(saved.vote, ==, 42);
	}
	raft_persistent_state_clear(&saved);
	wal_close(wal);
	return n;
}

static void restart_finds_what_was_synced(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;
	uint64_t id;

	disk_init(&disk);
	write_two_batches(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpuint(saved.n_entries, ==, 3);
	g_assert_cmpstr(bytes_text(&saved.entries[2].body), ==, "three");
	g_assert_cmpint(wal_incarnation(wal), ==, 2);
	id = wal_member_id(wal);
	disk_put_truncate(wal, 2);
	disk_put_hard_state(wal, 2, 7);
	disk_put_entry(wal, 2, 2, "other");
	disk_put_sync(wal, 3);
	wal_close(wal);
	raft_persistent_state_clear(&saved);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpuint(saved.n_entries, ==, 2);
	g_assert_cmpint(saved.entries[1].term, ==, 2);
	g_assert_cmpuint(saved.vote, ==, 7);
	g_assert_cmpuint(wal_member_id(wal), ==, id);
	wal_close(wal);
	raft_persistent_state_clear(&saved);
	disk_clear(&disk);
}

/*
 * Power is lost during a write. Whichever part of it reached the disk, the
 * daemon must start, keep all that was synced before, and accept new entries.
 */
static void torn_tail_is_cut_at_each_byte(void)
{
	struct disk disk;
	char *content;
	gsize len;
	gsize whole;
	gsize first;
	char *path;
	enum result code;

	disk_init(&disk);
	write_two_batches(&disk);
	path = disk_find(&disk, "log-");
	g_assert_true(g_file_get_contents(path, &content, &whole, NULL));
	/* the last frame: 16 bytes, an item of 24 bytes, "three" */
	first = whole - 45;
	for (len = first; len < whole; len++) {
		g_file_set_contents(path, content, (gssize)len, NULL);
		g_assert_cmpuint(entries_after_start(&disk, &code), ==, 2);
		g_assert_cmpint(code, ==, RESULT_OK);
	}
	g_free(content);
	g_free(path);
	disk_clear(&disk);
}

/*
 * A damaged block in the middle of the log loses acknowledged entries. The
 * daemon must not start, or it would vote as if it had never had them.
 */
static void damaged_middle_stops_the_start_at_each_byte(void)
{
	struct disk disk;
	char *content;
	gsize whole;
	gsize at;
	char *path;
	enum result code;

	disk_init(&disk);
	write_two_batches(&disk);
	path = disk_find(&disk, "log-");
	g_assert_true(g_file_get_contents(path, &content, &whole, NULL));
	for (at = 0; at < whole - 45; at++) {
		content[at] ^= 0x10;
		g_file_set_contents(path, content, (gssize)whole, NULL);
		entries_after_start(&disk, &code);
		g_assert_cmpint(code, ==, RESULT_LOG_DAMAGED);
		g_assert_nonnull(strstr(disk.message, "log-"));
		content[at] ^= 0x10;
	}
	g_file_set_contents(path, content, (gssize)whole, NULL);
	g_assert_cmpuint(entries_after_start(&disk, &code), ==, 3);
	g_free(content);
	g_free(path);
	disk_clear(&disk);
}

static void expect_failure(struct disk *disk, struct wal *wal, enum result code)
{
	int64_t before = disk->synced;

	disk_put_entry(wal, 4, 1, "four");
	disk_put_sync(wal, 3);
	wal_flush(wal);
	g_assert_cmpint(disk->failures, ==, 1);
	g_assert_cmpint(disk->code, ==, code);
	g_assert_nonnull(disk->message);
	/* the fault is over, but still nothing is written or acknowledged */
	disk->writes_left = -1;
	disk->sync_fails = false;
	disk_put_sync(wal, 4);
	wal_flush(wal);
	g_assert_cmpint(disk->synced, ==, before);
	g_assert_cmpint(disk->failures, ==, 1);
}

/* The disk fills up while an operator changes a setting. */
static void full_disk_acknowledges_nothing(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;
	enum result code;

	disk_init(&disk);
	write_two_batches(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	raft_persistent_state_clear(&saved);
	disk.writes_left = 1;
	expect_failure(&disk, wal, RESULT_DISK_FULL);
	wal_close(wal);
	g_assert_cmpuint(entries_after_start(&disk, &code), ==, 3);
	g_assert_cmpint(code, ==, RESULT_OK);
	disk_clear(&disk);
}

/*
 * A sync fails and the next one succeeds although the kernel dropped the pages:
 * nothing may be acknowledged after the first failure.
 */
static void failed_sync_is_not_retried(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;

	disk_init(&disk);
	write_two_batches(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	raft_persistent_state_clear(&saved);
	disk.sync_fails = true;
	expect_failure(&disk, wal, RESULT_DISK_FAILED);
	wal_close(wal);
	disk_clear(&disk);
}

/* Entries whose sync failed count as durable once the log is opened again. */
static void reopened_log_is_written_and_synced_again(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;
	size_t len;
	g_autofree char *log = NULL;
	g_autofree char *content = NULL;

	disk_init(&disk);
	write_two_batches(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	raft_persistent_state_clear(&saved);
	disk.sync_fails = true;
	expect_failure(&disk, wal, RESULT_DISK_FAILED);
	wal_close(wal);
	disk.sync_fails = true;
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_DISK_FAILED);
	disk.sync_fails = false;
	disk.unsynced = 0;
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpuint(saved.n_entries, ==, 4);
	raft_persistent_state_clear(&saved);
	log = disk_find(&disk, "log-");
	g_assert_true(g_file_get_contents(log, &content, &len, NULL));
	g_assert_cmpint(disk.covered, ==, (int64_t)len);
	wal_close(wal);
	disk_clear(&disk);
}

static void read_only_folder_is_refused(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;

	disk_init(&disk);
	disk.read_only = true;
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_DISK_FAILED);
	g_assert_nonnull(strstr(disk.message, g_strerror(EROFS)));
	disk_clear(&disk);
}

/* Two daemons are started with the same folder: the second one is refused. */
static void second_daemon_on_a_folder_is_refused(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;
	struct wal *second;

	disk_init(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpint(disk_open(&disk, &saved, &second), ==,
			RESULT_FOLDER_IN_USE);
	wal_close(wal);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	wal_close(wal);
	disk_clear(&disk);
}

/*
 * Files of the folder are removed. If the member kept its id, it would vote
 * without knowing what it had acknowledged before.
 */
static void lost_files_stop_the_start(void)
{
	static const char *const prefixes[] = { "log-", "identity" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(prefixes); i++) {
		struct disk disk;
		enum result code;
		char *path;

		disk_init(&disk);
		write_two_batches(&disk);
		path = disk_find(&disk, prefixes[i]);
		g_unlink(path);
		entries_after_start(&disk, &code);
		g_assert_cmpint(code, ==, RESULT_LOG_DAMAGED);
		g_free(path);
		disk_clear(&disk);
	}
}

/* An emptied folder gets a new member id: the old member may have voted. */
static void emptied_folder_has_a_new_identity(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;
	uint64_t id;
	char *path;

	disk_init(&disk);
	write_two_batches(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	id = wal_member_id(wal);
	wal_close(wal);
	raft_persistent_state_clear(&saved);
	while ((path = disk_find(&disk, ""))) {
		g_unlink(path);
		g_free(path);
	}
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpuint(wal_member_id(wal), !=, id);
	g_assert_cmpint(saved.term, ==, 0);
	wal_close(wal);
	disk_clear(&disk);
}

static void write_many(struct wal *wal, int64_t from, int64_t upto)
{
	int64_t i;

	for (i = from; i <= upto; i++) {
		disk_put_entry(wal, i, 1, "twenty bytes of text");
		disk_put_sync(wal, i);
		wal_flush(wal);
	}
}

static int count_segments(const struct disk *disk)
{
	GDir *dir = g_dir_open(disk->folder, 0, NULL);
	const char *name;
	int n = 0;

	while ((name = g_dir_read_name(dir)))
		n += g_str_has_prefix(name, "log-");
	g_dir_close(dir);
	return n;
}

static void snapshot_lets_segments_go(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;
	int before;

	disk_init(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	disk_put_hard_state(wal, 1, 42);
	write_many(wal, 1, 100);
	before = count_segments(&disk);
	disk_put_snapshot(wal, 90, 1, "state");
	disk_put_sync(wal, 101);
	wal_flush(wal);
	g_assert_cmpint(disk.synced, ==, 101);
	g_assert_cmpint(count_segments(&disk), <, before / 2);
	wal_close(wal);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpint(saved.snapshot_index, ==, 90);
	g_assert_cmpstr(bytes_text(&saved.snapshot), ==, "state");
	g_assert_cmpint(saved.entries[saved.n_entries - 1].index, ==, 100);
	g_assert_cmpint(saved.term, ==, 1);
	g_assert_cmpuint(saved.vote, ==, 42);
	raft_persistent_state_clear(&saved);
	wal_close(wal);
	disk_clear(&disk);
}

/*
 * A snapshot from the leader is installed: the log continues far after the old
 * one.
 */
static void installed_snapshot_replaces_the_log(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;

	disk_init(&disk);
	write_two_batches(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	raft_persistent_state_clear(&saved);
	disk_put_snapshot(wal, 500, 1, "state");
	disk_put_entry(wal, 501, 1, "next");
	disk_put_sync(wal, 3);
	wal_close(wal);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpuint(saved.n_entries, ==, 1);
	g_assert_cmpint(saved.entries[0].index, ==, 501);
	raft_persistent_state_clear(&saved);
	wal_close(wal);
	disk_clear(&disk);
}

/*
 * A damaged snapshot must stop the start: its accepted changes are stored
 * nowhere else.
 */
static void damaged_snapshot_stops_the_start(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;
	char *content;
	gsize len;
	gsize at;
	char *path;

	disk_init(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	disk_put_hard_state(wal, 1, 42);
	disk_put_snapshot(wal, 5, 1, "state");
	disk_put_sync(wal, 1);
	wal_close(wal);
	path = disk_find(&disk, "snapshot-");
	g_assert_true(g_file_get_contents(path, &content, &len, NULL));
	for (at = 0; at < len; at++) {
		content[at] ^= 1;
		g_file_set_contents(path, content, (gssize)len, NULL);
		g_assert_cmpint(disk_open(&disk, &saved, &wal), ==,
				RESULT_LOG_DAMAGED);
		content[at] ^= 1;
	}
	g_free(content);
	g_free(path);
	disk_clear(&disk);
}

/* If the new snapshot can't be put in place, the old one stays intact. */
static void snapshot_that_fails_leaves_the_old_one(void)
{
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;

	disk_init(&disk);
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	disk_put_hard_state(wal, 1, 42);
	disk_put_snapshot(wal, 5, 1, "old");
	disk_put_sync(wal, 1);
	wal_flush(wal);
	disk.rename_fails = true;
	disk_put_snapshot(wal, 9, 1, "new");
	disk_put_sync(wal, 2);
	wal_flush(wal);
	g_assert_cmpint(disk.synced, ==, 1);
	g_assert_cmpint(disk.failures, ==, 1);
	wal_close(wal);
	disk.rename_fails = false;
	g_assert_cmpint(disk_open(&disk, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpint(saved.snapshot_index, ==, 5);
	raft_persistent_state_clear(&saved);
	wal_close(wal);
	disk_clear(&disk);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wal/restart", restart_finds_what_was_synced);
	g_test_add_func("/wal/torn-tail", torn_tail_is_cut_at_each_byte);
	g_test_add_func("/wal/damaged-middle",
			damaged_middle_stops_the_start_at_each_byte);
	g_test_add_func("/wal/full-disk", full_disk_acknowledges_nothing);
	g_test_add_func("/wal/failed-sync", failed_sync_is_not_retried);
	g_test_add_func("/wal/reopened",
			reopened_log_is_written_and_synced_again);
	g_test_add_func("/wal/read-only", read_only_folder_is_refused);
	g_test_add_func("/wal/lock", second_daemon_on_a_folder_is_refused);
	g_test_add_func("/wal/lost-files", lost_files_stop_the_start);
	g_test_add_func("/wal/emptied", emptied_folder_has_a_new_identity);
	g_test_add_func("/wal/compaction", snapshot_lets_segments_go);
	g_test_add_func("/wal/install", installed_snapshot_replaces_the_log);
	g_test_add_func("/wal/damaged-snapshot",
			damaged_snapshot_stops_the_start);
	g_test_add_func("/wal/failed-snapshot",
			snapshot_that_fails_leaves_the_old_one);
	return g_test_run();
}
