#ifndef FILBERTHALL_CORE_EVENT_H
#define FILBERTHALL_CORE_EVENT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bytes.h"
#include "base/list.h"
#include "core/field.h"

/**
 * Events that a daemon processes. The edge threads build
 * events from what they read; the core thread hands each to the reducer with
 * the present time. An event owns its text and bytes.
 *
 * The table of kinds: name in the enum, field of the union, name in scripts
 * and recordings.
 */
#define EVENT_TABLE(X)                              \
	X(TICK, tick, "tick")                       \
	X(REQUEST, request, "request")              \
	X(CALLER_LEFT, caller_left, "caller-left")  \
	X(ATTEMPT_SENT, sent, "attempt-sent")       \
	X(ATTEMPT_TOKENS, tokens, "attempt-tokens") \
	X(ATTEMPT_ENDED, ended, "attempt-ended")    \
	X(ANNOUNCE, announce, "announce")           \
	X(CACHE, cache, "cache")                    \
	X(LINK_UP, link_up, "link-up")              \
	X(LINK_DOWN, link_down, "link-down")        \
	X(LINK_MESSAGE, link_message, "link")       \
	X(DISK_SYNCED, synced, "synced")            \
	X(DISK_FAILED, disk_failed, "disk-failed")  \
	X(ADMIN, admin, "admin")                    \
	X(PLATFORM, platform, "platform")           \
	X(STOP, stop, "stop")

enum event_kind {
#define EVENT_ENUM(name, member, text) EVENT_##name,
	EVENT_TABLE(EVENT_ENUM)
#undef EVENT_ENUM
		EVENT_KINDS
};

/** Kind of a caller's request. */
enum request_kind {
	REQUEST_CHAT,	    /**< POST /v1/chat/completions */
	REQUEST_COMPLETION, /**< POST /v1/completions */
	REQUEST_SERVICE	    /**< /service/NAME/... */
};

/** Time has passed; the reducer's periodic work runs. */
struct event_tick {
	int64_t wall_us; /**< wall clock, microseconds since 1970 */
};

/**
 * A caller's request has been read completely. Its body stays with the edge
 * thread.
 */
struct event_request {
	uint64_t id;	       /**< unique within one run of the daemon */
	int64_t kind;	       /**< enum request_kind */
	char *trace;	       /**< traceparent of the edge's span */
	char *key_hash;	       /**< keyed hash of the bearer key, hex */
	char *class_name;      /**< from the request's header, or NULL */
	char *model;	       /**< of a completion, or NULL */
	char *adapter;	       /**< part of the model after ':', or NULL */
	char *service;	       /**< NAME of /service/NAME, or NULL */
	char *method;	       /**< HTTP method of a service call */
	char *path;	       /**< path of a service call below NAME */
	char *idempotency_key; /**< header, or NULL */
	char *body_hash;       /**< hex */
	uint64_t prefix_hash;  /**< of the prompt's prefix; 0 if unknown */
	int64_t prompt_tokens; /**< estimate from the body's length */
	int64_t max_tokens;    /**< limit in the request, 0 if none */
	int64_t deadline_ms;   /**< header; 0: the class's deadline */
	bool stream;	       /**< answer as server-sent events */
};

/** The caller has disconnected. */
struct event_caller_left {
	uint64_t id;
};

/** The first byte of an attempt may have left this VM. */
struct event_attempt_sent {
	uint64_t id;
	int64_t attempt;
};

/** Tokens have arrived; `first` is set for the first one. */
struct event_attempt_tokens {
	uint64_t id;
	int64_t attempt;
	int64_t tokens; /**< total of this attempt so far */
	bool first;
};

/** An attempt has ended; no further events of it follow. */
struct event_attempt_ended {
	uint64_t id;
	int64_t attempt;
	int64_t code;	       /**< enum result; RESULT_OK if complete */
	int64_t http_status;   /**< of the backend server, 0 if none */
	int64_t tokens;	       /**< delivered to the caller by this attempt */
	int64_t prompt_tokens; /**< counted by the engine, 0 if unknown */
	bool sent;	       /**< a byte may have left this VM */
	bool cached;	       /**< the engine reported a prefix cache hit */
	char *content_type;    /**< only if keep_answer was set */
	struct bytes answer;   /**< only if keep_answer was set */
};

/** A backend server registered, reported its load or is shutting down. */
struct event_announce {
	char *address;	  /**< IP:port; identifies the backend server */
	char *boot_id;	  /**< new at each start of the server */
	int64_t sequence; /**< increases within a boot id */
	char *zone;	  /**< availability zone */
	char *service;	  /**< NAME of a service, or NULL for an engine */
	char *model;
	char *adapters; /**< comma separated, or NULL */
	char *version;
	char *role; /**< "serve", "prefill", "decode" */
	bool cheap; /**< the platform may reclaim it */
	bool leaving;
	bool fences; /**< checks the fencing number of orders */
	int64_t lease_ms;
	int64_t slots;
	int64_t running;
	int64_t queued;
	int64_t queued_prompt_tokens;
	int64_t kv_tokens;
	int64_t kv_used;
	double prefill_rate; /**< tokens a second */
	double decode_rate;  /**< tokens a second, full batch */
	int64_t age_ms;	     /**< age of the load figures when sent */
};

/**
 * An engine has cached or evicted a prompt prefix. Only a hint: it may be
 * outdated on arrival.
 */
struct event_cache {
	char *address;
	char *boot_id;
	uint64_t prefix_hash;
	bool held;
};

/** A link to another daemon has been established. */
struct event_link_up {
	uint64_t peer; /**< member id */
	char *name;    /**< VM name */
	char *zone;
	char *address; /**< IP:port of its links, or NULL */
	bool observer; /**< receives updates and never becomes a member */
};

struct event_link_down {
	uint64_t peer;
};

/** Which module a link message is for. */
enum link_channel {
	LINK_RAFT = 1,	  /**< consensus between voters and learners */
	LINK_FORWARD = 2, /**< proposals and admin calls to the leader */
	LINK_FLEET = 3,	  /**< announcements, health, cache hints */
	LINK_SHARE = 4,	  /**< demand, capacity and limit shares, poison */
	LINK_USAGE = 5,	  /**< usage counters */
	LINK_FEED = 6,	  /**< between control VMs and entry VMs */
	LINK_CHANNELS	  /**< last channel + 1 */
};

struct event_link_message {
	uint64_t peer;
	int64_t channel; /**< enum link_channel */
	struct bytes body;
};

/** All log writes up to `ticket` have been synced to disk. */
struct event_disk_synced {
	int64_t ticket;
};

/** A write or sync failed; writes after the last ticket may be lost. */
struct event_disk_failed {
	int64_t code; /**< enum result */
};

/** An operator's call. */
struct event_admin {
	uint64_t id;
	char *key_hash;	   /**< of the operator's key */
	char *command;	   /**< such as "settings-set" */
	struct bytes body; /**< JSON arguments */
};

/** The platform answered an order or a report. */
struct event_platform {
	char *order_id;
	int64_t code;	   /**< RESULT_OK, PLATFORM_REFUSED or _UNKNOWN */
	struct bytes body; /**< JSON answer */
};

/** A graceful shutdown was requested. */
struct event_stop {
	int64_t grace_ms;
};

struct event {
	struct list node; /**< link in the queue that holds the event */
	enum event_kind kind;
	int64_t at_us; /**< monotonic time at which the core processed it */
	union {
		struct event_tick tick;
		struct event_request request;
		struct event_caller_left caller_left;
		struct event_attempt_sent sent;
		struct event_attempt_tokens tokens;
		struct event_attempt_ended ended;
		struct event_announce announce;
		struct event_cache cache;
		struct event_link_up link_up;
		struct event_link_down link_down;
		struct event_link_message link_message;
		struct event_disk_synced synced;
		struct event_disk_failed disk_failed;
		struct event_admin admin;
		struct event_platform platform;
		struct event_stop stop;
	} u;
};

/** Allocate a zeroed event of that kind. */
struct event *event_new(enum event_kind kind);

/** Free an event and what it owns; NULL is allowed. */
void event_free(struct event *event);

/** Name of a kind in scripts and recordings. */
const char *event_name(enum event_kind kind);

/** Fields of a kind; `*n` is their number. */
const struct field *event_fields(enum event_kind kind, size_t *n);

#endif
