#include "fleet/registry.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static bool id_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct registered, node)->told.id,
		       key);
}

static bool address_match(const struct map_node *node, const void *key)
{
	return !strcmp(
		container_of(node, struct registered, place)->told.address,
		key);
}

static void unplace(struct registry *registry, struct registered *registered)
{
	if (registered->placed) {
		map_remove(&registry->by_address, &registered->place);
		map_remove(&registry->by_mark, &registered->mark);
	}
	registered->placed = false;
}

static void place(struct registry *registry, struct registered *registered)
{
	map_insert(&registry->by_address, &registered->place,
		   map_hash_text(registered->told.address));
	map_insert(&registry->by_mark, &registered->mark,
		   registration_mark(registered->told.id,
				     registered->told.born_ms));
	registered->placed = true;
}

static void set_gone(struct registry *registry, struct registered *registered)
{
	unplace(registry, registered);
	registered->told.gone = true;
}

void registry_init(struct registry *registry, int64_t beat_us)
{
	map_init(&registry->by_id);
	map_init(&registry->by_address);
	map_init(&registry->by_mark);
	registry->silent_us = REGISTRY_SILENT_BEATS * beat_us;
	if (registry->silent_us < REGISTRY_SILENT_US)
		registry->silent_us = REGISTRY_SILENT_US;
	registry->heard_us = INT64_MIN / 2;
}

void registry_clear(struct registry *registry)
{
	struct registered *registered;
	struct registered *next;

	map_foreach(registered, next, &registry->by_id, node)
		free(registered);
	map_clear(&registry->by_id);
	map_clear(&registry->by_address);
	map_clear(&registry->by_mark);
}

struct registered *registry_find(const struct registry *registry,
				 const char *id)
{
	struct map_node *node =
		map_find(&registry->by_id, map_hash_text(id), id_match, id);

	return node ? container_of(node, struct registered, node) : NULL;
}

struct registered *registry_at(const struct registry *registry,
			       const char *address)
{
	struct map_node *node =
		map_find(&registry->by_address, map_hash_text(address),
			 address_match, address);

	return node ? container_of(node, struct registered, place) : NULL;
}

/* A start that left stays dead, whatever else arrives of it. */
static bool is_stale(const struct registered *known,
		     const struct registration *told)
{
	if (told->born_ms != known->told.born_ms)
		return told->born_ms < known->told.born_ms;
	if (known->told.gone)
		return true;
	return !told->gone && told->sequence <= known->told.sequence;
}

/* Whether others must hear of it: not the figures that change at each beat. */
static bool is_news(const struct registration *before,
		    const struct registration *told)
{
	return before->born_ms != told->born_ms ||
	       before->leaving != told->leaving || before->gone != told->gone ||
	       before->cheap != told->cheap || before->slots != told->slots ||
	       strcmp(before->address, told->address) ||
	       strcmp(before->service, told->service) ||
	       strcmp(before->zone, told->zone);
}

static void note_heard(struct registry *registry, struct registered *registered,
		       int64_t heard_us)
{
	if (heard_us > registered->heard_us)
		registered->heard_us = heard_us;
	if (registry->heard_us - registered->heard_us <= registry->silent_us)
		registered->silent = false;
	if (heard_us > registry->heard_us)
		registry->heard_us = heard_us;
}

enum registry_outcome registry_take(struct registry *registry,
				    const struct registration *told,
				    int64_t heard_us,
				    struct registered **replaced)
{
	struct registered *known = registry_find(registry, told->id);
	struct registered *holder = registry_at(registry, told->address);
	bool news;

	*replaced = NULL;
	if (known && is_stale(known, told))
		return REGISTRY_STALE;
	if (holder == known)
		holder = NULL;
	/* A late word of a start whose address has a newer one. */
	if (holder && !told->gone && told->born_ms < holder->told.born_ms)
		return REGISTRY_STALE;
	news = !known || known->silent || is_news(&known->told, told);
	if (!known) {
		known = xcalloc(1, sizeof(*known));
		memcpy(known->told.id, told->id, sizeof(told->id));
		known->heard_us = heard_us;
		map_insert(&registry->by_id, &known->node,
			   map_hash_text(told->id));
	}
	if (holder && !told->gone) {
		set_gone(registry, holder);
		*replaced = holder;
	}
	unplace(registry, known);
	known->told = *told;
	if (!told->gone)
		place(registry, known);
	note_heard(registry, known, heard_us);
	return news ? REGISTRY_CHANGED : REGISTRY_HEARD;
}

struct registered *registry_leave(struct registry *registry, const char *id)
{
	struct registered *known = registry_find(registry, id);

	if (known)
		set_gone(registry, known);
	return known;
}

void registry_heard(struct registry *registry, int64_t heard_us)
{
	if (heard_us > registry->heard_us)
		registry->heard_us = heard_us;
}

struct registered *registry_alive(struct registry *registry, const char *id,
				  int64_t born_ms, int64_t heard_us)
{
	struct registered *known = registry_find(registry, id);

	registry_heard(registry, heard_us);
	if (!known || known->told.born_ms != born_ms || known->told.gone)
		return NULL;
	note_heard(registry, known, heard_us);
	return known;
}

uint64_t registration_mark(const char *id, int64_t born_ms)
{
	uint64_t key[2] = { map_hash_text(id), (uint64_t)born_ms };

	return map_hash(key, sizeof(key)) >> (64 - 8 * REGISTRATION_MARK_BYTES);
}

static bool mark_match(const struct map_node *node, const void *key)
{
	return node->hash == *(const uint64_t *)key;
}

struct registered *registry_find_mark(const struct registry *registry,
				      uint64_t mark)
{
	struct map_node *node =
		map_find(&registry->by_mark, mark, mark_match, &mark);

	return node ? container_of(node, struct registered, mark) : NULL;
}

bool registered_usable(const struct registered *registered)
{
	return !registered->told.gone && !registered->told.leaving &&
	       !registered->silent;
}

int registry_usable(const struct registry *registry)
{
	struct registered *registered;
	struct registered *next;
	int n = 0;

	map_foreach(registered, next, &registry->by_id, node)
		n += registered_usable(registered);
	return n;
}

void registry_expire(struct registry *registry, int64_t now_us,
		     void (*silent)(void *data, struct registered *registered),
		     void *data)
{
	struct registered *registered;
	struct registered *next;

	map_foreach(registered, next, &registry->by_id, node) {
		if (!registered->told.gone && !registered->silent &&
		    registry->heard_us - registered->heard_us >
			    registry->silent_us) {
			registered->silent = true;
			if (silent)
				silent(data, registered);
		}
		if (!registered->told.gone ||
		    now_us - registered->heard_us < REGISTRY_DEAD_US)
			continue;
		map_remove(&registry->by_id, &registered->node);
		unplace(registry, registered);
		free(registered);
	}
}
