#include <glib.h>
#include <string.h>

#include "fleet/registry.h"

#define SECOND INT64_C(1000000)

static struct registration told(const char *id, const char *address,
				int64_t born_ms, int64_t sequence)
{
	struct registration told = { .started_ms = born_ms,
				     .sequence = sequence,
				     .slots = 4 };

	g_strlcpy(told.id, id, sizeof(told.id));
	g_strlcpy(told.address, address, sizeof(told.address));
	g_strlcpy(told.service, "desk", sizeof(told.service));
	g_strlcpy(told.zone, "z1", sizeof(told.zone));
	return told;
}

static enum registry_outcome take(struct registry *registry,
				  struct registration told, int64_t heard_us)
{
	struct registry_entry *replaced;

	return registry_update(registry, &told, heard_us, &replaced);
}

static bool usable(const struct registry *registry, const char *id)
{
	struct registry_entry *registered = registry_find(registry, id);

	return registered && registry_entry_usable(registered);
}

static void test_beats(void)
{
	struct registry registry;

	registry_init(&registry, SECOND);
	g_assert_cmpint(take(&registry, told("s1", "a:1", 100, 1), 0), ==,
			REGISTRY_CHANGED);
	g_assert_cmpint(take(&registry, told("s1", "a:1", 100, 2), 1), ==,
			REGISTRY_REFRESHED);
	g_assert_cmpint(take(&registry, told("s1", "a:1", 100, 2), 2), ==,
			REGISTRY_STALE);
	g_assert_true(usable(&registry, "s1"));
	registry_clear(&registry);
}

/*
 * A server leaves: "leaving", then goodbye. A beat that was held up says
 * "ready" and arrives last. Requests would go to a server that is gone.
 */
static void test_late_ready(void)
{
	struct registration leaving = told("s1", "a:1", 100, 5);
	struct registry registry;

	registry_init(&registry, SECOND);
	take(&registry, told("s1", "a:1", 100, 3), 0);
	leaving.leaving = true;
	g_assert_cmpint(take(&registry, leaving, 1), ==, REGISTRY_CHANGED);
	g_assert_cmpint(take(&registry, told("s1", "a:1", 100, 4), 2), ==,
			REGISTRY_STALE);
	g_assert_false(usable(&registry, "s1"));
	g_assert_nonnull(registry_mark_gone(&registry, "s1"));
	g_assert_cmpint(take(&registry, told("s1", "a:1", 100, 9), 3), ==,
			REGISTRY_STALE);
	g_assert_false(usable(&registry, "s1"));
	registry_clear(&registry);
}

/* The same id starts again: its counter begins anew, and it works. */
static void test_reused_id(void)
{
	struct registry registry;

	registry_init(&registry, SECOND);
	take(&registry, told("s1", "a:1", 100, 50), 0);
	registry_mark_gone(&registry, "s1");
	g_assert_cmpint(take(&registry, told("s1", "a:1", 200, 1), 1), ==,
			REGISTRY_CHANGED);
	g_assert_true(usable(&registry, "s1"));
	g_assert_cmpint(take(&registry, told("s1", "a:1", 100, 51), 2), ==,
			REGISTRY_STALE);
	registry_clear(&registry);
}

/*
 * A server crashes behind a partition and another service's server gets its
 * address. Then the partition heals and a beat of the dead one arrives: by
 * its word alone requests of one service would go to the other.
 */
static void test_reused_address(void)
{
	struct registration other = told("s2", "a:1", 200, 1);
	struct registry_entry *replaced;
	struct registry registry;

	registry_init(&registry, SECOND);
	take(&registry, told("s1", "a:1", 100, 7), 0);
	g_strlcpy(other.service, "scribe", sizeof(other.service));
	g_assert_cmpint(registry_update(&registry, &other, 1, &replaced), ==,
			REGISTRY_CHANGED);
	g_assert_cmpstr(replaced->registration.id, ==, "s1");
	g_assert_false(usable(&registry, "s1"));
	g_assert_cmpint(take(&registry, told("s1", "a:1", 100, 8), 2), ==,
			REGISTRY_STALE);
	/* A start that nobody knew yet, older than the one at the address. */
	g_assert_cmpint(take(&registry, told("s0", "a:1", 50, 3), 3), ==,
			REGISTRY_STALE);
	g_assert_cmpstr(
		registry_find_address(&registry, "a:1")->registration.id, ==,
		"s2");
	registry_clear(&registry);
}

/* One server is silent while another is heard: no work for it until it is. */
static void test_silence(void)
{
	struct registry registry;

	registry_init(&registry, SECOND);
	take(&registry, told("s1", "a:1", 100, 1), 0);
	take(&registry, told("s2", "a:2", 100, 1), 0);
	registry_heartbeat(&registry, "s2", 100, 9 * SECOND);
	registry_expire(&registry, 9 * SECOND, NULL, NULL);
	g_assert_false(usable(&registry, "s1"));
	g_assert_true(usable(&registry, "s2"));
	registry_heartbeat(&registry, "s1", 100, 10 * SECOND);
	g_assert_true(usable(&registry, "s1"));
	registry_clear(&registry);
}

/*
 * Servers of a site announce themselves each three seconds. Two lost beats
 * took a sound server's work away, as silence was counted in seconds alone.
 */
static void test_slow_beats(void)
{
	struct registry registry;

	registry_init(&registry, 3 * SECOND);
	take(&registry, told("s1", "a:1", 100, 1), 0);
	take(&registry, told("s2", "a:2", 100, 1), 0);
	registry_heartbeat(&registry, "s2", 100, 10 * SECOND);
	registry_expire(&registry, 10 * SECOND, NULL, NULL);
	g_assert_true(usable(&registry, "s1"));
	registry_heartbeat(&registry, "s2", 100, 19 * SECOND);
	registry_expire(&registry, 19 * SECOND, NULL, NULL);
	g_assert_false(usable(&registry, "s1"));
	registry_clear(&registry);
}

/*
 * The whole control side is gone for a minute: nobody is heard, so nobody is
 * missed, and the last known servers go on serving.
 */
static void test_silence_of_all(void)
{
	struct registry registry;

	registry_init(&registry, SECOND);
	take(&registry, told("s1", "a:1", 100, 1), 0);
	take(&registry, told("s2", "a:2", 100, 1), SECOND);
	registry_expire(&registry, 60 * SECOND, NULL, NULL);
	g_assert_true(usable(&registry, "s1"));
	g_assert_true(usable(&registry, "s2"));
	registry_clear(&registry);
}

/* The living start at an address, looked for one by one. */
static struct registry_entry *naive_at(const struct registry *registry,
				       const char *address)
{
	struct registry_entry *registered;
	struct registry_entry *next;

	map_foreach(registered, next, &registry->by_id, node)
		if (!registered->registration.gone &&
		    !strcmp(registered->registration.address, address))
			return registered;
	return NULL;
}

/* Starts that come, leave, move and take each other's addresses and ids. */
static void test_at_address(void)
{
	GRand *rand = g_rand_new_with_seed(7);
	struct registry registry;
	int i;

	registry_init(&registry, SECOND);
	for (i = 1; i <= 20000; i++) {
		struct registration one;
		char id[16];
		char address[16];

		g_snprintf(id, sizeof(id), "s%d",
			   g_rand_int_range(rand, 0, 60));
		g_snprintf(address, sizeof(address), "a:%d",
			   g_rand_int_range(rand, 0, 40));
		one = told(id, address, g_rand_int_range(rand, 1, 2 + i / 50),
			   i);
		one.gone = !g_rand_int_range(rand, 0, 8);
		take(&registry, one, i);
		if (!g_rand_int_range(rand, 0, 10))
			registry_mark_gone(&registry, id);
		if (!g_rand_int_range(rand, 0, 2000))
			registry_expire(&registry, i + REGISTRY_TOMBSTONE_US,
					NULL, NULL);
		g_assert_true(registry_find_address(&registry, address) ==
			      naive_at(&registry, address));
	}
	registry_clear(&registry);
	g_rand_free(rand);
}

/* A mark names one life of a server, and only while that isn't gone. */
static void test_marks(void)
{
	struct registry registry;
	uint64_t first = registration_short_id("s1", 100);
	uint64_t second = registration_short_id("s1", 200);

	registry_init(&registry, SECOND);
	take(&registry, told("s1", "a:1", 100, 1), 0);
	take(&registry, told("s2", "a:2", 100, 1), 0);
	g_assert_true(registry_find_short_id(&registry, first) ==
		      registry_find(&registry, "s1"));
	g_assert_null(registry_find_short_id(&registry, second));
	take(&registry, told("s1", "a:1", 200, 1), 1);
	g_assert_null(registry_find_short_id(&registry, first));
	g_assert_true(registry_find_short_id(&registry, second) ==
		      registry_find(&registry, "s1"));
	registry_mark_gone(&registry, "s1");
	g_assert_null(registry_find_short_id(&registry, second));
	registry_clear(&registry);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/registry/beats", test_beats);
	g_test_add_func("/registry/late-ready", test_late_ready);
	g_test_add_func("/registry/reused-id", test_reused_id);
	g_test_add_func("/registry/reused-address", test_reused_address);
	g_test_add_func("/registry/at-address", test_at_address);
	g_test_add_func("/registry/marks", test_marks);
	g_test_add_func("/registry/silence", test_silence);
	g_test_add_func("/registry/slow-beats", test_slow_beats);
	g_test_add_func("/registry/silence-of-all", test_silence_of_all);
	return g_test_run();
}
