#include <glib.h>
#include <string.h>

#include "fleet/backend.h"

#define SECOND INT64_C(1000000)

static struct event_announce announce_of(char *boot_id, int64_t sequence)
{
	struct event_announce announce = {
		.address = "10.0.0.1:1",
		.boot_id = boot_id,
		.sequence = sequence,
		.zone = "z1",
		.model = "base",
		.adapters = "blue,red",
		.version = "3",
		.role = "serve",
		.lease_ms = 5000,
		.slots = 8,
		.prefill_rate = 20000.5,
	};

	return announce;
}

static enum announce_outcome hear(struct fleet *fleet, char *boot_id,
				  int64_t sequence, int64_t now_us)
{
	struct event_announce announce = announce_of(boot_id, sequence);

	return fleet_announce(fleet, &announce, now_us);
}

/*
 * A server crashes and restarts, and another VM forwards the last announcement
 * of the old boot late. It must not replace the announcement of the new boot.
 */
static void an_old_boot_does_not_come_back(void)
{
	struct fleet fleet;

	fleet_init(&fleet);
	g_assert_cmpint(hear(&fleet, "a", 1, 0), ==, ANNOUNCE_JOINED);
	g_assert_cmpint(hear(&fleet, "b", 1, SECOND), ==, ANNOUNCE_JOINED);
	g_assert_cmpint(hear(&fleet, "a", 9, 2 * SECOND), ==, ANNOUNCE_STALE);
	g_assert_cmpstr(fleet_find(&fleet, "10.0.0.1:1")->boot_id, ==, "b");
	fleet_clear(&fleet);
}

/*
 * A server announces that it is leaving, and its lease ends. If a copy of an
 * earlier announcement that was delayed on a slow link were accepted, requests
 * would be sent to a server that no longer exists.
 */
static void a_departed_server_does_not_come_back(void)
{
	struct event_announce leaving = announce_of("a", 5);
	struct fleet fleet;

	fleet_init(&fleet);
	leaving.leaving = true;
	hear(&fleet, "a", 4, 0);
	g_assert_cmpint(fleet_announce(&fleet, &leaving, SECOND), ==,
			ANNOUNCE_LEFT);
	g_assert_false(
		backend_usable(fleet_find(&fleet, "10.0.0.1:1"), SECOND));
	g_assert_cmpint(hear(&fleet, "a", 4, 2 * SECOND), ==, ANNOUNCE_STALE);
	g_assert_cmpint(fleet_expire(&fleet, 7 * SECOND, NULL, NULL), ==, 1);
	g_assert_null(fleet_find(&fleet, "10.0.0.1:1"));
	g_assert_cmpint(hear(&fleet, "a", 5, 8 * SECOND), ==, ANNOUNCE_STALE);
	g_assert_cmpint(hear(&fleet, "a", 6, 8 * SECOND), ==, ANNOUNCE_JOINED);
	fleet_clear(&fleet);
}

static void an_announcement_is_passed_on_whole(void)
{
	struct event_announce copy = { 0 };
	struct bytes body = { 0 };
	struct fleet fleet;

	fleet_init(&fleet);
	hear(&fleet, "a", 7, SECOND);
	backend_pack(fleet_find(&fleet, "10.0.0.1:1"), 2 * SECOND, &body);
	g_assert_cmpint(backend_unpack(&copy, body.data, body.len), ==,
			RESULT_OK);
	g_assert_cmpstr(copy.address, ==, "10.0.0.1:1");
	g_assert_cmpstr(copy.adapters, ==, "blue,red");
	g_assert_cmpint(copy.sequence, ==, 7);
	g_assert_cmpint(copy.lease_ms, ==, 4000);
	g_assert_cmpint(copy.age_ms, ==, 1000);
	g_assert_cmpfloat(copy.prefill_rate, ==, 20000.5);
	event_announce_clear(&copy);
	while (body.len) {
		body.len--;
		g_assert_cmpint(backend_unpack(&copy, body.data, body.len), ==,
				RESULT_MESSAGE_MALFORMED);
	}
	bytes_clear(&body);
	fleet_clear(&fleet);
}

/*
 * A burst of requests arrives between two load reports. Each request must be
 * added to its server's load at once; otherwise all of them go to the server
 * that the last report showed as free.
 */
static void own_work_counts_on_top_of_the_report(void)
{
	struct backend *backend;
	struct fleet fleet;

	fleet_init(&fleet);
	hear(&fleet, "a", 1, 10 * SECOND);
	backend = fleet_find(&fleet, "10.0.0.1:1");
	backend->running = 3;
	backend_started(backend, 100, 50, false, 11 * SECOND);
	backend_started(backend, 100, 50, false, 11 * SECOND);
	g_assert_cmpfloat(backend_load(backend), ==, 5);
	backend_ended(backend, 100, 50, false, 12 * SECOND);
	g_assert_cmpfloat(backend_load(backend), ==, 4);
	fleet_clear(&fleet);
}

/*
 * One of three servers of a model is four times as slow as the others and must
 * be marked as a straggler. The only server of another model is slower still,
 * but isn't a straggler, since it is compared only with servers of its own
 * model.
 */
static void a_straggler_is_found_among_its_peers(void)
{
	static const double paces[] = { 20000, 21000, 80000, 90000 };
	struct event_announce announce = announce_of("a", 1);
	char address[] = "10.0.0.1:1";
	struct fleet fleet;
	int i;

	fleet_init(&fleet);
	announce.address = address;
	for (i = 0; i < 4; i++) {
		struct backend *backend;

		address[7] = (char)('1' + i);
		announce.model = i == 3 ? "other" : "base";
		fleet_announce(&fleet, &announce, 0);
		backend = fleet_find(&fleet, address);
		backend->health.token_us = paces[i];
		backend->health.n_answers = 10;
	}
	fleet_update_stragglers(&fleet);
	for (i = 0; i < 4; i++) {
		address[7] = (char)('1' + i);
		g_assert_true(
			fleet_find(&fleet, address)->health.is_straggler ==
			(i == 2));
	}
	fleet_clear(&fleet);
}

static void adapters_are_matched_by_whole_names(void)
{
	struct fleet fleet;
	struct backend *backend;

	fleet_init(&fleet);
	hear(&fleet, "a", 1, 0);
	backend = fleet_find(&fleet, "10.0.0.1:1");
	g_assert_true(backend_serves(backend, "base", "red", NULL));
	g_assert_false(backend_serves(backend, "base", "re", NULL));
	g_assert_false(backend_serves(backend, "base", "blue,red", "x"));
	g_assert_false(backend_serves(backend, "other", NULL, NULL));
	fleet_clear(&fleet);
}

/* A server that starts in an evacuated zone gets requests. */
static void test_evacuated(void)
{
	struct event_announce announce = { .address = (char *)"10.0.0.1:1",
					   .boot_id = (char *)"b1",
					   .sequence = 1,
					   .zone = (char *)"z1",
					   .lease_ms = 5000,
					   .slots = 4 };
	struct fleet fleet;
	uint64_t version;

	fleet_init(&fleet);
	fleet_evacuate(&fleet, "z1", true);
	fleet_announce(&fleet, &announce, 0);
	g_assert_false(backend_usable(fleet_find(&fleet, "10.0.0.1:1"), 1));
	/* A drain that is undone doesn't end the evacuation. */
	fleet_drain(&fleet, "10.0.0.1:1", true);
	fleet_drain(&fleet, "10.0.0.1:1", false);
	g_assert_false(backend_usable(fleet_find(&fleet, "10.0.0.1:1"), 1));
	version = fleet.version;
	fleet_evacuate(&fleet, "z1", false);
	g_assert_cmpuint(fleet.version, >, version);
	g_assert_true(backend_usable(fleet_find(&fleet, "10.0.0.1:1"), 1));
	fleet_clear(&fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/backend/old-boot", an_old_boot_does_not_come_back);
	g_test_add_func("/backend/departed",
			a_departed_server_does_not_come_back);
	g_test_add_func("/backend/passed-on",
			an_announcement_is_passed_on_whole);
	g_test_add_func("/backend/own-work",
			own_work_counts_on_top_of_the_report);
	g_test_add_func("/backend/straggler",
			a_straggler_is_found_among_its_peers);
	g_test_add_func("/backend/adapters",
			adapters_are_matched_by_whole_names);
	g_test_add_func("/backend/evacuated", test_evacuated);
	return g_test_run();
}
