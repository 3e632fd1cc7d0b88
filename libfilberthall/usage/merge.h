#ifndef FILBERTHALL_USAGE_MERGE_H
#define FILBERTHALL_USAGE_MERGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/result.h"

/**
 * Usage counters of all daemons, as known to this daemon. A counter is
 * cumulative and has the key (member, incarnation, window, organisation,
 * class). Only its own daemon adds to it, and two versions of it merge by
 * maximum, so duplicate, delayed or reordered messages are harmless.
 *
 * Failure handled: a VM fails with counts that no other VM has. Each daemon
 * sends changed rows within a second to a daemon in another zone and to the
 * lease holder. A daemon that has rows of an unresponsive daemon relays them
 * to the lease holder, which may be new. The failure of a VM then loses at
 * most what was counted since its last message; usage_lost_us() returns how
 * long ago that was.
 *
 * Each daemon sends with its rows the window that it counts into, so the lease
 * holder knows when it has all rows of a window. A row that isn't acknowledged
 * is sent again after USAGE_RESEND_US. A message has at most `limit` bytes;
 * the remaining rows follow in the next message.
 */
#define USAGE_SEND_US INT64_C(1000000)
#define USAGE_RESEND_US INT64_C(3000000)

struct usage;

struct usage_counters {
	int64_t requests;
	int64_t prompt_tokens;
	int64_t output_tokens; /**< sent to the caller */
	int64_t wasted_tokens; /**< generated and never used; not billed */
};

struct usage *usage_new(uint64_t member, uint64_t incarnation);
void usage_free(struct usage *usage);

/** Adds to own counters of the current window; needs a prior usage_tick(). */
void usage_count(struct usage *usage, const char *organisation,
		 const char *class_name, const struct usage_counters *add);

/**
 * Advances this daemon's window by the wall clock; it never goes back. A step
 * of the wall clock against the monotonic clock is ignored for
 * USAGE_STEP_HOLD_US and then accepted, so a short-lived clock step counts
 * nothing into a wrong window. Rows of windows more than USAGE_WINDOWS ago are
 * removed, slightly later than windows stop accepting corrections
 * (WINDOWS_KEPT).
 *
 * Returns the current window.
 */
int64_t usage_tick(struct usage *usage, int64_t window_us, int64_t wall_us,
		   int64_t now_us);
#define USAGE_WINDOWS 26
#define USAGE_STEP_US INT64_C(2000000)
#define USAGE_STEP_HOLD_US INT64_C(60000000)

/** This daemon's current window, -1 before the first tick. */
int64_t usage_window(const struct usage *usage);

/** The window that a member counts into, -1 if unknown. */
int64_t usage_member_window(const struct usage *usage, uint64_t member);

/** The oldest window that has a row, -1 for none. */
int64_t usage_oldest(const struct usage *usage);

/**
 * Sets the peers that receive counters: the lease holder (all rows that this
 * daemon may relay) and a copy holder in another zone (this daemon's own
 * rows). 0 means none; both may be the same peer. Call it when either changes.
 */
void usage_peers(struct usage *usage, uint64_t in_charge, uint64_t copy);

/**
 * The next message for `peer`, if one is due.
 *
 * Returns false if there is nothing to send. Otherwise writes at most `limit`
 * bytes (`limit` is at least 1,024) to `out`, for channel LINK_USAGE. Call it
 * until it returns false.
 */
bool usage_next_message(struct usage *usage, uint64_t peer, int64_t now_us,
			size_t limit, struct bytes *out);

/**
 * Processes a message of another daemon. `reply` receives the acknowledgement
 * to send back, or stays empty.
 *
 * Returns RESULT_OK or RESULT_MESSAGE_MALFORMED (the message is ignored).
 */
enum result usage_receive(struct usage *usage, uint64_t peer,
			  const struct bytes *body, int64_t now_us,
			  struct bytes *reply);

/**
 * Whether this daemon has all counters of `member`'s windows up to `window`:
 * the member reported that it counts into a later window now, and everything
 * it counted before has been received.
 */
bool usage_passed(const struct usage *usage, uint64_t member, int64_t window);

/** Microseconds since the last message of `member`, -1 for none. */
int64_t usage_lost_us(const struct usage *usage, uint64_t member,
		      int64_t now_us);

/** Calls `visit` for each organisation with its sum over all members. */
void usage_visit_sums(const struct usage *usage, int64_t window,
		      void (*visit)(void *data, const char *organisation,
				    const struct usage_counters *sum),
		      void *data);

/** The same per organisation and class, for `filberthall usage`. */
void usage_visit_classes(const struct usage *usage, int64_t window,
			 void (*visit)(void *data, const char *organisation,
				       const char *class_name,
				       const struct usage_counters *sum),
			 void *data);

/** Number of rows. */
size_t usage_rows(const struct usage *usage);

#endif
