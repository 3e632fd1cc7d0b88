#ifndef FILBERTHALL_CORE_CORE_STATE_H
#define FILBERTHALL_CORE_CORE_STATE_H

#include <jansson.h>

#include "agree/apply.h"
#include "base/map.h"
#include "base/rng.h"
#include "core/core.h"
#include "core/demand.h"
#include "core/metrics.h"
#include "fleet/backend.h"
#include "fleet/drain.h"
#include "fleet/order.h"
#include "fleet/reclaim.h"
#include "fleet/spend.h"
#include "fleet/target.h"
#include "load/router.h"
#include "usage/merge.h"
#include "usage/report.h"

/**
 * State of the reducer and the functions that its source files call of each
 * other. Internal to core/.
 */

/**
 * Claims are opened under an owner number: the daemon's incarnation with a
 * counter in its low bits, so that a daemon wrongly considered dead gets a new
 * number without a restart.
 */
#define CORE_FIRST_CLAIM_OWNER(incarnation) ((uint64_t)(incarnation) << 16)

/** Deadline of requests whose class has none. */
#define REQUEST_MAX_DEADLINE_US INT64_C(600000000)

/** Progress of a caller's request. */
enum request_state {
	REQUEST_CLAIMING,	/**< its claim has been proposed */
	REQUEST_AWAITING_CLAIM, /**< the same call is running elsewhere */
	REQUEST_ROUTED,		/**< with the router */
};

struct caller_request {
	struct map_node node; /**< core.requests, by id */
	struct list
		claim_waiters_node; /**< core.claim_waiters, until its claim is granted */
	struct event *event; /**< EVENT_REQUEST, owned */
	enum request_state state;
	char *key_id;
	char *organisation;
	char *class_name;
	char claim_id[CLAIM_ID_SIZE]; /**< empty: not claimed */
	bool idempotent;
	bool caller_left;
	int64_t arrived_us;
	int64_t deadline_us;
	int64_t claim_granted_us; /**< when the claim was granted, 0 if none */
};

/** Another daemon. */
struct peer {
	struct map_node node; /**< core.peers, by id */
	uint64_t id;
	char *zone;
	bool up;
	bool opened; /**< a LINK_OPEN effect was added */
};

/** A log entry that this daemon has proposed. */
struct proposal {
	struct list node;
	uint64_t ticket;
	struct bytes entry;
	uint64_t admin_id; /**< operator's call to answer afterwards, or 0 */
	int64_t sent_us;
	int64_t expires_us;
	int64_t index; /**< on the leader: its log index, else 0 */
	int64_t term;
};

/** An operator's call that waits for the leader or for all daemons. */
struct pending_call {
	struct list node;
	uint64_t id;	    /**< listener's id, or the forwarder's ticket */
	uint64_t peer;	    /**< where to send the answer, 0: own listener */
	uint64_t ticket;    /**< of a call sent to the leader, else 0 */
	uint64_t leader;    /**< member id that it was sent to */
	int64_t wait_index; /**< settings-wait: index that all must apply */
	int64_t started_us;
	int64_t expires_us;
};

struct core {
	struct core_options options;
	struct rng rng;
	struct raft *raft;
	struct agreed *agreed;
	struct fleet fleet;
	struct router *router;
	struct usage *usage;
	struct report *report;
	struct metrics *metrics;
	struct demand *demand;
	struct target *target;
	struct orders *orders;
	struct drains *drains;
	struct reclaims *reclaims;
	struct spend *spend;
	struct map requests;
	struct map peers;
	struct list claim_waiters; /**< requests that wait for a claim */
	struct list proposals;
	struct list pending_calls;
	uint64_t next_ticket;
	uint64_t claim_owner; /**< incarnation under which claims are opened */
	uint64_t router_leader;	     /**< leader last passed to the router */
	int64_t links_members_index; /**< membership that the links match */
	int64_t peers_version; /**< increases when a link comes up or goes down */
	int64_t router_peers_version;
	int64_t wall_us;
	int64_t slow_tick_us;	     /**< last run of the slow periodic work */
	int64_t demand_sent_us;	     /**< when demand was last sent */
	int64_t digest_sent_us;	     /**< when the last digest was sent */
	int64_t offers_requested_us; /**< when offers were last requested */
	int64_t planned_us;	     /**< when the fleet was last planned */
	bool holds_lease;	     /**< at the last tick */
	uint64_t window_ticket;	     /**< of the last proposed window */
	int64_t stop_deadline_us;    /**< 0 unless stopping */
	bool seeded;
	bool fleet_updated; /**< the router hasn't processed the change yet */
	bool exited;
	bool leader;
	bool healthy;
	bool published;
	struct effects *effects; /**< of the current step */
	int64_t now_us;		 /**< of the current step */
};

/* request.c: callers' requests */
void request_arrived(struct core *core, struct event *event);
void request_caller_left(struct core *core, uint64_t id);
void request_claim_outcome(struct core *core,
			   const struct claim_outcome *outcome);
void request_claim_changed(struct core *core, const char *claim_id);
void request_withdraw_key(struct core *core, const char *key_id);
void request_expire(struct core *core);
struct caller_request *caller_request_find(struct core *core, uint64_t id);
void caller_request_free(struct core *core, struct caller_request *request);
void request_propose_claim(struct core *core, struct claim_op *op,
			   int64_t expires_us);
void request_free_all(struct core *core);

/* outcome.c: how requests ended */
void outcome_finished(void *data, const struct router_outcome *outcome);

/* answer.c: ends of requests */
void answer_refuse(struct core *core, const struct caller_request *request,
		   enum result code, enum run_state run, int64_t retry_after_ms,
		   const char *message);
void answer_from_claim(struct core *core, const struct caller_request *request,
		       const struct claim *claim);
void answer_span(struct core *core, const struct caller_request *request,
		 const char *name, int64_t start_us, enum result code,
		 const char *detail);

/* consensus.c: applies committed entries */
void consensus_start(struct core *core);
void consensus_apply_committed(struct core *core);
void consensus_tick(struct core *core);
void consensus_slow_tick(struct core *core);
bool consensus_is_fresh(const struct core *core);
struct entry_head consensus_head(struct core *core);

/* propose.c: proposes log entries */
struct proposal *propose_entry(struct core *core, uint64_t ticket,
			       struct bytes *entry, int64_t expires_us);
void propose_retry(struct core *core);
struct proposal *propose_find(struct core *core, uint64_t ticket);
void propose_free(struct proposal *proposal);
void propose_forwarded(struct core *core, const char *entry, size_t len);

/* forward.c: messages of LINK_FORWARD */
void forward_message(struct core *core, uint64_t peer,
		     const struct bytes *body);
void forward_entry(struct core *core, uint64_t peer, const struct bytes *entry);
void forward_admin(struct core *core, uint64_t peer, uint64_t ticket,
		   const char *key_id, const char *command,
		   const struct bytes *body);
void forward_answer(struct core *core, uint64_t peer, uint64_t ticket,
		    enum result code, const struct bytes *body);

/* operator.c: operators' calls */
void operator_call(struct core *core, const struct event_admin *admin);
void operator_forwarded(struct core *core, uint64_t peer, uint64_t ticket,
			const char *key_id, const char *command,
			const struct bytes *body);
void operator_answered(struct core *core, uint64_t ticket, enum result code,
		       const struct bytes *body);
void operator_applied(struct core *core, struct proposal *proposal,
		      const struct apply_result *applied);
void operator_timed_out(struct core *core, struct proposal *proposal);

/* pending_call.c: calls that wait until a change is in force everywhere */
void pending_call_wait_for_index(struct core *core,
				 struct pending_call *waiting,
				 const struct bytes *args);
void pending_call_tick(struct core *core);
void operator_answer(struct core *core, uint64_t peer, uint64_t id,
		     enum result code, json_t *body);

/* status.c: status for operators and monitoring */
json_t *status_describe(struct core *core);
json_t *status_backends(struct core *core);
json_t *status_zones(struct core *core);
json_t *status_members(struct core *core);
json_t *status_usage(struct core *core);
void status_publish(struct core *core);

/* gossip.c: replicates the fleet's state between daemons */
void gossip_announce(struct core *core, const struct event_announce *announce);
void gossip_cache(struct core *core, const struct event_cache *cache);
void gossip_demand(struct core *core, uint64_t leader,
		   const struct bytes *demand);
void gossip_reclaim_notice(struct core *core, const char *zone, int64_t in_us);
void gossip_drain(struct core *core, const char *address, bool drained);
void gossip_message(struct core *core, uint64_t peer, const struct bytes *body);
void gossip_send_all_backends(struct core *core, uint64_t peer);
void gossip_digest(struct core *core);
void gossip_expire(struct core *core);

/* peers.c: the other daemons */
void peers_up(struct core *core, const struct event_link_up *up);
void peers_down(struct core *core, uint64_t id);
void peers_update_links(struct core *core);
void peers_update_router(struct core *core);
void peers_send(struct core *core, uint64_t peer, enum link_channel channel,
		struct bytes *body);
void peers_send_all(struct core *core, enum link_channel channel,
		    const struct bytes *body);
int peers_live(const struct core *core, uint64_t *ids, int most);
void peers_free_all(struct core *core);

/* billing.c: usage windows and their reports */
void billing_tick(struct core *core);
void billing_message(struct core *core, uint64_t peer,
		     const struct bytes *body);
void billing_platform_answer(struct core *core,
			     const struct event_platform *platform);

/* autoscaler.c: the fleet's plan, orders, stops and cost */
void autoscaler_new(struct core *core);
void autoscaler_free(struct core *core);
void autoscaler_tick(struct core *core);
void autoscaler_reclaim_notice(struct core *core, const char *zone,
			       int64_t in_us);
void autoscaler_receive_demand(struct core *core, uint64_t member,
			       const char *data, size_t len);
void autoscaler_platform_answer(struct core *core,
				const struct event_platform *platform);
void autoscaler_stop_backend(struct core *core, const char *address);
bool autoscaler_cancel_stop(struct core *core, const char *address);
json_t *autoscaler_describe_spend(const struct core *core);
json_t *autoscaler_describe_drains(const struct core *core);

/* autoscaler_settings.c: the fleet's settings */
void autoscaler_read_settings(struct core *core);

/* evacuate.c: zones that the settings evacuate */
void evacuate_read_settings(struct core *core);

/** Describe this daemon as a member. */
void core_fill_member(const struct core *core, struct member *member);

/** Log a line; all but level, module and format may be NULL or 0. */
void core_log(struct core *core, enum log_level level, const char *module,
	      const char *format, ...) __attribute__((format(printf, 4, 5)));

#endif
