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
	int resumed; /**< requests that resume a stream */
	int gone_on; /**< of these, those that brought more of it */
	/* The same while nothing has happened, with servers of its version. */
	int calm_resumed;
	int calm_gone_on;
	int calm_new; /**< streams */
	int calm_begun;
};

struct callers *callers_new(struct soak *soak);
void callers_free(struct callers *callers);

/** Whether streams that were resumed went on; at the end. */
void callers_check(struct callers *callers);

struct callers_tally callers_tally(const struct callers *callers);

#endif
