#ifndef TESTS_CONTROL_STARVED_H
#define TESTS_CONTROL_STARVED_H

#include "entries.h"

/**
 * Urgent requests that get nothing while larger ones that can wait begin at the
 * same service, counted over all VMs.
 */

#define STARVED_SPAN_US INT64_C(5000000)

/** Until VMs know how long requests take and how full servers are. */
#define STARVED_SETTLES_US INT64_C(5000000)

/** Requests a second of each kind, and where they come in. */
struct starved_load {
	double small;
	double large;
	int busy;     /**< VM that gets most of them */
	double share; /**< that it gets beside its part of the rest */
	struct rng rng;
	double due_small;
	double due_large;
};

/** VMs and servers that have few slots and a short queue. */
struct entries *starved_new(int n_vms, int n_servers);

/** Two loads at the same time; `other` may be NULL. */
void starved_play(struct entries *entries, struct starved_load *load,
		  struct starved_load *other, int64_t us);

/** Requests of a span of time, at all VMs. */
struct starved_span {
	int64_t from_us;
	int urgent;  /**< urgent ones that were asked */
	int nothing; /**< of these, that no server began */
	int late;    /**< and that began after their target, if at all */
	int larger;  /**< less urgent ones of over twice the size that began */
};

/** Whether one in so many urgent requests may get nothing, or be late. */
#define STARVED_SHARE 12

/** Whether the urgent ones of the span were passed over. */
bool starved_in(const struct starved_span *span);

/** Most that were late in a span that begins after `from_us` and is over. */
int starved_most_late(const struct entries *entries, int64_t from_us);

/** Larger ones that began in the span that begins then. */
int starved_larger(const struct entries *entries, int64_t from_us);

/** The worst span that begins after `from_us` and is over. */
struct starved_span starved_worst(const struct entries *entries,
				  int64_t from_us);

/**
 * Fails if urgent requests were passed over in a span that began later than
 * that; frees `entries`.
 */
void starved_check(struct entries *entries, int64_t from_us);

#endif
