#ifndef TESTS_SOAK_CALLERS_H
#define TESTS_SOAK_CALLERS_H

#include "soak.h"

/** Callers with kept connections, which see what is answered. */
struct callers;

/** How requests ended, since the start. */
struct callers_tally {
	int asked;
	int served;
	int refused; /**< as not run */
	int failed;
};

struct callers *callers_new(struct soak *soak);
void callers_free(struct callers *callers);

struct callers_tally callers_tally(const struct callers *callers);

#endif
