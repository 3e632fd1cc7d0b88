#include "load/preempt.h"

bool preempt_allowed(const struct preempt_victim *victim, int tier)
{
	return victim->tier > tier && victim->idempotent && victim->usable &&
	       !victim->by_floor && victim->done_share < PREEMPT_DONE_MOST;
}

bool preempt_before(const struct preempt_victim *a,
		    const struct preempt_victim *b)
{
	if (a->tier != b->tier)
		return a->tier > b->tier;
	return a->started_us > b->started_us;
}

void preempt_earn(struct preempt_budget *budget, int64_t tokens)
{
	budget->tokens += PREEMPT_LOSS_SHARE * (double)tokens;
	if (budget->tokens > PREEMPT_LOSS_SAVED)
		budget->tokens = PREEMPT_LOSS_SAVED;
}

bool preempt_spend(struct preempt_budget *budget, int64_t tokens)
{
	/* A start costs a prefill even if no token has come of it. */
	double cost = 1 + (double)tokens;

	if (budget->tokens < cost)
		return false;
	budget->tokens -= cost;
	return true;
}
