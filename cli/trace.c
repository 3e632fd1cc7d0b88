#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "cli/verb.h"

/*
 * Spans of a trace file (OTLP-JSON, a line each) as a waterfall: one row a
 * span, in order of start, a bar for when it ran.
 */

#define TRACE_BAR_WIDTH 60
#define TRACE_SVG_WIDTH 900
#define TRACE_SVG_ROW 22
#define TRACE_SVG_LEFT 260

struct span {
	char trace_id[33];
	char id[17];
	char parent[17];
	char name[32];
	char vm[64];
	char detail[80];
	char request[24];
	char result[32];
	double start_ms;
	double end_ms;
};

struct spans {
	struct span *items;
	size_t n;
	double start_ms;
	double end_ms;
};

static const struct option_row trace_rows[] = {
	{ "request", "request", OPTION_TEXT, "ID",
	  "only this request (its number, or its trace id)" },
	{ "svg", "svg", OPTION_TEXT, "FILE", "draw it as SVG, too" },
	{ 0 }
};

static const char *const trace_names[] = { "file", NULL };

static void trace_copy(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

static const char *trace_attribute(const json_t *root, const char *key)
{
	json_t *row;
	size_t i;

	json_array_foreach(json_object_get(root, "attributes"), i, row) {
		const char *name =
			json_string_value(json_object_get(row, "key"));

		if (name && !strcmp(name, key))
			return json_string_value(
				json_object_get(json_object_get(row, "value"),
						"stringValue"));
	}
	return NULL;
}

static double trace_ms(const json_t *root, const char *key)
{
	const char *text = json_string_value(json_object_get(root, key));

	return text ? strtod(text, NULL) / 1e6 : 0;
}

static bool trace_read_span(struct span *span, const char *line, size_t len)
{
	json_t *root = json_loadb(line, len, 0, NULL);
	bool good;

	memset(span, 0, sizeof(*span));
	trace_copy(span->trace_id, sizeof(span->trace_id),
		   json_string_value(json_object_get(root, "traceId")));
	trace_copy(span->id, sizeof(span->id),
		   json_string_value(json_object_get(root, "spanId")));
	trace_copy(span->parent, sizeof(span->parent),
		   json_string_value(json_object_get(root, "parentSpanId")));
	trace_copy(span->name, sizeof(span->name),
		   json_string_value(json_object_get(root, "name")));
	trace_copy(span->vm, sizeof(span->vm), trace_attribute(root, "vm"));
	trace_copy(span->detail, sizeof(span->detail),
		   trace_attribute(root, "detail"));
	trace_copy(span->request, sizeof(span->request),
		   trace_attribute(root, "request"));
	trace_copy(span->result, sizeof(span->result),
		   trace_attribute(root, "result"));
	span->start_ms = trace_ms(root, "startTimeUnixNano");
	span->end_ms = trace_ms(root, "endTimeUnixNano");
	good = json_is_object(root) && span->trace_id[0];
	json_decref(root);
	return good;
}

static void trace_add(struct spans *spans, const struct span *span)
{
	spans->items =
		xrealloc(spans->items, (spans->n + 1) * sizeof(*spans->items));
	if (!spans->n || span->start_ms < spans->start_ms)
		spans->start_ms = span->start_ms;
	if (!spans->n || span->end_ms > spans->end_ms)
		spans->end_ms = span->end_ms;
	spans->items[spans->n++] = *span;
}

static int trace_compare(const void *a, const void *b)
{
	const struct span *first = a;
	const struct span *second = b;

	if (first->start_ms != second->start_ms)
		return first->start_ms < second->start_ms ? -1 : 1;
	return (first->end_ms < second->end_ms) -
	       (first->end_ms > second->end_ms);
}

static int trace_read(struct cli *cli, const char *path, const char *request,
		      struct spans *spans)
{
	cleanup(free_ptr) char *line = NULL;
	FILE *file = fopen(path, "re");
	size_t size = 0;
	ssize_t len;
	long number = 0;

	if (!file)
		return cli_fail(cli, RESULT_BAD_REQUEST, "%s: can't be opened",
				path);
	while ((len = getline(&line, &size, file)) > 0) {
		struct span span;

		number++;
		if (!trace_read_span(&span, line, (size_t)len))
			fprintf(stderr, "%s: %s:%ld: not a span, passed over\n",
				cli->program, path, number);
		else if (!request || !strcmp(request, span.request) ||
			 !strcmp(request, span.trace_id))
			trace_add(spans, &span);
	}
	fclose(file);
	if (spans->n)
		qsort(spans->items, spans->n, sizeof(*spans->items),
		      trace_compare);
	return 0;
}

static int trace_column(const struct spans *spans, double at_ms, int width)
{
	double whole = spans->end_ms - spans->start_ms;

	if (whole <= 0)
		return 0;
	return (int)((at_ms - spans->start_ms) / whole * (width - 1));
}

static void trace_draw_row(const struct spans *spans, const struct span *span)
{
	char bar[TRACE_BAR_WIDTH + 1];
	int from = trace_column(spans, span->start_ms, TRACE_BAR_WIDTH);
	int to = trace_column(spans, span->end_ms, TRACE_BAR_WIDTH);

	memset(bar, ' ', TRACE_BAR_WIDTH);
	bar[TRACE_BAR_WIDTH] = '\0';
	memset(bar + from, '#', to - from + 1);
	printf("%-12s %-9s|%s| %9.2f ms  %s %s\n", span->vm, span->name, bar,
	       span->end_ms - span->start_ms, span->result, span->detail);
}

static void trace_draw(const struct spans *spans)
{
	size_t i;

	for (i = 0; i < spans->n; i++) {
		if (!i || strcmp(spans->items[i].trace_id,
				 spans->items[i - 1].trace_id))
			printf("trace %s, request %s\n",
			       spans->items[i].trace_id,
			       spans->items[i].request);
		trace_draw_row(spans, &spans->items[i]);
	}
}

static void trace_svg_row(FILE *out, const struct spans *spans,
			  const struct span *span, size_t row)
{
	int width = TRACE_SVG_WIDTH - TRACE_SVG_LEFT - 10;
	int from = trace_column(spans, span->start_ms, width);
	int to = trace_column(spans, span->end_ms, width);
	size_t y = (row + 1) * TRACE_SVG_ROW;

	fprintf(out,
		"<text x=\"6\" y=\"%zu\">%s %s</text>"
		"<rect x=\"%d\" y=\"%zu\" width=\"%d\" height=\"14\" "
		"fill=\"%s\"><title>%.2f ms %s %s</title></rect>\n",
		y, span->vm, span->name, TRACE_SVG_LEFT + from, y - 11,
		to > from ? to - from : 1,
		strcmp(span->result, "OK") ? "#b33" : "#37a",
		span->end_ms - span->start_ms, span->result, span->detail);
}

static int trace_svg(struct cli *cli, const char *path,
		     const struct spans *spans)
{
	FILE *out = fopen(path, "we");
	size_t i;

	if (!out)
		return cli_fail(cli, RESULT_BAD_REQUEST, "%s: can't be written",
				path);
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%zu\" font-family=\"sans-serif\" "
		"font-size=\"12\">\n",
		TRACE_SVG_WIDTH, (spans->n + 2) * TRACE_SVG_ROW);
	for (i = 0; i < spans->n; i++)
		trace_svg_row(out, spans, &spans->items[i], i);
	fprintf(out, "<text x=\"%d\" y=\"%zu\">%.2f ms in all</text></svg>\n",
		TRACE_SVG_LEFT, (spans->n + 1) * TRACE_SVG_ROW,
		spans->end_ms - spans->start_ms);
	fclose(out);
	return 0;
}

int cli_trace(struct cli *cli, int argc, char **argv)
{
	static const struct option_set set = { "FILE",
					       "draw spans as a waterfall",
					       trace_rows, trace_names, 1 };
	json_t *args = options_read(&set, argc, argv);
	cleanup(free_ptr) char *path = options_take_text(args, "file");
	cleanup(free_ptr) char *request = options_take_text(args, "request");
	cleanup(free_ptr) char *svg = options_take_text(args, "svg");
	struct spans spans = { 0 };
	int status;

	json_decref(args);
	status = trace_read(cli, path, request, &spans);
	if (!status && !spans.n)
		status = cli_fail(cli, RESULT_NOT_FOUND, "no such spans");
	if (!status)
		trace_draw(&spans);
	if (!status && svg)
		status = trace_svg(cli, svg, &spans);
	free(spans.items);
	return status;
}
