#ifndef FILBERTHALL_DAEMON_HTTP_IN_H
#define FILBERTHALL_DAEMON_HTTP_IN_H

#include "base/error.h"
#include "core/effect.h"
#include "daemon/edge.h"
#include "daemon/http/exchange.h"

/**
 * The listeners: callers, backend servers and the platform, operators. Reads
 * requests, turns them into events and writes answers. Connections that wait
 * for the core are suspended, so open requests cost no thread.
 */
struct http_in;

enum http_door { HTTP_CALLERS, HTTP_BACKENDS, HTTP_OPERATORS, HTTP_DOORS };

struct http_in_options {
	const char *address[HTTP_DOORS]; /**< IP:port, or NULL: not opened */
	const char *certificate;	 /**< PEM text, NULL for no TLS */
	const char *private_key;	 /**< PEM text */
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t connections; /**< of each listener at most */
	int64_t idle_s;	     /**< without progress, the connection is cut */
	const void *key_secret;
	size_t key_secret_len;
	const char *vm;	      /**< part of each X-Request-Id */
	uint64_t incarnation; /**< part of each X-Request-Id */
	struct exchange_table *exchanges;
	const struct edge_sink *sink;
	struct edge_counters *counters;
};

/**
 * Open the listeners. The texts of `options` are copied.
 *
 * Returns NULL after a message to `handler`.
 */
struct http_in *http_in_start(const struct http_in_options *options,
			      const struct error_handler *handler);

/** The port really bound, 0 if that listener isn't open. */
int http_in_port(const struct http_in *in, enum http_door door);

/** Carry out effects. */
void http_in_answer(struct http_in *in, const struct effect_answer *answer);
void http_in_admin_answer(struct http_in *in,
			  const struct effect_admin_answer *answer);
void http_in_publish(struct http_in *in, const struct effect_publish *publish);

/** Close the listeners; what is still open is cut. */
void http_in_stop(struct http_in *in);

/**
 * Keyed hash of a key's secret, as in docs/PROTOCOLS.md.
 *
 * `out` takes 64 hex digits and a NUL. `secret` may have any length.
 */
void key_hash(char out[65], const void *secret, size_t secret_len,
	      const char *key, size_t key_len);

#endif
