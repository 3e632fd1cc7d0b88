#ifndef FILBERTHALL_DAEMON_ATTEMPT_PRIVATE_H
#define FILBERTHALL_DAEMON_ATTEMPT_PRIVATE_H

#include "daemon/http/attempt.h"

/** Shared by the files of an attempt only. */

struct attempt {
	struct map_node node;
	struct wire wire;
	struct attempt_set *set;
	struct exchange *exchange;
	struct effect_start_attempt start; /**< with texts of its own */
	char *request_id;
	bool engine;
	bool stream; /**< this answer is a stream of chunks */
	bool owns;   /**< its answer is the one that's delivered */
	bool whole;  /**< the stream's end was seen */
	bool cached;
	bool keep_over; /**< more than keep_limit */
	struct sse sse;
	struct bytes held;	   /**< of a stream: before the first token */
	struct bytes body;	   /**< of a whole answer */
	struct memory_claim claim; /**< of it */
	struct bytes kept;	   /**< for the core */
	char *content_type;
	int64_t tokens;
	int64_t prompt_tokens;
	int64_t told_us;
};

static inline struct attempt *attempt_of(struct wire *wire)
{
	return container_of(wire, struct attempt, wire);
}

static inline void attempt_post(struct attempt *attempt, struct event *event)
{
	attempt->set->sink->post(attempt->set->sink->data, event);
}

/** The answer's status line and headers: is it ours, and what is it? */
enum result attempt_head(struct wire *wire, ne_request *request);

/** A piece of the answer's body. */
enum result attempt_block(struct wire *wire, const char *data, size_t len);

/** The body ended well: check a whole answer and let the exchange hold it. */
enum result attempt_end_body(struct attempt *attempt);

#endif
