/*
 * Passes the fleet's settings to the planner: policy, pools, zones and
 * budgets.
 */
#include <stdio.h>
#include <string.h>

#include "agree/rules.h"
#include "core/core_state.h"

/* Slots assumed for a backend server that hasn't announced itself yet. */
#define AUTOSCALER_DEFAULT_SLOTS 16

#define AUTOSCALER_MODEL_PREFIX "site/fleet/model/"
#define AUTOSCALER_SERVICE_PREFIX "site/fleet/service/"
#define AUTOSCALER_ZONE_PREFIX "site/fleet/zone/"
#define AUTOSCALER_TEAM_PREFIX "team/"
#define AUTOSCALER_BUDGET_SUFFIX "/budget"

static bool autoscaler_has_prefix(const char *path, const char *prefix)
{
	return !strncmp(path, prefix, strlen(prefix));
}

static void autoscaler_read_pool(struct core *core, const char *path,
				 const char *name, bool is_service)
{
	const struct settings *settings = agreed_settings(core->agreed);
	struct target_pool pool = { 0 };

	snprintf(pool.name, sizeof(pool.name), "%s", name);
	snprintf(pool.team, sizeof(pool.team), "%s",
		 rules_text(settings, path, "team", ""));
	pool.is_service = is_service;
	pool.min = (int64_t)rules_number(settings, path, "min");
	pool.max = (int64_t)rules_number(settings, path, "max");
	pool.cheap_share = rules_number(settings, path, "cheap_share");
	pool.slots = AUTOSCALER_DEFAULT_SLOTS;
	target_set_pool(core->target, &pool);
}

static void autoscaler_read_zone(struct core *core, const char *path,
				 const char *name)
{
	const struct settings *settings = agreed_settings(core->agreed);
	bool evacuated = rules_number(settings, path, "evacuated") != 0;
	double max = rules_number(settings, path, "max");
	double cheap_max = rules_number(settings, path, "cheap_max");

	target_set_zone(core->target, name, evacuated ? 0 : (int64_t)max,
			evacuated ? 0 : (int64_t)cheap_max);
}

/* "team/NAME/budget" */
static void autoscaler_read_budget(struct core *core, const char *path)
{
	const char *name = path + strlen(AUTOSCALER_TEAM_PREFIX);
	const char *end = strchr(name, '/');
	char team[RULE_NAME_SIZE];

	if (!end || strcmp(end, AUTOSCALER_BUDGET_SUFFIX) ||
	    end - name >= RULE_NAME_SIZE)
		return;
	snprintf(team, sizeof(team), "%.*s", (int)(end - name), name);
	target_set_budget(core->target, team,
			  rules_number(agreed_settings(core->agreed), path,
				       "per_hour"));
}

static void autoscaler_read_path(void *data, const char *path, json_t *value,
				 int64_t version)
{
	struct core *core = data;

	(void)value;
	(void)version;
	if (autoscaler_has_prefix(path, AUTOSCALER_MODEL_PREFIX))
		autoscaler_read_pool(core, path,
				     path + strlen(AUTOSCALER_MODEL_PREFIX),
				     false);
	else if (autoscaler_has_prefix(path, AUTOSCALER_SERVICE_PREFIX))
		autoscaler_read_pool(core, path,
				     path + strlen(AUTOSCALER_SERVICE_PREFIX),
				     true);
	else if (autoscaler_has_prefix(path, AUTOSCALER_ZONE_PREFIX))
		autoscaler_read_zone(core, path,
				     path + strlen(AUTOSCALER_ZONE_PREFIX));
	else if (autoscaler_has_prefix(path, AUTOSCALER_TEAM_PREFIX))
		autoscaler_read_budget(core, path);
}

void autoscaler_read_settings(struct core *core)
{
	const struct settings *settings = agreed_settings(core->agreed);
	static const char path[] = "site/fleet/policy";
	struct target_policy policy;

	policy.utilisation = rules_number(settings, path, "utilisation");
	policy.spare = rules_number(settings, path, "spare");
	policy.start_us =
		(int64_t)(1e6 * rules_number(settings, path, "start_s"));
	policy.shrink_after_us =
		(int64_t)(1e6 * rules_number(settings, path, "shrink_after_s"));
	policy.survive_zone = rules_number(settings, path, "survive_zone") != 0;
	target_set_policy(core->target, &policy);
	settings_visit(settings, autoscaler_read_path, core);
}
