#include "fleet/spend.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/list.h"

#define SPEND_HOUR_US 3600e6

struct spend_zone {
	struct list node;
	char zone[BACKEND_NAME_SIZE];
	bool cheap;
	int64_t servers; /**< at the last tick */
	double cost;
};

struct spend_team {
	struct list node;
	char team[RULE_NAME_SIZE];
	double cost;
	int64_t requests;
	int64_t attained;
};

struct spend {
	struct list zones;
	struct list teams;
	int64_t last_us; /**< time of the last tick, 0 for none */
	double per_hour; /**< at the last tick */
};

struct spend *spend_new(void)
{
	struct spend *spend = xcalloc(1, sizeof(*spend));

	list_init(&spend->zones);
	list_init(&spend->teams);
	return spend;
}

void spend_free(struct spend *spend)
{
	struct spend_zone *zone;
	struct spend_zone *next_zone;
	struct spend_team *team;
	struct spend_team *next_team;

	if (!spend)
		return;
	list_foreach_safe(zone, next_zone, &spend->zones, node)
		free(zone);
	list_foreach_safe(team, next_team, &spend->teams, node)
		free(team);
	free(spend);
}

static struct spend_zone *spend_zone(struct spend *spend, const char *name,
				     bool cheap)
{
	struct spend_zone *zone;

	list_foreach(zone, &spend->zones, node)
		if (zone->cheap == cheap && !strcmp(zone->zone, name))
			return zone;
	zone = xcalloc(1, sizeof(*zone));
	snprintf(zone->zone, sizeof(zone->zone), "%s", name);
	zone->cheap = cheap;
	list_append(&spend->zones, &zone->node);
	return zone;
}

static struct spend_team *spend_find_team(const struct spend *spend,
					  const char *name)
{
	struct spend_team *team;

	list_foreach(team, &spend->teams, node)
		if (!strcmp(team->team, name))
			return team;
	return NULL;
}

static struct spend_team *spend_team(struct spend *spend, const char *name)
{
	struct spend_team *team = spend_find_team(spend, name);

	if (team)
		return team;
	team = xcalloc(1, sizeof(*team));
	snprintf(team->team, sizeof(team->team), "%s", name);
	list_append(&spend->teams, &team->node);
	return team;
}

void spend_tick(struct spend *spend, const struct fleet *fleet,
		const struct target *target, int64_t now_us)
{
	double hours = spend->last_us ? (double)(now_us - spend->last_us) /
						SPEND_HOUR_US
				      : 0;
	struct spend_zone *zone;
	struct backend *backend;
	struct backend *next;

	spend->last_us = now_us;
	spend->per_hour = 0;
	list_foreach(zone, &spend->zones, node)
		zone->servers = 0;
	map_foreach(backend, next, &fleet->backends, node) {
		const char *pool =
			*backend->service ? backend->service : backend->model;
		double price =
			target_price(target, backend->zone, backend->cheap);

		zone = spend_zone(spend, backend->zone, backend->cheap);
		zone->servers++;
		zone->cost += price * hours;
		spend->per_hour += price;
		spend_team(spend, target_team(target, pool))->cost +=
			price * hours;
	}
}

void spend_count(struct spend *spend, const char *team, bool attained)
{
	struct spend_team *of = spend_team(spend, team);

	of->requests++;
	of->attained += attained;
}

double spend_of_team(const struct spend *spend, const char *name)
{
	const struct spend_team *team = spend_find_team(spend, name);

	return team ? team->cost : 0;
}

json_t *spend_describe(const struct spend *spend)
{
	const struct spend_zone *zone;
	const struct spend_team *team;
	json_t *zones = json_array();
	json_t *teams = json_array();

	list_foreach(zone, &spend->zones, node)
		json_array_append_new(
			zones,
			json_pack("{ss ss sI sf}", "zone", zone->zone, "kind",
				  zone->cheap ? "cheap" : "steady", "servers",
				  (json_int_t)zone->servers, "cost",
				  zone->cost));
	list_foreach(team, &spend->teams, node)
		json_array_append_new(
			teams,
			json_pack("{ss sf sI sI so}", "team", team->team,
				  "cost", team->cost, "requests",
				  (json_int_t)team->requests, "attained",
				  (json_int_t)team->attained,
				  "cost_per_attained",
				  team->attained
					  ? json_real(team->cost /
						      (double)team->attained)
					  : json_null()));
	return json_pack("{so so sf}", "zones", zones, "teams", teams,
			 "per_hour", spend->per_hour);
}
