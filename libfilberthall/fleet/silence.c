#include "fleet/silence.h"

static int64_t last_us(const struct silence *silence)
{
	return silence->heard_us > silence->busy_us ? silence->heard_us
						    : silence->busy_us;
}

void silence_starts(struct silence *silence, int64_t now_us)
{
	silence->busy_us = now_us;
}

void silence_heard(struct silence *silence, int64_t least_us, int64_t now_us)
{
	int64_t for_us = silence_for_us(silence, now_us);

	if (now_us - silence->heard_us >= SILENCE_LIVE_US)
		silence->back_us = now_us;
	if (silence->n_writing && for_us >= least_us)
		silence_note(silence, last_us(silence), now_us);
	silence->heard_us = now_us;
}

void silence_note(struct silence *silence, int64_t from_us, int64_t until_us)
{
	silence->from_us = from_us;
	silence->until_us = until_us;
}

bool silence_is_live(const struct silence *silence, int64_t now_us)
{
	return silence->heard_us &&
	       now_us - silence->heard_us < SILENCE_LIVE_US &&
	       now_us - silence->back_us >= SILENCE_LIVE_US;
}

int64_t silence_for_us(const struct silence *silence, int64_t now_us)
{
	return now_us - last_us(silence);
}

int64_t silence_between(const struct silence *silence, int64_t from_us,
			int64_t until_us)
{
	if (silence->from_us > from_us)
		from_us = silence->from_us;
	if (silence->until_us < until_us)
		until_us = silence->until_us;
	return until_us > from_us ? until_us - from_us : 0;
}
