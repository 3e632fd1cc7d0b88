#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "agree/setting.h"

/*
 * At most half of all dispatches may be guaranteed: otherwise a burst in the
 * highest tier would wait behind guaranteed work of lower tiers.
 */
#define CROSS_SHARE_LIMIT 0.5
#define CROSS_SHARE_ROUNDING 1e-9

static const char *const cross_kind_names[RULE_KINDS] = {
	[RULE_CLASS] = "class",
	[RULE_ORGANISATION] = "organisation",
	[RULE_SERVICE] = "service",
	[RULE_OTHER] = "setting",
};

static enum result cross_set_fault(struct schema_fault *fault, const char *path,
				   const char *field)
{
	fault->code = RESULT_SETTING_VALUE;
	snprintf(fault->path, sizeof(fault->path), "%s", path);
	snprintf(fault->field, sizeof(fault->field), "%s", field);
	return fault->code;
}

/* Names must be unique: requests name a class or service without its team. */
static enum result cross_check_names(const struct settings *settings,
				     const struct setting_edit *edits, size_t n,
				     struct schema_fault *fault)
{
	size_t i;

	for (i = 0; i < n; i++) {
		const struct setting *own =
			settings_find(settings, edits[i].path);
		const struct setting *other;

		if (!own || own->kind == RULE_OTHER)
			continue;
		other = rules_find(settings, own->kind, own->name, own);
		if (!other)
			continue;
		snprintf(fault->reason, sizeof(fault->reason),
			 "the name is taken by %s", other->path);
		snprintf(fault->allowed, sizeof(fault->allowed),
			 "a %s name that no other team uses",
			 cross_kind_names[own->kind]);
		return cross_set_fault(fault, own->path, "");
	}
	return RESULT_OK;
}

static bool cross_edited(const struct setting_edit *edits, size_t n,
			 const char *path)
{
	size_t i;

	for (i = 0; i < n; i++)
		if (!strcmp(edits[i].path, path))
			return true;
	return false;
}

static enum result cross_check_shares(const struct settings *settings,
				      const struct setting_edit *edits,
				      size_t n, struct schema_fault *fault)
{
	const struct setting *setting;
	const struct setting *next;
	const struct setting *culprit = NULL;
	double sum = 0;

	map_foreach(setting, next, &settings->paths, node) {
		const struct class_rule *rule = setting->view;

		if (setting->kind != RULE_CLASS || rule->min_share <= 0)
			continue;
		sum += rule->min_share;
		if (!culprit || cross_edited(edits, n, setting->path))
			culprit = setting;
	}
	if (!culprit || sum <= CROSS_SHARE_LIMIT + CROSS_SHARE_ROUNDING)
		return RESULT_OK;
	snprintf(fault->reason, sizeof(fault->reason),
		 "makes the shares of all classes %g", sum);
	snprintf(fault->allowed, sizeof(fault->allowed),
		 "%g at most over all classes of the site", CROSS_SHARE_LIMIT);
	return cross_set_fault(fault, culprit->path, "min_share");
}

static enum result cross_check_routes(const struct settings *settings,
				      const struct setting *service,
				      struct schema_fault *fault)
{
	const struct service_rule *rule = service->view;
	char field[64];
	int i;

	for (i = 0; i < rule->n_routes; i++) {
		const char *name = rule->routes[i].class_name;

		if (!*name || rules_find(settings, RULE_CLASS, name, NULL))
			continue;
		snprintf(field, sizeof(field), "routes[%d].class", i);
		snprintf(fault->reason, sizeof(fault->reason),
			 "names \"%s\", which is no class", name);
		snprintf(fault->allowed, sizeof(fault->allowed),
			 "a class that exists after the change");
		return cross_set_fault(fault, service->path, field);
	}
	return RESULT_OK;
}

static enum result cross_check_cluster(const struct settings *settings,
				       struct schema_fault *fault)
{
	const struct setting *setting = settings_find(settings, "site/cluster");
	const json_t *voters;

	if (!setting)
		return RESULT_OK;
	voters = json_object_get(setting->value, "voters");
	if (!voters || json_integer_value(voters) % 2)
		return RESULT_OK;
	snprintf(fault->reason, sizeof(fault->reason), "is %lld",
		 (long long)json_integer_value(voters));
	snprintf(fault->allowed, sizeof(fault->allowed), "1, 3, 5 or 7");
	return cross_set_fault(fault, setting->path, "voters");
}

enum result cross_check(const struct settings *settings,
			const struct setting_edit *edits, size_t n,
			struct schema_fault *fault)
{
	const struct setting *setting;
	const struct setting *next;
	enum result code;

	memset(fault, 0, sizeof(*fault));
	code = cross_check_names(settings, edits, n, fault);
	if (code == RESULT_OK)
		code = cross_check_shares(settings, edits, n, fault);
	if (code == RESULT_OK)
		code = cross_check_cluster(settings, fault);
	map_foreach(setting, next, &settings->paths, node) {
		if (code != RESULT_OK)
			break;
		if (setting->kind == RULE_SERVICE)
			code = cross_check_routes(settings, setting, fault);
	}
	return code;
}
