/*
 * What became of an hour's requests, out of the logs of several VMs: by class,
 * by time and by server, how many came in time, and what kept the others from
 * it. `explain` tells one request's story; this finds the seconds, classes and
 * servers whose requests are worth explaining.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/list.h"
#include "cli/log_lines.h"
#include "cli/options.h"

#define TALLY_EVERY_S 2

static const struct option_row tally_rows[] = {
	{ "every", "every", OPTION_NUMBER, "SECONDS",
	  "length of a step of time; 2" },
	{ "by", "by", OPTION_TEXT, "class|time|server",
	  "only this table; all three" },
	{ 0 }
};

static const struct option_set tally_options = {
	.usage = "FILE...",
	.summary = "what became of requests, by class, time and server",
	.rows = tally_rows,
};

/** Requests of one class, step of time or server. */
struct tally_row {
	struct list node;
	char *name;
	int64_t asked;
	int64_t in_time;
	int64_t late_first; /**< served, first piece after its goal */
	int64_t late_pause; /**< served, but stood still for too long */
	int64_t again;	    /**< of those late, sent to another server first */
	int64_t refused;    /**< surely not run */
	int64_t failed;
	int64_t left; /**< the caller went */
};

/** What one line says of a request that has ended. */
struct tally_end {
	const char *code;
	bool attained;
	bool ran;
	int64_t attempts;
	int64_t pause_ms;
	int64_t allowed_ms; /**< longest pause of its class, 0 for any */
};

struct tally {
	struct list classes;
	struct list times;
	struct list servers;
	int64_t start_ms;
	int64_t every_ms;
};

static struct tally_row *row_of(struct list *rows, const char *name)
{
	struct tally_row *row;

	list_foreach(row, rows, node)
		if (!strcmp(row->name, name))
			return row;
	row = xcalloc(1, sizeof(*row));
	row->name = xstrdup(name);
	list_append(rows, &row->node);
	return row;
}

static void rows_clear(struct list *rows)
{
	struct tally_row *row;
	struct tally_row *next;

	list_foreach_safe(row, next, rows, node) {
		free(row->name);
		free(row);
	}
}

/* A class is named after its tier and goals: t4-g1200-p250. */
static int64_t class_figure(const char *class_name, const char *mark,
			    int64_t none)
{
	const char *at = strstr(class_name, mark);

	return at ? strtoll(at + strlen(mark), NULL, 10) : none;
}

static void count(struct tally_row *row, const struct tally_end *end)
{
	bool late = false;

	row->asked++;
	if (!strcmp(end->code, "CALLER_LEFT")) {
		row->left++;
	} else if (strcmp(end->code, "OK") != 0) {
		row->failed += end->ran;
		row->refused += !end->ran;
	} else if (end->attained) {
		row->in_time++;
	} else if (end->allowed_ms && end->pause_ms > end->allowed_ms) {
		row->late_pause++;
		late = true;
	} else {
		row->late_first++;
		late = true;
	}
	row->again += late && end->attempts > 1;
}

static void count_ended(struct tally *tally, const struct log_line *line)
{
	cleanup(free_ptr) char *class_name = log_word(line->message, "class");
	cleanup(free_ptr) char *server = log_word(line->message, "server");
	cleanup(free_ptr) char *code = log_word(line->message, "code");
	cleanup(free_ptr) char *run = log_word(line->message, "run");
	int64_t began_ms =
		line->at_ms - log_number(line->message, "took_ms", 0);
	struct tally_end end = {
		.code = code,
		.ran = run && strcmp(run, "not-run") != 0,
		.attained = log_number(line->message, "attained", 0) != 0,
		.attempts = log_number(line->message, "attempts", 0),
		.pause_ms = log_number(line->message, "pause_ms", 0),
	};
	char step[32];

	if (!class_name || !server || !code)
		return;
	end.allowed_ms = class_figure(class_name, "-p", 0);
	if (!tally->start_ms)
		tally->start_ms = began_ms;
	snprintf(step, sizeof(step), "%lld",
		 (long long)((began_ms - tally->start_ms) / tally->every_ms *
			     tally->every_ms / 1000));
	count(row_of(&tally->classes, class_name), &end);
	count(row_of(&tally->times, step), &end);
	count(row_of(&tally->servers, server), &end);
}

/* Refused before any class was known: by the document, or while stopping. */
static void count_refused(struct tally *tally, const struct log_line *line)
{
	cleanup(free_ptr) char *code = log_word(line->message, "code");
	struct tally_row *row;

	if (!code)
		return;
	row = row_of(&tally->classes, code);
	row->asked++;
	row->refused++;
}

static json_t *rows_json(const struct list *rows, const char *title)
{
	json_t *all = json_array();
	const struct tally_row *row;

	list_foreach(row, rows, node)
		json_array_append_new(
			all,
			json_pack("{s:s, s:I, s:I, s:I, s:I, s:I, s:I, s:I, "
				  "s:I}",
				  title, row->name, "asked",
				  (json_int_t)row->asked, "in_time",
				  (json_int_t)row->in_time, "late_first",
				  (json_int_t)row->late_first, "late_pause",
				  (json_int_t)row->late_pause, "again",
				  (json_int_t)row->again, "refused",
				  (json_int_t)row->refused, "failed",
				  (json_int_t)row->failed, "left",
				  (json_int_t)row->left));
	return all;
}

static void print_table(const json_t *rows, const char *title)
{
	const struct cli_column columns[] = { { title, title },
					      { "asked", "asked" },
					      { "in_time", "in time" },
					      { "late_first", "late first" },
					      { "late_pause", "stood still" },
					      { "again", "sent again" },
					      { "refused", "refused" },
					      { "failed", "failed" },
					      { "left", "caller left" },
					      { 0 } };

	cli_print_table(rows, columns);
}

static void print_tally(const struct cli *cli, const struct tally *tally,
			const char *by)
{
	const struct {
		const char *title;
		const struct list *rows;
	} tables[] = {
		{ "class", &tally->classes },
		{ "time", &tally->times },
		{ "server", &tally->servers },
	};
	json_t *all = json_object();
	size_t i;

	for (i = 0; i < sizeof(tables) / sizeof(tables[0]); i++) {
		json_t *rows;

		if (by && strcmp(by, tables[i].title) != 0)
			continue;
		rows = rows_json(tables[i].rows, tables[i].title);
		if (!cli->json)
			print_table(rows, tables[i].title);
		json_object_set_new(all, tables[i].title, rows);
	}
	if (cli->json)
		json_dumpf(all, stdout, JSON_INDENT(2));
	json_decref(all);
}

static void count_all(struct tally *tally, const struct log_lines *lines)
{
	size_t i;

	for (i = 0; i < lines->n; i++) {
		const struct log_line *line = &lines->items[i];

		if (strcmp(line->module, "request") != 0)
			continue;
		if (log_has_word(line->message, "event", "ended"))
			count_ended(tally, line);
		else if (log_has_word(line->message, "event", "refused"))
			count_refused(tally, line);
	}
}

int cli_tally(struct cli *cli, int argc, char **argv)
{
	json_t *args = options_read_rest(&tally_options, "files", argc, argv);
	cleanup(free_ptr) char *by = options_take_text(args, "by");
	double every_s = json_number_value(json_object_get(args, "every"));
	struct tally tally = { .every_ms = TALLY_EVERY_S * 1000 };
	struct log_lines lines = { 0 };
	const json_t *files = json_object_get(args, "files");
	int status = 0;

	if (!files)
		status = cli_fail(cli, RESULT_BAD_REQUEST,
				  "tally needs log files");
	if (every_s >= 1)
		tally.every_ms = (int64_t)every_s * 1000;
	list_init(&tally.classes);
	list_init(&tally.times);
	list_init(&tally.servers);
	if (!status)
		status = log_lines_read_all(cli, &lines, files);
	count_all(&tally, &lines);
	if (!status)
		print_tally(cli, &tally, by);
	rows_clear(&tally.classes);
	rows_clear(&tally.times);
	rows_clear(&tally.servers);
	log_lines_clear(&lines);
	json_decref(args);
	return status;
}
