#ifndef FILBERTHALL_CORE_METRICS_H
#define FILBERTHALL_CORE_METRICS_H

#include <jansson.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/map.h"
#include "base/result.h"
#include "core/rule.h"
#include "load/router.h"

/**
 * This daemon's counters of request results, by class and by organisation.
 * Cardinality is bounded: classes are few, and of the organisations only the
 * worst served is exported to Prometheus, since 4,500 of them times the
 * counters would make each scrape megabytes long.
 */
#define METRICS_CODES 64
#define METRICS_FIRST_TOKEN_BUCKETS 12

struct metrics_class {
	struct map_node node;
	char name[RULE_NAME_SIZE];
	int tier;
	int64_t offered;
	int64_t served;
	int64_t attained;
	int64_t refused;
	int64_t expired;
	int64_t cut;
	int64_t output_tokens;
	int64_t goodput_tokens; /**< of requests that attained all targets */
	int64_t wasted_tokens;
	int64_t first_token[METRICS_FIRST_TOKEN_BUCKETS + 1];
	int64_t first_token_sum_us;
};

struct metrics_organisation {
	struct map_node node;
	char name[RULE_NAME_SIZE];
	int64_t offered;
	int64_t attained;
};

struct metrics_code {
	enum result code;
	int64_t count;
};

struct metrics {
	struct map classes;
	struct map organisations;
	struct metrics_code codes[METRICS_CODES];
	int n_codes;
};

struct metrics *metrics_new(void);
void metrics_free(struct metrics *metrics);

/** Count how a request ended. `class_name` and the like may be NULL. */
void metrics_count(struct metrics *metrics,
		   const struct router_outcome *outcome);

/** Count a request refused before it reached the router. */
void metrics_count_refusal(struct metrics *metrics, const char *class_name,
			   const char *organisation, enum result code);

/** The organisation with the lowest attainment, or NULL. */
const struct metrics_organisation *
metrics_worst_organisation(const struct metrics *metrics);

/** Append the metrics in Prometheus' text format. */
void metrics_write(const struct metrics *metrics, struct bytes *out);

/** The class's counters, or NULL. */
const struct metrics_class *metrics_class(const struct metrics *metrics,
					  const char *name);

#endif
