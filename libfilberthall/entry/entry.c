#include "entry/entry.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "entry/entry_state.h"

/* Interval of the checks for counts, polls and deferred requests. */
#define TICK_US INT64_C(50000)

/*
 * Interval at which load figures are decayed. They arrive only with answers. A
 * request to a plain service takes about 60 ms, so work that a server reported
 * before that has been completed.
 */
#define LOAD_DECAY_US INT64_C(100000)

void entry_log(struct entry *entry, enum log_level level, const char *module,
	       const char *format, ...)
{
	va_list args;

	va_start(args, format);
	effects_add_log(entry->effects, level, module, format, args);
	va_end(args);
}

/*
 * Capacity shares need links between entry VMs; without them the figures that
 * servers report limit what each VM sends. Hedging and preemption send a
 * request twice, for which the retry budget shared by all VMs has no room.
 */
static struct router_features features(void)
{
	struct router_features features = router_features_all();

	features.homes = true;
	features.lost_answers = true;
	features.shares = false;
	features.hedging = false;
	features.preemption = false;
	return features;
}

struct entry *entry_new(const struct entry_options *options, int64_t now_us)
{
	struct entry *entry = xcalloc(1, sizeof(*entry));
	struct router_options router = { 0 };

	entry->options = *options;
	entry->vm = xstrdup(options->vm);
	entry->zone = name_short_copy(options->zone);
	entry->rng.state = options->seed;
	entry->fresh_as_of_us = INT64_MIN / 2;
	entry->number = -1;
	entry->polled_us = INT64_MIN / 2;
	fetch_init(&entry->fetch);
	fleet_init(&entry->fleet);
	registry_init(&entry->registry, options->announce_interval_us, now_us);
	evacuations_init(&entry->evacuations);
	if (options->regions)
		entry->regions = *options->regions;
	begun_init(&entry->begun);
	presumed_init(&entry->presumed);
	retry_history_init(&entry->past_retries);
	affinities_init(&entry->affinities, ENTRY_AFFINITIES_MOST);
	list_init(&entry->lookups);
	list_init(&entry->pending);
	list_init(&entry->guests);
	list_init(&entry->recent);
	entry->started_us = now_us;
	map_init(&entry->peers);
	map_init(&entry->calls);
	list_init(&entry->deferred);
	list_init(&entry->classes);
	list_init(&entry->services);
	router.seed = rng_next(&entry->rng);
	router.self = options->self;
	router.zone = entry->zone;
	router.fleet = &entry->fleet;
	router.services_exist = true;
	router.features = features();
	router.hooks.finished = entry_request_finished;
	router.hooks.crashed = entry_tell_crash;
	router.hooks.retried = entry_tell_retries;
	router.hooks.data = entry;
	entry->router = router_new(&router);
	entry->now_us = now_us;
	return entry;
}

void entry_set_callers(struct entry *entry, const char *address)
{
	snprintf(entry->callers, sizeof(entry->callers), "%s", address);
}

void entry_free(struct entry *entry)
{
	struct entry_class *class;
	struct entry_class *next_class;

	if (!entry)
		return;
	router_free(entry->router);
	entry_free_calls(entry);
	entry_free_deferred(entry);
	entry_free_lookups(entry);
	entry_free_pending(entry);
	entry_free_guests(entry);
	entry_free_recent(entry);
	list_foreach_safe(class, next_class, &entry->classes, node)
		free(class);
	entry_free_services(entry);
	feed_peers_clear(&entry->peers);
	fleet_clear(&entry->fleet);
	registry_clear(&entry->registry);
	evacuations_clear(&entry->evacuations);
	begun_clear(&entry->begun);
	presumed_clear(&entry->presumed);
	retry_history_clear(&entry->past_retries);
	affinities_clear(&entry->affinities);
	document_free(entry->document);
	free(entry->vm);
	free(entry->zone);
	free(entry);
}

static void set_context(struct entry *entry, int64_t now_us,
			struct effects *effects)
{
	entry->now_us = now_us;
	entry->effects = effects;
}

static void log_freshness_change(struct entry *entry)
{
	bool fresh = entry_is_fresh(entry, entry->now_us);

	if (fresh == entry->was_fresh)
		return;
	entry->was_fresh = fresh;
	entry_log(entry, fresh ? LOG_INFO : LOG_WARN, "fresh",
		  "event=%s age_ms=%lld version=%lld control_vms=%zu",
		  fresh ? "fresh" : "stale",
		  (long long)((entry->now_us - entry->fresh_as_of_us) / 1000),
		  (long long)(entry->document ? entry->document->version : 0),
		  entry->peers.count);
}

void entry_tick(struct entry *entry, int64_t now_us, struct effects *effects)
{
	set_context(entry, now_us, effects);
	entry_feed_tick(entry);
	entry_tell_parts(entry);
	if (now_us - entry->load_decayed_us >= LOAD_DECAY_US) {
		entry->load_decayed_us = now_us;
		fleet_decay_load(&entry->fleet, LOAD_DECAY_US, now_us);
	}
	entry_reach_tick(entry);
	entry_affinity_tick(entry);
	entry_lookups_tick(entry);
	router_tick(entry->router, now_us, effects);
	log_freshness_change(entry);
	entry_resume_deferred(entry);
	entry_check_stop(entry);
}

int64_t entry_next_tick(const struct entry *entry, int64_t now_us)
{
	int64_t next_us = router_next_tick(entry->router, now_us);
	int64_t lookups_us = entry_lookups_next_us(entry);

	if (lookups_us < next_us)
		next_us = lookups_us;
	return next_us < now_us + TICK_US ? next_us : now_us + TICK_US;
}

void entry_stood_still(struct entry *entry, int64_t from_us, int64_t until_us,
		       struct effects *effects)
{
	set_context(entry, until_us, effects);
	entry_log(entry, LOG_WARN, "daemon",
		  "event=stood-still ms=%lld open=%zu",
		  (long long)((until_us - from_us) / 1000), entry->calls.count);
	router_stood_still(entry->router, from_us, until_us);
}

void entry_link_up(struct entry *entry, const struct event_link_up *up,
		   int64_t now_us, struct effects *effects)
{
	set_context(entry, now_us, effects);
	if (up->observer) {
		entry_neighbour_up(entry, up->peer);
		return;
	}
	feed_peer_up(&entry->peers, up->peer, false);
	entry_log(entry, LOG_INFO, "link", "event=up vm=%s zone=%s", up->name,
		  up->zone);
	begun_tell_again(&entry->begun);
	entry_tell_crashes_to(entry, up->peer);
	entry_tell_limits_to(entry, up->peer);
	entry_tell_retries_to(entry, up->peer);
	entry_tell_affinities_to(entry, up->peer);
	entry_poll(entry);
}

void entry_link_down(struct entry *entry, uint64_t id, int64_t now_us,
		     struct effects *effects)
{
	struct feed_peer *peer = feed_peer_find(&entry->peers, id);

	set_context(entry, now_us, effects);
	if (entry_neighbour_down(entry, id) || !peer)
		return;
	entry_log(entry, LOG_INFO, "link", "event=down peer=%llx left=%zu",
		  (unsigned long long)id, entry->peers.count - 1);
	feed_peer_down(&entry->peers, peer);
	if (fetch_peer_lost(&entry->fetch, id))
		entry_poll(entry);
}

void entry_link_message(struct entry *entry,
			const struct event_link_message *message,
			int64_t now_us, struct effects *effects)
{
	set_context(entry, now_us, effects);
	if (message->channel == LINK_FEED) {
		if (feed_peer_find(&entry->peers, message->peer))
			entry_feed_message(entry, message->peer,
					   &message->body);
		else
			entry_neighbour_message(entry, message->peer,
						&message->body);
	}
	log_freshness_change(entry);
	entry_resume_deferred(entry);
}

void entry_set_regions(struct entry *entry, const struct regions *regions)
{
	struct backend *backend;
	struct backend *next;

	entry->regions = *regions;
	map_foreach(backend, next, &entry->fleet.backends, node)
		backend->regions = regions_of_zone(regions, backend->zone);
}

bool entry_ready(const struct entry *entry, int64_t now_us)
{
	return !entry->stop_requested_us && entry->document &&
	       entry_is_fresh(entry, now_us) &&
	       !entry_is_isolated(entry, now_us) &&
	       entry->fleet.backends.count > 0;
}

const struct document *entry_document(const struct entry *entry)
{
	return entry->document;
}

struct entry_view entry_view(const struct entry *entry, int64_t now_us)
{
	struct entry_view view = entry->totals;

	view.version = entry->document ? entry->document->version : 0;
	view.staleness_us = entry->fresh_as_of_us > INT64_MIN / 4
				    ? now_us - entry->fresh_as_of_us
				    : -1;
	view.silence_us = entry->contact_us ? now_us - entry->contact_us : -1;
	view.control_vms = (int)entry->peers.count;
	view.open = (int64_t)entry->calls.count;
	view.servers = registry_count_usable(&entry->registry);
	return view;
}
