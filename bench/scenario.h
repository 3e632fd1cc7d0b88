#ifndef BENCH_SCENARIO_H
#define BENCH_SCENARIO_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"

/**
 * A scenario file: who sends what to which backend servers, and what fails.
 * The format is described in docs/POLICY-BENCH.md.
 */
#define SCENARIO_NAME_SIZE 64

/** A lognormal distribution, by its median and the sigma of its logarithm. */
struct distribution {
	double median;
	double sigma;
};

struct scenario_servers {
	int64_t count;
	char model[SCENARIO_NAME_SIZE];
	char zone[SCENARIO_NAME_SIZE];
	bool cheap;
	int64_t slots;
	double prefill_tokens_per_s;
	double decode_tokens_per_s; /**< of a full batch */
	int64_t kv_tokens;
};

struct scenario_class {
	char name[SCENARIO_NAME_SIZE];
	int64_t tier;
	double first_token_target_s;
	double inter_token_target_s;
	double deadline_s;
	double min_share;
	int64_t queue_bound;
	bool idempotent;
	bool reclaimable;
};

struct scenario_organisation {
	char name[SCENARIO_NAME_SIZE];
	int64_t max_concurrent;
	int64_t requests_per_min;
	int64_t tokens_per_min;
	double burst_s;
};

struct scenario_traffic {
	char organisation[SCENARIO_NAME_SIZE];
	char class_name[SCENARIO_NAME_SIZE];
	char model[SCENARIO_NAME_SIZE];
	double from_s;
	double until_s;
	double rate_per_s;
	struct distribution prompt_tokens;
	struct distribution output_tokens;
	int64_t max_tokens;
	int64_t prefixes;
	double patience_s;
	bool whole;	 /**< not streamed */
	bool poison;	 /**< crashes the server that runs it */
	double resend_s; /**< sent again so long after a failure */
};

enum fault_kind {
	FAULT_SLOW,
	FAULT_CRASH,
	FAULT_RECOVER,
	FAULT_SILENT,
	FAULT_CUT_ROUTER,
	FAULT_RECLAIM_ZONE
};

struct scenario_fault {
	double at_s;
	enum fault_kind kind;
	int64_t backend_server;
	double factor;
	int64_t router;
	double for_s; /**< of a cut; 0 to the end */
	char zone[SCENARIO_NAME_SIZE];
	double notice_s;
};

struct scenario {
	char name[SCENARIO_NAME_SIZE];
	int64_t seed;
	double duration_s;
	int64_t routers;
	double report_lag_s;
	struct scenario_servers *servers;
	struct scenario_class *classes;
	struct scenario_organisation *organisations;
	struct scenario_traffic *traffic;
	struct scenario_fault *faults;
	int n_servers;
	int n_classes;
	int n_organisations;
	int n_traffic;
	int n_faults;
};

/**
 * Read a scenario file. Errors are reported as FILE:LINE: message, also for
 * a field that isn't known. Returns RESULT_OK or a code of the 700s; on
 * success the caller calls scenario_clear().
 */
enum result scenario_load(struct scenario *scenario, const char *path,
			  const struct error_handler *handler);

void scenario_clear(struct scenario *scenario);

/** Index of a class by name, -1 if there is none. */
int scenario_class_index(const struct scenario *scenario, const char *name);

#endif
