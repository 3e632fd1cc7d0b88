#include <glib.h>

#include "slow_link.h"

#define MS INT64_C(1000)
#define LINK_BYTES_PER_S 1250000
#define DOCUMENT_BYTES 830000

/* An acknowledged version must be in force everywhere within this time. */
#define IN_FORCE_US (2500 * MS)

static struct slow_link *start(void)
{
	struct slow_link *link = slow_link_new(LINK_BYTES_PER_S);

	slow_link_publish(link, 1, 1000);
	slow_link_run(link, 2000 * MS);
	g_assert_cmpint(slow_link_in_force_us(link, 1), >, 0);
	return link;
}

static void check_in_force(const struct slow_link *link, int64_t version,
			   int64_t since_us, int64_t within_us)
{
	int64_t in_force_us = slow_link_in_force_us(link, version);

	g_assert_cmpint(in_force_us, >, 0);
	g_assert_cmpint(in_force_us - since_us, <=, within_us);
}

/* Guards against large documents that delay each other on an entry VM's link. */
static void test_two_large_versions(void)
{
	struct slow_link *link = start();
	int64_t first_us = slow_link_now_us(link);

	slow_link_publish(link, 2, DOCUMENT_BYTES);
	slow_link_run(link, 530 * MS);
	slow_link_publish(link, 3, DOCUMENT_BYTES);
	slow_link_run(link, 6000 * MS);
	check_in_force(link, 2, first_us, IN_FORCE_US);
	check_in_force(link, 3, first_us + 530 * MS, IN_FORCE_US);
	slow_link_free(link);
}

/* Guards against unused copies of a document. */
static void test_one_copy_a_version(void)
{
	struct slow_link *link = start();

	slow_link_publish(link, 2, DOCUMENT_BYTES);
	slow_link_run(link, 6000 * MS);
	g_assert_cmpint(slow_link_documents(link).unused, ==, 0);
	g_assert_cmpint(slow_link_documents(link).received, ==, 2);
	slow_link_free(link);
}

/* Guards against an entry VM that lags behind a series of changes. */
static void test_series(void)
{
	struct slow_link *link = start();
	int64_t last_us = 0;
	int64_t version;

	for (version = 2; version < 42; version++) {
		last_us = slow_link_now_us(link);
		slow_link_publish(link, version, DOCUMENT_BYTES);
		slow_link_run(link, 100 * MS);
	}
	slow_link_run(link, 6000 * MS);
	check_in_force(link, 41, last_us, IN_FORCE_US);
	g_assert_cmpint(slow_link_documents(link).unused, ==, 0);
	slow_link_free(link);
}

/* Guards against waiting for a control VM that doesn't answer. */
static void test_silent_peer(void)
{
	struct slow_link *link = start();
	int64_t since_us = slow_link_now_us(link);
	int peer;

	slow_link_publish(link, 2, 1000);
	for (peer = 0; peer < SLOW_LINK_PEERS; peer++)
		slow_link_mute(link, peer, true);
	slow_link_run(link, 50 * MS);
	for (peer = 0; peer < SLOW_LINK_PEERS; peer++)
		slow_link_mute(link, peer, peer == slow_link_asked(link));
	slow_link_run(link, 6000 * MS);
	check_in_force(link, 2, since_us, IN_FORCE_US);
	slow_link_free(link);
}

/* Guards against waiting for an answer that was lost. */
static void test_lost_answer(void)
{
	struct slow_link *link = start();
	int64_t since_us = slow_link_now_us(link);

	slow_link_lose_document(link);
	slow_link_publish(link, 2, 1000);
	slow_link_run(link, 6000 * MS);
	check_in_force(link, 2, since_us, 600 * MS);
	slow_link_free(link);
}

/* Guards against waiting for a control VM whose link is down. */
static void test_link_lost(void)
{
	struct slow_link *link = start();
	int64_t since_us = slow_link_now_us(link);

	slow_link_publish(link, 2, DOCUMENT_BYTES);
	slow_link_run(link, 50 * MS);
	slow_link_break_asked(link);
	slow_link_run(link, 6000 * MS);
	check_in_force(link, 2, since_us, IN_FORCE_US);
	slow_link_free(link);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/fetch/two-large-versions", test_two_large_versions);
	g_test_add_func("/fetch/one-copy-a-version", test_one_copy_a_version);
	g_test_add_func("/fetch/series", test_series);
	g_test_add_func("/fetch/silent-peer", test_silent_peer);
	g_test_add_func("/fetch/lost-answer", test_lost_answer);
	g_test_add_func("/fetch/link-lost", test_link_lost);
	return g_test_run();
}
