#include "load/backoff.h"

bool backoff_holds(const struct backend *backend, int64_t now_us)
{
	return now_us < backend->retry_at_us;
}

bool backoff_is_untried(const struct backend *backend)
{
	return backend->retry_at_us && !backend->retried_us;
}

bool backoff_allows(const struct backend *backend, int64_t now_us)
{
	if (backoff_holds(backend, now_us))
		return false;
	return !backend->retry_at_us || !backend->retried_us ||
	       now_us - backend->retried_us >= BACKOFF_TRIAL_US;
}

void backoff_record(struct backend *backend, int64_t now_us)
{
	if (backoff_is_untried(backend))
		backend->retried_us = now_us;
}
