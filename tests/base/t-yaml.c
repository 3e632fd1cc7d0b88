#include <glib.h>
#include <string.h>

#include "base/yaml.h"

static void test_keep_message(void *data, enum result code, const char *message)
{
	g_strlcpy(data, message, 256);
}

static enum result test_parse(struct yaml **root, const char *text,
			      char *message)
{
	struct error_handler handler = { test_keep_message, message };

	return yaml_parse(root, "f.yaml", text, strlen(text), &handler);
}

static void values_remember_where_they_stood(void)
{
	g_autofree char *message = g_malloc0(256);
	struct yaml *root;
	const struct yaml *size;
	int64_t number;
	double real;
	bool flag;

	g_assert_cmpint(test_parse(&root, "a: 1\nb:\n  size: 2.5\n  on: true\n",
				   message),
			==, RESULT_OK);
	g_assert_true(yaml_int(yaml_get(root, "a"), &number));
	g_assert_cmpint(number, ==, 1);
	size = yaml_get(yaml_get(root, "b"), "size");
	g_assert_cmpint(size->line, ==, 3);
	g_assert_false(yaml_int(size, &number));
	g_assert_true(yaml_real(size, &real));
	g_assert_true(yaml_bool(yaml_get(yaml_get(root, "b"), "on"), &flag));
	g_assert_true(flag);
	yaml_free(root);
}

static void broken_text_names_its_place(void)
{
	g_autofree char *message = g_malloc0(256);
	struct yaml *root;

	g_assert_cmpint(test_parse(&root, "a: 1\nb: [2, 3\nc: 4\n", message),
			==, RESULT_SETTING_SYNTAX);
	g_assert_null(root);
	g_assert_true(g_str_has_prefix(message, "f.yaml:"));
	g_assert_cmpint(test_parse(&root, "a: 1\na: 2\n", message), ==,
			RESULT_SETTING_SYNTAX);
	g_assert_cmpint(test_parse(&root, "", message), ==,
			RESULT_SETTING_SYNTAX);
}

static void quoted_numbers_are_text(void)
{
	g_autofree char *message = g_malloc0(256);
	struct yaml *root;
	int64_t number;

	g_assert_cmpint(test_parse(&root, "a: \"1\"\n", message), ==,
			RESULT_OK);
	g_assert_false(yaml_int(yaml_get(root, "a"), &number));
	yaml_free(root);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/yaml/places", values_remember_where_they_stood);
	g_test_add_func("/yaml/broken", broken_text_names_its_place);
	g_test_add_func("/yaml/quoted", quoted_numbers_are_text);
	return g_test_run();
}
