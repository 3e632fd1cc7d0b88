#include "document/encoding.h"

#include <stdlib.h>

#include "core/pack.h"

/* Longer texts are malformed; no document that operators send has more. */
#define TEXT_MOST (4 * 1024 * 1024)

/* Where the items of an array stand. */
enum {
	ROOT_VERSION,
	ROOT_LIMITS,
	ROOT_SERVICES,
	ROOT_ROUTES,
	ROOT_HOLDERS,
	ROOT_HOLDER_REGIONS, /* a list for each organisation */
	ROOT_KEYED,
	ROOT_ITEMS
};

enum {
	ROUTE_NAME,
	ROUTE_HOST,
	ROUTE_PREFIX,
	ROUTE_KIND,
	ROUTE_RESUMABLE,
	ROUTE_OPEN,
	ROUTE_TIMEOUT,
	ROUTE_GOAL,
	ROUTE_PAUSE,
	ROUTE_TIER,
	ROUTE_ATTEMPTS,
	ROUTE_SPLITS, /* service's index and weight by turns */
	ROUTE_REGIONS,
	ROUTE_ITEMS
};

enum {
	SERVICE_NAME,
	SERVICE_HEALTH,
	SERVICE_CONNECTIONS,
	SERVICE_SLOTS,
	SERVICE_KV,
	SERVICE_ALLOWED,
	SERVICE_LEAST,
	SERVICE_MOST,
	SERVICE_BOOT,
	SERVICE_CHEAP,
	SERVICE_ZONES, /* name and price by turns */
	SERVICE_COLD,
	SERVICE_COLD_RATE,
	SERVICE_ITEMS
};

enum { HOLDER_NAME, HOLDER_TIER, HOLDER_KEYS };

static void write_limits(msgpack_packer *packer,
			 const struct document_limits *limits)
{
	msgpack_pack_array(packer, 4);
	msgpack_pack_int64(packer, limits->header_bytes);
	msgpack_pack_int64(packer, limits->body_bytes);
	msgpack_pack_int64(packer, limits->header_ms);
	msgpack_pack_int64(packer, limits->idle_ms);
}

static void write_service(msgpack_packer *packer, const struct service *service)
{
	const struct service_scaling *scaling = &service->scaling;
	size_t i;

	msgpack_pack_array(packer, SERVICE_ITEMS);
	pack_text(packer, service->name);
	pack_text(packer, service->health_path);
	msgpack_pack_int64(packer, service->connections);
	msgpack_pack_int64(packer, service->slots);
	msgpack_pack_int64(packer, service->kv_tokens);
	msgpack_pack_int64(packer, scaling->allowed);
	msgpack_pack_int64(packer, scaling->least);
	msgpack_pack_int64(packer, scaling->most);
	msgpack_pack_int64(packer, scaling->boot_ms);
	msgpack_pack_double(packer, scaling->cheap_price);
	msgpack_pack_array(packer, 2 * scaling->n_zones);
	for (i = 0; i < scaling->n_zones; i++) {
		pack_text(packer, scaling->zones[i].name);
		msgpack_pack_double(packer, scaling->zones[i].price);
	}
	msgpack_pack_int64(packer, service->cold_ms);
	msgpack_pack_double(packer, service->cold_per_s);
}

static void write_names(msgpack_packer *packer, char *const *names, size_t n)
{
	size_t i;

	msgpack_pack_array(packer, n);
	for (i = 0; i < n; i++)
		pack_text(packer, names[i]);
}

static void write_route(msgpack_packer *packer, const struct document *document,
			const struct route *route)
{
	size_t i;

	msgpack_pack_array(packer, ROUTE_ITEMS);
	pack_text(packer, route->name);
	pack_text(packer, route->host);
	pack_text(packer, route->prefix);
	msgpack_pack_int64(packer, route->kind);
	msgpack_pack_int64(packer, route->resumable);
	msgpack_pack_int64(packer, route->open);
	msgpack_pack_int64(packer, route->timeout_ms);
	msgpack_pack_int64(packer, route->goal_ms);
	msgpack_pack_int64(packer, route->pause_ms);
	msgpack_pack_int64(packer, route->tier);
	msgpack_pack_int64(packer, route->attempts);
	msgpack_pack_array(packer, 2 * route->n_splits);
	for (i = 0; i < route->n_splits; i++) {
		const struct route_split *split = &route->splits[i];

		msgpack_pack_int64(packer,
				   document_service(document, split->service) -
					   document->services);
		msgpack_pack_int64(packer, split->weight);
	}
	write_names(packer, route->regions, route->n_regions);
}

static void write_organisation(msgpack_packer *packer,
			       const struct document_organisation *organisation)
{
	size_t i;

	msgpack_pack_array(packer, HOLDER_KEYS + organisation->n_keys);
	pack_text(packer, organisation->name);
	msgpack_pack_int64(packer, organisation->tier);
	for (i = 0; i < organisation->n_keys; i++)
		pack_text(packer, organisation->keys[i]->text);
}

void document_encode(struct bytes *out, const struct document *document)
{
	msgpack_packer packer;
	size_t i;

	pack_init(&packer, out);
	msgpack_pack_array(&packer, ROOT_ITEMS);
	msgpack_pack_int64(&packer, document->version);
	write_limits(&packer, &document->limits);
	msgpack_pack_array(&packer, document->n_services);
	for (i = 0; i < document->n_services; i++)
		write_service(&packer, &document->services[i]);
	msgpack_pack_array(&packer, document->n_routes);
	for (i = 0; i < document->n_routes; i++)
		write_route(&packer, document, &document->routes[i]);
	msgpack_pack_array(&packer, document->n_organisations);
	for (i = 0; i < document->n_organisations; i++)
		write_organisation(&packer, &document->organisations[i]);
	msgpack_pack_array(&packer, document->n_organisations);
	for (i = 0; i < document->n_organisations; i++)
		write_names(&packer, document->organisations[i].regions,
			    document->organisations[i].n_regions);
	msgpack_pack_int64(&packer, document->keyed);
}

/* The array that stands at `i`. */
static bool read_array(const struct unpacked *items, size_t i,
		       struct unpacked *out)
{
	const msgpack_object *item;

	if (i >= items->n || items->items[i].type != MSGPACK_OBJECT_ARRAY)
		return false;
	item = &items->items[i];
	out->items = item->via.array.ptr;
	out->n = item->via.array.size;
	return true;
}

static bool read_text(const struct unpacked *items, size_t i, char **out)
{
	*out = unpack_text(items, i, TEXT_MOST);
	return *out != NULL;
}

static bool read_number(const struct unpacked *items, size_t i, double *out)
{
	if (i >= items->n)
		return false;
	switch (items->items[i].type) {
	case MSGPACK_OBJECT_FLOAT32:
	case MSGPACK_OBJECT_FLOAT64:
		*out = items->items[i].via.f64;
		return true;
	default:
		return false;
	}
}

static bool read_flag(const struct unpacked *items, size_t i, bool *out)
{
	int64_t value;

	if (!unpack_int(items, i, &value))
		return false;
	*out = value != 0;
	return true;
}

static bool read_int(const struct unpacked *items, size_t i, int *out)
{
	int64_t value;

	if (!unpack_int(items, i, &value) || value < INT32_MIN ||
	    value > INT32_MAX)
		return false;
	*out = (int)value;
	return true;
}

static bool read_limits(const struct unpacked *items,
			struct document_limits *limits)
{
	return unpack_int(items, 0, &limits->header_bytes) &&
	       unpack_int(items, 1, &limits->body_bytes) &&
	       unpack_int(items, 2, &limits->header_ms) &&
	       unpack_int(items, 3, &limits->idle_ms);
}

static bool read_zones(const struct unpacked *items, struct service *service)
{
	double price;
	char *name;
	size_t i;

	for (i = 0; i + 1 < items->n; i += 2) {
		if (!read_number(items, i + 1, &price) ||
		    !read_text(items, i, &name))
			return false;
		service_add_zone(service, name, price);
		free(name);
	}
	return true;
}

static bool read_service(const struct unpacked *items,
			 struct document *document)
{
	struct service_scaling *scaling;
	struct service *service;
	struct unpacked zones;
	char *name;

	if (!read_text(items, SERVICE_NAME, &name))
		return false;
	service = document_add_service(document, name);
	free(name);
	scaling = &service->scaling;
	/* Releases before these items know of no cold servers. */
	if (!unpack_int(items, SERVICE_COLD, &service->cold_ms) ||
	    !read_number(items, SERVICE_COLD_RATE, &service->cold_per_s))
		service->cold_per_s = 0;
	return read_text(items, SERVICE_HEALTH, &service->health_path) &&
	       unpack_int(items, SERVICE_CONNECTIONS, &service->connections) &&
	       unpack_int(items, SERVICE_SLOTS, &service->slots) &&
	       unpack_int(items, SERVICE_KV, &service->kv_tokens) &&
	       read_flag(items, SERVICE_ALLOWED, &scaling->allowed) &&
	       unpack_int(items, SERVICE_LEAST, &scaling->least) &&
	       unpack_int(items, SERVICE_MOST, &scaling->most) &&
	       unpack_int(items, SERVICE_BOOT, &scaling->boot_ms) &&
	       read_number(items, SERVICE_CHEAP, &scaling->cheap_price) &&
	       read_array(items, SERVICE_ZONES, &zones) &&
	       read_zones(&zones, service);
}

static bool read_kind(const struct unpacked *items, size_t i,
		      enum route_kind *kind)
{
	int64_t value;

	if (!unpack_int(items, i, &value) || value < ROUTE_IDEMPOTENT ||
	    value > ROUTE_STREAM)
		return false;
	*kind = (enum route_kind)value;
	return true;
}

static bool read_splits(const struct unpacked *items,
			const struct document *document, struct route *route)
{
	int64_t service;
	int64_t weight;
	size_t i;

	for (i = 0; i + 1 < items->n; i += 2) {
		if (!unpack_int(items, i, &service) ||
		    !unpack_int(items, i + 1, &weight) || service < 0 ||
		    service >= (int64_t)document->n_services)
			return false;
		route_add_split(route, document->services[service].name,
				weight);
	}
	return true;
}

/* The list of names that stands at `i`. */
static bool read_regions(const struct unpacked *items, size_t i,
			 char ***regions, size_t *n_regions)
{
	struct unpacked names;
	char *name;
	size_t at;

	if (!read_array(items, i, &names))
		return false;
	for (at = 0; at < names.n; at++) {
		if (!read_text(&names, at, &name))
			return false;
		document_add_region(regions, n_regions, name);
		free(name);
	}
	return true;
}

/* Releases before this item know of no regions. */
static bool read_route_regions(const struct unpacked *items,
			       struct route *route)
{
	return items->n <= ROUTE_REGIONS ||
	       read_regions(items, ROUTE_REGIONS, &route->regions,
			    &route->n_regions);
}

static bool read_route(const struct unpacked *items,
		       const struct document *document, struct route *route)
{
	struct unpacked splits;

	return read_text(items, ROUTE_NAME, &route->name) &&
	       read_text(items, ROUTE_HOST, &route->host) &&
	       read_text(items, ROUTE_PREFIX, &route->prefix) &&
	       read_kind(items, ROUTE_KIND, &route->kind) &&
	       read_flag(items, ROUTE_RESUMABLE, &route->resumable) &&
	       read_flag(items, ROUTE_OPEN, &route->open) &&
	       unpack_int(items, ROUTE_TIMEOUT, &route->timeout_ms) &&
	       unpack_int(items, ROUTE_GOAL, &route->goal_ms) &&
	       unpack_int(items, ROUTE_PAUSE, &route->pause_ms) &&
	       read_int(items, ROUTE_TIER, &route->tier) &&
	       read_int(items, ROUTE_ATTEMPTS, &route->attempts) &&
	       read_array(items, ROUTE_SPLITS, &splits) &&
	       read_splits(&splits, document, route) &&
	       read_route_regions(items, route);
}

static bool read_organisation(const struct unpacked *items,
			      struct document *document)
{
	size_t index = document->n_organisations;
	struct document_organisation *organisation =
		document_add_organisation(document);
	char *key;
	size_t i;

	if (!read_text(items, HOLDER_NAME, &organisation->name) ||
	    !read_int(items, HOLDER_TIER, &organisation->tier))
		return false;
	for (i = HOLDER_KEYS; i < items->n; i++) {
		if (!read_text(items, i, &key))
			return false;
		document_add_key(document, index, key);
		free(key);
	}
	return true;
}

static bool read_services(const struct unpacked *list,
			  struct document *document)
{
	struct unpacked items;
	size_t i;

	for (i = 0; i < list->n; i++)
		if (!read_array(list, i, &items) ||
		    !read_service(&items, document))
			return false;
	return true;
}

static bool read_routes(const struct unpacked *list, struct document *document)
{
	struct unpacked items;
	size_t i;

	for (i = 0; i < list->n; i++)
		if (!read_array(list, i, &items) ||
		    !read_route(&items, document, document_add_route(document)))
			return false;
	return true;
}

static bool read_organisations(const struct unpacked *list,
			       struct document *document)
{
	struct unpacked items;
	size_t i;

	for (i = 0; i < list->n; i++)
		if (!read_array(list, i, &items) ||
		    !read_organisation(&items, document))
			return false;
	return true;
}

/* Releases before this item know of no regions. */
static bool read_all_holder_regions(const struct unpacked *root,
				    struct document *document)
{
	struct document_organisation *holders = document->organisations;
	struct unpacked list;
	size_t i;

	if (root->n <= ROOT_HOLDER_REGIONS)
		return true;
	if (!read_array(root, ROOT_HOLDER_REGIONS, &list) ||
	    list.n != document->n_organisations)
		return false;
	for (i = 0; i < list.n; i++)
		if (!read_regions(&list, i, &holders[i].regions,
				  &holders[i].n_regions))
			return false;
	return true;
}

/* Releases before this item need keys where there are organisations. */
static bool read_keyed(const struct unpacked *root, struct document *document)
{
	return root->n <= ROOT_KEYED ||
	       read_flag(root, ROOT_KEYED, &document->keyed);
}

static bool read_root(const struct unpacked *root, struct document *document)
{
	struct unpacked limits;
	struct unpacked services;
	struct unpacked routes;
	struct unpacked organisations;

	return unpack_int(root, ROOT_VERSION, &document->version) &&
	       read_array(root, ROOT_LIMITS, &limits) &&
	       read_array(root, ROOT_SERVICES, &services) &&
	       read_array(root, ROOT_ROUTES, &routes) &&
	       read_array(root, ROOT_HOLDERS, &organisations) &&
	       read_limits(&limits, &document->limits) &&
	       read_services(&services, document) &&
	       read_routes(&routes, document) &&
	       read_organisations(&organisations, document) &&
	       read_all_holder_regions(root, document) &&
	       read_keyed(root, document);
}

struct document *document_decode(const char *data, size_t len)
{
	struct document *document = document_new();
	struct unpacked root;
	bool good;

	if (!unpack_array(&root, data, len)) {
		document_free(document);
		return NULL;
	}
	good = read_root(&root, document) && !document_check(document, NULL);
	unpack_clear(&root);
	if (good)
		return document;
	document_free(document);
	return NULL;
}
