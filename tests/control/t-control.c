#include <glib.h>
#include <string.h>

#include "group.h"

#define SECOND INT64_C(1000000)
/* Elections after a loss of power, and what they may take in the mean. */
#define ELECTIONS 100
#define ELECTION_MEAN_US (400 * SECOND / 1000)
#define WALL_WINDOW (INT64_C(1700000000) / 5)

static const int first_seeds[] = { 0, 1, 2 };

/* Five VMs that start together, founded and with a document in force. */
static struct group *site(uint64_t seed)
{
	struct group *group = group_new(8, first_seeds, 3, seed);
	uint64_t call;
	int i;

	for (i = 0; i < 5; i++)
		group_start(group, i);
	group_run(group, 4 * SECOND);
	g_assert_cmpint(group_leader(group), >=, 0);
	call = group_put(group, group_leader(group), 1);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	return group;
}

static void check_held(struct group *group, int64_t version)
{
	int leader = group_leader(group);
	uint64_t call;
	char text[32];

	g_assert_cmpint(leader, >=, 0);
	call = group_get(group, leader);
	g_snprintf(text, sizeof(text), "document %d", (int)version);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	g_assert_cmpstr(group_body(group, call), ==, text);
}

/* Any order of starts, one of the seeds late: five vote within seconds. */
static void test_founding(void)
{
	static const int orders[3][5] = { { 0, 1, 2, 3, 4 },
					  { 4, 3, 2, 1, 0 },
					  { 2, 4, 0, 3, 1 } };
	int order;
	int i;

	for (order = 0; order < 3; order++) {
		struct group *group = group_new(8, first_seeds, 3, 1);

		for (i = 0; i < 5; i++)
			if (orders[order][i] != 1)
				group_start(group, orders[order][i]);
		group_run(group, 2 * SECOND);
		group_start(group, 1);
		group_run(group, 3 * SECOND);
		g_assert_cmpint(group_view(group, group_leader(group)).voters,
				==, 5);
		group_free(group);
	}
}

/*
 * The operator's first document comes while the founder is alone. If it were
 * acknowledged on one disk, the loss of that disk would lose it.
 */
static void test_too_few_disks(void)
{
	struct group *group = group_new(8, first_seeds, 3, 1);
	uint64_t call;

	group_start(group, 0);
	group_run(group, 2 * SECOND);
	call = group_put(group, 0, 1);
	group_run(group, 5 * SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_NO_QUORUM);
	group_free(group);
}

static void test_follower_names_leader(void)
{
	struct group *group = site(3);
	int leader = group_leader(group);
	int follower = leader == 4 ? 3 : 4;
	uint64_t call = group_put(group, follower, 2);
	char address[32];

	g_snprintf(address, sizeof(address), "10.0.0.%d:7000", leader + 1);
	g_assert_cmpint(group_code(group, call), ==, RESULT_NOT_LEADER);
	g_assert_cmpstr(group_body(group, call), ==, address);
	/* What is held already may be said by anybody. */
	call = group_put(group, follower, 1);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	group_free(group);
}

/*
 * Right after a change was acknowledged two VMs lose their disks and all
 * others lose power. Both seeds that are left in the settings are the wiped
 * ones, so the survivors meet only by what their logs say; the change is on
 * three disks and must be there again.
 */
static void test_wiped_seeds(void)
{
	static const int seeds[] = { 3, 4 };
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++) {
		struct group *group = group_new(8, seeds, 2, seed);
		uint64_t call;
		int i;

		for (i = 0; i < 5; i++)
			group_start(group, i);
		group_run(group, 4 * SECOND);
		call = group_put(group, group_leader(group), 9);
		group_run(group, SECOND);
		g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
		for (i = 0; i < 5; i++)
			group_kill(group, i);
		group_wipe(group, 3);
		group_wipe(group, 4);
		for (i = 0; i < 3; i++)
			group_start(group, i);
		group_run(group, 8 * SECOND);
		check_held(group, 9);
		group_start(group, 3);
		group_start(group, 4);
		group_run(group, 4 * SECOND);
		g_assert_cmpint(group_view(group, group_leader(group)).voters,
				==, 5);
		check_held(group, 9);
		group_free(group);
	}
}

/* A wiped VM at its old address is replaced by its new self in seconds. */
static void test_wiped_voter(void)
{
	struct group *group = site(5);
	int victim = group_leader(group) == 2 ? 1 : 2;

	group_wipe(group, victim);
	group_run(group, SECOND / 2);
	group_start(group, victim);
	group_run(group, 4 * SECOND);
	g_assert_cmpint(group_view(group, group_leader(group)).voters, ==, 5);
	g_assert_cmpint(group_view(group, victim).version, ==, 1);
	group_free(group);
}

/*
 * One VM after another is replaced by an empty one at another address, the
 * founder and all first seeds among them; the second loss comes right after
 * the first repair.
 */
static void test_replaced(void)
{
	struct group *group = site(7);
	int i;

	for (i = 0; i < 3; i++) {
		group_wipe(group, i);
		group_start(group, 5 + i);
		group_run(group, 8 * SECOND);
		g_assert_cmpint(group_leader(group), >=, 0);
		g_assert_cmpint(group_view(group, group_leader(group)).voters,
				==, 5);
		check_held(group, 1);
	}
	group_free(group);
}

/*
 * Two of five are dead and nobody can take their place. A group shrunk to
 * three would acknowledge on two disks what one more loss takes.
 */
static void test_keeps_voters(void)
{
	struct group *group = site(9);
	int leader = group_leader(group);
	uint64_t call;
	int dead = 0;
	int i;

	for (i = 0; i < 5 && dead < 2; i++) {
		if (i == leader)
			continue;
		group_kill(group, i);
		dead++;
	}
	group_run(group, 10 * SECOND);
	g_assert_cmpint(group_view(group, leader).voters, ==, 5);
	call = group_put(group, leader, 2);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	group_free(group);
}

/* The leader's disk is full: another one leads, and changes go on. */
static void test_full_disk(void)
{
	struct group *group = site(11);
	int leader = group_leader(group);
	uint64_t call;

	group_fail_disk(group, leader);
	group_put(group, leader, 2);
	group_run(group, 4 * SECOND);
	g_assert_cmpint(group_leader(group), !=, leader);
	call = group_put(group, group_leader(group), 3);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	/* Opened anew, as the process does, it votes again. */
	group_kill(group, leader);
	group_start(group, leader);
	group_run(group, 3 * SECOND);
	g_assert_cmpint(group_view(group, leader).version, ==, 3);
	group_free(group);
}

/*
 * The leader is cut off and doesn't know it yet. It must not answer a read
 * with what has been overtaken on the other side.
 */
static void test_stale_read(void)
{
	struct group *group = site(13);
	int leader = group_leader(group);
	uint64_t call;
	int i;

	for (i = 0; i < 8; i++)
		if (i != leader)
			group_cut(group, leader, i, true);
	group_run(group, 4 * SECOND);
	g_assert_cmpint(group_leader(group), !=, leader);
	call = group_put(group, group_leader(group), 2);
	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	call = group_get(group, leader);
	g_assert_cmpint(group_code(group, call), !=, RESULT_OK);
	group_free(group);
}

/* Each figure goes out once it is agreed, from the one in charge alone. */
static void test_report(void)
{
	struct group *group = site(15);
	const struct group_call *calls;
	int64_t window;
	int n;

	group_run(group, 5 * SECOND);
	window = (INT64_C(1700000000) * SECOND + group_now(group)) /
		 (5 * SECOND);
	group_begun(group, window, 41);
	group_run(group, 9 * SECOND);
	calls = group_calls(group, &n);
	g_assert_cmpint(n, >=, 1);
	g_assert_cmpint(calls[0].vm, ==, group_leader(group));
	group_answer_calls(group, RESULT_OK);
	g_assert_cmpint(group_view(group, calls[0].vm).reported, ==, 1);
	group_run(group, 5 * SECOND);
	group_calls(group, &n);
	g_assert_cmpint(n, ==, 1);
	group_free(group);
}

/*
 * The one in charge is cut off and another takes over. The new one waits out
 * the old lease before its first call: never two within the lease, and the
 * number grows.
 */
static void test_hand_over(void)
{
	struct group *group = site(17);
	const struct group_call *calls;
	int64_t window;
	int leader;
	int n;
	int i;

	group_run(group, 5 * SECOND);
	leader = group_leader(group);
	window = (INT64_C(1700000000) * SECOND + group_now(group)) /
		 (5 * SECOND);
	for (i = 0; i < 4; i++)
		group_begun(group, window + i, 40 + i);
	group_run(group, 9 * SECOND);
	for (i = 0; i < 8; i++)
		if (i != leader)
			group_cut(group, leader, i, true);
	group_run(group, 15 * SECOND);
	calls = group_calls(group, &n);
	g_assert_cmpint(n, >=, 2);
	for (i = 1; i < n; i++) {
		if (calls[i].vm == calls[i - 1].vm)
			continue;
		g_assert_cmpint(calls[i].fence, >, calls[i - 1].fence);
		g_assert_cmpint(calls[i].at_us - calls[i - 1].at_us, >=,
				3 * SECOND);
	}
	g_assert_cmpint(calls[n - 1].vm, !=, leader);
	group_free(group);
}

/* The leader's wall clock jumps ahead: no window is closed early. */
static void test_wall_step(void)
{
	struct group *group = site(19);
	int leader;
	int64_t window;
	int n;

	group_run(group, 5 * SECOND);
	leader = group_leader(group);
	window = (INT64_C(1700000000) * SECOND + group_now(group)) /
		 (5 * SECOND);
	group_step_wall(group, leader, 30 * SECOND);
	group_begun(group, window + 2, 41);
	group_run(group, 5 * SECOND);
	group_calls(group, &n);
	g_assert_cmpint(n, ==, 0);
	group_free(group);
}

/*
 * A site names a lease shorter than a call's usual time. Orders and reports
 * were never given, as none fitted into it; now the call is shorter too.
 */
static void test_short_lease(void)
{
	struct group *group = group_new(8, first_seeds, 3, 5);
	uint64_t call;
	int n;
	int i;

	group_set_lease(group, SECOND);
	for (i = 0; i < 5; i++)
		group_start(group, i);
	group_run(group, 4 * SECOND);
	call = group_put(group, group_leader(group), 1);
	group_begun(group, WALL_WINDOW, 3);
	for (i = 0; i < 15; i++) {
		group_run(group, SECOND);
		group_answer_calls(group, RESULT_OK);
	}
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	group_calls(group, &n);
	g_assert_cmpint(n, >, 0);
	group_free(group);
}

/*
 * All control VMs lose power and are back together. Until they have a leader
 * no entry VM may serve a request with a key, so callers wait for it; with a
 * longer silence than the settings name they waited for twice as long.
 */
static void test_elects_soon(void)
{
	int64_t sum_us = 0;
	uint64_t seed;
	int i;

	for (seed = 1; seed <= ELECTIONS; seed++) {
		struct group *group = site(seed);
		int64_t from_us;

		for (i = 0; i < 5; i++)
			group_kill(group, i);
		group_run(group, SECOND / 2);
		/* They don't start at quite the same moment. */
		for (i = 0; i < 5; i++) {
			group_start(group, i);
			group_run(group, GROUP_STEP_US);
		}
		from_us = group_now(group);
		while (group_leader(group) < 0)
			group_run(group, GROUP_STEP_US);
		sum_us += group_now(group) - from_us;
		g_assert_cmpint(group_now(group) - from_us, <, 3 * SECOND / 4);
		group_run(group, SECOND / 10);
		check_held(group, 1);
		group_free(group);
	}
	g_assert_cmpint(sum_us / ELECTIONS, <, ELECTION_MEAN_US);
}

/* 76 bytes: the limit of servers' names falls inside a letter. */
#define LONG_NAME                                                      \
	"service-for-the-students-portfolios-"                         \
	"\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9" \
	"\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9\u00e9"

static struct document *read_long_name(void *data, const char *text, size_t len)
{
	struct document *document = document_new();
	struct service *service = document_add_service(document, LONG_NAME);

	service->scaling.allowed = true;
	service->scaling.least = 1;
	service->scaling.most = 2;
	service_add_zone(service, "z1", 1);
	return document;
}

/* A valid document with a long service name ends each VM that leads. */
static void test_long_name(void)
{
	struct group *group = group_founded(read_long_name);
	const struct group_call *calls;
	int orders = 0;
	int n;
	int i;

	g_assert_cmpuint(strlen(LONG_NAME), ==, 76);
	group_put(group, group_leader(group), 1);
	group_run(group, 5 * SECOND);
	calls = group_calls(group, &n);
	for (i = 0; i < n; i++) {
		if (!g_str_has_prefix(calls[i].order_id, "size-"))
			continue;
		orders++;
		g_assert_nonnull(strstr(calls[i].body, LONG_NAME));
	}
	g_assert_cmpint(orders, ==, 1);
	group_free(group);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/control/founding", test_founding);
	g_test_add_func("/control/long-name", test_long_name);
	g_test_add_func("/control/too-few-disks", test_too_few_disks);
	g_test_add_func("/control/follower-names-leader",
			test_follower_names_leader);
	g_test_add_func("/control/wiped-seeds", test_wiped_seeds);
	g_test_add_func("/control/wiped-voter", test_wiped_voter);
	g_test_add_func("/control/replaced", test_replaced);
	g_test_add_func("/control/keeps-voters", test_keeps_voters);
	g_test_add_func("/control/full-disk", test_full_disk);
	g_test_add_func("/control/stale-read", test_stale_read);
	g_test_add_func("/control/report", test_report);
	g_test_add_func("/control/hand-over", test_hand_over);
	g_test_add_func("/control/wall-step", test_wall_step);
	g_test_add_func("/control/short-lease", test_short_lease);
	g_test_add_func("/control/elects-soon", test_elects_soon);
	return g_test_run();
}
