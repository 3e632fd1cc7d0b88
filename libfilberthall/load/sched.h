#ifndef FILBERTHALL_LOAD_SCHED_H
#define FILBERTHALL_LOAD_SCHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/map.h"
#include "load/heap.h"

/**
 * Scheduling order of the requests that wait for one kind of backend server:
 * strict priority of tiers, within a tier organisations by the work they have
 * received (start-time fair queueing), within an organisation by due time.
 *
 * Load pattern: one organisation, or one class, sends ten times what the
 * servers can process. In arrival order all others then wait behind the burst:
 * the top tier misses its targets, and organisations that send few requests
 * get only a small part of the capacity.
 *
 * Fairness is by estimated work (tokens), not by requests, as one long
 * critique costs as much as fifty captions; sched_settle()
 * corrects the estimate when the answer has ended. An organisation that was
 * idle starts at the current virtual time and accumulates no credit.
 *
 * Every operation is O(log n) in organisations and in requests of one
 * organisation, whatever else waits.
 *
 * Minimum shares of classes are implemented in load/floor.h, by means of
 * sched_next_of_class().
 */

/**
 * Priority levels; 0 is served first. The classes of operators use the first
 * four; an entry VM combines the ranks of organisation and route, four each,
 * with the organisation's first.
 */
#define SCHED_TIERS 16
#define SCHED_CLASSES 256 /**< ids of classes are below this */

struct sched_lane;
struct sched_flow;

/** A waiting request; part of the caller's struct. */
struct sched_entry {
	struct heap_node node;
	struct list order;	 /**< arrival order within the lane */
	struct sched_lane *lane; /**< NULL while not waiting */
	uint64_t organisation;
	int64_t due_us;
	uint64_t sequence; /**< breaks ties; unique */
	double cost;	   /**< estimated work, tokens */
};

struct sched_tier {
	struct heap flows;
	double time; /**< virtual time */
	size_t n;
	double cost; /**< total cost of waiting entries */
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

/** Free the scheduler's memory; waiting entries belong to the caller. */
void sched_clear(struct sched *sched);

/** Assign a class to a tier; its waiting entries move to that tier. */
void sched_set_class(struct sched *sched, int class_id, int tier);

/** Enqueue an entry; the caller has set due_us, sequence and cost. */
void sched_push(struct sched *sched, struct sched_entry *entry, int class_id,
		uint64_t organisation);

/** Remove an entry without serving it; no effect if it isn't waiting. */
void sched_remove(struct sched *sched, struct sched_entry *entry);

/** The next entry of tiers 0 to `lowest_tier`, or NULL. */
struct sched_entry *sched_next(const struct sched *sched, int lowest_tier);

/** The next entry of one class, or NULL. */
struct sched_entry *sched_next_of_class(const struct sched *sched,
					int class_id);

/** Serve an entry: remove it and charge its organisation. */
void sched_serve(struct sched *sched, struct sched_entry *entry);

/** Correct the charge of an organisation by `delta` tokens. */
void sched_settle(struct sched *sched, uint64_t organisation, int tier,
		  double delta);

/** The newest entry of the organisation with the most entries in a class. */
struct sched_entry *sched_newest_of_longest(const struct sched *sched,
					    int class_id);

/** Number of waiting entries of the entry's organisation and class. */
size_t sched_lane_length(const struct sched_entry *entry);

/** Class and tier of a waiting entry. */
int sched_class_of(const struct sched_entry *entry);
int sched_tier_of(const struct sched_entry *entry);

/**
 * Estimated work ahead of a new request of this organisation: all work of the
 * higher tiers, and in its own tier at most as much of each other organisation
 * as of its own.
 */
double sched_work_ahead(const struct sched *sched, uint64_t organisation,
			int tier, double cost);

/** Estimated work of the waiting entries of a class. */
double sched_class_work(const struct sched *sched, int class_id);

/** Remove the state of an organisation without waiting entries. */
void sched_forget(struct sched *sched, uint64_t organisation);

#endif
