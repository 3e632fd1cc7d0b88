#ifndef FILBERTHALL_FLEET_HEALTH_H
#define FILBERTHALL_FLEET_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * How well one backend server answers, as this VM sees it.
 *
 * Load pattern: one engine in a pool turns slow (a throttled accelerator, a
 * noisy neighbour), crashes, or goes silent, while its own load report still
 * looks inviting: a straggler drains its queue slowly, so it seems to have
 * room. Without this module the server that does least work draws most
 * requests, and one straggler in twelve hurts a third of them.
 *
 * Speed is an average over the last answers, enough of them that one long
 * output doesn't condemn a server. One below half of the median speed of its
 * peers is a straggler: batches of unlike fill differ by less. The way back
 * doubles from one probe at a time, so that a server which crashes again takes
 * few requests with it.
 */

/** Least share of its room that a server in trouble is still offered. */
#define HEALTH_MIN_WEIGHT (1.0 / 32)

/** Below this part of the median speed of its peers a server straggles. */
#define HEALTH_STRAGGLER_RATIO 0.5

/** How long a server gets nothing after a failed attempt, first time. */
#define HEALTH_HOLD_FIRST_US INT64_C(1000000)

/** The longest such hold. */
#define HEALTH_HOLD_MOST_US INT64_C(30000000)

/** A busy server that gives nobody a token for so long is silent. */
#define HEALTH_SILENT_US INT64_C(3000000)

/** Time in which a returning server's share of room doubles. */
#define HEALTH_RETURN_STEP_US INT64_C(1000000)

struct health {
	double token_us;       /**< running average between tokens, 0 unknown */
	int64_t n_answers;     /**< that went into it */
	int64_t n_failures;    /**< in a row: crash, silence, no connection */
	int64_t held_until_us; /**< gets nothing until then */
	int64_t back_since_us; /**< gradual return began, 0 if whole */
	int64_t hold_us;       /**< of the next failure */
	int64_t heard_us;      /**< when a token of it last came */
	bool straggles;
};

/** Note the time between tokens of an answer that has ended well. */
void health_answered(struct health *health, int64_t tokens, int64_t took_us,
		     int64_t now_us);

/** Note an attempt that ended in a crash, silence or no connection. */
void health_failed(struct health *health, int64_t now_us);

/**
 * An attempt has no first token long after it should have. The server is at
 * fault if nobody else has had a token of it lately: its connections stay
 * open, and since it works nothing off it would look idle.
 */
void health_overdue(struct health *health, int64_t now_us);

/** A new boot of the server: forget the old one's faults. */
void health_reset(struct health *health, int64_t now_us);

/**
 * Compare with the median of its peers (0 if unknown) and mark it as a
 * straggler or free it.
 */
void health_compare(struct health *health, double median_token_us);

/** Part of its room that the server may be offered now, 0..1. */
double health_weight(const struct health *health, int64_t now_us);

#endif
