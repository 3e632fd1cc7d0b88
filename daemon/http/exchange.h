#ifndef FILBERTHALL_DAEMON_EXCHANGE_H
#define FILBERTHALL_DAEMON_EXCHANGE_H

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/map.h"
#include "core/effect.h"
#include "core/event.h"
#include "daemon/edge.h"
#include "daemon/memory.h"

/**
 * One caller's request as the edge threads share it: the body, what has been
 * passed of the answer, and which attempt owns it.
 *
 * Two failures are answered here. A slow caller would pile its answer up in
 * memory: the bytes waiting for a caller are bounded, and the attempt's
 * worker waits until there is room, so the pressure reaches the backend
 * server. A late or crossed answer would reach a caller: a whole answer is
 * held until the core says that the request ended well, and of two attempts
 * at once only the first to deliver owns the exchange.
 */

/** Bytes that may wait for a slow caller; some 200 streamed tokens. */
#define EXCHANGE_WAITING_BYTES (32 * 1024)

/** What a whole answer may be long at most. */
#define EXCHANGE_WHOLE_BYTES (16 * 1024 * 1024)

/** A finished answer of a backend server, or an error. */
struct exchange_answer {
	int http_status;
	char *content_type;
	struct bytes body;
	struct memory_claim claim; /**< of the body */
};

struct exchange {
	atomic_int references;
	struct map_node node;
	const struct edge_sink *sink;
	uint64_t id;
	char *caller_id; /**< X-Request-Id of the caller's answer */

	/* The request; not changed once the exchange is in the table. */
	enum request_kind kind;
	bool stream;
	bool admin;	       /**< an operator's call */
	char *method;	       /**< of a service call */
	char *path;	       /**< of a service call, below NAME */
	char *content_type;    /**< as the caller sent it */
	char *idempotency_key; /**< or NULL */
	char *trace;	       /**< traceparent of the edge's span */
	struct bytes body;
	struct memory_claim claim; /**< of the body */

	pthread_mutex_t lock; /**< guards all below */
	pthread_cond_t room;  /**< bytes were taken, or the caller left */
	int64_t owner;	      /**< attempt that delivers, 0 for none yet */
	int http_status;      /**< of the answer, 0 while undecided */
	char *answer_type;
	int64_t code;	 /**< enum result, of a refusal */
	int64_t run;	 /**< enum run_state */
	int64_t retry_s; /**< for Retry-After, 0 for none */
	bool chunked;	 /**< `waiting` is passed on piece by piece */
	bool ended;	 /**< nothing more will be added to `waiting` */
	bool left;	 /**< the caller is gone */
	struct bytes waiting;
	struct exchange_answer whole; /**< held until the core's OK */

	void (*wake)(void *data); /**< the connection may go on */
	void *wake_data;
	bool asleep; /**< the connection waits for wake() */
};

struct exchange_table {
	pthread_mutex_t lock;
	struct map by_id;
	atomic_uint_fast64_t next_id;
	struct memory *memory; /**< that bodies are claimed of, or NULL */
};

void exchange_table_init(struct exchange_table *table, struct memory *memory);

/** Drop what is left in the table. */
void exchange_table_clear(struct exchange_table *table);

/** A new exchange with an id of its own, not yet in the table. */
struct exchange *exchange_new(struct exchange_table *table,
			      const struct edge_sink *sink);

/** Let attempts find it; the table holds a reference. */
void exchange_table_add(struct exchange_table *table,
			struct exchange *exchange);

/** The exchange with that id, with a reference for the caller, or NULL. */
struct exchange *exchange_table_find(struct exchange_table *table, uint64_t id);

struct exchange *exchange_ref(struct exchange *exchange);
void exchange_unref(struct exchange *exchange);

/**
 * Make this attempt the one that delivers.
 *
 * Returns false if another one already is, or the exchange has ended.
 */
bool exchange_own(struct exchange *exchange, int64_t attempt);

/** The owner broke off: a later attempt may go on where it ended. */
void exchange_disown(struct exchange *exchange, int64_t attempt);

/**
 * Pass a piece of a stream on; waits while the caller is slow.
 *
 * `stop` ends the wait once it is true; whoever sets it calls
 * exchange_nudge(). Returns false if the piece was not taken.
 */
bool exchange_pass(struct exchange *exchange, int64_t attempt, const void *data,
		   size_t len, const atomic_bool *stop);

/** Let a waiting exchange_pass() look at its `stop` again. */
void exchange_nudge(struct exchange *exchange);

/** Hold a whole answer, which is taken over, until the core's OK. */
bool exchange_hold(struct exchange *exchange, int64_t attempt,
		   struct exchange_answer *answer);

/**
 * The core's last word on a request: take the exchange out of the table and
 * end the answer. Nothing happens if the id is unknown.
 */
void exchange_table_answer(struct exchange_table *table,
			   const struct effect_answer *answer);

/** The same for an operator's call. */
void exchange_table_admin_answer(struct exchange_table *table,
				 const struct effect_admin_answer *answer);

/** The caller hung up: tells the core, once, unless the answer has ended. */
void exchange_leave(struct exchange *exchange);

/** An OpenAI-shaped error object as JSON text, to be freed. */
char *exchange_error_json(int64_t code, int64_t run, const char *message);

void exchange_answer_clear(struct exchange_answer *answer);

#endif
