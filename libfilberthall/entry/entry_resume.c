/*
 * Streams that their callers resume. They go on at the service and the
 * software version that began them, or are refused as not run. Where a stream
 * was begun is known here, or the control VMs are asked.
 */
#include <stdlib.h>
#include <string.h>

#include "agree/member.h"
#include "base/alloc.h"
#include "entry/entry_state.h"

/*
 * Callers may come back sooner than the news of their stream, so the control
 * VMs are asked again before it counts as unknown.
 */
#define ASK_AGAIN_US INT64_C(60000)
#define ASK_UNTIL_US INT64_C(250000)

/* The part of the caller's time that this may take at most. */
#define ASK_DEADLINE_DIVISOR 4

/* The ask with which control VMs ask each other too. */
#define ASK_FORWARDED 2

/* Requests that wait for an answer, and those of one organisation. */
#define LOOKUPS_MOST 512
#define LOOKUPS_MOST_OWN (LOOKUPS_MOST / 4)

/* Control VMs whose answers are told apart. */
#define ANSWERS_MOST 16

/* The news may still come, or a server of the version start again. */
#define UNKNOWN_RETRY_AFTER_MS 500

struct lookup {
	struct list node;
	struct entry_request request; /**< its strings are owned */
	struct affinity_key key;
	uint64_t owner;
	int64_t since_us;
	int64_t expires_us;
	int64_t settles_us; /**< the same while its version is pending */
	int64_t asked_us;
	int asks;
	uint64_t peers[ANSWERS_MOST]; /**< that know nothing */
	int n_peers;
	int n_votes;	      /**< of these, voters */
	bool versions_differ; /**< as one of them says */
	int64_t voters;	      /**< of the control VMs, as told; 0: unknown */
};

static void lookup_free(struct lookup *lookup)
{
	list_remove(&lookup->node);
	entry_free_request(&lookup->request);
	free(lookup);
}

void entry_free_lookups(struct entry *entry)
{
	struct lookup *lookup;
	struct lookup *next;

	list_foreach_safe(lookup, next, &entry->lookups, node)
		lookup_free(lookup);
}

static const struct route *route_of(const struct entry *entry,
				    const struct entry_request *request)
{
	return document_route(entry->document, request->host, request->path);
}

static void ask(struct entry *entry, struct lookup *lookup)
{
	const struct route *route = route_of(entry, &lookup->request);
	struct feed_affinity_ask message = { .key = lookup->key };
	struct bytes body = { 0 };
	size_t i;

	lookup->asked_us = entry->now_us;
	message.forward = ++lookup->asks == ASK_FORWARDED;
	for (i = 0; route && i < route->n_splits &&
		    message.n_services < FEED_SERVICES_MOST;
	     i++)
		message.services[message.n_services++] =
			map_hash_text(route->splits[i].service);
	feed_write_affinity_ask(&body, &message);
	entry_send_all(entry, &body);
}

static bool has_room(const struct entry *entry, uint64_t owner)
{
	const struct lookup *lookup;
	int own = 0;
	int n = 0;

	list_foreach(lookup, &entry->lookups, node) {
		own += lookup->owner == owner;
		n++;
	}
	return n < LOOKUPS_MOST && own < LOOKUPS_MOST_OWN;
}

/* `lookup`: what was asked; NULL if nobody was. */
static void refuse_unknown(struct entry *entry,
			   const struct entry_request *request,
			   const struct lookup *lookup, const char *why)
{
	static const struct lookup none = { .asks = 0 };

	if (!lookup)
		lookup = &none;
	entry_log(entry, LOG_INFO, "request",
		  "event=unknown-stream request=%s resumes=%s why=%s asks=%d "
		  "answers=%d votes=%d voters=%lld control_vms=%zu "
		  "silent_ms=%lld",
		  request->name, request->resumes ? request->resumes : "none",
		  why, lookup->asks, lookup->n_peers, lookup->n_votes,
		  (long long)lookup->voters, entry->peers.count,
		  (long long)entry_silence_ms(entry));
	entry_refuse(entry, request, RESULT_STREAM_UNKNOWN,
		     UNKNOWN_RETRY_AFTER_MS);
}

/* `most_us`, or the part of the caller's time that may be taken. */
static int64_t wait_us(const struct entry_request *request, int64_t most_us)
{
	int64_t part_us = request->deadline_ms * 1000 / ASK_DEADLINE_DIVISOR;

	return part_us > 0 && part_us < most_us ? part_us : most_us;
}

static void look_up(struct entry *entry, const struct entry_request *request,
		    const struct affinity_key *key, uint64_t owner)
{
	struct lookup *lookup;

	if (!has_room(entry, owner)) {
		refuse_unknown(entry, request, NULL, "too-many-asked");
		return;
	}
	lookup = xcalloc(1, sizeof(*lookup));
	entry_copy_request(&lookup->request, request);
	lookup->key = *key;
	lookup->owner = owner;
	lookup->since_us = entry->now_us;
	lookup->expires_us = entry->now_us + wait_us(request, ASK_UNTIL_US);
	/* A server that lives is heard, and the version settled, by then. */
	lookup->settles_us =
		entry->now_us + wait_us(request, entry->registry.confirmed_us);
	list_append(&entry->lookups, &lookup->node);
	ask(entry, lookup);
}

bool entry_is_resumption(const struct route *route,
			 const struct entry_request *request)
{
	return route->kind == ROUTE_STREAM && route->resumable &&
	       request->last_event && *request->last_event;
}

struct affinity_key entry_resumed_key(const struct entry_request *request,
				      const char *organisation)
{
	return affinity_key(organisation,
			    request->resumes ? request->resumes : "");
}

const struct affinity *entry_resume(struct entry *entry,
				    const struct entry_request *request,
				    const char *organisation)
{
	struct affinity_key key = entry_resumed_key(request, organisation);
	const struct affinity *known;

	if (request->unreadable) {
		entry_refuse(entry, request, RESULT_BAD_REQUEST, 0);
		return NULL;
	}
	known = affinities_find(&entry->affinities, &key, entry->now_us);
	if (!known && !entry_is_in_contact(entry) &&
	    (request->passed_on || request->where == ENTRY_HERE)) {
		refuse_unknown(entry, request, NULL, "out-of-contact");
		return NULL;
	}
	if (!known || known->version == AFFINITY_PENDING) {
		look_up(entry, request, &key, map_hash_text(organisation));
		return NULL;
	}
	if (known->version != AFFINITY_UNCLEAR)
		return known;
	refuse_unknown(entry, request, NULL, "version-unclear");
	return NULL;
}

/* Decides on the request, whose caller has waited. */
static void resolve(struct entry *entry, struct lookup *lookup,
		    const struct affinity *affinity)
{
	int64_t waited_ms = (entry->now_us - lookup->since_us) / 1000;
	struct entry_request *request = &lookup->request;

	if (request->deadline_ms > 0) {
		request->deadline_ms -= waited_ms;
		if (request->deadline_ms < 1)
			request->deadline_ms = 1;
	}
	if (!entry_can_decide(entry))
		entry_refuse(entry, request, RESULT_STALE,
			     ENTRY_STALE_RETRY_AFTER_MS);
	else
		entry_decide_as(entry, request, affinity);
	lookup_free(lookup);
}

void entry_handle_affinities(struct entry *entry,
			     const struct feed_message *message)
{
	const struct affinity *known;
	struct lookup *lookup;
	struct lookup *next;
	size_t i;

	for (i = 0; i < message->n_affinities; i++) {
		struct affinity affinity = message->affinities[i];

		affinity.expires_us += entry->now_us;
		affinities_note(&entry->affinities, &affinity, entry->now_us);
	}
	list_foreach_safe(lookup, next, &entry->lookups, node) {
		known = affinities_find(&entry->affinities, &lookup->key,
					entry->now_us);
		if (known && known->version != AFFINITY_PENDING)
			resolve(entry, lookup, NULL);
	}
}

/*
 * The only service and version that can have begun a stream of the route, as
 * far as is known here; false if there are several.
 */
static bool only_affinity(const struct entry *entry, const struct route *route,
			  struct affinity *affinity)
{
	struct registry_versions versions;
	size_t i;

	*affinity = (struct affinity){ 0 };
	for (i = 0; i < route->n_splits; i++) {
		if (!route->splits[i].weight)
			continue;
		if (affinity->service)
			return false;
		affinity->service = map_hash_text(route->splits[i].service);
	}
	versions = registry_versions(&entry->registry, affinity->service);
	affinity->version = versions.version;
	return versions.version && !versions.differ;
}

static void note_answer(struct lookup *lookup, uint64_t peer,
			const struct feed_affinity_none *none)
{
	int i;

	lookup->versions_differ |= none->versions_differ;
	if (none->voters > lookup->voters)
		lookup->voters = none->voters;
	for (i = 0; i < lookup->n_peers; i++)
		if (lookup->peers[i] == peer)
			return;
	if (lookup->n_peers == ANSWERS_MOST)
		return;
	lookup->peers[lookup->n_peers++] = peer;
	lookup->n_votes += none->votes;
}

/*
 * No control VM knows the stream. It may go on if `n` of them agree that there
 * has been one version only, since any server may have begun it then. Those of
 * a minority may lack what the others have agreed on.
 */
static bool resolve_unknown(struct entry *entry, struct lookup *lookup,
			    size_t n)
{
	const struct route *route = route_of(entry, &lookup->request);
	struct affinity affinity;

	if (lookup->versions_differ || (size_t)lookup->n_peers < n ||
	    (lookup->voters &&
	     lookup->n_votes < members_quorum((int)lookup->voters)) ||
	    affinities_find(&entry->affinities, &lookup->key, entry->now_us) ||
	    !entry_can_decide(entry) || !route ||
	    !only_affinity(entry, route, &affinity))
		return false;
	resolve(entry, lookup, &affinity);
	return true;
}

void entry_handle_affinity_none(struct entry *entry, uint64_t peer,
				const struct feed_affinity_none *none)
{
	struct lookup *lookup;
	struct lookup *next;

	list_foreach_safe(lookup, next, &entry->lookups, node) {
		if (memcmp(&lookup->key, &none->key, sizeof(none->key)) != 0)
			continue;
		note_answer(lookup, peer, none);
		resolve_unknown(entry, lookup, entry->peers.count);
	}
}

bool entry_drop_lookup(struct entry *entry, uint64_t id)
{
	struct lookup *lookup;

	list_foreach(lookup, &entry->lookups, node) {
		if (lookup->request.id != id)
			continue;
		lookup_free(lookup);
		return true;
	}
	return false;
}

static bool is_pending(const struct entry *entry, const struct lookup *lookup)
{
	const struct affinity *known =
		affinities_find(&entry->affinities, &lookup->key,
				entry->now_us);

	return known && known->version == AFFINITY_PENDING;
}

static int64_t lookup_ends_us(const struct entry *entry,
			      const struct lookup *lookup)
{
	return is_pending(entry, lookup) ? lookup->settles_us
					 : lookup->expires_us;
}

static const char *why_unknown(const struct entry *entry,
			       const struct lookup *lookup)
{
	if (is_pending(entry, lookup))
		return "version-pending";
	if (lookup->versions_differ)
		return "versions-differ";
	return lookup->n_peers ? "too-few-answers" : "no-answer";
}

/* Those that answered can't speak for all control VMs. */
static bool may_be_known_elsewhere(const struct entry *entry,
				   const struct lookup *lookup)
{
	if (lookup->request.where != ENTRY_ANYWHERE ||
	    lookup->request.passed_on || is_pending(entry, lookup))
		return false;
	return !lookup->n_peers ||
	       (lookup->voters &&
		lookup->n_votes < members_quorum((int)lookup->voters));
}

/* The caller has waited for an answer that didn't come. */
static void end_lookup(struct entry *entry, struct lookup *lookup)
{
	if (may_be_known_elsewhere(entry, lookup) &&
	    entry_has_neighbour(entry)) {
		lookup->request.where = ENTRY_ELSEWHERE;
		resolve(entry, lookup, NULL);
		return;
	}
	refuse_unknown(entry, &lookup->request, lookup,
		       why_unknown(entry, lookup));
	lookup_free(lookup);
}

void entry_lookups_tick(struct entry *entry)
{
	size_t majority = entry->peers.count / 2 + 1;
	struct lookup *lookup;
	struct lookup *next;

	list_foreach_safe(lookup, next, &entry->lookups, node) {
		if (entry->now_us >= lookup_ends_us(entry, lookup)) {
			if (!resolve_unknown(entry, lookup, majority))
				end_lookup(entry, lookup);
		} else if (entry->now_us - lookup->asked_us >= ASK_AGAIN_US) {
			ask(entry, lookup);
		}
	}
}

int64_t entry_lookups_next_us(const struct entry *entry)
{
	const struct lookup *lookup;
	int64_t next_us = INT64_MAX;
	int64_t at_us;

	list_foreach(lookup, &entry->lookups, node) {
		at_us = lookup->asked_us + ASK_AGAIN_US;
		if (lookup_ends_us(entry, lookup) < at_us)
			at_us = lookup_ends_us(entry, lookup);
		if (at_us < next_us)
			next_us = at_us;
	}
	return next_us;
}
