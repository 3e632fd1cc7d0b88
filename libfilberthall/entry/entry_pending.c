/*
 * Streams that began at a server which may have started again unheard. Once
 * the server is heard as the start that it was meant for, their version is
 * known; control VMs are told at once that it is pending.
 */
#include <stdio.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/* A server that isn't heard by then has timed out. */
#define PENDING_US (2 * REGISTRY_TIMEOUT_MIN_US)

struct pending {
	struct list node;
	struct affinity affinity; /* with the version that was meant */
	char address[BACKEND_NAME_SIZE];
	int64_t started_ms; /* of the server that was meant */
	int64_t since_us;
	uint64_t call;
	int64_t attempt;
};

static void pending_free(struct pending *pending)
{
	list_remove(&pending->node);
	free(pending);
}

void entry_free_pending(struct entry *entry)
{
	struct pending *pending;
	struct pending *next;

	list_foreach_safe(pending, next, &entry->pending, node)
		pending_free(pending);
}

void entry_add_pending(struct entry *entry, struct open_call *call,
		       int64_t attempt, const struct router_attempt_view *view)
{
	struct pending *pending = xcalloc(1, sizeof(*pending));
	const struct registration *told = entry_server_at(entry, view->address);
	struct affinity_key key = affinity_key(call->organisation, call->name);
	struct affinity affinity =
		entry_affinity_of(call, &key, AFFINITY_PENDING);

	entry->begun_out_of_contact += !entry_is_in_contact(entry);
	entry_note_affinity(entry, &affinity);
	entry_tell_affinities(entry);
	pending->affinity = affinity;
	pending->affinity.version = view->version;
	snprintf(pending->address, sizeof(pending->address), "%s",
		 view->address);
	pending->started_ms = told ? told->started_ms : -1;
	pending->since_us = entry->now_us;
	pending->call = call->id;
	pending->attempt = attempt;
	list_append(&entry->pending, &pending->node);
}

/* The stream may go on within its answer. */
static void fix_version(struct entry *entry, const struct pending *pending)
{
	struct open_call *call = entry_open_call(entry, pending->call);
	struct router_attempt_view view;

	if (!call || !router_attempt(entry->router, pending->call,
				     pending->attempt, entry->now_us, &view))
		return;
	call->begun = true;
	router_fix_version(entry->router, pending->call,
			   pending->affinity.version);
}

/* Whether nothing more will be known of it. */
static bool settle(struct entry *entry, struct pending *pending)
{
	const struct registry_entry *server =
		registry_find_address(&entry->registry, pending->address);

	if (entry->now_us - pending->since_us > PENDING_US)
		return true;
	if (!server || server->registration.started_ms != pending->started_ms) {
		pending->affinity.version = AFFINITY_UNCLEAR;
	} else if (server->last_contact_us > pending->since_us &&
		   entry_is_confirmed(entry, server)) {
		fix_version(entry, pending);
	} else {
		return false;
	}
	entry_note_affinity(entry, &pending->affinity);
	return true;
}

void entry_settle_pending(struct entry *entry)
{
	struct pending *pending;
	struct pending *next;
	bool any = false;

	list_foreach_safe(pending, next, &entry->pending, node) {
		if (!settle(entry, pending))
			continue;
		pending_free(pending);
		any = true;
	}
	if (any)
		entry_tell_affinities(entry);
}
