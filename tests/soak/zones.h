#ifndef TESTS_SOAK_ZONES_H
#define TESTS_SOAK_ZONES_H

#include "soak.h"

/**
 * An operator who evacuates one zone after another and takes it back, and
 * sends what got no clear answer once more, to any control VM.
 */
struct zones;

struct zones *zones_new(struct soak *soak);
void zones_free(struct zones *zones);

/** When the evacuation that holds was acknowledged, 0 for none. */
int64_t zones_evacuated_us(const struct zones *zones, int zone);

/** Whether the zone is evacuated, or may be. */
bool zones_concern(const struct zones *zones, int zone);

/** No more evacuations: what is evacuated is taken back. */
void zones_rest(struct zones *zones);

/** Whether the last order is acknowledged. */
bool zones_settled(const struct zones *zones);

/** Orders acknowledged. */
int zones_orders(const struct zones *zones);

#endif
