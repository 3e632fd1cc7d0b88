#ifndef FILBERTHALL_LOAD_SCHED_H
#define FILBERTHALL_LOAD_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/map.h"
#include "load/heap.h"

/**
 * Order of service among the requests that wait for one kind of backend
 * server: tiers strictly, within a tier organisations by the work that they
 * have had (start-time fair queueing), within an organisation by due time.
 *
 * Load pattern: one organisation, or one class, sends ten times what the
 * servers can do. In arrival order everybody then waits behind the burst:
 * the top tier misses its targets, and organisations that send little are
 * served in proportion to how little they send.
 *
 * Fairness is by estimated work (tokens), not by requests, as one long
 * critique costs as much as fifty captions; sched_settle() trues the
 * estimate up when the answer has ended. An organisation that was idle
 * starts at the present virtual time: it can't save up claims.
 *
 * Every operation is O(log n) in organisations and in requests of one
 * organisation, whatever else waits.
 *
 * Minimum shares of classes are load/floor.h; it asks for the head of one
 * class.
 */

/**
 * Steps of urgency, 0 first. Operators' classes use the first four; an entry
 * VM puts an organisation's rank before the route's, four by four.
 */
#define SCHED_TIERS 16
#define SCHED_CLASSES 256 /**< ids of classes are below this */

struct sched_lane;
struct sched_flow;

/** A waiting request; part of the caller's struct. */
struct sched_entry {
	struct heap_node node;
	struct list order;	 /**< of arrival, within the lane */
	struct sched_lane *lane; /**< NULL while not waiting */
	uint64_t organisation;
	int64_t due_us;
	uint64_t sequence; /**< breaks ties; unique */
	double cost;	   /**< estimated work, tokens */
};

struct sched_tier {
	struct heap flows;
	double time; /**< virtual */
	size_t n;
	double cost; /**< of all that waits */
};

struct sched_class {
	int tier;
	struct heap lanes;     /**< by virtual time */
	struct heap by_length; /**< most entries first */
	double time;
	size_t n;
	double cost;
};

struct sched {
	struct map flows; /**< by organisation and tier */
	struct sched_tier tiers[SCHED_TIERS];
	struct sched_class classes[SCHED_CLASSES];
	size_t n;
};

void sched_init(struct sched *sched);

/** Free own memory; entries still waiting belong to the caller. */
void sched_clear(struct sched *sched);

/** Put a class into a tier; what waits in it moves along. */
void sched_set_class(struct sched *sched, int class_id, int tier);

/** Let an entry wait; due_us, sequence and cost are set by the caller. */
void sched_push(struct sched *sched, struct sched_entry *entry, int class_id,
		uint64_t organisation);

/** Take an entry out without serving it; harmless if it doesn't wait. */
void sched_remove(struct sched *sched, struct sched_entry *entry);

/** The next to be served of all tiers up to `lowest_tier`, or NULL. */
struct sched_entry *sched_next(const struct sched *sched, int lowest_tier);

/** The next to be served of one class, or NULL. */
struct sched_entry *sched_next_of_class(const struct sched *sched,
					int class_id);

/** Serve an entry: take it out and charge its organisation. */
void sched_serve(struct sched *sched, struct sched_entry *entry);

/** True up what an organisation was charged by `delta` tokens. */
void sched_settle(struct sched *sched, uint64_t organisation, int tier,
		  double delta);

/** The newest entry of the organisation with most entries in a class. */
struct sched_entry *sched_newest_of_longest(const struct sched *sched,
					    int class_id);

/** Entries that the same organisation has waiting in the entry's class. */
size_t sched_lane_length(const struct sched_entry *entry);

/** Class and tier of a waiting entry. */
int sched_class_of(const struct sched_entry *entry);
int sched_tier_of(const struct sched_entry *entry);

/**
 * Estimated work that a new request of this organisation would wait for:
 * all of the higher tiers, and of its own tier no more of each organisation
 * than of its own.
 */
double sched_work_ahead(const struct sched *sched, uint64_t organisation,
			int tier, double cost);

/** Estimated work that waits in a class. */
double sched_class_work(const struct sched *sched, int class_id);

/** Forget an organisation that has nothing waiting. */
void sched_forget(struct sched *sched, uint64_t organisation);

#endif
