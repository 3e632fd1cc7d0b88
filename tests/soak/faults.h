#ifndef TESTS_SOAK_FAULTS_H
#define TESTS_SOAK_FAULTS_H

#include "soak.h"

/**
 * What goes wrong, in storms with calm between them. In a storm faults of all
 * kinds overlap; in the calm there is planned work alone, and what is promised
 * to a calm site is checked. No more disks are lost in a storm than the site
 * tolerates, and all of them have been made up for before the next one.
 */
struct faults;

struct faults *faults_new(struct soak *soak, int storms);
void faults_free(struct faults *faults);

/** All storms are over, the last calm has begun. */
bool faults_over(const struct faults *faults);

/** Strikes that were made, by name, in a line. */
void faults_print(const struct faults *faults);

#endif
