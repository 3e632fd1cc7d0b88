#include "load/floor.h"

#include <string.h>

void floor_init(struct floor *floor)
{
	memset(floor, 0, sizeof(*floor));
}

void floor_set(struct floor *floor, int class_id, double min_share)
{
	floor->classes[class_id].min_share = min_share;
	if (min_share <= 0)
		floor->classes[class_id].credit = 0;
	else if (class_id >= floor->highest)
		floor->highest = class_id + 1;
}

bool floor_due(const struct floor *floor, int class_id, double cost)
{
	const struct floor_class *class = &floor->classes[class_id];

	return class->min_share > 0 && class->credit >= cost;
}

void floor_served(struct floor *floor, int class_id, double cost,
		  const bool *waits)
{
	struct floor_class *class;
	int i;

	for (i = 0; i < floor->highest; i++) {
		class = &floor->classes[i];
		if (waits[i])
			class->credit += class->min_share * cost;
		else
			class->credit = 0;
	}
	class = &floor->classes[class_id];
	class->credit -= cost;
	if (class->credit < 0)
		class->credit = 0;
}
