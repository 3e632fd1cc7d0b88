/* Sound servers stand still for a while, with their connections open. */
#include <glib.h>
#include <string.h>

#include "order.h"

#define CALLERS 60
#define CALLERS_US (22 * SECOND / 10)
#define SILENT_AT_US (9 * SECOND / 10)
#define DOCUMENT_AT_US (6 * SECOND / 10)
#define COME_BACK_US (SECOND / 5)
#define COME_BACKS 6

enum caller_kind { STAYS, COMES_BACK, KINDS };

struct play {
	int64_t silent_us;
	int silent; /* servers */
	bool document;
	int slots;
};

struct caller {
	struct entries_stream *stream;
	enum caller_kind kind;
	int leaves_at;
	int tries;
	int64_t back_us;
};

struct tally {
	int whole[KINDS];
	int refused;	    /* answers */
	int repeats;	    /* requests that were sent again */
	int silent_repeats; /* of these, to a server that is silent too */
	int silent_sends;   /* first ones, to one that has long been silent */
};

static void begin_caller(struct entries *entries, struct caller *caller, int n)
{
	caller->kind = n % 3 == 1 ? COMES_BACK : STAYS;
	caller->leaves_at = caller->kind == COMES_BACK ? 1 + n / 3 % 12 : 0;
	caller->stream = streams_begin(entries, n / 3 % ORDER_VMS);
}

static bool is_over(const struct entries_stream *stream)
{
	return stream->state == STREAMS_REFUSED ||
	       stream->state == STREAMS_BROKEN;
}

/* Leaves after some events; comes to the next VM until it has them all. */
static void act(struct entries *entries, struct caller *caller,
		struct tally *tally)
{
	struct entries_stream *stream = caller->stream;
	int64_t now_us = group_now(entries->group);

	if (caller->leaves_at && stream->events >= caller->leaves_at &&
	    stream->state == STREAMS_OPEN) {
		caller->leaves_at = 0;
		streams_leave(entries, stream);
		caller->back_us = now_us + COME_BACK_US;
	} else if (is_over(stream) && !caller->back_us) {
		tally->refused++;
		caller->back_us = now_us + COME_BACK_US;
	}
	if (!caller->back_us || now_us < caller->back_us ||
	    caller->kind == STAYS || caller->tries++ == COME_BACKS)
		return;
	caller->back_us = 0;
	streams_resume(entries, stream, (stream->vm + 1) % ORDER_VMS);
}

static struct entries *start(const struct play *play)
{
	struct entries *entries = order_start(order_one);
	int i;

	entries->stream_prompt = 1500;
	for (i = 0; i < ORDER_SERVERS; i++) {
		entries->servers[i].slots = play->slots;
		entries->servers[i].queue = play->slots / 4;
	}
	/* What the VMs have measured is of usual times. */
	streams_begin_many(entries, CALLERS, SECOND / 100);
	entries_run(entries, 2 * SECOND);
	return entries;
}

/* It announces itself again up to an interval after it. */
static void silence(struct entries *entries, int server, int64_t us)
{
	struct entries_server *silent = &entries->servers[server];

	entries_silence(entries, server, us);
	silent->announced_us = silent->silent_until_us - SECOND +
			       (server + 1) * SECOND / ORDER_SERVERS;
}

static void step(struct entries *entries, const struct play *play,
		 int64_t since_us)
{
	int64_t at_us = group_now(entries->group) - since_us;
	int i;

	if (play->document && at_us == DOCUMENT_AT_US)
		group_put(entries->group, group_leader(entries->group), 2);
	for (i = 0; at_us == SILENT_AT_US && i < play->silent; i++)
		silence(entries, i, play->silent_us);
	entries_run(entries, GROUP_STEP_US);
}

static struct tally run_play(const struct play *play)
{
	struct entries *entries = start(play);
	struct caller callers[3 * CALLERS] = { 0 };
	struct tally tally = { 0 };
	int64_t since_us = group_now(entries->group);
	int n = 0;
	int i;

	while (group_now(entries->group) - since_us < 10 * SECOND) {
		int64_t passed_us = group_now(entries->group) - since_us;

		for (; n < 3 * CALLERS &&
		       passed_us >= n * CALLERS_US / (3 * CALLERS);
		     n++)
			begin_caller(entries, &callers[n], n);
		for (i = 0; i < n; i++)
			act(entries, &callers[i], &tally);
		step(entries, play, since_us);
	}
	for (i = 0; i < n; i++)
		tally.whole[callers[i].kind] +=
			callers[i].stream->events == STREAMS_EVENTS;
	g_assert_cmpint(streams_joined(entries), ==, 0);
	tally.repeats = (int)entries->repeats->len;
	tally.silent_repeats = entries->silent_repeats;
	tally.silent_sends = entries->silent_sends;
	entries_free(entries);
	g_test_message("whole: %d that stay, %d that come back; %d refused "
		       "or broken off; %d sent again, %d to silent servers; "
		       "%d sent to long silent ones",
		       tally.whole[STAYS], tally.whole[COMES_BACK],
		       tally.refused, tally.repeats, tally.silent_repeats,
		       tally.silent_sends);
	return tally;
}

/* All are served, no answer ends early, and nothing is sent in vain. */
static void check_all_served(const struct play *play)
{
	struct tally tally = run_play(play);

	g_assert_cmpint(tally.silent_repeats, ==, 0);
	if (play->silent == ORDER_SERVERS)
		g_assert_cmpint(tally.repeats, ==, 0);
	else
		/* Each VM has to find out by itself. */
		g_assert_cmpint(tally.silent_sends, <=,
				ORDER_VMS * play->silent);

	g_assert_cmpint(tally.whole[STAYS], ==, 2 * CALLERS);
	g_assert_cmpint(tally.whole[COMES_BACK], ==, CALLERS);
	g_assert_cmpint(tally.refused, ==, 0);
}

static void test_all_short(void)
{
	static const struct play play = { 12 * SECOND / 10, ORDER_SERVERS,
					  false, 400 };
	static const struct play with_document = { 12 * SECOND / 10,
						   ORDER_SERVERS, true, 400 };

	check_all_served(&play);
	check_all_served(&with_document);
}

static void test_all_long(void)
{
	static const struct play play = { 25 * SECOND / 10, ORDER_SERVERS,
					  false, 400 };
	static const struct play with_document = { 25 * SECOND / 10,
						   ORDER_SERVERS, true, 400 };

	check_all_served(&play);
	check_all_served(&with_document);
}

static void test_some(void)
{
	static const struct play play = { 12 * SECOND / 10, 4, true, 400 };
	static const struct play longer = { 25 * SECOND / 10, 4, true, 400 };

	check_all_served(&play);
	check_all_served(&longer);
}

/* Few slots: those of the servers that aren't silent are enough. */
static void test_few_slots(void)
{
	static const struct play play = { 12 * SECOND / 10, ORDER_SERVERS, true,
					  40 };
	static const struct play some = { 12 * SECOND / 10, 4, true, 40 };

	check_all_served(&play);
	check_all_served(&some);
}

/* Plain requests, that may run once or again, beside changes in series. */
static void test_plain(void)
{
	struct entries *entries = order_start(order_one);
	const struct entries_ask ask[] = {
		{ .path = ENTRIES_ONCE, .work_us = SECOND / 20 },
		{ .path = ENTRIES_AGAIN, .work_us = SECOND / 20 }
	};
	const struct entries_asked *asked[CALLERS];
	int i;

	for (i = 0; i < ORDER_SERVERS; i++)
		silence(entries, i, 25 * SECOND / 10);
	for (i = 0; i < CALLERS; i++) {
		if (i % 10 == 0)
			group_put(entries->group, group_leader(entries->group),
				  2 + i / 10);
		asked[i] = entries_send(entries, i % ORDER_VMS, &ask[i % 2]);
		entries_run(entries, SECOND / 40);
	}
	entries_run(entries, 4 * SECOND);
	for (i = 0; i < CALLERS; i++) {
		g_assert_cmpint(asked[i]->code, ==, RESULT_OK);
		g_assert_cmpint(asked[i]->sends, ==, 1);
	}
	entries_free(entries);
}

/* Answers that are held until their server is heard aren't given up. */
static void test_held(void)
{
	struct entries *entries = order_start(order_one);
	guint i;
	int at;

	streams_begin_many(entries, CALLERS, GROUP_STEP_US);
	entries_run(entries, ORDER_LEAVE_US);
	order_leave_all(entries);
	/* The first one is heard just before the others go on. */
	silence(entries, 0, 21 * SECOND / 10);
	entries->servers[0].announced_us -= SECOND;
	for (at = 1; at < ORDER_SERVERS; at++)
		silence(entries, at, 23 * SECOND / 10);
	for (i = 0; i < entries->streams->len; i++)
		streams_resume(entries, streams_nth(entries, i),
			       (int)i % ORDER_VMS);
	entries_run(entries, 6 * SECOND);
	g_test_message("%u sent again", entries->repeats->len);
	g_assert_cmpint(entries->repeats->len, ==, 0);
	for (i = 0; i < entries->streams->len; i++)
		g_assert_cmpint(streams_nth(entries, i)->events, ==,
				STREAMS_EVENTS);
	entries_free(entries);
}

/* Streams begin as servers are back and unheard; callers come elsewhere. */
static void test_begun_unheard(void)
{
	struct entries *entries = order_start(order_one);
	guint i;
	int at;

	for (at = 1; at < ORDER_SERVERS; at++)
		silence(entries, at, 25 * SECOND / 10);
	entries_run(entries, 25 * SECOND / 10 + GROUP_STEP_US);
	streams_begin_many(entries, CALLERS, GROUP_STEP_US);
	entries_run(entries, ORDER_LEAVE_US);
	order_leave_all(entries);
	for (i = 0; i < entries->streams->len; i++) {
		struct entries_stream *stream = streams_nth(entries, i);

		streams_resume(entries, stream, (stream->vm + 1) % ORDER_VMS);
	}
	entries_run(entries, 4 * SECOND);
	for (i = 0; i < entries->streams->len; i++)
		g_assert_cmpint(streams_nth(entries, i)->events, ==,
				STREAMS_EVENTS);
	g_assert_cmpint(streams_joined(entries), ==, 0);
	entries_free(entries);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/silent-servers/all-short", test_all_short);
	g_test_add_func("/silent-servers/all-long", test_all_long);
	g_test_add_func("/silent-servers/some", test_some);
	g_test_add_func("/silent-servers/few-slots", test_few_slots);
	g_test_add_func("/silent-servers/plain", test_plain);
	g_test_add_func("/silent-servers/held", test_held);
	g_test_add_func("/silent-servers/begun-unheard", test_begun_unheard);
	return g_test_run();
}
