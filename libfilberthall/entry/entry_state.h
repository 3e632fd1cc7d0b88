#ifndef FILBERTHALL_ENTRY_ENTRY_STATE_H
#define FILBERTHALL_ENTRY_ENTRY_STATE_H

#include "base/map.h"
#include "base/rng.h"
#include "entry/entry.h"
#include "entry/fetch.h"
#include "feed/peers.h"
#include "fleet/registry.h"
#include "load/router.h"
#include "usage/begun.h"
#include "usage/presumed.h"
#include "usage/wall.h"

/** What the files entry*.c share; nobody else includes this. */

/** When callers of a VM that is out of touch should come back: two polls. */
#define ENTRY_STALE_RETRY_AFTER_MS 1000

/** A request from its submission to its answer. */
struct open_call {
	struct map_node node; /**< by id */
	uint64_t id;
	char *name;
	char *organisation;
	char *class_name;
	char *service;
	bool stream;
	bool resumable;
	bool usage_counted;
	int tier;
	int urgency; /**< for the server; 0 is the most urgent */
	int64_t arrived_us;
	int64_t deadline_us;
};

/** A request that waits until this VM is fresh. Text is owned. */
struct deferred_request {
	struct list node;
	struct entry_request request;
	int64_t deferred_us;
	int64_t expires_us; /**< refused then */
};

/** A class that the router was told of. */
struct entry_class {
	struct list node; /**< the one used last stands last */
	struct class_rule rule;
};

struct entry {
	struct entry_options options;
	char *vm;
	char *zone;
	struct rng rng;
	struct router *router;
	struct fleet fleet;
	struct registry registry;
	struct document *document;
	struct begun begun;
	struct presumed presumed;
	struct wall wall;
	struct map peers; /**< struct feed_peer: control VMs */
	struct map calls;
	struct list deferred; /**< oldest first */
	struct list classes;
	int n_classes;
	int64_t entry_vms;	   /**< entry VMs that share the retry limit */
	int64_t announce_sequence; /**< counter of what the fleet is told */
	int64_t fresh_as_of_us;	   /**< keys are known as of this moment */
	bool was_fresh;
	int64_t polled_us;
	int64_t load_decayed_us;     /* when load figures were last faded */
	int64_t registry_expired_us; /* when silent servers were last looked for */
	int64_t fleet_expired_us;    /* when dead starts were last looked for */
	int64_t usage_reported_us; /**< when counts were last told */
	struct fetch fetch;	   /**< of the document */
	bool uncompressed_only;	   /**< a packed one couldn't be read */
	int64_t stop_requested_us; /**< when the stop was asked for, 0 if not */
	int64_t stop_deadline_us;
	bool exited;
	struct entry_view totals;
	struct effects *effects; /**< of the call that runs */
	int64_t now_us;		 /**< of the call that runs */
};

/* entry.c */
void entry_log(struct entry *entry, enum log_level level, const char *module,
	       const char *format, ...) __attribute__((format(printf, 4, 5)));

/* entry_feed.c */
void entry_feed_message(struct entry *entry, uint64_t peer,
			const struct bytes *body);
void entry_feed_tick(struct entry *entry);
void entry_poll(struct entry *entry);
void entry_send_usage(struct entry *entry);
void entry_resolve_presumed(struct entry *entry);

/* entry_request.c */
void entry_request_finished(void *data, const struct router_outcome *outcome);
void entry_resume_deferred(struct entry *entry);
bool entry_drop_deferred(struct entry *entry, uint64_t id);
void entry_free_deferred(struct entry *entry);
bool entry_defer(struct entry *entry, const struct entry_request *request);
void entry_decide(struct entry *entry, const struct entry_request *request);
void entry_refuse(struct entry *entry, const struct entry_request *request,
		  enum result code, int64_t retry_after_ms);
bool entry_can_decide(const struct entry *entry);
void entry_free_calls(struct entry *entry);
bool entry_is_fresh(const struct entry *entry, int64_t now_us);

#endif
