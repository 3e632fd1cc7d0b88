#ifndef FILBERTHALL_AGREE_RAFT_INTERNAL_H
#define FILBERTHALL_AGREE_RAFT_INTERNAL_H

#include "agree/raft.h"
#include "base/list.h"
#include "base/map.h"
#include "base/rng.h"

/** Internals shared by the raft_*.c files; not for other modules. */

#define RAFT_NEVER (INT64_MIN / 4)
#define RAFT_MAX_INFLIGHT 32
#define RAFT_MAX_ENTRY_BYTES (4 * 1024 * 1024)
#define RAFT_MAX_SNAPSHOT_BYTES (INT64_C(256) * 1024 * 1024)

/** The part of the log that is kept in memory: all entries after some index. */
struct raft_log {
	struct raft_entry *items;
	size_t count;
	size_t capacity;
	int64_t first;	     /**< index of items[0] */
	int64_t before_term; /**< term of the entry before it */
	int64_t bytes;	     /**< of all bodies */
};

enum raft_message_kind {
	RAFT_PREVOTE = 1,
	RAFT_PREVOTE_REPLY,
	RAFT_VOTE,
	RAFT_VOTE_REPLY,
	RAFT_APPEND,
	RAFT_APPEND_REPLY,
	RAFT_CHUNK, /**< part of a snapshot */
	RAFT_CHUNK_REPLY,
	RAFT_TIMEOUT_NOW, /**< start an election at once: leadership transfer */
	RAFT_JOIN,	  /**< a VM asks to become a member */
	RAFT_SUBSCRIBE,	  /**< a learner asks to receive entries */
	RAFT_SUBSCRIBE_REFUSED
};

enum raft_message_flag {
	RAFT_GRANTED = 1,
	RAFT_REJECTED = 2,
	RAFT_DISK_HAS_FAILED = 4, /**< the sender's disk failed; it acknowledges
		  	   nothing */
	RAFT_TRANSFER = 8,	  /**< a vote request on behalf of the leader,
	                   during a transfer */
	RAFT_RELAYED = 16,	  /**< relayed by an upstream: committed entries
	                   only */
	RAFT_REMOVED = 32	  /**< the receiver is no longer a member */
};

/**
 * The state of a downstream learner, as an upstream reports it to its own
 * upstream.
 */
struct raft_report {
	uint64_t id;
	int64_t applied;
	int64_t age_ms; /**< since the last contact */
};

/** One message; fields that are 0 are omitted on the wire. */
struct raft_message {
	int64_t kind;
	int64_t term;
	int64_t index;	  /**< index of the previous or last entry, or of a
	              	  snapshot */
	int64_t log_term; /**< term of the entry at `index` */
	int64_t commit;
	int64_t sent_us;  /**< sender's clock, when it sent this */
	int64_t echo_us;  /**< `sent_us` of the latest message that the
	                  sender got from the receiver */
	int64_t age_us;	  /**< time since the leader last had a quorum, plus
	               	  1; 0 for unknown */
	int64_t match;	  /**< last index that matches the leader's log and
	              	  is durable */
	int64_t received; /**< last index that matches the leader's log */
	int64_t applied;
	int64_t flags;
	int64_t offset; /**< in a snapshot; hop count of a RAFT_JOIN */
	int64_t total;	/**< size of the whole snapshot in bytes */
	uint64_t leader;
	const char *data; /**< not owned */
	size_t len;
	/** Decoded: owned array. To be encoded: points into the log. */
	struct raft_entry *entries;
	size_t n_entries;
	struct raft_report *reports; /**< owned */
	size_t n_reports;
};

/** Another member, or a VM that has a link to this one. */
struct raft_peer {
	struct list node;
	struct map_node by_id;
	uint64_t id;
	bool is_member;	   /**< in the current membership */
	bool is_voter;	   /**< it is a voter */
	bool has_disk;	   /**< it has a disk, so it may become a voter */
	bool up;	   /**< the link to it is up */
	bool replicating;  /**< entries are sent to it */
	bool downstream;   /**< it subscribed to this member's entries */
	bool probing;	   /**< its last matching entry is unknown: only one
	             	  message with entries at a time */
	bool vote_granted; /**< it granted its (pre-)vote in the current
	                  	election */
	bool disk_failed;  /**< its disk has failed */
	bool reported_by_child; /**< its state comes from the report of a
	                        downstream */
	int64_t next;		/**< next index to send */
	int64_t match;		/**< last index that is durable there */
	int64_t received;	/**< last index received there */
	int64_t applied;
	int64_t inflight[RAFT_MAX_INFLIGHT]; /**< last index of each
	                                     unacknowledged message */
	int n_inflight;
	int64_t sent_us;      /**< last append or chunk sent */
	int64_t data_sent_us; /**< last append with entries, or chunk, sent */
	int64_t last_answered_us; /**< when the latest message that it
	                          answered was sent */
	int64_t last_acked_us;	  /**< the same, while its disk works */
	int64_t echo_clock_us;	  /**< its clock in its last append of this
	                       term, echoed in replies */
	int64_t peer_clock_us;	  /**< its clock in its last reply, echoed in
	                       appends */
	int64_t last_contact_us;  /**< last contact, see raft_contact_us() */
	int64_t reported_applied; /**< `applied` as last reported to the
	                          upstream, and when */
	int64_t reported_us;
	int64_t snapshot_index;	 /**< index of the snapshot being sent, 0 for
	                       	 none */
	int64_t snapshot_offset; /**< bytes acknowledged */
	bool chunk_sent;	 /**< the chunk at snapshot_offset was sent */
};

/** A requested sync that hasn't completed. */
struct raft_pending_sync {
	struct list node;
	int64_t ticket;
	int64_t last_index; /**< last index that it makes durable */
	int64_t term;	    /**< term that it makes durable */
};

/** A message to be sent once a sync completes. */
struct raft_deferred_message {
	struct list node;
	int64_t ticket;
	uint64_t peer;
	struct bytes body;
};

struct raft {
	struct raft_options options;
	struct rng rng;
	struct raft_counters counters;

	/* on the disk */
	int64_t term;
	uint64_t vote;
	struct raft_log log;
	int64_t snapshot_index;
	int64_t snapshot_term;
	struct bytes snapshot; /**< as on the disk */

	/* syncs */
	bool dirty;		/**< writes of the current call have no sync
	           		ticket yet */
	bool disk_failed;	/**< the disk has failed */
	bool self_vote_granted; /**< the vote for ourselves is durable */
	int64_t last_ticket;
	int64_t synced_index;
	struct list tickets;
	struct list deferred;

	/* progress */
	enum raft_role role;
	bool removed; /**< another member replied that this one was removed */
	uint64_t leader;
	int64_t commit;
	int64_t applied;

	/* as follower */
	int64_t verified;	   /**< the log matches the leader's up to
	                 	   this index */
	int64_t acknowledged;	   /**< `match` as last sent to the leader or
	                     	   upstream */
	int64_t leader_contact_us; /**< when the leader was last in contact */
	int64_t election_at_us;
	int64_t fresh_us;
	int64_t chunk_index; /**< of the snapshot being received */
	int64_t chunk_term;
	struct bytes chunk;

	/* as leader */
	int64_t elected_us;
	int64_t first_own_index; /**< index of the empty entry that started
	                         our term */
	bool transferring;	 /**< stays set for the rest of the term */
	bool transfer_sent;
	int64_t transfer_until_us;
	int64_t repair_at_us;
	int64_t last_run_us; /**< last message or tick */
	struct lease lease;

	/* as learner */
	uint64_t upstream;
	int upstream_attempt;
	int link_attempts; /**< requests for a link to the current upstream */
	int64_t upstream_contact_us;
	int64_t subscribe_at_us;
	int64_t join_at_us;
	int64_t report_at_us;

	/* configuration */
	struct members members;
	int64_t members_index;
	struct members joining; /**< leader: VMs to be added by the next
	                        entry */
	int voters;		/**< number of voters in `members` */
	bool self_is_member;	/**< this member is in `members` */
	bool self_is_voter;
	struct list peers;
	struct map peers_by_id;
};

/* raft_log.c */
void raft_log_reset(struct raft_log *log, int64_t index, int64_t term);
void raft_log_clear(struct raft_log *log);
int64_t raft_log_last(const struct raft_log *log);
int64_t raft_log_term(const struct raft_log *log, int64_t index);
struct raft_entry *raft_log_at(const struct raft_log *log, int64_t index);
struct raft_entry *raft_log_push(struct raft_log *log, int64_t term,
				 const char *data, size_t len);
void raft_log_truncate(struct raft_log *log, int64_t from);
void raft_log_drop(struct raft_log *log, int64_t upto);

/* raft_message.c */
void raft_message_encode(const struct raft_message *message, struct bytes *out);
bool raft_message_decode(struct raft_message *message, const char *data,
			 size_t len);
void raft_message_clear(struct raft_message *message);

/* raft_disk.c */
void raft_write_hard_state(struct raft *raft, struct effects *effects);
void raft_write_append(struct raft *raft, const struct raft_entry *entry,
		       struct effects *effects);
void raft_mark_unsynced(struct raft *raft, int64_t from);
void raft_write_truncate(struct raft *raft, int64_t from,
			 struct effects *effects);
void raft_write_snapshot(struct raft *raft, struct effects *effects);
void raft_send(struct raft *raft, uint64_t peer,
	       const struct raft_message *message, struct effects *effects);
void raft_send_after_sync(struct raft *raft, uint64_t peer,
			  const struct raft_message *message,
			  struct effects *effects);
void raft_finish(struct raft *raft, int64_t now_us, struct effects *effects);
void raft_emit_log(struct effects *effects, enum log_level level,
		   const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/* raft_election.c */
bool raft_can_vote(const struct raft *raft);

/**
 * Leader: treat all linked peers as in contact at now_us, because contact was
 * not recorded until now.
 */
void raft_reset_contact_times(struct raft *raft, int64_t now_us);

void raft_reset_election(struct raft *raft, int64_t now_us);
void raft_reset_verified(struct raft *raft);
void raft_become_follower(struct raft *raft, int64_t term, uint64_t leader,
			  int64_t now_us, struct effects *effects);
void raft_campaign(struct raft *raft, bool transfer, int64_t now_us,
		   struct effects *effects);
void raft_prevote(struct raft *raft, int64_t now_us, struct effects *effects);
void raft_count_votes(struct raft *raft, int64_t now_us,
		      struct effects *effects);
void raft_on_vote(struct raft *raft, struct raft_peer *peer,
		  const struct raft_message *message, int64_t now_us,
		  struct effects *effects);
void raft_on_vote_reply(struct raft *raft, struct raft_peer *peer,
			const struct raft_message *message, int64_t now_us,
			struct effects *effects);
void raft_on_timeout_now(struct raft *raft, const struct raft_message *message,
			 int64_t now_us, struct effects *effects);

/* raft_replicate.c */
struct raft_entry *raft_append_own(struct raft *raft, enum raft_entry_kind kind,
				   const char *data, size_t len,
				   struct effects *effects);
void raft_replicate_to(struct raft *raft, struct raft_peer *peer,
		       bool heartbeat, int64_t now_us, struct effects *effects);
/** Record which message a reply answers. */
void raft_record_answer(struct raft_peer *peer,
			const struct raft_message *message, int64_t now_us);

/** Whether the data last sent to a peer was lost. */
bool raft_last_send_was_lost(const struct raft_peer *peer);

void raft_replicate_all(struct raft *raft, bool notice, int64_t now_us,
			struct effects *effects);
void raft_tick_replication(struct raft *raft, int64_t now_us,
			   struct effects *effects);
void raft_advance_commit(struct raft *raft, int64_t now_us,
			 struct effects *effects);
int64_t raft_quorum_us(const struct raft *raft, int64_t now_us);
void raft_renew_lease(struct raft *raft, int64_t now_us);
void raft_on_append_reply(struct raft *raft, struct raft_peer *peer,
			  const struct raft_message *message, int64_t now_us,
			  struct effects *effects);

/* raft_follow.c */
void raft_on_append(struct raft *raft, struct raft_peer *peer,
		    const struct raft_message *message, int64_t now_us,
		    struct effects *effects);
void raft_acknowledge(struct raft *raft, int64_t now_us,
		      struct effects *effects);

/* raft_snapshot.c */
struct members raft_snapshot_members(const struct raft *raft);
bool raft_snapshot_split(const struct bytes *body, struct members *members,
			 const char **state, size_t *len);
void raft_send_chunk(struct raft *raft, struct raft_peer *peer, int64_t now_us,
		     struct effects *effects);
void raft_on_chunk(struct raft *raft, struct raft_peer *peer,
		   const struct raft_message *message, int64_t now_us,
		   struct effects *effects);
void raft_on_chunk_reply(struct raft *raft, struct raft_peer *peer,
			 const struct raft_message *message, int64_t now_us,
			 struct effects *effects);

/* raft_member.c */
struct raft_peer *raft_peer_find(const struct raft *raft, uint64_t id);
struct raft_peer *raft_peer_get(struct raft *raft, uint64_t id, int64_t now_us);
bool raft_leader_replicates_to(const struct raft_peer *peer);
void raft_members_changed(struct raft *raft, struct effects *effects);
void raft_scan_members(struct raft *raft, struct effects *effects);
void raft_adopt_members(struct raft *raft, const struct raft_entry *entry,
			struct effects *effects);
void raft_tick_members(struct raft *raft, int64_t now_us,
		       struct effects *effects);
void raft_on_join(struct raft *raft, const struct raft_message *message,
		  struct effects *effects);

/* raft_learner.c */
int64_t raft_upstream_age_limit(const struct raft *raft);
bool raft_accepts_relayed(const struct raft *raft,
			  const struct raft_peer *peer);
void raft_tick_learner(struct raft *raft, int64_t now_us,
		       struct effects *effects);
void raft_tick_join(struct raft *raft, int64_t now_us, struct effects *effects);
void raft_on_subscribe(struct raft *raft, struct raft_peer *peer,
		       const struct raft_message *message, int64_t now_us,
		       struct effects *effects);
void raft_on_subscribe_refused(struct raft *raft, struct raft_peer *peer,
			       const struct raft_message *message,
			       struct effects *effects);
void raft_add_reports(struct raft *raft, struct raft_message *message,
		      int64_t now_us);
void raft_apply_reports(struct raft *raft, const struct raft_message *message,
			int64_t now_us);

#endif
