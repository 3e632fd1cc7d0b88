#ifndef FILBERTHALL_FLEET_SPEND_H
#define FILBERTHALL_FLEET_SPEND_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"
#include "fleet/target.h"

/**
 * What backend servers cost against the service they gave, by zone and kind
 * and by team, for `filberthall spend` and the metrics.
 *
 * A server is counted from its first to its last announcement; what the
 * platform bills for starting up isn't seen from here. Its cost falls to the
 * team of its pool, attained requests to the team of their class.
 */
struct spend;

struct spend *spend_new(void);
void spend_free(struct spend *spend);

/** Add the cost since the last tick, by the prices and pools of `target`. */
void spend_tick(struct spend *spend, const struct fleet *fleet,
		const struct target *target, int64_t now_us);

/** Count a request that ended. */
void spend_count(struct spend *spend, const char *team, bool attained);

/** Cost of a team's servers so far. */
double spend_of_team(const struct spend *spend, const char *team);

/**
 * {"zones": [{"zone", "kind", "servers", "cost"}], "teams": [{"team",
 * "cost", "requests", "attained", "cost_per_attained"}], "per_hour": now}.
 */
json_t *spend_describe(const struct spend *spend);

#endif
