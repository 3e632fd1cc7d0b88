#include <glib.h>

#include "load/retry.h"

#define SECOND INT64_C(1000000)

/* 66 entry VMs, each with 14 requests per second for the service. */
#define VMS 66
#define RATE 14
#define RUN_S 60
#define WINDOW_S 10
#define SITE_SHARE 0.2
#define SITE_HEADROOM 172.0

struct play {
	struct retry vms[VMS];
	int fresh[RUN_S];
	int again[RUN_S];
};

static void play_open(struct play *play, int vms_known)
{
	struct retry_limit limit = { SITE_SHARE, SITE_HEADROOM,
				     WINDOW_S * SECOND, vms_known, false };
	int i;

	*play = (struct play){ 0 };
	for (i = 0; i < VMS; i++) {
		retry_init(&play->vms[i], true, 0);
		retry_limit(&play->vms[i], &limit);
	}
}

/* Makes one request; if `bad`, its first server answers with an error. */
static void play_request(struct play *play, struct retry *vm, int second,
			 int64_t now_us, bool bad)
{
	struct retry_case why = {
		.code = RESULT_BACKEND_ERROR,
		.http_status = 500,
		.sent = true,
		.idempotent = true,
		.reached_server = true,
		.attempts = 1,
		.sends = 1,
		.max_attempts = 2,
	};

	retry_record_request(vm, now_us);
	play->fresh[second]++;
	if (bad && !retry_check(vm, &why, now_us))
		play->again[second]++;
}

static void play_run(struct play *play, int bad_from, int bad_until)
{
	int second;
	int i;
	int k;

	for (second = 0; second < RUN_S; second++)
		for (k = 0; k < RATE; k++)
			for (i = 0; i < VMS; i++)
				play_request(play, &play->vms[i], second,
					     second * SECOND +
						     k * SECOND / RATE,
					     second >= bad_from &&
						     second < bad_until);
}

static int sum(const int *seconds, int from)
{
	int n = 0;
	int i;

	for (i = from; i < from + WINDOW_S; i++)
		n += seconds[i];
	return n;
}

/* The largest number of retries in a window above the limit of the site. */
static double worst_excess(const struct play *play)
{
	double worst = -1e9;
	int from;

	for (from = 0; from + WINDOW_S <= RUN_S; from++) {
		double excess = sum(play->again, from) -
				SITE_SHARE * sum(play->fresh, from) -
				SITE_HEADROOM;

		if (excess > worst)
			worst = excess;
	}
	return worst;
}

/*
 * All servers of a service fail for half a minute. Each entry VM retried within
 * its own budget of at least 32 saved retries; with 66 VMs that allowed 2,112
 * retries besides those earned by traffic, and the failing service received an
 * additional third of its load. With the limit of the site divided among the
 * VMs, no window of ten seconds exceeds it.
 */
static void repeats_of_all_vms_stay_within_the_limit(void)
{
	struct play play;

	play_open(&play, 0);
	play_run(&play, 20, 50);
	g_assert_cmpfloat(worst_excess(&play), >, 500);
	play_open(&play, VMS);
	play_run(&play, 20, 50);
	g_assert_cmpfloat(worst_excess(&play), <=, 0);
}

/*
 * A quarter of the servers crash under moderate load, and within a second each
 * VM has fourteen requests to retry. The limit allows this, as it counts ten
 * seconds of traffic. A VM that could save up only its part of the headroom
 * retried four and failed the others.
 */
static void a_crash_is_repeated(void)
{
	struct play play;

	play_open(&play, VMS);
	play_run(&play, 30, 31);
	g_assert_cmpint(play.again[30], ==, RATE * VMS);
}

/*
 * With more VMs than retries in the headroom, each VM can still retry
 * occasionally.
 */
static void many_vms_still_repeat(void)
{
	struct retry_limit limit = { SITE_SHARE, SITE_HEADROOM,
				     WINDOW_S * SECOND, 330, false };
	struct play play;
	int i;

	play_open(&play, VMS);
	for (i = 0; i < VMS; i++)
		retry_limit(&play.vms[i], &limit);
	play_run(&play, 30, 31);
	g_assert_cmpint(play.again[30], >=, VMS);
}

/*
 * Connections to a server fail because its machine is down. The request didn't
 * reach any server, so sending it to another one isn't a retry and must not
 * need budget; it was refused when the budget was exhausted.
 */
static void what_never_arrived_costs_no_budget(void)
{
	struct retry_case why = {
		.code = RESULT_BACKEND_CONNECT,
		.attempts = 0,
		.sends = 1,
	};
	struct retry retry;
	int i;

	retry_init(&retry, true, 0);
	retry.budget = 0;
	for (i = 0; i < 10; i++)
		g_assert_cmpint(retry_check(&retry, &why, 0), ==, RESULT_OK);
	why.reached_server = true;
	g_assert_cmpint(retry_check(&retry, &why, 0), ==, RESULT_RETRY_BUDGET);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/retry/limit",
			repeats_of_all_vms_stay_within_the_limit);
	g_test_add_func("/retry/crash", a_crash_is_repeated);
	g_test_add_func("/retry/many-vms", many_vms_still_repeat);
	g_test_add_func("/retry/no-arrival",
			what_never_arrived_costs_no_budget);
	return g_test_run();
}
