#ifndef FILBERTHALL_DAEMON_TRACE_H
#define FILBERTHALL_DAEMON_TRACE_H

#include <stdint.h>

#include "base/error.h"
#include "base/result.h"
#include "core/effect.h"

/**
 * Spans as OTLP-JSON, one line a span. A full disk or a closed file loses
 * spans, never requests; the losses are counted.
 */
struct trace;

/**
 * Open the file for appending; `path` NULL gives a trace that drops all.
 *
 * @param vm	name of this VM, written with each span
 * @param epoch_us	wall clock minus monotonic clock, in microseconds
 */
enum result trace_open(struct trace **trace, const char *path, const char *vm,
		       int64_t epoch_us, const struct error_handler *handler);

/** Write one span. Called by the core thread only. */
void trace_span(struct trace *trace, const struct effect_span *span);

/** Spans that could not be written. */
int64_t trace_lost(const struct trace *trace);

void trace_close(struct trace *trace);

#endif
