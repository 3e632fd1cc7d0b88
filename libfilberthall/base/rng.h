#ifndef FILBERTHALL_BASE_RNG_H
#define FILBERTHALL_BASE_RNG_H

#include <stdint.h>

/**
 * Seeded generator (splitmix64). Whatever decides draws from one of these in
 * its own state, so that a recorded run replays to the same effects.
 */
struct rng {
	uint64_t state;
};

static inline uint64_t rng_next(struct rng *rng)
{
	uint64_t z = (rng->state += UINT64_C(0x9e3779b97f4a7c15));

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

/** Uniform in [0, limit); 0 if limit is 0. */
static inline uint64_t rng_below(struct rng *rng, uint64_t limit)
{
	return limit ? rng_next(rng) % limit : 0;
}

/** Uniform in [0, 1). */
static inline double rng_unit(struct rng *rng)
{
	return (double)(rng_next(rng) >> 11) / (double)(UINT64_C(1) << 53);
}

#endif
