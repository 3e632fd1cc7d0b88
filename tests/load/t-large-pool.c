#include <glib.h>
#include <string.h>

#include "bed.h"

#define SERVERS 2000

static void name_server(char address[32], int i)
{
	g_snprintf(address, 32, "10.0.%d.%d:1", i / 250, 1 + i % 250);
}

static void open_large(struct bed *bed)
{
	char address[32];
	int i;

	bed_open(bed);
	for (i = 0; i < SERVERS; i++) {
		name_server(address, i);
		bed_engine(bed, address, 4, 1);
	}
	bed->now_us += SECOND / 2;
	router_tick(bed->router, bed->now_us, &bed->effects);
}

/* Sends one request and sets `address` to its server, or "" if none. */
static void send_one(struct bed *bed, char address[32])
{
	uint64_t id = bed_submit(bed, "high", true);
	struct effect *effect = bed_effect(bed, EFFECT_START_ATTEMPT);

	g_strlcpy(address, effect ? effect->u.start.address : "", 32);
	effect_free(effect);
	if (address[0])
		bed_end(bed, id, 1, RESULT_OK, true);
}

/*
 * The list of servers is rebuilt rarely. Servers that left since must not be
 * picked from it.
 */
static void test_leaving(void)
{
	char address[32];
	char last[32];
	struct bed bed;
	int i;

	open_large(&bed);
	name_server(last, SERVERS - 1);
	for (i = 0; i < SERVERS - 1; i++) {
		name_server(address, i);
		fleet_drain(&bed.fleet, address, true);
		if (i % 100)
			continue;
		send_one(&bed, address);
		g_assert_cmpstr(address, !=, "");
		g_assert_true(backend_usable(fleet_find(&bed.fleet, address),
					     bed.now_us));
	}
	send_one(&bed, address);
	g_assert_cmpstr(address, ==, last);
	bed_close(&bed);
}

/* Freed servers must be removed from all lists at once. */
static void test_freed(void)
{
	char address[32];
	struct bed bed;

	open_large(&bed);
	bed.now_us += 4 * SECOND;
	bed_engine(&bed, (char *)"10.9.0.1:1", 4, 1);
	bed.now_us += SECOND;
	g_assert_cmpint(fleet_expire(&bed.fleet, bed.now_us, NULL, NULL), ==,
			SERVERS);
	send_one(&bed, address);
	g_assert_cmpstr(address, ==, "10.9.0.1:1");
	bed_close(&bed);
}

/*
 * A server of another service starts at the address of one that left. It must
 * receive the requests of its own service.
 */
static void test_reused(void)
{
	struct event_announce announce = { .boot_id = (char *)"other",
					   .sequence = 1,
					   .zone = (char *)"z",
					   .service = (char *)"desk",
					   .lease_ms = 5000,
					   .slots = 4 };
	char address[32];
	struct bed bed;
	int i;

	open_large(&bed);
	announce.address = address;
	for (i = 0; i < SERVERS - 1; i++) {
		name_server(address, i);
		fleet_drain(&bed.fleet, address, true);
	}
	send_one(&bed, address);
	name_server(address, SERVERS - 1);
	fleet_announce(&bed.fleet, &announce, bed.now_us);
	send_one(&bed, address);
	g_assert_cmpstr(address, ==, "");
	bed_close(&bed);
}

/* A new server receives requests although the list is rebuilt rarely. */
static void test_new(void)
{
	char address[32];
	struct bed bed;
	int i;

	open_large(&bed);
	for (i = 0; i < SERVERS; i++) {
		name_server(address, i);
		fleet_drain(&bed.fleet, address, true);
	}
	bed_engine(&bed, (char *)"10.9.0.1:1", 4, 1);
	bed.now_us += SECOND / 2;
	send_one(&bed, address);
	g_assert_cmpstr(address, ==, "10.9.0.1:1");
	bed_close(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/large-pool/leaving", test_leaving);
	g_test_add_func("/large-pool/freed", test_freed);
	g_test_add_func("/large-pool/new", test_new);
	g_test_add_func("/large-pool/reused", test_reused);
	return g_test_run();
}
