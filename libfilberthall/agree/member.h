#ifndef FILBERTHALL_AGREE_MEMBER_H
#define FILBERTHALL_AGREE_MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/bytes.h"

/**
 * Who belongs to the group, and when the leader changes that.
 *
 * Failure answered: a voter is lost for good, and a second one right after.
 * Without repair, three voters bear one loss in the group's life; with it
 * they bear one loss after another, as long as a caught-up member with a
 * disk is left to take over. Voters are kept spread over availability zones,
 * so that the loss of a zone costs one of them.
 *
 * A member's id lives in its data folder. A VM that comes back with an empty
 * disk has a new id: as its old self it could vote twice in one term.
 */

#define MEMBER_TEXT_SIZE 64
#define MEMBER_MAX 1024 /**< three times the 330 daemons planned for */

enum member_role {
	MEMBER_LEARNER, /**< follows and never votes */
	MEMBER_VOTER
};

struct member {
	uint64_t id;			/**< random, lives in the data folder */
	char vm[MEMBER_TEXT_SIZE];	/**< VM name */
	char zone[MEMBER_TEXT_SIZE];	/**< availability zone */
	char address[MEMBER_TEXT_SIZE]; /**< IP:port of its links */
	int64_t incarnation;		/**< number of its start */
	bool disk;			/**< has a data folder */
	enum member_role role;
};

/** A configuration of the group; zeroed is empty. */
struct members {
	struct member *items;
	size_t count;
};

/** What the leader knows of a member. */
struct member_health {
	uint64_t id;
	int64_t last_contact_us; /**< leader's clock, last sign of life */
	int64_t applied;	 /**< last index that it has applied */
	bool caught_up;		 /**< holds all that is committed */
	bool present;		 /**< heard within a few heartbeats */
	bool disk_failed;	 /**< its disk has failed */
};

struct member_policy {
	int voters;		  /**< wanted, odd */
	int64_t voter_timeout_us; /**< silence after which a voter counts as dead */
	int64_t learner_timeout_us; /**< silence after which a learner is dropped */
	/**
	 * A dead voter goes only when another can take its place. A smaller
	 * group commits on fewer disks: after two losses of five, three
	 * voters would acknowledge on two disks what a third loss takes.
	 */
	bool keep_voters;
};

enum member_change_kind {
	MEMBER_NO_CHANGE,
	MEMBER_PUT,	/**< add a learner, or renew its address */
	MEMBER_PROMOTE, /**< learner becomes voter */
	MEMBER_DEMOTE,	/**< voter becomes learner */
	MEMBER_REMOVE
};

/** One step from one configuration to the next. */
struct member_change {
	enum member_change_kind kind;
	struct member member; /**< whole for PUT, else only its id */
	const char *reason;   /**< for the log */
};

/** The member with that id, or NULL. */
struct member *members_find(const struct members *members, uint64_t id);

/** Whether both describe the same life of a VM; roles aside. */
bool member_same(const struct member *a, const struct member *b);

/** Number of voters. */
int members_voters(const struct members *members);

/** How many voters make a quorum of `voters`. */
int members_quorum(int voters);

struct members members_copy(const struct members *from);
void members_clear(struct members *members);

/** Carry out one step on a configuration. */
void members_change(struct members *members,
		    const struct member_change *change);

/** Append a configuration to `out` as msgpack. */
void members_encode(const struct members *members, struct bytes *out);

/** Read a configuration; false if malformed. `members` must be empty. */
bool members_decode(struct members *members, const char *data, size_t len);

/**
 * The next step that the leader should take, MEMBER_NO_CHANGE if none. To be
 * asked again once the step is committed.
 *
 * @param health  one item for each member that was heard of
 * @param self    the leader's id, never removed
 * @param now_us  the leader's monotonic clock
 */
struct member_change member_repair(const struct member_policy *policy,
				   const struct members *members,
				   const struct member_health *health,
				   size_t n_health, uint64_t self,
				   int64_t now_us);

#endif
