/*
 * Requests that came while this VM couldn't tell what is in force: they wait a
 * moment for that.
 *
 * Load pattern: all VMs lose power and are back within a second, and a leader
 * is there a second later. A caller that is sent away comes back once, so in
 * those seconds most were lost that could have been served a little late.
 */
#include <stdlib.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/* How long a request waits at most: a leader is there within 1.5 s. */
#define DEFER_MAX_US INT64_C(1500000)

/* The part of its own time that it waits at most: what is left must serve. */
#define DEFER_DEADLINE_DIVISOR 3

/* Requests that may wait so; each holds a body of some kilobytes. */
#define DEFERRED_MAX 500

static void deferred_free(struct deferred_request *parked)
{
	list_remove(&parked->node);
	free((char *)parked->request.name);
	free((char *)parked->request.host);
	free((char *)parked->request.path);
	free((char *)parked->request.key);
	free((char *)parked->request.model);
	free((char *)parked->request.body_hash);
	free(parked);
}

void entry_free_deferred(struct entry *entry)
{
	struct deferred_request *parked;
	struct deferred_request *next;

	list_foreach_safe(parked, next, &entry->deferred, node)
		deferred_free(parked);
}

static bool has_room(const struct entry *entry)
{
	struct deferred_request *parked;
	int n = 0;

	list_foreach(parked, &entry->deferred, node)
		n++;
	return n < DEFERRED_MAX && !entry->stop_requested_us;
}

/** Let a request wait; false if it may not. */
bool entry_defer(struct entry *entry, const struct entry_request *request)
{
	int64_t wait_us = request->deadline_ms * 1000 / DEFER_DEADLINE_DIVISOR;
	struct deferred_request *parked;

	if (!has_room(entry))
		return false;
	if (wait_us <= 0 || wait_us > DEFER_MAX_US)
		wait_us = DEFER_MAX_US;
	parked = xcalloc(1, sizeof(*parked));
	parked->request = *request;
	parked->request.name = xstrdup(request->name);
	parked->request.host = xstrdup(request->host);
	parked->request.path = xstrdup(request->path);
	parked->request.key = xstrdup(request->key);
	parked->request.model = xstrdup(request->model);
	parked->request.body_hash = xstrdup(request->body_hash);
	parked->deferred_us = entry->now_us;
	parked->expires_us = entry->now_us + wait_us;
	list_append(&entry->deferred, &parked->node);
	return true;
}

/* What waited is decided on now; its time ran meanwhile. */
static void resume_one(struct entry *entry, struct deferred_request *parked)
{
	int64_t waited_ms = (entry->now_us - parked->deferred_us) / 1000;

	entry_log(entry, LOG_INFO, "request",
		  "event=waited request=%s for=fresh waited_ms=%lld",
		  parked->request.name, (long long)waited_ms);
	if (parked->request.deadline_ms > 0) {
		parked->request.deadline_ms -= waited_ms;
		if (parked->request.deadline_ms < 1)
			parked->request.deadline_ms = 1;
	}
	entry_decide(entry, &parked->request);
	deferred_free(parked);
}

/** Decide on what waited, or refuse what has waited too long. */
void entry_resume_deferred(struct entry *entry)
{
	struct deferred_request *parked;
	struct deferred_request *next;

	list_foreach_safe(parked, next, &entry->deferred, node) {
		if (entry_can_decide(entry)) {
			resume_one(entry, parked);
			continue;
		}
		if (entry->now_us < parked->expires_us &&
		    !entry->stop_requested_us)
			continue;
		entry_refuse(entry, &parked->request, RESULT_STALE,
			     ENTRY_STALE_RETRY_AFTER_MS);
		deferred_free(parked);
	}
}

/** The caller has left; false if its request isn't one that waits. */
bool entry_drop_deferred(struct entry *entry, uint64_t id)
{
	struct deferred_request *parked;

	list_foreach(parked, &entry->deferred, node) {
		if (parked->request.id != id)
			continue;
		deferred_free(parked);
		return true;
	}
	return false;
}
