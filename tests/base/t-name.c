#include <glib.h>
#include <string.h>

#include "base/name.h"

#define CYRILLIC "\xd1\x81"

static void check_short(const char *name)
{
	char out[NAME_SIZE];
	char again[NAME_SIZE];

	name_shorten(out, name);
	name_shorten(again, out);
	g_assert_cmpstr(out, ==, again);
	g_assert_true(g_utf8_validate(out, -1, NULL));
	g_assert_cmpint(!strcmp(out, name), ==, strlen(name) < NAME_SIZE);
}

static void names_with_room_stay_and_longer_ones_are_texts(void)
{
	GString *plain = g_string_new("");
	GString *cyrillic = g_string_new("a");
	int i;

	for (i = 0; i < 200; i++) {
		check_short(plain->str);
		check_short(cyrillic->str);
		g_string_append_c(plain, 'a');
		g_string_append(cyrillic, CYRILLIC);
	}
	g_string_free(plain, TRUE);
	g_string_free(cyrillic, TRUE);
}

/* Two services whose names begin alike become one. */
static void names_that_differ_at_their_ends_stay_apart(void)
{
	GHashTable *seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	char name[128];
	char out[NAME_SIZE];
	int i;

	memset(name, 'b', sizeof(name));
	for (i = 0; i < 10000; i++) {
		g_snprintf(name + 63, sizeof(name) - 63, "%d", i);
		name_shorten(out, name);
		g_assert_true(g_hash_table_add(seen, g_strdup(out)));
	}
	g_hash_table_destroy(seen);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/name/short",
			names_with_room_stay_and_longer_ones_are_texts);
	g_test_add_func("/name/apart",
			names_that_differ_at_their_ends_stay_apart);
	return g_test_run();
}
