#ifndef FILBERTHALL_FLEET_SPEND_H
#define FILBERTHALL_FLEET_SPEND_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/backend.h"
#include "fleet/target.h"

/**
 * Cost of the backend servers by zone and kind, and cost and attained requests
 * by team, for `filberthall spend` and the metrics.
 *
 * A server is counted from its first to its last announcement, so the time that
 * the platform bills for its start-up is missing. Its cost is charged to the
 * team of its pool; attained requests count for the team of their class.
 */
struct spend;

struct spend *spend_new(void);
void spend_free(struct spend *spend);

/** Add the cost since the last tick, with the prices and pools of `target`. */
void spend_tick(struct spend *spend, const struct fleet *fleet,
		const struct target *target, int64_t now_us);

/** Count a request that has ended. */
void spend_count(struct spend *spend, const char *team, bool attained);

/** Total cost of a team's servers. */
double spend_of_team(const struct spend *spend, const char *team);

/**
 * {"zones": [{"zone", "kind", "servers", "cost"}], "teams": [{"team",
 * "cost", "requests", "attained", "cost_per_attained"}], "per_hour": now}.
 */
json_t *spend_describe(const struct spend *spend);

#endif
