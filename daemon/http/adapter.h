#ifndef FILBERTHALL_DAEMON_ADAPTER_H
#define FILBERTHALL_DAEMON_ADAPTER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/error.h"
#include "core/effect.h"
#include "core/event.h"

/**
 * Every path, header and field name of the outside interfaces stands in the
 * tables of adapter.c and nowhere else, so that a change of an interface
 * touches that one file.
 */

/** Names towards callers. */
struct caller_adapter {
	const char *chat_path;
	const char *completion_path;
	const char *models_path;
	const char *service_prefix; /**< ends with '/' */
	const char *health_path;
	const char *metrics_path;
	const char *class_header;
	const char *deadline_header;
	const char *idempotency_header;
	const char *trace_header;
	const char *request_id_header;
	const char *run_header;
	const char *code_header;
	const char *operator_prefix; /**< ends with '/' */
};

/** Names towards engines and plain services. */
struct backend_adapter {
	const char *announce_path;
	const char *cache_path;
	const char *notice_path;
	const char *request_id_header;
	const char *priority_header;
	const char *resume_header;
	const char *cached_header;
	const char *id_field;
	const char *usage_field;
	const char *prompt_tokens_field;
	const char *output_tokens_field;
};

/** One call to the platform or an engine, ready to send. */
struct adapter_call {
	const char *method;
	const char *path;
	struct bytes body; /**< empty for GET */
};

const struct caller_adapter *adapter_caller(void);
const struct backend_adapter *adapter_backend(void);

/** Path of a completion at an engine. */
const char *adapter_engine_path(enum request_kind kind);

/**
 * Build the call for an order or report to the platform, or an engine order.
 *
 * Returns RESULT_OK, or RESULT_BAD_REQUEST for an unknown verb or arguments
 * that aren't a JSON object. On success the caller clears `call->body`.
 */
enum result adapter_platform_call(struct adapter_call *call,
				  const struct effect_platform_call *effect);
enum result adapter_engine_call(struct adapter_call *call,
				const struct effect_engine_order *effect);

/**
 * Read an announcement, which is also the load report.
 *
 * Returns a new event, or NULL after a message that names the field.
 */
struct event *adapter_read_announce(const char *body, size_t len,
				    const struct error_handler *handler);

/**
 * Read cache events; `post` is called for each, with a new event.
 *
 * Returns RESULT_OK, or RESULT_BAD_REQUEST before any call of `post`.
 */
enum result adapter_read_cache(const char *body, size_t len,
			       void (*post)(void *data, struct event *event),
			       void *data, const struct error_handler *handler);

/** Read the platform's notice: a platform event with no order id. */
struct event *adapter_read_notice(const char *body, size_t len,
				  const struct error_handler *handler);

/** What one piece of an engine's answer says. */
struct adapter_chunk {
	bool mine;	       /**< it carries the attempt's request id */
	int64_t tokens;	       /**< with text in them: 0 or 1 of a chunk */
	bool finished;	       /**< says why the generation ended */
	bool error;	       /**< an error object in place of a chunk */
	int64_t prompt_tokens; /**< 0 if not said */
	int64_t output_tokens; /**< 0 if not said */
};

/** Read a chunk of a stream, or a whole answer; false if not JSON. */
bool adapter_read_chunk(struct adapter_chunk *chunk, const char *data,
			size_t len, const char *request_id);

#endif
