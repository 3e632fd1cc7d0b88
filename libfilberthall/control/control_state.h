#ifndef FILBERTHALL_CONTROL_CONTROL_STATE_H
#define FILBERTHALL_CONTROL_CONTROL_STATE_H

#include "base/list.h"
#include "base/map.h"
#include "control/control.h"
#include "control/ledger.h"
#include "feed/feed.h"
#include "feed/peers.h"
#include "load/affinity.h"
#include "load/part.h"
#include "load/poison.h"
#include "load/retry_history.h"
#include "usage/begun.h"
#include "usage/roster.h"
#include "usage/stepout.h"
#include "usage/wall.h"

/** Records of streams: half a minute's of 5,000 requests a second, or 30 MB. */
#define CONTROL_AFFINITIES_MOST 262144

/** What the files control*.c share; nobody else includes this. */

/** The caller of a change: an operator here, or the VM that forwarded it. */
struct control_caller {
	uint64_t peer; /**< 0: here */
	uint64_t call;
};

/** An operator's change in the log that isn't applied yet. */
struct control_proposal {
	struct list node;
	struct control_caller caller;
	int64_t index;
	int64_t term;
	int64_t expires_us;
	struct document *document; /**< NULL once it is in force */
};

/** An operator's change that was forwarded to the leader. */
struct control_forwarded {
	struct list node;
	uint64_t call;
	uint64_t leader;
	int64_t version;
	int64_t expires_us;
};

/** A usage window to be reported to the platform. */
struct control_report {
	struct list node;
	int64_t window;
	bool under_way;
	int64_t next_us; /**< not tried again before then */
	int tries;
};

struct control {
	struct control_options options;
	char *vm;
	char *zone;
	char *address;
	struct raft *raft;
	struct ledger ledger;
	struct registry registry;
	struct begun begun;
	struct roster roster;
	struct stepout own_wall; /**< this VM's wall clock */
	struct wall wall;
	struct poison poison;	 /**< requests under which servers crashed */
	struct part_watch parts; /**< and parts of prompts */
	struct list unserved;	 /**< of services, struct service_unserved */
	struct retry_history retries;
	int64_t retries_since_us; /**< from when these are complete */
	int64_t heard_since_us;	  /**< from when servers are heard */
	int64_t versions_us;	  /**< when one was last proposed to the log */
	struct affinities affinities; /**< where streams were begun */
	struct map peers;	      /**< struct feed_peer */
	int entry_vms;		      /**< of them */
	uint64_t neighbours_revision; /**< of who is a neighbour of whom */
	struct list proposals;
	struct list forwarded; /**< struct control_forwarded */
	struct list reports;
	struct members announced; /**< members that entry VMs know of */
	int64_t announced_index;  /**< index of that membership in the log */
	int64_t clock_us;	  /**< when FEED_CLOCK was last sent */
	int64_t alive_us;	  /**< when FEED_ALIVE was last sent */
	struct bytes news;	  /**< registrations to be sent in a bundle */
	bool urgent;		  /**< one of them ends the use of a server */
	int64_t news_us;	  /**< when a bundle was last sent */
	bool newcomers;		  /**< entry VMs need the list of all servers */
	int64_t fleet_us;	  /**< when that list was last sent */
	int64_t lists;		  /**< number of lists sent */
	int64_t window_pending;	  /**< proposed and not applied, 0 for none */
	int64_t window_us;	  /**< when it was proposed */
	bool repeated;		  /**< older windows are queued for a report */
	int64_t reported;
	struct document *document; /**< as the ledger's bytes say */
	bool reading;		   /**< READ_DOCUMENT is in progress */
	struct bytes packed;	   /**< the document for entry VMs */
	size_t packed_from;	   /**< length before it was packed */
	int64_t packed_version;	   /**< version of `packed`, 0 for none */
	struct list sizes;	   /**< orders of servers, by place and kind */
	int64_t sized_us;	   /**< when the plan was last made */
	int64_t stop_by_us;	   /**< 0 unless stopping */
	bool leader;		   /**< when last checked */
	bool in_charge;		   /**< when last checked */
	bool exited;
};

/* control.c */
void control_log(struct effects *effects, enum log_level level,
		 const char *module, const char *format, ...)
	__attribute__((format(printf, 4, 5)));
void control_drain(struct control *control, int64_t now_us,
		   struct effects *effects);

/* control_document.c */
void control_new_document(struct control *control, struct document *document,
			  struct effects *effects);
void control_answer_elsewhere(const struct control *control, uint64_t call,
			      const char *what, int64_t version,
			      struct effects *effects);
void control_answer(struct effects *effects, uint64_t call, enum result code,
		    const struct bytes *body);
void control_receive_change(struct control *control, uint64_t id,
			    const struct feed_change *change, int64_t now_us,
			    struct effects *effects);

/* control_proposal.c */

/**
 * Put an entry into the log; the caller is answered once that is over, at once
 * if it can't be done.
 *
 * @param document	what the entry says, taken over; NULL if unread
 * @return NULL if it can't be done
 */
const struct control_proposal *
control_propose(struct control *control, struct control_caller caller,
		struct document *document, const struct bytes *entry,
		int64_t now_us, struct effects *effects);

/** The entry at `index` was applied with that outcome: answer its caller. */
void control_proposals_applied(struct control *control, int64_t index,
			       int64_t term, enum result outcome,
			       struct effects *effects);
void control_answer_change(const struct control_caller *caller,
			   enum result code, struct effects *effects);
bool control_refuse_few_disks(const struct control *control,
			      const struct control_caller *caller,
			      const char *what, struct effects *effects);
struct document *control_proposed_document(struct control *control,
					   int64_t index, int64_t term);
void control_free_proposal(struct control_proposal *proposal);
void control_expire_proposals(struct control *control, int64_t now_us,
			      struct effects *effects);

/* control_evacuation.c */
void control_receive_evacuation(struct control *control, uint64_t id,
				const struct feed_evacuate *evacuate,
				int64_t now_us, struct effects *effects);
void control_evacuations_changed(struct control *control,
				 struct effects *effects);

/* control_forward_document.c */

/** Forward an order to the leader; false if that can't be done. */
bool control_forward_evacuation(struct control *control, uint64_t call,
				const struct evacuation_order *order,
				int64_t now_us, struct effects *effects);

/** Hand a change on to the leader; false if that can't be done. */
bool control_forward_document(struct control *control, uint64_t call,
			      int64_t version, const struct bytes *text,
			      int64_t now_us, struct effects *effects);
void control_receive_change_result(struct control *control, uint64_t peer,
				   const struct feed_changed *changed,
				   struct effects *effects);

/** The link to a VM is down: what was forwarded to it has no outcome. */
void control_forwarded_lost(struct control *control, uint64_t peer,
			    struct effects *effects);
void control_expire_forwarded(struct control *control, int64_t now_us,
			      struct effects *effects);
void control_clear_forwarded(struct control *control);

/* control_demand.c */
void control_receive_demand(struct control *control, uint64_t id,
			    int64_t requests, int64_t now_us);

/** The entry VM's interval of what servers name as limits. */
void control_deal_interval(const struct control *control,
			   const struct feed_peer *to, int64_t now_us,
			   struct feed_state *state);

/* control_unserved.c */
void control_free_unserved(struct control *control);
void control_receive_unserved(struct control *control, uint64_t id,
			      const struct feed_unserved *told, int64_t now_us,
			      struct effects *effects);
void control_receive_short(struct control *control, uint64_t id,
			   const struct feed_short *told, int64_t now_us,
			   struct effects *effects);

/* control_crash.c */
void control_receive_part(struct control *control, uint64_t id,
			  const struct part_report *told, int64_t now_us,
			  struct effects *effects);
void control_tell_parts(struct control *control, int64_t now_us,
			struct effects *effects);
void control_receive_crashes(struct control *control, uint64_t id,
			     const struct poison_report *told, int64_t now_us,
			     struct effects *effects);
void control_tell_crashes_to(const struct control *control,
			     const struct feed_peer *peer, int64_t now_us,
			     struct effects *effects);

/* control_affinity.c */
void control_receive_affinities(struct control *control,
				const struct feed_message *message,
				int64_t now_us);
void control_answer_affinity(struct control *control, uint64_t id,
			     const struct feed_affinity_ask *ask,
			     int64_t now_us, struct effects *effects);

/* control_versions.c */
void control_versions_tick(struct control *control, int64_t now_us,
			   struct effects *effects);

/**
 * Whether servers of the service have or lately had several versions, also
 * while that isn't known.
 */
bool control_versions_differ(const struct control *control, uint64_t service,
			     int64_t now_us);

/* control_retry.c */
void control_receive_retries(struct control *control, uint64_t id,
			     const struct retry_report *report, int64_t now_us,
			     struct effects *effects);
void control_tell_retries_to(const struct control *control,
			     const struct feed_peer *peer, int64_t now_us,
			     struct effects *effects);

/** The link to a process of an entry VM is down. */
void control_process_ended(struct control *control, uint64_t id, int64_t now_us,
			   struct effects *effects);

/* control_neighbours.c */

/** Tell an entry VM of others, if these have changed. */
void control_tell_neighbours(struct control *control, struct feed_peer *to,
			     struct effects *effects);

/* control_ways.c */
void control_note_reach(struct control *control, struct feed_peer *from,
			const struct feed_reach *reach,
			struct effects *effects);

/* control_limit.c */
void control_receive_limit(struct control *control, uint64_t id,
			   const struct feed_limit *told, int64_t now_us,
			   struct effects *effects);
void control_tell_limits_to(const struct control *control,
			    const struct feed_peer *peer, int64_t now_us,
			    struct effects *effects);

/* control_feed.c */

/** Recipients among the connected daemons. */
enum audience { TO_ENTRY, TO_CONTROL };

/** Sends a message to them and frees it. */
void control_send(struct control *control, enum audience audience,
		  struct bytes *body, struct effects *effects);
void control_number_entry_vms(struct control *control);
void control_welcome(struct control *control, const struct feed_peer *peer,
		     int64_t now_us, struct effects *effects);
void control_feed_message(struct control *control, uint64_t peer,
			  const struct bytes *body, int64_t now_us,
			  struct effects *effects);
void control_answer_fetches(struct control *control, struct effects *effects);
void control_send_version(struct control *control, int64_t now_us,
			  struct effects *effects);
void control_send_members(struct control *control, struct effects *effects);
void control_send_evacuations(struct control *control, struct effects *effects);
void control_feed_tick(struct control *control, int64_t wall_us, int64_t now_us,
		       struct effects *effects);

/* control_servers.c */
void control_send_fleet(struct control *control, const struct feed_peer *peer,
			int64_t now_us, struct effects *effects);
void control_welcome_entry(struct control *control, struct feed_peer *peer,
			   int64_t now_us, struct effects *effects);
void control_receive_registration(struct control *control, uint64_t id,
				  const struct feed_message *message,
				  int64_t now_us, struct effects *effects);
void control_receive_end(struct control *control,
			 const struct registry_end *told, int64_t now_us,
			 struct effects *effects);
void control_receive_alive(struct control *control,
			   const struct feed_message *message, int64_t now_us);
int64_t control_news_us(const struct control *control);
void control_servers_tick(struct control *control, int64_t now_us,
			  struct effects *effects);

/* control_duty.c */
void control_duty_tick(struct control *control, int64_t now_us,
		       struct effects *effects);
void control_window_applied(struct control *control);
bool control_may_call(const struct control *control, int64_t now_us);
struct effect_platform_call *
control_platform_call(const struct control *control, const char *verb,
		      struct effects *effects);
void control_drop_reports(struct control *control);

/* control_fleet.c */
void control_fleet_tick(struct control *control, int64_t now_us,
			struct effects *effects);
void control_fleet_answer(struct control *control, const char *order_id,
			  enum result code, int64_t now_us,
			  struct effects *effects);
void control_drop_sizes(struct control *control);

#endif
