#include "daemon/role/entry_metrics.h"

#include <inttypes.h>

void entry_metrics_histogram(struct bytes *out, const char *name,
			     const struct entry_histogram *histogram)
{
	int64_t bound = ENTRY_FIRST_BUCKET_MS;
	int64_t below = 0;
	int i;

	for (i = 0; i < ENTRY_BUCKETS - 1; i++, bound *= 2) {
		below += histogram->buckets[i];
		bytes_append_format(out,
				    "%s_bucket{le=\"%" PRId64 "\"} %" PRId64
				    "\n",
				    name, bound, below);
	}
	bytes_append_format(out,
			    "%s_bucket{le=\"+Inf\"} %" PRId64
			    "\n%s_count %" PRId64 "\n%s_sum %" PRId64 "\n",
			    name, histogram->count, name, histogram->count,
			    name, histogram->sum_ms);
}

void entry_metrics_documents(struct bytes *out,
			     const struct entry_documents *documents)
{
	bytes_append_format(out,
			    "filberthall_document_fetches_total %" PRId64
			    "\nfilberthall_documents_received_total %" PRId64
			    "\nfilberthall_documents_unused_total %" PRId64
			    "\nfilberthall_document_bytes_total %" PRId64 "\n",
			    documents->requested, documents->received,
			    documents->unused, documents->bytes);
}
