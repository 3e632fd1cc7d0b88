#ifndef FILBERTHALL_AGREE_MEMBER_H
#define FILBERTHALL_AGREE_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"

/**
 * The members of the group, and the rules by which the leader changes them.
 *
 * Failure handled: a voter is lost for good, and a second one right after.
 * Without repair, three voters tolerate one loss in the group's lifetime; with
 * repair they tolerate one loss after another, as long as a caught-up member
 * with a disk can take over. Voters are spread over availability zones, so that
 * the loss of a zone costs only one of them.
 *
 * A member's id is stored in its data folder. A VM that comes back with an
 * empty disk gets a new id: under the old one it could vote twice in a term.
 */

#define MEMBER_TEXT_SIZE 64
#define MEMBER_MAX 1024 /**< three times the 330 daemons that are planned */

enum member_role {
	MEMBER_LEARNER, /**< receives entries and never votes */
	MEMBER_VOTER
};

struct member {
	uint64_t id;			/**< random, stored in the data
	            			folder */
	char vm[MEMBER_TEXT_SIZE];	/**< VM name */
	char zone[MEMBER_TEXT_SIZE];	/**< availability zone */
	char address[MEMBER_TEXT_SIZE]; /**< IP:port of its links */
	int64_t incarnation;		/**< grows with each start of the
	                    		daemon */
	bool disk;			/**< has a data folder */
	enum member_role role;
};

/** The membership of the group; all zero is an empty one. */
struct members {
	struct member *items;
	size_t count;
};

/** The leader's view of a member's health. */
struct member_health {
	uint64_t id;
	int64_t last_contact_us; /**< last contact, on the leader's clock */
	int64_t applied;	 /**< last index that it has applied */
	bool caught_up;		 /**< holds almost all committed entries */
	bool present;		 /**< it answered within the last few
	             		 heartbeats */
	bool disk_failed;	 /**< its disk has failed */
};

struct member_policy {
	int voters;		    /**< wanted number of voters, odd */
	int64_t voter_timeout_us;   /**< time without contact after which a
	                          voter counts as dead */
	int64_t learner_timeout_us; /**< time without contact after which a
	                            learner is removed */
	/**
	 * Remove a dead voter only when another member can take its place. A
	 * smaller group commits on fewer disks: after two losses of five, three
	 * voters would acknowledge a change that is on two disks only, and a
	 * third loss could lose it.
	 */
	bool keep_voters;
};

enum member_change_kind {
	MEMBER_NO_CHANGE,
	MEMBER_PUT,	/**< add a learner, or update its address */
	MEMBER_PROMOTE, /**< a learner becomes a voter */
	MEMBER_DEMOTE,	/**< a voter becomes a learner */
	MEMBER_REMOVE
};

/** One change of the membership. */
struct member_change {
	enum member_change_kind kind;
	struct member member; /**< all fields for MEMBER_PUT, otherwise only
	                      the id */
	const char *reason;   /**< for the log */
};

/** The member with that id, or NULL. */
struct member *members_find(const struct members *members, uint64_t id);

/** Whether both describe the same incarnation of a VM; roles are ignored. */
bool member_same(const struct member *a, const struct member *b);

/** Number of voters. */
int members_voters(const struct members *members);

/** Size of a quorum among `voters` voters. */
int members_quorum(int voters);

struct members members_copy(const struct members *from);
void members_clear(struct members *members);

/** Apply one change to a membership. */
void members_change(struct members *members,
		    const struct member_change *change);

/** Append a membership to `out` as msgpack. */
void members_encode(const struct members *members, struct bytes *out);

/** Decode a membership; false if malformed. `members` must be empty. */
bool members_decode(struct members *members, const char *data, size_t len);

/**
 * The next change that the leader should make, MEMBER_NO_CHANGE if none. Call
 * it again once that change is committed.
 *
 * @param health  one item for each member known to the leader
 * @param self    the leader's id, never removed
 * @param now_us  the leader's monotonic clock
 */
struct member_change member_repair(const struct member_policy *policy,
				   const struct members *members,
				   const struct member_health *health,
				   size_t n_health, uint64_t self,
				   int64_t now_us);

#endif
