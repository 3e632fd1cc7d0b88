#ifndef FAKES_ENGINE_H
#define FAKES_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "fakes/backend.h"
#include "fakes/batch.h"
#include "fakes/order_book.h"

/** A stand-in model engine. */

struct engine_options {
	struct options common;
	char *model;
	char *adapters; /**< comma separated */
	char *version;
	char *role;
	struct batch_limits limits;
};

struct engine_counts {
	int64_t requests;
	int64_t started;
	int64_t completed;
	int64_t cancelled;
	int64_t tokens;
	int64_t late_work_ms; /**< latest arrival after leaving was said */
};

struct engine {
	const struct engine_options *options;
	struct backend backend;
	struct batch batch;
	struct order_book orders;
	struct list completions; /**< struct completion */
	struct engine_counts counts;
	char *model; /**< orders may change these four */
	char *adapters;
	char *version;
	char *role;
	char *last_id; /**< of the last request, for crossed answers */
	uint64_t next_id;
};

/** Listen and announce; false (and a message) if it can't. */
bool engine_start(struct engine *engine, const struct engine_options *options);

/** Run until a signal has let the engine leave. */
void engine_run(struct engine *engine);

void engine_clear(struct engine *engine);

/** Whether requests for a model and adapter (or NULL) can be served. */
bool engine_serves(const struct engine *engine, const char *model,
		   const char *adapter);

/** Answer an error in OpenAI's shape. */
void engine_refuse(struct exchange *exchange, int status, const char *message);

/** Answer POST /engine/orders. */
void engine_order(struct engine *engine, struct exchange *exchange);

#endif
