/*
 * Requests that arrive while this VM's state is stale are deferred until it is
 * fresh again.
 *
 * Load pattern: all VMs lose power and restart within a second, and a leader is
 * elected a second later. A caller that is refused retries once, so most
 * requests of those seconds were lost, although they could have been served a
 * little later.
 */
#include <stdlib.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/* Longest time a request is deferred: a leader is elected within 1.5 s. */
#define DEFER_MAX_US INT64_C(1500000)

/*
 * A request is deferred for at most this fraction of its deadline, so that the
 * rest is enough to serve it.
 */
#define DEFER_DEADLINE_DIVISOR 3

/* Limit of deferred requests; each holds a body of a few kilobytes. */
#define DEFERRED_MAX 500

/** Copies a request with its strings, for entry_free_request(). */
void entry_copy_request(struct entry_request *to,
			const struct entry_request *from)
{
	*to = *from;
	to->name = xstrdup(from->name);
	to->host = xstrdup(from->host);
	to->path = xstrdup(from->path);
	to->key = xstrdup(from->key);
	to->model = xstrdup(from->model);
	to->body_hash = xstrdup(from->body_hash);
	to->parts = (void *)xmemdup(from->parts,
				    from->n_parts * sizeof(*from->parts));
	to->last_event = xstrdup(from->last_event);
	to->resumes = xstrdup(from->resumes);
}

void entry_free_request(struct entry_request *request)
{
	free((char *)request->name);
	free((char *)request->host);
	free((char *)request->path);
	free((char *)request->key);
	free((char *)request->model);
	free((char *)request->body_hash);
	free((uint64_t *)request->parts);
	free((char *)request->last_event);
	free((char *)request->resumes);
}

static void deferred_free(struct deferred_request *parked)
{
	list_remove(&parked->node);
	entry_free_request(&parked->request);
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

/** Defers a request; false if it must be refused. */
bool entry_defer(struct entry *entry, const struct entry_request *request)
{
	int64_t wait_us = request->deadline_ms * 1000 / DEFER_DEADLINE_DIVISOR;
	struct deferred_request *parked;

	if (!has_room(entry))
		return false;
	if (wait_us <= 0 || wait_us > DEFER_MAX_US)
		wait_us = DEFER_MAX_US;
	parked = xcalloc(1, sizeof(*parked));
	entry_copy_request(&parked->request, request);
	parked->deferred_us = entry->now_us;
	parked->expires_us = entry->now_us + wait_us;
	list_append(&entry->deferred, &parked->node);
	return true;
}

/*
 * Decides on a deferred request; its deadline is reduced by the time it waited.
 */
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

/** Decides on deferred requests, or refuses those that have expired. */
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

/** Drops the request of a caller that left; false if it isn't deferred. */
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
