#ifndef FILBERTHALL_LOAD_ROUTER_H
#define FILBERTHALL_LOAD_ROUTER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/result.h"
#include "core/effect.h"
#include "core/event.h"
#include "core/rule.h"
#include "load/part.h"
#include "load/poison.h"
#include "load/retry_history.h"
#include "load/server_limit.h"
#include "load/unserved.h"

/**
 * One daemon's request router: decides which requests are served, queued or
 * refused, which server each is sent to, and which are retried. Combines the
 * modules of load/. The daemon's reducer and policy-bench call the same
 * functions.
 *
 * The decisions are returned as effects: START_ATTEMPT, CANCEL_ATTEMPT,
 * ANSWER, DISTRUST, SEND (channel LINK_SHARE), ENGINE_ORDER, SPAN, LOG.
 * Each submitted request ends with exactly one ANSWER (code RESULT_OK when
 * the complete answer was delivered) and one call of the `finished` hook.
 */
struct router;
struct fleet;

/** Mechanisms that can be switched off one by one, for ablation. */
struct router_features {
	bool tiers;
	bool min_shares;
	bool fairness;
	bool early_refusal;
	bool length_estimate;
	bool two_choices;
	bool prefix_affinity;
	bool stragglers;
	bool retry_budget;
	bool hedging;
	bool poison;
	bool preemption;
	bool lost_answers; /**< overdue streams are sent again; load/overdue.h */
	bool homes;  /**< shared prompt parts have home servers; load/place.h */
	bool shares; /**< capacity and limits shared with the other daemons */
};

/** How a request ended; strings live until the hook returns. */
struct router_outcome {
	uint64_t id;
	enum result code;
	enum run_state run;
	const char *organisation;
	const char *class_name;
	const char *model;
	const char *address; /**< last backend server, or NULL */
	int tier;
	int attempts;
	int64_t prompt_tokens; /**< counted by the engine, else estimated */
	int64_t output_tokens; /**< delivered to the caller */
	int64_t wasted_tokens; /**< generated but not delivered */
	int64_t arrived_us;
	int64_t first_token_us; /**< 0 if there was none */
	int64_t pause_us;	/**< longest gap between two chunks */
	int64_t ended_us;
	bool attained;		    /**< complete and within all its targets */
	const struct bytes *answer; /**< kept answer of a claimed request */
	const char *content_type;
	int64_t http_status;
};

struct router_hooks {
	void (*finished)(void *data, const struct router_outcome *outcome);
	void *data;
	/** A server crashed under a request: to be told to all other VMs. */
	void (*crashed)(void *data, const struct poison_report *report);
	/** Retries were spent: to be reported before they are made. */
	retry_history_visitor *retried;
};

struct router_options {
	uint64_t seed;
	uint64_t self; /**< own member id */
	const char *zone;
	struct fleet *fleet; /**< all known servers; not owned */
	/**
	 * The caller submits requests only for services that exist, so a
	 * service without servers lacks capacity and isn't an unknown name.
	 */
	bool services_exist;
	struct router_features features;
	struct router_hooks hooks;
};

/** Description of a request. The router copies it. */
struct router_request {
	uint64_t id;
	const char *organisation;
	const char *key_id; /**< for the limits of the key */
	int64_t key_max_concurrent;
	int64_t key_requests_per_min;
	const char *class_name;
	const char *model;   /**< NULL for a service */
	const char *adapter; /**< or NULL */
	const char *service; /**< NULL for a completion */
	const char *body_hash;
	const char *trace;
	uint64_t prefix_hash;
	const uint64_t *parts; /**< hashes of the prompt's shared parts */
	size_t n_parts;
	int64_t prompt_tokens;
	int64_t shared_tokens; /**< prompt tokens in parts shared with other requests */
	int64_t max_tokens; /**< 0 if unlimited */
	int64_t arrived_us;
	int64_t deadline_us; /**< absolute; 0 for the class's default */
	bool idempotent;     /**< may be resent after a byte was sent */
	bool stream;
	bool keep_answer;   /**< a claimed request needs the whole answer */
	int64_t send_by_us; /**< never sent later than this; 0 for none */
	int max_attempts;   /**< servers that may run it; 0 for the default */
	uint64_t regions;   /**< whose servers may run it (fleet/region.h);
				 0 counts as REGION_ANY */
	uint64_t version;   /**< hash of the version that began the stream, at
				 which alone it goes on; 0: not begun */
};

/** All mechanisms except `homes` and `lost_answers` are on. */
struct router_features router_features_all(void);

struct router *router_new(const struct router_options *options);
void router_free(struct router *router);

/** Limit the retries of each service over all VMs; see retry_limit(). */
void router_limit_retries(struct router *router,
			  const struct retry_limit *limit);

/** Calls `visit` for each pool that has spent retries. */
void router_visit_retries(struct router *router, int64_t now_us,
			  retry_history_visitor *visit, void *data);

/** What earlier processes of this VM have spent. */
void router_set_past_retries(struct router *router, const char *pool,
			     const struct retry_window *past, int64_t now_us);

/** Add or change a class; also applies to requests already waiting. */
void router_set_class(struct router *router, const struct class_rule *rule,
		      int64_t now_us, struct effects *effects);

/** Remove a class; its waiting requests are refused as not run. */
void router_remove_class(struct router *router, const char *name,
			 int64_t now_us, struct effects *effects);

void router_set_organisation(struct router *router,
			     const struct organisation_rule *rule,
			     int64_t now_us);
void router_remove_organisation(struct router *router, const char *name,
				int64_t now_us, struct effects *effects);

/** Submit a request: it is queued, started or refused at once. */
void router_submit(struct router *router, const struct router_request *request,
		   int64_t now_us, struct effects *effects);

/**
 * End all requests with RESULT_STOPPING: as not run where no server was asked.
 */
void router_stop(struct router *router, int64_t now_us,
		 struct effects *effects);

/** The caller disconnected: end its request and cancel the attempts. */
void router_caller_left(struct router *router, uint64_t id, int64_t now_us,
			struct effects *effects);

/** End all requests of a withdrawn key, including running streams. */
void router_withdraw_key(struct router *router, const char *key_id,
			 int64_t now_us, struct effects *effects);

/** An attempt in progress. */
struct router_attempt_view {
	const char *address; /**< of its server */
	uint64_t version;    /**< of its server, by hash */
	int64_t us;	     /**< time since it was started */
};

/** Describe an attempt; false if it isn't in progress. */
bool router_attempt(const struct router *router, uint64_t id, int64_t attempt,
		    int64_t now_us, struct router_attempt_view *view);

/** No server has this version. */
#define ROUTER_VERSION_NONE UINT64_MAX

/** The running request goes on at that version alone. */
void router_fix_version(struct router *router, uint64_t id, uint64_t version);

void router_sent(struct router *router, const struct event_attempt_sent *sent,
		 int64_t now_us, struct effects *effects);
void router_tokens(struct router *router,
		   const struct event_attempt_tokens *tokens, int64_t now_us,
		   struct effects *effects);
void router_ended(struct router *router,
		  const struct event_attempt_ended *ended, int64_t now_us,
		  struct effects *effects);

/** The fleet changed (announcement, removal, lease expiry): dispatch again. */
void router_fleet_changed(struct router *router, int64_t now_us,
			  struct effects *effects);

/** Process a cache event, a hint of which server holds a prefix. */
void router_cache(struct router *router, const struct event_cache *cache,
		  int64_t now_us);

/** A backend server is lost; its attempts end when the edge reports it. */
void router_backend_lost(struct router *router, const char *address,
			 int64_t now_us, struct effects *effects);

/**
 * Send no requests to a service's backend servers, or go on with that. Requests
 * wait meanwhile.
 */
void router_pause(struct router *router, const char *service, bool paused,
		  int64_t now_us, struct effects *effects);

/**
 * Take back all requests that wait for a service, without an answer. None of
 * them is being sent.
 */
void router_withdraw(struct router *router, const char *service,
		     void (*taken)(void *data, uint64_t id, bool may_have_run),
		     void *data, int64_t now_us);

/**
 * Set the daemon that assigns shares and the live daemons, including this
 * one. Called whenever either changes. `allocator` is 0 if there is none.
 */
void router_peers(struct router *router, uint64_t allocator,
		  const uint64_t *members, int n, int64_t now_us);

/** Process a message from another daemon's router. */
enum result router_message(struct router *router, uint64_t peer,
			   const struct bytes *body, int64_t now_us,
			   struct effects *effects);

/** Do the work that is due: expiry, retries, shares, preemption. */
void router_tick(struct router *router, int64_t now_us,
		 struct effects *effects);

/** Stop accepting requests; those already accepted are completed. */
void router_drain(struct router *router, int64_t now_us);

/**
 * A server of the service has asked for time (load/backoff.h): requests that
 * wait and can't be served in time any more are refused.
 */
void router_backed_off(struct router *router, const char *service,
		       int64_t now_us, struct effects *effects);

/** Number of requests that wait or run. */
int64_t router_load(const struct router *router);

/** Latest time of the next router_tick() call. */
int64_t router_next_tick(const struct router *router, int64_t now_us);

/** Counts of one class on this daemon, for status and metrics. */
struct router_class_view {
	const char *name;
	int tier;
	int64_t waiting;
	int64_t running;
	int64_t oldest_us; /**< wait time of the oldest waiting request */
};

/** The attempt's first event has come and is held: it has an answer. */
void router_held(struct router *router, uint64_t id, int64_t number,
		 int64_t now_us);

/** This VM itself stood still between the two times. */
void router_stood_still(struct router *router, int64_t from_us,
			int64_t until_us);

/** This VM's number among those that send to the backend servers. */
void router_set_vm(struct router *router, const struct server_limit_vm *vm);

/** Crashes that another VM told of; false if all were known. */
bool router_merge_crashes(struct router *router,
			  const struct poison_report *report, int64_t now_us);

/** Tells a daemon whose link came up of all crashes, on LINK_SHARE. */
void router_tell_crashes(const struct router *router, uint64_t peer,
			 int64_t now_us, struct effects *effects);

/** What another VM told of a part of prompts; false if all was known. */
bool router_merge_part(struct router *router, const struct part_report *report,
		       int64_t now_us);

/** Whether any crash of a server counts against a part of prompts. */
bool router_counts_crashes(const struct router *router);

/**
 * That start of a server was heard of at `heard_us`: answers that broke off there
 * before didn't crash it.
 */
void router_server_lives(struct router *router, const char *address,
			 const char *boot_id, int64_t heard_us, int64_t now_us);

/** Whether that start of a server was heard of at `since_us` or later. */
typedef bool router_lives_fn(void *data, const char *address, uint64_t start,
			     int64_t since_us);

/**
 * Answers whose callers left prove their parts sound if their servers live on;
 * to be called now and then.
 */
void router_settle_left(struct router *router, router_lives_fn *lives,
			void *data, int64_t now_us);

/** See part_take_news(). */
void router_take_part_news(struct router *router, int64_t now_us,
			   void (*visit)(void *data,
					 const struct part_report *report,
					 bool suspect),
			   void *data);

/** Calls `visit` for each part of prompts under which a server crashed. */
void router_visit_parts(const struct router *router, part_visitor *visit,
			void *data);

/** Calls `visit` for each request under which a server crashed. */
void router_visit_crashes(const struct router *router, int64_t now_us,
			  void (*visit)(void *data,
					const struct poison_report *report),
			  void *data);

/** Outcomes of a service's requests by tier, of which there are SCHED_TIERS. */
typedef void unserved_visitor(void *data, const char *service,
			      const struct unserved_count *counts);

/** Whether a request has got nothing since the last call of the next one. */
bool router_has_unserved(const struct router *router);

/** Calls `visit` for each service with outcomes since the last call. */
void router_take_unserved(struct router *router, unserved_visitor *visit,
			  void *data);

/** Over all VMs, that part of the tier's requests gets nothing. */
void router_tier_short(struct router *router, const char *service, int tier,
		       double part, int64_t now_us);

/** Call `visit` for each class. */
void router_visit_classes(const struct router *router, int64_t now_us,
			  void (*visit)(void *data,
					const struct router_class_view *view),
			  void *data);

/** Demand for one pool on this daemon, for fleet planning. */
struct router_pool_view {
	const char *name; /**< model or service */
	bool is_service;
	double by_tier[RULE_TIERS]; /**< running and waiting requests */
	double reclaimable;	    /**< those that may run on cheap servers */
};

/** Call `visit` for each pool. */
void router_visit_pools(const struct router *router,
			void (*visit)(void *data,
				      const struct router_pool_view *view),
			void *data);

#endif
