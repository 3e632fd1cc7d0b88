#include <glib.h>

#include "entries.h"
#include "streams.h"

#define SECOND INT64_C(1000000)
#define VMS 7
#define SERVERS 8
#define PER_S 80
#define LEAVING 3

/* The site's time after which a server that leaves gets no request. */
#define DRAIN_US (2 * SECOND)

static struct entries_traffic start(void)
{
	struct entries_traffic traffic =
		entries_traffic(entries_new(VMS, SERVERS), PER_S);

	traffic.entries->path = ENTRIES_AGAIN;
	entries_play(&traffic, 3 * SECOND);
	return traffic;
}

/* The first servers say so in their answers, and announce nothing of it. */
static void say_leaving(struct entries *entries)
{
	int i;

	for (i = 0; i < LEAVING; i++)
		entries->servers[i].says_leaving = true;
}

/* Later than the site's time after the first one that the VM was told by. */
static int count_late_at(const struct entries *entries, guint from)
{
	const struct entries_arrival *first =
		&g_array_index(entries->arrived, struct entries_arrival, from);

	return entries_count_after(entries, from, first->at_us + DRAIN_US + 1,
				   INT64_MAX);
}

static int most_late(const struct entries *entries)
{
	int most = 0;
	guint i;

	for (i = 0; i < entries->arrived->len; i++)
		if (g_array_index(entries->arrived, struct entries_arrival, i)
			    .leaving)
			most = MAX(most, count_late_at(entries, i));
	return most;
}

static void check(struct entries *entries)
{
	g_assert_cmpint(most_late(entries), ==, 0);
	g_assert_cmpint(entries->failed, ==, 0);
	entries_free(entries);
}

static void test_in_touch(void)
{
	struct entries_traffic traffic = start();

	say_leaving(traffic.entries);
	entries_play(&traffic, 8 * SECOND);
	g_assert_cmpint(traffic.entries->refused, ==, 0);
	check(traffic.entries);
}

/* The VMs are cut off from control VMs for as long as they may decide. */
static void test_out_of_touch(void)
{
	struct entries_traffic traffic = start();
	int vm;

	say_leaving(traffic.entries);
	for (vm = 0; vm < VMS; vm++)
		entries_cut(traffic.entries, vm, true);
	entries_play(&traffic, 8 * SECOND);
	for (vm = 0; vm < VMS; vm++)
		entries_cut(traffic.entries, vm, false);
	entries_play(&traffic, 4 * SECOND);
	check(traffic.entries);
}

/* They say so as they turn all away, and ask for time. */
static void test_turned_away(void)
{
	struct entries_traffic traffic = start();
	int i;

	say_leaving(traffic.entries);
	for (i = 0; i < LEAVING; i++) {
		traffic.entries->servers[i].rejects = true;
		traffic.entries->servers[i].retry_after_us = SECOND;
	}
	entries_play(&traffic, 8 * SECOND);
	check(traffic.entries);
}

/* In the heads of streams that go on for longer. */
static void test_streams(void)
{
	struct entries_traffic traffic = start();
	struct entries *entries = traffic.entries;

	say_leaving(entries);
	streams_begin_many(entries, 80, 50000);
	entries_run(entries, 2 * SECOND);
	g_assert_cmpint(streams_in_state(entries, STREAMS_WHOLE), ==, 80);
	check(entries);
}

/* A later announcement says that it is ready; it has said that it leaves. */
static void test_ready_later(void)
{
	struct entries_traffic traffic = start();
	int i;

	say_leaving(traffic.entries);
	entries_play(&traffic, SECOND);
	for (i = 0; i < LEAVING; i++)
		traffic.entries->servers[i].says_leaving = false;
	entries_play(&traffic, 8 * SECOND);
	check(traffic.entries);
}

/* A new start at the address has said nothing. */
static void test_new_start(void)
{
	struct entries_traffic traffic = start();
	struct entries *entries = traffic.entries;
	int64_t up_us;
	int n = 0;
	guint i;

	say_leaving(entries);
	entries_play(&traffic, 3 * SECOND);
	for (i = 0; i < LEAVING; i++) {
		entries->servers[i].says_leaving = false;
		entries_restart_server(entries, (int)i, "v1");
	}
	up_us = entries->servers[0].up_us;
	entries_play(&traffic, 4 * SECOND);
	for (i = 0; i < entries->arrived->len; i++) {
		const struct entries_arrival *arrival =
			&g_array_index(entries->arrived, struct entries_arrival,
				       i);

		n += arrival->server == 0 && arrival->at_us >= up_us &&
		     arrival->at_us < up_us + 2 * SECOND;
	}
	g_assert_cmpint(n, >=, 10);
	check(entries);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/says-leaving/in-touch", test_in_touch);
	g_test_add_func("/says-leaving/out-of-touch", test_out_of_touch);
	g_test_add_func("/says-leaving/turned-away", test_turned_away);
	g_test_add_func("/says-leaving/streams", test_streams);
	g_test_add_func("/says-leaving/ready-later", test_ready_later);
	g_test_add_func("/says-leaving/new-start", test_new_start);
	return g_test_run();
}
