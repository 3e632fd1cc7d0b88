#ifndef FILBERTHALL_DAEMON_ATTEMPT_H
#define FILBERTHALL_DAEMON_ATTEMPT_H

#include "base/map.h"
#include "daemon/http/exchange.h"
#include "daemon/http/sse.h"
#include "daemon/http/wire.h"

/**
 * One attempt at a caller's request: sends it to a backend server and passes
 * the answer to the exchange. An answer must belong to its request: the
 * request id of each head and each chunk is checked, so that an engine or a
 * middle box that mixes answers up can't hand one caller another's text.
 * Ends with exactly one "attempt-ended" event.
 */
struct attempt_set {
	pthread_mutex_t lock;
	struct map by_id;
	struct wire_hub *hub;
	struct exchange_table *exchanges;
	const struct edge_sink *sink;
	struct edge_counters *counters;
};

void attempt_set_init(struct attempt_set *set, struct wire_hub *hub,
		      struct exchange_table *exchanges,
		      const struct edge_sink *sink,
		      struct edge_counters *counters);

/** All attempts must have ended. */
void attempt_set_clear(struct attempt_set *set);

void attempt_set_start(struct attempt_set *set,
		       const struct effect_start_attempt *start);

/** Nothing happens if it has ended already. */
void attempt_set_cancel(struct attempt_set *set, uint64_t id, int64_t attempt);

#endif
