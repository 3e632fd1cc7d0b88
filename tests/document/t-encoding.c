#include <glib.h>
#include <string.h>

#include "base/alloc.h"
#include "document/encoding.h"

static void add_service(struct document *document, const char *name)
{
	struct service *service = document_add_service(document, name);

	service->health_path = xstrdup("/healthz");
	service->connections = 360;
	service->slots = 64;
	service->kv_tokens = 362531;
	service->cold_ms = 3000;
	service->cold_per_s = 9.5;
	service->scaling.allowed = true;
	service->scaling.least = 1;
	service->scaling.most = 8;
	service->scaling.boot_ms = 4000;
	service->scaling.cheap_price = 0.15;
	service_add_zone(service, "z1", 1.25);
	service_add_zone(service, "z2", 0.8);
}

static struct document *example(void)
{
	struct document *document = document_new();
	struct route *route;

	document->version = 41;
	document->limits.idle_ms = 7777;
	add_service(document, "desk");
	add_service(document, "scribe");
	route = document_add_route(document);
	route->name = xstrdup("critique");
	route->host = xstrdup("a.example");
	route->prefix = xstrdup("/critique/");
	route->kind = ROUTE_STREAM;
	route->resumable = true;
	route->open = true;
	route->timeout_ms = 6000;
	route->goal_ms = 1000;
	route->pause_ms = 800;
	route->tier = 2;
	route->attempts = 3;
	route_add_split(route, "scribe", 90);
	route_add_split(route, "desk", 10);
	document_add_region(&route->regions, &route->n_regions, "north");
	document_add_region(&route->regions, &route->n_regions, "south");
	document_add_organisation(document)->name = xstrdup("yards");
	document->organisations[0].tier = 1;
	document_add_key(document, 0, "k1");
	document_add_key(document, 0, "k2");
	document_add_organisation(document)->name = xstrdup("board");
	document_add_region(&document->organisations[1].regions,
			    &document->organisations[1].n_regions, "north");
	g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
	return document;
}

static void check_route(const struct route *a, const struct route *b)
{
	g_assert_cmpstr(a->name, ==, b->name);
	g_assert_cmpstr(a->host, ==, b->host);
	g_assert_cmpstr(a->prefix, ==, b->prefix);
	g_assert_cmpint(a->kind, ==, b->kind);
	g_assert_cmpint(a->resumable, ==, b->resumable);
	g_assert_cmpint(a->open, ==, b->open);
	g_assert_cmpint(a->timeout_ms, ==, b->timeout_ms);
	g_assert_cmpint(a->goal_ms, ==, b->goal_ms);
	g_assert_cmpint(a->pause_ms, ==, b->pause_ms);
	g_assert_cmpint(a->tier, ==, b->tier);
	g_assert_cmpint(a->attempts, ==, b->attempts);
	g_assert_cmpuint(a->n_splits, ==, 2);
	g_assert_cmpuint(b->n_splits, ==, 2);
	g_assert_cmpstr(a->splits[0].service, ==, b->splits[0].service);
	g_assert_cmpint(a->splits[0].weight, ==, b->splits[0].weight);
	g_assert_cmpstr(a->splits[1].service, ==, b->splits[1].service);
	g_assert_cmpint(a->splits[1].weight, ==, b->splits[1].weight);
}

static void check_service(const struct service *a, const struct service *b)
{
	g_assert_cmpstr(a->name, ==, b->name);
	g_assert_cmpstr(a->health_path, ==, b->health_path);
	g_assert_cmpint(a->connections, ==, b->connections);
	g_assert_cmpint(a->slots, ==, b->slots);
	g_assert_cmpint(a->kv_tokens, ==, b->kv_tokens);
	g_assert_cmpint(a->cold_ms, ==, b->cold_ms);
	g_assert_cmpfloat(a->cold_per_s, ==, b->cold_per_s);
	g_assert_cmpint(a->scaling.allowed, ==, b->scaling.allowed);
	g_assert_cmpint(a->scaling.least, ==, b->scaling.least);
	g_assert_cmpint(a->scaling.most, ==, b->scaling.most);
	g_assert_cmpint(a->scaling.boot_ms, ==, b->scaling.boot_ms);
	g_assert_cmpfloat(a->scaling.cheap_price, ==, b->scaling.cheap_price);
	g_assert_cmpuint(b->scaling.n_zones, ==, 2);
	g_assert_cmpstr(a->scaling.zones[1].name, ==, b->scaling.zones[1].name);
	g_assert_cmpfloat(a->scaling.zones[1].price, ==,
			  b->scaling.zones[1].price);
}

static void test_round_trip(void)
{
	struct document *document = example();
	struct bytes encoded = { 0 };
	struct document *back;

	document_encode(&encoded, document);
	back = document_decode(encoded.data, encoded.len);
	g_assert_nonnull(back);
	g_assert_cmpint(back->version, ==, 41);
	g_assert_cmpint(back->limits.idle_ms, ==, 7777);
	g_assert_cmpint(back->limits.body_bytes, ==,
			document->limits.body_bytes);
	g_assert_cmpuint(back->n_services, ==, 2);
	check_service(&document->services[0], &back->services[0]);
	check_service(&document->services[1], &back->services[1]);
	check_route(&document->routes[0], &back->routes[0]);
	g_assert_nonnull(document_route(back, "a.example", "/critique/7"));
	g_assert_cmpstr(document_organisation_by_key(back, "k2")->name, ==,
			"yards");
	g_assert_cmpint(document_organisation_by_key(back, "k2")->tier, ==, 1);
	g_assert_cmpint(back->organisations[1].tier, ==, -1);
	g_assert_cmpuint(back->routes[0].n_regions, ==, 2);
	g_assert_cmpstr(back->routes[0].regions[1], ==, "south");
	g_assert_cmpuint(back->organisations[0].n_regions, ==, 0);
	g_assert_cmpuint(back->organisations[1].n_regions, ==, 1);
	g_assert_cmpstr(back->organisations[1].regions[0], ==, "north");
	bytes_clear(&encoded);
	document_free(document);
	document_free(back);
}

/* Callers need no key once the last organisation has gone. */
static void test_no_organisation_left(void)
{
	struct document *document = document_new();
	struct bytes encoded = { 0 };
	struct document *back;

	document->version = 1;
	document->keyed = true;
	document_encode(&encoded, document);
	back = document_decode(encoded.data, encoded.len);
	g_assert_true(back->keyed);
	bytes_clear(&encoded);
	document_free(document);
	document_free(back);
}

/* Guards against a damaged message that takes the daemon down. */
static void test_malformed(void)
{
	struct document *document = example();
	struct bytes encoded = { 0 };
	size_t at;

	document_encode(&encoded, document);
	for (at = 0; at < encoded.len; at++) {
		char *copy = g_memdup2(encoded.data, encoded.len);

		g_assert_null(document_decode(encoded.data, at));
		copy[at] ^= 0x5f;
		document_free(document_decode(copy, encoded.len));
		g_free(copy);
	}
	bytes_clear(&encoded);
	document_free(document);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/encoding/no-organisation-left",
			test_no_organisation_left);
	g_test_add_func("/encoding/round-trip", test_round_trip);
	g_test_add_func("/encoding/malformed", test_malformed);
	return g_test_run();
}
