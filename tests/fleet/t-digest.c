#include <glib.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/digest.h"

static void test_announce(struct fleet *fleet, const char *address,
			  const char *boot_id, int64_t sequence,
			  int64_t running, int64_t now_us)
{
	struct event *event = event_new(EVENT_ANNOUNCE);
	struct event_announce *announce = &event->u.announce;

	announce->address = xstrdup(address);
	announce->boot_id = xstrdup(boot_id);
	announce->sequence = sequence;
	announce->zone = xstrdup("z1");
	announce->model = xstrdup("base");
	announce->version = xstrdup("1");
	announce->role = xstrdup("serve");
	announce->lease_ms = 3000;
	announce->slots = 16;
	announce->running = running;
	announce->queued_prompt_tokens = 70 * running;
	announce->prefill_rate = 8000;
	announce->decode_rate = 800;
	fleet_announce(fleet, announce, now_us);
	event_free(event);
}

static void test_mark(struct fleet *fleet, const char *address)
{
	fleet_find(fleet, address)->forward_pending = true;
}

static void test_note(void *data, uint64_t address_hash)
{
	(void)address_hash;
	(*(int *)data)++;
}

static void figures_reach_the_other_daemon(void)
{
	struct fleet here;
	struct fleet there;
	struct bytes rows = { 0 };
	int unknown = 0;

	fleet_init(&here);
	fleet_init(&there);
	test_announce(&here, "10.0.0.1:80", "b1", 1, 0, 1000000);
	test_announce(&there, "10.0.0.1:80", "b1", 1, 0, 1000000);
	test_announce(&here, "10.0.0.1:80", "b1", 2, 9, 2000000);
	test_mark(&here, "10.0.0.1:80");
	g_assert_cmpint(digest_write(&here, 2500000, &rows), ==, 1);
	g_assert_cmpint(digest_read(&there, rows.data, rows.len, 2500000,
				    test_note, &unknown),
			==, RESULT_OK);
	g_assert_cmpint(unknown, ==, 0);
	g_assert_cmpint(fleet_find(&there, "10.0.0.1:80")->running, ==, 9);
	g_assert_cmpint(fleet_find(&there, "10.0.0.1:80")->queued_prompt_tokens,
			==, 630);
	g_assert_cmpint(fleet_find(&there, "10.0.0.1:80")->report_us, ==,
			2000000);
	g_assert_cmpint(fleet_find(&there, "10.0.0.1:80")->lease_end_us, ==,
			5000000);
	g_assert_cmpint(digest_write(&here, 2500000, &rows), ==, 0);
	bytes_clear(&rows);
	fleet_clear(&here);
	fleet_clear(&there);
}

/*
 * A server restarts with the same address. A delayed digest of its previous
 * start must not change the new registration. A digest of a start unknown to
 * this daemon must cause a query, or the server stays unknown permanently.
 */
static void old_and_unknown_boots_are_told_apart(void)
{
	struct fleet here;
	struct fleet there;
	struct bytes rows = { 0 };
	int unknown = 0;

	fleet_init(&here);
	fleet_init(&there);
	test_announce(&here, "10.0.0.1:80", "old", 7, 9, 1000000);
	test_announce(&there, "10.0.0.1:80", "new", 1, 0, 1000000);
	test_mark(&here, "10.0.0.1:80");
	digest_write(&here, 1000000, &rows);
	digest_read(&there, rows.data, rows.len, 1000000, test_note, &unknown);
	g_assert_cmpint(fleet_find(&there, "10.0.0.1:80")->running, ==, 0);
	g_assert_cmpint(unknown, ==, 1);
	bytes_clear(&rows);
	test_announce(&here, "10.0.0.2:80", "b", 1, 0, 1000000);
	test_mark(&here, "10.0.0.2:80");
	digest_write(&here, 1000000, &rows);
	digest_read(&there, rows.data, rows.len, 1000000, test_note, &unknown);
	g_assert_cmpint(unknown, ==, 2);
	bytes_clear(&rows);
	fleet_clear(&here);
	fleet_clear(&there);
}

static void a_late_row_changes_nothing(void)
{
	struct fleet fleet;
	struct bytes rows = { 0 };
	int unknown = 0;

	fleet_init(&fleet);
	test_announce(&fleet, "10.0.0.1:80", "b", 1, 4, 1000000);
	test_mark(&fleet, "10.0.0.1:80");
	digest_write(&fleet, 1000000, &rows);
	test_announce(&fleet, "10.0.0.1:80", "b", 2, 5, 2000000);
	digest_read(&fleet, rows.data, rows.len, 2000000, test_note, &unknown);
	g_assert_cmpint(fleet_find(&fleet, "10.0.0.1:80")->running, ==, 5);
	bytes_clear(&rows);
	fleet_clear(&fleet);
}

static void cut_digests_are_refused(void)
{
	struct fleet fleet;
	struct bytes rows = { 0 };
	int unknown = 0;
	size_t len;

	fleet_init(&fleet);
	test_announce(&fleet, "10.0.0.1:80", "b", 1, 4, 1000000);
	test_mark(&fleet, "10.0.0.1:80");
	digest_write(&fleet, 1000000, &rows);
	for (len = 0; len < rows.len; len++)
		g_assert_cmpint(digest_read(&fleet, rows.data, len, 1000000,
					    test_note, &unknown),
				==, RESULT_MESSAGE_MALFORMED);
	bytes_clear(&rows);
	fleet_clear(&fleet);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/digest/figures", figures_reach_the_other_daemon);
	g_test_add_func("/digest/boots", old_and_unknown_boots_are_told_apart);
	g_test_add_func("/digest/late", a_late_row_changes_nothing);
	g_test_add_func("/digest/cut", cut_digests_are_refused);
	return g_test_run();
}
