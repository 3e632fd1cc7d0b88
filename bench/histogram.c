#include "bench/histogram.h"

#define HISTOGRAM_PART_BITS 8
#define HISTOGRAM_TOP_BIT 63

static size_t histogram_index(uint64_t value)
{
	size_t shift;
	size_t index;

	if (value < HISTOGRAM_PARTS)
		return value;
	shift = HISTOGRAM_TOP_BIT - (size_t)__builtin_clzll(value) -
		HISTOGRAM_PART_BITS;
	index = (shift + 1) * HISTOGRAM_PARTS + (value >> shift) -
		HISTOGRAM_PARTS;
	if (index >= HISTOGRAM_POWERS * HISTOGRAM_PARTS)
		return HISTOGRAM_POWERS * HISTOGRAM_PARTS - 1;
	return index;
}

/* The middle of the values that share an index. */
static int64_t histogram_value(size_t index)
{
	size_t shift;
	uint64_t low;

	if (index < HISTOGRAM_PARTS)
		return (int64_t)index;
	shift = index / HISTOGRAM_PARTS - 1;
	low = (uint64_t)(index % HISTOGRAM_PARTS + HISTOGRAM_PARTS) << shift;
	return (int64_t)(low + ((UINT64_C(1) << shift) >> 1));
}

void histogram_add(struct histogram *histogram, int64_t value_us)
{
	if (value_us < 0)
		value_us = 0;
	histogram->counts[histogram_index((uint64_t)value_us)]++;
	histogram->count++;
	histogram->sum_us += (double)value_us;
	if (value_us > histogram->max_us)
		histogram->max_us = value_us;
}

void histogram_merge(struct histogram *histogram, const struct histogram *from)
{
	size_t i;

	for (i = 0; i < HISTOGRAM_POWERS * HISTOGRAM_PARTS; i++)
		histogram->counts[i] += from->counts[i];
	histogram->count += from->count;
	histogram->sum_us += from->sum_us;
	if (from->max_us > histogram->max_us)
		histogram->max_us = from->max_us;
}

int64_t histogram_at(const struct histogram *histogram, double part)
{
	double wanted = part * (double)histogram->count;
	uint64_t seen = 0;
	size_t i;

	for (i = 0; i < HISTOGRAM_POWERS * HISTOGRAM_PARTS; i++) {
		seen += histogram->counts[i];
		if (seen && (double)seen >= wanted) {
			int64_t value = histogram_value(i);

			return value < histogram->max_us ? value
							 : histogram->max_us;
		}
	}
	return histogram->max_us;
}

double histogram_mean(const struct histogram *histogram)
{
	return histogram->count ? histogram->sum_us / (double)histogram->count
				: 0;
}
