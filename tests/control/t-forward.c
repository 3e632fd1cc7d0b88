#include <glib.h>
#include <string.h>

#include "feed/feed.h"
#include "group.h"

#define SECOND INT64_C(1000000)
#define FORWARD_BYTES_MAX 100

static const int seeds[] = { 0, 1, 2 };

/* Five VMs that hand changes on, and hold version 1. */
static struct group *site(void)
{
	struct group *group = group_new(5, seeds, 3, 1);
	int i;

	group_set_forward(group, FORWARD_BYTES_MAX);
	for (i = 0; i < 5; i++)
		group_start(group, i);
	group_run(group, 4 * SECOND);
	group_put(group, group_leader(group), 1);
	group_run(group, SECOND);
	return group;
}

static int any_follower(struct group *group)
{
	return (group_leader(group) + 1) % 5;
}

/* An operator needs a second call, to the leader alone, for each change. */
static void test_acknowledged(void)
{
	struct group *group = site();
	int leader = group_leader(group);
	uint64_t call = group_put(group, any_follower(group), 2);

	g_assert_cmpint(group_code(group, call), ==, -1);
	group_run(group, SECOND / 10);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	g_assert_cmpint(group_view(group, leader).version, ==, 2);
	group_free(group);
}

/* A change is acknowledged that only the leader has. */
static void test_no_quorum(void)
{
	struct group *group = site();
	int leader = group_leader(group);
	int follower = any_follower(group);
	uint64_t call;
	int vm;

	for (vm = 0; vm < 5; vm++) {
		if (vm == leader || vm == follower)
			continue;
		group_cut(group, leader, vm, true);
		group_cut(group, follower, vm, true);
	}
	call = group_put(group, follower, 2);
	group_run(group, 5 * SECOND);
	g_assert_cmpint(group_code(group, call), !=, -1);
	g_assert_cmpint(group_code(group, call), !=, RESULT_OK);
	group_free(group);
}

/* An operator waits for a leader whose link is down. */
static void test_link_down(void)
{
	struct group *group = site();
	int follower = any_follower(group);
	uint64_t call = group_put(group, follower, 2);

	group_cut(group, follower, group_leader(group), true);
	group_run(group, 2 * GROUP_STEP_US);
	g_assert_cmpint(group_code(group, call), ==, RESULT_NO_QUORUM);
	group_free(group);
}

/* An operator waits for ever for a leader that stands still. */
static void test_frozen(void)
{
	struct group *group = site();
	uint64_t call;

	group_freeze(group, group_leader(group), true);
	call = group_put(group, (group_leader(group) + 1) % 5, 2);
	group_run(group, 5 * SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_NO_QUORUM);
	group_free(group);
}

/* A document that is too long to be handed on is refused. */
static void test_too_long(void)
{
	struct group *group = site();
	struct bytes text = { 0 };
	uint64_t call;
	int i;

	for (i = 0; i <= FORWARD_BYTES_MAX; i++)
		bytes_append_text(&text, " ");
	call = group_put_text(group, any_follower(group), 2, &text);
	g_assert_cmpint(group_code(group, call), ==, RESULT_NOT_LEADER);
	g_assert_nonnull(group_body(group, call));
	bytes_clear(&text);
	group_free(group);
}

/* Changes are handed on to VMs of a release that doesn't know of it. */
static void test_earlier_release(void)
{
	static const char plain[] = "\x92\x09\x05";
	struct feed_clock clock = { 5, true, true };
	struct feed_message message;
	struct bytes body = { 0 };

	g_assert_true(feed_read(&message, plain, sizeof(plain) - 1));
	g_assert_cmpint(message.u.clock.wall_us, ==, 5);
	g_assert_false(message.u.clock.changes);
	g_assert_false(message.u.clock.evacuations);
	feed_clear(&message);
	feed_write_clock(&body, &clock);
	g_assert_true(feed_read(&message, body.data, body.len));
	g_assert_true(message.u.clock.changes);
	g_assert_true(message.u.clock.evacuations);
	feed_clear(&message);
	bytes_clear(&body);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/forward/acknowledged", test_acknowledged);
	g_test_add_func("/forward/no-quorum", test_no_quorum);
	g_test_add_func("/forward/link-down", test_link_down);
	g_test_add_func("/forward/frozen", test_frozen);
	g_test_add_func("/forward/too-long", test_too_long);
	g_test_add_func("/forward/earlier-release", test_earlier_release);
	return g_test_run();
}
