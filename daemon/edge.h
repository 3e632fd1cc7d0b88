#ifndef FILBERTHALL_DAEMON_EDGE_H
#define FILBERTHALL_DAEMON_EDGE_H

#include <stdatomic.h>
#include <stdint.h>
#include <time.h>

#include "core/event.h"

/**
 * What the edge threads share: where events go, and counters of their own.
 * An edge holds sockets and bytes and decides nothing.
 */

/** Where events go; may be called from any thread. */
struct edge_sink {
	/** Takes the event over. Must not block. */
	void (*post)(void *data, struct event *event);
	void *data;
};

/**
 * Counters of the edges, in the order in which /metrics shows them: field,
 * metric name, help.
 */
#define EDGE_COUNTER_TABLE(X)                                                 \
	X(requests, "http_requests_total", "callers' requests read whole")    \
	X(refused, "http_refused_total", "requests refused at the listener")  \
	X(callers_left, "http_callers_left_total", "callers that hung up")    \
	X(slow_callers, "http_slow_callers_total", "callers cut off as slow") \
	X(attempts, "attempts_total", "attempts at backend servers")          \
	X(connects, "backend_connects_total", "connections opened")           \
	X(reused, "backend_reused_total", "requests on pooled connections")   \
	X(distrusted, "backend_distrusted_total", "idle connections closed")  \
	X(crossed, "backend_crossed_total", "answers of another request")     \
	X(late, "backend_late_total", "answers dropped as late")              \
	X(resends_stopped, "backend_resends_stopped_total",                   \
	  "hidden resends of the HTTP library stopped")                       \
	X(tokens, "tokens_passed_total", "tokens passed to callers")          \
	X(announcements, "announcements_total", "announcements read")         \
	X(link_bytes_in, "link_bytes_in_total", "bytes read from links")      \
	X(link_bytes_out, "link_bytes_out_total", "bytes written to links")   \
	X(link_refused, "links_refused_total", "peers not let in")            \
	X(link_dropped, "link_dropped_total", "messages dropped, queue full")

struct edge_counters {
#define EDGE_COUNTER_FIELD(field, metric, help) atomic_uint_fast64_t field;
	EDGE_COUNTER_TABLE(EDGE_COUNTER_FIELD)
#undef EDGE_COUNTER_FIELD
};

static inline void edge_count(atomic_uint_fast64_t *counter)
{
	atomic_fetch_add_explicit(counter, 1, memory_order_relaxed);
}

static inline void edge_count_many(atomic_uint_fast64_t *counter, uint64_t n)
{
	atomic_fetch_add_explicit(counter, n, memory_order_relaxed);
}

/**
 * Time since the VM's start in microseconds; never goes back.
 *
 * CLOCK_BOOTTIME, since CLOCK_MONOTONIC stands still while a VM is suspended:
 * a holder of the lease that is woken after ten seconds would believe that no
 * time has passed and give orders beside its successor.
 */
static inline int64_t edge_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

/** The wall clock in microseconds since 1970; may be set. */
static inline int64_t edge_wall_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

#endif
