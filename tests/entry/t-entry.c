#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/entry.h"
#include "feed/feed.h"

#define SECOND INT64_C(1000000)
#define ROUTES 150 /* with goals of their own each */
#define CONTROL 1
#define ENGINE "10.0.0.1:80"
#define CHEAP "10.0.0.2:80"
#define STEADY "10.0.0.3:80"

/* One entry VM, one control VM that the test speaks for. */
struct bed {
	struct entry *entry;
	struct effects effects;
	int64_t now_us;
	int64_t polled_us; /* sent time of the last poll */
	bool fetched;
	uint64_t next_id;
	uint64_t started; /* the request that was sent last */
	uint64_t answered;
	int64_t code;
	int64_t run;
	int64_t retry_ms;
	bool exited;
	int told;	/* reports of begun requests */
	int at_steady;	/* attempts at STEADY */
	int64_t missed; /* requests told to have missed their goals */
};

/*
 * "VERSION KEY": one service, open to whoever has the key. Of the routes
 * "lodge" is more urgent than "shed"; the organisation has a rank of its own.
 */
static struct document *read_document(void *data, const char *text, size_t len)
{
	struct document *document = document_new();
	char *copy = xmemdup(text, len);
	char *key = strchr(copy, ' ');
	struct document_organisation *holder;
	struct route *route;
	int i;

	document->version = strtoll(copy, NULL, 10);
	document_add_service(document)->name = xstrdup("desk");
	route = document_add_route(document);
	route->name = xstrdup("lodge");
	route->host = xstrdup("a.example");
	route->prefix = xstrdup("/lodge/");
	route->kind = ROUTE_ONCE;
	route->timeout_ms = 4000;
	route->goal_ms = 300;
	route_add_split(route, "desk", 1);
	route = document_add_route(document);
	route->name = xstrdup("shed");
	route->host = xstrdup("a.example");
	route->prefix = xstrdup("/shed/");
	route->kind = ROUTE_ONCE;
	route->timeout_ms = 4000;
	route->goal_ms = 300;
	route->tier = 2;
	route_add_split(route, "desk", 1);
	route = document_add_route(document);
	route->name = xstrdup("porch");
	route->host = xstrdup("a.example");
	route->prefix = xstrdup("/porch/");
	route->kind = ROUTE_IDEMPOTENT;
	route->timeout_ms = 4000;
	route->goal_ms = 300;
	route->attempts = 2;
	route_add_split(route, "desk", 1);
	for (i = 0; i < ROUTES; i++) {
		route = document_add_route(document);
		route->name = g_strdup_printf("r%d", i);
		route->host = xstrdup("a.example");
		route->prefix = g_strdup_printf("/r%d/", i);
		route->timeout_ms = 4000;
		route->goal_ms = 1000 + i;
		route->tier = 3;
		route_add_split(route, "desk", 1);
	}
	holder = document_add_organisation(document);
	holder->name = xstrdup("yards");
	holder->tier = 1;
	document_add_key(document, 0, key + 1);
	free(copy);
	g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
	return document;
}

static void look(struct bed *bed)
{
	struct feed_message message;
	struct effect *effect;

	while ((effect = effects_take(&bed->effects))) {
		if (effect->kind == EFFECT_ANSWER) {
			bed->answered = effect->u.answer.id;
			bed->code = effect->u.answer.code;
			bed->run = effect->u.answer.run;
			bed->retry_ms = effect->u.answer.retry_after_ms;
		} else if (effect->kind == EFFECT_START_ATTEMPT) {
			bed->started = effect->u.start.id;
			bed->at_steady +=
				!strcmp(effect->u.start.address, STEADY);
		} else if (effect->kind == EFFECT_EXIT) {
			bed->exited = true;
		} else if (effect->kind == EFFECT_SEND) {
			const struct bytes *body = &effect->u.send.body;

			g_assert_true(
				feed_read(&message, body->data, body->len));
			if (message.kind == FEED_POLL)
				bed->polled_us = message.u.poll.sent_us;
			bed->fetched |= message.kind == FEED_FETCH;
			bed->told += message.kind == FEED_BEGUN;
			if (message.kind == FEED_MISSED)
				bed->missed += message.u.missed.missed;
			feed_clear(&message);
		}
		effect_free(effect);
	}
}

static void hear(struct bed *bed, struct bytes *body)
{
	struct event_link_message message = { CONTROL, LINK_FEED, *body };

	entry_link_message(bed->entry, &message, bed->now_us, &bed->effects);
	bytes_clear(body);
	look(bed);
}

static void hear_state(struct bed *bed, int64_t echo_us, int64_t age_us,
		       int64_t version)
{
	struct feed_state state = { echo_us, age_us, version,
				    1000 * SECOND + bed->now_us };
	struct bytes body = { 0 };

	feed_write_state(&body, &state);
	hear(bed, &body);
}

static void hear_document(struct bed *bed, int64_t version, const char *key)
{
	char *text = g_strdup_printf("%d %s", (int)version, key);
	struct bytes body = { 0 };

	feed_write_document(&body, version, text, strlen(text));
	g_free(text);
	hear(bed, &body);
}

/* A further server of the service, bought for good or reclaimable. */
static void hear_other(struct bed *bed, const char *address, int64_t sequence,
		       bool cheap, bool leaving)
{
	struct registration told = { .service = "desk",
				     .zone = "z1",
				     .born_ms = 7,
				     .sequence = sequence,
				     .slots = 8,
				     .cheap = cheap,
				     .leaving = leaving };
	struct bytes body = { 0 };

	g_strlcpy(told.id, address, sizeof(told.id));
	g_strlcpy(told.address, address, sizeof(told.address));
	feed_write_registration(&body, &told, 0);
	hear(bed, &body);
}

static void hear_engine(struct bed *bed, int64_t sequence, bool leaving)
{
	struct registration told = { .id = "s1",
				     .address = ENGINE,
				     .service = "desk",
				     .zone = "z1",
				     .born_ms = 7,
				     .sequence = sequence,
				     .slots = 2,
				     .leaving = leaving };
	struct bytes body = { 0 };

	feed_write_registration(&body, &told, 0);
	hear(bed, &body);
}

static void pass(struct bed *bed, int64_t us)
{
	int64_t until_us = bed->now_us + us;

	while (bed->now_us < until_us) {
		bed->now_us += 50000;
		entry_tick(bed->entry, bed->now_us, &bed->effects);
		look(bed);
	}
}

static void bed_start(struct bed *bed)
{
	struct entry_options options = { .self = 77,
					 .seed = 1,
					 .vm = "entry-1",
					 .zone = "z1",
					 .fresh_us = 4500000,
					 .window_us = 5 * SECOND,
					 .read_document = read_document };
	struct event_link_up up = { CONTROL, (char *)"control-1", (char *)"z1",
				    NULL, false };

	memset(bed, 0, sizeof(*bed));
	effects_init(&bed->effects);
	bed->now_us = 100 * SECOND;
	bed->entry = entry_new(&options, bed->now_us);
	entry_link_up(bed->entry, &up, bed->now_us, &bed->effects);
	look(bed);
	hear_state(bed, bed->polled_us, 0, 1);
	hear_document(bed, 1, "k1");
	hear_state(bed, bed->polled_us, 0, 1);
	hear_engine(bed, 1, false);
}

static void bed_end(struct bed *bed)
{
	entry_free(bed->entry);
	effects_clear(&bed->effects);
}

static uint64_t ask(struct bed *bed, const char *path, const char *key)
{
	struct entry_request request = {
		.id = ++bed->next_id,
		.name = "r",
		.host = "a.example",
		.path = path,
		.key = key,
		.body_hash = "x",
	};

	entry_submit(bed->entry, &request, bed->now_us, &bed->effects);
	look(bed);
	return request.id;
}

static void end_attempt(struct bed *bed, uint64_t id, enum result code,
			int64_t status, bool sent)
{
	struct event_attempt_ended ended = { .id = id,
					     .attempt = 1,
					     .code = code,
					     .http_status = status,
					     .sent = sent };

	entry_ended(bed->entry, &ended, bed->now_us, &bed->effects);
	look(bed);
}

static void check_refused(struct bed *bed, uint64_t id, enum result code)
{
	g_assert_cmpuint(bed->answered, ==, id);
	g_assert_cmpint(bed->code, ==, code);
	g_assert_cmpint(bed->run, ==, RUN_NOT);
}

static void test_serves(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	g_assert_true(entry_ready(bed.entry, bed.now_us));
	id = ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	end_attempt(&bed, id, RESULT_OK, 200, true);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.code, ==, RESULT_OK);
	pass(&bed, SECOND);
	g_assert_cmpint(bed.told, ==, 1);
	bed_end(&bed);
}

static void test_refuses(void)
{
	struct bed bed;

	bed_start(&bed);
	check_refused(&bed, ask(&bed, "/other/", "k1"), RESULT_NO_ROUTE);
	check_refused(&bed, ask(&bed, "/lodge/7", NULL), RESULT_NO_KEY);
	check_refused(&bed, ask(&bed, "/lodge/7", "k2"), RESULT_KEY_UNKNOWN);
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/* A VM that is out of touch runs nothing; what it can't decide it refuses. */
static void check_stale(struct bed *bed)
{
	uint64_t id = ask(bed, "/lodge/7", "k1");

	g_assert_cmpuint(bed->started, !=, id);
	pass(bed, 3 * SECOND / 2);
	check_refused(bed, id, RESULT_STALE);
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
	pass(&bed, 4 * SECOND);
	g_assert_cmpuint(ask(&bed, "/lodge/7", "k1"), ==, bed.started);
	pass(&bed, SECOND);
	g_assert_false(entry_ready(bed.entry, bed.now_us));
	check_stale(&bed);
	hear_state(&bed, bed.polled_us, 0, 2);
	g_assert_true(bed.fetched);
	check_stale(&bed);
	hear_document(&bed, 2, "k2");
	hear_state(&bed, bed.polled_us, 0, 2);
	check_refused(&bed, ask(&bed, "/lodge/7", "k1"), RESULT_KEY_UNKNOWN);
	g_assert_cmpuint(ask(&bed, "/lodge/7", "k2"), ==, bed.started);
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
	pass(&bed, 4 * SECOND);
	hear_state(&bed, asked_us, 0, 1);
	pass(&bed, SECOND);
	check_stale(&bed);
	bed_end(&bed);
}

/* The control VM's own proof was old when it answered. */
static void test_old_proof(void)
{
	struct bed bed;

	bed_start(&bed);
	pass(&bed, 5 * SECOND);
	hear_state(&bed, bed.polled_us, 5 * SECOND, 1);
	check_stale(&bed);
	hear_state(&bed, bed.polled_us, -1, 1);
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
	pass(&bed, 5 * SECOND);
	id = ask(&bed, "/lodge/7", "k1");
	pass(&bed, SECOND);
	g_assert_cmpuint(bed.answered, ==, 0);
	hear_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* A caller that leaves while it waits so is forgotten. */
static void test_leaves_waiting(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	pass(&bed, 5 * SECOND);
	id = ask(&bed, "/lodge/7", "k1");
	entry_caller_left(bed.entry, id, bed.now_us, &bed.effects);
	hear_state(&bed, bed.polled_us, 0, 1);
	g_assert_cmpuint(bed.started, ==, 0);
	bed_end(&bed);
}

/* An older document that comes late changes nothing. */
static void test_late_document(void)
{
	struct bed bed;

	bed_start(&bed);
	hear_document(&bed, 3, "k3");
	hear_document(&bed, 2, "k2");
	hear_state(&bed, bed.polled_us, 0, 3);
	check_refused(&bed, ask(&bed, "/lodge/7", "k2"), RESULT_KEY_UNKNOWN);
	g_assert_cmpuint(ask(&bed, "/lodge/7", "k3"), ==, bed.started);
	bed_end(&bed);
}

/* A server that leaves gets nothing more, and its late "ready" is no news. */
static void test_leaving(void)
{
	struct bed bed;

	bed_start(&bed);
	hear_engine(&bed, 3, true);
	hear_engine(&bed, 2, false);
	ask(&bed, "/lodge/7", "k1");
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
	pass(&bed, SECOND);
	hear_state(&bed, bed.polled_us, 0, 1);
	id = ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	pass(&bed, 2 * SECOND);
	check_refused(&bed, ask(&bed, "/lodge/8", "k1"), RESULT_STOPPING);
	pass(&bed, SECOND / 2);
	g_assert_false(bed.exited);
	end_attempt(&bed, id, RESULT_OK, 200, true);
	pass(&bed, SECOND);
	g_assert_true(bed.exited);
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
	id = ask(&bed, "/lodge/7", "k1");
	entry_load(bed.entry, ENGINE, 2, 20, 2, bed.now_us);
	end_attempt(&bed, id, RESULT_OK, 200, true);
	id = ask(&bed, "/lodge/8", "k1");
	g_assert_cmpuint(bed.started, !=, id);
	pass(&bed, SECOND);
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
	first = ask(&bed, "/shed/1", "k1");
	ask(&bed, "/shed/2", "k1");
	ask(&bed, "/shed/3", "k1");
	urgent = ask(&bed, "/lodge/7", "k1");
	g_assert_cmpuint(bed.started, ==, first + 1);
	end_attempt(&bed, first, RESULT_OK, 200, true);
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
	hear_engine(&bed, 2, true);
	hear_other(&bed, CHEAP, 1, true, false);
	hear_other(&bed, STEADY, 1, false, false);
	for (i = 0; i < 6; i++)
		ask(&bed, "/lodge/7", "k1");
	g_assert_cmpint(bed.at_steady, ==, 3);
	bed_end(&bed);
}

/* What expires for want of servers is told; what a server failed is not. */
static void test_tells_missed(void)
{
	struct bed bed;
	uint64_t id;
	int i;

	bed_start(&bed);
	id = ask(&bed, "/lodge/7", "k1");
	end_attempt(&bed, id, RESULT_BACKEND_ERROR, 500, true);
	pass(&bed, 2 * SECOND);
	g_assert_cmpint(bed.missed, ==, 0);
	for (i = 0; i < 4; i++)
		ask(&bed, "/lodge/7", "k1");
	pass(&bed, 6 * SECOND);
	g_assert_cmpint(bed.missed, >=, 2);
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
	first = ask(&bed, "/shed/1", "k1");
	ask(&bed, "/shed/2", "k1");
	waits = ask(&bed, "/lodge/7", "k1");
	for (i = 0; i < ROUTES; i++) {
		g_autofree char *path = g_strdup_printf("/r%d/x", i);

		ask(&bed, path, "k1");
		g_assert_cmpuint(bed.answered, !=, waits);
	}
	end_attempt(&bed, first, RESULT_OK, 200, true);
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
	hear_other(&bed, CHEAP, 1, true, false);
	hear_other(&bed, CHEAP, 2, true, true);
	id = ask(&bed, "/porch/7", "k1");
	g_assert_cmpuint(bed.started, ==, id);
	bed.started = 0;
	end_attempt(&bed, id, RESULT_BACKEND_CROSSED, 200, true);
	pass(&bed, 3 * SECOND / 2);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* Rejected, so not run: another server may have it, though it may run once. */
static void test_rejected(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = ask(&bed, "/lodge/7", "k1");
	bed.started = 0;
	end_attempt(&bed, id, RESULT_BACKEND_ERROR, 503, false);
	pass(&bed, SECOND / 2);
	g_assert_cmpuint(bed.started, ==, id);
	bed_end(&bed);
}

/* The answer was lost: it may have run, so it is not sent again. */
static void test_answer_lost(void)
{
	struct bed bed;
	uint64_t id;

	bed_start(&bed);
	id = ask(&bed, "/lodge/7", "k1");
	bed.started = 0;
	end_attempt(&bed, id, RESULT_BACKEND_BROKE, 0, true);
	g_assert_cmpuint(bed.started, ==, 0);
	g_assert_cmpuint(bed.answered, ==, id);
	g_assert_cmpint(bed.run, ==, RUN_UNKNOWN);
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
	g_test_add_func("/entry/full-server", test_full_server);
	g_test_add_func("/entry/urgent-route", test_urgent_route);
	g_test_add_func("/entry/steady-beside-cheap", test_steady_beside_cheap);
	g_test_add_func("/entry/tells-missed", test_tells_missed);
	g_test_add_func("/entry/many-goals", test_many_goals);
	g_test_add_func("/entry/only-server-left", test_only_server_left);
	g_test_add_func("/entry/rejected", test_rejected);
	g_test_add_func("/entry/answer-lost", test_answer_lost);
	return g_test_run();
}
