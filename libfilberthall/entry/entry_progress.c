/*
 * What becomes of requests that were submitted: their attempts' events, their
 * end, callers that leave.
 */
#include "entry/entry_state.h"

static void histogram_add(struct entry_histogram *histogram, int64_t ms)
{
	int64_t bound = ENTRY_FIRST_BUCKET_MS;
	int i;

	for (i = 0; i < ENTRY_BUCKETS - 1 && ms > bound; i++)
		bound *= 2;
	histogram->buckets[i]++;
	histogram->count++;
	histogram->sum_ms += ms;
}

static void record_latency(struct entry *entry,
			   const struct router_outcome *outcome)
{
	int64_t first_us = outcome->first_token_us ? outcome->first_token_us
						   : outcome->ended_us;

	if (outcome->code)
		return;
	histogram_add(&entry->totals.time_to_first,
		      (first_us - outcome->arrived_us) / 1000);
	histogram_add(&entry->totals.total_time,
		      (outcome->ended_us - outcome->arrived_us) / 1000);
}

void entry_request_finished(void *data, const struct router_outcome *outcome)
{
	struct entry *entry = data;
	struct open_call *call = entry_open_call(entry, outcome->id);

	if (!call)
		return;
	record_latency(entry, outcome);
	entry_log(entry, LOG_INFO, "request",
		  "event=ended request=%s code=%s run=%s organisation=%s "
		  "class=%s server=%s attempts=%d first_ms=%lld took_ms=%lld "
		  "pieces=%lld pause_ms=%lld attained=%d",
		  call->name, result_name(outcome->code),
		  run_state_name(outcome->run), call->organisation,
		  outcome->class_name,
		  outcome->address ? outcome->address : "none",
		  outcome->attempts,
		  (long long)(outcome->first_token_us
				      ? (outcome->first_token_us -
					 outcome->arrived_us) /
						1000
				      : -1),
		  (long long)((outcome->ended_us - outcome->arrived_us) / 1000),
		  (long long)outcome->output_tokens,
		  (long long)(outcome->pause_us / 1000), outcome->attained);
	entry_end_call(entry, call, outcome->code, outcome->run);
}

void entry_attempt_tokens(struct entry *entry,
			  const struct event_attempt_tokens *tokens,
			  int64_t now_us, struct effects *effects)
{
	struct open_call *call = entry_open_call(entry, tokens->id);

	entry->now_us = now_us;
	entry->effects = effects;
	if (call && call->pass) {
		entry_pass_tokens(entry, call, tokens);
		return;
	}
	if (tokens->first)
		entry_count_started(entry, tokens->id);
	router_tokens(entry->router, tokens, now_us, effects);
}

static void probe_server(struct entry *entry,
			 const struct event_attempt_ended *ended)
{
	struct router_attempt_view view;

	if (router_attempt(entry->router, ended->id, ended->attempt,
			   entry->now_us, &view))
		entry_probe_broken(entry, view.address);
}

void entry_attempt_ended(struct entry *entry,
			 const struct event_attempt_ended *ended,
			 int64_t now_us, struct effects *effects)
{
	struct open_call *call = entry_open_call(entry, ended->id);

	entry->now_us = now_us;
	entry->effects = effects;
	if (call && call->pass) {
		entry_pass_ended(entry, call, ended);
		return;
	}
	entry->totals.attempts++;
	if (ended->http_status && ended->sent)
		entry_count_started(entry, ended->id);
	else
		entry_add_presumed(entry, ended);
	if (call && ended->code)
		entry_log(entry, LOG_INFO, "attempt",
			  "event=failed request=%s attempt=%lld code=%s "
			  "status=%lld sent=%d pieces=%lld",
			  call->name, (long long)ended->attempt,
			  result_name((enum result)ended->code),
			  (long long)ended->http_status, ended->sent,
			  (long long)ended->tokens);
	if (call && call->resumable && ended->code == RESULT_BACKEND_BROKE)
		probe_server(entry, ended);
	router_ended(entry->router, ended, now_us, effects);
	entry_reach_tick(entry);
	entry_tell_parts(entry);
}

void entry_caller_left(struct entry *entry, uint64_t id, int64_t now_us,
		       struct effects *effects)
{
	struct open_call *call = entry_open_call(entry, id);

	entry->now_us = now_us;
	entry->effects = effects;
	if (call && call->pass)
		entry_pass_cancel(entry, call, RESULT_CALLER_LEFT);
	else if (!entry_drop_deferred(entry, id) &&
		 !entry_drop_lookup(entry, id))
		router_caller_left(entry->router, id, now_us, effects);
}
