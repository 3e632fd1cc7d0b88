#include <glib.h>
#include <string.h>

#include "load/divide.h"

#define SECOND INT64_C(1000000)
#define ENGINES 140
#define ENGINES_LEFT 40
#define VMS 71

/* Requests for cues, coaching and scores. */
static const struct divide_query cue = { SECOND / 4, 700, 3500, 30000 };
static const struct divide_query coach = { 2 * SECOND / 5, 2400, 3500, 30000 };
static const struct divide_query score = { SECOND, 9000, 3500, 30000 };

static void all_come(struct divide *divide, int64_t now_us)
{
	divide_record_pause(divide, score.pause_us, now_us);
	divide_record_pause(divide, cue.pause_us, now_us);
	divide_record_pause(divide, coach.pause_us, now_us);
}

/*
 * The stream of singers' cues may pause for at most a quarter of a second. Cues
 * were late when they shared servers with scores of 9,000 tokens, so they have
 * servers of their own. Cues with a long prompt are kept off those servers too,
 * as they would delay the others.
 */
static void test_paced(void)
{
	struct divide_query long_cue = cue;
	struct divide divide;

	long_cue.prompt_tokens = 8000;
	divide_init(&divide);
	all_come(&divide, SECOND);
	g_assert_true(divide_is_paced(&divide, &cue));
	g_assert_false(divide_is_paced(&divide, &coach));
	g_assert_false(divide_is_paced(&divide, &score));
	g_assert_false(divide_is_paced(&divide, &long_cue));
}

/*
 * A burst of cues halves the mean prompt length. When prompts were compared
 * with the mean, a third of the cues counted as long, were sent to the servers
 * for scores and were late.
 */
static void test_mix(void)
{
	struct divide_query big_cue = cue;
	struct divide divide;

	big_cue.prompt_tokens = 1400;
	big_cue.mean_prompt = 1500;
	divide_init(&divide);
	all_come(&divide, SECOND);
	g_assert_true(divide_is_paced(&divide, &big_cue));
}

/* Without any request that limits its pauses, prompts are divided by length. */
static void test_no_pause(void)
{
	struct divide_query query = { 0, 700, 3500, 30000 };
	struct divide divide;

	divide_init(&divide);
	g_assert_true(divide_is_paced(&divide, &query));
	query.prompt_tokens = 9000;
	g_assert_false(divide_is_paced(&divide, &query));
}

/*
 * Requests with the shortest pause stop, so the next shortest takes its place.
 */
static void test_forgotten(void)
{
	struct divide divide;

	divide_init(&divide);
	all_come(&divide, SECOND);
	divide_record_pause(&divide, coach.pause_us, 5 * SECOND);
	g_assert_false(divide_is_paced(&divide, &coach));
	divide_record_pause(&divide, coach.pause_us, 12 * SECOND);
	g_assert_true(divide_is_paced(&divide, &coach));
}

/*
 * Simulates one VM's fraction of `rate` cues per second over all VMs, from
 * `from_us` for `for_us`.
 */
static void play(struct divide *divide, int engines, double rate,
		 int64_t from_us, int64_t for_us)
{
	const struct divide_pool pool = { VMS, engines, engines };
	int64_t every_us = (int64_t)(1e6 * VMS / rate);
	int64_t now_us;

	for (now_us = from_us; now_us < from_us + for_us; now_us += every_us) {
		divide_record_use(divide, 1e6 * 700 / 30000, now_us);
		divide_record_use(divide, 2e6 / 24, now_us);
		divide_adjust(divide, &pool, now_us);
	}
}

/*
 * The servers of two availability zones are lost while cues arrive at four
 * times their usual rate. With a fixed quarter of the servers, cues waited for
 * four seconds while the other servers had free slots. The share of servers
 * must grow with the work of the cues, and shrink again with it.
 */
static void test_burst(void)
{
	struct divide divide;

	divide_init(&divide);
	play(&divide, ENGINES, 90, SECOND, 10 * SECOND);
	g_assert_cmpfloat(divide.share, ==, DIVIDE_MIN_SHARE);
	play(&divide, ENGINES_LEFT, 360, 11 * SECOND, 6 * SECOND);
	g_assert_cmpfloat(divide.share, >, DIVIDE_MAX_SHARE - DIVIDE_STEP);
	g_assert_cmpfloat(divide.share, <=, DIVIDE_MAX_SHARE);
	play(&divide, ENGINES, 90, 17 * SECOND, 20 * SECOND);
	g_assert_cmpfloat(divide.share, <, DIVIDE_MIN_SHARE + DIVIDE_STEP);
}

#define SLOTS 24
#define BURST_OF_VM 5 /* 355 cues over all VMs */

/*
 * A burst of cues arrives while only 40 of 140 servers are left; each cue takes
 * one of 24 slots for four seconds. A quarter of the servers has 240 slots, so
 * a third of the cues would wait there beside servers with free slots. The
 * measured work doesn't show this until the first cues end, so the share also
 * depends on the slots in use.
 */
static void test_slots(void)
{
	const struct divide_pool pool = { VMS, ENGINES, ENGINES_LEFT };
	struct divide divide;
	int i;

	divide_init(&divide);
	for (i = 0; i < BURST_OF_VM; i++) {
		divide_started(&divide, SLOTS);
		divide_record_use(&divide, 1e6 * 700 / 30000, SECOND);
	}
	g_assert_true(divide_adjust(&divide, &pool, SECOND));
	g_assert_cmpfloat(divide.share * ENGINES_LEFT * SLOTS, >,
			  BURST_OF_VM * VMS - 1);
	for (i = 0; i < BURST_OF_VM; i++)
		divide_ended(&divide, SLOTS);
	g_assert_true(divide_adjust(&divide, &pool, 2 * SECOND));
	g_assert_cmpfloat(divide.share, ==, DIVIDE_MIN_SHARE);
}

/*
 * A VM that receives no cues still reserves a quarter of the servers for those
 * of other VMs.
 */
static void test_least(void)
{
	const struct divide_pool pool = { VMS, ENGINES, ENGINES };
	const struct divide_pool none = { 0, 0, 0 };
	struct divide divide;

	divide_init(&divide);
	g_assert_false(divide_adjust(&divide, &pool, 60 * SECOND));
	g_assert_cmpfloat(divide.share, ==, DIVIDE_MIN_SHARE);
	g_assert_false(divide_adjust(&divide, &none, 60 * SECOND));
}

static int kept(struct backend *const *members, int n, bool usable)
{
	int n_kept = 0;
	int i;

	for (i = 0; i < n; i++)
		n_kept += members[i]->for_paced &&
			  backend_usable(members[i], SECOND) == usable;
	return n_kept;
}

static void announce_servers(struct fleet *fleet, struct backend **members,
			     int n)
{
	char address[32];
	int i;

	for (i = 0; i < n; i++) {
		struct event_announce announce = { .address = address,
						   .boot_id = "b",
						   .sequence = 1,
						   .service = "scribe",
						   .zone = "z",
						   .lease_ms = 60000,
						   .slots = 128 };

		g_snprintf(address, sizeof(address), "10.0.0.%d:80", i);
		fleet_announce(fleet, &announce, 0);
		members[i] = fleet_find(fleet, address);
	}
}

/*
 * Two of three availability zones are lost; their servers stay in the list
 * while they leave. When most servers reserved for cues were in those zones,
 * cues were sent to servers with scores and were late. New ones must be
 * reserved among the remaining servers.
 */
static void test_leaving(void)
{
	struct backend *members[24];
	struct fleet fleet;
	struct divide divide;
	int i;

	fleet_init(&fleet);
	divide_init(&divide);
	announce_servers(&fleet, members, 24);
	divide_mark(&divide, members, 24, SECOND);
	g_assert_cmpint(kept(members, 24, true), ==, 6);
	/* All reserved servers and ten others leave. */
	for (i = 0; i < 24; i++)
		members[i]->leaving = members[i]->for_paced || i >= 14;
	divide_mark(&divide, members, 24, SECOND);
	g_assert_cmpint(kept(members, 24, true), >=, 2);
	g_assert_cmpint(kept(members, 24, false), ==, 0);
	fleet_clear(&fleet);
}

#define MANY 184

/*
 * Drains every second server; returns how many of the others changed between
 * reserved and unreserved.
 */
static int sides_changed(int odd, int *missing)
{
	struct backend *members[MANY];
	bool before[MANY];
	struct fleet fleet;
	struct divide divide;
	int changed = 0;
	int i;

	fleet_init(&fleet);
	divide_init(&divide);
	announce_servers(&fleet, members, MANY);
	divide_mark(&divide, members, MANY, SECOND);
	*missing = MANY / 8;
	for (i = 0; i < MANY; i++) {
		before[i] = members[i]->for_paced;
		members[i]->leaving = i % 2 == odd;
		*missing -= before[i] && !members[i]->leaving;
	}
	divide_mark(&divide, members, MANY, SECOND);
	for (i = 0; i < MANY; i++)
		changed += !members[i]->leaving &&
			   members[i]->for_paced != before[i];
	g_assert_cmpint(kept(members, MANY, true), >=, MANY / 8);
	fleet_clear(&fleet);
	return changed;
}

/*
 * During a burst two zones leave while replacements are starting. When the
 * reserved servers were chosen anew among the rest, servers changed between
 * reserved and unreserved, and paced streams stalled behind the long prompts
 * that were being read there; a few seconds later all changed back. Only as
 * many servers as are missing may change.
 */
static void test_replaced(void)
{
	int missing;
	int odd;

	for (odd = 0; odd < 2; odd++)
		g_assert_cmpint(sides_changed(odd, &missing), ==,
				MAX(missing, 0));
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/divide/paced", test_paced);
	g_test_add_func("/divide/mix", test_mix);
	g_test_add_func("/divide/no-pause", test_no_pause);
	g_test_add_func("/divide/forgotten", test_forgotten);
	g_test_add_func("/divide/burst", test_burst);
	g_test_add_func("/divide/slots", test_slots);
	g_test_add_func("/divide/least", test_least);
	g_test_add_func("/divide/leaving", test_leaving);
	g_test_add_func("/divide/replaced", test_replaced);
	return g_test_run();
}
