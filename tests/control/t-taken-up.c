/*
 * Streams that some VM knows are taken up while entry VMs have no links to
 * control VMs.
 */
#include <glib.h>

#include "order.h"

#define OUT (ORDER_VMS - 1)
#define CONTROL_VMS 5
#define CUT_US (4 * SECOND)
#define NOTICED_US (6 * SECOND / 5)
#define COME_BACK_US (3 * SECOND / 10)

/* A server that starts again is up by then, and hasn't been heard. */
#define STARTED_US (5 * SECOND / 2)

struct play {
	struct entries *entries;
	int64_t ends_us; /* the cut */
	int refusals;
};

static void begin_at(struct play *play, int first, int n)
{
	int i;

	for (i = 0; i < ORDER_STREAMS; i++) {
		streams_begin(play->entries, first + i % n);
		entries_run(play->entries, SECOND / 200);
	}
	entries_run(play->entries, ORDER_LEAVE_US);
	order_leave_all(play->entries);
}

static void cut(struct play *play, int vm)
{
	entries_cut(play->entries, vm, true);
	play->ends_us = group_now(play->entries->group) + CUT_US;
}

static void come_back(struct play *play, int vm)
{
	guint i;

	for (i = 0; i < play->entries->streams->len; i++) {
		struct entries_stream *stream = streams_nth(play->entries, i);

		if (stream->events && stream->state != STREAMS_WHOLE &&
		    stream->state != STREAMS_OPEN)
			streams_resume(play->entries, stream, vm);
	}
	entries_run(play->entries, COME_BACK_US);
	play->refusals += streams_in_state(play->entries, STREAMS_REFUSED);
}

static void come_back_until_end(struct play *play, int vm)
{
	while (group_now(play->entries->group) + COME_BACK_US < play->ends_us)
		come_back(play, vm);
}

static void check_none_joined(const struct play *play)
{
	g_test_message("%d resumed, %d whole, %d joined, %d refusals",
		       streams_resumed(play->entries),
		       streams_in_state(play->entries, STREAMS_WHOLE),
		       streams_joined(play->entries), play->refusals);
	g_assert_cmpint(streams_resumed(play->entries), >=, ORDER_STREAMS / 2);
	g_assert_cmpint(streams_joined(play->entries), ==, 0);
}

/* Before the cut ends. */
static void check_whole(const struct play *play)
{
	guint i;

	check_none_joined(play);
	for (i = 0; i < play->entries->streams->len; i++)
		if (streams_nth(play->entries, i)->events)
			g_assert_cmpint(streams_nth(play->entries, i)->events,
					==, STREAMS_EVENTS);
}

static void end(struct play *play)
{
	entries_free(play->entries);
}

static struct play start(const char *const versions[ORDER_SERVERS])
{
	struct play play = { .entries = order_start(versions) };

	play.entries->announce_in_turn = true;
	return play;
}

static void play_at_cut(const char *const versions[ORDER_SERVERS])
{
	struct play play = start(versions);

	begin_at(&play, 0, OUT);
	cut(&play, OUT);
	entries_run(play.entries, NOTICED_US);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	end(&play);
}

static void test_at_cut_vm(void)
{
	play_at_cut(order_one);
	play_at_cut(order_two);
}

/* Its links are open, and nothing comes by them. */
static void test_at_silent_vm(void)
{
	struct play play = start(order_two);

	begin_at(&play, 0, OUT);
	entries_slow(play.entries, OUT, CUT_US);
	entries_slow_news(play.entries, OUT, CUT_US);
	play.ends_us = group_now(play.entries->group) + CUT_US;
	entries_run(play.entries, NOTICED_US);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	end(&play);
}

static void test_at_vm_just_cut(void)
{
	struct play play = start(order_two);

	begin_at(&play, 0, OUT);
	cut(&play, OUT);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	end(&play);
}

static void test_begun_at_cut_vm(void)
{
	struct play play = start(order_two);

	cut(&play, 0);
	entries_run(play.entries, NOTICED_US);
	begin_at(&play, 0, 1);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	end(&play);
}

static void test_begun_at_vm_just_cut(void)
{
	struct play play = start(order_two);

	cut(&play, 0);
	begin_at(&play, 0, 1);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	end(&play);
}

static void test_both_cut(void)
{
	struct play play = start(order_two);

	cut(&play, 0);
	cut(&play, OUT);
	entries_run(play.entries, NOTICED_US);
	begin_at(&play, 0, 1);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	end(&play);
}

/* The VM and two of five control VMs have no links to the others. */
static void cut_with_minority(struct play *play, int vm)
{
	int a;
	int b;

	for (b = 2; b < CONTROL_VMS; b++) {
		for (a = 0; a < 2; a++)
			group_cut(play->entries->group, a, b, true);
		entries_cut_from(play->entries, vm, b, true);
	}
	for (b = 0; b < 2; b++)
		for (a = 0; a < ORDER_VMS; a++)
			if (a != vm)
				entries_cut_from(play->entries, a, b, true);
	play->ends_us = group_now(play->entries->group) + CUT_US;
}

static void test_at_minority_vm(void)
{
	struct play play = start(order_two);

	begin_at(&play, 0, OUT);
	cut_with_minority(&play, OUT);
	entries_run(play.entries, NOTICED_US);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	end(&play);
}

static void test_begun_at_minority_vm(void)
{
	struct play play = start(order_two);

	cut_with_minority(&play, 0);
	entries_run(play.entries, NOTICED_US);
	begin_at(&play, 0, 1);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	end(&play);
}

/* The VM may decide on nothing any more; its neighbours may. */
static void test_long_cut(void)
{
	struct play play = start(order_two);
	const struct entries_asked *asked;

	cut(&play, OUT);
	entries_run(play.entries, 6 * SECOND);
	play.ends_us = group_now(play.entries->group) + 2 * SECOND;
	begin_at(&play, 0, OUT);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	asked = entries_send(play.entries, OUT,
			     &(struct entries_ask){ .path = ENTRIES_AGAIN });
	entries_run(play.entries, 2 * SECOND);
	g_assert_cmpint(asked->code, ==, RESULT_STALE);
	end(&play);
}

/* The same at a VM that control VMs without a leader answer. */
static void test_long_minority(void)
{
	struct play play = start(order_two);

	cut_with_minority(&play, OUT);
	entries_run(play.entries, 7 * SECOND);
	play.ends_us = group_now(play.entries->group) + 2 * SECOND;
	begin_at(&play, 0, OUT);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	end(&play);
}

static void test_long_cut_and_back(void)
{
	struct play play = start(order_two);

	cut(&play, OUT);
	entries_run(play.entries, 6 * SECOND);
	entries_cut(play.entries, OUT, false);
	entries_run(play.entries, 6 * SECOND);
	play.ends_us = group_now(play.entries->group) + 2 * SECOND;
	begin_at(&play, 0, OUT);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpuint(play.entries->neighbours->len, ==, 0);
	end(&play);
}

/* Servers break streams off that the VM goes on with by itself. */
static void test_within_answers(void)
{
	struct play play = start(order_two);
	guint i;

	cut(&play, OUT);
	entries_run(play.entries, 2 * SECOND);
	play.entries->servers[0].break_at = STREAMS_EVENTS / 2;
	play.entries->servers[1].break_at = STREAMS_EVENTS / 2;
	for (i = 0; i < ORDER_STREAMS; i++) {
		streams_begin(play.entries, OUT);
		entries_run(play.entries, SECOND / 50);
	}
	entries_run(play.entries, SECOND);
	g_assert_cmpint(streams_joined(play.entries), ==, 0);
	g_assert_cmpint(streams_in_state(play.entries, STREAMS_WHOLE), ==,
			ORDER_STREAMS);
	end(&play);
}

/* The VM stands still while its callers come back to it. */
static void test_stood_still(void)
{
	struct play play = start(order_two);

	begin_at(&play, 0, OUT);
	entries_freeze(play.entries, OUT, true);
	entries_run(play.entries, 3 * SECOND);
	entries_freeze(play.entries, OUT, false);
	play.ends_us = group_now(play.entries->group) + 2 * SECOND;
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	end(&play);
}

/* Some neighbours stop, and refuse what may not end before they do. */
static void test_stopping_neighbours(void)
{
	struct play play = start(order_two);
	int vm;

	begin_at(&play, 0, OUT);
	for (vm = 0; vm < OUT - 1; vm++)
		entries_stop(play.entries, vm);
	entries_run(play.entries, 3 * SECOND);
	cut(&play, OUT);
	entries_run(play.entries, NOTICED_US);
	come_back_until_end(&play, OUT);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	end(&play);
}

/* There is no control VM; the VMs that began the streams know them. */
static void test_no_control_vms(void)
{
	struct play play = start(order_two);

	begin_at(&play, 0, OUT);
	group_kill_all(play.entries->group);
	entries_run(play.entries, NOTICED_US);
	come_back(&play, OUT);
	entries_run(play.entries, SECOND);
	check_whole(&play);
	g_assert_cmpint(play.refusals, ==, 0);
	end(&play);
}

/* A VM that reaches no other VM refuses what it doesn't know. */
static void test_isolated(void)
{
	struct play play = start(order_two);

	begin_at(&play, 0, OUT);
	entries_isolate(play.entries, OUT, true);
	play.ends_us = group_now(play.entries->group) + CUT_US;
	g_assert_true(entries_ready(play.entries, OUT));
	entries_run(play.entries, 2 * SECOND);
	g_assert_false(entries_ready(play.entries, OUT));
	g_assert_true(entries_ready(play.entries, 0));
	come_back_until_end(&play, OUT);
	check_none_joined(&play);
	g_assert_cmpint(streams_gone_on(play.entries), ==, 0);
	entries_isolate(play.entries, OUT, false);
	entries_run(play.entries, SECOND);
	g_assert_true(entries_ready(play.entries, OUT));
	come_back(&play, OUT);
	entries_run(play.entries, SECOND);
	check_whole(&play);
	end(&play);
}

/* A VM that hears of no server goes on with its own streams at those. */
static void test_started_again_unheard(void)
{
	struct play play = start(order_one);
	int i;

	begin_at(&play, OUT, 1);
	cut(&play, OUT);
	for (i = 0; i < ORDER_SERVERS; i++)
		entries_restart_server(play.entries, i, i % 2 ? "v2" : "v1");
	entries_run(play.entries, STARTED_US);
	come_back_until_end(&play, OUT);
	check_none_joined(&play);
	end(&play);
}

/* The same, as no other VM can tell it. */
static void test_started_again_isolated(void)
{
	struct play play = start(order_one);
	int i;

	begin_at(&play, OUT, 1);
	entries_isolate(play.entries, OUT, true);
	for (i = 0; i < ORDER_SERVERS; i++)
		entries_restart_server(play.entries, i, i % 2 ? "v2" : "v1");
	entries_run(play.entries, 3 * SECOND);
	play.ends_us = group_now(play.entries->group) + SECOND;
	come_back_until_end(&play, OUT);
	entries_isolate(play.entries, OUT, false);
	entries_run(play.entries, SECOND);
	play.ends_us = group_now(play.entries->group) + 3 * SECOND;
	come_back_until_end(&play, OUT);
	check_whole(&play);
	end(&play);
}

/* What is told of servers is old when it comes. */
static void test_started_again_slow(void)
{
	struct play play = start(order_one);
	int i;

	entries_slow(play.entries, OUT, 3 * SECOND / 2);
	entries_slow_news(play.entries, OUT, 3 * SECOND / 2);
	entries_run(play.entries, 5 * SECOND);
	begin_at(&play, OUT, 1);
	for (i = 0; i < ORDER_SERVERS; i++)
		entries_restart_server(play.entries, i, i % 2 ? "v2" : "v1");
	entries_run(play.entries, STARTED_US);
	play.ends_us = group_now(play.entries->group) + 3 * SECOND;
	come_back_until_end(&play, OUT);
	check_none_joined(&play);
	end(&play);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/taken-up/at-cut-vm", test_at_cut_vm);
	g_test_add_func("/taken-up/at-silent-vm", test_at_silent_vm);
	g_test_add_func("/taken-up/at-vm-just-cut", test_at_vm_just_cut);
	g_test_add_func("/taken-up/begun-at-cut-vm", test_begun_at_cut_vm);
	g_test_add_func("/taken-up/begun-at-vm-just-cut",
			test_begun_at_vm_just_cut);
	g_test_add_func("/taken-up/both-cut", test_both_cut);
	g_test_add_func("/taken-up/at-minority-vm", test_at_minority_vm);
	g_test_add_func("/taken-up/begun-at-minority-vm",
			test_begun_at_minority_vm);
	g_test_add_func("/taken-up/started-again-unheard",
			test_started_again_unheard);
	g_test_add_func("/taken-up/started-again-isolated",
			test_started_again_isolated);
	g_test_add_func("/taken-up/started-again-slow",
			test_started_again_slow);
	g_test_add_func("/taken-up/long-cut", test_long_cut);
	g_test_add_func("/taken-up/long-minority", test_long_minority);
	g_test_add_func("/taken-up/long-cut-and-back", test_long_cut_and_back);
	g_test_add_func("/taken-up/within-answers", test_within_answers);
	g_test_add_func("/taken-up/stood-still", test_stood_still);
	g_test_add_func("/taken-up/stopping-neighbours",
			test_stopping_neighbours);
	g_test_add_func("/taken-up/no-control-vms", test_no_control_vms);
	g_test_add_func("/taken-up/isolated", test_isolated);
	return g_test_run();
}
