#include "load/preempt.h"

#include <math.h>

/* Time constant of the moving average of the token rate. */
#define PREEMPT_RATE_US 10e6

bool preempt_allowed(const struct preempt_victim *victim, int tier)
{
	return victim->tier > tier && victim->idempotent && victim->usable &&
	       !victim->by_floor &&
	       victim->done_fraction < PREEMPT_MAX_DONE_FRACTION;
}

bool preempt_before(const struct preempt_victim *a,
		    const struct preempt_victim *b)
{
	if (a->tier != b->tier)
		return a->tier > b->tier;
	return a->started_us > b->started_us;
}

void preempt_init(struct preempt_budget *budget)
{
	*budget = (struct preempt_budget){ .tokens = PREEMPT_MIN_BUDGET,
					   .max_tokens = PREEMPT_MIN_BUDGET };
}

void preempt_earn(struct preempt_budget *budget, int64_t tokens, int64_t now_us)
{
	double elapsed_us = (double)(now_us - budget->updated_us);
	double max_tokens;

	if (elapsed_us > 0) {
		budget->rate *= exp(-elapsed_us / PREEMPT_RATE_US);
		budget->updated_us = now_us;
	}
	budget->rate += (double)tokens * 1e6 / PREEMPT_RATE_US;
	max_tokens = budget->rate * PREEMPT_SAVED_S;
	budget->tokens += PREEMPT_LOSS_SHARE * (double)tokens;
	/* When the limit grows with the rate, the budget grows as much. */
	if (max_tokens > budget->max_tokens) {
		budget->tokens += max_tokens - budget->max_tokens;
		budget->max_tokens = max_tokens;
	}
	if (budget->tokens > budget->max_tokens)
		budget->tokens = budget->max_tokens;
}

bool preempt_spend(struct preempt_budget *budget, int64_t tokens)
{
	/* An attempt has cost a prefill even if it has no tokens yet. */
	double cost = 1 + (double)tokens;

	if (budget->tokens < cost)
		return false;
	budget->tokens -= cost;
	return true;
}
