#ifndef FILBERTHALL_ENTRY_ENTRY_STATE_H
#define FILBERTHALL_ENTRY_ENTRY_STATE_H

#include "base/map.h"
#include "base/rng.h"
#include "entry/entry.h"
#include "entry/fetch.h"
#include "feed/feed.h"
#include "feed/peers.h"
#include "fleet/evacuation.h"
#include "fleet/reach.h"
#include "fleet/registry.h"
#include "load/affinity.h"
#include "load/router.h"
#include "usage/begun.h"
#include "usage/presumed.h"
#include "usage/wall.h"

/** Internal to entry*.c; not included by any other file. */

/** Retry-after of callers whose request was refused as stale: two polls. */
#define ENTRY_STALE_RETRY_AFTER_MS 1000

/** Records of streams that are kept here. */
#define ENTRY_AFFINITIES_MOST 16384

/** New ones that the control VMs are told of in one message. */
#define ENTRY_UNTOLD_MOST 64

/** Neighbours that are known. */
#define ENTRY_NEIGHBOURS_MOST FEED_NEIGHBOURS_MOST

/** Another entry VM. */
struct neighbour {
	uint64_t id;			 /**< on links */
	char links[BACKEND_NAME_SIZE];	 /**< IP:port of its links */
	char callers[BACKEND_NAME_SIZE]; /**< IP:port */
	bool linked;			 /**< a link to it is up */
	bool wanted;			 /**< by this VM */
	int64_t wanted_us; /**< since when, or since it went down */
};

/** A record that not all control VMs may have been told of. */
struct recent {
	struct list node;
	struct affinity affinity;
	int64_t noted_us;
};

/** Neighbours that a request was passed on to. */
struct tried {
	uint64_t ids[ENTRY_NEIGHBOURS_MOST];
	int n;
};

/** A stream that a neighbour is to go on with. */
struct elsewhere {
	struct entry_request request; /**< its strings are owned */
	struct tried tried;
};

/** An entry VM with a link to this one, whichever opened it. */
struct guest {
	struct list node;
	uint64_t id;
};

/** A request between its submission and its answer. */
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
	int urgency; /**< priority at the server; 0 is the most urgent */
	int64_t arrived_us;
	int64_t deadline_us;
	bool repeatable;   /**< may run more than once */
	bool passed_on;	   /**< by another entry VM to this one */
	bool may_have_run; /**< before it was passed on */
	int pass;	   /**< number of the attempt to pass it on, or 0 */
	char way[BACKEND_NAME_SIZE]; /**< VM that it is passed on to */
	int64_t first_us;	     /**< of a request that is passed on */
	bool begun;		     /**< its stream is recorded */
	bool resumes;		     /**< a stream that was begun before */
	struct affinity_key resumed;
	struct elsewhere *elsewhere; /**< owned, or NULL */
};

/** A request deferred until this VM's state is fresh. Strings are owned. */
struct deferred_request {
	struct list node;
	struct entry_request request;
	int64_t deferred_us;
	int64_t expires_us; /**< refused at this time */
};

/** What this VM knows of a service's backend servers as a whole. */
struct service_state {
	struct list node;
	char service[BACKEND_NAME_SIZE];
	struct reach reach;
	bool paused; /**< its requests wait in the router */
	int64_t probed_us;
	struct feed_ways ways;
	int64_t told_us;	  /**< when `ways` was received */
	int turn;		  /**< which of them is next */
	double rejects_per_s;	  /**< as named; REJECT_LIMIT_NONE for none */
	int64_t rejects_heard_us; /**< when a server last named it */
};

/** A class that has been added to the router. */
struct entry_class {
	struct list node; /**< sorted by last use, the latest last */
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
	struct evacuations evacuations;
	struct regions regions;
	struct document *document;
	struct begun begun;
	struct presumed presumed;
	struct wall wall;
	struct map peers; /**< the control VMs, struct feed_peer */
	struct map calls;
	struct affinities affinities;
	struct affinity untold[ENTRY_UNTOLD_MOST]; /**< to control VMs */
	size_t n_untold;
	int64_t told_us;
	struct list lookups;  /**< streams that control VMs are asked about */
	struct list pending;  /**< streams whose version isn't sure yet */
	struct list deferred; /**< struct deferred_request, oldest first */
	struct list classes;
	int n_classes;
	int64_t entry_vms;    /**< entry VMs as told, 0 unknown */
	int64_t retry_vms;    /**< of these, that share the retry limit */
	int64_t retry_vms_us; /**< when so many were last told */
	bool past_known;      /**< what this VM spent in the window */
	int64_t started_us;
	struct retry_history past_retries; /**< of this VM's processes */
	struct list services;		   /**< struct service_state */
	char callers[BACKEND_NAME_SIZE];   /**< where they come in, or empty */
	int64_t number;		   /**< of this one among them, -1 unknown */
	int64_t announce_sequence; /**< last number given to the fleet */
	int64_t fresh_as_of_us;	   /**< document state known as of then */
	bool was_fresh;
	int64_t contact_us; /**< sending of the newest poll answered, or 0 */
	bool was_in_contact;
	int64_t contact_lost_us; /**< when that was seen, or 0 */
	struct neighbour neighbours[ENTRY_NEIGHBOURS_MOST]; /**< next first */
	int n_neighbours;
	struct list guests;
	struct list recent;	      /**< struct recent, oldest first */
	int64_t neighbours_since_us;  /**< links to them are needed, or 0 */
	int64_t neighbours_until_us;  /**< these are kept */
	int64_t begun_out_of_contact; /**< streams, since then */
	int64_t polled_us;
	int64_t unserved_told_us;
	int64_t demand_told;   /**< of totals.submitted */
	double interval_begin; /**< of servers' limits, as dealt out last */
	double interval_end;
	int64_t interval_us;
	int64_t load_decayed_us;     /* last decay of load figures */
	int64_t registry_expired_us; /* last registry_expire() */
	int64_t fleet_expired_us;    /* last fleet_expire() */
	int64_t usage_reported_us;   /**< when counts were last sent */
	struct fetch fetch;	     /**< request for the document */
	bool uncompressed_only; /**< a compressed document couldn't be read */
	int64_t stop_requested_us; /**< 0: not stopping */
	int64_t stop_deadline_us;
	bool exited;
	struct entry_view totals;
	struct effects *effects; /**< of the current call */
	int64_t now_us;		 /**< of the current call */
};

/* entry.c */
void entry_log(struct entry *entry, enum log_level level, const char *module,
	       const char *format, ...) __attribute__((format(printf, 4, 5)));

/* entry_contact.c */

/** A control VM has answered the poll that was sent then. */
void entry_note_contact(struct entry *entry, int64_t polled_us);

/** Time since the newest poll that was answered was sent; -1: none was. */
int64_t entry_silence_ms(const struct entry *entry);

/** Whether some control VM answers. */
bool entry_is_in_contact(const struct entry *entry);
void entry_contact_tick(struct entry *entry);

/* entry_neighbour.c */
void entry_handle_neighbours(struct entry *entry,
			     const struct feed_neighbours *told);
void entry_neighbour_up(struct entry *entry, uint64_t id);

/** False if it isn't a neighbour's link. */
bool entry_neighbour_down(struct entry *entry, uint64_t id);
void entry_neighbour_message(struct entry *entry, uint64_t peer,
			     const struct bytes *body);
void entry_free_guests(struct entry *entry);

/** Send what a control VM told of backend servers to other VMs with a link. */
void entry_pass_news(struct entry *entry, const struct bytes *body);
void entry_neighbours_tick(struct entry *entry);

/** Send a message to those that this VM has opened a link to. */
void entry_tell_neighbours(struct entry *entry, const struct bytes *body);

/** Whether neither a control VM nor a neighbour answers. */
bool entry_is_isolated(const struct entry *entry, int64_t now_us);

/** Whether a neighbour may be reached. */
bool entry_has_neighbour(const struct entry *entry);

/**
 * Where one that wasn't tried takes requests, another one each time. It counts
 * as tried then. NULL: there is none.
 */
const char *entry_next_neighbour(struct entry *entry, struct tried *tried);

/* entry_feed.c */
void entry_feed_message(struct entry *entry, uint64_t peer,
			const struct bytes *body);
void entry_feed_tick(struct entry *entry);
void entry_poll(struct entry *entry);
void entry_send_usage(struct entry *entry);
void entry_send_all(struct entry *entry, struct bytes *body);

/* entry_limit.c */
void entry_handle_limit(struct entry *entry, const struct feed_limit *told);
void entry_tell_limits_to(struct entry *entry, uint64_t peer);

/* entry_retry.c */
void entry_share_retries(struct entry *entry, uint64_t peer,
			 const struct feed_state *state);
void entry_tell_retries(void *data, const struct retry_report *report);
void entry_tell_retries_to(struct entry *entry, uint64_t peer);
void entry_handle_retries(struct entry *entry,
			  const struct retry_report *report);

/* entry_reach.c */
struct service_state *entry_service(struct entry *entry, const char *name);
void entry_free_services(struct entry *entry);
void entry_reach_tick(struct entry *entry);
void entry_probe_broken(struct entry *entry, const char *address);
void entry_write_reach(const struct entry *entry, struct feed_reach *reach);

/* entry_pass.c */

/** Pass a request on to a VM that reaches its service; false if none does. */
bool entry_pass(struct entry *entry, struct open_call *call);

/** Pass on all requests that wait for it. */
void entry_pass_waiting(struct entry *entry, struct service_state *service);
bool entry_has_way(const struct entry *entry,
		   const struct service_state *service);
void entry_handle_ways(struct entry *entry, const struct feed_ways *ways);
void entry_pass_tokens(struct entry *entry, struct open_call *call,
		       const struct event_attempt_tokens *tokens);
void entry_pass_ended(struct entry *entry, struct open_call *call,
		      const struct event_attempt_ended *ended);
/** Cancel what another VM was asked; the caller gets `code`. */
void entry_pass_cancel(struct entry *entry, struct open_call *call,
		       enum result code);

/** Pass the request on to the VM whose callers come in there. */
void entry_start_pass(struct entry *entry, struct open_call *call,
		      const char *address);

/* entry_elsewhere.c */

/** Whether a neighbour is to go on with a stream that is resumed here. */
bool entry_must_go_elsewhere(const struct entry *entry,
			     const struct entry_request *request);

/** NULL is allowed. */
void entry_elsewhere_free(struct elsewhere *elsewhere);

/** Pass the request on to a neighbour; false if there is none. */
bool entry_go_elsewhere(struct entry *entry,
			const struct entry_request *request,
			const struct route *route,
			const struct document_organisation *holder);

/**
 * The same for what may be a stream that is resumed, as far as is known: the
 * neighbour decides on it by its own document.
 */
bool entry_go_elsewhere_stale(struct entry *entry,
			      const struct entry_request *request);

/**
 * A neighbour has answered, or couldn't be reached.
 *
 * @return true if the request goes on at another VM or here
 */
bool entry_elsewhere_ended(struct entry *entry, struct open_call *call,
			   const struct event_attempt_ended *ended);

/* entry_stop.c */

/** Of a planned stop: answer what is left at its end, and exit then. */
void entry_check_stop(struct entry *entry);

/* entry_pending.c */

/** A stream has begun at a server whose version isn't sure. */
void entry_add_pending(struct entry *entry, struct open_call *call,
		       int64_t attempt, const struct router_attempt_view *view);
void entry_settle_pending(struct entry *entry);
void entry_free_pending(struct entry *entry);

/* entry_affinity.c */
struct affinity entry_affinity_of(const struct open_call *call,
				  const struct affinity_key *key,
				  uint64_t version);
void entry_note_affinity(struct entry *entry, const struct affinity *affinity);
void entry_tell_affinities(struct entry *entry);
void entry_tell_affinities_to(struct entry *entry, uint64_t peer);
void entry_affinity_tick(struct entry *entry);

/** Tell a neighbour what control VMs may not know. */
void entry_tell_recent_to(struct entry *entry, uint64_t peer);
void entry_free_recent(struct entry *entry);

/* entry_resume.c */
bool entry_is_resumption(const struct route *route,
			 const struct entry_request *request);
struct affinity_key entry_resumed_key(const struct entry_request *request,
				      const char *organisation);

/**
 * Where the stream goes on that a request resumes, if it is known here. Else
 * NULL: the request waits for the control VMs' answers, or is refused.
 */
const struct affinity *entry_resume(struct entry *entry,
				    const struct entry_request *request,
				    const char *organisation);
void entry_handle_affinities(struct entry *entry,
			     const struct feed_message *message);
void entry_handle_affinity_none(struct entry *entry, uint64_t peer,
				const struct feed_affinity_none *none);
void entry_lookups_tick(struct entry *entry);
int64_t entry_lookups_next_us(const struct entry *entry);
bool entry_drop_lookup(struct entry *entry, uint64_t id);
void entry_free_lookups(struct entry *entry);

/* entry_limit.c */
void entry_tell_demand(struct entry *entry);

/* entry_unserved.c */
void entry_tell_unserved(struct entry *entry);
void entry_handle_short(struct entry *entry, const struct feed_short *told);

/* entry_crash.c */
void entry_tell_crash(void *data, const struct poison_report *report);
void entry_tell_crashes_to(struct entry *entry, uint64_t peer);
void entry_tell_parts(struct entry *entry);
void entry_handle_part(struct entry *entry, const struct part_report *told);
void entry_handle_crashes(struct entry *entry,
			  const struct poison_report *told);

/* entry_servers.c */

/** Whether the server surely is the start that it is known as. */
bool entry_is_confirmed(const struct entry *entry,
			const struct registry_entry *server);

/** Whether such a server may go on with streams that began there. */
bool entry_has_confirmed(const struct entry *entry,
			 const struct affinity *affinity);

/** Updates the router's fleet from what is known of one start. */
void entry_update_server(struct entry *entry,
			 const struct registry_entry *registered);
void entry_update_cold(struct entry *entry);
void entry_handle_end(struct entry *entry, const struct registry_end *told);
void entry_handle_registration(struct entry *entry, uint64_t peer,
			       const struct feed_message *message);
void entry_handle_alive(struct entry *entry,
			const struct feed_message *message);
void entry_handle_marks(struct entry *entry, const struct feed_marks *marks);
void entry_handle_bundle(struct entry *entry, uint64_t peer,
			 const struct feed_bundle *bundle);
void entry_handle_evacuations(struct entry *entry,
			      const struct evacuations *evacuations);
void entry_expire_servers(struct entry *entry);

/* entry_usage.c */
void entry_count_started(struct entry *entry, uint64_t id);
void entry_add_presumed(struct entry *entry,
			const struct event_attempt_ended *ended);
void entry_resolve_presumed(struct entry *entry);

/* entry_progress.c */
void entry_request_finished(void *data, const struct router_outcome *outcome);

/* entry_request.c */
/** The request with that id, or NULL if it isn't open. */
struct open_call *entry_open_call(const struct entry *entry, uint64_t id);

/** Count how a request ended, and forget it. */
void entry_end_call(struct entry *entry, struct open_call *call,
		    enum result code, enum run_state run);
struct open_call *entry_call_new(struct entry *entry,
				 const struct entry_request *request,
				 const struct route *route,
				 const struct document_organisation *holder);

/** Forget a request without counting how it ended. */
void entry_call_free(struct entry *entry, struct open_call *call);
void entry_resume_deferred(struct entry *entry);
bool entry_drop_deferred(struct entry *entry, uint64_t id);
void entry_free_deferred(struct entry *entry);
bool entry_defer(struct entry *entry, const struct entry_request *request);
void entry_decide(struct entry *entry, const struct entry_request *request);

/** The same, of a stream that is known to go on there; NULL: not known. */
void entry_decide_as(struct entry *entry, const struct entry_request *request,
		     const struct affinity *affinity);
void entry_copy_request(struct entry_request *to,
			const struct entry_request *from);
void entry_free_request(struct entry_request *request);
void entry_refuse(struct entry *entry, const struct entry_request *request,
		  enum result code, int64_t retry_after_ms);
bool entry_can_decide(const struct entry *entry);
void entry_free_calls(struct entry *entry);
bool entry_is_fresh(const struct entry *entry, int64_t now_us);

#endif
