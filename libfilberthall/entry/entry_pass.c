/*
 * Requests for a service whose servers this VM doesn't reach are passed on to
 * an entry VM that does, as their caller sent them. That VM decides on them and
 * counts them.
 */
#include <stdio.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/* Control VMs repeat which VMs reach a service with the answer to a poll. */
#define WAYS_STALE_US INT64_C(1500000)

/* VMs that a request is passed on to, one after the other. */
#define PASSES_MOST 3

/* Another VM takes the request at once, or this one when the cut has ended. */
#define PASS_RETRY_AFTER_MS 250

/* Of a VM's answer that the request hasn't run. */
#define NOT_RUN_STATUS 503

static bool is_told(const struct entry *entry,
		    const struct service_state *service)
{
	return service->ways.n > 0 &&
	       entry->now_us - service->told_us < WAYS_STALE_US;
}

/* Neighbours may reach it, where no control VM can tell who does. */
bool entry_has_way(const struct entry *entry,
		   const struct service_state *service)
{
	return service->reach.state == REACH_LOST &&
	       (is_told(entry, service) ||
		(!entry_is_in_contact(entry) && entry_has_neighbour(entry)));
}

static const char *next_way(struct entry *entry, struct service_state *service)
{
	struct tried none = { .n = 0 };

	if (!is_told(entry, service))
		return entry_next_neighbour(entry, &none);
	return service->ways.callers[service->turn++ % service->ways.n];
}

void entry_start_pass(struct entry *entry, struct open_call *call,
		      const char *address)
{
	struct effect *effect;

	snprintf(call->way, sizeof(call->way), "%s", address);
	call->pass++;
	entry->totals.passed++;
	effect = effects_add(entry->effects, EFFECT_START_ATTEMPT);
	effect->u.start.id = call->id;
	effect->u.start.attempt = call->pass;
	effect->u.start.address = xstrdup(address);
	effect->u.start.proven = !call->repeatable;
	effect->u.start.to_vm = true;
	entry_log(entry, LOG_INFO, "request",
		  "event=passed request=%s to=%s silent_ms=%lld", call->name,
		  address, (long long)entry_silence_ms(entry));
}

bool entry_pass(struct entry *entry, struct open_call *call)
{
	struct service_state *service = entry_service(entry, call->service);

	if (call->passed_on || call->pass >= PASSES_MOST ||
	    !entry_has_way(entry, service))
		return false;
	entry_start_pass(entry, call, next_way(entry, service));
	return true;
}

/* The caller gets what the other VM answered, or a refusal of this one's. */
static void finish(struct entry *entry, struct open_call *call,
		   enum result code, bool may_have_run)
{
	struct effect *effect = effects_add(entry->effects, EFFECT_ANSWER);
	enum run_state run = may_have_run ? RUN_UNKNOWN : RUN_NOT;

	if (code == RESULT_OK)
		run = RUN_RAN;
	effect->u.answer.id = call->id;
	effect->u.answer.code = code;
	effect->u.answer.run = run;
	effect->u.answer.retry_after_ms = PASS_RETRY_AFTER_MS;
	entry_log(entry, LOG_INFO, "request",
		  "event=ended request=%s code=%s run=%s organisation=%s "
		  "passes=%d first_ms=%lld took_ms=%lld",
		  call->name, result_name(code), run_state_name(run),
		  call->organisation, call->pass,
		  (long long)(call->first_us
				      ? (call->first_us - call->arrived_us) /
						1000
				      : -1),
		  (long long)((entry->now_us - call->arrived_us) / 1000));
	entry_end_call(entry, call, code, run);
}

static void pass_taken(void *data, uint64_t id, bool may_have_run)
{
	struct entry *entry = data;
	struct open_call *call = entry_open_call(entry, id);

	if (!call)
		return;
	call->may_have_run = may_have_run;
	if (!entry_pass(entry, call))
		finish(entry, call, RESULT_BACKEND_CONNECT, may_have_run);
}

void entry_pass_waiting(struct entry *entry, struct service_state *service)
{
	router_withdraw(entry->router, service->service, pass_taken, entry,
			entry->now_us);
}

void entry_handle_ways(struct entry *entry, const struct feed_ways *ways)
{
	struct service_state *service;

	list_foreach(service, &entry->services, node) {
		if (map_hash_text(service->service) != ways->service)
			continue;
		/* A control VM that has just started knows of few. */
		if (!ways->n && entry_has_way(entry, service))
			continue;
		service->ways = *ways;
		service->told_us = entry->now_us;
	}
	entry_reach_tick(entry);
}

/* No connection to it: not to be tried until it is named again. */
static void forget_way(struct entry *entry, const struct open_call *call,
		       const char *address)
{
	struct feed_ways *ways = &entry_service(entry, call->service)->ways;
	int i;

	for (i = 0; i < ways->n; i++) {
		if (strcmp(ways->callers[i], address) != 0)
			continue;
		ways->n--;
		memmove(ways->callers[i], ways->callers[i + 1],
			(size_t)(ways->n - i) * sizeof(ways->callers[0]));
		return;
	}
}

void entry_pass_tokens(struct entry *entry, struct open_call *call,
		       const struct event_attempt_tokens *tokens)
{
	if (tokens->first && !call->first_us)
		call->first_us = entry->now_us;
}

/* The other VM's "not run" says nothing of servers that this one has tried. */
static enum result code_of(const struct open_call *call,
			   const struct event_attempt_ended *ended)
{
	if (call->may_have_run && ended->http_status == NOT_RUN_STATUS)
		return RESULT_BACKEND_BROKE;
	return (enum result)ended->code;
}

void entry_pass_ended(struct entry *entry, struct open_call *call,
		      const struct event_attempt_ended *ended)
{
	bool sent = ended->sent || ended->http_status;

	if (ended->attempt != call->pass ||
	    entry_elsewhere_ended(entry, call, ended))
		return;
	if (ended->code == RESULT_BACKEND_CONNECT && !sent) {
		forget_way(entry, call, call->way);
		if (entry_pass(entry, call))
			return;
	}
	finish(entry, call, code_of(call, ended), call->may_have_run || sent);
}

void entry_pass_cancel(struct entry *entry, struct open_call *call,
		       enum result code)
{
	struct effect *effect =
		effects_add(entry->effects, EFFECT_CANCEL_ATTEMPT);

	effect->u.cancel.id = call->id;
	effect->u.cancel.attempt = call->pass;
	finish(entry, call, code, true);
}
