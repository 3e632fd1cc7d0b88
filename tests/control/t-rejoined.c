/* Callers take their streams up after all entry VMs were killed. */
#include <glib.h>
#include <string.h>

#include "order.h"

/* Callers come back again and again while they are refused. */
#define COME_BACK_US (3 * SECOND / 10)
#define COME_BACKS 12

static const char *const six_one[ORDER_SERVERS] = { "v1", "v1", "v1",
						    "v1", "v1", "v2" };

/* Streams that all entry VMs have begun, and that their kill breaks off. */
static struct entries *begin(const char *const versions[ORDER_SERVERS])
{
	struct entries *entries = order_start(versions);

	streams_begin_many(entries, ORDER_STREAMS, SECOND / 200);
	entries_run(entries, ORDER_LEAVE_US);
	return entries;
}

static void kill_entry_vms(struct entries *entries)
{
	int vm;

	for (vm = 0; vm < ORDER_VMS; vm++)
		entries_restart(entries, vm);
}

/* All VMs are killed; the entry VMs are back at once. */
static void kill_all(struct entries *entries)
{
	group_kill_all(entries->group);
	kill_entry_vms(entries);
}

static void come_back(struct entries *entries)
{
	int n;
	guint i;

	for (n = 0; n < COME_BACKS; n++) {
		for (i = 0; i < entries->streams->len; i++) {
			struct entries_stream *stream = streams_nth(entries, i);

			if (stream->events && stream->state != STREAMS_WHOLE &&
			    stream->state != STREAMS_OPEN)
				streams_resume(entries, stream,
					       (int)(i + (guint)n) % ORDER_VMS);
		}
		entries_run(entries, COME_BACK_US);
	}
	entries_run(entries, 2 * SECOND);
}

/* Once the control VMs have started again and heard the servers. */
static void come_back_later(struct entries *entries)
{
	entries_run(entries, SECOND / 2);
	group_start_all(entries->group);
	entries_run(entries, 5 * SECOND);
	come_back(entries);
}

/* It is gone, and says so to a control VM. */
static void leave(struct entries *entries, int server)
{
	group_unregister(entries->group, 0, entries->servers[server].id);
	entries->servers[server].late_us = 3600 * SECOND;
}

/* Its next start has another version and is in use at once. */
static void replace(struct entries *entries, int server, const char *version)
{
	struct entries_server *now = &entries->servers[server];

	entries_restart_server(entries, server, version);
	now->up_us = group_now(entries->group) + SECOND / 4;
	now->started_ms += GROUP_WALL_US / 1000;
}

/* `resumed`: streams that callers take up, at least. */
static void check_none_joined(struct entries *entries, int resumed)
{
	g_assert_cmpint(streams_resumed(entries), >=, resumed);
	g_assert_cmpint(streams_joined(entries), ==, 0);
	entries_free(entries);
}

/* Streams whose version still serves go on, all of them. */
static void check_whole(struct entries *entries)
{
	guint i;

	for (i = 0; i < entries->streams->len; i++)
		if (streams_nth(entries, i)->events)
			g_assert_cmpint(streams_nth(entries, i)->events, ==,
					STREAMS_EVENTS);
	check_none_joined(entries, ORDER_STREAMS / 2);
}

static void test_two_versions(void)
{
	struct entries *entries = begin(order_two);

	kill_entry_vms(entries);
	come_back(entries);
	check_whole(entries);
	entries = begin(six_one);
	kill_entry_vms(entries);
	come_back(entries);
	check_whole(entries);
}

static void test_one_version(void)
{
	struct entries *entries = begin(order_one);

	kill_entry_vms(entries);
	come_back(entries);
	check_whole(entries);
}

/* Control VMs have started again too, and there was never another version. */
static void test_one_version_all_killed(void)
{
	struct entries *entries = begin(order_one);

	kill_all(entries);
	come_back_later(entries);
	check_whole(entries);
}

/* Servers start again as another version while no entry VM sees them. */
static void test_servers_start_unheard(void)
{
	struct entries *entries = begin(order_one);
	int at;

	kill_entry_vms(entries);
	for (at = 0; at < 2; at++) {
		replace(entries, at, "v2");
		entries->servers[at].late_us = 3 * SECOND;
	}
	entries_run(entries, SECOND / 2);
	come_back(entries);
	check_none_joined(entries, ORDER_STREAMS / 2);
}

/* Streams that begin before VMs have heard the servers can't be taken up. */
static void test_begun_at_start(void)
{
	struct entries *entries = order_start(order_one);
	guint i;
	int at;

	kill_entry_vms(entries);
	for (at = 0; at < ORDER_SERVERS; at++)
		entries->servers[at].announced_us = group_now(entries->group);
	entries_run(entries, SECOND / 10);
	streams_begin_many(entries, ORDER_STREAMS, SECOND / 200);
	entries_run(entries, ORDER_LEAVE_US);
	for (i = 0; i < entries->streams->len; i++)
		streams_leave(entries, streams_nth(entries, i));
	entries_run(entries, 2 * SECOND);
	come_back(entries);
	check_whole(entries);
}

/* New streams begin there before it is heard, and break off. */
static void test_begun_unheard(void)
{
	struct entries *entries = order_start(order_one);
	int at;

	kill_entry_vms(entries);
	for (at = 0; at < 3; at++) {
		replace(entries, at, "v2");
		entries->servers[at].late_us = 3 * SECOND;
		entries->servers[at].break_at = 5;
	}
	entries_run(entries, SECOND / 2);
	streams_begin_many(entries, ORDER_STREAMS, SECOND / 200);
	entries_run(entries, ORDER_LEAVE_US);
	come_back(entries);
	check_none_joined(entries, 0);
}

/* A server that crashed is back unheard as others break streams off. */
static void test_crash_unheard(void)
{
	struct entries *entries = begin(order_one);
	int at;

	replace(entries, 0, "v2");
	entries->servers[0].up_us += SECOND;
	entries->servers[0].late_us = 4 * SECOND;
	streams_begin_many(entries, ORDER_STREAMS, SECOND / 40);
	streams_begin_many(entries, ORDER_STREAMS, SECOND / 200);
	entries_run(entries, ORDER_LEAVE_US);
	for (at = 1; at < 4; at++) {
		entries_restart_server(entries, at, "v1");
		entries->servers[at].up_us = 3600 * SECOND;
	}
	entries_run(entries, 2 * SECOND);
	check_none_joined(entries, 0);
}

/* The servers of one version have left, and nobody remembers them. */
static void test_version_left(void)
{
	struct entries *entries = begin(order_two);
	int at;

	for (at = 0; at < ORDER_SERVERS; at += 2)
		leave(entries, at);
	kill_all(entries);
	come_back_later(entries);
	check_none_joined(entries, ORDER_STREAMS / 2);
}

/* All servers are replaced while no VM runs. */
static void test_all_replaced(void)
{
	struct entries *entries = begin(order_one);
	int at;

	kill_all(entries);
	for (at = 0; at < ORDER_SERVERS; at++)
		replace(entries, at, "v2");
	come_back_later(entries);
	check_none_joined(entries, ORDER_STREAMS / 2);
}

/* The other version left long before; one is left, and they go on. */
static void test_version_left_long_before(void)
{
	struct entries *entries = order_start(order_two);
	int at;

	for (at = 0; at < ORDER_SERVERS; at += 2)
		leave(entries, at);
	entries_run(entries, REGISTRY_TOMBSTONE_US + 10 * SECOND);
	streams_begin_many(entries, ORDER_STREAMS, SECOND / 200);
	entries_run(entries, ORDER_LEAVE_US);
	kill_all(entries);
	come_back_later(entries);
	check_whole(entries);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/rejoined/two-versions", test_two_versions);
	g_test_add_func("/rejoined/one-version", test_one_version);
	g_test_add_func("/rejoined/one-version-all-killed",
			test_one_version_all_killed);
	g_test_add_func("/rejoined/servers-start-unheard",
			test_servers_start_unheard);
	g_test_add_func("/rejoined/begun-at-start", test_begun_at_start);
	g_test_add_func("/rejoined/begun-unheard", test_begun_unheard);
	g_test_add_func("/rejoined/crash-unheard", test_crash_unheard);
	g_test_add_func("/rejoined/version-left", test_version_left);
	g_test_add_func("/rejoined/all-replaced", test_all_replaced);
	g_test_add_func("/rejoined/version-left-long-before",
			test_version_left_long_before);
	return g_test_run();
}
