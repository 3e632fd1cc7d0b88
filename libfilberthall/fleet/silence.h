#ifndef FILBERTHALL_FLEET_SILENCE_H
#define FILBERTHALL_FLEET_SILENCE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * Whether a backend server writes anything while it runs requests of this VM,
 * and when it last stood still. Zeroed is one that never did.
 *
 * Load pattern: sound servers stand still for a second or more, with all their
 * connections open, and then go on. What was sent to them is answered if it is
 * left there, and the times measured meanwhile say nothing of those to come.
 */
struct silence {
	int64_t busy_us;  /**< when its present requests began */
	int64_t heard_us; /**< when it last wrote something */
	int64_t back_us;  /**< when it did so after SILENCE_LIVE_US without */
	int n_writing;	  /**< answers that it has begun */
	int64_t from_us;  /**< its last standstill */
	int64_t until_us;
};

/** One that writes so often is live. */
#define SILENCE_LIVE_US INT64_C(500000)

/** It runs a request of this VM, and ran none before. */
void silence_starts(struct silence *silence, int64_t now_us);

/**
 * It has written something. An answer that has begun and doesn't go on for
 * `least_us` shows a standstill; one that hasn't begun may just take so long.
 */
void silence_heard(struct silence *silence, int64_t least_us, int64_t now_us);

/** Nothing happened between the two times. */
void silence_note(struct silence *silence, int64_t from_us, int64_t until_us);

/** Whether it writes now, and has for some time. */
bool silence_is_live(const struct silence *silence, int64_t now_us);

/** Microseconds for which a server that runs requests has written nothing. */
int64_t silence_for_us(const struct silence *silence, int64_t now_us);

/** The part of its last standstill that lies between the two times. */
int64_t silence_between(const struct silence *silence, int64_t from_us,
			int64_t until_us);

#endif
