#include <glib.h>

#include "bed.h"

static void test_serves(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	g_assert_true(entry_ready(bed.entry, bed.now_us));
	id = bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	bed_end_attempt(&bed, id, RESULT_OK, 200, true);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	bed_pass(&bed, SECOND);
	g_assert_cmpint(bed.told, ==, 1);
	bed_end(&bed);
}

static void test_refuses(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_check_refused(&bed, bed_ask(&bed, "/other/", "k1"),
			  RESULT_NO_ROUTE);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", NULL), RESULT_NO_KEY);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k2"),
			  RESULT_KEY_UNKNOWN);
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/* A VM that is out of touch runs nothing; what it can't decide it refuses. */
static void check_stale(struct bed *bed)
{
	uint64_t id = bed_ask(bed, "/lodge/7", "k1");

	g_assert_cmpuint(bed->started, !=, id);
	bed_pass(bed, 3 * SECOND / 2);
	bed_check_refused(bed, id, RESULT_STALE);
	g_assert_cmpint(bed->retry_ms, >, 0);
	g_assert_cmpuint(bed->started, !=, id);
}

/*
 * A key is withdrawn while this VM is cut off. It can't know, so it must stop
 * serving that key's holder before the key has to be dead, and serve again
 * once it has heard what holds now.
 */
static void test_cut_off(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_pass(&bed, 4 * SECOND);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	bed_pass(&bed, SECOND);
	g_assert_false(entry_ready(bed.entry, bed.now_us));
	check_stale(&bed);
	bed_hear_state(&bed, bed.polled_us, 0, 2);
	g_assert_true(bed.fetched);
	check_stale(&bed);
	bed_hear_document(&bed, 2, "k2");
	bed_hear_state(&bed, bed.polled_us, 0, 2);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k1"),
			  RESULT_KEY_UNKNOWN);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k2"), ==, bed.started);
	bed_end(&bed);
}

/*
 * The answer to a poll took four seconds on its way. Counted from when it
 * came, this VM would serve a withdrawn key for four seconds too long.
 */
static void test_slow_answer(void)
{
	struct bed bed;
	int64_t asked_us;

	bed_start(&bed);
	asked_us = bed.polled_us;
	bed_pass(&bed, 4 * SECOND);
	bed_hear_state(&bed, asked_us, 0, 1);
	bed_pass(&bed, SECOND);
	check_stale(&bed);
	bed_end(&bed);
}

/* The control VM's own proof was old when it answered. */
static void test_old_proof(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_pass(&bed, 5 * SECOND);
	bed_hear_state(&bed, bed.polled_us, 5 * SECOND, 1);
	check_stale(&bed);
	bed_hear_state(&bed, bed.polled_us, -1, 1);
	check_stale(&bed);
	bed_end(&bed);
}

/*
 * All VMs lost power. Callers that are sent away come back once; those that
 * wait a moment are served as soon as a leader is there again.
 */
static void test_waits_for_fresh(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	bed_pass(&bed, 5 * SECOND);
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed_pass(&bed, SECOND);
	g_assert_cmpuint(bed.answered, ==, 0);
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* A caller that leaves while it waits so is forgotten. */
static void test_leaves_waiting(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	bed_pass(&bed, 5 * SECOND);
	id = bed_ask(&bed, "/lodge/7", "k1");
	entry_caller_left(bed.entry, id, bed.now_us, &bed.effects);
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/* An older document that comes late changes nothing. */
static void test_late_document(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_hear_document(&bed, 3, "k3");
	bed_hear_document(&bed, 2, "k2");
	bed_hear_state(&bed, bed.polled_us, 0, 3);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k2"),
			  RESULT_KEY_UNKNOWN);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k3"), ==, bed.started);
	bed_end(&bed);
}

/* A server that leaves gets nothing more, and its late "ready" is no news. */
static void test_leaving(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_hear_engine(&bed, 3, true);
	bed_hear_engine(&bed, 2, false);
	bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/*
 * A planned stop: what comes at first is still taken, what comes later could
 * not be ended before the process is and is refused as not run.
 */
static void test_stop(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	entry_stop(bed.entry, bed.now_us, 8 * SECOND, &bed.effects);
	g_assert_false(entry_ready(bed.entry, bed.now_us));
	bed_pass(&bed, SECOND);
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	id = bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	bed_pass(&bed, 11 * SECOND / 4);
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/8", "k1"),
			  RESULT_STOPPING);
	bed_pass(&bed, SECOND / 2);
	g_assert_false(bed.exited);
	bed_end_attempt(&bed, id, RESULT_OK, 200, true);
	bed_pass(&bed, SECOND);
	g_assert_true(bed.exited);
	bed_end(&bed);
}

/*
 * Both VMs of a zone are being stopped, and the balancer knows no other for its
 * callers. A request with four seconds came three seconds after the signal, to a
 * VM with five seconds left, and was refused until its time was over.
 */
static void test_stop_takes_short(void)
{
	struct bed bed;

	bed_start(&bed);
	entry_stop(bed.entry, bed.now_us, 8 * SECOND, &bed.effects);
	bed_ask(&bed, "/shed/1", "k1");
	bed_pass(&bed, 3 * SECOND);
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	bed_pass(&bed, SECOND);
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k1"),
			  RESULT_STOPPING);
	bed_end(&bed);
}

/*
 * Another VM fills a server, which says so with an answer to us. Nothing more
 * is sent there, so it says nothing more: without fading the callers here
 * would wait out their deadlines before an idle server.
 */
static void test_full_server(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = bed_ask(&bed, "/lodge/7", "k1");
	entry_report_load(bed.entry, ENGINE, 2, 20, 2, bed.now_us);
	bed_end_attempt(&bed, id, RESULT_OK, 200, true);
	id = bed_ask(&bed, "/lodge/8", "k1");
	g_assert_cmpuint(bed.started, !=, id);
	bed_pass(&bed, SECOND);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/*
 * Both routes are of one organisation, whose rank made them equal: with the
 * server full an urgent request waited behind what was less urgent and came
 * earlier, and was refused first when time grew short.
 */
static void test_urgent_route(void)
{
	struct bed bed;
	uint64_t first;
	uint64_t urgent;

	bed_start(&bed);
	first = bed_ask(&bed, "/shed/1", "k1");
	bed_ask(&bed, "/shed/2", "k1");
	bed_ask(&bed, "/shed/3", "k1");
	urgent = bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, first + 1);
	bed_end_attempt(&bed, first, RESULT_OK, 200, true);
	g_assert_cmpuint(bed.started, ==, urgent);
	bed_end(&bed);
}

/*
 * Two zones' cheap servers were reclaimed and steady ones bought for them. All
 * work still went to the third zone's cheap ones, whose slots never filled:
 * 124 requests expired there in 12 s while seven bought servers idled.
 */
static void test_steady_beside_cheap(void)
{
	struct bed bed;
	int i;

	bed_start(&bed);
	bed_hear_engine(&bed, 2, true);
	bed_hear_other(&bed, CHEAP, 1, true, false);
	bed_hear_other(&bed, STEADY, 1, false, false);
	for (i = 0; i < 6; i++)
		bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpint(bed.at_steady, ==, 3);
	bed_end(&bed);
}

/*
 * A site with more different goals than there was room for: the class that was
 * used least lately went, and refused those who waited in it.
 */
static void test_many_goals(void)
{
	struct bed bed;
	uint64_t first;
	uint64_t waits;
	int i;

	bed_start(&bed);
	first = bed_ask(&bed, "/shed/1", "k1");
	bed_ask(&bed, "/shed/2", "k1");
	waits = bed_ask(&bed, "/lodge/7", "k1");
	for (i = 0; i < ROUTES; i++) {
		g_autofree char *path = g_strdup_printf("/r%d/x", i);

		bed_ask(&bed, path, "k1");
		g_assert_cmpuint(bed.answered, !=, waits);
	}
	bed_end_attempt(&bed, first, RESULT_OK, 200, true);
	g_assert_cmpuint(bed.started, ==, waits);
	bed_end(&bed);
}

/*
 * A server answers wrongly, and those beside it are leaving but still known.
 * The request was kept from the one server that was left, waited out its
 * deadline and ended as expired after 4 s, where it could be tried again.
 */
static void test_only_server_left(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	bed_hear_other(&bed, CHEAP, 1, true, false);
	bed_hear_other(&bed, CHEAP, 2, true, true);
	id = bed_ask(&bed, "/porch/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	bed.started = 0;
	bed_end_attempt(&bed, id, RESULT_BACKEND_CROSSED, 200, true);
	bed_pass(&bed, 3 * SECOND / 2);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* Requests whose first server fails; how many go to another one. */
static int repeated(struct bed *bed, int requests)
{
	int n = 0;
	int i;

	for (i = 0; i < requests; i++) {
		uint64_t id = bed_ask(bed, "/porch/7", "k1");

		bed->started = 0;
		bed_end_attempt(bed, id, RESULT_BACKEND_ERROR, 500, true);
		n += bed->started == id;
		if (bed->started == id)
			bed_end_nth(bed, id, 2, RESULT_OK, 200, true);
		bed_pass(bed, SECOND / 10);
	}
	return n;
}

/*
 * A service fails. Each entry VM of a large site repeated as many requests as
 * a small site's may, and together they sent the failing servers more than
 * the site allows. Told how many share the limit, each keeps to its part.
 */
static void test_shares_retries(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_hear_other(&bed, STEADY, 1, false, false);
	g_assert_cmpint(repeated(&bed, 20), ==, 20);
	bed.entries = 66;
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpint(repeated(&bed, 20), <=, 4);
	/* One control VM that has lost sight of the others changes nothing. */
	bed.entries = 0;
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpint(repeated(&bed, 20), <=, 4);
	bed_end(&bed);
}

/* Rejected, so not run: another server may have it, though it may run once. */
static void test_rejected(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed.started = 0;
	bed_end_attempt(&bed, id, RESULT_BACKEND_ERROR, 503, false);
	bed_pass(&bed, SECOND / 2);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* The answer was lost: it may have run, so it is not sent again. */
static void test_answer_lost(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed.started = 0;
	bed_end_attempt(&bed, id, RESULT_BACKEND_BROKE, 0, true);
	g_assert_cmpuint(bed.started, ==, 0);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.run, ==, RUN_UNKNOWN);
	bed_end(&bed);
}

static int urgency_of(struct bed *bed, const char *path, const char *key)
{
	uint64_t id = bed_ask(bed, path, key);
	struct entry_call call;

	g_assert_true(entry_find_call(bed->entry, id, &call));
	return call.urgency;
}

/*
 * A server's memory is full, and it stops the newest of the least urgent. With
 * the organisation's rank first, singers' cues stopped in the middle while the
 * board's long prompts, which have two seconds, were read on beside them.
 */
static void test_urgency(void)
{
	struct bed bed;
	int urgent;
	int board;
	int patient;

	bed_start(&bed);
	urgent = urgency_of(&bed, "/lodge/7", "k1");
	board = urgency_of(&bed, "/lodge/7", BOARD_KEY);
	patient = urgency_of(&bed, "/shed/7", BOARD_KEY);
	g_assert_cmpint(urgent, <, patient);
	g_assert_cmpint(board, <, urgent);
	bed_end(&bed);
}

/*
 * A site serves for a day and then refuses everything for want of servers. They
 * are all well, and as nothing changed, nobody announced them again: the lease
 * that the entry VM had given them had run out.
 */
static void test_server_of_yesterday(void)
{
	struct bed bed;

	bed_start(&bed);
	bed.now_us += 50 * 3600 * SECOND;
	bed_pass(&bed, SECOND);
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	bed_end(&bed);
}

/*
 * A server that has left comes back as the same start, said by a control VM
 * that was cut off, after the entry VM has forgotten it: it serves again.
 */
static void test_forgotten_server(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_hear_engine(&bed, 2, true);
	bed_pass(&bed, SECOND);
	bed.now_us += 3600 * SECOND;
	bed_pass(&bed, 2 * SECOND);
	bed_hear_state(&bed, bed.polled_us, 0, 1);
	bed_hear_engine(&bed, 3, false);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/serves", test_serves);
	g_test_add_func("/entry/refuses", test_refuses);
	g_test_add_func("/entry/cut-off", test_cut_off);
	g_test_add_func("/entry/slow-answer", test_slow_answer);
	g_test_add_func("/entry/old-proof", test_old_proof);
	g_test_add_func("/entry/waits-for-fresh", test_waits_for_fresh);
	g_test_add_func("/entry/leaves-waiting", test_leaves_waiting);
	g_test_add_func("/entry/late-document", test_late_document);
	g_test_add_func("/entry/leaving", test_leaving);
	g_test_add_func("/entry/stop", test_stop);
	g_test_add_func("/entry/stop-takes-short", test_stop_takes_short);
	g_test_add_func("/entry/full-server", test_full_server);
	g_test_add_func("/entry/urgent-route", test_urgent_route);
	g_test_add_func("/entry/steady-beside-cheap", test_steady_beside_cheap);
	g_test_add_func("/entry/many-goals", test_many_goals);
	g_test_add_func("/entry/only-server-left", test_only_server_left);
	g_test_add_func("/entry/shares-retries", test_shares_retries);
	g_test_add_func("/entry/rejected", test_rejected);
	g_test_add_func("/entry/answer-lost", test_answer_lost);
	g_test_add_func("/entry/urgency", test_urgency);
	g_test_add_func("/entry/server-of-yesterday", test_server_of_yesterday);
	g_test_add_func("/entry/forgotten-server", test_forgotten_server);
	return g_test_run();
}
