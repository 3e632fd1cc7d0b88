#ifndef FILBERTHALL_USAGE_MERGE_H
#define FILBERTHALL_USAGE_MERGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/result.h"

/**
 * Usage counters of all daemons as far as this one knows them. A counter is
 * cumulative and belongs to (member, incarnation, window, organisation,
 * class); only its own daemon adds to it, and two versions of it merge by
 * maximum, so a message that comes twice, late or out of order does no harm.
 *
 * Failure answered: a VM dies with counts that no one else has. Each daemon
 * sends what changed to one in another zone within a second and to the one
 * in charge; who holds rows of a daemon that has fallen silent passes them on
 * to the one in charge, who may be new. A VM's loss then loses at most what was counted since the last
 * message, and usage_lost_us() says how long that was.
 *
 * Each daemon says with its rows which window it counts into, so the one in
 * charge knows when it has all of a window. Without acknowledgement a row is sent again after USAGE_RESEND_US. A
 * message holds at most `limit` bytes, the rest follows in the next.
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

/** Add to own counters, in the present window; after a first usage_tick(). */
void usage_count(struct usage *usage, const char *organisation,
		 const char *class_name, const struct usage_counters *add);

/**
 * Move this daemon's window on by the wall clock. Never goes back. A step of
 * the wall clock against the monotonic one is ignored for USAGE_STEP_HOLD_US
 * and then followed, so a clock that leaps for a moment counts nothing into
 * a wrong window. Rows of windows more than USAGE_WINDOWS back are forgotten,
 * a little later than windows stop taking corrections (WINDOWS_KEPT).
 *
 * Returns the present window.
 */
int64_t usage_tick(struct usage *usage, int64_t window_us, int64_t wall_us,
		   int64_t now_us);
#define USAGE_WINDOWS 26
#define USAGE_STEP_US INT64_C(2000000)
#define USAGE_STEP_HOLD_US INT64_C(60000000)

/** This daemon's present window, -1 before the first tick. */
int64_t usage_window(const struct usage *usage);

/** The window a member counts into as far as known, -1 if it isn't. */
int64_t usage_member_window(const struct usage *usage, uint64_t member);

/** The oldest window of which a row is held, -1 for none. */
int64_t usage_oldest(const struct usage *usage);

/**
 * Which peers get counters: the one in charge (all that this daemon knows)
 * and a copy holder in another zone (this daemon's own). 0 for none; may be
 * the same one. Called whenever either changes.
 */
void usage_peers(struct usage *usage, uint64_t in_charge, uint64_t copy);

/**
 * The next message for `peer`, if one is due.
 *
 * Returns false if there is nothing to send. Else `out` gets at most `limit`
 * bytes (at least 1,024), for channel LINK_USAGE. Call again until false.
 */
bool usage_next_message(struct usage *usage, uint64_t peer, int64_t now_us,
			size_t limit, struct bytes *out);

/**
 * Take a message of another daemon in. `reply` gets the acknowledgement to
 * send back to it, or stays empty.
 *
 * Returns RESULT_OK or RESULT_MESSAGE_MALFORMED (nothing is taken over).
 */
enum result usage_receive(struct usage *usage, uint64_t peer,
			  const struct bytes *body, int64_t now_us,
			  struct bytes *reply);

/**
 * Whether this daemon has all counters of `member`'s windows up to `window`:
 * the member said that it counts into a later one now, and everything it
 * counted before has come.
 */
bool usage_passed(const struct usage *usage, uint64_t member, int64_t window);

/** Microseconds since a message of that member last came, -1 for never. */
int64_t usage_lost_us(const struct usage *usage, uint64_t member,
		      int64_t now_us);

/** Call `visit` with the sum over members of a window, by organisation. */
void usage_visit_sums(const struct usage *usage, int64_t window,
		      void (*visit)(void *data, const char *organisation,
				    const struct usage_counters *sum),
		      void *data);

/** The same by organisation and class, for `filberthall usage`. */
void usage_visit_classes(const struct usage *usage, int64_t window,
			 void (*visit)(void *data, const char *organisation,
				       const char *class_name,
				       const struct usage_counters *sum),
			 void *data);

/** Rows held. */
size_t usage_rows(const struct usage *usage);

#endif
