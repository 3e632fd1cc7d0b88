#ifndef FILBERTHALL_LOAD_ROUTER_STATE_H
#define FILBERTHALL_LOAD_ROUTER_STATE_H

#include "base/list.h"
#include "base/map.h"
#include "base/rng.h"
#include "fleet/backend.h"
#include "load/backoff.h"
#include "load/divide.h"
#include "load/floor.h"
#include "load/heap.h"
#include "load/length.h"
#include "load/pick.h"
#include "load/part.h"
#include "load/poison.h"
#include "load/preempt.h"
#include "load/prefix.h"
#include "load/quota.h"
#include "load/retry.h"
#include "load/router.h"
#include "load/sched.h"
#include "load/server_limit.h"
#include "load/unserved.h"
#include "load/warmup.h"

/**
 * Private declarations shared by the router*.c files: the state of a router and
 * the functions they call in each other.
 */

/** Longest interval between two router_tick() calls. */
#define ROUTER_TICK_US INT64_C(50000)

/** A class of requests. Ids are reused after removal. */
struct router_class {
	struct map_node node; /**< by name */
	struct class_rule rule;
	int id;
	bool removed;	    /**< kept until its last request ends */
	int64_t n_requests; /**< requests that refer to it */
	int64_t waiting;
	int64_t running;
	struct list order; /**< waiting requests, oldest first */
};

struct organisation {
	struct map_node node; /**< by name */
	struct organisation_rule rule;
	uint64_t id;
	bool removed;
	int64_t n_requests;
	struct quota quota;
};

/** Limits of one key; kept while it has requests or its bucket refills. */
struct key_use {
	struct map_node node; /**< by key id */
	char *id;
	int64_t n_requests;
	int64_t used_us;
	struct quota quota;
};

/** Waiting requests that the same backend servers can serve. */
struct queue {
	struct list in_pool;
	struct pool *pool;
	char *adapter;	  /**< or NULL */
	uint64_t regions; /**< of the servers that may run them */
	uint64_t version; /**< that may run them; 0: any */
	bool reclaimable;
	bool blocked; /**< no server had room in this dispatch pass */
	int n_requests;
	struct sched sched;
};

/** Waiting requests and pressure of one tier of one pool. */
struct pressure {
	int64_t waiting;
	struct list order;	  /**< waiting requests, oldest first */
	int64_t last_pressure_us; /**< when it was last under pressure */
	int64_t last_empty_us;	  /**< when its queue was last empty */
	int64_t last_short_us;	  /**< when a short request was last enqueued */
};

/** How long a class's requests hold a slot of one pool. */
struct class_time {
	double mean_us; /**< running average, 0 until one has ended */
	int64_t at_us;	/**< when a request last ended */
};

/** The backend servers and queues of one model or one service. */
struct pool {
	struct map_node node; /**< by name */
	char *name;	      /**< "m:MODEL" or "s:SERVICE" */
	const char *model;    /**< part of name, or NULL */
	const char *service;  /**< part of name, or NULL */
	struct backend **members;
	int n_members;
	int n_usable;	     /**< members that accept new requests */
	int n_cold;	     /**< of them, cold ones (load/warmup.h) */
	int n_asked;	     /**< of them, those that ever asked for time */
	int n_backed_off;    /**< whose time isn't over */
	int n_silent;	     /**< that write nothing though they run requests */
	bool backed_off;     /**< none of them takes any request */
	int64_t retry_at_us; /**< when the first one's time is over */
	bool versions_differ; /**< of the usable members */
	uint64_t
		fleet_version; /**< fleet version at which members was listed */
	uint64_t fleet_removals;
	int64_t listed_us;	/**< when members was listed */
	double slots;		/**< of usable members that aren't cheap */
	double cheap_slots;	/**< of usable cheap members */
	double load;		/**< requests on all usable members */
	int64_t counted_us;	/**< when slots and load were computed */
	int64_t usable_us;	/**< when a member was last usable */
	struct silence silence; /**< of all members together */
	struct list queues;
	struct retry retry;
	int64_t spent_logged_us; /**< last log line of spent retries */
	bool paused;		 /**< nothing is sent */
	struct floor floor;
	int64_t waiting_by_class[SCHED_CLASSES];
	int64_t running_by_class[SCHED_CLASSES];
	int64_t running_by_tier[SCHED_TIERS];
	int64_t running; /**< attempts, except those on cheap servers */
	struct pressure pressure[SCHED_TIERS];
	struct class_time times[SCHED_CLASSES];
	struct divide divide;
	double us_per_token; /**< mean time in a slot per token of cost */
	double mean_cost;
	double mean_log_cost; /**< of the logarithm, to limit the weight of outliers */
	double first_token_us; /**< mean, from start of an attempt */
	double mean_prompt;    /**< mean prompt tokens of a request */
	double prefill_rate;   /**< prompt tokens per second of an engine */
	int64_t grant;	       /**< slots granted to this VM, -1 if unlimited */
	double share_begin;    /**< this VM's part of each server, 0..1 */
	double share_end;
	int64_t n_samples;
	int n_preempting;	  /**< preempted attempts that haven't ended */
	int local_pressured_tier; /**< highest tier under pressure on this VM */
	int global_pressured_tier; /**< the same over all VMs, by the last grant */
	int64_t lower_closed_us[SCHED_TIERS]; /**< since when no lower tier gets
					   more than its minimum, 0 if open */
	struct list running_list;	      /**< attempts, oldest first */
	struct unserved_count outcomes[SCHED_TIERS]; /**< not yet taken */
	int64_t full_us; /**< when a sound server last had all slots in use */
	struct unserved own; /**< here alone; a rejection counts as nothing */
	struct reserve reserve;
	double asked; /**< requests lately, and those that were held */
	double held;
	int64_t held_counted_us;
};

enum request_state {
	REQUEST_NEW, /**< not yet admitted */
	REQUEST_WAITING,
	REQUEST_RUNNING,
	REQUEST_ENDED /**< answered; attempts may still be ending */
};

struct request;

struct attempt {
	struct list in_request;
	struct list in_pool;
	struct request *request;
	int64_t number;
	char address[BACKEND_NAME_SIZE];
	uint64_t server; /**< hash of its server's address and start */
	int64_t started_us;
	int64_t first_us;      /**< time of its first token, 0 if none yet */
	int64_t tokens;	       /**< generated by this attempt */
	int64_t base;	       /**< tokens delivered to the caller before it */
	int64_t prompt_tokens; /**< counted on the server until prefill */
	double work;
	bool is_long;
	bool paced;	  /**< paced by load/divide.h */
	uint64_t version; /**< of its server, by hash */
	int64_t slots;	  /**< slots of its server */
	bool on_cheap;	  /**< on a server that may be reclaimed */
	bool by_floor;	  /**< started by its class's minimum share */
	bool sent;
	bool cancelled;
	bool sound;	     /**< noted: its server didn't crash by its parts */
	bool counts_writing; /**< among its server's answers that have begun */
	bool kept;	     /**< though without an event that was passed on */
	enum result cancel_code; /**< why it was cancelled */
};

struct request {
	struct map_node node; /**< by id */
	struct sched_entry entry;
	struct heap_node timer;
	int64_t timer_us;
	struct list in_class;	    /**< while waiting */
	struct list in_tier;	    /**< while waiting */
	struct router_request spec; /**< its strings are owned */
	enum request_state state;
	struct router_class *class;
	struct organisation *organisation;
	struct key_use *key;
	struct queue *queue;
	uint64_t fingerprint;
	int tier;
	int64_t deadline_us;
	int64_t target_us;	/**< when the first token is due, 0 for none */
	bool limits_charged;	/**< whether the limits were charged */
	int64_t charged_tokens; /**< tokens charged to the limits */
	int64_t estimate;	/**< output tokens */
	bool is_long;
	bool may_have_run;   /**< a byte may have been sent */
	bool reached_server; /**< an attempt reached a server */
	bool found_full;     /**< a server without a free slot rejected it */
	bool counted;	     /**< in its pool's outcomes */
	bool left_silent;    /**< it was given up at a server that was silent */
	bool tries_parts;   /**< it is sent to try whether they crash servers */
	int64_t hedge_us;   /**< no check for a hedge before this time */
	int64_t overdue_us; /**< no check for a lost answer before this time */
	char avoid[BACKEND_NAME_SIZE]; /**< server of the last failed attempt */
	struct list attempts;
	int n_attempts;
	int n_rejected; /**< attempts that certainly didn't run */
	int64_t waiting_since_us;
	int64_t delivered; /**< tokens delivered to the caller */
	int64_t prompt_tokens;
	int64_t wasted;
	int64_t first_token_us;
	int64_t last_chunk_us; /**< when the last chunk arrived */
	int64_t pause_us;      /**< longest gap between two chunks so far */
	char address[BACKEND_NAME_SIZE]; /**< server of the last attempt */
};

/** Parts of which an answer waits for its proof at the same time. */
#define LEFT_ANSWERS 512

/** An answer with the part whose caller left; see router_left.c. */
struct left_answer {
	uint64_t part;	 /**< 0: none */
	uint64_t server; /**< hash of its server's address and start */
	char address[BACKEND_NAME_SIZE];
	int64_t began_us;
	int64_t left_us;
};

struct router {
	struct router_options options;
	char *zone;
	struct rng rng;
	struct map requests;
	struct map classes;
	struct map organisations;
	struct map keys;
	struct map pools;
	struct heap timers;
	struct router_class *by_id[SCHED_CLASSES];
	struct length length;
	struct prefix prefix;
	struct poison poison;
	struct part_watch parts;
	struct left_answer left[LEFT_ANSWERS];
	struct retry_limit retry_limit;
	struct server_limit_vm vm;
	struct preempt_budget preempt;
	struct silence own; /**< this VM's last standstill */
	struct pick_options pick;
	uint64_t sequence;
	uint64_t last_organisation;
	int64_t waiting;
	int64_t open;	       /**< requests not yet answered */
	int64_t maintained_us; /**< time of the last straggler search and key removal */
	bool draining;
	struct router_peers *peers;
};

/* router_pool.c */
struct pool *pool_named(struct router *router, const char *name,
			int64_t now_us);
struct pool *pool_get(struct router *router, const char *model,
		      const char *service, int64_t now_us);
void pool_refresh(struct router *router, struct pool *pool, int64_t now_us);
void pool_free(struct router *router, struct pool *pool);
bool request_in_standing_queue(const struct request *request, int64_t now_us);

double pool_wait_us(const struct router *router, const struct pool *pool,
		    const struct request *request, int64_t now_us);
double pool_own_slots(const struct router *router, const struct pool *pool);
void pool_record_prompt(struct pool *pool, int64_t prompt_tokens);
void pool_record_prefill(struct pool *pool, int64_t tokens, int64_t took_us);
int pool_lowest_served_tier(const struct pool *pool);
void pool_update_pressure(struct router *router, struct pool *pool,
			  int64_t now_us);
void pool_record_cost(struct pool *pool, double cost, int64_t took_us);
void pool_record_time(struct pool *pool, int class_id, int64_t took_us,
		      int64_t now_us);
double pool_class_us(const struct pool *pool, int class_id, int64_t now_us);

/* router_queue.c */
void queue_free(struct queue *queue);

/** The queue of the request's class and of the servers that may run it. */
void request_set_queue(struct router *router, struct request *request,
		       struct pool *pool, bool reclaimable);

/** The request leaves its queue for good; one of a version may be freed. */
void request_unset_queue(struct request *request);

/** Whether the server may run the request, if it takes any. */
bool request_may_run_at(const struct request *request,
			const struct backend *backend);

/** Whether a usable server is in its regions and of the version it needs. */
bool request_has_server(const struct request *request, int64_t now_us);

/** Whether the stream that it resumes can go on at no server any more. */
bool request_version_gone(const struct request *request, int64_t now_us);

/* router_submit.c */
struct organisation *organisation_get(struct router *router, const char *name,
				      int64_t now_us);
bool router_may_shed(const struct router *router, const struct pool *pool,
		     int tier, int64_t now_us);
void request_enqueue(struct router *router, struct request *request,
		     int64_t now_us);
void request_apply_class(struct router *router, struct request *request);
void request_dequeue(struct router *router, struct request *request);
int64_t request_needs_us(const struct router *router,
			 const struct request *request, int64_t now_us);
int64_t request_retry_after_ms(const struct router *router,
			       const struct request *request, int64_t now_us);

/* router_dispatch.c */
void router_dispatch(struct router *router, struct pool *pool, int64_t now_us,
		     struct effects *effects);

/* router_preempt.c */
void router_preempt(struct router *router, struct pool *pool, int64_t now_us,
		    struct effects *effects);

/* router_share.c */
void router_share_init(struct router *router);
void router_share_free(struct router *router);
void router_share_tick(struct router *router, int64_t now_us,
		       struct effects *effects);
void router_share_crash(struct router *router, uint64_t fingerprint,
			uint64_t server, int64_t ran_us,
			struct effects *effects);
void router_send(struct effects *effects, uint64_t peer, struct bytes body);
bool router_shares(const struct router *router);
bool router_limits_pool(const struct router *router);
double router_equal_share(const struct router *router);
void router_equal_bounds(const struct router *router, double *from,
			 double *until);

struct place_query request_place(const struct router *router,
				 const struct request *request);

/* router_attempt.c */

/** Microseconds since `since_us` in which the VM and the server ran. */
int64_t attempt_ran_us(const struct router *router,
		       const struct attempt *attempt, int64_t since_us,
		       int64_t now_us);
void attempt_start(struct router *router, struct request *request,
		   struct backend *backend, bool by_floor, int64_t now_us,
		   struct effects *effects);
void attempt_cancel(struct attempt *attempt, enum result why,
		    struct effects *effects);

/* router_backoff.c */

/** Time until a server that may run the request takes any; 0 if one does. */
int64_t request_backoff_us(const struct request *request, int64_t now_us);

/** Whether that is too late for the request. */
bool request_is_backed_off(const struct router *router,
			   const struct request *request, int64_t now_us);

/* router_crash.c */
int64_t request_held_ms(struct router *router, const struct request *request,
			int64_t now_us);

/** Counts a request that came, held or not. */
void pool_count_held(struct pool *pool, bool held, int64_t now_us);

/** Whether the held request is to be sent, to try its parts. */
bool request_tries_parts(struct router *router, struct request *request,
			 int64_t now_us);
void request_name_parts(struct request *request);
bool attempt_crashed(struct router *router, const struct attempt *attempt,
		     int64_t now_us, struct effects *effects);

/** A server's answer has gone on, or is complete. */
void attempt_is_sound(struct router *router, struct attempt *attempt,
		      int64_t now_us);

/** An answer with the part that began at `began_us` was sound. */
void parts_prove(struct router *router, uint64_t part, int64_t began_us,
		 int64_t now_us);

/* router_left.c */

/** The caller of an answer that has begun leaves. */
void attempt_note_left(struct router *router, const struct attempt *attempt,
		       int64_t now_us);

/* router_end.c */
struct request *request_find(const struct router *router, uint64_t id);
struct attempt *request_attempt(const struct request *request);
void request_refuse(struct router *router, struct request *request,
		    enum result code, int64_t retry_after_ms, int64_t now_us,
		    struct effects *effects);
void request_end(struct router *router, struct request *request,
		 enum result code, const struct event_attempt_ended *ended,
		 int64_t now_us, struct effects *effects);
void request_free(struct router *router, struct request *request);
void request_set_timer(struct router *router, struct request *request,
		       int64_t at_us);

/* router_time.c */
void request_update_timer(struct router *router, struct request *request,
			  int64_t now_us);

/* router_unserved.c */

/** The request waits for a slot; counts it if it has waited for too long. */
void request_count_wait(struct request *request, int64_t now_us);

/** A server has begun to answer the request. */
void request_count_begun(struct request *request, int64_t now_us);

/** The request has ended; counts it if it got nothing for want of a slot. */
void request_count_ended(struct request *request, enum result code,
			 int64_t now_us);

/** An attempt has failed: notes a rejection by a server without a free slot. */
void request_count_failed(const struct router *router, struct request *request,
			  const struct attempt *attempt,
			  const struct event_attempt_ended *ended,
			  int64_t now_us);

/* router_retry.c */

/** retry_check() of the request's pool; reports what was spent. */
enum result request_check_retry(struct router *router,
				const struct request *request,
				const struct retry_case *why, int64_t now_us,
				struct effects *effects);

/* router_log.c */
void router_span(struct router *router, const struct request *request,
		 const char *name, int64_t start_us, int64_t end_us,
		 enum result code, const char *detail, struct effects *effects);
void router_log(const struct request *request, enum log_level level,
		struct effects *effects, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

#endif
