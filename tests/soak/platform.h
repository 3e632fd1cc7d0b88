#ifndef TESTS_SOAK_PLATFORM_H
#define TESTS_SOAK_PLATFORM_H

#include "soak.h"

/** The platform's side that takes usage reports and checks nothing. */
struct platform;

struct platform *platform_new(struct soak *soak);
void platform_free(struct platform *platform);

/** Windows that were reported. */
int platform_windows(const struct platform *platform);

#endif
