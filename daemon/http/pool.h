#ifndef FILBERTHALL_DAEMON_POOL_H
#define FILBERTHALL_DAEMON_POOL_H

#include <neon/ne_session.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/map.h"
#include "daemon/edge.h"

/**
 * Idle connections to backend servers, by address. Bounded by address, in
 * all and in age.
 *
 * Something between the two ends may lose track of open connections: they
 * stay silent for good while new ones work. Without distrust each request in
 * turn would find the next dead connection and wait its time-out out on it;
 * so after the first such silence all idle ones to that address go.
 */

#define POOL_IDLE_BY_ADDRESS 64
#define POOL_IDLE_TOTAL 512

/* Middle boxes forget idle connections after 30 s at the earliest known. */
#define POOL_IDLE_US (20 * 1000000LL)

/** A connection; while it is out of the pool, it belongs to one request. */
struct connection {
	struct list node;
	ne_session *session;
	char *address;
	int fd;	      /**< a duplicate of neon's, -1 before connect */
	bool open;    /**< neon has it connected */
	bool reused;  /**< has carried a request before */
	bool aborted; /**< closing must drop what isn't sent yet */
	int64_t idle_since_us;
};

struct pool {
	pthread_mutex_t lock;
	struct map addresses;
	size_t n_idle;
	size_t idle_total;
	int64_t idle_us; /**< after which an idle one is closed */
	struct edge_counters *counters;
};

void pool_init(struct pool *pool, struct edge_counters *counters);
void pool_clear(struct pool *pool);

/** A new connection, not yet connected, or NULL for a bad address. */
struct connection *pool_open(struct pool *pool, const char *address);

/** An idle connection whose peer hasn't closed it, or a new one. */
struct connection *pool_take(struct pool *pool, const char *address);

/** Give a connection back after a whole answer. */
void pool_put(struct pool *pool, struct connection *connection);

/** Close a connection. */
void connection_close(struct connection *connection);

/** Close what has been idle for too long; true if idle ones remain. */
bool pool_expire(struct pool *pool);

/** Close all idle connections to an address. */
void pool_distrust(struct pool *pool, const char *address);

#endif
