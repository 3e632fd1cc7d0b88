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
#define PARK_US INT64_C(1500000)

/* The part of its own time that it waits at most: what is left must serve. */
#define PARK_SHARE 3

/* Requests that may wait so; each holds a body of some kilobytes. */
#define PARK_MOST 500

static void parked_free(struct parked_request *parked)
{
	list_remove(&parked->node);
	free((char *)parked->ask.name);
	free((char *)parked->ask.host);
	free((char *)parked->ask.path);
	free((char *)parked->ask.key);
	free((char *)parked->ask.model);
	free((char *)parked->ask.body_hash);
	free(parked);
}

void entry_free_parked(struct entry *entry)
{
	struct parked_request *parked;
	struct parked_request *next;

	list_foreach_safe(parked, next, &entry->parked, node)
		parked_free(parked);
}

static bool has_room(const struct entry *entry)
{
	struct parked_request *parked;
	int n = 0;

	list_foreach(parked, &entry->parked, node)
		n++;
	return n < PARK_MOST && !entry->stop_us;
}

/** Let a request wait; false if it may not. */
bool entry_park(struct entry *entry, const struct entry_request *request)
{
	int64_t wait_us = request->deadline_ms * 1000 / PARK_SHARE;
	struct parked_request *parked;

	if (!has_room(entry))
		return false;
	if (wait_us <= 0 || wait_us > PARK_US)
		wait_us = PARK_US;
	parked = xcalloc(1, sizeof(*parked));
	parked->ask = *request;
	parked->ask.name = xstrdup(request->name);
	parked->ask.host = xstrdup(request->host);
	parked->ask.path = xstrdup(request->path);
	parked->ask.key = xstrdup(request->key);
	parked->ask.model = xstrdup(request->model);
	parked->ask.body_hash = xstrdup(request->body_hash);
	parked->since_us = entry->now_us;
	parked->until_us = entry->now_us + wait_us;
	list_append(&entry->parked, &parked->node);
	return true;
}

/* What waited is decided on now; its time ran meanwhile. */
static void unpark_one(struct entry *entry, struct parked_request *parked)
{
	int64_t waited_ms = (entry->now_us - parked->since_us) / 1000;

	entry_log(entry, LOG_INFO, "request",
		  "event=waited request=%s for=fresh waited_ms=%lld",
		  parked->ask.name, (long long)waited_ms);
	if (parked->ask.deadline_ms > 0) {
		parked->ask.deadline_ms -= waited_ms;
		if (parked->ask.deadline_ms < 1)
			parked->ask.deadline_ms = 1;
	}
	entry_decide(entry, &parked->ask);
	parked_free(parked);
}

/** Decide on what waited, or refuse what has waited too long. */
void entry_unpark(struct entry *entry)
{
	struct parked_request *parked;
	struct parked_request *next;

	list_foreach_safe(parked, next, &entry->parked, node) {
		if (entry_can_decide(entry)) {
			unpark_one(entry, parked);
			continue;
		}
		if (entry->now_us < parked->until_us && !entry->stop_us)
			continue;
		entry_refuse(entry, &parked->ask, RESULT_STALE,
			     ENTRY_STALE_RETRY_MS);
		parked_free(parked);
	}
}

/** The caller has left; false if its request isn't one that waits. */
bool entry_drop_parked(struct entry *entry, uint64_t id)
{
	struct parked_request *parked;

	list_foreach(parked, &entry->parked, node) {
		if (parked->ask.id != id)
			continue;
		parked_free(parked);
		return true;
	}
	return false;
}
