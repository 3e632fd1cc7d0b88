#include <glib.h>
#include <string.h>

#include "control/ledger.h"

static enum ledger_change put(struct ledger *ledger, int64_t version,
			      const char *text)
{
	struct bytes body = { 0 };
	struct bytes entry = { 0 };
	enum ledger_change change;

	bytes_append_text(&body, text);
	ledger_write_document(&entry, version, &body);
	change = ledger_apply(ledger, entry.data, entry.len);
	bytes_clear(&body);
	bytes_clear(&entry);
	return change;
}

typedef void write_entry(struct bytes *out, const struct feed_begun *total);

static enum ledger_change put_counts(struct ledger *ledger, write_entry *write,
				     int64_t window, int64_t requests)
{
	struct feed_count count = { .organisation = "yards",
				    .requests = requests };
	struct feed_begun total = { window, &count, 1 };
	struct bytes entry = { 0 };
	enum ledger_change change;

	write(&entry, &total);
	change = ledger_apply(ledger, entry.data, entry.len);
	bytes_clear(&entry);
	return change;
}

static enum ledger_change close_window(struct ledger *ledger, int64_t window,
				       int64_t requests)
{
	return put_counts(ledger, ledger_write_window, window, requests);
}

/*
 * Two operators race, and one sends again what was accepted long ago: the
 * highest version holds, and other content under its number is never obeyed.
 */
static void test_versions(void)
{
	struct ledger ledger;

	ledger_init(&ledger);
	g_assert_cmpint(put(&ledger, 7, "seven"), ==, LEDGER_DOCUMENT);
	g_assert_cmpint(put(&ledger, 5, "five"), ==, LEDGER_NOTHING);
	g_assert_cmpint(put(&ledger, 7, "other"), ==, LEDGER_NOTHING);
	g_assert_cmpstr(bytes_text(&ledger.document), ==, "seven");
	g_assert_cmpint(put(&ledger, 12, "twelve"), ==, LEDGER_DOCUMENT);
	g_assert_cmpint(ledger.version, ==, 12);
	ledger_clear(&ledger);
}

/* Two leaders in turn add up a window; the first figure stays. */
static void test_windows(void)
{
	struct ledger ledger;

	ledger_init(&ledger);
	g_assert_cmpint(close_window(&ledger, 100, 41), ==, LEDGER_WINDOW);
	g_assert_cmpint(close_window(&ledger, 100, 42), ==, LEDGER_NOTHING);
	g_assert_cmpint(ledger_window(&ledger, 100)->counts[0].requests, ==,
			41);
	g_assert_cmpint(ledger.last_window, ==, 100);
	ledger_clear(&ledger);
}

/* What was counted of a window that waits is lost, or outlives its figure. */
static void test_counted(void)
{
	struct bytes saved = { 0 };
	struct ledger ledger;

	ledger_init(&ledger);
	g_assert_cmpint(put_counts(&ledger, ledger_write_counted, 100, 41), ==,
			LEDGER_COUNTED);
	g_assert_cmpint(put_counts(&ledger, ledger_write_counted, 100, 42), ==,
			LEDGER_NOTHING);
	g_assert_null(ledger_window(&ledger, 100));
	ledger_save(&ledger, &saved);
	g_assert_true(ledger_load(&ledger, saved.data, saved.len));
	bytes_clear(&saved);
	g_assert_cmpint(ledger_next_counted(&ledger, 99), ==, 100);
	g_assert_cmpint(ledger_counted(&ledger, 100)->counts[0].requests, ==,
			41);
	g_assert_cmpint(close_window(&ledger, 100, 50), ==, LEDGER_WINDOW);
	g_assert_cmpint(ledger_next_counted(&ledger, 0), ==, 0);
	g_assert_cmpint(put_counts(&ledger, ledger_write_counted, 100, 60), ==,
			LEDGER_NOTHING);
	ledger_clear(&ledger);
}

static void test_windows_bounded(void)
{
	struct ledger ledger;
	int i;

	ledger_init(&ledger);
	for (i = 1; i <= LEDGER_WINDOWS + 10; i++)
		close_window(&ledger, i, i);
	g_assert_cmpint(ledger.n_windows, ==, LEDGER_WINDOWS);
	g_assert_null(ledger_window(&ledger, 10));
	g_assert_nonnull(ledger_window(&ledger, 11));
	ledger_clear(&ledger);
}

static void test_save(void)
{
	struct bytes saved = { 0 };
	struct ledger other;
	struct ledger ledger;

	ledger_init(&ledger);
	ledger_init(&other);
	put(&ledger, 7, "seven");
	close_window(&ledger, 100, 41);
	close_window(&ledger, 101, 42);
	ledger_save(&ledger, &saved);
	g_assert_true(ledger_load(&other, saved.data, saved.len));
	g_assert_cmpint(other.version, ==, 7);
	g_assert_cmpstr(bytes_text(&other.document), ==, "seven");
	g_assert_cmpint(ledger_window(&other, 101)->counts[0].requests, ==, 42);
	g_assert_false(ledger_load(&other, saved.data, saved.len - 1));
	bytes_clear(&saved);
	ledger_clear(&ledger);
	ledger_clear(&other);
}

static void test_malformed(void)
{
	struct ledger ledger;

	ledger_init(&ledger);
	g_assert_cmpint(ledger_apply(&ledger, "\x93\x01", 2), ==,
			LEDGER_NOTHING);
	g_assert_cmpint(ledger_apply(&ledger, NULL, 0), ==, LEDGER_NOTHING);
	ledger_clear(&ledger);
}

static enum ledger_change order_zone(struct ledger *ledger, const char *zone,
				     bool evacuate, int64_t revision)
{
	struct evacuation_order order = { .evacuate = evacuate,
					  .revision = revision };
	struct bytes entry = { 0 };
	enum ledger_change change;

	g_strlcpy(order.zone, zone, sizeof(order.zone));
	ledger_write_evacuation(&entry, &order);
	change = ledger_apply(ledger, entry.data, entry.len);
	bytes_clear(&entry);
	return change;
}

/* A delayed copy of an order undoes a later one that was acknowledged. */
static void test_evacuation_overtaken(void)
{
	struct ledger ledger;

	ledger_init(&ledger);
	g_assert_cmpint(order_zone(&ledger, "a", true, 0), ==,
			LEDGER_EVACUATION);
	g_assert_cmpint(order_zone(&ledger, "a", true, 0), ==, LEDGER_NOTHING);
	g_assert_cmpint(order_zone(&ledger, "b", true, 0), ==,
			LEDGER_EVACUATION);
	g_assert_cmpint(order_zone(&ledger, "a", false, 2), ==,
			LEDGER_EVACUATION);
	g_assert_cmpint(order_zone(&ledger, "a", true, 0), ==, LEDGER_REFUSED);
	g_assert_false(evacuations_include(&ledger.evacuations, "a"));
	g_assert_true(evacuations_include(&ledger.evacuations, "b"));
	g_assert_cmpint(order_zone(&ledger, "a", true, 3), ==,
			LEDGER_EVACUATION);
	g_assert_cmpuint(evacuations_count(&ledger.evacuations), ==, 2);
	ledger_clear(&ledger);
}

/* An operator who names ever new zones fills the memory of all VMs. */
static void test_evacuation_bound(void)
{
	struct ledger ledger;
	char zone[16];
	int i;

	ledger_init(&ledger);
	for (i = 0; i < EVACUATION_ZONES_MAX; i++) {
		g_snprintf(zone, sizeof(zone), "z%d", i);
		g_assert_cmpint(order_zone(&ledger, zone, true, i), ==,
				LEDGER_EVACUATION);
	}
	g_assert_cmpint(order_zone(&ledger, "one-more", true, i), ==,
			LEDGER_REFUSED);
	g_assert_cmpint(order_zone(&ledger, "z0", false, i), ==,
			LEDGER_EVACUATION);
	ledger_clear(&ledger);
}

/* A VM that joins late, or starts anew, has forgotten an evacuation. */
static void test_evacuation_saved(void)
{
	struct ledger ledger;
	struct ledger copy;
	struct bytes saved = { 0 };

	ledger_init(&ledger);
	ledger_init(&copy);
	order_zone(&ledger, "a", true, 0);
	order_zone(&ledger, "b", true, 1);
	order_zone(&ledger, "a", false, 2);
	ledger_save(&ledger, &saved);
	g_assert_true(ledger_load(&copy, saved.data, saved.len));
	g_assert_cmpint(copy.evacuations.revision, ==, 3);
	g_assert_false(evacuations_include(&copy.evacuations, "a"));
	g_assert_true(evacuations_include(&copy.evacuations, "b"));
	g_assert_cmpint(order_zone(&copy, "a", true, 2), ==, LEDGER_REFUSED);
	bytes_clear(&saved);
	ledger_clear(&ledger);
	ledger_clear(&copy);
}

static enum ledger_change put_version(struct ledger *ledger, uint64_t version,
				      bool serves)
{
	struct bytes entry = { 0 };
	enum ledger_change change;

	ledger_write_version(&entry, 1, version, serves);
	change = ledger_apply(ledger, entry.data, entry.len);
	bytes_clear(&entry);
	return change;
}

/* What a service's versions were is lost with a snapshot. */
static void test_software_versions_saved(void)
{
	struct bytes saved = { 0 };
	struct ledger ledger;
	struct ledger copy;

	ledger_init(&ledger);
	ledger_init(&copy);
	g_assert_cmpint(put_version(&ledger, 10, true), ==, LEDGER_VERSION);
	g_assert_cmpint(put_version(&ledger, 10, true), ==, LEDGER_NOTHING);
	g_assert_cmpint(put_version(&ledger, UINT64_MAX, true), ==,
			LEDGER_VERSION);
	g_assert_cmpint(put_version(&ledger, 12, false), ==, LEDGER_NOTHING);
	g_assert_cmpint(put_version(&ledger, 10, false), ==, LEDGER_VERSION);
	ledger_save(&ledger, &saved);
	g_assert_true(ledger_load(&copy, saved.data, saved.len));
	g_assert_cmpint(copy.n_versions, ==, 1);
	g_assert_true(ledger_has_version(&copy, 1, UINT64_MAX));
	g_assert_false(ledger_has_version(&copy, 1, 10));
	bytes_clear(&saved);
	ledger_clear(&ledger);
	ledger_clear(&copy);
}

/* A server that names another version with each start fills memory. */
static void test_software_versions_bounded(void)
{
	struct ledger ledger;
	uint64_t version;

	ledger_init(&ledger);
	for (version = 0; version < 2 * LEDGER_VERSIONS_MOST; version++)
		put_version(&ledger, version, true);
	g_assert_cmpint(ledger.n_versions, ==, LEDGER_VERSIONS_MOST);
	g_assert_true(ledger_has_version(&ledger, 1, version - 1));
	ledger_clear(&ledger);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ledger/versions", test_versions);
	g_test_add_func("/ledger/windows", test_windows);
	g_test_add_func("/ledger/counted", test_counted);
	g_test_add_func("/ledger/windows-bounded", test_windows_bounded);
	g_test_add_func("/ledger/save", test_save);
	g_test_add_func("/ledger/malformed", test_malformed);
	g_test_add_func("/ledger/evacuation-overtaken",
			test_evacuation_overtaken);
	g_test_add_func("/ledger/evacuation-bound", test_evacuation_bound);
	g_test_add_func("/ledger/evacuation-saved", test_evacuation_saved);
	g_test_add_func("/ledger/software-versions-saved",
			test_software_versions_saved);
	g_test_add_func("/ledger/software-versions-bounded",
			test_software_versions_bounded);
	return g_test_run();
}
