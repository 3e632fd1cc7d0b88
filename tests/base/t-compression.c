#include <glib.h>
#include <string.h>

#include "base/compression.h"

#define LINES 4000

static void write_lines(struct bytes *text)
{
	int i;

	for (i = 0; i < LINES; i++)
		bytes_append_format(text,
				    "{\"prefix\":\"/%08x/\",\"weight\":1}",
				    (unsigned int)i * 2654435761U);
}

static void test_round_trip(void)
{
	struct bytes text = { 0 };
	struct bytes packed = { 0 };
	struct bytes back = { 0 };

	write_lines(&text);
	compression_pack(&packed, text.data, text.len);
	g_assert_cmpuint(packed.len * 2, <, text.len);
	g_assert_true(
		compression_unpack(&back, packed.data, packed.len, text.len));
	g_assert_true(bytes_equal(&text, &back));
	bytes_clear(&text);
	bytes_clear(&packed);
	bytes_clear(&back);
}

static void test_empty(void)
{
	struct bytes packed = { 0 };
	struct bytes back = { 0 };

	compression_pack(&packed, "", 0);
	g_assert_true(compression_unpack(&back, packed.data, packed.len, 0));
	g_assert_cmpuint(back.len, ==, 0);
	bytes_clear(&packed);
	bytes_clear(&back);
}

/* Guards against a damaged message that is taken for a shorter document. */
static void test_malformed(void)
{
	struct bytes packed = { 0 };
	struct bytes back = { 0 };
	const char text[] = "the whole text, the whole text, the whole text";
	size_t len = strlen(text);

	compression_pack(&packed, text, len);
	g_assert_false(
		compression_unpack(&back, packed.data, packed.len - 1, len));
	g_assert_false(
		compression_unpack(&back, packed.data, packed.len, len - 1));
	g_assert_false(
		compression_unpack(&back, packed.data, packed.len, len + 1));
	g_assert_false(compression_unpack(&back, text, len, len));
	g_assert_cmpuint(back.len, ==, 0);
	bytes_clear(&packed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/compression/round-trip", test_round_trip);
	g_test_add_func("/compression/empty", test_empty);
	g_test_add_func("/compression/malformed", test_malformed);
	return g_test_run();
}
