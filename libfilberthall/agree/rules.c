#include "agree/rules.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agree/schema.h"
#include "agree/setting.h"
#include "base/alloc.h"

#define MS_US 1000

enum rule_kind rule_kind_of(const char *path, const char **name)
{
	static const struct {
		const char *part;
		enum rule_kind kind;
	} parts[] = {
		{ "/class/", RULE_CLASS },
		{ "/organisation/", RULE_ORGANISATION },
		{ "/service/", RULE_SERVICE },
	};
	const char *rest;
	size_t i;

	*name = strrchr(path, '/');
	*name = *name ? *name + 1 : path;
	if (strncmp(path, "team/", strlen("team/")) != 0)
		return RULE_OTHER;
	rest = path + strlen("team/");
	rest += strcspn(rest, "/");
	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		if (!strncmp(rest, parts[i].part, strlen(parts[i].part)))
			return parts[i].kind;
	return RULE_OTHER;
}

static void rules_copy_name(char name[RULE_NAME_SIZE], const char *text)
{
	snprintf(name, RULE_NAME_SIZE, "%s", text ? text : "");
}

static void rules_copy_team(char team[RULE_NAME_SIZE], const char *path)
{
	const char *start = path + strlen("team/");

	snprintf(team, RULE_NAME_SIZE, "%.*s", (int)strcspn(start, "/"), start);
}

/* The number in a field of a setting, or the default. */
static double rules_field(const struct setting *setting, const char *field)
{
	const json_t *value = json_object_get(setting->value, field);

	if (json_is_boolean(value))
		return json_is_true(value);
	if (json_is_number(value))
		return json_number_value(value);
	return schema_default(setting->path, field);
}

static int64_t rules_int(const struct setting *setting, const char *field)
{
	return (int64_t)rules_field(setting, field);
}

static void *rules_build_class(const struct setting *setting)
{
	struct class_rule *rule = xcalloc(1, sizeof(*rule));

	rules_copy_name(rule->name, setting->name);
	rules_copy_team(rule->team, setting->path);
	rule->tier = (int)rules_int(setting, "tier");
	rule->first_token_us = rules_int(setting, "first_token_ms") * MS_US;
	rule->inter_token_us = rules_int(setting, "inter_token_ms") * MS_US;
	rule->deadline_us = rules_int(setting, "deadline_ms") * MS_US;
	rule->min_share = rules_field(setting, "min_share");
	rule->queue_bound = rules_int(setting, "queue_bound");
	rule->idempotent = rules_field(setting, "idempotent") != 0;
	rule->reclaimable = rules_field(setting, "reclaimable") != 0;
	return rule;
}

static void *rules_build_organisation(const struct setting *setting)
{
	struct organisation_rule *rule = xcalloc(1, sizeof(*rule));

	rules_copy_name(rule->name, setting->name);
	rules_copy_team(rule->team, setting->path);
	rule->max_concurrent = rules_int(setting, "max_concurrent");
	rule->requests_per_min = rules_int(setting, "requests_per_min");
	rule->tokens_per_min = rules_int(setting, "tokens_per_min");
	rule->burst_s = rules_field(setting, "burst_s");
	return rule;
}

static const char *rules_json_text(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

static enum idempotency rules_idempotency(const char *text)
{
	if (!strcmp(text, "safe"))
		return IDEMPOTENCY_SAFE;
	if (!strcmp(text, "required"))
		return IDEMPOTENCY_REQUIRED;
	if (!strcmp(text, "body"))
		return IDEMPOTENCY_BODY;
	return IDEMPOTENCY_NONE;
}

static void rules_fill_route(struct route_rule *route, const json_t *value)
{
	snprintf(route->method, sizeof(route->method), "%s",
		 rules_json_text(value, "method"));
	snprintf(route->prefix, sizeof(route->prefix), "%s",
		 rules_json_text(value, "prefix"));
	route->idempotency =
		rules_idempotency(rules_json_text(value, "idempotency"));
	rules_copy_name(route->class_name, rules_json_text(value, "class"));
}

static void *rules_build_service(const struct setting *setting)
{
	struct service_rule *rule = xcalloc(1, sizeof(*rule));
	const json_t *routes = json_object_get(setting->value, "routes");
	const json_t *route;
	size_t i;

	rules_copy_name(rule->name, setting->name);
	rules_copy_team(rule->team, setting->path);
	json_array_foreach(routes, i, route)
		if (i < RULE_ROUTES)
			rules_fill_route(&rule->routes[rule->n_routes++],
					 route);
	return rule;
}

void rules_build_view(struct setting *setting)
{
	static void *(*const builders[RULE_KINDS])(const struct setting *) = {
		[RULE_CLASS] = rules_build_class,
		[RULE_ORGANISATION] = rules_build_organisation,
		[RULE_SERVICE] = rules_build_service,
	};

	free(setting->view);
	setting->view = builders[setting->kind]
				? builders[setting->kind](setting)
				: NULL;
}

uint64_t rules_name_hash(enum rule_kind kind, const char *name)
{
	return map_hash_text(name) + (uint64_t)kind;
}

struct rules_key {
	enum rule_kind kind;
	const char *name;
	const struct setting *other;
};

static bool rules_match(const struct map_node *node, const void *key)
{
	const struct setting *setting =
		container_of(node, struct setting, name_node);
	const struct rules_key *wanted = key;

	return setting != wanted->other && setting->kind == wanted->kind &&
	       !strcmp(setting->name, wanted->name);
}

struct setting *rules_find(const struct settings *settings, enum rule_kind kind,
			   const char *name, const struct setting *other)
{
	struct rules_key key = { kind, name, other };
	struct map_node *node =
		map_find(&settings->names, rules_name_hash(kind, name),
			 rules_match, &key);

	return node ? container_of(node, struct setting, name_node) : NULL;
}

static const void *rules_view(const struct settings *settings,
			      enum rule_kind kind, const char *name)
{
	const struct setting *setting = rules_find(settings, kind, name, NULL);

	return setting ? setting->view : NULL;
}

const struct class_rule *rules_class(const struct settings *settings,
				     const char *name)
{
	return rules_view(settings, RULE_CLASS, name);
}

const struct organisation_rule *
rules_organisation(const struct settings *settings, const char *name)
{
	return rules_view(settings, RULE_ORGANISATION, name);
}

const struct service_rule *rules_service(const struct settings *settings,
					 const char *name)
{
	return rules_view(settings, RULE_SERVICE, name);
}

const struct route_rule *rules_route(const struct service_rule *service,
				     const char *method, const char *path)
{
	int i;

	for (i = 0; i < service->n_routes; i++) {
		const struct route_rule *route = &service->routes[i];

		if (strcmp(route->method, "*") != 0 &&
		    strcmp(route->method, method) != 0)
			continue;
		if (!strncmp(path, route->prefix, strlen(route->prefix)))
			return route;
	}
	return NULL;
}

void rules_visit_classes(const struct settings *settings,
			 void (*visit)(void *data,
				       const struct class_rule *rule),
			 void *data)
{
	struct setting *setting;
	struct setting *next;

	map_foreach(setting, next, &settings->paths, node)
		if (setting->kind == RULE_CLASS)
			visit(data, setting->view);
}

void rules_visit_organisations(const struct settings *settings,
			       void (*visit)(void *data,
					     const struct organisation_rule *),
			       void *data)
{
	struct setting *setting;
	struct setting *next;

	map_foreach(setting, next, &settings->paths, node)
		if (setting->kind == RULE_ORGANISATION)
			visit(data, setting->view);
}

void rules_visit_services(const struct settings *settings,
			  void (*visit)(void *data,
					const struct service_rule *rule),
			  void *data)
{
	struct setting *setting;
	struct setting *next;

	map_foreach(setting, next, &settings->paths, node)
		if (setting->kind == RULE_SERVICE)
			visit(data, setting->view);
}

double rules_number(const struct settings *settings, const char *path,
		    const char *field)
{
	const struct setting *setting = settings_find(settings, path);

	return setting ? rules_field(setting, field)
		       : schema_default(path, field);
}

const char *rules_text(const struct settings *settings, const char *path,
		       const char *field, const char *fallback)
{
	const json_t *value = settings_get(settings, path, NULL);
	const char *text = json_string_value(json_object_get(value, field));

	return text ? text : fallback;
}
