#include <glib.h>
#include <string.h>

#include "base/rng.h"
#include "load/share.h"
#include "load/share_message.h"

#define MEMBERS 7

struct heard {
	struct share_grant grants[4];
	struct share_limit_grant parts[4];
	struct share_demand demand;
	struct share_crash crash;
	int n_grants;
	int n_parts;
};

static void take_grant(void *data, const struct share_grant *grant)
{
	struct heard *heard = data;

	heard->grants[heard->n_grants++] = *grant;
}

static void take_part(void *data, const struct share_limit_grant *part)
{
	struct heard *heard = data;

	heard->parts[heard->n_parts++] = *part;
}

static void take_demand(void *data, const struct share_demand *demand)
{
	((struct heard *)data)->demand = *demand;
}

static void take_crash(void *data, const struct share_crash *crash)
{
	((struct heard *)data)->crash = *crash;
}

static struct share *share_of(int64_t slots, int silent, struct rng *rng)
{
	uint64_t members[MEMBERS];
	struct share *share = share_new();
	int i;
	int tier;

	for (i = 0; i < MEMBERS; i++)
		members[i] = (uint64_t)i + 1;
	share_set_members(share, members, MEMBERS);
	for (i = silent; i < MEMBERS; i++) {
		struct share_demand demand = { .pool = "m:base",
					       .slots = slots,
					       .pressured_tier = SCHED_TIERS };
		struct share_usage use = { .organisation = "a", .limit = 10 };

		for (tier = 0; tier < SCHED_TIERS; tier++)
			demand.demand[tier] = (int64_t)rng_below(rng, 60);
		use.concurrent = (int64_t)rng_below(rng, 3);
		use.requests = (int64_t)rng_below(rng, 20);
		share_record_contact(share, members[i], 1000000);
		share_record_demand(share, members[i], &demand, 1000000);
		share_record_usage(share, members[i], &use, 1000000);
	}
	for (i = 0; i < SHARE_LIMIT_ROUNDS; i++)
		share_allocate(share, 1000001);
	return share;
}

/*
 * All grants together equal the total, whatever the demand and whichever
 * members don't report.
 */
static void parts_sum_up_to_the_whole(void)
{
	struct rng rng = { 5 };
	int run;
	int i;

	for (run = 0; run < 200; run++) {
		int64_t slots = (int64_t)rng_below(&rng, 500);
		int silent = (int)rng_below(&rng, 3);
		struct share *share = share_of(slots, silent, &rng);
		int64_t concurrent = 0;
		int64_t sum = 0;
		double part = 0;

		for (i = 0; i < MEMBERS; i++) {
			struct heard heard = { 0 };

			share_visit(share, (uint64_t)i + 1, take_grant,
				    take_part, &heard);
			g_assert_cmpint(heard.n_grants, ==, 1);
			g_assert_cmpint(heard.grants[0].offset, ==, sum);
			sum += heard.grants[0].slots;
			if (i < silent)
				continue;
			concurrent += heard.parts[0].concurrent;
			part += heard.parts[0].rate_fraction;
		}
		g_assert_cmpint(sum, ==, slots);
		g_assert_cmpint(concurrent, <=, 10);
		g_assert_cmpfloat(part, <=, 1.000001);
		share_free(share);
	}
}

/* The top tier's demand is met before a lower tier gets anything. */
static void the_top_tier_comes_first(void)
{
	uint64_t members[2] = { 1, 2 };
	struct share_demand high = { .pool = "m:base",
				     .slots = 10,
				     .demand = { 9, 0, 0, 0 },
				     .pressured_tier = 0 };
	struct share_demand low = { .pool = "m:base",
				    .slots = 10,
				    .demand = { 0, 0, 50, 0 },
				    .pressured_tier = 2 };
	struct share *share = share_new();
	struct heard heard = { 0 };

	share_set_members(share, members, 2);
	share_record_contact(share, 1, 1000000);
	share_record_contact(share, 2, 1000000);
	share_record_demand(share, 1, &high, 1000000);
	share_record_demand(share, 2, &low, 1000000);
	share_allocate(share, 1000001);
	share_visit(share, 1, take_grant, take_part, &heard);
	share_visit(share, 2, take_grant, take_part, &heard);
	g_assert_cmpint(heard.grants[0].slots, ==, 9);
	g_assert_cmpint(heard.grants[1].slots, ==, 1);
	g_assert_cmpint(heard.grants[1].pressured_tier, ==, 0);
	share_free(share);
}

static void messages_arrive_as_they_were_sent(void)
{
	struct share_demand demand = { .pool = "m:base",
				       .slots = 12,
				       .demand = { 1, 2, 3, 4 },
				       .pressured_tier = 2 };
	struct share_crash crash = { UINT64_MAX, 7, 99, 12 };
	struct heard heard = { 0 };
	struct share_reader reader = { .demand = take_demand,
				       .crash = take_crash,
				       .data = &heard };
	struct share_writer writer = { 0 };
	struct bytes body;

	share_write_demand(&writer, &demand);
	body = share_write_end(&writer, SHARE_DEMAND);
	g_assert_cmpint(share_read(&body, &reader), ==, RESULT_OK);
	g_assert_cmpmem(&heard.demand, sizeof(demand), &demand, sizeof(demand));
	/* A message truncated at any point is refused as a whole. */
	while (body.len) {
		body.len--;
		g_assert_cmpint(share_read(&body, &reader), ==,
				RESULT_MESSAGE_MALFORMED);
	}
	bytes_clear(&body);
	body = share_write_crash(&crash);
	g_assert_cmpint(share_read(&body, &reader), ==, RESULT_OK);
	g_assert_cmpuint(heard.crash.fingerprint, ==, UINT64_MAX);
	g_assert_cmpint(heard.crash.ran_us, ==, 99);
	g_assert_cmpint(heard.crash.age_us, ==, 12);
	bytes_clear(&body);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/share/sum", parts_sum_up_to_the_whole);
	g_test_add_func("/share/top-first", the_top_tier_comes_first);
	g_test_add_func("/share/messages", messages_arrive_as_they_were_sent);
	return g_test_run();
}
