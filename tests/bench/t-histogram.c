#include <glib.h>
#include <math.h>
#include <string.h>

#include "bench/histogram.h"

static void percentiles_are_right_to_within_the_parts(void)
{
	static struct histogram histogram;
	int64_t value;

	memset(&histogram, 0, sizeof(histogram));
	g_assert_cmpint(histogram_at(&histogram, 0.5), ==, 0);
	for (value = 1; value <= 1000000; value++)
		histogram_add(&histogram, value);
	g_assert_cmpfloat(fabs((double)histogram_at(&histogram, 0.5) / 500000 -
			       1),
			  <, 0.004);
	g_assert_cmpfloat(fabs((double)histogram_at(&histogram, 0.99) / 990000 -
			       1),
			  <, 0.004);
	g_assert_cmpint(histogram_at(&histogram, 1), <=, 1000000);
	g_assert_cmpfloat(histogram_mean(&histogram), ==, 500000.5);
}

static void extremes_are_counted(void)
{
	static struct histogram histogram;
	static struct histogram sum;

	memset(&histogram, 0, sizeof(histogram));
	memset(&sum, 0, sizeof(sum));
	histogram_add(&histogram, -5);
	histogram_add(&histogram, INT64_MAX);
	histogram_merge(&sum, &histogram);
	g_assert_cmpuint(sum.count, ==, 2);
	g_assert_cmpint(histogram_at(&sum, 0.5), ==, 0);
	g_assert_cmpint(sum.max_us, ==, INT64_MAX);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/histogram/percentiles",
			percentiles_are_right_to_within_the_parts);
	g_test_add_func("/histogram/extremes", extremes_are_counted);
	return g_test_run();
}
