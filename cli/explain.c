/*
 * A request's story out of the logs of several VMs: each line that names it,
 * in order, and before the first line of a VM what that VM believed then and
 * how old that was.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "cli/cli.h"
#include "cli/log_lines.h"
#include "cli/options.h"

/* What a VM may believe, by the module that logs it. */
static const char *const beliefs[] = { "document", "fresh", "group" };

static bool is(const char *text, const char *word)
{
	return text && !strcmp(text, word);
}

static void print_belief(const struct log_line *told, const struct log_line *at,
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
static const struct log_line *last_before(const struct log_lines *lines,
					  size_t at, const char *module,
					  const char *name, const char *value)
{
	const char *vm = lines->items[at].vm;

	while (at--) {
		const struct log_line *line = &lines->items[at];

		if (is(line->vm, vm) && is(line->module, module) &&
		    (!name || log_has_word(line->message, name, value)))
			return line;
	}
	return NULL;
}

static void print_beliefs(const struct log_lines *lines, size_t at, json_t *out)
{
	const struct log_line *told;
	size_t i;

	for (i = 0; i < sizeof(beliefs) / sizeof(beliefs[0]); i++) {
		told = last_before(lines, at, beliefs[i], NULL, NULL);
		if (told)
			print_belief(told, &lines->items[at], out);
	}
}

/* What the VM had last heard of the server that the line names. */
static void print_server(const struct log_lines *lines, size_t at, json_t *out)
{
	cleanup(free_ptr) char *server =
		log_word(lines->items[at].message, "server");
	const struct log_line *told = NULL;

	if (server)
		told = last_before(lines, at, "server", "address", server);
	if (told)
		print_belief(told, &lines->items[at], out);
}

static void print_line(const struct log_line *line, int64_t first_ms,
		       json_t *out)
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

/*
 * A VM that ends in the middle of a request logs nothing of it: the story just
 * stops. When it was last heard before and next after that tells that it was
 * the VM, not the request.
 */
static void print_silence(const struct log_lines *lines, size_t last,
			  int64_t first_ms, json_t *out)
{
	const struct log_line *line = &lines->items[last];
	const struct log_line *before = line;
	const struct log_line *after = NULL;
	size_t i;

	if (log_has_word(line->message, "event", "ended") ||
	    log_has_word(line->message, "event", "refused"))
		return;
	for (i = last + 1; i < lines->n && !after; i++) {
		if (!is(lines->items[i].vm, line->vm))
			continue;
		if (log_has_word(lines->items[i].message, "event", "start"))
			after = &lines->items[i];
		else
			before = &lines->items[i];
	}
	if (out)
		json_array_append_new(
			out,
			json_pack("{s:s, s:b, s:f}", "vm", line->vm,
				  "started_anew", after != NULL, "last_heard_s",
				  (double)(before->at_ms - first_ms) / 1000));
	else if (after)
		printf("%9.3f s  %s  logged last; it started anew at %.3f s, "
		       "and no end of the request is logged\n",
		       (double)(before->at_ms - first_ms) / 1000, line->vm,
		       (double)(after->at_ms - first_ms) / 1000);
	else
		printf("%9.3f s  %s  logged last; no end of the request is "
		       "logged\n",
		       (double)(before->at_ms - first_ms) / 1000, line->vm);
}

/* Number of lines that name the request. */
static size_t tell(const struct log_lines *lines, const char *id, json_t *out)
{
	const char *vm = NULL;
	int64_t first_ms = 0;
	size_t told = 0;
	size_t last = 0;
	size_t i;

	for (i = 0; i < lines->n; i++) {
		const struct log_line *line = &lines->items[i];

		if (!log_has_word(line->message, "request", id))
			continue;
		if (!told++)
			first_ms = line->at_ms;
		if (!vm || strcmp(vm, line->vm) != 0)
			print_beliefs(lines, i, out);
		vm = line->vm;
		print_line(line, first_ms, out);
		print_server(lines, i, out);
		last = i;
	}
	if (told)
		print_silence(lines, last, first_ms, out);
	return told;
}

static const char *const explain_names[] = { "request", NULL };

static const struct option_set explain_options = {
	.usage = "REQUEST FILE...",
	.summary = "tell a request's story from log files",
	.positional = explain_names,
};

int cli_explain(struct cli *cli, int argc, char **argv)
{
	json_t *args = options_read_rest(&explain_options, "files", argc, argv);
	cleanup(free_ptr) char *id = options_take_text(args, "request");
	const json_t *files = json_object_get(args, "files");
	json_t *out = cli->json ? json_array() : NULL;
	struct log_lines lines = { 0 };
	int status = 0;

	if (!id || !files)
		status = cli_fail(cli, RESULT_BAD_REQUEST,
				  "explain needs a request's id and log files");
	if (!status)
		status = log_lines_read_all(cli, &lines, files);
	if (!status && !tell(&lines, id, out))
		status = cli_fail(cli, RESULT_NOT_FOUND,
				  "no line names request %s", id);
	if (!status && out)
		json_dumpf(out, stdout, JSON_INDENT(2));
	json_decref(out);
	json_decref(args);
	log_lines_clear(&lines);
	return status;
}
