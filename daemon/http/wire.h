#ifndef FILBERTHALL_DAEMON_WIRE_H
#define FILBERTHALL_DAEMON_WIRE_H

#include <neon/ne_request.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/result.h"
#include "daemon/http/pool.h"

/**
 * One HTTP request going out, and the hub of threads that run them: workers,
 * as neon blocks, and a watch that ends what is over its deadline by shutting
 * the socket down. The watch looks every WIRE_WATCH_MS, so deadlines hold to
 * within that and not to neon's whole seconds.
 */

#define WIRE_WATCH_MS 5
#define WIRE_WORKERS 1024
#define WIRE_IDLE_WORKER_S 10

struct wire;

struct wire_ops {
	/** On a worker: call wire_run() and end the request for good. */
	void (*run)(struct wire *wire);
	/** Stopped or out of time before any worker took it. */
	void (*drop)(struct wire *wire);
	/** `stopped` was set: whatever waits must look. May be NULL. */
	void (*nudge)(struct wire *wire);
	/** Add headers. */
	void (*prepare)(struct wire *wire, ne_request *request);
	/** The first byte may leave from now on. May be NULL. */
	void (*sending)(struct wire *wire);
	/** Status line and headers are there; not RESULT_OK ends it. */
	enum result (*head)(struct wire *wire, ne_request *request);
	/** A piece of the body; not RESULT_OK ends it. */
	enum result (*block)(struct wire *wire, const char *data, size_t len);
};

struct wire {
	struct list queued; /**< while no worker has it */
	struct list node;   /**< in the hub, from submit to forget */
	struct wire_hub *hub;
	const struct wire_ops *ops;

	const char *address;
	const char *method;
	const char *path;
	const void *body;
	size_t body_len;
	int64_t connect_ms;
	int64_t first_byte_ms;
	int64_t idle_ms;
	bool fresh; /**< only over a connection just opened */
	bool abort; /**< out of time: bytes not yet sent must never leave */
	int64_t until_us; /**< no deadline is later than this; 0 for none */

	atomic_bool stopped;
	int http_status; /**< 0 while there is none */

	/** 0 for none. Set with each piece of an answer, thus without lock. */
	atomic_int_fast64_t deadline_us;

	/* Guarded by the hub's lock. */
	struct connection *connection;
	bool waiting; /**< in the queue */
	bool sent;    /**< a byte may have left */
	bool timed_out;
	bool resend_stopped;
};

struct wire_hub {
	pthread_mutex_t lock;
	pthread_cond_t work;	/**< something is queued */
	pthread_cond_t watched; /**< there is something to watch */
	struct list queue;
	struct list wires;
	struct wire_worker *workers;
	int n_slots;
	int n_running;
	int n_idle;
	int n_queued;
	bool stopping;
	pthread_t watch;
	struct pool pool;
	struct edge_counters *counters;
};

/** False if no thread can be started. */
bool wire_hub_init(struct wire_hub *hub, int workers,
		   struct edge_counters *counters);

/** Stop all wires, wait for their ends, join the threads. */
void wire_hub_clear(struct wire_hub *hub);

/** Queue a wire; its connect time-out starts now. */
void wire_submit(struct wire_hub *hub, struct wire *wire);

/**
 * End a wire early. The hub's lock must not be held.
 *
 * Returns true if no worker had it yet: then the caller drops it.
 */
bool wire_stop(struct wire *wire);

/** Send the request and hand its answer to the ops. On a worker. */
enum result wire_run(struct wire *wire);

/** The wire's memory is about to go. */
void wire_forget(struct wire *wire);

/** The deadline `ms` from now, within `until_us`. */
int64_t wire_deadline(const struct wire *wire, int64_t ms);

/** Set the deadline `ms` from now; 0 for none. */
void wire_set_deadline(struct wire *wire, int64_t ms);

#endif
