#ifndef FILBERTHALL_LOAD_DIVIDE_H
#define FILBERTHALL_LOAD_DIVIDE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"

/**
 * Division of a pool's servers between paced streams and the rest.
 *
 * Load pattern: a server reads prompts in chunks between the tokens that it
 * generates, so one that reads a prompt of 9,000 tokens gives no other stream
 * a token for a fifth of a second and more. Streams that may rest for a
 * quarter of a second come late beside each such prompt; those that may rest
 * for a second don't.
 *
 * - Paced are the streams with the shortest pause that any request of the pool
 *   has asked for lately, unless their own prompt is long.
 * - A part of the servers is kept for them: a quarter, and more while their
 *   work needs it. In a burst of six times the usual, a quarter let them wait
 *   for seconds before servers whose other streams had hardly begun.
 * - Where a server has few slots, streams with long answers fill them long
 *   before they fill its time: the part also has slots for those that run now.
 *   Their work is known only once they end; until then a burst of them waited
 *   for slots while the other side's were free.
 * - The part is worked out from this VM's own requests and the number of entry
 *   VMs. Servers change sides in one order that all VMs share, so that VMs that
 *   differ a little differ in the last servers only, and the homes of shared
 *   prompt parts stay (load/place.h).
 *
 * Without any pause asked for, requests are divided by the length of their
 * prompts.
 */
struct divide {
	int64_t pause_us;      /**< shortest asked for, 0 for none */
	int64_t pause_seen_us; /**< when it last was */
	double used_us;	       /**< servers' time of paced streams, fading */
	double running;	       /**< servers whose slots they fill now */
	int64_t used_at_us;
	double share; /**< of the servers, kept for paced streams */
};

/** What decides on which side a request belongs. */
struct divide_query {
	int64_t pause_us;      /**< longest that it allows, 0 for any */
	int64_t prompt_tokens; /**< in all */
	double mean_prompt;    /**< of the pool's requests */
	double prefill_rate;   /**< prompt tokens a server reads a second */
};

/** Least part of the servers that is kept for paced streams. */
#define DIVIDE_MIN_SHARE 0.25

/** Largest part: the rest must live too. */
#define DIVIDE_MAX_SHARE 0.6

/** Room for paced streams, in times of the work that they bring. */
#define DIVIDE_HEADROOM 2.5

/** The part changes by so much at least, as homes move with it. */
#define DIVIDE_STEP 0.05

void divide_init(struct divide *divide);

/** A request that allows that pause (0 for any) has come. */
void divide_record_pause(struct divide *divide, int64_t pause_us,
			 int64_t now_us);

/** Whether a request belongs on the servers kept for paced streams. */
bool divide_is_paced(const struct divide *divide,
		     const struct divide_query *query);

/**
 * A paced stream has taken a part of a server for a while: the time to read
 * its prompt, or that of its answer by the server's slots.
 */
void divide_record_use(struct divide *divide, double server_us, int64_t now_us);

/** A paced stream has taken a slot of a server with that many, or left it. */
void divide_started(struct divide *divide, int64_t slots);
void divide_ended(struct divide *divide, int64_t slots);

/** What the part is worked out for. */
struct divide_pool {
	int vms;      /**< entry VMs that bring about as much as this one */
	int n;	      /**< servers that are known, also those that left */
	int n_usable; /**< of them, those that take new work */
};

/** Work out the part again; returns whether it has changed. */
bool divide_adjust(struct divide *divide, const struct divide_pool *pool,
		   int64_t now_us);

/**
 * Mark which of `members` are kept for paced streams.
 *
 * Those that are leaving keep their place in the order, as others are mostly on
 * their way to replace them: were the part chosen anew among the rest, servers
 * would change sides and back within seconds, and paced streams would meet the
 * long prompts that are read there. Further servers are marked only where too
 * few of the part stay, as when two of three zones go without replacement.
 */
void divide_mark(const struct divide *divide, struct backend *const *members,
		 int n, int64_t now_us);

#endif
