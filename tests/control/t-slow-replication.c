#include <glib.h>

#include "group.h"

#define MS INT64_C(1000)
#define SECOND INT64_C(1000000)
#define DOCUMENT_BYTES 800000

/* Longer than the election timeout, as a large entry takes on a slow link. */
#define SLOW_US (400 * MS)

static void put_large(struct group *group, int leader, int64_t version)
{
	struct bytes text = { 0 };
	uint64_t call;

	while (text.len < DOCUMENT_BYTES)
		bytes_append_format(&text, "%zu,", text.len);
	call = group_put_text(group, leader, version, &text);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	bytes_clear(&text);
}

static int other_than(int leader)
{
	return (leader + 1) % 5;
}

/* Guards against entries that are sent again while they are on their way. */
static void test_entry_sent_once(void)
{
	struct group *group = group_founded(NULL);
	int leader = group_leader(group);
	int slow = other_than(leader);
	int64_t before;

	group_slow(group, leader, slow, SLOW_US);
	group_run(group, 2 * SECOND);
	before = group_sent_bytes(group, leader, slow);
	put_large(group, leader, 1);
	group_run(group, 2 * SECOND);
	g_assert_cmpint(group_leader(group), ==, leader);
	g_assert_cmpint(group_view(group, slow).version, ==, 1);
	g_assert_cmpint(group_sent_bytes(group, leader, slow) - before, <,
			3 * DOCUMENT_BYTES / 2);
	group_free(group);
}

/* Guards against a follower that never gets an entry that was lost. */
static void test_lost_entry(void)
{
	struct group *group = group_founded(NULL);
	int leader = group_leader(group);
	int deaf = other_than(leader);

	group_mute(group, leader, deaf, true);
	put_large(group, leader, 1);
	g_assert_cmpint(group_view(group, deaf).version, ==, 0);
	group_mute(group, leader, deaf, false);
	group_run(group, 2 * SECOND);
	g_assert_cmpint(group_view(group, deaf).version, ==, 1);
	group_free(group);
}

/* Guards against pieces of a snapshot that are sent again and again. */
static void test_snapshot_sent_once(void)
{
	struct group *group = group_founded(NULL);
	int leader = group_leader(group);
	int late = other_than(leader);
	int64_t version;
	int64_t before;

	group_kill(group, late);
	for (version = 1; version <= 24; version++)
		put_large(group, group_leader(group), version);
	leader = group_leader(group);
	group_slow(group, leader, late, SLOW_US);
	before = group_sent_bytes(group, leader, late);
	group_start(group, late);
	group_run(group, 30 * SECOND);
	g_assert_cmpint(group_view(group, late).version, ==, 24);
	g_assert_cmpint(group_leader(group), ==, leader);
	g_assert_cmpint(group_sent_bytes(group, leader, late) - before, <,
			2 * DOCUMENT_BYTES);
	group_free(group);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/slow-replication/entry-sent-once",
			test_entry_sent_once);
	g_test_add_func("/slow-replication/lost-entry", test_lost_entry);
	g_test_add_func("/slow-replication/snapshot-sent-once",
			test_snapshot_sent_once);
	return g_test_run();
}
