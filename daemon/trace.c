#include "daemon/trace.h"

#include <errno.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/* Fields of a traceparent: "00-TRACE-SPAN-FLAGS". */
#define TRACE_ID_AT 3
#define TRACE_ID_LEN 32
#define TRACE_SPAN_AT 36
#define TRACE_SPAN_LEN 16
#define TRACE_PARENT_LEN 55

struct trace {
	FILE *file;
	char *vm;
	int64_t epoch_us;
	int64_t lost;
};

enum result trace_open(struct trace **trace, const char *path, const char *vm,
		       int64_t epoch_us, const struct error_handler *handler)
{
	struct trace *opened = xcalloc(1, sizeof(*opened));

	opened->epoch_us = epoch_us;
	if (path) {
		opened->file = fopen(path, "ae");
		if (!opened->file) {
			free(opened);
			return error_report(handler, RESULT_SETTING_VALUE,
					    "trace_file %s: %s", path,
					    strerror(errno));
		}
	}
	opened->vm = xstrdup(vm);
	*trace = opened;
	return RESULT_OK;
}

static json_t *trace_attribute(const char *key, const char *value)
{
	return json_pack("{s:s, s:{s:s}}", "key", key, "value", "stringValue",
			 value);
}

static json_t *trace_attributes(const struct trace *trace,
				const struct effect_span *span)
{
	json_t *list = json_array();
	char id[24];

	snprintf(id, sizeof(id), "%" PRIu64, span->id);
	json_array_append_new(list, trace_attribute("request", id));
	json_array_append_new(list, trace_attribute("vm", trace->vm));
	json_array_append_new(
		list, trace_attribute("result",
				      result_name((enum result)span->code)));
	if (span->detail)
		json_array_append_new(list,
				      trace_attribute("detail", span->detail));
	return list;
}

static json_t *trace_nanos(const struct trace *trace, int64_t at_us)
{
	char text[32];

	snprintf(text, sizeof(text), "%" PRId64 "000", at_us + trace->epoch_us);
	return json_string(text);
}

static json_t *trace_encode(const struct trace *trace,
			    const struct effect_span *span)
{
	json_t *root = json_object();

	json_object_set_new(root, "traceId",
			    json_stringn(span->trace + TRACE_ID_AT,
					 TRACE_ID_LEN));
	json_object_set_new(root, "spanId",
			    json_stringn(span->trace + TRACE_SPAN_AT,
					 TRACE_SPAN_LEN));
	if (span->parent && *span->parent)
		json_object_set_new(root, "parentSpanId",
				    json_string(span->parent));
	json_object_set_new(root, "name", json_string(span->name));
	json_object_set_new(root, "startTimeUnixNano",
			    trace_nanos(trace, span->start_us));
	json_object_set_new(root, "endTimeUnixNano",
			    trace_nanos(trace, span->end_us));
	json_object_set_new(root, "status",
			    json_pack("{s:i}", "code", span->code ? 2 : 1));
	json_object_set_new(root, "attributes", trace_attributes(trace, span));
	return root;
}

void trace_span(struct trace *trace, const struct effect_span *span)
{
	json_t *root;
	int failed;

	if (!trace->file)
		return;
	if (!span->trace || strlen(span->trace) < TRACE_PARENT_LEN) {
		trace->lost++;
		return;
	}
	root = trace_encode(trace, span);
	failed = json_dumpf(root, trace->file, JSON_COMPACT) ||
		 fputc('\n', trace->file) == EOF || fflush(trace->file);
	if (failed) {
		trace->lost++;
		clearerr(trace->file);
	}
	json_decref(root);
}

int64_t trace_lost(const struct trace *trace)
{
	return trace->lost;
}

void trace_close(struct trace *trace)
{
	if (!trace)
		return;
	if (trace->file)
		fclose(trace->file);
	free(trace->vm);
	free(trace);
}
