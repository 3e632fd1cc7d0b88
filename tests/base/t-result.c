#include <glib.h>
#include <string.h>

#include "base/result.h"

/* docs/RESULT-CODES.md must list each code with its HTTP status and text. */
static void documentation_lists_each_code(void)
{
	g_autofree char *path =
		g_build_filename(g_getenv("SOURCE_ROOT"), "docs",
				 "RESULT-CODES.md", NULL);
	g_autofree char *page = NULL;

	g_assert_true(g_file_get_contents(path, &page, NULL, NULL));
#define CHECK_ROW(number, name, http, text)                              \
	{                                                                \
		g_autofree char *row =                                   \
			g_strdup_printf("| %d | %s | %d | %s |", number, \
					#name, http, text);              \
		if (!strstr(page, row))                                  \
			g_error("missing in RESULT-CODES.md: %s", row);  \
	}
	RESULT_TABLE(CHECK_ROW)
#undef CHECK_ROW
}

static void unknown_code_has_a_name(void)
{
	g_assert_cmpstr(result_name((enum result)9999), ==, "UNKNOWN");
	g_assert_cmpint(result_http_status((enum result)9999), ==, 500);
	g_assert_cmpstr(result_name(RESULT_QUEUE_FULL), ==, "QUEUE_FULL");
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/result/documented", documentation_lists_each_code);
	g_test_add_func("/result/unknown", unknown_code_has_a_name);
	return g_test_run();
}
