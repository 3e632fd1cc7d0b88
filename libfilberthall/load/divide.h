#ifndef FILBERTHALL_LOAD_DIVIDE_H
#define FILBERTHALL_LOAD_DIVIDE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * Division of a pool's servers between paced streams and other requests.
 *
 * Load pattern: a server prefills prompts in chunks between the tokens that it
 * generates. While it prefills a prompt of 9,000 tokens, no other stream gets a
 * token for a fifth of a second or more. A stream that allows a pause of a
 * quarter of a second misses it beside each such prompt; a stream that allows
 * one second doesn't.
 *
 * - Paced streams are those with the shortest pause that any request of the
 *   pool has set lately, unless their own prompt is long.
 * - A fraction of the servers is reserved for them: a quarter, or more while
 *   their work needs it. In a burst of six times the usual load, a fixed
 *   quarter made them wait for seconds, although the other streams on these
 *   servers had hardly started.
 * - Where a server has few slots, streams with long answers use up its slots
 *   long before its time. The fraction therefore also covers the slots of the
 *   streams that run now: their work is known only when they end, and until
 *   then a burst would wait for slots while those of the other servers are
 *   free.
 * - The fraction is computed from this VM's own requests and the number of
 *   entry VMs. All VMs reserve servers in the same order, so that VMs with
 *   slightly different fractions disagree only about the last servers, and the
 *   homes of shared prompt prefixes don't move (load/place.h).
 *
 * If no request sets a pause, requests are divided by the length of their
 * prompts.
 */
struct divide {
	int64_t pause_us;      /**< shortest that was set, 0 for none */
	int64_t pause_seen_us; /**< when it was last set */
	double used_us;	       /**< server time of paced streams, decaying */
	double running;	       /**< their used slots, counted in servers */
	int64_t used_at_us;
	double share; /**< fraction of servers for paced streams */
};

/** Input for the decision whether a request is a paced stream. */
struct divide_query {
	int64_t pause_us;      /**< longest allowed, 0 for any */
	int64_t prompt_tokens; /**< whole prompt */
	double mean_prompt;    /**< of the pool's requests */
	double prefill_rate;   /**< prompt tokens per second and server */
};

/** Smallest fraction of the servers that is reserved for paced streams. */
#define DIVIDE_MIN_SHARE 0.25

/** Largest such fraction; the rest serves all other requests. */
#define DIVIDE_MAX_SHARE 0.6

/** Capacity reserved for paced streams, as a multiple of their work. */
#define DIVIDE_HEADROOM 2.5

/** Smallest change of the fraction; each change moves homes of prefixes. */
#define DIVIDE_STEP 0.05

void divide_init(struct divide *divide);

/** Records the pause that a new request allows (0 for any). */
void divide_record_pause(struct divide *divide, int64_t pause_us,
			 int64_t now_us);

/** Whether a request belongs on the servers reserved for paced streams. */
bool divide_is_paced(const struct divide *divide,
		     const struct divide_query *query);

/**
 * Records server time used by a paced stream: the time of its prefill, or that
 * of its answer divided by the server's slots.
 */
void divide_record_use(struct divide *divide, double server_us, int64_t now_us);

/** Record that a paced stream took or released one of a server's `slots`. */
void divide_started(struct divide *divide, int64_t slots);
void divide_ended(struct divide *divide, int64_t slots);

/** The pool that the fraction is computed for. */
struct divide_pool {
	int vms;      /**< entry VMs, each with about this one's load */
	int n;	      /**< known servers, including those that left */
	int n_usable; /**< those among them that accept new work */
};

/** Recomputes the fraction; returns whether it changed. */
bool divide_adjust(struct divide *divide, const struct divide_pool *pool,
		   int64_t now_us);

/**
 * Marks which of `members` are reserved for paced streams.
 *
 * Servers that are leaving keep their position in the order, since replacements
 * are usually about to start. If they were skipped, servers would be reserved
 * and released again within seconds, and paced streams would run beside the
 * long prompts still in prefill there. Further servers are marked only if too
 * few reserved ones remain, for example when two of three zones are lost
 * without replacement.
 */
void divide_mark(const struct divide *divide, struct backend *const *members,
		 int n, int64_t now_us);

#endif
