#ifndef FILBERTHALL_USAGE_STEPOUT_H
#define FILBERTHALL_USAGE_STEPOUT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * This VM's wall clock with steps held back.
 *
 * Failure answered: wall clocks jump by seconds on half of the VMs at once and
 * back later. A median of such clocks is wrong, and requests are billed in
 * windows that they didn't run in.
 *
 * Against the steady clock a step is seen at once, while drift is slow. A step
 * is believed only once it has lasted for the stepout time (compare NTP), or
 * if it leads to the time that the other VMs agree on: then the clock had been
 * wrong before.
 */

/** A smaller change of the offset is drift. */
#define STEPOUT_STEP_US INT64_C(125000)

/** How long a step has to last before it is believed. */
#define STEPOUT_US INT64_C(300000000)

struct stepout {
	bool known;
	int64_t offset_us;    /**< believed: wall clock less steady clock */
	bool stepping;	      /**< the clock has stepped, not yet believed */
	int64_t step_us;      /**< offset since then */
	int64_t step_from_us; /**< when, by the steady clock */
};

/**
 * The wall clock to believe, in microseconds since 1970.
 *
 * @param wall_us	what the VM's wall clock shows
 * @param agreed_us	what other VMs agree on, 0 if that isn't known
 * @param now_us	the steady clock
 */
int64_t stepout_time_us(struct stepout *stepout, int64_t wall_us,
			int64_t agreed_us, int64_t now_us);

#endif
