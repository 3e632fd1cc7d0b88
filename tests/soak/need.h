#ifndef TESTS_SOAK_NEED_H
#define TESTS_SOAK_NEED_H

#include "soak.h"

/** A backend server's need: now and then it names a limit in its answers. */
struct need;

struct need *need_new(struct soak *soak, int server);
void need_free(struct need *need);

/** Requests a second that it takes from all VMs together, 0 for no limit. */
double need_per_s(const struct need *need);

/** A request has come; checks what the site is promised in the calm. */
void need_arrival(struct need *need, int number);

/** The server has started again: to VMs it is another one. */
void need_started(struct need *need);

/** Ends and doesn't return. */
void need_rest(struct need *need);

#endif
