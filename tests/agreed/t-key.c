#include <glib.h>
#include <string.h>

#include "agree/key.h"
#include "base/rng.h"
#include "site.h"

static const char farm[] = "{\"team/calves/class/lodgement\": {\"tier\": 0},"
			   " \"team/calves/class/summary\": {\"tier\": 2},"
			   " \"team/looks/class/caption\": {\"tier\": 1},"
			   " \"team/calves/organisation/yard\": {},"
			   " \"team/looks/organisation/college\": {}}";

static enum result permits(const struct site *site, const char *id,
			   const char *class_name, const char *model,
			   const char *service)
{
	return key_permits(keys_find_id(agreed_keys(site->agreed), id),
			   agreed_settings(site->agreed), class_name, model,
			   service);
}

static void key_permits_only_what_it_was_granted(void)
{
	struct site site;
	char hash[65];

	site_start(&site, farm);
	g_assert_cmpint(site_command(&site, "root", "key-grant",
				     "{\"id\": \"k\", \"hash\": \"%s\", "
				     "\"organisation\": \"yard\", "
				     "\"classes\": [\"lodgement\"], "
				     "\"models\": [\"m1\"], "
				     "\"services\": [\"register\"]}",
				     site_hash(hash, 5)),
			==, RESULT_OK);
	g_assert_cmpint(permits(&site, "k", "lodgement", "m1", NULL), ==,
			RESULT_OK);
	g_assert_cmpint(permits(&site, "k", "summary", "m1", NULL), ==,
			RESULT_CLASS_FORBIDDEN);
	g_assert_cmpint(permits(&site, "k", "lodgement", "m2", NULL), ==,
			RESULT_MODEL_FORBIDDEN);
	g_assert_cmpint(permits(&site, "k", "lodgement", NULL, "accounts"), ==,
			RESULT_SERVICE_FORBIDDEN);
	g_assert_cmpint(permits(&site, "root", "lodgement", "m1", NULL), ==,
			RESULT_KEY_UNKNOWN);
	g_assert_cmpint(site_command(&site, "root", "key-limit",
				     "{\"id\": \"k\", \"classes\": [], "
				     "\"models\": []}"),
			==, RESULT_OK);
	g_assert_cmpint(permits(&site, "k", "summary", "m2", NULL), ==,
			RESULT_OK);
	g_assert_cmpint(permits(&site, "k", "caption", "m2", NULL), ==,
			RESULT_CLASS_FORBIDDEN);
	g_assert_nonnull(keys_find(agreed_keys(site.agreed), hash));
	site_stop(&site);
}

/*
 * A key is withdrawn while its callers are connected, and the VM restarts from
 * a snapshot. The key must stay invalid, and the reducer must be notified so
 * that open streams end.
 */
static void withdrawn_key_stays_withdrawn(void)
{
	struct site site;
	struct change *change;
	char hash[65];

	site_start(&site, farm);
	site_command(&site, "root", "key-grant",
		     "{\"id\": \"k\", \"hash\": \"%s\", "
		     "\"organisation\": \"yard\"}",
		     site_hash(hash, 5));
	g_assert_nonnull(keys_find(agreed_keys(site.agreed), hash));
	g_assert_cmpint(site_command(&site, "root", "key-withdraw",
				     "{\"id\": \"k\"}"),
			==, RESULT_OK);
	change = list_first(&site.applied.changes, struct change, node);
	g_assert_cmpint(change->kind, ==, CHANGE_KEY);
	g_assert_cmpstr(change->name, ==, "k");
	g_assert_true(change->removed);
	site_restart(&site);
	g_assert_null(keys_find(agreed_keys(site.agreed), hash));
	g_assert_null(keys_find_id(agreed_keys(site.agreed), "k"));
	site_stop(&site);
}

static void organisation_that_was_removed_has_no_working_key(void)
{
	struct site site;
	char hash[65];

	site_start(&site, farm);
	site_command(&site, "root", "key-grant",
		     "{\"id\": \"k\", \"hash\": \"%s\", "
		     "\"organisation\": \"yard\"}",
		     site_hash(hash, 5));
	site_command(&site, "root", "settings-delete",
		     "{\"path\": \"team/calves/organisation/yard\"}");
	g_assert_cmpint(permits(&site, "k", "lodgement", NULL, NULL), ==,
			RESULT_KEY_UNKNOWN);
	site_stop(&site);
}

static void bad_grant_names_its_field(void)
{
	struct site site;

	site_start(&site, farm);
	g_assert_cmpint(site_command(&site, "root", "key-grant",
				     "{\"id\": \"k\", \"hash\": \"12\", "
				     "\"organisation\": \"yard\"}"),
			==, RESULT_BAD_REQUEST);
	g_assert_cmpstr(site_message(&site), ==,
			"key: hash must be 64 hex digits");
	site_command(&site, "root", "key-grant",
		     "{\"id\": \"k\", \"organisation\": \"yard\", "
		     "\"clases\": []}");
	g_assert_cmpstr(site_message(&site), ==,
			"key: clases is not a field of a key");
	site_command(&site, "root", "key-grant",
		     "{\"id\": \"k\", \"organisation\": \"barn\"}");
	g_assert_cmpstr(site_message(&site), ==,
			"key: there is no organisation \"barn\"");
	site_command(&site, "root", "key-grant",
		     "{\"id\": \"k\", \"organisation\": \"yard\", "
		     "\"default_class\": \"caption\"}");
	g_assert_cmpstr(site_message(&site), ==,
			"key: \"caption\" is no class of the team of "
			"\"yard\"");
	site_stop(&site);
}

/* Random grants and withdrawals against a plain table, with restarts. */
static void random_keys_agree_with_a_naive_table(void)
{
	unsigned int seed;

	for (seed = 1; seed <= 20; seed++) {
		struct rng rng = { seed };
		unsigned int naive[12] = { 0 }; /* hash number, 0: none */
		struct site site;
		char hash[65];
		int step;

		site_start(&site, farm);
		for (step = 0; step < 300; step++) {
			unsigned int id = (unsigned int)rng_below(&rng, 12);
			unsigned int n = 2 + (unsigned int)rng_below(&rng, 20);
			bool grant = rng_below(&rng, 2);
			enum result wanted = RESULT_OK;
			unsigned int i;

			for (i = 0; i < 12 && grant; i++)
				if (naive[i] == n || naive[id])
					wanted = RESULT_CONFLICT;
			if (!grant && !naive[id])
				wanted = RESULT_NOT_FOUND;
			g_assert_cmpint(
				grant ? site_command(
						&site, "root", "key-grant",
						"{\"id\": \"k%u\", \"hash\": "
						"\"%s\", \"organisation\": "
						"\"yard\"}",
						id, site_hash(hash, n))
				      : site_command(&site, "root",
						     "key-withdraw",
						     "{\"id\": \"k%u\"}", id),
				==, wanted);
			if (wanted == RESULT_OK)
				naive[id] = grant ? n : 0;
			if (!rng_below(&rng, 40))
				site_restart(&site);
			for (n = 2; n < 22; n++) {
				bool held = false;

				for (i = 0; i < 12; i++)
					held |= naive[i] == n;
				g_assert_true(
					held ==
					!!keys_find(agreed_keys(site.agreed),
						    site_hash(hash, n)));
			}
		}
		site_stop(&site);
	}
}

/*
 * A site has up to 4,500 organisations and 128 MB of memory in all: two keys
 * for each organisation must stay far below that.
 */
static void keys_of_4500_organisations_are_small(void)
{
	struct keys *keys = keys_new();
	unsigned int n;
	char hash[65];

	for (n = 0; n < 9000; n++) {
		json_t *args = json_pack("{s:o s:s s:s s:s s:[s, s]}", "id",
					 json_sprintf("key-%u", n), "hash",
					 site_hash(hash, n), "organisation",
					 "organisation-of-usual-length",
					 "default_class", "caption", "classes",
					 "caption", "critique");

		g_assert_cmpint(keys_grant(keys, args, n, NULL), ==, RESULT_OK);
		json_decref(args);
	}
	for (n = 0; n < 9000; n++)
		g_assert_nonnull(keys_find(keys, site_hash(hash, n)));
	g_test_message("%zu bytes a key", keys_bytes(keys) / 9000);
	g_assert_cmpuint(keys_bytes(keys), <, 9000 * 600);
	keys_free(keys);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/key/permits", key_permits_only_what_it_was_granted);
	g_test_add_func("/key/withdrawn", withdrawn_key_stays_withdrawn);
	g_test_add_func("/key/organisation-gone",
			organisation_that_was_removed_has_no_working_key);
	g_test_add_func("/key/bad", bad_grant_names_its_field);
	g_test_add_func("/key/naive", random_keys_agree_with_a_naive_table);
	g_test_add_func("/key/size", keys_of_4500_organisations_are_small);
	return g_test_run();
}
