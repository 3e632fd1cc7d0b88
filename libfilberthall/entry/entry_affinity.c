/*
 * Where the streams of this VM's requests were begun. The control VMs are told,
 * so that the VM that a caller comes back to can ask them.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/*
 * While a service has had one version only, any VM may go on with its streams,
 * and the records are needed only if another version comes.
 */
#define TELL_US INT64_C(250000)

/* They are told by then, and what they were told before has reached them. */
#define RECENT_US INT64_C(1000000)

void entry_tell_affinities(struct entry *entry)
{
	struct bytes body = { 0 };

	if (entry->n_untold) {
		feed_write_affinities(&body, entry->untold, entry->n_untold,
				      entry->now_us);
		entry_tell_neighbours(entry, &body);
		entry_send_all(entry, &body);
	}
	entry->n_untold = 0;
	entry->told_us = entry->now_us;
}

struct teller {
	struct affinity list[FEED_AFFINITIES_MOST];
	size_t n;
	struct entry *entry;
	uint64_t peer;
};

static void flush(struct teller *teller)
{
	struct bytes body = { 0 };

	if (!teller->n)
		return;
	feed_write_affinities(&body, teller->list, teller->n,
			      teller->entry->now_us);
	feed_send(teller->entry->effects, teller->peer, &body);
	bytes_clear(&body);
	teller->n = 0;
}

static void tell(void *data, const struct affinity *affinity)
{
	struct teller *teller = data;

	if (teller->n == FEED_AFFINITIES_MOST)
		flush(teller);
	teller->list[teller->n++] = *affinity;
}

/** A control VM may have started again and know of none. */
void entry_tell_affinities_to(struct entry *entry, uint64_t peer)
{
	struct teller teller = { .entry = entry, .peer = peer };

	affinities_visit(&entry->affinities, entry->now_us, tell, &teller);
	flush(&teller);
}

static void recent_free(struct recent *recent)
{
	list_remove(&recent->node);
	free(recent);
}

void entry_free_recent(struct entry *entry)
{
	struct recent *recent;
	struct recent *next;

	list_foreach_safe(recent, next, &entry->recent, node)
		recent_free(recent);
}

/* What was told before a quorum was heard of is known to control VMs. */
static void forget_recent(struct entry *entry)
{
	struct recent *oldest;

	while ((oldest = list_first(&entry->recent, struct recent, node)) &&
	       oldest->noted_us < entry->fresh_as_of_us - RECENT_US)
		recent_free(oldest);
}

static void add_recent(struct entry *entry, const struct affinity *affinity)
{
	struct recent *recent = xcalloc(1, sizeof(*recent));

	forget_recent(entry);
	recent->affinity = *affinity;
	recent->noted_us = entry->now_us;
	list_append(&entry->recent, &recent->node);
}

void entry_tell_recent_to(struct entry *entry, uint64_t peer)
{
	struct teller teller = { .entry = entry, .peer = peer };
	const struct recent *recent;

	forget_recent(entry);
	list_foreach(recent, &entry->recent, node)
		tell(&teller, &recent->affinity);
	flush(&teller);
}

/* Record it here, and tell the control VMs soon. */
void entry_note_affinity(struct entry *entry, const struct affinity *affinity)
{
	if (!affinities_note(&entry->affinities, affinity, entry->now_us))
		return;
	add_recent(entry, affinity);
	if (entry->n_untold == ENTRY_UNTOLD_MOST)
		entry_tell_affinities(entry);
	entry->untold[entry->n_untold++] = *affinity;
}

struct affinity entry_affinity_of(const struct open_call *call,
				  const struct affinity_key *key,
				  uint64_t version)
{
	struct affinity affinity = {
		.key = *key,
		.owner = map_hash_text(call->organisation),
		.service = map_hash_text(call->service),
		.version = version,
		.expires_us = call->deadline_us + AFFINITY_KEEP_US,
	};

	return affinity;
}

static void note(struct entry *entry, const struct open_call *call,
		 const struct affinity_key *key, uint64_t version)
{
	struct affinity affinity = entry_affinity_of(call, key, version);

	entry_note_affinity(entry, &affinity);
}

static void note_begun(struct entry *entry, struct open_call *call,
		       uint64_t version)
{
	struct affinity_key own = affinity_key(call->organisation, call->name);
	uint64_t service = map_hash_text(call->service);

	call->begun = true;
	entry->begun_out_of_contact += !entry_is_in_contact(entry);
	note(entry, call, &own, version);
	if (call->resumes)
		note(entry, call, &call->resumed, version);
	if (registry_versions(&entry->registry, service).differ)
		entry_tell_affinities(entry);
}

/* What an attempt's first event shows of its server. */
enum server_version {
	VERSION_MEANT,	/* the one that the attempt was meant for */
	VERSION_UNSURE, /* it may have started again since it was last heard */
	VERSION_GONE,	/* it has left, and isn't heard any more */
	VERSION_OTHER	/* it has started again with another one */
};

/* A server may start again under its id and address. */
static enum server_version version_at(const struct entry *entry,
				      const struct router_attempt_view *view)
{
	const struct registry_entry *server =
		registry_find_address(&entry->registry, view->address);

	if (!server)
		return VERSION_GONE;
	if (server->version != view->version)
		return VERSION_OTHER;
	return entry_is_confirmed(entry, server) ? VERSION_MEANT
						 : VERSION_UNSURE;
}

static void log_version(struct entry *entry, const struct open_call *call,
			const struct router_attempt_view *view,
			const char *event)
{
	entry_log(entry, LOG_WARN, "attempt", "event=%s request=%s server=%s",
		  event, call->name, view->address);
}

/* What a stream whose version is fixed does with that server's answer. */
static enum entry_begin go_on_at(struct entry *entry,
				 const struct open_call *call,
				 const struct router_attempt_view *view,
				 enum server_version version)
{
	if (version == VERSION_MEANT)
		return ENTRY_BEGIN_PASS;
	if (version == VERSION_UNSURE)
		return ENTRY_BEGIN_WAIT;
	log_version(entry, call, view, "other-version");
	return ENTRY_BEGIN_REJECT;
}

enum entry_begin entry_attempt_begins(struct entry *entry, uint64_t id,
				      int64_t attempt, int64_t now_us,
				      struct effects *effects)
{
	struct open_call *call = entry_open_call(entry, id);
	struct router_attempt_view view;
	enum server_version version;
	enum entry_begin begin;

	entry->now_us = now_us;
	entry->effects = effects;
	if (!call || call->pass || !call->resumable ||
	    !router_attempt(entry->router, id, attempt, now_us, &view))
		return ENTRY_BEGIN_PASS;
	version = version_at(entry, &view);
	if (call->begun || call->resumes || version == VERSION_OTHER) {
		begin = go_on_at(entry, call, &view, version);
		if (begin == ENTRY_BEGIN_WAIT)
			router_held(entry->router, id, attempt, now_us);
		if (begin == ENTRY_BEGIN_PASS && !call->begun)
			note_begun(entry, call, view.version);
		return begin;
	}
	if (version != VERSION_MEANT) {
		log_version(entry, call, &view, "version-unsure");
		router_fix_version(entry->router, id, ROUTER_VERSION_NONE);
		entry_add_pending(entry, call, attempt, &view);
	} else {
		note_begun(entry, call, view.version);
	}
	return ENTRY_BEGIN_PASS;
}

void entry_affinity_tick(struct entry *entry)
{
	if (entry->now_us - entry->told_us < TELL_US)
		return;
	entry_tell_affinities(entry);
	affinities_expire(&entry->affinities, entry->now_us);
}
