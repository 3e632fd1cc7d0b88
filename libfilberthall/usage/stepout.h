#ifndef FILBERTHALL_USAGE_STEPOUT_H
#define FILBERTHALL_USAGE_STEPOUT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * This VM's wall clock with a delay before steps are accepted.
 *
 * Failure handled: the wall clocks of half of the VMs step by seconds at the
 * same time and step back later. The median of such clocks is wrong, and
 * requests are billed in windows that they didn't run in.
 *
 * Compared with the monotonic clock, a step shows immediately, while drift is
 * slow. A step is accepted only after it has lasted for the stepout time (as
 * in NTP), or if it leads to the time that the other VMs agree on, because
 * then the clock was wrong before the step.
 */

/** A smaller change of the offset is drift. */
#define STEPOUT_STEP_US INT64_C(125000)

/** How long a step has to last before it is accepted. */
#define STEPOUT_US INT64_C(300000000)

struct stepout {
	bool known;
	int64_t offset_us;    /**< accepted: wall clock less monotonic clock */
	bool stepping;	      /**< a step was seen and isn't accepted yet */
	int64_t step_us;      /**< offset since the step */
	int64_t step_from_us; /**< monotonic time of the step */
};

/**
 * Returns the accepted wall-clock time, in microseconds since 1970.
 *
 * @param wall_us	the VM's wall clock
 * @param agreed_us	time that other VMs agree on, 0 if unknown
 * @param now_us	the monotonic clock
 */
int64_t stepout_time_us(struct stepout *stepout, int64_t wall_us,
			int64_t agreed_us, int64_t now_us);

#endif
