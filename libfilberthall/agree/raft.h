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
 * Raft: one log that all members agree on. Pure; messages, log writes and
 * syncs are effects.
 *
 * Failures answered, and what happens without the guard:
 * - Crash with loss of what wasn't synced: an entry or vote is acknowledged
 *   (also to ourselves) only once the ticket of its EFFECT_LOG_SYNC came
 *   back. Otherwise an accepted change is gone, or a voter votes twice.
 * - Failed sync: never retried, since the kernel may have dropped the pages
 *   and the next sync would lie. The member goes on following in memory,
 *   acknowledges nothing, never votes, and says so.
 * - Silent partition: a leader without a quorum's answers steps down within
 *   an election time (check-quorum); a member that comes back doesn't
 *   disturb a working leader (pre-vote; no vote while a leader is heard).
 * - A restarted voter has forgotten that it heard a leader, so it grants no
 *   vote for one election time; otherwise a leader's lease could be broken.
 * - Hundreds of daemons: only voters (and learners that may become voters)
 *   are fed by the leader. Others ask a feeder, a voter or a learner of
 *   their own zone, which passes on committed entries only.
 *
 * By default heartbeats come each 100 ms and an election after 1 s of silence:
 * that bears ten lost heartbeats or a slow disk.
 */

enum raft_role {
	RAFT_FOLLOWER,
	RAFT_PRE_CANDIDATE,
	RAFT_CANDIDATE,
	RAFT_LEADER
};

enum raft_entry_kind {
	RAFT_ENTRY_EMPTY,   /**< a new leader's first entry */
	RAFT_ENTRY_COMMAND, /**< of the state machine */
	RAFT_ENTRY_MEMBERS  /**< a configuration */
};

/** Test-only faults: each takes one guard away, so that a test must fail. */
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
	struct member self; /**< role is ignored */
	uint64_t seed;
	int64_t heartbeat_us;	      /**< to voters */
	int64_t learner_heartbeat_us; /**< to learners, also their batching */
	int64_t election_us;	      /**< shortest silence before election */
	int64_t drift_ppm;	      /**< bound on any clock's rate error */
	int64_t max_batch_bytes;      /**< entries in one message */
	int max_inflight;	      /**< messages with entries on the way */
	int64_t chunk_bytes;	      /**< of a snapshot in one message */
	int64_t snapshot_bytes;	      /**< log bytes that call for one */
	int64_t keep_entries;	      /**< kept behind a snapshot */
	int max_children;	      /**< learners fed by one feeder */
	struct member_policy policy;
	struct lease_options lease;
	enum raft_mutant mutant; /**< tests only */
};

/** One entry as it is on the disk: the body's first byte is its kind. */
struct raft_entry {
	int64_t index;
	int64_t term;
	struct bytes body;
};

/** What a start finds on the disk; zeroed for a new member. */
struct raft_persistent_state {
	int64_t term;
	uint64_t vote;
	int64_t snapshot_index; /**< 0 for none */
	int64_t snapshot_term;
	struct bytes snapshot; /**< as EFFECT_SNAPSHOT had it */
	struct raft_entry *entries;
	size_t n_entries;
};

/** What comes out of the log, in order. */
enum raft_committed_kind {
	RAFT_COMMITTED_COMMAND,	 /**< apply it */
	RAFT_COMMITTED_SNAPSHOT, /**< replace the whole state by it */
	RAFT_COMMITTED_OTHER	 /**< nothing to apply, only the index */
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

/** Options with the defaults above; `self` and `seed` are to be filled. */
struct raft_options raft_default_options(void);

/** A member that knows nothing yet; it starts its waiting times at now_us. */
struct raft *raft_new(const struct raft_options *options, int64_t now_us);
void raft_free(struct raft *raft);

/**
 * Take up what the disk holds; before any other call. Committed entries are
 * handed out again as the group confirms them, a snapshot at once.
 *
 * @return RESULT_OK, or RESULT_LOG_DAMAGED if it makes no sense
 */
enum result raft_restore(struct raft *raft,
			 const struct raft_persistent_state *saved);
void raft_persistent_state_clear(struct raft_persistent_state *saved);

/** Found a new group with this member as its only voter. */
enum result raft_bootstrap(struct raft *raft, int64_t now_us,
			   struct effects *effects);

/** Let time pass; call at least every heartbeat_us / 2. */
void raft_tick(struct raft *raft, int64_t now_us, struct effects *effects);

/** A message of LINK_RAFT from the member `peer`. */
void raft_message(struct raft *raft, uint64_t peer, const char *data,
		  size_t len, int64_t now_us, struct effects *effects);

/** EVENT_DISK_SYNCED. */
void raft_synced(struct raft *raft, int64_t ticket, int64_t now_us,
		 struct effects *effects);

/** EVENT_DISK_FAILED: from here on nothing is acknowledged any more. */
void raft_disk_failed(struct raft *raft, enum result code, int64_t now_us,
		      struct effects *effects);

/** EVENT_LINK_UP and EVENT_LINK_DOWN. */
void raft_peer_up(struct raft *raft, uint64_t peer, int64_t now_us,
		  struct effects *effects);
void raft_peer_down(struct raft *raft, uint64_t peer, int64_t now_us,
		    struct effects *effects);

/**
 * Append a command. It is accepted only once raft_next_committed() hands out
 * an entry of this index and term; another term there means that it is lost.
 *
 * @return RESULT_OK, RESULT_NOT_LEADER, RESULT_TOO_LARGE
 */
enum result raft_propose(struct raft *raft, const char *data, size_t len,
			 int64_t now_us, struct effects *effects,
			 int64_t *index, int64_t *term);

/** The next committed entry or snapshot; false if there is none. */
bool raft_next_committed(struct raft *raft, struct raft_committed *out);

/** Whether the state should be written as a snapshot now. */
bool raft_need_snapshot(const struct raft *raft);

/** The state as of the last entry handed out (its index). */
void raft_snapshot_done(struct raft *raft, int64_t index, const char *data,
			size_t len, int64_t now_us, struct effects *effects);

/**
 * An operator's change of membership, leader only.
 *
 * @return RESULT_OK once proposed, RESULT_NOT_LEADER, RESULT_MEMBER_BUSY,
 *         RESULT_NOT_CAUGHT_UP, RESULT_NOT_FOUND, RESULT_NO_QUORUM
 */
enum result raft_change_member(struct raft *raft,
			       const struct member_change *change,
			       int64_t now_us, struct effects *effects);

/** Change what the leader's repair aims at; the next repair step uses it. */
void raft_set_policy(struct raft *raft, const struct member_policy *policy);

/** Begin to hand leadership over before a planned stop. */
void raft_transfer(struct raft *raft, int64_t now_us, struct effects *effects);

/** Whether a planned stop needn't wait for a transfer any more. */
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

/** Index of the last entry handed out by raft_next_committed(). */
int64_t raft_applied_index(const struct raft *raft);

/** The present configuration; raft_members_index() grows as it changes. */
const struct members *raft_members(const struct raft *raft);
int64_t raft_members_index(const struct raft *raft);

/** Lease reads: the state as applied here is the newest there is. */
bool raft_may_read(const struct raft *raft, int64_t now_us);

/**
 * The moment, on our clock, at which a leader was still sure of a quorum and
 * what it had committed then has reached us. now_us less this is how stale
 * this VM may be; INT64_MIN / 2 if it never heard of a quorum.
 */
int64_t raft_fresh_us(const struct raft *raft, int64_t now_us);

/** When raft_tick() may have an election to begin; far off for others. */
int64_t raft_election_us(const struct raft *raft);

/** The lease of the one in charge. */
const struct lease *raft_lease(const struct raft *raft);

/** What the leader knows of member `id`; false if nothing. */
bool raft_health(const struct raft *raft, uint64_t id,
		 struct member_health *out);

/** Leader: number of members that have applied `index`, of `*members`. */
size_t raft_applied_on(const struct raft *raft, int64_t index, size_t *members);

const struct raft_counters *raft_counters(const struct raft *raft);

#endif
