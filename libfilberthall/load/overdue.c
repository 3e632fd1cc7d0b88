#include "load/overdue.h"

int64_t overdue_wait_us(double mean_first_us)
{
	double wait_us = OVERDUE_MEAN_RATIO * mean_first_us;

	if (wait_us < OVERDUE_MIN_US)
		wait_us = OVERDUE_MIN_US;
	return (int64_t)wait_us;
}
