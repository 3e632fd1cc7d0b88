#ifndef BENCH_LOAD_H
#define BENCH_LOAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "bench/client.h"
#include "bench/profile.h"
#include "bench/tally.h"
#include "fakes/loop.h"

/** How load is sent. */
struct load_options {
	char **targets;
	int64_t n_targets;
	char *profile;
	double rate;	    /**< factor on the rates of all classes */
	double seconds;	    /**< send for so long; 0 for no end */
	double warm_up;	    /**< seconds that don't count, within these */
	int64_t requests;   /**< send so many; 0 for no end */
	int64_t streams;    /**< closed loop with so many open; 0: open loop */
	int64_t timeout_ms; /**< for an answer */
	uint64_t seed;
	bool json;
	bool quiet;
};

/**
 * The load that is being sent. In the open loop arrivals come by a Poisson
 * process for each class, whether or not answers come; a duration counts
 * from the planned arrival, so that a stall shows in all that it held up.
 */
struct load {
	const struct load_options *options;
	struct profile profile;
	struct loop loop;
	struct client client;
	struct rng rng;
	struct list tallies;  /**< struct tally */
	struct list arrivals; /**< struct load_arrival */
	struct list requests; /**< struct load_request, open */
	struct loop_timer progress_timer;
	struct loop_timer end_timer;
	int64_t start_us;
	int64_t sent;
	int64_t open;
	double share_sum;
	double rate_sum;
	bool stopping; /**< send no more */
};

/** Read the profile and set up; false (and a message) if it can't be. */
bool load_init(struct load *load, const struct load_options *options);

/** Send all and wait for the answers. */
void load_run(struct load *load);

/** Print the result; how many answers were lost, torn, doubled or crossed. */
int64_t load_report(const struct load *load);

void load_clear(struct load *load);

#endif
