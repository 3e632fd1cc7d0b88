#ifndef FILBERTHALL_DAEMON_HTTP_OUT_H
#define FILBERTHALL_DAEMON_HTTP_OUT_H

#include "base/error.h"
#include "core/effect.h"
#include "daemon/edge.h"
#include "daemon/http/exchange.h"

/**
 * Requests to backend servers and to the platform: a bounded set of worker
 * threads, each with one request at a time, and a pool of connections by
 * address.
 */
struct http_out;

struct http_out_options {
	const char *vm;	      /**< part of each X-Request-Id */
	uint64_t incarnation; /**< part of each X-Request-Id */
	const char *platform; /**< IP:port, or NULL for none */
	int workers;	      /**< threads at most; 0 for the default */
	struct exchange_table *exchanges;
	const struct edge_sink *sink;
	struct edge_counters *counters;
};

/** Returns NULL after a message to `handler`. */
struct http_out *http_out_start(const struct http_out_options *options,
				const struct error_handler *handler);

/** Carry out effects. None of these waits for the network. */
void http_out_start_attempt(struct http_out *out,
			    const struct effect_start_attempt *start);
void http_out_cancel_attempt(struct http_out *out,
			     const struct effect_cancel_attempt *cancel);
void http_out_distrust(struct http_out *out,
		       const struct effect_distrust *distrust);
void http_out_platform_call(struct http_out *out,
			    const struct effect_platform_call *call);
void http_out_engine_order(struct http_out *out,
			   const struct effect_engine_order *order);

/** End all requests and threads. */
void http_out_stop(struct http_out *out);

#endif
