#ifndef FILBERTHALL_CORE_EFFECT_H
#define FILBERTHALL_CORE_EFFECT_H

#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/list.h"
#include "core/field.h"

/**
 * Actions that the reducer requests. The core thread passes effects to the
 * edge and disk threads in the order they were added. An effect owns its text
 * and bytes.
 */
#define EFFECT_TABLE(X)                               \
	X(ANSWER, answer, "answer")                   \
	X(START_ATTEMPT, start, "start-attempt")      \
	X(CANCEL_ATTEMPT, cancel, "cancel-attempt")   \
	X(DISTRUST, distrust, "distrust")             \
	X(PROBE, probe, "probe")                      \
	X(SEND, send, "send")                         \
	X(LINK_OPEN, link_open, "link-open")          \
	X(LINK_CLOSE, link_close, "link-close")       \
	X(LOG_APPEND, log_append, "log-append")       \
	X(LOG_TRUNCATE, log_truncate, "log-truncate") \
	X(HARD_STATE, hard_state, "hard-state")       \
	X(SNAPSHOT, snapshot, "snapshot")             \
	X(LOG_SYNC, log_sync, "log-sync")             \
	X(ADMIN_ANSWER, admin_answer, "admin-answer") \
	X(READ_DOCUMENT, read_document, "read")       \
	X(PLATFORM_CALL, platform_call, "platform")   \
	X(ENGINE_ORDER, engine_order, "engine-order") \
	X(PUBLISH, publish, "publish")                \
	X(SPAN, span, "span")                         \
	X(LOG, log, "log")                            \
	X(EXIT, exit, "exit")

enum effect_kind {
#define EFFECT_ENUM(name, member, text) EFFECT_##name,
	EFFECT_TABLE(EFFECT_ENUM)
#undef EFFECT_ENUM
		EFFECT_KINDS
};

/** End a caller's request with a refusal or a stored answer. */
struct effect_answer {
	uint64_t id;
	int64_t code;		/**< enum result */
	int64_t run;		/**< enum run_state */
	int64_t retry_after_ms; /**< 0 if a retry wouldn't succeed */
	char *message;		/**< details beyond the code's text, or NULL */
	int64_t http_status;	/**< of a stored answer, else 0 */
	char *content_type;	/**< of a stored answer */
	struct bytes body;	/**< of a stored answer */
};

/** Send a request to a backend server and pass the answer to the caller. */
struct effect_start_attempt {
	uint64_t id;
	int64_t attempt; /**< 1, 2, ... within the request */
	char *address;
	char *trace;	  /**< traceparent to send */
	int64_t priority; /**< tier: 0 is the highest */
	int64_t connect_ms;
	int64_t first_byte_ms;
	int64_t idle_ms;       /**< longest pause between two reads */
	int64_t resume_tokens; /**< tokens already delivered to the caller */
	bool proven;	       /**< open a new connection, reuse none */
	bool to_vm;	       /**< the address is another entry VM's */
	bool keep_answer;      /**< return the complete answer to the core */
	int64_t keep_limit;    /**< largest answer to return, bytes */
};

/** Cancel an attempt; an "attempt-ended" event always follows. */
struct effect_cancel_attempt {
	uint64_t id;
	int64_t attempt;
};

/**
 * Close idle pooled connections to an address, whose network path may be
 * broken.
 */
struct effect_distrust {
	char *address;
};

/** Connect to a backend server, to see whether that succeeds. */
struct effect_probe {
	char *address;
};

struct effect_send {
	uint64_t peer;
	int64_t channel; /**< enum link_channel */
	struct bytes body;
};

/** Open a link to this member and reopen it whenever it fails. */
struct effect_link_open {
	uint64_t peer;
	char *name;
	char *address; /**< IP:port of its links */
	char *zone;
};

struct effect_link_close {
	uint64_t peer;
};

/** Append one entry of the log (not yet synced). */
struct effect_log_append {
	int64_t index;
	int64_t term;
	struct bytes body;
};

/** Remove all log entries from `index` on. */
struct effect_log_truncate {
	int64_t index;
};

/** Persist Raft's term and vote. */
struct effect_hard_state {
	int64_t term;
	uint64_t vote; /**< member id, 0 for none */
};

/** Store a snapshot; entries up to `index` may be removed afterwards. */
struct effect_snapshot {
	int64_t index;
	int64_t term;
	struct bytes body;
};

/** Sync all earlier writes, then send a "synced" event with this ticket. */
struct effect_log_sync {
	int64_t ticket;
};

struct effect_admin_answer {
	uint64_t id;
	int64_t code;	   /**< enum result */
	struct bytes body; /**< JSON */
};

/** Parse the current settings document outside the reducer's thread. */
struct effect_read_document {
	int64_t version;
	struct bytes text;
};

/** An order to the platform or a usage report. */
struct effect_platform_call {
	char *order_id;
	char *verb; /**< "start", "stop", "list", "report" */
	int64_t fence;
	int64_t timeout_ms; /**< the call is aborted after it */
	int64_t until_us;   /**< not sent after this time, 0: no limit */
	struct bytes body;  /**< JSON arguments */
};

/** An order to an engine: load, unload, role, cancel, export, import. */
struct effect_engine_order {
	char *order_id;
	char *address;
	char *verb;
	int64_t fence;
	int64_t timeout_ms;
	struct bytes body; /**< JSON arguments */
};

/** Replaces the state that the edge threads serve to their clients. */
struct effect_publish {
	bool healthy;	      /**< result of /healthz */
	struct bytes models;  /**< JSON answer of GET /v1/models */
	struct bytes metrics; /**< Prometheus text */
};

/** A finished span of a request. */
struct effect_span {
	uint64_t id;
	char *trace;  /**< traceparent: trace id, this span's id */
	char *parent; /**< the parent span's id, hex */
	char *name;   /**< edge, queue, claim, pick, attempt, stream */
	int64_t start_us;
	int64_t end_us;
	int64_t code; /**< enum result */
	char *detail; /**< such as the backend server's address */
};

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR };

struct effect_log {
	int64_t level; /**< enum log_level */
	char *module;
	char *message;
	uint64_t id; /**< request, 0 for none */
	char *organisation;
	char *class_name;
};

/** All streams have ended and all data is written; exit the process. */
struct effect_exit {
	int64_t status;
};

struct effect {
	struct list node;
	enum effect_kind kind;
	union {
		struct effect_answer answer;
		struct effect_start_attempt start;
		struct effect_cancel_attempt cancel;
		struct effect_distrust distrust;
		struct effect_probe probe;
		struct effect_send send;
		struct effect_link_open link_open;
		struct effect_link_close link_close;
		struct effect_log_append log_append;
		struct effect_log_truncate log_truncate;
		struct effect_hard_state hard_state;
		struct effect_snapshot snapshot;
		struct effect_log_sync log_sync;
		struct effect_admin_answer admin_answer;
		struct effect_read_document read_document;
		struct effect_platform_call platform_call;
		struct effect_engine_order engine_order;
		struct effect_publish publish;
		struct effect_span span;
		struct effect_log log;
		struct effect_exit exit;
	} u;
};

/** Effects in the order they were added. */
struct effects {
	struct list head;
};

void effects_init(struct effects *effects);

/** Append a zeroed effect of that kind and return it to be filled. */
struct effect *effects_add(struct effects *effects, enum effect_kind kind);

/**
 * Append a line for the log.
 *
 * @param module Short name of the module that logs the line.
 * @param format printf() format of `args`.
 */
void effects_add_log(struct effects *effects, enum log_level level,
		     const char *module, const char *format, va_list args)
	__attribute__((format(printf, 4, 0)));

/** Remove and return the first effect, or NULL. */
struct effect *effects_take(struct effects *effects);

/** Free all effects. */
void effects_clear(struct effects *effects);

/** Free an effect and what it owns; NULL is allowed. */
void effect_free(struct effect *effect);

/** Name of a kind in scripts and recordings. */
const char *effect_name(enum effect_kind kind);

/** Fields of a kind; `*n` is their number. */
const struct field *effect_fields(enum effect_kind kind, size_t *n);

#endif
