/*
 * Zones that the settings evacuate: their backend servers get no new requests,
 * and the planner counts on none there (autoscaler_settings.c).
 */
#include <string.h>

#include "agree/rules.h"
#include "core/core_state.h"

#define ZONE_PREFIX "site/fleet/zone/"

static void set_zone(struct core *core, const char *zone, bool evacuated)
{
	if (evacuations_include(&core->fleet.evacuations, zone) == evacuated)
		return;
	fleet_evacuate(&core->fleet, zone, evacuated);
	core_log(core, LOG_INFO, "fleet", "zone %s %s", zone,
		 evacuated ? "evacuated" : "in use again");
}

static void read_zone(struct core *core, const char *path)
{
	set_zone(core, path + strlen(ZONE_PREFIX),
		 rules_number(agreed_settings(core->agreed), path,
			      "evacuated") != 0);
}

static void read_path(void *data, const char *path, json_t *value,
		      int64_t version)
{
	(void)value;
	(void)version;
	if (!strncmp(path, ZONE_PREFIX, strlen(ZONE_PREFIX)))
		read_zone(data, path);
}

void evacuate_read_settings(struct core *core)
{
	const struct evacuation *zone;
	char path[sizeof(ZONE_PREFIX) + RULE_NAME_SIZE];

	/* Paths that were deleted aren't visited and have their default. */
	list_foreach(zone, &core->fleet.evacuations.zones, node) {
		snprintf(path, sizeof(path), ZONE_PREFIX "%s", zone->zone);
		read_zone(core, path);
	}
	settings_visit(agreed_settings(core->agreed), read_path, core);
	router_fleet_changed(core->router, core->now_us, core->effects);
}
