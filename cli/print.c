#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "cli/cli.h"

#define PRINT_COLUMNS 16

/* A value as it stands in a table's cell. */
static char *print_cell(const json_t *value)
{
	if (!value || json_is_null(value))
		return xstrdup("-");
	if (json_is_string(value))
		return xstrdup(*json_string_value(value)
				       ? json_string_value(value)
				       : "-");
	if (json_is_boolean(value))
		return xstrdup(json_is_true(value) ? "yes" : "no");
	if (json_is_real(value))
		return xstrfmt("%.3g", json_real_value(value));
	return json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
}

static void print_row(const json_t *row, const struct cli_column *columns,
		      const int *widths)
{
	int i;

	for (i = 0; columns[i].key; i++) {
		cleanup(free_ptr) char *cell =
			print_cell(json_object_get(row, columns[i].key));

		if (columns[i + 1].key)
			printf("%-*s  ", widths[i], cell);
		else
			printf("%s\n", cell);
	}
}

void cli_print_table(const json_t *rows, const struct cli_column *columns)
{
	int widths[PRINT_COLUMNS] = { 0 };
	json_t *row;
	size_t n;
	int i;

	for (i = 0; columns[i].key; i++)
		widths[i] = (int)strlen(columns[i].title);
	json_array_foreach(rows, n, row) {
		for (i = 0; columns[i].key; i++) {
			cleanup(free_ptr) char *cell = print_cell(
				json_object_get(row, columns[i].key));

			if ((int)strlen(cell) > widths[i])
				widths[i] = (int)strlen(cell);
		}
	}
	for (i = 0; columns[i].key; i++)
		printf(columns[i + 1].key ? "%-*s  " : "%-*s\n",
		       columns[i + 1].key ? widths[i] : 0, columns[i].title);
	json_array_foreach(rows, n, row)
		print_row(row, columns, widths);
}

static void print_value_at(const json_t *value, int depth)
{
	cleanup(free_ptr) char *cell = NULL;
	const char *key;
	json_t *child;
	size_t i;

	if (json_is_object(value)) {
		json_object_foreach((json_t *)value, key, child) {
			printf("%*s%s:", 2 * depth, "", key);
			if (json_is_object(child) || json_is_array(child))
				putchar('\n');
			else
				putchar(' ');
			print_value_at(child, depth + 1);
		}
	} else if (json_is_array(value)) {
		json_array_foreach(value, i, child) {
			printf("%*s-\n", 2 * depth, "");
			print_value_at(child, depth + 1);
		}
	} else {
		cell = print_cell(value);
		printf("%s\n", cell);
	}
}

void cli_print_value(const json_t *value)
{
	print_value_at(value, 0);
}
