#ifndef FILBERTHALL_AGREE_RAFT_INTERNAL_H
#define FILBERTHALL_AGREE_RAFT_INTERNAL_H

#include "agree/raft.h"
#include "base/list.h"
#include "base/map.h"
#include "base/rng.h"

/** What the parts of Raft share; nobody else includes this. */

#define RAFT_NEVER (INT64_MIN / 4)
#define RAFT_MAX_INFLIGHT 32
#define RAFT_MAX_ENTRY_BYTES (4 * 1024 * 1024)
#define RAFT_MAX_SNAPSHOT_BYTES (INT64_C(256) * 1024 * 1024)

/** The tail of the log in memory, all behind some index. */
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
	RAFT_TIMEOUT_NOW, /**< campaign at once: leadership is handed over */
	RAFT_JOIN,	  /**< a VM that isn't in the configuration */
	RAFT_SUBSCRIBE,	  /**< a learner asks to be fed */
	RAFT_SUBSCRIBE_REFUSED
};

enum raft_message_flag {
	RAFT_GRANTED = 1,
	RAFT_REJECTED = 2,
	RAFT_DISK_HAS_FAILED =
		4,	   /**< the sender acknowledges nothing any more */
	RAFT_TRANSFER = 8, /**< a vote asked for by the leader itself */
	RAFT_RELAYED = 16, /**< only committed entries, not from the leader */
	RAFT_REMOVED = 32  /**< the receiver is no member any more */
};

/** What a feeder tells its own feeder about those below it. */
struct raft_report {
	uint64_t id;
	int64_t applied;
	int64_t age_ms; /**< since the last sign of life */
};

/** One message; fields that are 0 aren't sent. */
struct raft_message {
	int64_t kind;
	int64_t term;
	int64_t index;	  /**< previous or last index, or a snapshot's */
	int64_t log_term; /**< term of that entry */
	int64_t commit;
	int64_t sent_us;  /**< sender's clock */
	int64_t echo_us;  /**< receiver's clock as the sender last saw it */
	int64_t age_us;	  /**< since the leader was sure of a quorum, plus 1;
			       0 for unknown */
	int64_t match;	  /**< durable here, same as the leader's */
	int64_t received; /**< received, same as the leader's */
	int64_t applied;
	int64_t flags;
	int64_t offset; /**< in a snapshot; hops of a RAFT_JOIN */
	int64_t total;	/**< bytes of a snapshot */
	uint64_t leader;
	const char *data; /**< not owned */
	size_t len;
	/** Read: owned. Written: index of the first, taken from the log. */
	struct raft_entry *entries;
	size_t n_entries;
	struct raft_report *reports; /**< owned */
	size_t n_reports;
};

/** Another member, or a VM that has a link to us. */
struct raft_peer {
	struct list node;
	struct map_node by_id;
	uint64_t id;
	bool is_member;	  /**< in the present configuration */
	bool is_voter;	  /**< as a voter */
	bool has_disk;	  /**< it may become one */
	bool up;	  /**< its link stands */
	bool replicating; /**< we send entries to it */
	bool downstream;  /**< a learner that asked for them */
	bool probing;	  /**< its log isn't known yet: one message at a time */
	bool vote_granted;	/**< its (pre-)vote in this campaign */
	bool disk_failed;	/**< its disk has failed */
	bool reported_by_child; /**< reported by one of our children */
	int64_t next;		/**< next index to send */
	int64_t match;		/**< durable there */
	int64_t received;	/**< received there */
	int64_t applied;
	int64_t inflight[RAFT_MAX_INFLIGHT]; /**< last indices under way */
	int n_inflight;
	int64_t sent_us;      /**< last append or chunk sent */
	int64_t data_sent_us; /**< last append with entries, or chunk, sent */
	int64_t last_answered_us; /**< newest send time that it answered */
	int64_t last_acked_us;	  /**< the same while its disk works */
	int64_t echo_clock_us; /**< its clock in its last append of this term */
	int64_t peer_clock_us; /**< its clock in its last message */
	int64_t last_contact_us;  /**< last sign of life, see raft_alive_us() */
	int64_t reported_applied; /**< last reported to our feeder, and when */
	int64_t reported_us;
	int64_t snapshot_index;	 /**< being sent, 0 for none */
	int64_t snapshot_offset; /**< bytes acknowledged */
	bool chunk_sent;	 /**< the chunk from there on is under way */
};

/** A sync under way. */
struct raft_pending_sync {
	struct list node;
	int64_t ticket;
	int64_t last_index; /**< durable once it came back */
	int64_t term;	    /**< durable term then */
};

/** A message that waits for a sync. */
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
	bool dirty;		/**< writes of this call have no ticket yet */
	bool disk_failed;	/**< the disk has failed */
	bool self_vote_granted; /**< our own vote is durable */
	int64_t last_ticket;
	int64_t synced_index;
	struct list tickets;
	struct list deferred;

	/* progress */
	enum raft_role role;
	bool removed; /**< a member told us that we were removed */
	uint64_t leader;
	int64_t commit;
	int64_t applied;

	/* as follower */
	int64_t verified;	   /**< log is the leader's up to here */
	int64_t acknowledged;	   /**< match last told to the leader */
	int64_t leader_contact_us; /**< when the leader was last heard */
	int64_t election_at_us;
	int64_t fresh_us;
	int64_t chunk_index; /**< snapshot being received */
	int64_t chunk_term;
	struct bytes chunk;

	/* as leader */
	int64_t elected_us;
	int64_t first_own_index; /**< the empty entry of our term */
	bool transferring;	 /**< sticky for the term */
	bool transfer_sent;
	int64_t transfer_until_us;
	int64_t repair_at_us;
	int64_t last_run_us; /**< last message or tick */
	struct lease lease;

	/* as learner */
	uint64_t upstream;
	int upstream_attempt;
	int link_attempts; /**< times that its link was asked for */
	int64_t upstream_contact_us;
	int64_t subscribe_at_us;
	int64_t join_at_us;
	int64_t report_at_us;

	/* configuration */
	struct members members;
	int64_t members_index;
	struct members joining; /**< leader: to be added next */
	int voters;		/**< in `members` */
	bool self_is_member;	/**< whether we are in it */
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
void raft_unsync(struct raft *raft, int64_t from);
void raft_write_truncate(struct raft *raft, int64_t from,
			 struct effects *effects);
void raft_write_snapshot(struct raft *raft, struct effects *effects);
void raft_send(struct raft *raft, uint64_t peer,
	       const struct raft_message *message, struct effects *effects);
void raft_send_after_sync(struct raft *raft, uint64_t peer,
			  const struct raft_message *message,
			  struct effects *effects);
void raft_finish(struct raft *raft, int64_t now_us, struct effects *effects);
void raft_say(struct effects *effects, enum log_level level, const char *format,
	      ...) __attribute__((format(printf, 3, 4)));

/* raft_election.c */
bool raft_can_vote(const struct raft *raft);

/** Leader: nobody was listened to until now; silence counts from here on. */
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
void raft_feed(struct raft *raft, struct raft_peer *peer, bool heartbeat,
	       int64_t now_us, struct effects *effects);
/** Take in which of our messages a reply answers. */
void raft_record_answer(struct raft_peer *peer,
			const struct raft_message *message, int64_t now_us);

/** Whether what was last sent to a peer won't arrive any more. */
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
