#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/compression.h"
#include "document/encoding.h"
#include "feed/feed.h"
#include "group.h"

#define SECOND INT64_C(1000000)
#define ROUTES 4250
#define ROUTES_MOST 22000

/* What an entry VM's link of 10 Mbit/s carries in a quarter of a second. */
#define BYTES_MOST 312500

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

/* A line a route: "NAME HOST PREFIX" and what a real document says besides. */
static void write_route(struct bytes *text, GRand *rand)
{
	bytes_append_text(text, "r-");
	write_name(text, rand, 7);
	bytes_append_text(text, " ");
	write_name(text, rand, 6);
	bytes_append_text(text, ".example /");
	write_name(text, rand, 8);
	bytes_append_text(text, "/ {\"type\":\"streaming\",\"timeout_ms\":6000,"
				"\"latency_goal_ms\":1000,\"priority\":1,"
				"\"service\":\"folio\",\"max_attempts\":2}\n");
}

/* The version on the first line, then the routes. */
static struct bytes document_text(int64_t version, int routes)
{
	GRand *rand = g_rand_new_with_seed((guint32)version);
	struct bytes text = { 0 };
	int i;

	bytes_append_format(&text, "%d\n", (int)version);
	for (i = 0; i < routes; i++)
		write_route(&text, rand);
	g_rand_free(rand);
	return text;
}

static bool read_route(struct document *document, const char *line)
{
	char **words = g_strsplit(line, " ", 4);
	struct route *route;

	if (g_strv_length(words) < 4) {
		g_strfreev(words);
		return false;
	}
	route = document_add_route(document);
	route->name = xstrdup(words[0]);
	route->host = xstrdup(words[1]);
	route->prefix = xstrdup(words[2]);
	route->kind = ROUTE_STREAM;
	route->timeout_ms = 6000;
	route->goal_ms = 1000;
	route_add_split(route, "folio", 1);
	g_strfreev(words);
	return true;
}

static struct document *read_document(void *data, const char *text, size_t len)
{
	struct document *document = document_new();
	char *copy = g_strndup(text, len);
	char **lines = g_strsplit(copy, "\n", -1);
	int i;

	document->version = strtoll(lines[0], NULL, 10);
	document_add_service(document, "folio");
	for (i = 1; document && lines[i] && *lines[i]; i++) {
		if (read_route(document, lines[i]))
			continue;
		document_free(document);
		document = NULL;
	}
	g_strfreev(lines);
	g_free(copy);
	return document;
}

static void put(struct group *group, int64_t version, const struct bytes *text)
{
	uint64_t call =
		group_put_text(group, group_leader(group), version, text);

	group_run(group, SECOND);
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
}

/* What an entry VM makes of a packed answer. */
static struct document *unpack(const struct feed_document *told)
{
	struct bytes encoded = { 0 };
	struct document *document;

	g_assert_cmpuint(told->unpacked, >, 0);
	g_assert_true(compression_unpack(&encoded, told->text, told->len,
					 told->unpacked));
	document = document_decode(encoded.data, encoded.len);
	g_assert_nonnull(document);
	bytes_clear(&encoded);
	return document;
}

static void check_same(const struct document *document,
		       const struct bytes *text)
{
	struct document *expected = read_document(NULL, text->data, text->len);
	size_t i;

	g_assert_cmpint(document->version, ==, expected->version);
	g_assert_cmpuint(document->n_routes, ==, expected->n_routes);
	for (i = 0; i < document->n_routes; i++) {
		const struct route *route = &expected->routes[i];

		g_assert_true(
			document_route(document, route->host, route->prefix) ==
			&document->routes[i]);
	}
	document_free(expected);
}

/* An entry VM that takes packed documents gets this one, in few bytes. */
static void check_packed(struct group *group, int vm, const struct bytes *text,
			 size_t most)
{
	struct bytes body = group_fetch(group, vm, true);
	struct feed_message message;
	struct document *document;

	g_assert_cmpuint(body.len, <=, most);
	g_assert_true(feed_read(&message, body.data, body.len));
	g_assert_cmpint(message.kind, ==, FEED_DOCUMENT);
	document = unpack(&message.u.document);
	check_same(document, text);
	document_free(document);
	feed_clear(&message);
	bytes_clear(&body);
}

/* Guards against documents that fill the links of entry VMs. */
static void test_travels_packed(void)
{
	struct group *group = group_founded(read_document);
	struct bytes first = document_text(1, ROUTES);
	struct bytes second = document_text(2, ROUTES);
	int vm;

	put(group, 1, &first);
	for (vm = 0; vm < 5; vm++)
		check_packed(group, vm, &first, BYTES_MOST);
	put(group, 2, &second);
	for (vm = 0; vm < 5; vm++)
		check_packed(group, vm, &second, BYTES_MOST);
	bytes_clear(&first);
	bytes_clear(&second);
	group_free(group);
}

/* Guards against an entry VM of an earlier release that can't read it. */
static void test_earlier_release(void)
{
	struct group *group = group_founded(read_document);
	struct bytes text = document_text(1, ROUTES);
	struct feed_message message;
	struct bytes body;

	put(group, 1, &text);
	body = group_fetch(group, 0, false);
	g_assert_true(feed_read(&message, body.data, body.len));
	g_assert_cmpuint(message.u.document.unpacked, ==, 0);
	g_assert_cmpuint(message.u.document.len, ==, text.len);
	g_assert_true(!memcmp(message.u.document.text, text.data, text.len));
	feed_clear(&message);
	bytes_clear(&body);
	bytes_clear(&text);
	group_free(group);
}

/* Guards against a valid document that is refused for its size. */
static void test_largest(void)
{
	struct group *group = group_founded(read_document);
	struct bytes text = document_text(1, ROUTES_MOST);
	uint64_t call;
	int vm;

	g_assert_cmpuint(text.len, <, 4 * 1024 * 1024);
	g_assert_cmpuint(text.len, >, 2 * 1024 * 1024);
	put(group, 1, &text);
	for (vm = 0; vm < 5; vm++)
		check_packed(group, vm, &text, text.len / 4);
	call = group_get(group, group_leader(group));
	g_assert_cmpint(group_code(group, call), ==, RESULT_OK);
	g_assert_true(!memcmp(group_body(group, call), text.data, text.len));
	bytes_clear(&text);
	group_free(group);
}

/* Guards against a log that an entry too large for its links blocks. */
static void test_too_large(void)
{
	struct group *group = group_founded(read_document);
	struct bytes noise = { 0 };
	GRand *rand = g_rand_new_with_seed(1);
	struct bytes small = document_text(2, 10);
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

/* The leader lost office, as reading took longer than it may be silent. */
static void test_slow_reading(void)
{
	struct group *group = group_founded(read_document);
	int leader = group_leader(group);
	int64_t term = group_view(group, leader).term;
	int64_t version;

	group_reading_takes(group, 400 * SECOND / 1000);
	for (version = 2; version < 5; version++) {
		struct bytes text = document_text(version, 10);

		put(group, version, &text);
		bytes_clear(&text);
		g_assert_cmpint(group_leader(group), ==, leader);
		g_assert_cmpint(group_view(group, leader).term, ==, term);
	}
	group_free(group);
}

/* A document that isn't read yet would go out whole, as text. */
static void test_fetched_while_read(void)
{
	struct group *group = group_founded(read_document);
	int follower = (group_leader(group) + 1) % 5;
	struct bytes text = document_text(2, 1000);
	struct feed_message message;
	struct document *document;
	struct bytes answer;

	group_reading_takes(group, SECOND / 2);
	group_put_text(group, group_leader(group), 2, &text);
	group_run(group, SECOND / 4);
	answer = group_fetch(group, follower, true);
	g_assert_cmpuint(answer.len, ==, 0);
	group_run(group, SECOND);
	answer = group_fetched(group, follower);
	g_assert_true(feed_read(&message, answer.data, answer.len));
	document = unpack(&message.u.document);
	check_same(document, &text);
	document_free(document);
	feed_clear(&message);
	bytes_clear(&answer);
	bytes_clear(&text);
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
	g_test_add_func("/large-document/slow-reading", test_slow_reading);
	g_test_add_func("/large-document/fetched-while-read",
			test_fetched_while_read);
	return g_test_run();
}
