#include <glib.h>
#include <string.h>

#include "agree/admin.h"
#include "agree/codec.h"
#include "agree/order_book.h"
#include "agree/resend.h"
#include "base/rng.h"
#include "site.h"
#include "usage/window.h"

/*
 * The lease holder is replaced after it placed an order and before the
 * platform answered. The new one must find the order and place it again under
 * the same id without creating a second order.
 */
static void successor_finds_the_order_that_was_placed(void)
{
	struct site site;
	struct entry_head head;
	struct bytes entry = { 0 };
	const struct placed_order *placed;
	json_t *order = json_pack("{s:s s:s s:s s:i}", "order_id", "o1", "verb",
				  "start", "zone", "tas-south-1", "fence", 4);

	site_start(&site, "{}");
	head = site_head(&site, 1, 1);
	entry_order(&entry, &head, order);
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_OK);
	site_restart(&site);
	json_object_set_new(order, "fence", json_integer(5));
	entry_order(&entry, &head, order);
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_OK);
	placed = order_book_find(agreed_orders(site.agreed), "o1");
	g_assert_cmpstr(placed->state, ==, "placed");
	json_object_set_new(order, "zone", json_string("tas-south-2"));
	entry_order(&entry, &head, order);
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_CONFLICT);
	entry_order_settled(&entry, &head, "o1", "accepted", "10.0.0.1:80");
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_OK);
	entry_order_settled(&entry, &head, "o1", "done", "");
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_OK);
	site_restart(&site);
	placed = order_book_find(agreed_orders(site.agreed), "o1");
	g_assert_cmpstr(placed->address, ==, "10.0.0.1:80");
	g_assert_true(placed->settled);
	json_decref(order);
	site_stop(&site);
}

/*
 * Two daemons that both believe they hold the lease commit figures for one
 * window. The first figures stay; the second daemon must be refused and report
 * nothing else.
 */
static void first_figures_of_a_window_stand(void)
{
	struct site site;
	struct entry_head head;
	struct bytes entry = { 0 };
	struct window_row billed;
	json_t *rows = json_pack("[{s:s s:i s:i s:i s:n}]", "name", "yard",
				 "requests", 1, "prompt_tokens", 2,
				 "output_tokens", 3, "correction_of");

	site_start(&site, "{}");
	head = site_head(&site, 1, 1);
	entry_window(&entry, &head, 7, rows);
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_OK);
	json_object_set_new(json_array_get(rows, 0), "requests",
			    json_integer(9));
	head = site_head(&site, 2, 1);
	entry_window(&entry, &head, 7, rows);
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_CONFLICT);
	site_restart(&site);
	g_assert_true(windows_billed(agreed_windows(site.agreed), 7, "yard",
				     &billed));
	g_assert_cmpint(billed.requests, ==, 1);
	entry_window_settled(&entry, &head, 7, true);
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_OK);
	g_assert_cmpint(windows_unsettled(agreed_windows(site.agreed)), ==, -1);
	json_decref(rows);
	site_stop(&site);
}

/* A second bootstrap must not create another first operator. */
static void seed_is_taken_once(void)
{
	struct site site;
	struct entry_head head;
	struct bytes entry = { 0 };
	json_t *values = json_object();
	char hash[65];

	site_start(&site, "{}");
	head = site_head(&site, 1, 1);
	entry_seed(&entry, &head, values, "thief", site_hash(hash, 9));
	g_assert_cmpint(site_apply(&site, &entry), ==, RESULT_CONFLICT);
	g_assert_null(keys_find_id(agreed_keys(site.agreed), "thief"));
	json_decref(values);
	site_stop(&site);
}

/* Results of commands are bounded in count and in time. */
static void kept_results_are_bounded(void)
{
	struct resends *resends = resends_new();
	json_t *args = json_object();
	json_t *answer = json_object();
	char id[16];
	bool same;
	int i;

	for (i = 0; i < RESENDS_KEPT + 100; i++) {
		g_snprintf(id, sizeof(id), "c%d", i);
		resends_keep(resends, "root", id, "settings-set", args, answer,
			     i);
	}
	g_assert_cmpuint(resends_count(resends), ==, RESENDS_KEPT);
	g_assert_null(resends_find(resends, "root", "c99", "settings-set", args,
				   &same));
	g_assert_nonnull(resends_find(resends, "root", "c100", "settings-set",
				      args, &same));
	g_assert_null(resends_find(resends, "ann", "c100", "settings-set", args,
				   &same));
	resends_expire(resends, RESENDS_KEEP_US + 199);
	g_assert_null(resends_find(resends, "root", "c199", "settings-set",
				   args, &same));
	g_assert_nonnull(resends_find(resends, "root", "c200", "settings-set",
				      args, &same));
	json_decref(args);
	json_decref(answer);
	resends_free(resends);
}

static void snapshot_of(const struct site *site, struct bytes *out)
{
	bytes_clear(out);
	agreed_snapshot(site->agreed, out);
}

/*
 * A damaged entry must be rejected as malformed or be applied as the valid
 * entry that it became; a damaged snapshot must not change the state.
 */
static void damaged_entries_and_snapshots_are_told(void)
{
	struct rng rng = { 3 };
	struct site site;
	struct entry_head head;
	struct claim_op op = { .body_hash = "h", .sending = true };
	struct bytes whole = { 0 };
	struct bytes before = { 0 };
	struct bytes after = { 0 };
	size_t i;

	site_start(&site, "{\"team/t/organisation/o\": {}}");
	head = site_head(&site, 1, 1);
	claim_id(op.id, "o", "s", "k");
	entry_claims(&whole, &head, &op, 1);
	for (i = 0; i < whole.len; i++) {
		struct bytes cut = { 0 };

		bytes_append(&cut, whole.data, i);
		snapshot_of(&site, &before);
		g_assert_cmpint(site_apply(&site, &cut), ==,
				i ? RESULT_MESSAGE_MALFORMED : RESULT_OK);
	}
	for (i = 0; i < 3000; i++) {
		struct bytes bad = bytes_copy(&whole);

		bad.data[rng_below(&rng, bad.len)] = (char)rng_next(&rng);
		site_apply(&site, &bad);
	}
	snapshot_of(&site, &before);
	for (i = 0; i < 3000; i++) {
		struct bytes bad = bytes_copy(&before);

		bad.len -= rng_below(&rng, 4);
		bad.data[rng_below(&rng, bad.len)] ^= (char)rng_next(&rng);
		if (agreed_restore(site.agreed, bad.data, bad.len) !=
		    RESULT_OK) {
			snapshot_of(&site, &after);
			g_assert_true(bytes_equal(&before, &after));
		}
		snapshot_of(&site, &before);
		bytes_clear(&bad);
	}
	bytes_clear(&whole);
	bytes_clear(&before);
	bytes_clear(&after);
	site_stop(&site);
}

/* A message of five bytes whose length field says four thousand million. */
static void lengths_beyond_the_end_are_refused(void)
{
	g_assert_null(codec_decode("\xdd\xff\xff\xff\xff", 5));
	g_assert_null(codec_decode("\xdf\xff\xff\xff\xff\x01", 6));
	g_assert_null(codec_decode("\xdb\xff\xff\xff\xff", 5));
	g_assert_null(codec_decode("\x92\x01", 2));
	g_assert_null(codec_decode("\x01\x01", 2));
}

/* The library returns NULL for an empty string at the start. */
static void empty_text_is_text(void)
{
	json_t *text = codec_decode("\xa0", 1);
	json_t *object = codec_decode("\x81\xa0\x01", 3);

	g_assert_cmpstr(json_string_value(text), ==, "");
	g_assert_cmpint(codec_int(object, "", 0), ==, 1);
	json_decref(text);
	json_decref(object);
}

static void reading_commands_show_what_the_key_may_see(void)
{
	struct site site;
	struct bytes args = { 0 };
	const struct key *root;
	json_t *answer;
	char hash[65];
	char *dump;

	site_start(&site, "{\"team/t/organisation/o\": {\"burst_s\": 2}}");
	site_command(&site, "root", "key-grant",
		     "{\"id\": \"k\", \"hash\": \"%s\", "
		     "\"organisation\": \"o\"}",
		     site_hash(hash, 5));
	root = keys_find_id(agreed_keys(site.agreed), "root");
	g_assert_cmpint(admin_read(site.agreed, "settings-get", &args, root,
				   &answer),
			==, RESULT_OK);
	dump = json_dumps(answer, JSON_COMPACT | JSON_SORT_KEYS);
	g_assert_cmpstr(dump, ==,
			"{\"code\":0,\"name\":\"OK\",\"settings\":"
			"{\"team/t/organisation/o\":{\"by\":\"\",\"value\":"
			"{\"burst_s\":2},\"version\":1}}}");
	free(dump);
	json_decref(answer);
	bytes_append_text(&args, "{\"organisation\": \"o\"}");
	admin_read(site.agreed, "key-list", &args, root, &answer);
	dump = json_dumps(answer, 0);
	g_assert_nonnull(strstr(dump, "\"id\": \"k\""));
	g_assert_null(strstr(dump, hash));
	g_assert_null(strstr(dump, "root"));
	free(dump);
	json_decref(answer);
	g_assert_cmpint(admin_read(site.agreed, "key-list", &args,
				   keys_find_id(agreed_keys(site.agreed), "k"),
				   &answer),
			==, RESULT_PATH_FORBIDDEN);
	json_decref(answer);
	bytes_clear(&args);
	site_stop(&site);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/apply/order",
			successor_finds_the_order_that_was_placed);
	g_test_add_func("/apply/window", first_figures_of_a_window_stand);
	g_test_add_func("/apply/seed", seed_is_taken_once);
	g_test_add_func("/apply/resends", kept_results_are_bounded);
	g_test_add_func("/apply/damaged",
			damaged_entries_and_snapshots_are_told);
	g_test_add_func("/apply/lengths", lengths_beyond_the_end_are_refused);
	g_test_add_func("/apply/empty", empty_text_is_text);
	g_test_add_func("/apply/read",
			reading_commands_show_what_the_key_may_see);
	return g_test_run();
}
