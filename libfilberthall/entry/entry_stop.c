/*
 * A planned stop.
 */
#include "entry/entry_state.h"

/*
 * A stopping VM runs at least this long: the balancer probes once a second,
 * removes a VM after two failed probes, and callers that it has just sent here
 * still connect.
 */
#define STOP_MIN_US INT64_C(3500000)

/* Time before the end in which the last answers are written. */
#define LAST_ANSWERS_US INT64_C(200000)

static bool is_idle(const struct entry *entry)
{
	return !entry->calls.count && list_empty(&entry->deferred) &&
	       list_empty(&entry->lookups);
}

/* Whoever would be cut off by the end of the process is told before it. */
static void answer_open(struct entry *entry)
{
	struct open_call *call;
	struct open_call *next;

	router_stop(entry->router, entry->now_us, entry->effects);
	map_foreach(call, next, &entry->calls, node)
		if (call->pass)
			entry_pass_cancel(entry, call, RESULT_STOPPING);
}

void entry_check_stop(struct entry *entry)
{
	int64_t now_us = entry->now_us;

	if (!entry->stop_requested_us || entry->exited)
		return;
	if (now_us >= entry->stop_deadline_us - LAST_ANSWERS_US)
		answer_open(entry);
	if (now_us < entry->stop_deadline_us &&
	    (!is_idle(entry) ||
	     now_us - entry->stop_requested_us < STOP_MIN_US))
		return;
	entry_send_usage(entry);
	entry_tell_affinities(entry);
	entry_log(entry, LOG_INFO, "daemon", "event=exit open=%zu",
		  entry->calls.count);
	entry->exited = true;
	effects_add(entry->effects, EFFECT_EXIT);
}

void entry_stop(struct entry *entry, int64_t now_us, int64_t grace_us,
		struct effects *effects)
{
	entry->now_us = now_us;
	entry->effects = effects;
	if (entry->stop_requested_us)
		return;
	entry_log(entry, LOG_INFO, "daemon", "event=stop open=%zu",
		  entry->calls.count);
	entry->stop_requested_us = now_us;
	entry->stop_deadline_us = now_us + grace_us;
	entry_check_stop(entry);
}

bool entry_stopping(const struct entry *entry)
{
	return entry->stop_requested_us != 0;
}
