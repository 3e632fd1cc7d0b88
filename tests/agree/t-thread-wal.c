#include <glib.h>
#include <pthread.h>

#include "disk.h"

struct sync_wait {
	pthread_mutex_t mutex;
	pthread_cond_t changed;
	int64_t synced;
};

static void record_synced_ticket(void *data, int64_t ticket)
{
	struct sync_wait *wait = data;

	pthread_mutex_lock(&wait->mutex);
	g_assert_cmpint(ticket, >, wait->synced);
	wait->synced = ticket;
	pthread_cond_signal(&wait->changed);
	pthread_mutex_unlock(&wait->mutex);
}

static void report_wal_failure(void *data, enum result code,
			       const char *message)
{
	g_error("%s", message);
}

static void disk_thread_serves_many_tickets_by_few_syncs(void)
{
	struct wal_options options = wal_default_options();
	struct sync_wait waiting = { PTHREAD_MUTEX_INITIALIZER,
				     PTHREAD_COND_INITIALIZER, 0 };
	struct raft_persistent_state saved;
	struct disk disk;
	struct wal *wal;
	int64_t i;

	disk_init(&disk);
	options.folder = disk.folder;
	options.synced = record_synced_ticket;
	options.failed = report_wal_failure;
	options.data = &waiting;
	g_assert_cmpint(wal_open(&options, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpint(wal_start(wal), ==, RESULT_OK);
	disk_put_hard_state(wal, 1, 1);
	for (i = 1; i <= 500; i++) {
		disk_put_entry(wal, i, 1, "entry");
		disk_put_sync(wal, i);
	}
	pthread_mutex_lock(&waiting.mutex);
	while (waiting.synced < 500)
		pthread_cond_wait(&waiting.changed, &waiting.mutex);
	pthread_mutex_unlock(&waiting.mutex);
	g_assert_cmpint(wal_syncs(wal), <=, 501);
	wal_close(wal);
	g_assert_cmpint(wal_open(&options, &saved, &wal), ==, RESULT_OK);
	g_assert_cmpuint(saved.n_entries, ==, 500);
	raft_persistent_state_clear(&saved);
	wal_close(wal);
	disk_clear(&disk);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/wal/thread",
			disk_thread_serves_many_tickets_by_few_syncs);
	return g_test_run();
}
