#include "document/document.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/name.h"

/* Of a document that names none: what callers of the daemon may send too. */
#define LIMIT_HEADER_BYTES 16384
#define LIMIT_BODY_BYTES 4194304
#define LIMIT_HEADER_MS 3000
#define LIMIT_IDLE_MS 15000

/* Tiers beyond the last of the router count as the last. */
#define TIER_LOWEST 3

struct document_limits document_default_limits(void)
{
	struct document_limits limits = {
		.header_bytes = LIMIT_HEADER_BYTES,
		.body_bytes = LIMIT_BODY_BYTES,
		.header_ms = LIMIT_HEADER_MS,
		.idle_ms = LIMIT_IDLE_MS,
	};

	return limits;
}

struct document *document_new(void)
{
	struct document *document = xcalloc(1, sizeof(*document));

	document->limits = document_default_limits();
	map_init(&document->by_place);
	map_init(&document->by_key);
	return document;
}

static void names_clear(char **names, size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		free(names[i]);
	free(names);
}

static void route_clear(struct route *route)
{
	size_t i;

	for (i = 0; i < route->n_splits; i++)
		free(route->splits[i].service);
	free(route->splits);
	free(route->name);
	free(route->host);
	free(route->prefix);
	names_clear(route->regions, route->n_regions);
}

static void service_clear(struct service *service)
{
	size_t i;

	for (i = 0; i < service->scaling.n_zones; i++) {
		free(service->scaling.zones[i].name);
		free(service->scaling.zones[i].full_name);
	}
	free(service->scaling.zones);
	free(service->name);
	free(service->full_name);
	free(service->health_path);
}

static void organisation_clear(struct document_organisation *organisation)
{
	size_t i;

	for (i = 0; i < organisation->n_keys; i++) {
		free(organisation->keys[i]->text);
		free(organisation->keys[i]);
	}
	free(organisation->keys);
	names_clear(organisation->regions, organisation->n_regions);
	free(organisation->name);
}

void document_free(struct document *document)
{
	size_t i;

	if (!document)
		return;
	for (i = 0; i < document->n_services; i++)
		service_clear(&document->services[i]);
	for (i = 0; i < document->n_routes; i++)
		route_clear(&document->routes[i]);
	for (i = 0; i < document->n_organisations; i++)
		organisation_clear(&document->organisations[i]);
	map_clear(&document->by_place);
	map_clear(&document->by_key);
	free(document->services);
	free(document->routes);
	free(document->organisations);
	free(document);
}

/* Room for one more zeroed item behind `count` ones. */
static void *add_item(void **items, size_t *count, size_t size)
{
	char *item;

	*items = xrealloc(*items, (*count + 1) * size);
	item = (char *)*items + *count * size;
	memset(item, 0, size);
	++*count;
	return item;
}

struct service *document_add_service(struct document *document,
				     const char *name)
{
	struct service *service;

	service = add_item((void **)&document->services, &document->n_services,
			   sizeof(*document->services));
	service->name = name_short_copy(name);
	service->full_name = xstrdup(name);
	return service;
}

struct route *document_add_route(struct document *document)
{
	return add_item((void **)&document->routes, &document->n_routes,
			sizeof(*document->routes));
}

struct document_organisation *
document_add_organisation(struct document *document)
{
	struct document_organisation *organisation;

	organisation = add_item((void **)&document->organisations,
				&document->n_organisations,
				sizeof(*document->organisations));
	organisation->tier = -1;
	document->keyed = true;
	return organisation;
}

void service_add_zone(struct service *service, const char *name, double price)
{
	struct service_scaling *scaling = &service->scaling;
	struct service_zone *zone;

	zone = add_item((void **)&scaling->zones, &scaling->n_zones,
			sizeof(*scaling->zones));
	zone->name = name_short_copy(name);
	zone->full_name = xstrdup(name);
	zone->price = price;
}

void route_add_split(struct route *route, const char *service, int64_t weight)
{
	struct route_split *split;

	split = add_item((void **)&route->splits, &route->n_splits,
			 sizeof(*route->splits));
	split->service = name_short_copy(service);
	split->weight = weight;
}

void document_add_region(char ***regions, size_t *n_regions, const char *region)
{
	char **slot = add_item((void **)regions, n_regions, sizeof(*slot));

	*slot = name_short_copy(region);
}

void document_add_key(struct document *document, size_t organisation,
		      const char *text)
{
	struct document_organisation *holder =
		&document->organisations[organisation];
	struct document_key **slot;

	slot = add_item((void **)&holder->keys, &holder->n_keys,
			sizeof(*holder->keys));
	*slot = xcalloc(1, sizeof(**slot));
	(*slot)->text = xstrdup(text);
	(*slot)->organisation = organisation;
}

/* Host and prefix of a route, or a host and the start of a path. */
struct place {
	const char *host;
	size_t host_len;
	const char *prefix;
	size_t prefix_len;
};

static uint64_t place_hash(const struct place *place)
{
	return map_hash(place->host, place->host_len) * 31 +
	       map_hash(place->prefix, place->prefix_len);
}

static bool same_part(const char *whole, const char *part, size_t len)
{
	return !strncmp(whole, part, len) && !whole[len];
}

static bool place_match(const struct map_node *node, const void *key)
{
	const struct route *route = container_of(node, struct route, node);
	const struct place *place = key;

	return same_part(route->host, place->host, place->host_len) &&
	       same_part(route->prefix, place->prefix, place->prefix_len);
}

static struct place place_of(const struct route *route)
{
	struct place place = { route->host, strlen(route->host), route->prefix,
			       strlen(route->prefix) };

	return place;
}

static const struct route *place_find(const struct document *document,
				      const struct place *place)
{
	struct map_node *node = map_find(&document->by_place, place_hash(place),
					 place_match, place);

	return node ? container_of(node, struct route, node) : NULL;
}

static bool key_match(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct document_key, node)->text,
		       key);
}

static const struct document_key *key_find(const struct document *document,
					   const char *text)
{
	struct map_node *node = map_find(&document->by_key, map_hash_text(text),
					 key_match, text);

	return node ? container_of(node, struct document_key, node) : NULL;
}

const struct service *document_service(const struct document *document,
				       const char *name)
{
	size_t i;

	for (i = 0; i < document->n_services; i++)
		if (!strcmp(document->services[i].name, name))
			return &document->services[i];
	return NULL;
}

static enum result check_splits(const struct document *document,
				const struct route *route,
				const struct error_handler *handler)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < route->n_splits; i++) {
		const struct route_split *split = &route->splits[i];

		if (!document_service(document, split->service))
			return error_report(handler, RESULT_SETTING_VALUE,
					    "route %s: service %s isn't in "
					    "the document",
					    route->name, split->service);
		if (split->weight < 0)
			return error_report(handler, RESULT_SETTING_VALUE,
					    "route %s: a weight is below 0",
					    route->name);
		sum += split->weight;
	}
	if (sum > 0)
		return RESULT_OK;
	return error_report(handler, RESULT_SETTING_VALUE,
			    "route %s: its weights add up to 0", route->name);
}

static enum result check_route(struct document *document, struct route *route,
			       const struct error_handler *handler)
{
	struct place place = place_of(route);
	size_t len = place.prefix_len;

	if (!len || route->prefix[0] != '/' || route->prefix[len - 1] != '/')
		return error_report(handler, RESULT_SETTING_VALUE,
				    "route %s: a prefix begins and ends with "
				    "a slash",
				    route->name);
	if (place_find(document, &place))
		return error_report(handler, RESULT_SETTING_VALUE,
				    "route %s: another one has host %s and "
				    "prefix %s",
				    route->name, route->host, route->prefix);
	if (route->timeout_ms <= 0)
		return error_report(handler, RESULT_SETTING_VALUE,
				    "route %s: a time-out above 0 is needed",
				    route->name);
	if (route->tier > TIER_LOWEST)
		route->tier = TIER_LOWEST;
	if (route->tier < 0)
		route->tier = 0;
	if (route->attempts < 1)
		route->attempts = 1;
	map_insert(&document->by_place, &route->node, place_hash(&place));
	return check_splits(document, route, handler);
}

static enum result check_organisation(struct document *document, size_t index,
				      const struct error_handler *handler)
{
	struct document_organisation *organisation =
		&document->organisations[index];
	size_t i;

	if (organisation->tier > TIER_LOWEST)
		organisation->tier = TIER_LOWEST;
	for (i = 0; i < organisation->n_keys; i++) {
		struct document_key *key = organisation->keys[i];
		const struct document_key *other =
			key_find(document, key->text);

		if (other && other->organisation != index)
			return error_report(
				handler, RESULT_SETTING_VALUE,
				"%s and %s share a key", organisation->name,
				document->organisations[other->organisation]
					.name);
		if (!other)
			map_insert(&document->by_key, &key->node,
				   map_hash_text(key->text));
	}
	return RESULT_OK;
}

enum result document_check(struct document *document,
			   const struct error_handler *handler)
{
	enum result code = RESULT_OK;
	size_t i;

	for (i = 0; !code && i < document->n_routes; i++)
		code = check_route(document, &document->routes[i], handler);
	for (i = 0; !code && i < document->n_organisations; i++)
		code = check_organisation(document, i, handler);
	return code;
}

const struct document_organisation *
document_organisation_by_key(const struct document *document, const char *key)
{
	const struct document_key *found = key_find(document, key);

	return found ? &document->organisations[found->organisation] : NULL;
}

/* The length of `path` up to and with the slash before `len`, 0 for none. */
static size_t shorter_prefix(const char *path, size_t len)
{
	while (len && path[len - 1] != '/')
		len--;
	return len;
}

const struct route *document_route(const struct document *document,
				   const char *host, const char *path)
{
	struct place place = { host, strcspn(host, ":"), path,
			       strcspn(path, "?") };
	const struct route *route;

	place.prefix_len = shorter_prefix(path, place.prefix_len);
	while (place.prefix_len) {
		route = place_find(document, &place);
		if (route)
			return route;
		place.prefix_len = shorter_prefix(path, place.prefix_len - 1);
	}
	return NULL;
}

const char *route_choose(const struct route *route, double point)
{
	int64_t sum = 0;
	double at;
	size_t i;

	for (i = 0; i < route->n_splits; i++)
		sum += route->splits[i].weight;
	at = point * (double)sum;
	for (i = 0; i + 1 < route->n_splits; i++) {
		at -= (double)route->splits[i].weight;
		if (at < 0)
			break;
	}
	/* Rounding must not end at a service that gets nothing. */
	while (i && !route->splits[i].weight)
		i--;
	return route->splits[i].service;
}
