#ifndef FILBERTHALL_CORE_DEMAND_H
#define FILBERTHALL_CORE_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/list.h"
#include "base/map.h"
#include "base/result.h"
#include "core/rule.h"
#include "load/router.h"

/**
 * Demand of all daemons, summed up by the lease holder, and the requests that
 * each team had served. Each daemon sends its own figures every two seconds. A
 * daemon's figures expire after DEMAND_TTL_US, so that the demand of one that
 * failed doesn't influence the plan any more.
 */
#define DEMAND_TTL_US INT64_C(6000000)

struct demand;

/** Sum over daemons for one pool. */
struct demand_sum {
	char pool[RULE_NAME_SIZE];
	bool is_service;
	double by_tier[RULE_TIERS];
	double reclaimable;
};

struct demand *demand_new(void);
void demand_free(struct demand *demand);

/** Count a request of a team that ended on this daemon. */
void demand_count_request(struct demand *demand, const char *team,
			  bool attained);

/**
 * Write a message with this daemon's pools and its teams' counts since the
 * last call.
 */
void demand_write(struct demand *demand, const struct router *router,
		  struct bytes *out);

/**
 * Process another daemon's message. `served` is called with each team's
 * requests and how many of them attained their targets.
 *
 * Returns RESULT_OK or RESULT_MESSAGE_MALFORMED (no state changes).
 */
enum result demand_read(struct demand *demand, uint64_t member,
			const char *data, size_t len, int64_t now_us,
			void (*served)(void *data, const char *team,
				       int64_t requests, int64_t attained),
			void *served_data);

/** Call `visit` for each pool in a report that hasn't expired. */
void demand_visit(struct demand *demand, int64_t now_us,
		  void (*visit)(void *data, const struct demand_sum *sum),
		  void *data);

#endif
