/*
 * Reads messages on load: limits of servers, crashes, requests that got nothing.
 */
#include "feed/feed_read.h"

#include <limits.h>
#include <string.h>

bool feed_read_limit(const struct unpacked *items, struct feed_limit *limit)
{
	int64_t thousandths;

	if (!feed_read_name(items, 1, limit->id) ||
	    !unpack_int(items, 2, &limit->started_ms) ||
	    !unpack_int(items, 3, &thousandths) ||
	    !unpack_int(items, 4, &limit->age_us) || limit->age_us < 0)
		return false;
	limit->per_s = thousandths < 0 ? SERVER_LIMIT_NONE
				       : (double)thousandths / 1000;
	return true;
}

bool feed_read_crashes(const struct unpacked *items,
		       struct poison_report *report)
{
	size_t n = (items->n - 2) / 3;
	int64_t age_us;
	size_t i;

	if (items->n < 2 || items->n != 3 * n + 2 || n > POISON_CRASHES ||
	    !unpack_uint(items, 1, &report->fingerprint))
		return false;
	report->n = (int)n;
	for (i = 0; i < n; i++) {
		struct poison_crash *crash = &report->crashes[i];

		if (!unpack_uint(items, 3 * i + 2, &crash->server) ||
		    !unpack_int(items, 3 * i + 3, &crash->ran_us) ||
		    !unpack_int(items, 3 * i + 4, &age_us) || age_us < 0)
			return false;
		crash->at_us = -age_us;
	}
	return true;
}

/* A time before another one; its distance is bounded. */
static bool read_before(const struct unpacked *items, size_t i, int64_t us,
			int64_t *before_us)
{
	int64_t by_us;

	if (!unpack_int(items, i, &by_us) || by_us < 0 ||
	    by_us > PART_QUARANTINE_US)
		return false;
	*before_us = us - by_us;
	return true;
}

bool feed_read_part(const struct unpacked *items, struct part_report *report)
{
	size_t n = (items->n - 4) / 3;
	int64_t last_us;
	size_t i;

	if (items->n < 4 || items->n != 3 * n + 4 || n > PART_CRASHES ||
	    !unpack_uint(items, 1, &report->part) ||
	    !unpack_int(items, 2, &report->sound_us) ||
	    !unpack_int(items, 3, &last_us) || last_us < 0)
		return false;
	report->n = (int)n;
	for (i = 0; i < n; i++) {
		struct part_crash *crash = &report->crashes[i];

		if (!unpack_uint(items, 3 * i + 4, &crash->server) ||
		    !read_before(items, 3 * i + 5, last_us, &crash->at_us) ||
		    !read_before(items, 3 * i + 6, crash->at_us,
				 &crash->started_us))
			return false;
	}
	return true;
}

bool feed_read_count(const struct unpacked *items, size_t i, int *count)
{
	int64_t value;

	if (!unpack_int(items, i, &value) || value < 0 || value > INT_MAX / 64)
		return false;
	*count = (int)value;
	return true;
}

static bool read_tier(const struct unpacked *items, size_t i, int *tier)
{
	return feed_read_count(items, i, tier) && *tier < SCHED_TIERS;
}

bool feed_read_unserved(const struct unpacked *items,
			struct feed_unserved *unserved)
{
	struct unserved_count *count;
	size_t i;
	int tier;

	memset(unserved->counts, 0, sizeof(unserved->counts));
	if (items->n < 2 || items->n % 3 != 2 ||
	    !feed_read_name(items, 1, unserved->service))
		return false;
	for (i = 2; i < items->n; i += 3) {
		if (!read_tier(items, i, &tier))
			return false;
		count = &unserved->counts[tier];
		if (!feed_read_count(items, i + 1, &count->begun) ||
		    !feed_read_count(items, i + 2, &count->nothing))
			return false;
	}
	return true;
}

bool feed_read_short(const struct unpacked *items, struct feed_short *told)
{
	int thousandths;

	if (!feed_read_count(items, 3, &thousandths) || thousandths > 1000)
		return false;
	told->part = (double)thousandths / 1000;
	return feed_read_name(items, 1, told->service) &&
	       read_tier(items, 2, &told->tier);
}
