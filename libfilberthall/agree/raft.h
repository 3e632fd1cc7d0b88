#ifndef FILBERTHALL_AGREE_RAFT_H
#define FILBERTHALL_AGREE_RAFT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "agree/lease.h"
#include "agree/member.h"
#include "base/bytes.h"
#include "base/result.h"
#include "core/effect.h"

/**
 * The Raft consensus algorithm: one replicated log. The code does no I/O and
 * reads no clock: messages, log writes and syncs are returned as effects.
 *
 * The failures that it handles, and what would happen without each guard:
 * - Crash that loses unsynced data: an entry or vote is acknowledged, also by
 *   the member to itself, only once the ticket of its EFFECT_LOG_SYNC is back.
 *   Otherwise an accepted change could vanish, or a voter could vote twice.
 * - Failed sync: never retried, since the kernel may have dropped the pages and
 *   the next sync would falsely succeed. The member keeps following in memory,
 *   acknowledges nothing, never votes, and reports the failure.
 * - Network partition: a leader that a quorum doesn't answer steps down within
 *   one election timeout (check-quorum). A member that comes back doesn't
 *   disturb a working leader (pre-vote, and no vote while a leader is in
 *   contact).
 * - Restarted voter: it doesn't know whether it was in contact with a leader
 *   just before, so it grants no vote for one election timeout. Otherwise it
 *   could break the leader's lease.
 * - Hundreds of daemons: the leader replicates only to voters and to learners
 *   that may become voters. Other learners subscribe to an upstream, a voter or
 *   a learner of their own zone, which relays committed entries only.
 *
 * By default heartbeats are sent every 100 ms and an election starts after 1 s
 * without a leader, which tolerates ten lost heartbeats or a slow disk.
 */

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
};

enum raft_entry_kind {
	RAFT_ENTRY_EMPTY,   /**< the first entry of a new leader */
	RAFT_ENTRY_COMMAND, /**< a command for the state machine */
	RAFT_ENTRY_MEMBERS  /**< the members of the group */
};

/**
 * Faults for tests only: each disables one guard, and a test must then fail.
 */
enum raft_mutant {
	RAFT_MUTANT_NONE,
	RAFT_MUTANT_VOTE_BEFORE_SYNC,
	RAFT_MUTANT_ACK_BEFORE_SYNC,
	RAFT_MUTANT_COUNT_OWN_BEFORE_SYNC,
	RAFT_MUTANT_COMMIT_OLD_TERM,
	RAFT_MUTANT_NO_RESTART_WAIT,
	RAFT_MUTANT_VOTE_WHILE_LEADER_HEARD,
	RAFT_MUTANT_LEASE_WITHOUT_DRIFT,
	RAFT_MUTANT_ORDER_WITHOUT_WAIT,
	RAFT_MUTANT_VOTE_ANY_LOG,
	RAFT_MUTANT_TWO_CHANGES,
	RAFT_MUTANTS
};

struct raft_options {
	struct member self; /**< `role` is ignored */
	uint64_t seed;
	int64_t heartbeat_us;	      /**< to voters */
	int64_t learner_heartbeat_us; /**< to learners; also the interval at
	                              which their entries are batched */
	int64_t election_us;	      /**< shortest time without a leader
	                    	      before an election */
	int64_t drift_ppm;	      /**< maximum rate error of any clock */
	int64_t max_batch_bytes;      /**< of the entries in one message */
	int max_inflight;	      /**< unacknowledged messages with
	                 	      entries per peer */
	int64_t chunk_bytes;	      /**< of a snapshot, in one message */
	int64_t snapshot_bytes;	      /**< size of the log at which a
	                       	      snapshot is due */
	int64_t keep_entries;	      /**< entries kept in the log before a
	                     	      snapshot's index */
	int max_children;	      /**< downstream learners of one
	                 	      upstream */
	struct member_policy policy;
	struct lease_options lease;
	enum raft_mutant mutant; /**< tests only */
};

/** One entry as stored on the disk. The first byte of its body is the kind. */
struct raft_entry {
	int64_t index;
	int64_t term;
	struct bytes body;
};

/** The state read from the disk at start; zeroed for a new member. */
struct raft_persistent_state {
	int64_t term;
	uint64_t vote;
	int64_t snapshot_index; /**< 0 for none */
	int64_t snapshot_term;
	struct bytes snapshot; /**< the body of EFFECT_SNAPSHOT */
	struct raft_entry *entries;
	size_t n_entries;
};

/** What raft_next_committed() returns, in log order. */
enum raft_committed_kind {
	RAFT_COMMITTED_COMMAND,	 /**< apply it */
	RAFT_COMMITTED_SNAPSHOT, /**< replace the whole state with it */
	RAFT_COMMITTED_OTHER	 /**< nothing to apply; only the index
	                    	 advances */
};

struct raft_committed {
	enum raft_committed_kind kind;
	int64_t index;
	int64_t term;
	const char *data; /**< valid until the next call on the raft */
	size_t len;
};

/** Counters for metrics. */
struct raft_counters {
	int64_t elections;
	int64_t messages_sent;
	int64_t bytes_sent;
	int64_t messages_received;
	int64_t bytes_received;
	int64_t entries_committed;
	int64_t snapshots_sent;
	int64_t syncs;
};

struct raft;

/** The default options; the caller sets `self` and `seed`. */
struct raft_options raft_default_options(void);

/** A member without any state; its timers start at now_us. */
struct raft *raft_new(const struct raft_options *options, int64_t now_us);
void raft_free(struct raft *raft);

/**
 * Load the state read from the disk; call it before any other function.
 * Committed entries are returned again by raft_next_committed() once the group
 * confirms them, a snapshot at once.
 *
 * @return RESULT_OK, or RESULT_LOG_DAMAGED if the state is inconsistent
 */
enum result raft_restore(struct raft *raft,
			 const struct raft_persistent_state *saved);
void raft_persistent_state_clear(struct raft_persistent_state *saved);

/** Create a new group with this member as its only voter. */
enum result raft_bootstrap(struct raft *raft, int64_t now_us,
			   struct effects *effects);

/** Advance the time; call it at least every heartbeat_us / 2. */
void raft_tick(struct raft *raft, int64_t now_us, struct effects *effects);

/** Handle a LINK_RAFT message from the member `peer`. */
void raft_message(struct raft *raft, uint64_t peer, const char *data,
		  size_t len, int64_t now_us, struct effects *effects);

/** Handle EVENT_DISK_SYNCED. */
void raft_synced(struct raft *raft, int64_t ticket, int64_t now_us,
		 struct effects *effects);

/** Handle EVENT_DISK_FAILED: nothing is acknowledged from now on. */
void raft_disk_failed(struct raft *raft, enum result code, int64_t now_us,
		      struct effects *effects);

/** Handle EVENT_LINK_UP and EVENT_LINK_DOWN. */
void raft_peer_up(struct raft *raft, uint64_t peer, int64_t now_us,
		  struct effects *effects);
void raft_peer_down(struct raft *raft, uint64_t peer, int64_t now_us,
		    struct effects *effects);

/**
 * Append a command. It is accepted only once raft_next_committed() returns an
 * entry with this index and term; if the entry at this index has another term,
 * the command is lost.
 *
 * @return RESULT_OK, RESULT_NOT_LEADER, RESULT_TOO_LARGE
 */
enum result raft_propose(struct raft *raft, const char *data, size_t len,
			 int64_t now_us, struct effects *effects,
			 int64_t *index, int64_t *term);

/** The next committed entry or snapshot; false if there is none. */
bool raft_next_committed(struct raft *raft, struct raft_committed *out);

/** Whether the caller should call raft_set_snapshot() with a snapshot now. */
bool raft_needs_snapshot(const struct raft *raft);

/**
 * Store a snapshot of the state machine, taken at `index`, the last entry that
 * raft_next_committed() returned.
 */
void raft_set_snapshot(struct raft *raft, int64_t index, const char *data,
		       size_t len, int64_t now_us, struct effects *effects);

/**
 * Change the membership at an operator's request; leader only.
 *
 * @return RESULT_OK once proposed, RESULT_NOT_LEADER, RESULT_MEMBER_BUSY,
 *         RESULT_NOT_CAUGHT_UP, RESULT_NOT_FOUND, RESULT_NO_QUORUM
 */
enum result raft_change_member(struct raft *raft,
			       const struct member_change *change,
			       int64_t now_us, struct effects *effects);

/**
 * Change the policy of the leader's membership repair; the next repair step
 * uses it.
 */
void raft_set_policy(struct raft *raft, const struct member_policy *policy);

/** Start a leadership transfer before a planned stop. */
void raft_transfer(struct raft *raft, int64_t now_us, struct effects *effects);

/** Whether a planned stop no longer has to wait for a leadership transfer. */
bool raft_transfer_done(const struct raft *raft);

uint64_t raft_self(const struct raft *raft);
enum raft_role raft_role(const struct raft *raft);
bool raft_is_leader(const struct raft *raft);
bool raft_is_voter(const struct raft *raft);
bool raft_disk_has_failed(const struct raft *raft);
int64_t raft_term(const struct raft *raft);

/** The leader's id, 0 if none is known. */
uint64_t raft_leader(const struct raft *raft);
int64_t raft_last_index(const struct raft *raft);
int64_t raft_commit_index(const struct raft *raft);

/** Index of the last entry returned by raft_next_committed(). */
int64_t raft_applied_index(const struct raft *raft);

/** The current membership; raft_members_index() grows whenever it changes. */
const struct members *raft_members(const struct raft *raft);
int64_t raft_members_index(const struct raft *raft);

/** Whether a lease read is allowed: the state applied here is the latest. */
bool raft_may_read(const struct raft *raft, int64_t now_us);

/**
 * The time, on this member's clock, at which a leader still had a quorum and
 * whose committed entries have all reached this member. `now_us` minus this
 * value bounds the staleness of this member's state. INT64_MIN / 4 if no such
 * time is known.
 */
int64_t raft_fresh_us(const struct raft *raft, int64_t now_us);

/**
 * When raft_tick() may start an election; INT64_MAX for leaders and for members
 * that can't vote.
 */
int64_t raft_election_us(const struct raft *raft);

/** The lease to give orders, which the leader holds. */
const struct lease *raft_lease(const struct raft *raft);

/** The leader's view of the health of member `id`; false if it has none. */
bool raft_health(const struct raft *raft, uint64_t id,
		 struct member_health *out);

/**
 * Leader only: how many members have applied `index`; `*members` gets the size
 * of the group.
 */
size_t raft_applied_on(const struct raft *raft, int64_t index, size_t *members);

const struct raft_counters *raft_counters(const struct raft *raft);

#endif
