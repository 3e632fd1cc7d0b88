#include <glib.h>
#include <string.h>

#include "base/alloc.h"
#include "document/change.h"
#include "document/document.h"

static struct route *add_route(struct document *document, const char *name,
			       const char *host, const char *prefix)
{
	struct route *route = document_add_route(document);

	route->name = xstrdup(name);
	route->host = xstrdup(host);
	route->prefix = xstrdup(prefix);
	route->timeout_ms = 1000;
	return route;
}

/* Two services and one route; the caller adds what makes it invalid. */
static struct document *start(void)
{
	struct document *document = document_new();

	document_add_service(document, "desk");
	document_add_service(document, "scribe");
	route_add_split(add_route(document, "lodge", "a.example", "/lodge/"),
			"desk", 1);
	return document;
}

static void add_organisation(struct document *document, const char *name,
			     const char *key)
{
	size_t index = document->n_organisations;

	document_add_organisation(document)->name = xstrdup(name);
	document_add_key(document, index, key);
}

static void test_valid(void)
{
	struct document *document = start();

	g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
	document_free(document);
}

/* A tier is an index into tables of the router: out of range it crashed them. */
static void test_tier_range(void)
{
	struct document *document = start();

	document->routes[0].tier = -7;
	g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
	g_assert_cmpint(document->routes[0].tier, ==, 0);
	document_free(document);
	document = start();
	document->routes[0].tier = 1000;
	g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
	g_assert_cmpint(document->routes[0].tier, <, 4);
	document_free(document);
}

static void refused(struct document *document)
{
	g_assert_cmpint(document_check(document, NULL), ==,
			RESULT_SETTING_VALUE);
	document_free(document);
}

static void test_unknown_service(void)
{
	struct document *document = start();

	route_add_split(add_route(document, "x", "a.example", "/x/"), "nobody",
			1);
	refused(document);
}

static void test_same_place(void)
{
	struct document *document = start();

	route_add_split(add_route(document, "x", "a.example", "/lodge/"),
			"desk", 1);
	refused(document);
}

static void test_no_weight(void)
{
	struct document *document = start();
	struct route *route = add_route(document, "x", "a.example", "/x/");

	route_add_split(route, "desk", 0);
	route_add_split(route, "scribe", 0);
	refused(document);
}

static void test_no_timeout(void)
{
	struct document *document = start();
	struct route *route = add_route(document, "x", "a.example", "/x/");

	route_add_split(route, "desk", 1);
	route->timeout_ms = 0;
	refused(document);
}

static void test_shared_key(void)
{
	struct document *document = start();

	add_organisation(document, "yards", "k1");
	add_organisation(document, "drivers", "k1");
	refused(document);
}

static void test_prefix_without_slash(void)
{
	struct document *document = start();

	route_add_split(add_route(document, "x", "a.example", "/x"), "desk", 1);
	refused(document);
}

static const char *route_name(const struct document *document, const char *host,
			      const char *path)
{
	const struct route *route = document_route(document, host, path);

	return route ? route->name : "none";
}

static void test_route(void)
{
	struct document *document = start();

	route_add_split(add_route(document, "all", "a.example", "/"), "desk",
			1);
	route_add_split(add_route(document, "late", "a.example",
				  "/lodge/late/"),
			"desk", 1);
	route_add_split(add_route(document, "other", "b.example", "/lodge/"),
			"scribe", 1);
	g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
	g_assert_cmpstr(route_name(document, "a.example", "/lodge/7"), ==,
			"lodge");
	g_assert_cmpstr(route_name(document, "a.example", "/lodge/late/7"), ==,
			"late");
	g_assert_cmpstr(route_name(document, "a.example", "/lodge"), ==, "all");
	g_assert_cmpstr(route_name(document, "a.example:80", "/lodge/"), ==,
			"lodge");
	g_assert_cmpstr(route_name(document, "b.example", "/lodge/?x=/a/"), ==,
			"other");
	g_assert_cmpstr(route_name(document, "b.example", "/x/"), ==, "none");
	g_assert_cmpstr(route_name(document, "c.example", "/lodge/"), ==,
			"none");
	document_free(document);
}

static void test_choose(void)
{
	struct document *document = start();
	struct route *route = add_route(document, "x", "a.example", "/x/");
	int desk = 0;
	int i;

	route_add_split(route, "desk", 90);
	route_add_split(route, "scribe", 10);
	route_add_split(route, "scribe", 0);
	for (i = 0; i < 1000; i++)
		desk += !strcmp(route_choose(route, i / 1000.0), "desk");
	g_assert_cmpint(desk, ==, 900);
	document_free(document);
}

static void test_holder(void)
{
	struct document *document = start();

	add_organisation(document, "yards", "k1");
	add_organisation(document, "drivers", "k2");
	g_assert_cmpint(document_check(document, NULL), ==, RESULT_OK);
	g_assert_cmpstr(document_organisation_by_key(document, "k2")->name, ==,
			"drivers");
	g_assert_null(document_organisation_by_key(document, "k3"));
	document_free(document);
}

static void test_compare(void)
{
	struct document *before = start();
	struct document *now = start();
	struct document_change change;

	add_route(before, "gone", "a.example", "/gone/")->tier = 1;
	route_add_split(&before->routes[1], "desk", 1);
	add_organisation(before, "yards", "k1");
	route_add_split(add_route(now, "new", "a.example", "/new/"), "desk", 1);
	add_organisation(now, "yards", "k2");
	now->routes[0].timeout_ms = 2000;
	now->limits.idle_ms = 1;
	g_assert_cmpint(document_check(before, NULL), ==, RESULT_OK);
	g_assert_cmpint(document_check(now, NULL), ==, RESULT_OK);
	change = document_compare(before, now);
	g_assert_cmpint(change.routes_added, ==, 1);
	g_assert_cmpint(change.routes_removed, ==, 1);
	g_assert_cmpint(change.routes_timed, ==, 1);
	g_assert_cmpint(change.routes_moved + change.routes_other, ==, 0);
	g_assert_cmpint(change.keys_added, ==, 1);
	g_assert_cmpint(change.keys_removed, ==, 1);
	g_assert_true(change.limits);
	change = document_compare(now, now);
	g_assert_cmpint(change.routes_added + change.routes_removed +
				change.routes_timed + change.keys_added +
				change.keys_removed + change.limits,
			==, 0);
	change = document_compare(NULL, now);
	g_assert_cmpint(change.routes_added, ==, 2);
	document_free(before);
	document_free(now);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/document/valid", test_valid);
	g_test_add_func("/document/unknown-service", test_unknown_service);
	g_test_add_func("/document/same-place", test_same_place);
	g_test_add_func("/document/no-weight", test_no_weight);
	g_test_add_func("/document/no-timeout", test_no_timeout);
	g_test_add_func("/document/shared-key", test_shared_key);
	g_test_add_func("/document/prefix", test_prefix_without_slash);
	g_test_add_func("/document/route", test_route);
	g_test_add_func("/document/choose", test_choose);
	g_test_add_func("/document/holder", test_holder);
	g_test_add_func("/document/tier-range", test_tier_range);
	g_test_add_func("/document/compare", test_compare);
	return g_test_run();
}
