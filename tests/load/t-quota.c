#include <glib.h>
#include <stdbool.h>

#include "base/rng.h"
#include "load/quota.h"

/*
 * The buckets against a naive version that keeps no level: it works it out
 * from the whole history of charges each time it is asked.
 */
#define N_EVENTS 600

struct naive_event {
	int64_t at_us;
	double requests;
	double tokens;
};

struct naive {
	struct quota_limits limits;
	struct naive_event events[2 * N_EVENTS];
	int n;
	int64_t concurrent;
};

static double naive_level(const struct naive *naive, int64_t rate, bool tokens,
			  int64_t now_us)
{
	double capacity = (double)rate * naive->limits.burst_s / 60;
	double level = capacity;
	int64_t at_us = 0;
	int i;

	for (i = 0; i <= naive->n; i++) {
		int64_t until_us =
			i < naive->n ? naive->events[i].at_us : now_us;

		level += (double)rate * (double)(until_us - at_us) / 60e6;
		if (level > capacity)
			level = capacity;
		if (i < naive->n)
			level -= tokens ? naive->events[i].tokens
					: naive->events[i].requests;
		at_us = until_us;
	}
	return level;
}

static enum result naive_take(struct naive *naive, int64_t tokens,
			      int64_t now_us)
{
	const struct quota_limits *limits = &naive->limits;

	if (naive->concurrent >= limits->max_concurrent)
		return RESULT_LIMIT_CONCURRENT;
	if (naive_level(naive, limits->requests_per_min, false, now_us) <= 0)
		return RESULT_LIMIT_REQUESTS;
	if (naive_level(naive, limits->tokens_per_min, true, now_us) <= 0)
		return RESULT_LIMIT_TOKENS;
	naive->concurrent++;
	naive->events[naive->n++] =
		(struct naive_event){ now_us, 1, (double)tokens };
	return RESULT_OK;
}

static void naive_release(struct naive *naive, int64_t delta, int64_t now_us)
{
	naive->concurrent--;
	naive->events[naive->n++] =
		(struct naive_event){ now_us, 0, (double)delta };
}

static void run_quota(uint64_t seed)
{
	struct naive *naive = g_new0(struct naive, 1);
	struct rng rng = { seed };
	int64_t retry_after_ms = 0;
	int64_t now_us = 0;
	struct quota quota;
	enum result code;
	int i;

	naive->limits = (struct quota_limits){ .max_concurrent = 5,
					       .requests_per_min = 120,
					       .tokens_per_min = 30000,
					       .burst_s = 10 };
	quota_init(&quota, &naive->limits, 0);
	for (i = 0; i < N_EVENTS; i++) {
		int64_t tokens = (int64_t)rng_below(&rng, 1500);

		now_us += (int64_t)rng_below(&rng, 400000);
		if (naive->concurrent && rng_below(&rng, 2)) {
			quota_release(&quota, tokens - 700, now_us);
			naive_release(naive, tokens - 700, now_us);
			continue;
		}
		code = quota_charge(&quota, tokens, now_us, &retry_after_ms);
		g_assert_cmpint(code, ==, naive_take(naive, tokens, now_us));
		g_assert_cmpint(quota.concurrent, ==, naive->concurrent);
	}
	g_free(naive);
}

static void admits_as_the_naive_version_does(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 20; seed++)
		run_quota(seed);
}

/*
 * A caller's loop sends a thousand times what its organisation may. Over ten
 * minutes it gets its rate and its burst, and each refusal says when to come
 * back.
 */
static void the_rate_holds_in_the_long_run(void)
{
	struct quota_limits limits = { .tokens_per_min = 6000, .burst_s = 10 };
	int64_t retry_after_ms;
	int64_t admitted = 0;
	struct quota quota;
	int64_t now_us;

	quota_init(&quota, &limits, 0);
	for (now_us = 0; now_us < 600000000; now_us += 10000) {
		retry_after_ms = 0;
		if (quota_charge(&quota, 100, now_us, &retry_after_ms)) {
			g_assert_cmpint(retry_after_ms, >, 0);
			continue;
		}
		admitted += 100;
		quota_release(&quota, 0, now_us);
	}
	g_assert_cmpint(admitted, >=, 60000);
	g_assert_cmpint(admitted, <=, 61200);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/quota/naive", admits_as_the_naive_version_does);
	g_test_add_func("/quota/long-run", the_rate_holds_in_the_long_run);
	return g_test_run();
}
