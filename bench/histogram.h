#ifndef BENCH_HISTOGRAM_H
#define BENCH_HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

/**
 * Log-linear histogram of durations: each power of two is split into equal
 * parts, so that a percentile is right to within 0.4%, from a microsecond to
 * days, in fixed memory. No library of the kind is to be had for C here.
 */

#define HISTOGRAM_PARTS 256
#define HISTOGRAM_POWERS 36

struct histogram {
	uint64_t counts[HISTOGRAM_POWERS * HISTOGRAM_PARTS];
	uint64_t count;
	int64_t max_us;
	double sum_us;
};

/** Count a duration; below 0 counts as 0. */
void histogram_add(struct histogram *histogram, int64_t value_us);

/** Add all of `from`. */
void histogram_merge(struct histogram *histogram, const struct histogram *from);

/**
 * The duration that a share `part` (0 to 1) of all doesn't exceed, in
 * microseconds; 0 if there is none.
 */
int64_t histogram_at(const struct histogram *histogram, double part);

/** The mean in microseconds, 0 if there is none. */
double histogram_mean(const struct histogram *histogram);

#endif
