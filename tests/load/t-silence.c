/* What is measured while a server or this VM stands still isn't used later. */
#include <glib.h>

#include "bed.h"

#define STREAMS 20
#define USUAL_US (SECOND / 5)
#define STILL_US (5 * SECOND / 2)

static uint64_t ask_until(struct bed *bed, int64_t time_us)
{
	struct router_request request = {
		.id = ++bed->last_id,
		.organisation = "a",
		.class_name = "low",
		.model = "base",
		.arrived_us = bed->now_us,
		.deadline_us = bed->now_us + time_us,
		.idempotent = true,
		.stream = true,
	};

	router_submit(bed->router, &request, bed->now_us, &bed->effects);
	return request.id;
}

static uint64_t ask(struct bed *bed)
{
	return ask_until(bed, 3 * SECOND / 2);
}

static void event_comes(struct bed *bed, uint64_t id, int64_t n)
{
	struct event_attempt_tokens tokens = { id, 1, n, n == 1 };

	router_tokens(bed->router, &tokens, bed->now_us, &bed->effects);
}

static void start(struct bed *bed)
{
	bed_open(bed);
	bed_engine(bed, "10.0.0.1:1", 64, 1);
	fleet_find(&bed->fleet, "10.0.0.1:1")->lease_end_us = INT64_MAX;
}

/* Streams of which all have begun but the last ones; `still_us` in between. */
static void play(struct bed *bed, int64_t still_us, bool own)
{
	uint64_t ids[STREAMS];
	int i;

	for (i = 0; i < STREAMS; i++)
		ids[i] = ask(bed);
	bed->now_us += USUAL_US / 2;
	for (i = 0; i < STREAMS / 2; i++)
		event_comes(bed, ids[i], 1);
	if (own)
		router_stood_still(bed->router, bed->now_us,
				   bed->now_us + still_us);
	bed->now_us += still_us;
	for (i = 0; i < STREAMS; i++)
		event_comes(bed, ids[i], 2 - (i >= STREAMS / 2));
	bed->now_us += USUAL_US / 2;
	for (i = 0; i < STREAMS; i++)
		bed_end(bed, ids[i], 1, RESULT_OK, true);
}

static void check_sent(struct bed *bed)
{
	g_assert_true(bed_was_sent(bed, ask(bed)));
	bed_close(bed);
}

static void test_server_stands_still(void)
{
	struct bed bed;

	start(&bed);
	play(&bed, 0, false);
	play(&bed, STILL_US, false);
	check_sent(&bed);
}

static void test_vm_stands_still(void)
{
	struct bed bed;

	start(&bed);
	play(&bed, 0, true);
	play(&bed, STILL_US, true);
	check_sent(&bed);
}

/* A stream of three events; the next one begins soon after it has ended. */
static void serve_one(struct bed *bed)
{
	uint64_t id = ask(bed);
	int i;

	for (i = 1; i <= 3; i++) {
		bed->now_us += SECOND / 20;
		event_comes(bed, id, i);
		router_tick(bed->router, bed->now_us, &bed->effects);
	}
	bed_end(bed, id, 1, RESULT_OK, true);
	bed->now_us += SECOND / 5;
	router_tick(bed->router, bed->now_us, &bed->effects);
}

/* An answer is lost where each server is heard seldom, but some one always. */
static void test_lost_at_sparse_traffic(void)
{
	struct retry_limit limit = { 0.2, 50, 10 * SECOND, 1, false };
	char address[32];
	struct bed bed;
	uint64_t lost;
	int i;

	bed_open_with(&bed, true);
	router_limit_retries(bed.router, &limit);
	for (i = 0; i < 40; i++) {
		g_snprintf(address, sizeof(address), "10.0.0.%d:1", i + 1);
		bed_engine(&bed, address, 64, 1);
		fleet_find(&bed.fleet, address)->lease_end_us = INT64_MAX;
	}
	for (i = 0; i < 8; i++)
		serve_one(&bed);
	lost = ask_until(&bed, 4 * SECOND);
	for (i = 0; i < 4; i++)
		serve_one(&bed);
	g_assert_true(bed_was_cancelled(&bed, lost));
	bed_close(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/silence/server-stands-still",
			test_server_stands_still);
	g_test_add_func("/silence/vm-stands-still", test_vm_stands_still);
	g_test_add_func("/silence/lost-at-sparse-traffic",
			test_lost_at_sparse_traffic);
	return g_test_run();
}
