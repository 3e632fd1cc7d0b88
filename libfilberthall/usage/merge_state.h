#ifndef FILBERTHALL_USAGE_MERGE_STATE_H
#define FILBERTHALL_USAGE_MERGE_STATE_H

#include "base/list.h"
#include "base/map.h"
#include "usage/merge.h"

/**
 * Internal state of the usage counters, shared by merge.c and exchange.c only.
 */

/** One incarnation of a daemon, as known to this daemon. */
struct usage_origin {
	struct map_node node; /**< in usage.origins */
	uint64_t member;
	uint64_t incarnation;
	int64_t heard_us;  /**< time of the last message, -1 for none */
	uint64_t received; /**< all its changes up to this number arrived */
	int64_t window;	   /**< window it counts into, -1 if unknown */
	int64_t passed;	   /**< all its windows up to this one arrived */
	bool relayed;	   /**< unresponsive; this daemon sends its rows */
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
	uint64_t change;       /**< number of its last change in this daemon */
	struct usage_origin *origin;
	int64_t window;
	struct usage_counters counters;
	const char *organisation; /**< stored in `text`, as class_name is */
	const char *class_name;
	char text[];
};

/** A daemon that receives this daemon's messages. */
struct usage_peer {
	uint64_t member; /**< 0: none */
	bool all;	 /**< send also the relayed rows */
	uint64_t acknowledged;
	uint64_t sent;
	int64_t burst_us;    /**< when messages were last sent, -1 for never */
	int64_t progress_us; /**< when `acknowledged` last advanced */
	bool complete;	     /**< the last message had all remaining rows */
};

struct usage {
	struct usage_origin *self;
	struct map origins;
	struct map rows;
	struct list windows;
	struct list changed;
	uint64_t change;
	int64_t window;
	int64_t anchor_us; /**< accepted offset: wall clock less monotonic */
	bool anchored;
	int64_t step_since_us;	    /**< start of a clock step, -1 for none */
	struct usage_peer peers[2]; /**< lease holder, copy holder */
};

/** Returns the origin; creates it if it doesn't exist. */
struct usage_origin *usage_origin(struct usage *usage, uint64_t member,
				  uint64_t incarnation);

/** The latest incarnation of a member, or NULL. */
const struct usage_origin *usage_latest(const struct usage *usage,
					uint64_t member);

/** Returns the row with this key; creates it if it doesn't exist. */
struct usage_row *usage_row(struct usage *usage, struct usage_origin *origin,
			    int64_t window, const char *organisation,
			    const char *class_name);

/** Records a change of a row: moves it to the end of usage.changed. */
void usage_touch(struct usage *usage, struct usage_row *row);

/** Starts to relay the rows of origins that have become unresponsive. */
void usage_relay_silent(struct usage *usage, int64_t now_us);

#endif
