#include "load/preempt.h"

bool preempt_allowed(const struct preempt_victim *victim, int tier)
{
	return victim->tier > tier && victim->idempotent && victim->usable &&
	       victim->done_share < PREEMPT_DONE_MOST;
}

bool preempt_before(const struct preempt_victim *a,
		    const struct preempt_victim *b)
{
	if (a->tier != b->tier)
		return a->tier > b->tier;
	return a->started_us > b->started_us;
}

bool preempt_helps(int64_t due_us, double natural_us, int64_t now_us)
{
	if (now_us + PREEMPT_FREE_US > due_us)
		return false;
	return (double)now_us + natural_us > (double)due_us;
}
