#ifndef FILBERTHALL_FLEET_HEALTH_H
#define FILBERTHALL_FLEET_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Speed and failures of one backend server, as measured by this VM.
 *
 * Load pattern handled: one engine in a pool becomes slow (a throttled
 * accelerator, a noisy neighbour), crashes, or stops responding, while its load
 * report still shows free capacity: a straggler works off its queue slowly, so
 * it seems to have room. Without this module the slowest server gets most
 * requests, and one straggler in twelve servers delays a third of them.
 *
 * Speed is a running average over enough answers that one long output doesn't
 * mark a server as slow. A server below half of the median speed of its peers
 * is a straggler; servers with differently filled batches differ by less.
 * After a failure the weight doubles from a small share on, so that few
 * requests fail if the server crashes again.
 */

/** Lowest weight of a server that still gets requests. */
#define HEALTH_MIN_WEIGHT (1.0 / 32)

/** A server below this fraction of its peers' median speed is a straggler. */
#define HEALTH_STRAGGLER_RATIO 0.5

/** How long a server gets no requests after the first failed attempt. */
#define HEALTH_MIN_BACKOFF_US INT64_C(1000000)

/** Upper bound of the backoff, which doubles with each failure. */
#define HEALTH_MAX_BACKOFF_US INT64_C(30000000)

/** A busy server that sends no token for this long has stopped responding. */
#define HEALTH_TOKEN_TIMEOUT_US INT64_C(3000000)

/** Time in which a recovering server's weight doubles. */
#define HEALTH_RECOVERY_STEP_US INT64_C(1000000)

struct health {
	double token_us;   /**< average time between tokens, 0 if unknown */
	int64_t n_answers; /**< answers in that average */
	int64_t n_failures; /**< consecutive: crash, no response, no connection */
	int64_t backoff_until_us; /**< gets no requests before this */
	int64_t recovery_start_us; /**< start of the recovery, 0 if not recovering */
	int64_t backoff_us;	   /**< current backoff, 0 if none */
	int64_t last_token_us; /**< when its last token was received */
	bool is_straggler;
};

/** Record the time between tokens of a successful answer. */
void health_answered(struct health *health, int64_t tokens, int64_t took_us,
		     int64_t now_us);

/** Record an attempt that failed: crash, no response or no connection. */
void health_failed(struct health *health, int64_t now_us);

/**
 * Record that an attempt's first token is overdue. This counts as a failure if
 * no other attempt got a token from the server recently either: a hung server
 * keeps its connections open, and as it processes nothing it would look idle.
 */
void health_overdue(struct health *health, int64_t now_us);

/** The server has restarted: discard what was recorded before. */
void health_reset(struct health *health, int64_t now_us);

/**
 * Set or clear `is_straggler` by comparison with the median time between
 * tokens of its peers (0 if unknown).
 */
void health_update_straggler(struct health *health, double median_token_us);

/** Fraction of its free capacity that may be used now, 0..1. */
double health_weight(const struct health *health, int64_t now_us);

#endif
