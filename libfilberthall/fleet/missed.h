#ifndef FILBERTHALL_FLEET_MISSED_H
#define FILBERTHALL_FLEET_MISSED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/list.h"
#include "feed/feed.h"

/**
 * How many of a service's requests end, and miss their goals for want of
 * servers: late, expired, refused for time. Failures of servers don't count;
 * more of those that fail are no help.
 *
 * An entry VM counts and tells all control VMs each second, and the one in
 * charge adds up; what is older fades. A message that is lost costs a part of
 * one second's figures.
 */

/** Figures count half after so long: a burst shows within a second or two. */
#define MISSED_HALF_US INT64_C(2000000)

/** A service is pressed when so large a part misses, and so many do. */
#define MISSED_PART 0.15
#define MISSED_LEAST 4

struct missed {
	struct list services;
};

void missed_init(struct missed *missed);
void missed_clear(struct missed *missed);

/**
 * Count requests that have ended.
 *
 * @param missed The figures.
 * @param told Service, how many ended, and how many of them missed.
 * @param now_us Steady time, for the fading of older ones.
 */
void missed_add(struct missed *missed, const struct feed_missed *told,
		int64_t now_us);

/** Entry VM: write the next service's figures and forget them; false if none.
 */
bool missed_tell(struct missed *missed, struct bytes *out);

/** Control VM: whether the service lacks servers. */
bool missed_pressed(const struct missed *missed, const char *service,
		    int64_t now_us);

#endif
