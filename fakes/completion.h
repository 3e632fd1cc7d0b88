#ifndef FAKES_COMPLETION_H
#define FAKES_COMPLETION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "fakes/batch.h"
#include "core/prompt.h"
#include "fakes/engine.h"
#include "fakes/loop.h"

/** One completion that a fake engine generates, in OpenAI's shapes. */
struct completion {
	struct list node; /**< of the engine's completions */
	struct sequence sequence;
	struct engine *engine;
	struct exchange *exchange;
	struct prompt prompt;
	struct loop_timer late_timer;
	char *id; /**< as answered */
	char *request_id;
	bool chat;
	int64_t resume;	     /**< tokens left out */
	int64_t break_after; /**< tokens, -1 for never */
	int64_t created;     /**< seconds since 1970 */
	uint64_t hash;
	struct bytes text; /**< of a whole answer */
};

/** Take a request for /v1/chat/completions or /v1/completions. */
void completion_begin(struct engine *engine, struct exchange *exchange,
		      bool chat);

/** The completion that runs or waits under a request id, or NULL. */
struct completion *completion_find(const struct engine *engine,
				   const char *request_id);

/** Stop it and close its connection. */
void completion_cancel(struct completion *completion);

#endif
