#include "usage/stepout.h"

static bool is_near(int64_t a, int64_t b)
{
	return a - b <= STEPOUT_STEP_US && b - a <= STEPOUT_STEP_US;
}

static void believe(struct stepout *stepout, int64_t ahead_us)
{
	stepout->known = true;
	stepout->stepping = false;
	stepout->offset_us = ahead_us;
}

static void note_step(struct stepout *stepout, int64_t ahead_us, int64_t now_us)
{
	if (stepout->stepping && is_near(stepout->step_us, ahead_us))
		return;
	stepout->stepping = true;
	stepout->step_us = ahead_us;
	stepout->step_from_us = now_us;
}

int64_t stepout_time_us(struct stepout *stepout, int64_t wall_us,
			int64_t agreed_us, int64_t now_us)
{
	int64_t ahead_us = wall_us - now_us;

	if (!stepout->known || is_near(stepout->offset_us, ahead_us)) {
		believe(stepout, ahead_us);
		return wall_us;
	}
	note_step(stepout, ahead_us, now_us);
	if ((agreed_us && is_near(agreed_us, wall_us)) ||
	    now_us - stepout->step_from_us >= STEPOUT_US)
		believe(stepout, ahead_us);
	return now_us + stepout->offset_us;
}
