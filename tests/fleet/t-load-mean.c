#include <glib.h>

#include "fleet/backend.h"

#define SECOND INT64_C(1000000)
#define STEP_US INT64_C(100000)
#define SLOTS 16

static void announce(struct fleet *fleet, const char *address,
		     const char *service, int64_t now_us)
{
	struct event_announce announce = {
		.address = (char *)address,
		.boot_id = (char *)"a",
		.sequence = 1,
		.zone = (char *)"z1",
		.service = (char *)service,
		.lease_ms = 1000000,
		.slots = SLOTS,
	};

	fleet_announce(fleet, &announce, now_us);
}

/* Ten reports of a server of "desk" in a second, each as told. */
static void report(struct fleet *fleet, int64_t queued)
{
	int i;

	for (i = 0; i < 10; i++)
		fleet_report_load(fleet, "10.0.0.1:1", SLOTS, queued, SLOTS,
				  i * STEP_US);
}

static double load_at(const struct fleet *fleet, const char *address)
{
	return backend_load(fleet_find(fleet, address));
}

static void pass(struct fleet *fleet, int64_t from_us, int64_t us)
{
	int64_t at_us;

	for (at_us = STEP_US; at_us <= us; at_us += STEP_US)
		fleet_decay_load(fleet, STEP_US, from_us + at_us);
}

/* A saturated service's server counts as idle once its report is old. */
static void test_saturated(void)
{
	struct fleet fleet;

	fleet_init(&fleet);
	announce(&fleet, "10.0.0.1:1", "desk", 0);
	announce(&fleet, "10.0.0.2:1", "desk", 0);
	report(&fleet, 4);
	pass(&fleet, SECOND, SECOND);
	g_assert_cmpfloat(load_at(&fleet, "10.0.0.1:1"), >=, SLOTS / 2.0);
	g_assert_cmpfloat(load_at(&fleet, "10.0.0.2:1"), >=, SLOTS / 2.0);
	fleet_clear(&fleet);
}

/* A server that was full counts as full for ever, and gets no request. */
static void test_slot_left(void)
{
	struct fleet fleet;

	fleet_init(&fleet);
	announce(&fleet, "10.0.0.1:1", "desk", 0);
	report(&fleet, 40);
	pass(&fleet, SECOND, SECOND);
	g_assert_cmpfloat(load_at(&fleet, "10.0.0.1:1"), <, SLOTS);
	pass(&fleet, 2 * SECOND, 20 * SECOND);
	g_assert_cmpfloat(load_at(&fleet, "10.0.0.1:1"), <, SLOTS / 4.0);
	fleet_clear(&fleet);
}

/* Servers of another service count as full. */
static void test_services(void)
{
	struct fleet fleet;

	fleet_init(&fleet);
	announce(&fleet, "10.0.0.1:1", "desk", 0);
	announce(&fleet, "10.0.0.2:1", "bench", 0);
	report(&fleet, 4);
	pass(&fleet, SECOND, SECOND);
	g_assert_cmpfloat(load_at(&fleet, "10.0.0.2:1"), ==, 0);
	fleet_clear(&fleet);
}

/* Reports of a busy second are believed for longer than those of a quiet one. */
static void test_many_reports(void)
{
	struct load_means means;
	int i;

	load_means_init(&means);
	for (i = 0; i < 1000; i++)
		load_means_add(&means, "desk", SLOTS, SLOTS, SECOND);
	g_assert_cmpfloat(load_means_expect(&means, "desk", SECOND), >=, 0.95);
	g_assert_cmpfloat(load_means_expect(&means, "desk", 21 * SECOND), <,
			  0.1);
	load_means_clear(&means);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/load-mean/saturated", test_saturated);
	g_test_add_func("/load-mean/slot-left", test_slot_left);
	g_test_add_func("/load-mean/services", test_services);
	g_test_add_func("/load-mean/many-reports", test_many_reports);
	return g_test_run();
}
