#include "cli/log_lines.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"
#include "base/cleanup.h"

#define LINE_BYTES 65536

static int64_t read_time(const char *text)
{
	struct tm utc = { 0 };
	const char *rest;
	int64_t ms;

	rest = text ? strptime(text, "%Y-%m-%dT%H:%M:%S", &utc) : NULL;
	if (!rest)
		return 0;
	ms = (int64_t)timegm(&utc) * 1000;
	return *rest == '.' ? ms + strtoll(rest + 1, NULL, 10) : ms;
}

/* A line may have something in front, such as a collector's stamp. */
static void add_line(struct log_lines *lines, const char *text)
{
	const char *start = strchr(text, '{');
	json_t *root =
		start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	const char *message =
		json_string_value(json_object_get(root, "message"));
	const char *module = json_string_value(json_object_get(root, "module"));
	const char *vm = json_string_value(json_object_get(root, "vm"));
	struct log_line *line;

	if (message && module && vm) {
		lines->items =
			xrealloc(lines->items, (lines->n + 1) * sizeof(*line));
		line = &lines->items[lines->n];
		line->at_ms = read_time(
			json_string_value(json_object_get(root, "time")));
		line->order = lines->n++;
		line->vm = xstrdup(vm);
		line->module = xstrdup(module);
		line->message = xstrdup(message);
	}
	json_decref(root);
}

static bool read_file(struct log_lines *lines, const char *path)
{
	FILE *file = fopen(path, "re");
	cleanup(free_ptr) char *text = xcalloc(1, LINE_BYTES);

	if (!file)
		return false;
	while (fgets(text, LINE_BYTES, file))
		add_line(lines, text);
	fclose(file);
	return true;
}

static int compare(const void *a, const void *b)
{
	const struct log_line *left = a;
	const struct log_line *right = b;

	if (left->at_ms != right->at_ms)
		return left->at_ms < right->at_ms ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

bool log_has_word(const char *message, const char *name, const char *value)
{
	cleanup(free_ptr) char *word = xstrfmt("%s=%s", name, value);
	size_t len = strlen(word);
	const char *at = message;

	while ((at = strstr(at, word))) {
		if ((at == message || at[-1] == ' ') &&
		    (!at[len] || at[len] == ' '))
			return true;
		at += len;
	}
	return false;
}

char *log_word(const char *message, const char *name)
{
	cleanup(free_ptr) char *start = xstrfmt("%s=", name);
	const char *at = strstr(message, start);

	if (!at || (at != message && at[-1] != ' '))
		return NULL;
	at += strlen(start);
	return xmemdup(at, strcspn(at, " "));
}

void log_lines_clear(struct log_lines *lines)
{
	size_t i;

	for (i = 0; i < lines->n; i++) {
		free(lines->items[i].vm);
		free(lines->items[i].module);
		free(lines->items[i].message);
	}
	free(lines->items);
}

int log_lines_read_all(struct cli *cli, struct log_lines *lines,
		       const json_t *files)
{
	int status = 0;
	json_t *file;
	size_t i;

	json_array_foreach(files, i, file) {
		const char *path = json_string_value(file);

		if (!read_file(lines, path))
			status = cli_fail(cli, RESULT_NOT_FOUND,
					  "%s can't be read", path);
	}
	if (lines->n)
		qsort(lines->items, lines->n, sizeof(*lines->items), compare);
	return status;
}

int64_t log_number(const char *message, const char *name, int64_t none)
{
	cleanup(free_ptr) char *word = log_word(message, name);

	return word ? strtoll(word, NULL, 10) : none;
}
