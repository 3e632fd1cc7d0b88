#include "bed.h"

#include <glib.h>
#include <string.h>

static void add_engine(struct bed *bed, const char *address,
		       const char *version, int64_t slots)
{
	struct event_announce announce = {
		.address = (char *)address,
		.boot_id = (char *)"boot",
		.sequence = 1,
		.zone = (char *)"z",
		.model = (char *)"base",
		.version = (char *)version,
		.lease_ms = 5000,
		.slots = slots,
		.prefill_rate = 20000,
		.decode_rate = 1600,
	};

	fleet_announce(&bed->fleet, &announce, bed->now_us);
	router_fleet_changed(bed->router, bed->now_us, &bed->effects);
}

/* A request that resumes a stream of that version. */
static uint64_t resume(struct bed *bed, const char *class_name,
		       const char *version)
{
	struct router_request request = {
		.id = ++bed->last_id,
		.organisation = "a",
		.class_name = class_name,
		.model = "base",
		.prompt_tokens = 100,
		.arrived_us = bed->now_us,
		.idempotent = true,
		.stream = true,
		.version = map_hash_text(version),
	};

	router_submit(bed->router, &request, bed->now_us, &bed->effects);
	return request.id;
}

/* The address that a request is sent to, or NULL; to be freed. */
static char *sent_to(struct bed *bed)
{
	struct effect *effect = bed_effect(bed, EFFECT_START_ATTEMPT);
	char *address = effect ? g_strdup(effect->u.start.address) : NULL;

	effect_free(effect);
	return address;
}

static void begin_event(struct bed *bed, uint64_t id)
{
	struct event_attempt_tokens tokens = {
		.id = id, .attempt = 1, .tokens = 1, .first = true
	};

	router_tokens(bed->router, &tokens, bed->now_us, &bed->effects);
}

static int answer_code(struct bed *bed)
{
	struct effect *effect = bed_effect(bed, EFFECT_ANSWER);
	int code = effect ? (int)effect->u.answer.code : -1;

	effect_free(effect);
	return code;
}

static void test_goes_on_at_its_version(void)
{
	struct bed bed;
	char *address;
	uint64_t id;
	int i;

	bed_open_with(&bed, true);
	add_engine(&bed, "10.0.0.1:1", "v1", 64);
	id = bed_submit(&bed, "high", true);
	g_free(sent_to(&bed));
	begin_event(&bed, id);
	for (i = 2; i < 9; i++) {
		g_autofree char *other = g_strdup_printf("10.0.0.%d:1", i);

		add_engine(&bed, other, i == 5 ? "v1" : "v2", 64);
	}
	bed_end(&bed, id, 1, RESULT_BACKEND_BROKE, true);
	address = sent_to(&bed);
	g_assert_cmpstr(address, ==, "10.0.0.5:1");
	g_free(address);
	bed_close(&bed);
}

/* No server of the version is left: the caller hears so at once. */
static void test_version_gone(void)
{
	struct bed bed;
	uint64_t id;

	bed_open_with(&bed, true);
	add_engine(&bed, "10.0.0.1:1", "v1", 64);
	add_engine(&bed, "10.0.0.2:1", "v2", 64);
	id = resume(&bed, "high", "v1");
	g_free(sent_to(&bed));
	begin_event(&bed, id);
	fleet_drain(&bed.fleet, "10.0.0.1:1", true);
	bed_end(&bed, id, 1, RESULT_BACKEND_BROKE, true);
	g_assert_cmpint(answer_code(&bed), ==, RESULT_VERSION_GONE);
	resume(&bed, "high", "v1");
	g_assert_cmpint(answer_code(&bed), ==, RESULT_VERSION_GONE);
	bed_close(&bed);
}

/* One that waits for room hears so as well. */
static void test_gone_while_waiting(void)
{
	struct bed bed;

	bed_open_with(&bed, true);
	add_engine(&bed, "10.0.0.1:1", "v1", 1);
	add_engine(&bed, "10.0.0.2:1", "v2", 64);
	resume(&bed, "high", "v1");
	resume(&bed, "high", "v1");
	g_assert_cmpint(answer_code(&bed), ==, -1);
	fleet_drain(&bed.fleet, "10.0.0.1:1", true);
	bed.now_us += SECOND / 10;
	router_fleet_changed(bed.router, bed.now_us, &bed.effects);
	g_assert_cmpint(answer_code(&bed), ==, RESULT_VERSION_GONE);
	bed_close(&bed);
}

/* All servers are full; requests of `burst` wait before one of `resumed`. */
static uint64_t fill(struct bed *bed, const char *burst, const char *resumed)
{
	uint64_t first;
	uint64_t id;
	int i;

	bed_open_with(bed, true);
	add_engine(bed, "10.0.0.1:1", "v1", 1);
	add_engine(bed, "10.0.0.2:1", "v2", 1);
	first = resume(bed, "low", "v1");
	resume(bed, "low", "v2");
	for (i = 0; i < 8; i++)
		bed_submit(bed, burst, true);
	bed->now_us += SECOND / 10;
	id = resume(bed, resumed, "v1");
	effects_clear(&bed->effects);
	effects_init(&bed->effects);
	bed_end(bed, first, 1, RESULT_OK, true);
	return id;
}

/* A burst takes each slot before the streams that have no other server. */
static void test_capacity_in_a_burst(void)
{
	struct effect *effect;
	struct bed bed;
	uint64_t id = fill(&bed, "low", "low");

	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpint(effect->u.start.id, ==, id);
	effect_free(effect);
	bed_close(&bed);
}

/* Capacity that a waiting stream can't use is withheld from all others. */
static void test_no_room_kept_in_vain(void)
{
	struct effect *effect;
	struct bed bed;
	uint64_t id;

	bed_open_with(&bed, true);
	add_engine(&bed, "10.0.0.1:1", "v1", 8);
	add_engine(&bed, "10.0.0.2:1", "v2", 1);
	resume(&bed, "low", "v2");
	fleet_set_unconfirmed(&bed.fleet, "10.0.0.1:1", true);
	resume(&bed, "low", "v1");
	effects_clear(&bed.effects);
	effects_init(&bed.effects);
	id = bed_submit(&bed, "low", true);
	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpint(effect->u.start.id, ==, id);
	effect_free(effect);
	bed_close(&bed);
}

/* A resumed stream goes before requests of a higher tier. */
static void test_not_before_higher_tier(void)
{
	struct effect *effect;
	struct bed bed;
	uint64_t id = fill(&bed, "high", "low");

	effect = bed_effect(&bed, EFFECT_START_ATTEMPT);
	g_assert_nonnull(effect);
	g_assert_cmpint(effect->u.start.id, !=, id);
	effect_free(effect);
	bed_close(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/version/goes-on", test_goes_on_at_its_version);
	g_test_add_func("/version/gone", test_version_gone);
	g_test_add_func("/version/gone-while-waiting", test_gone_while_waiting);
	g_test_add_func("/version/capacity-in-a-burst",
			test_capacity_in_a_burst);
	g_test_add_func("/version/no-capacity-reserved-in-vain",
			test_no_room_kept_in_vain);
	g_test_add_func("/version/not-before-higher-tier",
			test_not_before_higher_tier);
	return g_test_run();
}
