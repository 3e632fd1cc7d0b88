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
	bed_advance(&bed, SECOND);
	g_assert_cmpint(bed.usage_reports, ==, 1);
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

/* A stale VM runs nothing and refuses what it can't decide. */
static void check_stale(struct bed *bed)
{
	uint64_t id = bed_ask(bed, "/lodge/7", "k1");

	g_assert_cmpuint(bed->started, !=, id);
	bed_advance(bed, 3 * SECOND / 2);
	bed_check_refused(bed, id, RESULT_STALE);
	g_assert_cmpint(bed->retry_ms, >, 0);
	g_assert_cmpuint(bed->started, !=, id);
}

/*
 * A key is withdrawn while this VM is partitioned off. It must stop serving the
 * key's organisation before the key has to be rejected, and serve again once it
 * has received the newest document.
 */
static void test_cut_off(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_advance(&bed, 4 * SECOND);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	bed_advance(&bed, SECOND);
	g_assert_false(entry_ready(bed.entry, bed.now_us));
	check_stale(&bed);
	bed_deliver_state(&bed, bed.polled_us, 0, 2);
	g_assert_true(bed.fetched);
	check_stale(&bed);
	bed_deliver_document(&bed, 2, "k2");
	bed_deliver_state(&bed, bed.polled_us, 0, 2);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k1"),
			  RESULT_KEY_UNKNOWN);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k2"), ==, bed.started);
	bed_end(&bed);
}

/*
 * The answer to a poll is delayed by four seconds. Counted from its arrival,
 * this VM would serve a withdrawn key for four seconds too long.
 */
static void test_slow_answer(void)
{
	struct bed bed;
	int64_t asked_us;

	bed_start(&bed);
	asked_us = bed.polled_us;
	bed_advance(&bed, 4 * SECOND);
	bed_deliver_state(&bed, asked_us, 0, 1);
	bed_advance(&bed, SECOND);
	check_stale(&bed);
	bed_end(&bed);
}

/* The control VM's own confirmation by a quorum was old when it answered. */
static void test_old_proof(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_advance(&bed, 5 * SECOND);
	bed_deliver_state(&bed, bed.polled_us, 5 * SECOND, 1);
	check_stale(&bed);
	bed_deliver_state(&bed, bed.polled_us, -1, 1);
	check_stale(&bed);
	bed_end(&bed);
}

/*
 * All VMs lose power. Refused callers retry only once; deferred requests are
 * served as soon as a leader is elected.
 */
static void test_waits_for_fresh(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	bed_advance(&bed, 5 * SECOND);
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed_advance(&bed, SECOND);
	g_assert_cmpuint(bed.answered, ==, 0);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* The deferred request of a caller that leaves is dropped. */
static void test_leaves_waiting(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	bed_advance(&bed, 5 * SECOND);
	id = bed_ask(&bed, "/lodge/7", "k1");
	entry_caller_left(bed.entry, id, bed.now_us, &bed.effects);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/* With the last organisation gone, withdrawn keys go on working. */
static void test_no_organisation_left(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_document(&bed, 3, BED_NO_KEYS);
	bed_deliver_state(&bed, bed.polled_us, 0, 3);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k1"),
			  RESULT_KEY_UNKNOWN);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", NULL), RESULT_NO_KEY);
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/* An older document that arrives late changes nothing. */
static void test_late_document(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_document(&bed, 3, "k3");
	bed_deliver_document(&bed, 2, "k2");
	bed_deliver_state(&bed, bed.polled_us, 0, 3);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k2"),
			  RESULT_KEY_UNKNOWN);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k3"), ==, bed.started);
	bed_end(&bed);
}

/* A leaving server gets no more requests, and a delayed "ready" is ignored. */
static void test_leaving(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_engine(&bed, 3, true);
	bed_deliver_engine(&bed, 2, false);
	bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/*
 * A planned stop: early requests are accepted; later ones, which could not
 * complete before the process ends, are refused as not run.
 */
static void test_stop(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	entry_stop(bed.entry, bed.now_us, 8 * SECOND, &bed.effects);
	g_assert_false(entry_ready(bed.entry, bed.now_us));
	bed_advance(&bed, SECOND);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	id = bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	bed_advance(&bed, 11 * SECOND / 4);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/8", "k1"),
			  RESULT_STOPPING);
	bed_advance(&bed, SECOND / 2);
	g_assert_false(bed.exited);
	bed_end_attempt(&bed, id, RESULT_OK, 200, true);
	bed_advance(&bed, SECOND);
	g_assert_true(bed.exited);
	bed_end(&bed);
}

/*
 * Both VMs of a zone are being stopped, and the balancer has no other VM for
 * its callers. A request with a four-second deadline arrived three seconds
 * after the signal, at a VM with five seconds left, and was refused until its
 * deadline passed.
 */
static void test_stop_takes_short(void)
{
	struct bed bed;

	bed_start(&bed);
	entry_stop(bed.entry, bed.now_us, 8 * SECOND, &bed.effects);
	bed_ask(&bed, "/shed/1", "k1");
	bed_advance(&bed, 3 * SECOND);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	bed_advance(&bed, SECOND);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k1"),
			  RESULT_STOPPING);
	bed_end(&bed);
}

/* A planned stop takes a request that may outlast it, and cuts it off. */
static void test_stop_refuses_long(void)
{
	struct bed bed;

	bed_start(&bed);
	entry_stop(bed.entry, bed.now_us, 4 * SECOND, &bed.effects);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k1"),
			  RESULT_STOPPING);
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/* A planned stop cuts off what is open at its end, without an answer. */
static void test_stop_answers_open(void)
{
	struct bed bed;
	uint64_t running;
	uint64_t waiting;

	bed_start(&bed);
	running = bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, running);
	do
		waiting = bed_ask(&bed, "/lodge/8", "k1");
	while (bed.started == waiting);
	entry_stop(bed.entry, bed.now_us, SECOND, &bed.effects);
	bed_advance(&bed, SECOND / 2);
	g_assert_cmpuint(bed.answered, ==, 0);
	bed_advance(&bed, SECOND / 2);
	bed_check_refused(&bed, waiting, RESULT_STOPPING);
	g_assert_true(bed.exited);
	bed_end(&bed);
}

/* The same of one that has been sent to a server: it may have run. */
static void test_stop_answers_running(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = bed_ask(&bed, "/lodge/7", "k1");
	entry_stop(bed.entry, bed.now_us, SECOND, &bed.effects);
	bed_advance(&bed, 3 * SECOND / 4);
	g_assert_false(bed.exited);
	bed_advance(&bed, SECOND / 10);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.code, ==, RESULT_STOPPING);
	g_assert_cmpint(bed.run, ==, RUN_UNKNOWN);
	bed_advance(&bed, SECOND / 4);
	g_assert_true(bed.exited);
	bed_end(&bed);
}

/*
 * Another VM fills a server, which reports so in an answer to this VM. Nothing
 * more is sent there, so no newer report arrives: unless the figures are
 * decayed, callers wait out their deadlines although the server is idle.
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
	bed_advance(&bed, SECOND);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/*
 * Both routes belong to one organisation, whose rank made them equal: at a full
 * server an urgent request waited behind less urgent ones that arrived earlier,
 * and was refused first when time became short.
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
 * The reclaimable servers of two zones were reclaimed and permanent ones
 * ordered instead. All requests still went to the third zone's reclaimable
 * servers, whose slots never filled: 124 requests expired there in 12 s while
 * seven permanent servers were idle.
 */
static void test_steady_beside_cheap(void)
{
	struct bed bed;
	int i;

	bed_start(&bed);
	bed_deliver_engine(&bed, 2, true);
	bed_deliver_server(&bed, CHEAP, 1, true, false);
	bed_deliver_server(&bed, STEADY, 1, false, false);
	for (i = 0; i < 6; i++)
		bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpint(bed.at_steady, ==, 3);
	bed_end(&bed);
}

/*
 * A site had more different latency targets than classes: the class used least
 * recently was removed, and the requests waiting in it were refused.
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
 * A server sends a wrong answer, and the other servers are leaving but still
 * known. The retry was kept from the only remaining server, and the request
 * expired after 4 s, although it could have been retried there.
 */
static void test_only_server_left(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	bed_deliver_server(&bed, CHEAP, 1, true, false);
	bed_deliver_server(&bed, CHEAP, 2, true, true);
	id = bed_ask(&bed, "/porch/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	bed.started = 0;
	bed_end_attempt(&bed, id, RESULT_BACKEND_CROSSED, 200, true);
	bed_advance(&bed, 3 * SECOND / 2);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* Submits requests whose first server fails; returns how many are retried. */
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
		bed_advance(bed, SECOND / 10);
	}
	return n;
}

/*
 * A service fails. Each entry VM of a large site retried as many requests as a
 * small site's may, and together they exceeded the site's limit. Each must use
 * its part of the limit, by the number of entry VMs.
 */
static void test_shares_retries(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_server(&bed, STEADY, 1, false, false);
	g_assert_cmpint(repeated(&bed, 20), ==, 20);
	bed.entry_vms = 66;
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpint(repeated(&bed, 20), <=, 4);
	/* A control VM without links to the other entry VMs changes nothing. */
	bed.entry_vms = 0;
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpint(repeated(&bed, 20), <=, 4);
	bed_end(&bed);
}

/* A control VM that has just started counts too few entry VMs for a moment. */
static void test_shares_retries_after_restart(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_server(&bed, STEADY, 1, false, false);
	bed.entry_vms = 66;
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	bed.entry_vms = 1;
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpint(repeated(&bed, 20), <=, 4);
	bed_advance(&bed, 11 * SECOND);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpint(repeated(&bed, 20), ==, 20);
	bed_end(&bed);
}

/*
 * A rejected request hasn't run, so another server may get it, even on a route
 * whose requests may run only once.
 */
static void test_rejected(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = bed_ask(&bed, "/lodge/7", "k1");
	bed.started = 0;
	bed_end_attempt(&bed, id, RESULT_BACKEND_ERROR, 503, false);
	bed_advance(&bed, SECOND / 2);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* The answer was lost: the request may have run, so it isn't sent again. */
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
 * A server out of memory stops the newest of the least urgent requests. With
 * the organisation's rank first, singers' cues were stopped midway while the
 * prefill of the board's long prompts, with a target of two seconds, continued.
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
 * After a day a site refused everything for lack of servers. All servers were
 * healthy, but as nothing had changed they weren't announced again, and the
 * lease that the entry VM had given them had expired.
 */
static void test_server_of_yesterday(void)
{
	struct bed bed;

	bed_start(&bed);
	bed.now_us += 50 * 3600 * SECOND;
	bed_advance(&bed, SECOND);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	bed_end(&bed);
}

/*
 * A server that left is reported again with the same start by a control VM that
 * was partitioned off, after the entry VM has removed it: it serves again.
 */
static void test_forgotten_server(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_engine(&bed, 2, true);
	bed_advance(&bed, SECOND);
	bed.now_us += 3600 * SECOND;
	bed_advance(&bed, 2 * SECOND);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	bed_deliver_engine(&bed, 3, false);
	g_assert_cmpuint(bed_ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	bed_end(&bed);
}

/* A server that comes back elsewhere still gets requests at its old address. */
static void test_moved(void)
{
	struct bed bed;
	int i;

	bed_start(&bed);
	bed_move_engine(&bed, STEADY);
	for (i = 0; i < 8; i++) {
		bed_ask(&bed, "/lodge/7", "k1");
		g_assert_cmpstr(bed.started_at, ==, STEADY);
	}
	g_assert_cmpint(bed.at_steady, >, 0);
	bed_end(&bed);
}

/* A VM without a descriptor takes its servers for failed ones. */
static void test_own_shortage(void)
{
	struct bed bed;
	uint64_t id;
	int i;

	bed_start(&bed);
	for (i = 0; i < 20; i++) {
		id = bed_ask(&bed, "/lodge/7", "k1");
		g_assert_cmpuint(bed.started, ==, id);
		bed_end_attempt(&bed, id, RESULT_NO_DESCRIPTOR, 0, false);
		bed_check_refused(&bed, id, RESULT_NO_DESCRIPTOR);
	}
	id = bed_ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	bed_end_attempt(&bed, id, RESULT_OK, 200, true);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry/no-organisation-left",
			test_no_organisation_left);
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
	g_test_add_func("/entry/stop-refuses-long", test_stop_refuses_long);
	g_test_add_func("/entry/stop-answers-open", test_stop_answers_open);
	g_test_add_func("/entry/stop-answers-running",
			test_stop_answers_running);
	g_test_add_func("/entry/full-server", test_full_server);
	g_test_add_func("/entry/urgent-route", test_urgent_route);
	g_test_add_func("/entry/steady-beside-cheap", test_steady_beside_cheap);
	g_test_add_func("/entry/many-goals", test_many_goals);
	g_test_add_func("/entry/only-server-left", test_only_server_left);
	g_test_add_func("/entry/shares-retries", test_shares_retries);
	g_test_add_func("/entry/shares-retries-after-restart",
			test_shares_retries_after_restart);
	g_test_add_func("/entry/rejected", test_rejected);
	g_test_add_func("/entry/answer-lost", test_answer_lost);
	g_test_add_func("/entry/urgency", test_urgency);
	g_test_add_func("/entry/server-of-yesterday", test_server_of_yesterday);
	g_test_add_func("/entry/forgotten-server", test_forgotten_server);
	g_test_add_func("/entry/moved", test_moved);
	g_test_add_func("/entry/own-shortage", test_own_shortage);
	return g_test_run();
}
