#include <glib.h>
#include <string.h>

#include "fleet/registry.h"

#define SECOND INT64_C(1000000)

static struct registration make_registration(const char *id,
					     const char *address,
					     int64_t born_ms, int64_t sequence)
{
	struct registration registration = { .started_ms = born_ms,
					     .sequence = sequence,
					     .slots = 4 };

	g_strlcpy(registration.id, id, sizeof(registration.id));
	g_strlcpy(registration.address, address, sizeof(registration.address));
	g_strlcpy(registration.service, "desk", sizeof(registration.service));
	g_strlcpy(registration.zone, "z1", sizeof(registration.zone));
	return registration;
}

static enum registry_outcome take(struct registry *registry,
				  struct registration registration,
				  int64_t contact_us)
{
	struct registry_entry *replaced;

	return registry_update(registry, &registration, contact_us, &replaced);
}

static bool usable(const struct registry *registry, const char *id)
{
	struct registry_entry *registered = registry_find(registry, id);

	return registered && registry_entry_usable(registered);
}

static void test_beats(void)
{
	struct registry registry;

	registry_init(&registry, SECOND, 0);
	g_assert_cmpint(take(&registry, make_registration("s1", "a:1", 100, 1),
			     0),
			==, REGISTRY_CHANGED);
	g_assert_cmpint(take(&registry, make_registration("s1", "a:1", 100, 2),
			     1),
			==, REGISTRY_REFRESHED);
	g_assert_cmpint(take(&registry, make_registration("s1", "a:1", 100, 2),
			     2),
			==, REGISTRY_STALE);
	g_assert_true(usable(&registry, "s1"));
	registry_clear(&registry);
}

/*
 * A server announces "leaving" and then deregisters. A delayed heartbeat with
 * the state "ready" arrives last. Accepting it would send requests to a server
 * that no longer runs.
 */
static void test_late_ready(void)
{
	struct registration leaving = make_registration("s1", "a:1", 100, 5);
	struct registry registry;

	registry_init(&registry, SECOND, 0);
	take(&registry, make_registration("s1", "a:1", 100, 3), 0);
	leaving.leaving = true;
	g_assert_cmpint(take(&registry, leaving, 1), ==, REGISTRY_CHANGED);
	g_assert_cmpint(take(&registry, make_registration("s1", "a:1", 100, 4),
			     2),
			==, REGISTRY_STALE);
	g_assert_false(usable(&registry, "s1"));
	g_assert_nonnull(registry_mark_gone(&registry, "s1"));
	g_assert_cmpint(take(&registry, make_registration("s1", "a:1", 100, 9),
			     3),
			==, REGISTRY_STALE);
	g_assert_false(usable(&registry, "s1"));
	registry_clear(&registry);
}

/* A restart with the same id is accepted though its counter restarts. */
static void test_reused_id(void)
{
	struct registry registry;

	registry_init(&registry, SECOND, 0);
	take(&registry, make_registration("s1", "a:1", 100, 50), 0);
	registry_mark_gone(&registry, "s1");
	g_assert_cmpint(take(&registry, make_registration("s1", "a:1", 200, 1),
			     1),
			==, REGISTRY_CHANGED);
	g_assert_true(usable(&registry, "s1"));
	g_assert_cmpint(take(&registry, make_registration("s1", "a:1", 100, 51),
			     2),
			==, REGISTRY_STALE);
	registry_clear(&registry);
}

/*
 * A server crashes during a network partition and a server of another service
 * gets its address. After the partition a delayed heartbeat of the crashed
 * server arrives. Accepting it would send requests to the wrong service.
 */
static void test_reused_address(void)
{
	struct registration other = make_registration("s2", "a:1", 200, 1);
	struct registry_entry *replaced;
	struct registry registry;

	registry_init(&registry, SECOND, 0);
	take(&registry, make_registration("s1", "a:1", 100, 7), 0);
	g_strlcpy(other.service, "scribe", sizeof(other.service));
	g_assert_cmpint(registry_update(&registry, &other, 1, &replaced), ==,
			REGISTRY_CHANGED);
	g_assert_cmpstr(replaced->registration.id, ==, "s1");
	g_assert_false(usable(&registry, "s1"));
	g_assert_cmpint(take(&registry, make_registration("s1", "a:1", 100, 8),
			     2),
			==, REGISTRY_STALE);
	/* An unknown start, older than the registered one at the address. */
	g_assert_cmpint(take(&registry, make_registration("s0", "a:1", 50, 3),
			     3),
			==, REGISTRY_STALE);
	g_assert_cmpstr(
		registry_find_address(&registry, "a:1")->registration.id, ==,
		"s2");
	registry_clear(&registry);
}

/* A server without heartbeats, while another sends them, gets no requests. */
static void test_silence(void)
{
	struct registry registry;

	registry_init(&registry, SECOND, 0);
	take(&registry, make_registration("s1", "a:1", 100, 1), 0);
	take(&registry, make_registration("s2", "a:2", 100, 1), 0);
	registry_heartbeat(&registry, "s2", 100, 9 * SECOND);
	registry_expire(&registry, 9 * SECOND, NULL, NULL);
	g_assert_false(usable(&registry, "s1"));
	g_assert_true(usable(&registry, "s2"));
	registry_heartbeat(&registry, "s1", 100, 10 * SECOND);
	g_assert_true(usable(&registry, "s1"));
	registry_clear(&registry);
}

/*
 * Servers of a site send heartbeats every three seconds. Two lost heartbeats
 * took the requests from a working server, since the time-out was a number of
 * seconds that didn't depend on the heartbeat interval.
 */
static void test_slow_beats(void)
{
	struct registry registry;

	registry_init(&registry, 3 * SECOND, 0);
	take(&registry, make_registration("s1", "a:1", 100, 1), 0);
	take(&registry, make_registration("s2", "a:2", 100, 1), 0);
	registry_heartbeat(&registry, "s2", 100, 10 * SECOND);
	registry_expire(&registry, 10 * SECOND, NULL, NULL);
	g_assert_true(usable(&registry, "s1"));
	registry_heartbeat(&registry, "s2", 100, 19 * SECOND);
	registry_expire(&registry, 19 * SECOND, NULL, NULL);
	g_assert_false(usable(&registry, "s1"));
	registry_clear(&registry);
}

/*
 * All control VMs are unreachable for a minute. No server's heartbeats arrive,
 * so none times out, and the last known servers continue to serve.
 */
static void test_silence_of_all(void)
{
	struct registry registry;

	registry_init(&registry, SECOND, 0);
	take(&registry, make_registration("s1", "a:1", 100, 1), 0);
	take(&registry, make_registration("s2", "a:2", 100, 1), SECOND);
	registry_expire(&registry, 60 * SECOND, NULL, NULL);
	g_assert_true(usable(&registry, "s1"));
	g_assert_true(usable(&registry, "s2"));
	registry_clear(&registry);
}

/* The live registration at an address, by linear search. */
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

/* Servers start, leave, move and reuse each other's addresses and ids. */
static void test_at_address(void)
{
	GRand *rand = g_rand_new_with_seed(7);
	struct registry registry;
	int i;

	registry_init(&registry, SECOND, 0);
	for (i = 1; i <= 20000; i++) {
		struct registration one;
		char id[16];
		char address[16];

		g_snprintf(id, sizeof(id), "s%d",
			   g_rand_int_range(rand, 0, 60));
		g_snprintf(address, sizeof(address), "a:%d",
			   g_rand_int_range(rand, 0, 40));
		one = make_registration(id, address,
					g_rand_int_range(rand, 1, 2 + i / 50),
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

/* A short id identifies one start of a server until that start is gone. */
static void test_marks(void)
{
	struct registry registry;
	uint64_t first = registration_short_id("s1", 100);
	uint64_t second = registration_short_id("s1", 200);

	registry_init(&registry, SECOND, 0);
	take(&registry, make_registration("s1", "a:1", 100, 1), 0);
	take(&registry, make_registration("s2", "a:2", 100, 1), 0);
	g_assert_true(registry_find_short_id(&registry, first) ==
		      registry_find(&registry, "s1"));
	g_assert_null(registry_find_short_id(&registry, second));
	take(&registry, make_registration("s1", "a:1", 200, 1), 1);
	g_assert_null(registry_find_short_id(&registry, first));
	g_assert_true(registry_find_short_id(&registry, second) ==
		      registry_find(&registry, "s1"));
	registry_mark_gone(&registry, "s1");
	g_assert_null(registry_find_short_id(&registry, second));
	registry_clear(&registry);
}

/*
 * A server that serves becomes cold again, and entry VMs aren't told: its
 * requests crash it.
 */
static void test_cold_again(void)
{
	struct registration told = make_registration("s1", "a:1", 100, 1);
	struct registry registry;
	struct registry_entry *entry;

	registry_init(&registry, SECOND, 0);
	told.cold_ms = 3000;
	take(&registry, told, 0);
	entry = registry_find(&registry, "s1");
	g_assert_cmpint(entry->cold_until_us, ==, 3 * SECOND);
	told.sequence = 2;
	told.cold_ms = 1900;
	g_assert_cmpint(take(&registry, told, SECOND), ==, REGISTRY_REFRESHED);
	g_assert_cmpint(entry->cold_until_us, ==, 3 * SECOND);
	told.sequence = 3;
	told.cold_ms = 0;
	g_assert_cmpint(take(&registry, told, 4 * SECOND), ==,
			REGISTRY_REFRESHED);
	told.sequence = 4;
	told.cold_ms = 3000;
	g_assert_cmpint(take(&registry, told, 5 * SECOND), ==,
			REGISTRY_CHANGED);
	g_assert_cmpint(entry->cold_until_us, ==, 8 * SECOND);
	told.started_ms = 200;
	told.sequence = 1;
	told.cold_ms = 0;
	take(&registry, told, 6 * SECOND);
	g_assert_cmpint(entry->cold_until_us, ==, 0);
	registry_clear(&registry);
}

/* Servers without end fill the memory of all VMs. */
static void test_full(void)
{
	const struct registration other =
		make_registration("other", "b:1", 100, 1);
	struct registry registry;
	char id[32];
	int i;

	registry_init(&registry, SECOND, 0);
	for (i = 0; i < REGISTRY_ENTRIES_MOST; i++) {
		g_snprintf(id, sizeof(id), "s%d", i);
		take(&registry, make_registration(id, id, 100, 1), SECOND);
	}
	g_assert_cmpint(take(&registry, other, SECOND), ==, REGISTRY_FULL);
	g_assert_cmpint(take(&registry, make_registration("s7", "s7", 100, 2),
			     SECOND),
			==, REGISTRY_REFRESHED);
	/* Whoever says nothing more makes room. */
	take(&registry, make_registration("s7", "s7", 100, 3), 60 * SECOND);
	registry_expire(&registry, 60 * SECOND, NULL, NULL);
	g_assert_cmpint(take(&registry, other, 60 * SECOND), ==,
			REGISTRY_CHANGED);
	g_assert_true(usable(&registry, "s7"));
	registry_clear(&registry);
}

static int count_versions(const struct registry *registry)
{
	const struct list *node;
	int n = 0;

	for (node = registry->versions.next; node != &registry->versions;
	     node = node->next)
		n++;
	return n;
}

/* A server that names version after version fills the memory of all VMs. */
static void test_many_versions(void)
{
	const uint64_t service = map_hash_text("desk");
	struct registration told = make_registration("s", "a:1", 100, 1);
	struct registry registry;
	int i;

	registry_init(&registry, SECOND, 0);
	for (i = 0; i < 2 * REGISTRY_VERSIONS_MOST; i++) {
		g_snprintf(told.version, sizeof(told.version), "v%d", i);
		told.sequence++;
		take(&registry, told, SECOND);
	}
	g_assert_cmpint(count_versions(&registry), ==, REGISTRY_VERSIONS_MOST);
	/* A service may have one that isn't kept. */
	g_assert_true(registry_versions(&registry, service).differ);
	told.sequence++;
	take(&registry, told, 700 * SECOND);
	registry_expire(&registry, 700 * SECOND, NULL, NULL);
	g_assert_cmpint(count_versions(&registry), ==, 1);
	g_assert_false(registry_versions(&registry, service).differ);
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
	g_test_add_func("/registry/cold-again", test_cold_again);
	g_test_add_func("/registry/full", test_full);
	g_test_add_func("/registry/many-versions", test_many_versions);
	return g_test_run();
}
