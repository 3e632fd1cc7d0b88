#include "fleet/backend.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "fleet/region.h"

struct tombstone {
	struct map_node node; /* by address and boot id */
	char address[BACKEND_NAME_SIZE];
	char boot_id[BACKEND_NAME_SIZE];
	int64_t sequence;
	bool replaced; /* a newer boot has the address */
	int64_t until_us;
};

struct tombstone_key {
	const char *address;
	const char *boot_id;
};

static void copy_name(char *to, size_t size, const char *from)
{
	snprintf(to, size, "%s", from ? from : "");
}

static bool backend_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct backend, node)->address, key);
}

static bool tombstone_match(const struct map_node *node, const void *data)
{
	const struct tombstone *stone =
		container_of(node, struct tombstone, node);
	const struct tombstone_key *key = data;

	return !strcmp(stone->address, key->address) &&
	       !strcmp(stone->boot_id, key->boot_id);
}

static uint64_t tombstone_hash(const char *address, const char *boot_id)
{
	return map_hash_text(address) * 31 + map_hash_text(boot_id);
}

void fleet_init(struct fleet *fleet)
{
	map_init(&fleet->backends);
	map_init(&fleet->tombstones);
	evacuations_init(&fleet->evacuations);
	load_means_init(&fleet->load_means);
	fleet->version = 1;
}

void fleet_clear(struct fleet *fleet)
{
	struct backend *backend;
	struct backend *next;
	struct tombstone *stone;
	struct tombstone *after;

	map_foreach(backend, next, &fleet->backends, node)
		free(backend);
	map_foreach(stone, after, &fleet->tombstones, node)
		free(stone);
	map_clear(&fleet->backends);
	map_clear(&fleet->tombstones);
	evacuations_clear(&fleet->evacuations);
	load_means_clear(&fleet->load_means);
}

struct backend *fleet_find(const struct fleet *fleet, const char *address)
{
	struct map_node *node;

	node = map_find(&fleet->backends, map_hash_text(address), backend_match,
			address);
	return node ? container_of(node, struct backend, node) : NULL;
}

static struct tombstone *tombstone_find(const struct fleet *fleet,
					const char *address,
					const char *boot_id)
{
	struct tombstone_key key = { address, boot_id };
	struct map_node *node;

	node = map_find(&fleet->tombstones, tombstone_hash(address, boot_id),
			tombstone_match, &key);
	return node ? container_of(node, struct tombstone, node) : NULL;
}

static void tombstone_drop(struct fleet *fleet, struct tombstone *stone)
{
	map_remove(&fleet->tombstones, &stone->node);
	free(stone);
}

static void tombstone_add(struct fleet *fleet, const struct backend *backend,
			  bool replaced, int64_t now_us)
{
	struct tombstone *stone;

	stone = tombstone_find(fleet, backend->address, backend->boot_id);
	if (stone)
		tombstone_drop(fleet, stone);
	if (fleet->tombstones.count >= BACKEND_TOMBSTONES) {
		stone = container_of(fleet->tombstones.order.next,
				     struct tombstone, node.order);
		tombstone_drop(fleet, stone);
	}
	stone = xcalloc(1, sizeof(*stone));
	copy_name(stone->address, sizeof(stone->address), backend->address);
	copy_name(stone->boot_id, sizeof(stone->boot_id), backend->boot_id);
	stone->sequence = backend->sequence;
	stone->replaced = replaced;
	stone->until_us = now_us + BACKEND_TOMBSTONE_US;
	map_insert(&fleet->tombstones, &stone->node,
		   tombstone_hash(stone->address, stone->boot_id));
}

/*
 * An announcement can arrive by several paths, and a delayed copy after the
 * server has stopped or restarted. Its boot id or sequence number shows that.
 */
static bool announce_is_stale(const struct fleet *fleet,
			      const struct backend *known,
			      const struct event_announce *announce,
			      const char *boot_id)
{
	const struct tombstone *stone;

	stone = tombstone_find(fleet, announce->address, boot_id);
	if (stone && (stone->replaced || announce->sequence <= stone->sequence))
		return true;
	if (!known || strcmp(known->boot_id, boot_id))
		return false;
	return announce->sequence <= known->sequence;
}

/* Whether the address now serves another service or model. */
static bool backend_changes_service(const struct backend *backend,
				    const struct event_announce *announce)
{
	const char *service = announce->service ? announce->service : "";
	const char *model = announce->model ? announce->model : "";

	return strcmp(backend->service, service) ||
	       strcmp(backend->model, model);
}

static void backend_set_names(struct backend *backend,
			      const struct event_announce *announce)
{
	copy_name(backend->zone, sizeof(backend->zone), announce->zone);
	copy_name(backend->service, sizeof(backend->service),
		  announce->service);
	copy_name(backend->model, sizeof(backend->model), announce->model);
	copy_name(backend->version, sizeof(backend->version),
		  announce->version);
	backend->version_hash = map_hash_text(backend->version);
	copy_name(backend->role, sizeof(backend->role), announce->role);
	copy_name(backend->adapters, sizeof(backend->adapters),
		  announce->adapters);
	backend->cheap = announce->cheap;
	backend->fences = announce->fences;
}

static void backend_set_load(struct backend *backend,
			     const struct event_announce *announce,
			     int64_t now_us)
{
	int64_t lease_ms = announce->lease_ms;

	if (lease_ms <= 0)
		lease_ms = BACKEND_LEASE_DEFAULT_MS;
	backend->sequence = announce->sequence;
	backend->lease_end_us = now_us + lease_ms * 1000;
	backend->slots =
		announce->slots > 0 ? announce->slots : BACKEND_SLOTS_DEFAULT;
	backend->running = announce->running;
	backend->queued = announce->queued;
	backend->queued_prompt_tokens = announce->queued_prompt_tokens;
	backend->kv_tokens = announce->kv_tokens;
	backend->kv_used = announce->kv_used;
	backend->prefill_rate = announce->prefill_rate;
	backend->decode_rate = announce->decode_rate;
	backend->report_us = now_us - announce->age_ms * 1000;
}

static struct backend *backend_new(struct fleet *fleet, const char *address)
{
	struct backend *backend = xcalloc(1, sizeof(*backend));

	copy_name(backend->address, sizeof(backend->address), address);
	map_insert(&fleet->backends, &backend->node, map_hash_text(address));
	return backend;
}

enum announce_outcome fleet_announce(struct fleet *fleet,
				     const struct event_announce *announce,
				     int64_t now_us)
{
	const char *boot_id = announce->boot_id ? announce->boot_id : "";
	struct backend *backend;
	bool was_usable;
	bool is_new;
	bool left;

	if (!announce->address ||
	    strlen(announce->address) >= sizeof(backend->address) ||
	    strlen(boot_id) >= sizeof(backend->boot_id))
		return ANNOUNCE_STALE;
	backend = fleet_find(fleet, announce->address);
	if (announce_is_stale(fleet, backend, announce, boot_id))
		return ANNOUNCE_STALE;
	was_usable = backend && backend_usable(backend, now_us);
	is_new = !backend || strcmp(backend->boot_id, boot_id);
	if (!backend) {
		backend = backend_new(fleet, announce->address);
	} else if (is_new) {
		tombstone_add(fleet, backend, true, now_us);
		health_reset(&backend->health, now_us);
		backend->silence = (struct silence){ 0 };
		backend->drained = false;
		backend->leaving = false;
		backend->limited = false;
		backend->lingers_us = 0;
		backend->retry_at_us = 0;
		backend->retried_us = 0;
	}
	if (backend_changes_service(backend, announce)) {
		fleet->version++;
		fleet->removals++;
	}
	copy_name(backend->boot_id, sizeof(backend->boot_id), boot_id);
	left = announce->leaving && !backend->leaving;
	backend->leaving = announce->leaving;
	backend_set_names(backend, announce);
	backend->evacuated =
		evacuations_include(&fleet->evacuations, backend->zone);
	backend_set_load(backend, announce, now_us);
	if (is_new || was_usable != backend_usable(backend, now_us))
		fleet->version++;
	if (left)
		return ANNOUNCE_LEFT;
	return is_new ? ANNOUNCE_JOINED : ANNOUNCE_UPDATED;
}

int fleet_expire(struct fleet *fleet, int64_t now_us,
		 void (*gone)(void *data, const struct backend *backend),
		 void *data)
{
	struct backend *backend;
	struct backend *next;
	struct tombstone *stone;
	struct tombstone *after;
	int n = 0;

	map_foreach(backend, next, &fleet->backends, node) {
		if (now_us < backend->lease_end_us)
			continue;
		tombstone_add(fleet, backend, false, now_us);
		if (gone)
			gone(data, backend);
		map_remove(&fleet->backends, &backend->node);
		free(backend);
		fleet->version++;
		fleet->removals++;
		n++;
	}
	map_foreach(stone, after, &fleet->tombstones, node) {
		if (now_us < stone->until_us)
			break;
		tombstone_drop(fleet, stone);
	}
	return n;
}

void fleet_report_load(struct fleet *fleet, const char *address,
		       int64_t running, int64_t queued, int64_t slots,
		       int64_t now_us)
{
	struct backend *backend = fleet_find(fleet, address);

	if (!backend)
		return;
	backend->running = running;
	backend->queued = queued;
	if (slots > 0)
		backend->slots = slots;
	backend->report_us = now_us;
	load_means_add(&fleet->load_means, backend->service, running + queued,
		       backend->slots, now_us);
}

static void decay_load(const struct fleet *fleet, struct backend *backend,
		       int64_t now_us)
{
	double expected = load_means_expect(&fleet->load_means,
					    backend->service, now_us) *
			  (double)backend->slots;

	backend->running = (backend->running + (int64_t)expected) / 2;
	backend->queued /= 2;
	if (backend->running >= backend->slots)
		backend->running = backend->slots - 1;
}

void fleet_decay_load(struct fleet *fleet, int64_t step_us, int64_t now_us)
{
	struct backend *backend;
	struct backend *next;

	map_foreach(backend, next, &fleet->backends, node)
		if (now_us - backend->report_us >= step_us)
			decay_load(fleet, backend, now_us);
}

uint64_t backend_start(const char *address, const char *boot_id)
{
	return map_hash_text(address) * 31 + map_hash_text(boot_id);
}

bool backend_usable(const struct backend *backend, int64_t now_us)
{
	return !backend->leaving && !backend->drained && !backend->evacuated &&
	       now_us < backend->lease_end_us;
}

bool backend_lingers(const struct backend *backend, int64_t now_us)
{
	return now_us < backend->lingers_us && !backend->evacuated;
}

bool backend_in_regions(const struct backend *backend, uint64_t regions)
{
	return !regions || regions == REGION_ANY ||
	       (backend->regions & regions);
}

static bool adapters_have(const char *adapters, const char *adapter)
{
	size_t len = strlen(adapter);
	const char *at = adapters;

	while ((at = strstr(at, adapter))) {
		bool starts = at == adapters || at[-1] == ',';

		if (starts && (at[len] == ',' || !at[len]))
			return true;
		at += len;
	}
	return false;
}

bool backend_serves(const struct backend *backend, const char *model,
		    const char *adapter, const char *service)
{
	if (service)
		return !strcmp(backend->service, service);
	if (backend->service[0] || strcmp(backend->model, model ? model : ""))
		return false;
	return !adapter || !*adapter ||
	       adapters_have(backend->adapters, adapter);
}

/* Advance the ring to `now_us`, clearing the steps in between. */
static int own_slot(struct backend_own *own, int64_t now_us)
{
	int64_t step = now_us / BACKEND_RING_STEP_US;
	int64_t at;

	if (step - own->ring_at > BACKEND_RING)
		own->ring_at = step - BACKEND_RING;
	for (at = own->ring_at + 1; at <= step; at++) {
		own->started[at % BACKEND_RING] = 0;
		own->ended[at % BACKEND_RING] = 0;
		own->prompts[at % BACKEND_RING] = 0;
	}
	if (step > own->ring_at)
		own->ring_at = step;
	return (int)(own->ring_at % BACKEND_RING);
}

void backend_started(struct backend *backend, int64_t prompt_tokens,
		     double work, bool is_long, int64_t now_us)
{
	int slot = own_slot(&backend->own, now_us);

	if (!backend->own.running)
		silence_starts(&backend->silence, now_us);
	backend->own.running++;
	backend->own.long_running += is_long;
	backend->own.prompt_tokens += prompt_tokens;
	backend->own.work += work;
	backend->own.started[slot]++;
	backend->own.prompts[slot] += prompt_tokens;
}

void backend_prefilled(struct backend *backend, int64_t prompt_tokens)
{
	backend->own.prompt_tokens -= prompt_tokens;
	if (backend->own.prompt_tokens < 0)
		backend->own.prompt_tokens = 0;
}

void backend_ended(struct backend *backend, int64_t prompt_tokens, double work,
		   bool is_long, int64_t now_us)
{
	int slot = own_slot(&backend->own, now_us);

	backend_prefilled(backend, prompt_tokens);
	if (backend->own.running > 0)
		backend->own.running--;
	if (is_long && backend->own.long_running > 0)
		backend->own.long_running--;
	backend->own.work -= work;
	if (backend->own.work < 0)
		backend->own.work = 0;
	backend->own.ended[slot]++;
}

bool backend_is_silent(const struct backend *backend, int64_t for_us,
		       int64_t now_us)
{
	return backend->own.running > 0 &&
	       silence_for_us(&backend->silence, now_us) >= for_us;
}

struct own_since {
	int64_t started;
	int64_t ended;
	int64_t prompts;
};

/* Local starts and ends since `since_us`. */
static struct own_since own_sum_since(const struct backend_own *own,
				      int64_t since_us)
{
	int64_t step = since_us / BACKEND_RING_STEP_US;
	struct own_since sum = { 0 };
	int64_t at;

	if (step < own->ring_at - BACKEND_RING + 1)
		step = own->ring_at - BACKEND_RING + 1;
	if (step < 0)
		step = 0;
	for (at = step; at <= own->ring_at; at++) {
		sum.started += own->started[at % BACKEND_RING];
		sum.ended += own->ended[at % BACKEND_RING];
		sum.prompts += own->prompts[at % BACKEND_RING];
	}
	return sum;
}

double backend_load(const struct backend *backend)
{
	struct own_since sum;
	int64_t load;

	sum = own_sum_since(&backend->own, backend->report_us);
	load = backend->running + backend->queued + sum.started - sum.ended;
	/* At least the attempts that this VM has running there. */
	if (load < backend->own.running)
		load = backend->own.running;
	return (double)load;
}

double backend_queued_prompt(const struct backend *backend, int64_t now_us)
{
	double age_s = (double)(now_us - backend->report_us) / 1e6;
	double left = (double)backend->queued_prompt_tokens;

	/* The server has processed part of its queue since the report. */
	left -= age_s * backend->prefill_rate;
	if (left < 0)
		left = 0;
	return left + (double)backend->own.prompt_tokens;
}
