#ifndef FAKES_SERVICE_H
#define FAKES_SERVICE_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "base/map.h"
#include "fakes/backend.h"

/**
 * A stand-in plain service. It counts its runs by X-Request-Id, by
 * Idempotency-Key and by body, so that "at most once" can be read off.
 */

struct service_options {
	struct options common;
	char *name;
	int64_t slots;
	int64_t work_ms; /**< what a run takes */
	char *record;	 /**< a line is appended there for each run */
};

struct service {
	const struct service_options *options;
	struct backend backend;
	struct list waiting; /**< struct service_job, oldest first */
	struct list running;
	int64_t n_waiting;
	int64_t n_running;
	int64_t runs;
	struct map by_request; /**< struct service_count */
	struct map by_key;
	struct map by_body;
	char *last_id; /**< of the last request, for crossed answers */
	FILE *record;
};

/** Listen and announce; false (and a message) if it can't. */
bool service_start(struct service *service,
		   const struct service_options *options);

/** Run until a signal has let the service leave. */
void service_run(struct service *service);

void service_clear(struct service *service);

#endif
