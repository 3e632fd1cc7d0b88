#include <glib.h>
#include <string.h>

#include "load/affinity.h"

#define SECOND INT64_C(1000000)
#define MOST 100

static struct affinity made(const char *organisation, const char *name,
			    const char *version, int64_t expires_us)
{
	struct affinity affinity = { .owner = map_hash_text(organisation),
				     .service = map_hash_text("scribe"),
				     .version = map_hash_text(version),
				     .expires_us = expires_us };

	affinity.key = affinity_key(organisation, name);
	return affinity;
}

static bool note(struct affinities *table, const char *organisation,
		 const char *name, const char *version, int64_t now_us)
{
	struct affinity affinity =
		made(organisation, name, version, now_us + 10 * SECOND);

	return affinities_note(table, &affinity, now_us);
}

static uint64_t version_of(const struct affinities *table,
			   const char *organisation, const char *name,
			   int64_t now_us)
{
	struct affinity_key key = affinity_key(organisation, name);
	const struct affinity *known = affinities_find(table, &key, now_us);

	return known ? known->version : 77;
}

static void test_note_and_find(void)
{
	struct affinities table;

	affinities_init(&table, MOST);
	g_assert_true(note(&table, "a", "r1", "v1", SECOND));
	g_assert_false(note(&table, "a", "r1", "v1", SECOND));
	g_assert_cmpuint(version_of(&table, "a", "r1", SECOND), ==,
			 map_hash_text("v1"));
	g_assert_cmpuint(version_of(&table, "a", "r2", SECOND), ==, 77);
	affinities_clear(&table);
}

/* A version that comes once a server was heard makes the record unclear. */
static void test_pending(void)
{
	struct affinity pending = made("a", "r1", "", 10 * SECOND);
	struct affinities table;

	pending.version = AFFINITY_PENDING;
	affinities_init(&table, MOST);
	g_assert_true(affinities_note(&table, &pending, SECOND));
	g_assert_true(note(&table, "a", "r1", "v1", SECOND));
	g_assert_cmpuint(version_of(&table, "a", "r1", SECOND), ==,
			 map_hash_text("v1"));
	g_assert_false(affinities_note(&table, &pending, SECOND));
	g_assert_cmpuint(version_of(&table, "a", "r1", SECOND), ==,
			 map_hash_text("v1"));
	g_assert_true(note(&table, "a", "r1", "v2", SECOND));
	g_assert_cmpuint(version_of(&table, "a", "r1", SECOND), ==,
			 AFFINITY_UNCLEAR);
	affinities_clear(&table);
}

/* An organisation resumes another one's stream by its name. */
static void test_other_organisation(void)
{
	struct affinities table;

	affinities_init(&table, MOST);
	note(&table, "a", "r1", "v1", SECOND);
	g_assert_cmpuint(version_of(&table, "b", "r1", SECOND), ==, 77);
	note(&table, "b", "r1", "v2", SECOND);
	g_assert_cmpuint(version_of(&table, "a", "r1", SECOND), ==,
			 map_hash_text("v1"));
	note(&table, "ab", "c", "v1", SECOND);
	g_assert_cmpuint(version_of(&table, "a", "bc", SECOND), ==, 77);
	affinities_clear(&table);
}

/* A name that is used twice stands for one of two streams. */
static void test_name_used_twice(void)
{
	struct affinities one;
	struct affinities other;

	affinities_init(&one, MOST);
	affinities_init(&other, MOST);
	note(&one, "a", "r1", "v1", SECOND);
	g_assert_true(note(&one, "a", "r1", "v2", SECOND));
	g_assert_false(note(&one, "a", "r1", "v1", SECOND));
	note(&other, "a", "r1", "v2", SECOND);
	note(&other, "a", "r1", "v1", SECOND);
	g_assert_cmpuint(version_of(&one, "a", "r1", SECOND), ==,
			 AFFINITY_UNCLEAR);
	g_assert_cmpuint(version_of(&other, "a", "r1", SECOND), ==,
			 AFFINITY_UNCLEAR);
	affinities_clear(&one);
	affinities_clear(&other);
}

static void test_expire(void)
{
	struct affinities table;

	affinities_init(&table, MOST);
	note(&table, "a", "r1", "v1", SECOND);
	note(&table, "a", "r2", "v1", 8 * SECOND);
	note(&table, "b", "r3", "v1", SECOND);
	affinities_expire(&table, 11 * SECOND);
	g_assert_cmpuint(table.records.count, ==, 1);
	g_assert_cmpuint(table.owners.count, ==, 1);
	g_assert_cmpuint(version_of(&table, "a", "r1", 11 * SECOND), ==, 77);
	g_assert_true(note(&table, "a", "r2", "v1", 11 * SECOND));
	affinities_expire(&table, 20 * SECOND);
	g_assert_cmpuint(version_of(&table, "a", "r2", 20 * SECOND), ==,
			 map_hash_text("v1"));
	affinities_expire(&table, 60 * SECOND);
	g_assert_cmpuint(table.records.count, ==, 0);
	affinities_clear(&table);
}

/* An organisation's many streams push out those of another one. */
static void test_flood(void)
{
	struct affinities table;
	char name[16];
	int i;

	affinities_init(&table, MOST);
	for (i = 0; i < 10; i++) {
		g_snprintf(name, sizeof(name), "r%d", i);
		note(&table, "quiet", name, "v1", SECOND);
	}
	for (i = 0; i < 10 * MOST; i++) {
		g_snprintf(name, sizeof(name), "r%d", i);
		note(&table, "loud", name, "v2", SECOND);
	}
	g_assert_cmpuint(table.records.count, ==, MOST);
	for (i = 0; i < 10; i++) {
		g_snprintf(name, sizeof(name), "r%d", i);
		g_assert_cmpuint(version_of(&table, "quiet", name, SECOND), ==,
				 map_hash_text("v1"));
	}
	g_snprintf(name, sizeof(name), "r%d", 10 * MOST - 1);
	g_assert_cmpuint(version_of(&table, "loud", name, SECOND), ==,
			 map_hash_text("v2"));
	affinities_clear(&table);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/affinity/pending", test_pending);
	g_test_add_func("/affinity/note-and-find", test_note_and_find);
	g_test_add_func("/affinity/other-organisation",
			test_other_organisation);
	g_test_add_func("/affinity/name-used-twice", test_name_used_twice);
	g_test_add_func("/affinity/expire", test_expire);
	g_test_add_func("/affinity/flood", test_flood);
	return g_test_run();
}
