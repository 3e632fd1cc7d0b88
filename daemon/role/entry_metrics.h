#ifndef DAEMON_ENTRY_METRICS_H
#define DAEMON_ENTRY_METRICS_H

#include "base/bytes.h"
#include "entry/entry.h"

/** Metrics of an entry VM, as text that is appended to `out`. */

/** Times in ms, with cumulative buckets under that name. */
void entry_metrics_histogram(struct bytes *out, const char *name,
			     const struct entry_histogram *histogram);

/** Copies of the document that were requested and received. */
void entry_metrics_documents(struct bytes *out,
			     const struct entry_documents *documents);

#endif
