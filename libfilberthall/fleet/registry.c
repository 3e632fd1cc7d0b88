#include "fleet/registry.h"

#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/alloc.h"

/* A version that a service's servers have or lately had. */
struct service_version {
	struct list node;
	uint64_t service;
	uint64_t version;
	int64_t seen_us;
};

static bool is_number(int64_t value, int64_t most)
{
	return value >= 0 && value <= most;
}

bool registration_is_usable(const struct registration *registration)
{
	struct address address;

	return registration->id[0] && registration->service[0] &&
	       registration->zone[0] &&
	       address_parse(&address, registration->address) &&
	       address_is_unicast(&address) &&
	       is_number(registration->started_ms, REGISTRATION_NUMBER_MOST) &&
	       is_number(registration->sequence, REGISTRATION_NUMBER_MOST) &&
	       is_number(registration->leaves_ms, REGISTRATION_NUMBER_MOST) &&
	       is_number(registration->cold_ms, REGISTRATION_NUMBER_MOST) &&
	       is_number(registration->slots, REGISTRATION_SLOTS_MOST);
}

static bool id_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct registry_entry, node)
			       ->registration.id,
		       key);
}

static bool address_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct registry_entry, address_node)
			       ->registration.address,
		       key);
}

static void unindex(struct registry *registry, struct registry_entry *entry)
{
	if (entry->indexed) {
		map_remove(&registry->by_address, &entry->address_node);
		map_remove(&registry->by_short_id, &entry->short_id_node);
	}
	entry->indexed = false;
}

static void place(struct registry *registry, struct registry_entry *entry)
{
	map_insert(&registry->by_address, &entry->address_node,
		   map_hash_text(entry->registration.address));
	map_insert(&registry->by_short_id, &entry->short_id_node,
		   registration_short_id(entry->registration.id,
					 entry->registration.started_ms));
	entry->indexed = true;
}

static void set_gone(struct registry *registry, struct registry_entry *entry)
{
	unindex(registry, entry);
	entry->registration.gone = true;
}

static struct service_version *find_version(const struct registry *registry,
					    uint64_t service, uint64_t version)
{
	struct service_version *known;

	list_foreach(known, &registry->versions, node)
		if (known->service == service && known->version == version)
			return known;
	return NULL;
}

bool registry_has_version(const struct registry *registry, uint64_t service,
			  uint64_t version)
{
	return find_version(registry, service, version) != NULL;
}

static void note_version(struct registry *registry,
			 const struct registry_entry *entry, int64_t seen_us)
{
	struct service_version *known =
		find_version(registry, entry->service, entry->version);

	if (known) {
		if (seen_us > known->seen_us)
			known->seen_us = seen_us;
		return;
	}
	if (registry->n_versions == REGISTRY_VERSIONS_MOST)
		return;
	registry->n_versions++;
	known = xcalloc(1, sizeof(*known));
	known->service = entry->service;
	known->version = entry->version;
	known->seen_us = seen_us;
	list_append(&registry->versions, &known->node);
}

static void forget_versions(struct registry *registry, int64_t before_us)
{
	struct service_version *known;
	struct service_version *next;

	list_foreach_safe(known, next, &registry->versions, node) {
		if (known->seen_us >= before_us)
			continue;
		list_remove(&known->node);
		free(known);
		registry->n_versions--;
	}
}

void registry_init(struct registry *registry, int64_t announce_interval_us,
		   int64_t since_us)
{
	map_init(&registry->by_id);
	map_init(&registry->by_address);
	map_init(&registry->by_short_id);
	list_init(&registry->versions);
	registry->n_versions = 0;
	registry_ends_init(&registry->ends);
	registry->timeout_us =
		REGISTRY_TIMEOUT_INTERVALS * announce_interval_us;
	if (registry->timeout_us < REGISTRY_TIMEOUT_MIN_US)
		registry->timeout_us = REGISTRY_TIMEOUT_MIN_US;
	registry->confirmed_us =
		REGISTRY_CONFIRM_INTERVALS * announce_interval_us +
		REGISTRY_CONFIRM_TOLD_US;
	registry->last_contact_us = INT64_MIN / 2;
	registry->since_us = since_us;
}

bool registry_is_confirmed(const struct registry *registry,
			   const struct registry_entry *entry)
{
	return entry->last_contact_us >= registry->since_us &&
	       entry->last_contact_us > entry->unreached_us &&
	       registry->last_contact_us - entry->last_contact_us <=
		       registry->confirmed_us;
}

void registry_clear(struct registry *registry)
{
	struct registry_entry *entry;
	struct registry_entry *next;

	map_foreach(entry, next, &registry->by_id, node)
		free(entry);
	map_clear(&registry->by_id);
	map_clear(&registry->by_address);
	map_clear(&registry->by_short_id);
	forget_versions(registry, INT64_MAX);
	registry_ends_forget(&registry->ends, INT64_MAX);
}

struct registry_entry *registry_find(const struct registry *registry,
				     const char *id)
{
	struct map_node *node =
		map_find(&registry->by_id, map_hash_text(id), id_match, id);

	return node ? container_of(node, struct registry_entry, node) : NULL;
}

struct registry_entry *registry_find_address(const struct registry *registry,
					     const char *address)
{
	struct map_node *node =
		map_find(&registry->by_address, map_hash_text(address),
			 address_match, address);

	return node ? container_of(node, struct registry_entry, address_node)
		    : NULL;
}

/* A start that is gone stays so, whichever of its messages still arrive. */
static bool is_stale(const struct registry_entry *known,
		     const struct registration *update)
{
	if (update->started_ms != known->registration.started_ms)
		return update->started_ms < known->registration.started_ms;
	if (known->registration.gone)
		return true;
	return !update->gone &&
	       update->sequence <= known->registration.sequence;
}

/* Whether it is of a start that ended before any registration of it came. */
static bool has_ended(const struct registry *registry,
		      const struct registry_entry *known,
		      const struct registration *update)
{
	const struct registry_end *end;

	if (update->gone ||
	    (known && known->registration.started_ms == update->started_ms))
		return false;
	end = registry_ends_find(&registry->ends, update->id);
	return end && update->started_ms <= end->wall_ms;
}

/* Whether to forward it; fields that change with each message don't count. */
static bool is_news(const struct registration *before,
		    const struct registration *update)
{
	return before->started_ms != update->started_ms ||
	       before->leaving != update->leaving ||
	       before->gone != update->gone || before->cheap != update->cheap ||
	       before->slots != update->slots ||
	       strcmp(before->address, update->address) ||
	       strcmp(before->service, update->service) ||
	       strcmp(before->zone, update->zone) ||
	       strcmp(before->version, update->version);
}

static void note_entry_contact(struct registry *registry,
			       struct registry_entry *entry, int64_t contact_us)
{
	if (contact_us > entry->last_contact_us)
		entry->last_contact_us = contact_us;
	if (registry->last_contact_us - entry->last_contact_us <=
	    registry->timeout_us)
		entry->timed_out = false;
	if (contact_us > registry->last_contact_us)
		registry->last_contact_us = contact_us;
}

static int64_t cold_until_us(const struct registration *update,
			     int64_t contact_us)
{
	return update->cold_ms ? contact_us + update->cold_ms * 1000 : 0;
}

/* A start isn't taken to be warm earlier than was known of it. */
static void set_cold(struct registry_entry *entry,
		     const struct registration *update, int64_t contact_us)
{
	int64_t until_us = cold_until_us(update, contact_us);

	if (entry->registration.started_ms != update->started_ms ||
	    until_us > entry->cold_until_us)
		entry->cold_until_us = until_us;
}

/* A server may become cold again at any moment. */
static bool is_colder(const struct registry_entry *known,
		      const struct registration *update, int64_t contact_us)
{
	return cold_until_us(update, contact_us) >
	       known->cold_until_us + REGISTRY_COLD_CHANGE_US;
}

static void clear_limit(struct registry_entry *entry)
{
	entry->limit = (struct server_limit){ SERVER_LIMIT_NONE, INT64_MIN / 2,
					      INT64_MIN / 2 };
	entry->limit_told = SERVER_LIMIT_NONE;
	entry->limit_told_us = INT64_MIN / 2;
}

static bool is_full(const struct registry *registry)
{
	return registry->by_id.count >= REGISTRY_ENTRIES_MOST;
}

enum registry_outcome registry_update(struct registry *registry,
				      const struct registration *update,
				      int64_t contact_us,
				      struct registry_entry **replaced)
{
	struct registry_entry *known = registry_find(registry, update->id);
	struct registry_entry *holder =
		registry_find_address(registry, update->address);
	bool news;

	*replaced = NULL;
	if ((known && is_stale(known, update)) ||
	    has_ended(registry, known, update))
		return REGISTRY_STALE;
	if (holder == known)
		holder = NULL;
	/* A delayed message of a start whose address a newer one has. */
	if (holder && !update->gone &&
	    update->started_ms < holder->registration.started_ms)
		return REGISTRY_STALE;
	news = !known || known->timed_out ||
	       is_news(&known->registration, update) ||
	       is_colder(known, update, contact_us);
	if (!known && is_full(registry))
		return REGISTRY_FULL;
	if (!known) {
		known = xcalloc(1, sizeof(*known));
		clear_limit(known);
		memcpy(known->registration.id, update->id, sizeof(update->id));
		known->last_contact_us = contact_us;
		known->unreached_us = INT64_MIN / 2;
		known->probed_us = INT64_MIN / 2;
		map_insert(&registry->by_id, &known->node,
			   map_hash_text(update->id));
	}
	if (holder && !update->gone) {
		set_gone(registry, holder);
		*replaced = holder;
	}
	if (known->registration.started_ms != update->started_ms) {
		clear_limit(known);
		known->retry_at_us = 0;
		known->told_leaving = false;
	}
	unindex(registry, known);
	set_cold(known, update, contact_us);
	known->registration = *update;
	known->service = map_hash_text(update->service);
	known->version = map_hash_text(update->version);
	note_version(registry, known, contact_us);
	if (!update->gone)
		place(registry, known);
	note_entry_contact(registry, known, contact_us);
	return news ? REGISTRY_CHANGED : REGISTRY_REFRESHED;
}

struct registry_entry *registry_mark_gone(struct registry *registry,
					  const char *id)
{
	struct registry_entry *known = registry_find(registry, id);

	if (known)
		set_gone(registry, known);
	return known;
}

/* A start that was heard later has ended too unless it began later. */
struct registry_entry *registry_end(struct registry *registry,
				    const struct registry_end *end)
{
	struct registry_entry *known = registry_find(registry, end->id);

	registry_ends_keep(&registry->ends, end);
	if (!known || known->registration.gone ||
	    (known->last_contact_us > end->at_us &&
	     known->registration.started_ms > end->wall_ms))
		return NULL;
	set_gone(registry, known);
	return known;
}

void registry_note_contact(struct registry *registry, int64_t contact_us)
{
	if (contact_us > registry->last_contact_us)
		registry->last_contact_us = contact_us;
}

struct registry_entry *registry_heartbeat(struct registry *registry,
					  const char *id, int64_t born_ms,
					  int64_t contact_us)
{
	struct registry_entry *known = registry_find(registry, id);

	registry_note_contact(registry, contact_us);
	if (!known || known->registration.started_ms != born_ms ||
	    known->registration.gone)
		return NULL;
	note_entry_contact(registry, known, contact_us);
	return known;
}

uint64_t registration_short_id(const char *id, int64_t born_ms)
{
	uint64_t key[2] = { map_hash_text(id), (uint64_t)born_ms };

	return map_hash(key, sizeof(key)) >>
	       (64 - 8 * REGISTRATION_SHORT_ID_BYTES);
}

static bool short_id_match(const struct map_node *node, const void *key)
{
	return node->hash == *(const uint64_t *)key;
}

struct registry_entry *registry_find_short_id(const struct registry *registry,
					      uint64_t short_id)
{
	struct map_node *node = map_find(&registry->by_short_id, short_id,
					 short_id_match, &short_id);

	return node ? container_of(node, struct registry_entry, short_id_node)
		    : NULL;
}

bool registry_hear_limit(struct registry_entry *entry, double per_s,
			 int64_t now_us)
{
	bool changed = entry->limit.per_s != per_s;

	entry->limit = (struct server_limit){ per_s, now_us, now_us };
	return changed;
}

/* Whether a VM may send more than before. */
static bool is_looser(double per_s, double before)
{
	return before >= 0 && (per_s < 0 || per_s > before);
}

bool registry_merge_limit(struct registry_entry *entry, double per_s,
			  int64_t heard_us)
{
	struct server_limit *limit = &entry->limit;
	bool changed = limit->per_s != per_s;

	if (heard_us <= limit->heard_us)
		return false;
	if (is_looser(per_s, limit->per_s) &&
	    heard_us <= limit->direct_us + SERVER_LIMIT_NEWS_US)
		return false;
	limit->per_s = per_s;
	limit->heard_us = heard_us;
	return changed;
}

bool registry_entry_usable(const struct registry_entry *entry)
{
	return !entry->registration.gone && !entry->registration.leaving &&
	       !entry->told_leaving && !entry->timed_out;
}

int registry_count_usable(const struct registry *registry)
{
	struct registry_entry *entry;
	struct registry_entry *next;
	int n = 0;

	map_foreach(entry, next, &registry->by_id, node)
		n += registry_entry_usable(entry);
	return n;
}

static bool may_free(const struct registry *registry,
		     const struct registry_entry *entry, int64_t now_us)
{
	if (!entry->registration.gone)
		return entry->timed_out && is_full(registry);
	return now_us - entry->last_contact_us >= REGISTRY_TOMBSTONE_US;
}

void registry_expire(struct registry *registry, int64_t now_us,
		     void (*on_timeout)(void *data,
					struct registry_entry *entry),
		     void *data)
{
	struct registry_entry *entry;
	struct registry_entry *next;

	forget_versions(registry, now_us - REGISTRY_TOMBSTONE_US);
	map_foreach(entry, next, &registry->by_id, node) {
		if (!entry->registration.gone && !entry->timed_out &&
		    registry->last_contact_us - entry->last_contact_us >
			    registry->timeout_us) {
			entry->timed_out = true;
			if (on_timeout)
				on_timeout(data, entry);
		}
		if (!entry->registration.gone)
			note_version(registry, entry, now_us);
		if (!may_free(registry, entry, now_us))
			continue;
		map_remove(&registry->by_id, &entry->node);
		unindex(registry, entry);
		free(entry);
	}
	registry_ends_forget(&registry->ends, now_us - REGISTRY_TOMBSTONE_US);
}

struct registry_versions registry_versions(const struct registry *registry,
					   uint64_t service)
{
	struct registry_versions versions = { 0 };
	struct service_version *known;

	/* Of one that isn't kept nothing is known. */
	versions.differ = registry->n_versions == REGISTRY_VERSIONS_MOST;
	list_foreach(known, &registry->versions, node) {
		if (known->service != service)
			continue;
		versions.differ |= versions.version != 0;
		versions.version = known->version;
	}
	return versions;
}

void registry_visit_versions(const struct registry *registry,
			     void (*visit)(void *data, uint64_t service,
					   uint64_t version),
			     void *data)
{
	const struct service_version *known;

	list_foreach(known, &registry->versions, node)
		visit(data, known->service, known->version);
}
