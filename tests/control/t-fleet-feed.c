#include <glib.h>

#include "group.h"

#define SECOND INT64_C(1000000)
#define SERVERS 1000
#define ENTRY_VMS 300
#define BEAT_US (6 * SECOND / 5)
/* What a daemon may receive a second for control, at that many servers. */
#define BYTES_MOST 5120

static void name_server(char id[16], int nth)
{
	g_snprintf(id, 16, "i-%08x", nth * 7919);
}

static void beat(struct group *group, int64_t sequence)
{
	char id[16];
	int i;

	for (i = 0; i < SERVERS; i++) {
		name_server(id, i);
		group_register(group, i % 5, id, sequence);
	}
}

static int64_t bytes(struct group *group)
{
	int64_t sum = 0;
	int vm;

	for (vm = 0; vm < 5; vm++)
		sum += group_entry_bytes(group, vm);
	return sum;
}

static int names(struct group *group)
{
	int sum = 0;
	int vm;

	for (vm = 0; vm < 5; vm++)
		sum += group_entry_names(group, vm);
	return sum;
}

/* Bytes a second to an entry VM once all servers are known. */
static int64_t play(struct group *group, bool marks)
{
	int64_t before;
	int i;

	beat(group, 1);
	for (i = 0; i < 5; i++)
		group_poll(group, i, marks);
	group_run(group, 2 * SECOND);
	before = bytes(group);
	for (i = 0; i < 10; i++) {
		beat(group, 2 + i);
		group_run(group, BEAT_US);
	}
	return (bytes(group) - before) * SECOND / (10 * BEAT_US);
}

/* Lists of living servers outgrew entry VMs' links. */
static void test_bytes(void)
{
	struct group *group = group_founded(NULL);

	g_assert_cmpint(play(group, true), <=, BYTES_MOST);
	g_assert_cmpint(names(group), ==, 0);
	group_free(group);
}

/* Entry VMs of earlier releases would hold all servers for silent. */
static void test_earlier_release(void)
{
	struct group *group = group_founded(NULL);

	play(group, false);
	g_assert_cmpint(names(group), >=, 9 * SERVERS);
	group_free(group);
}

static int sum(struct group *group,
	       int (*count)(const struct group *group, int vm))
{
	int n = 0;
	int vm;

	for (vm = 0; vm < 5; vm++)
		n += count(group, vm);
	return n;
}

/* Each server that started was a message to each entry VM. */
static void test_start(void)
{
	struct group *group = group_founded(NULL);
	int messages;
	int i;

	for (i = 0; i < 5; i++)
		group_poll(group, i, true);
	messages = sum(group, group_entry_messages);
	beat(group, 1);
	group_run(group, SECOND / 10);
	g_assert_cmpint(sum(group, group_entry_servers), ==, SERVERS);
	g_assert_cmpint(sum(group, group_entry_messages) - messages, <,
			SERVERS / 10);
	group_free(group);
}

/* An entry VM that comes late hears of all servers, from each control VM. */
static void test_welcome(void)
{
	struct group *group = group_founded(NULL);
	int messages;
	int i;

	beat(group, 1);
	group_run(group, SECOND);
	messages = sum(group, group_entry_messages);
	for (i = 0; i < 5; i++)
		group_poll(group, i, true);
	g_assert_cmpint(sum(group, group_entry_servers), ==, 5 * SERVERS);
	g_assert_cmpint(sum(group, group_entry_messages) - messages, <,
			SERVERS / 10);
	group_free(group);
}

/* All entry VMs come back while servers register: a list was made for each. */
static void test_all_come_back(void)
{
	struct group *group = group_founded(NULL);
	char id[16];
	int i;

	beat(group, 1);
	group_run(group, SECOND);
	for (i = 0; i < ENTRY_VMS; i++) {
		g_snprintf(id, sizeof(id), "j-%08x", i);
		group_register(group, 0, id, 1);
		group_poll_nth(group, 0, i);
		if (i % 3 == 0)
			group_run(group, SECOND / 100);
	}
	group_run(group, SECOND / 4);
	g_assert_cmpint(group_entry_servers(group, 0), >=, ENTRY_VMS * SERVERS);
	g_assert_cmpint(group_view(group, 0).lists, <, ENTRY_VMS / 10);
	group_free(group);
}

/* Each server of an evacuated zone was a message to each entry VM. */
static void test_evacuated(void)
{
	struct group *group = group_founded(NULL);
	int messages;
	int servers;
	char id[16];
	int i;

	beat(group, 1);
	group_poll(group, 0, true);
	group_run(group, SECOND);
	messages = group_entry_messages(group, 0);
	servers = group_entry_servers(group, 0);
	for (i = 0; i < SERVERS / 5; i++) {
		name_server(id, 5 * i);
		group_unregister(group, 0, id);
		g_assert_cmpint(group_entry_servers(group, 0), >, servers);
	}
	group_run(group, GROUP_STEP_US);
	g_assert_cmpint(group_entry_servers(group, 0) - servers, ==,
			SERVERS / 5);
	g_assert_cmpint(group_entry_messages(group, 0) - messages, <, 5);
	group_free(group);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fleet-feed/bytes", test_bytes);
	g_test_add_func("/fleet-feed/earlier-release", test_earlier_release);
	g_test_add_func("/fleet-feed/start", test_start);
	g_test_add_func("/fleet-feed/welcome", test_welcome);
	g_test_add_func("/fleet-feed/all-come-back", test_all_come_back);
	g_test_add_func("/fleet-feed/evacuated", test_evacuated);
	return g_test_run();
}
