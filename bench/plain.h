#ifndef BENCH_PLAIN_H
#define BENCH_PLAIN_H

#include "fleet/backend.h"
#include "load/router.h"

/**
 * The baseline that most sites start with: no queue of its own, no tiers, no
 * retries. Each request goes to a server at once, by turns or to the one with
 * least outstanding work of this router.
 */
struct plain;

struct plain *plain_new(struct fleet *fleet, bool least);
void plain_free(struct plain *plain);

void plain_submit(struct plain *plain, const struct router_request *request,
		  int64_t now_us, struct effects *effects);
void plain_caller_left(struct plain *plain, uint64_t id,
		       struct effects *effects);
void plain_ended(struct plain *plain, const struct event_attempt_ended *ended,
		 int64_t now_us, struct effects *effects);

#endif
