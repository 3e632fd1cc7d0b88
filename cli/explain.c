/*
 * A request's story out of the logs of several VMs: each line that names it,
 * in order, and before the first line of a VM what that VM believed then and
 * how old that was.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "cli/cli.h"

#define LINE_BYTES 65536

/* What a VM may believe, by the module that logs it. */
static const char *const beliefs[] = { "document", "fresh", "group" };

struct line {
	int64_t at_ms;
	size_t order; /* in the files: breaks ties */
	char *vm;
	char *module;
	char *message;
};

struct lines {
	struct line *items;
	size_t n;
};

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
static void add_line(struct lines *lines, const char *text)
{
	const char *start = strchr(text, '{');
	json_t *root =
		start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
	const char *message =
		json_string_value(json_object_get(root, "message"));
	const char *module = json_string_value(json_object_get(root, "module"));
	const char *vm = json_string_value(json_object_get(root, "vm"));
	struct line *line;

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

static bool read_file(struct lines *lines, const char *path)
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
	const struct line *left = a;
	const struct line *right = b;

	if (left->at_ms != right->at_ms)
		return left->at_ms < right->at_ms ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

static bool is(const char *text, const char *word)
{
	return text && !strcmp(text, word);
}

/* Whether a message has the word NAME=VALUE. */
static bool has_word(const char *message, const char *name, const char *value)
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

/* The value of NAME= in a message, to be freed, or NULL. */
static char *word_of(const char *message, const char *name)
{
	cleanup(free_ptr) char *start = xstrfmt("%s=", name);
	const char *at = strstr(message, start);

	if (!at || (at != message && at[-1] != ' '))
		return NULL;
	at += strlen(start);
	return xmemdup(at, strcspn(at, " "));
}

static void print_belief(const struct line *told, const struct line *at,
			 json_t *out)
{
	double age_s = (double)(at->at_ms - told->at_ms) / 1000;

	if (out)
		json_array_append_new(out,
				      json_pack("{s:s, s:s, s:f, s:s}", "vm",
						told->vm, "believed",
						told->module, "age_s", age_s,
						"message", told->message));
	else
		printf("    %s knew for %.3f s: %s %s\n", told->vm, age_s,
		       told->module, told->message);
}

/*
 * The last line before `at` of the same VM and that module, and with the word
 * NAME=VALUE if a name is given; NULL if there is none.
 */
static const struct line *last_before(const struct lines *lines, size_t at,
				      const char *module, const char *name,
				      const char *value)
{
	const char *vm = lines->items[at].vm;

	while (at--) {
		const struct line *line = &lines->items[at];

		if (is(line->vm, vm) && is(line->module, module) &&
		    (!name || has_word(line->message, name, value)))
			return line;
	}
	return NULL;
}

static void print_beliefs(const struct lines *lines, size_t at, json_t *out)
{
	const struct line *told;
	size_t i;

	for (i = 0; i < sizeof(beliefs) / sizeof(beliefs[0]); i++) {
		told = last_before(lines, at, beliefs[i], NULL, NULL);
		if (told)
			print_belief(told, &lines->items[at], out);
	}
}

/* What the VM had last heard of the server that the line names. */
static void print_server(const struct lines *lines, size_t at, json_t *out)
{
	cleanup(free_ptr) char *server =
		word_of(lines->items[at].message, "server");
	const struct line *told = NULL;

	if (server)
		told = last_before(lines, at, "server", "address", server);
	if (told)
		print_belief(told, &lines->items[at], out);
}

static void print_line(const struct line *line, int64_t first_ms, json_t *out)
{
	double after_s = (double)(line->at_ms - first_ms) / 1000;

	if (out)
		json_array_append_new(out,
				      json_pack("{s:s, s:f, s:s, s:s}", "vm",
						line->vm, "after_s", after_s,
						"module", line->module,
						"message", line->message));
	else
		printf("%9.3f s  %s  %s %s\n", after_s, line->vm, line->module,
		       line->message);
}

/* Number of lines that name the request. */
static size_t tell(const struct lines *lines, const char *id, json_t *out)
{
	const char *vm = NULL;
	int64_t first_ms = 0;
	size_t told = 0;
	size_t i;

	for (i = 0; i < lines->n; i++) {
		const struct line *line = &lines->items[i];

		if (!has_word(line->message, "request", id))
			continue;
		if (!told++)
			first_ms = line->at_ms;
		if (!vm || strcmp(vm, line->vm) != 0)
			print_beliefs(lines, i, out);
		vm = line->vm;
		print_line(line, first_ms, out);
		print_server(lines, i, out);
	}
	return told;
}

static void lines_clear(struct lines *lines)
{
	size_t i;

	for (i = 0; i < lines->n; i++) {
		free(lines->items[i].vm);
		free(lines->items[i].module);
		free(lines->items[i].message);
	}
	free(lines->items);
}

int cli_explain(struct cli *cli, int argc, char **argv)
{
	json_t *out = cli->json ? json_array() : NULL;
	struct lines lines = { 0 };
	int status = 0;
	int i;

	if (argc < 3)
		return cli_fail(cli, RESULT_BAD_REQUEST,
				"explain needs a request's id and log files");
	for (i = 2; i < argc && !status; i++)
		if (!read_file(&lines, argv[i]))
			status = cli_fail(cli, RESULT_NOT_FOUND,
					  "%s can't be read", argv[i]);
	if (lines.n)
		qsort(lines.items, lines.n, sizeof(*lines.items), compare);
	if (!status && !tell(&lines, argv[1], out))
		status = cli_fail(cli, RESULT_NOT_FOUND,
				  "no line names request %s", argv[1]);
	if (!status && out)
		json_dumpf(out, stdout, JSON_INDENT(2));
	json_decref(out);
	lines_clear(&lines);
	return status;
}
