#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include <stdint.h>
#include <stdio.h>

#include "bench/measure.h"
#include "bench/policy.h"

/** A run's result for people. */
void report_text(FILE *out, const struct measure *measure,
		 const struct policy *policy, uint64_t seed);

/** The same as one JSON object on one line. */
void report_json(FILE *out, const struct measure *measure,
		 const struct policy *policy, uint64_t seed);

/** One policy's curve: goodput by second. */
struct report_curve {
	const char *name;
	double *values;
	int n;
};

/** Goodput over time, one line a policy; false if the file can't be made. */
bool report_plot(const char *path, const char *title,
		 const struct report_curve *curves, int n);

#endif
