#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/disk/snapshot.h"
#include "daemon/disk/wal.h"

/**
 * What a restart costs by the length of the log, and a snapshot by its size,
 * on real files.
 */
#define ENTRY_BYTES 200
#define BATCH 1000
#define MAX_SEGMENTS 64

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static void on_synced(void *data, int64_t ticket)
{
}

static void on_failed(void *data, enum result code, const char *message)
{
	fprintf(stderr, "disk: %s\n", message);
	exit(EXIT_FAILURE);
}

static void on_error(void *data, enum result code, const char *message)
{
	fprintf(stderr, "%s\n", message);
}

static const struct error_handler errors = { on_error, NULL };

static void remove_file(const char *folder, const char *name)
{
	cleanup(free_ptr) char *path = xstrfmt("%s/%s", folder, name);

	unlink(path);
}

static void remove_folder(const char *folder)
{
	int i;

	remove_file(folder, "lock");
	remove_file(folder, "identity");
	for (i = 1; i < MAX_SEGMENTS; i++) {
		cleanup(free_ptr) char *name = xstrfmt("log-%020d", i);

		remove_file(folder, name);
	}
	rmdir(folder);
}

static struct wal *open_log(const char *path,
			    struct raft_persistent_state *saved)
{
	struct wal_options options = wal_default_options();
	struct wal *wal;

	options.folder = path;
	options.synced = on_synced;
	options.failed = on_failed;
	options.errors = &errors;
	if (wal_open(&options, saved, &wal) != RESULT_OK)
		exit(EXIT_FAILURE);
	return wal;
}

static void write_log(const char *path, int64_t entries)
{
	static const char body[ENTRY_BYTES] = { RAFT_ENTRY_COMMAND };
	struct raft_persistent_state saved;
	struct wal *wal = open_log(path, &saved);
	struct effects effects;
	int64_t i;

	effects_init(&effects);
	effects_add(&effects, EFFECT_HARD_STATE)->u.hard_state.term = 1;
	for (i = 1; i <= entries; i++) {
		struct effect *effect =
			effects_add(&effects, EFFECT_LOG_APPEND);

		effect->u.log_append.index = i;
		effect->u.log_append.term = 1;
		bytes_append(&effect->u.log_append.body, body, sizeof(body));
		while ((effect = effects_take(&effects)))
			wal_put(wal, effect);
		if (i % BATCH == 0)
			wal_flush(wal);
	}
	wal_close(wal);
}

static void measure_recovery(const char *folder, int64_t entries)
{
	cleanup(free_ptr) char *path = xstrfmt("%s/log", folder);
	struct raft_options options = raft_default_options();
	struct raft_persistent_state saved;
	struct wal *wal;
	struct raft *raft;
	int64_t start_us;
	int64_t opened_us;

	write_log(path, entries);
	start_us = now_us();
	wal = open_log(path, &saved);
	opened_us = now_us();
	options.self.id = wal_member_id(wal);
	options.self.disk = true;
	raft = raft_new(&options, opened_us);
	if (raft_restore(raft, &saved) != RESULT_OK)
		exit(EXIT_FAILURE);
	printf("| %lld | %.1f | %.1f |\n", (long long)entries,
	       (double)(opened_us - start_us) / 1e3,
	       (double)(now_us() - opened_us) / 1e3);
	raft_free(raft);
	raft_persistent_state_clear(&saved);
	wal_close(wal);
	remove_folder(path);
}

static void measure_snapshot(const char *folder, size_t megabytes)
{
	struct snapshot snapshot = { .index = 1, .term = 1 };
	struct snapshot read;
	size_t len = megabytes << 20;
	cleanup(free_ptr) char *body = xcalloc(1, len);
	cleanup(free_ptr) char *path = xstrfmt("%s/snapshot-%020d", folder, 1);
	int64_t start_us;
	int64_t saved_us;

	bytes_append(&snapshot.body, body, len);
	start_us = now_us();
	if (snapshot_save(folder, &snapshot, file_ops_system(), &errors))
		exit(EXIT_FAILURE);
	saved_us = now_us();
	if (snapshot_load(folder, &read, &errors))
		exit(EXIT_FAILURE);
	printf("| %zu | %.1f | %.1f |\n", megabytes,
	       (double)(saved_us - start_us) / 1e3,
	       (double)(now_us() - saved_us) / 1e3);
	bytes_clear(&read.body);
	bytes_clear(&snapshot.body);
	unlink(path);
}

int main(int argc, char **argv)
{
	char *folder =
		xstrfmt("%s/recovery-cost-XXXXXX", argc > 1 ? argv[1] : ".");

	if (!mkdtemp(folder)) {
		perror(folder);
		return EXIT_FAILURE;
	}
	printf("| log entries | read ms | restore ms |\n|---|---|---|\n");
	measure_recovery(folder, 1000);
	measure_recovery(folder, 10000);
	measure_recovery(folder, 100000);
	printf("\n| snapshot MB | save ms | load ms |\n|---|---|---|\n");
	measure_snapshot(folder, 1);
	measure_snapshot(folder, 8);
	measure_snapshot(folder, 32);
	rmdir(folder);
	free(folder);
	return EXIT_SUCCESS;
}
