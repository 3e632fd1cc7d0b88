#include <glib.h>
#include <string.h>

#include "base/compression.h"
#include "feed/feed.h"
#include "group.h"

#define SECOND INT64_C(1000000)
#define ROUTES 4250

/* What an entry VM's link of 10 Mbit/s carries in a quarter of a second. */
#define BYTES_MOST 312500

static const int seeds[] = { 0, 1, 2 };

static void write_name(struct bytes *text, GRand *rand, int len)
{
	static const char letters[] = "abcdefghijkmnpqrstuvwxyz23456789";

	while (len--) {
		const char *letter =
			&letters[g_rand_int_range(rand, 0,
						  sizeof(letters) - 1)];

		bytes_append(text, letter, 1);
	}
}

static void write_route(struct bytes *text, GRand *rand)
{
	bytes_append_text(text, "{\"name\":\"r-");
	write_name(text, rand, 7);
	bytes_append_text(text, "\",\"host\":\"");
	write_name(text, rand, 6);
	bytes_append_text(text, ".example\",\"path_prefix\":\"/");
	write_name(text, rand, 8);
	bytes_append_text(text, "/\",\"type\":\"streaming\",\"timeout_ms\":"
				"6000,\"latency_goal_ms\":1000,\"priority\":1,"
				"\"service\":\"folio\",\"max_attempts\":2},");
}

static struct bytes document_text(uint32_t seed, int routes)
{
	GRand *rand = g_rand_new_with_seed(seed);
	struct bytes text = { 0 };
	int i;

	for (i = 0; i < routes; i++)
		write_route(&text, rand);
	g_rand_free(rand);
	return text;
}

static struct group *start(void)
{
	struct group *group = group_new(5, seeds, 3, 7);
	int vm;

	for (vm = 0; vm < 5; vm++)
		group_start(group, vm);
	group_run(group, 10 * SECOND);
	g_assert_cmpint(group_leader(group), >=, 0);
	return group;
}

static void put(struct group *group, int64_t version, const struct bytes *text)
{
	uint64_t call =
		group_put_text(group, group_leader(group), version, text);

	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
}

/* The text of the document that an entry VM gets. */
static struct bytes fetch(struct group *group, int vm, bool packed,
			  size_t *travelled)
{
	struct bytes body = group_fetch(group, vm, packed);
	struct bytes text = { 0 };
	struct feed_message message;

	*travelled = body.len;
	g_assert_true(feed_read(&message, body.data, body.len));
	g_assert_cmpint(message.kind, ==, FEED_DOCUMENT);
	g_assert_cmpint(message.u.document.unpacked != 0, ==, packed);
	if (packed)
		g_assert_true(compression_unpack(&text, message.u.document.text,
						 message.u.document.len,
						 message.u.document.unpacked));
	else
		bytes_append(&text, message.u.document.text,
			     message.u.document.len);
	feed_clear(&message);
	bytes_clear(&body);
	return text;
}

static void check_fetch(struct group *group, int vm, bool packed,
			const struct bytes *expected, size_t most)
{
	size_t travelled;
	struct bytes text = fetch(group, vm, packed, &travelled);

	g_assert_true(bytes_equal(&text, expected));
	g_assert_cmpuint(travelled, <=, most);
	bytes_clear(&text);
}

/* Guards against documents that fill the links of entry VMs. */
static void test_travels_packed(void)
{
	struct group *group = start();
	struct bytes first = document_text(1, ROUTES);
	struct bytes second = document_text(2, ROUTES);
	int vm;

	put(group, 1, &first);
	for (vm = 0; vm < 5; vm++)
		check_fetch(group, vm, true, &first, BYTES_MOST);
	put(group, 2, &second);
	for (vm = 0; vm < 5; vm++)
		check_fetch(group, vm, true, &second, BYTES_MOST);
	bytes_clear(&first);
	bytes_clear(&second);
	group_free(group);
}

/* Guards against an entry VM of an earlier release that can't read it. */
static void test_earlier_release(void)
{
	struct group *group = start();
	struct bytes text = document_text(1, ROUTES);

	put(group, 1, &text);
	check_fetch(group, 0, false, &text, text.len + 100);
	bytes_clear(&text);
	group_free(group);
}

/* Guards against a valid document that is refused for its size. */
static void test_largest(void)
{
	struct group *group = start();
	struct bytes text = document_text(1, 22000);
	uint64_t call;
	int vm;

	g_assert_cmpuint(text.len, <, 4 * 1024 * 1024);
	g_assert_cmpuint(text.len, >, 3 * 1024 * 1024);
	put(group, 1, &text);
	for (vm = 0; vm < 5; vm++)
		check_fetch(group, vm, true, &text, text.len / 4);
	call = group_get(group, group_leader(group));
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	g_assert_true(!memcmp(group_body(group, call), text.data, text.len));
	bytes_clear(&text);
	group_free(group);
}

/* Guards against a log that an entry too large for its links blocks. */
static void test_too_large(void)
{
	struct group *group = start();
	struct bytes noise = { 0 };
	GRand *rand = g_rand_new_with_seed(1);
	struct bytes small = document_text(1, 10);
	uint64_t call;

	while (noise.len < 3 * 1024 * 1024) {
		char byte = (char)g_rand_int_range(rand, 0, 256);

		bytes_append(&noise, &byte, 1);
	}
	call = group_put_text(group, group_leader(group), 1, &noise);
	g_assert_cmpint(group_code(group, call), ==, RESULT_TOO_LARGE);
	put(group, 2, &small);
	g_rand_free(rand);
	bytes_clear(&noise);
	bytes_clear(&small);
	group_free(group);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/large-document/travels-packed", test_travels_packed);
	g_test_add_func("/large-document/earlier-release",
			test_earlier_release);
	g_test_add_func("/large-document/largest", test_largest);
	g_test_add_func("/large-document/too-large", test_too_large);
	return g_test_run();
}
