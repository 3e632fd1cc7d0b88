#include "fleet/health.h"

/* Weight of a new answer in the average, after the first 16 answers. */
#define HEALTH_GAIN (1.0 / 16)

/* Answers that are needed before a server can be a straggler. */
#define HEALTH_MIN_ANSWERS 4

void health_answered(struct health *health, int64_t tokens, int64_t took_us,
		     int64_t now_us)
{
	double sample;
	double gain;

	health->n_failures = 0;
	health->backoff_us = 0;
	if (now_us >= health->backoff_until_us)
		health->backoff_until_us = 0;
	if (tokens < 2 || took_us <= 0)
		return;
	sample = (double)took_us / (double)(tokens - 1);
	health->n_answers++;
	gain = 1.0 / (double)health->n_answers;
	if (gain < HEALTH_GAIN)
		gain = HEALTH_GAIN;
	health->token_us += gain * (sample - health->token_us);
}

void health_failed(struct health *health, int64_t now_us)
{
	health->n_failures++;
	if (now_us < health->backoff_until_us)
		return;
	health->backoff_us = health->backoff_us ? 2 * health->backoff_us
						: HEALTH_MIN_BACKOFF_US;
	if (health->backoff_us > HEALTH_MAX_BACKOFF_US)
		health->backoff_us = HEALTH_MAX_BACKOFF_US;
	health->backoff_until_us = now_us + health->backoff_us;
	health->recovery_start_us = health->backoff_until_us;
}

void health_overdue(struct health *health, int64_t now_us)
{
	if (now_us - health->last_token_us >= HEALTH_TOKEN_TIMEOUT_US)
		health_failed(health, now_us);
}

void health_reset(struct health *health, int64_t now_us)
{
	bool was_known = health->n_answers || health->n_failures;

	*health = (struct health){ 0 };
	if (was_known)
		health->recovery_start_us = now_us;
}

void health_update_straggler(struct health *health, double median_token_us)
{
	bool known = health->n_answers >= HEALTH_MIN_ANSWERS;

	if (!known || median_token_us <= 0)
		health->is_straggler = false;
	else
		health->is_straggler =
			health->token_us * HEALTH_STRAGGLER_RATIO >
			median_token_us;
}

double health_weight(const struct health *health, int64_t now_us)
{
	double weight = 1;
	int64_t step;

	if (now_us < health->backoff_until_us)
		return 0;
	if (health->recovery_start_us) {
		weight = HEALTH_MIN_WEIGHT;
		for (step = health->recovery_start_us;
		     step < now_us && weight < 1;
		     step += HEALTH_RECOVERY_STEP_US)
			weight *= 2;
	}
	if (health->is_straggler)
		weight = HEALTH_MIN_WEIGHT;
	return weight < 1 ? weight : 1;
}
