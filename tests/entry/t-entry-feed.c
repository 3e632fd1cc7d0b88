#include <glib.h>
#include <string.h>

#include "bed.h"

/* Unused copies of the document are counted in the metrics. */
static void test_counts_documents(void)
{
	struct entry_documents documents;
	struct bed bed;

	bed_start(&bed);
	bed_deliver_state(&bed, bed.polled_us, 0, 2);
	bed_deliver_document(&bed, 2, "k1");
	bed_deliver_document(&bed, 2, "k1");
	documents = entry_view(bed.entry, bed.now_us).documents;
	g_assert_cmpint(documents.requested, ==, 2);
	g_assert_cmpint(documents.received, ==, 3);
	g_assert_cmpint(documents.unused, ==, 1);
	g_assert_cmpint(documents.bytes, ==, 3 * strlen("1 k1"));
	bed_end(&bed);
}

/* Guards against an entry VM that reads uncompressed documents only. */
static void test_takes_packed(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_state(&bed, bed.polled_us, 0, 2);
	bed_deliver_compressed(&bed, 2, "k2");
	g_assert_cmpint(entry_view(bed.entry, bed.now_us).version, ==, 2);
	bed_check_refused(&bed, bed_ask(&bed, "/lodge/7", "k1"),
			  RESULT_KEY_UNKNOWN);
	bed_end(&bed);
}

/* Guards against requesting an unreadable form of the document for ever. */
static void test_asks_for_plain(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_state(&bed, bed.polled_us, 0, 2);
	g_assert_true(bed.fetch_compressed);
	bed_deliver_damaged(&bed, 2);
	g_assert_cmpint(entry_view(bed.entry, bed.now_us).version, ==, 1);
	bed_advance(&bed, 500000);
	bed_deliver_state(&bed, bed.polled_us, 0, 2);
	g_assert_false(bed.fetch_compressed);
	bed_deliver_document(&bed, 2, "k1");
	g_assert_cmpint(entry_view(bed.entry, bed.now_us).version, ==, 2);
	bed_end(&bed);
}

/*
 * A server without recent announcements gets no requests; marks list the
 * servers that announced themselves.
 */
static void test_marks(void)
{
	struct bed bed;
	uint64_t id;
	int i;

	bed_start(&bed);
	bed_deliver_server(&bed, STEADY, 1, false, false);
	for (i = 0; i < 24; i++) {
		bed_advance(&bed, SECOND / 2);
		bed_deliver_state(&bed, bed.polled_us, 0, 1);
		bed_deliver_marks(&bed, STEADY, i < 12);
		if (i == 11)
			g_assert_cmpint(
				entry_view(bed.entry, bed.now_us).servers, ==,
				2);
	}
	bed_advance(&bed, 4 * SECOND);
	bed_deliver_state(&bed, bed.polled_us, 0, 1);
	bed_deliver_marks(&bed, STEADY, false);
	bed_advance(&bed, SECOND / 4);
	g_assert_cmpint(entry_view(bed.entry, bed.now_us).servers, ==, 1);
	for (i = 0; i < 8; i++) {
		bed.at_steady = 0;
		id = bed_ask(&bed, "/r3/", BOARD_KEY);
		g_assert_cmpint(bed.at_steady, ==, 1);
		bed_end_attempt(&bed, id, RESULT_OK, 200, true);
	}
	bed_deliver_marks(&bed, STEADY, true);
	g_assert_cmpint(entry_view(bed.entry, bed.now_us).servers, ==, 2);
	bed_end(&bed);
}

static void test_bundle(void)
{
	struct bed bed;

	bed_start(&bed);
	bed_deliver_bundle(&bed, false);
	g_assert_cmpint(entry_view(bed.entry, bed.now_us).servers, ==, 2);
	bed_deliver_bundle(&bed, true);
	g_assert_cmpint(entry_view(bed.entry, bed.now_us).servers, ==, 3);
	bed_end(&bed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/entry-feed/counts-documents", test_counts_documents);
	g_test_add_func("/entry-feed/takes-packed", test_takes_packed);
	g_test_add_func("/entry-feed/asks-for-plain", test_asks_for_plain);
	g_test_add_func("/entry-feed/marks", test_marks);
	g_test_add_func("/entry-feed/bundle", test_bundle);
	return g_test_run();
}
