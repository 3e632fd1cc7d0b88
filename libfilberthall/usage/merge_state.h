#ifndef FILBERTHALL_USAGE_MERGE_STATE_H
#define FILBERTHALL_USAGE_MERGE_STATE_H

#include "base/list.h"
#include "base/map.h"
#include "usage/merge.h"

/**
 * Inside of the usage counters, shared by merge.c and exchange.c; no one
 * else includes it.
 */

/** A daemon's life, as far as this one heard of it. */
struct usage_origin {
	struct map_node node; /**< in usage.origins */
	uint64_t member;
	uint64_t incarnation;
	int64_t heard_us;  /**< last message; -1 never */
	uint64_t received; /**< its changes up to here have all come */
	int64_t window;	   /**< it counts into this one now; -1 unknown */
	int64_t passed;	   /**< all its windows up to here are here */
	bool relayed;	   /**< silent: this daemon speaks for it */
	struct list rows;  /**< struct usage_row */
};

struct usage_window {
	struct list node; /**< in usage.windows, ascending */
	int64_t number;
	struct list rows;
};

struct usage_row {
	struct map_node node;  /**< in usage.rows */
	struct list by_origin; /**< in usage_origin.rows */
	struct list by_window; /**< in usage_window.rows */
	struct list by_change; /**< in usage.changed, oldest first */
	uint64_t change;       /**< number of its last change here */
	struct usage_origin *origin;
	int64_t window;
	struct usage_counters counters;
	const char *organisation; /**< both in `text` */
	const char *class_name;
	char text[];
};

/** One who gets messages of this daemon. */
struct usage_peer {
	uint64_t member; /**< 0: none */
	bool all;	 /**< also what this daemon relays */
	uint64_t acknowledged;
	uint64_t sent;
	int64_t burst_us;    /**< when the last messages went; -1 never */
	int64_t progress_us; /**< when an acknowledgement last moved */
	bool complete;	     /**< the last message held all there was */
};

struct usage {
	struct usage_origin *self;
	struct map origins;
	struct map rows;
	struct list windows;
	struct list changed;
	uint64_t change;
	int64_t window;
	int64_t anchor_us; /**< wall clock less monotonic, as believed */
	bool anchored;
	int64_t step_since_us;	    /**< -1: no step is being watched */
	struct usage_peer peers[2]; /**< one in charge, copy holder */
};

/** The origin, new if it isn't known yet. */
struct usage_origin *usage_origin(struct usage *usage, uint64_t member,
				  uint64_t incarnation);

/** The latest incarnation of a member, or NULL. */
const struct usage_origin *usage_latest(const struct usage *usage,
					uint64_t member);

/** The row of that key, new if it isn't there yet. */
struct usage_row *usage_row(struct usage *usage, struct usage_origin *origin,
			    int64_t window, const char *organisation,
			    const char *class_name);

/** Note that a row changed: it goes to the end of usage.changed. */
void usage_touch(struct usage *usage, struct usage_row *row);

/** Speak for origins that have fallen silent. */
void usage_relay_silent(struct usage *usage, int64_t now_us);

#endif
