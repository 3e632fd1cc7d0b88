#include "agree/member.h"

#include <string.h>

/** The arguments of member_repair(). */
struct repair_input {
	const struct member_policy *policy;
	const struct members *members;
	const struct member_health *health;
	size_t n_health;
	uint64_t self;
	int64_t now_us;
};

static const struct member_health *
repair_health(const struct repair_input *view, uint64_t id)
{
	size_t i;

	for (i = 0; i < view->n_health; i++)
		if (view->health[i].id == id)
			return &view->health[i];
	return NULL;
}

static bool repair_is_unreachable(const struct repair_input *view, uint64_t id,
				  int64_t for_us)
{
	const struct member_health *health = repair_health(view, id);

	if (id == view->self)
		return false;
	return !health || view->now_us - health->last_contact_us >= for_us;
}

static bool repair_same_host(const struct member *a, const struct member *b)
{
	return !strcmp(a->vm, b->vm) ||
	       (a->address[0] && !strcmp(a->address, b->address));
}

/**
 * Whether another live member has the same VM or address: then this one's data
 * folder is gone and it can't come back.
 */
static bool repair_is_superseded(const struct repair_input *view,
				 const struct member *member)
{
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *other = &view->members->items[i];

		if (other->id != member->id &&
		    repair_same_host(other, member) &&
		    !repair_is_unreachable(view, other->id,
					   view->policy->voter_timeout_us))
			return true;
	}
	return false;
}

static bool repair_is_dead(const struct repair_input *view,
			   const struct member *member)
{
	const struct member_health *health = repair_health(view, member->id);
	int64_t timeout_us = view->policy->voter_timeout_us;

	if (health && health->disk_failed)
		return true;
	if (repair_is_superseded(view, member))
		timeout_us /= 4;
	return repair_is_unreachable(view, member->id, timeout_us);
}

static int repair_live_voters(const struct repair_input *view)
{
	int living = 0;
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];

		if (member->role == MEMBER_VOTER &&
		    !repair_is_dead(view, member))
			living++;
	}
	return living;
}

/**
 * Number of voters that answered just now; any of the others may have died
 * since.
 */
static int repair_present_voters(const struct repair_input *view)
{
	int present = 0;
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];
		const struct member_health *health =
			repair_health(view, member->id);

		if (member->role != MEMBER_VOTER)
			continue;
		present += member->id == view->self ||
			   (health && health->present &&
			    !repair_is_dead(view, member));
	}
	return present;
}

/** Number of live voters in a zone. */
static int repair_zone_voters(const struct repair_input *view, const char *zone)
{
	int voters = 0;
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];

		if (member->role == MEMBER_VOTER &&
		    !strcmp(member->zone, zone) &&
		    !repair_is_dead(view, member))
			voters++;
	}
	return voters;
}

/**
 * Whether a learner may become a voter now: it has a disk, is alive and has
 * caught up. One that hasn't caught up would count towards the quorum without
 * being able to acknowledge anything, so a second loss would stop the group.
 */
static bool repair_can_vote(const struct repair_input *view,
			    const struct member *member)
{
	const struct member_health *health = repair_health(view, member->id);

	return member->role == MEMBER_LEARNER && member->disk && health &&
	       health->caught_up && health->present &&
	       !repair_is_dead(view, member);
}

/** The candidate whose zone has the fewest live voters, or NULL. */
static const struct member *repair_candidate(const struct repair_input *view,
					     int *candidates)
{
	const struct member *best = NULL;
	int best_voters = 0;
	size_t i;

	*candidates = 0;
	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];
		int voters;

		if (!repair_can_vote(view, member))
			continue;
		++*candidates;
		voters = repair_zone_voters(view, member->zone);
		if (!best || voters < best_voters) {
			best = member;
			best_voters = voters;
		}
	}
	return best;
}

/**
 * Whether a member with a failed disk is alive, so that it may vote again once
 * its disk works.
 */
static bool repair_may_recover(const struct repair_input *view,
			       const struct member *member)
{
	const struct member_health *health = repair_health(view, member->id);

	return health && health->disk_failed &&
	       !repair_is_unreachable(view, member->id,
				      view->policy->voter_timeout_us);
}

/** How certain it is that a dead voter won't come back, from 0 to 2. */
static int repair_loss_certainty(const struct repair_input *view,
				 const struct member *dead)
{
	if (repair_may_recover(view, dead))
		return 0;
	return repair_is_superseded(view, dead) ? 2 : 1;
}

/**
 * The dead voter that is least likely to come back, or NULL: one whose folder
 * is gone before one that may be partitioned or have a full disk.
 */
static const struct member *repair_dead_voter(const struct repair_input *view)
{
	const struct member *found = NULL;
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];

		if (member->role != MEMBER_VOTER ||
		    !repair_is_dead(view, member))
			continue;
		if (!found || repair_loss_certainty(view, member) >
				      repair_loss_certainty(view, found))
			found = member;
	}
	return found;
}

/**
 * Whether the group can commit without a dead voter, even if all voters that
 * didn't answer just now are gone.
 *
 * A voter with a failed disk is removed only while all other voters are
 * present. A disk that was full for seconds recovers, and its vote can be the
 * one that is needed after two losses: the change that removed it was in two
 * logs of the three live voters, could not be committed, and prevented each of
 * them from being elected for good.
 */
static bool repair_can_spare(const struct repair_input *view,
			     const struct member *dead)
{
	int voters = members_voters(view->members);
	int needed = repair_may_recover(view, dead)
			     ? voters - 1
			     : members_quorum(voters - 1);

	return repair_present_voters(view) >= needed;
}

/** The voter, other than this member, whose zone has the most live voters. */
static const struct member *
repair_crowded_zone_voter(const struct repair_input *view, int *zone_voters)
{
	const struct member *found = NULL;
	size_t i;

	*zone_voters = 0;
	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];
		int voters;

		if (member->role != MEMBER_VOTER || member->id == view->self)
			continue;
		voters = repair_zone_voters(view, member->zone);
		if (voters > *zone_voters) {
			found = member;
			*zone_voters = voters;
		}
	}
	return found;
}

static struct member_change repair_step(enum member_change_kind kind,
					const struct member *member,
					const char *reason)
{
	struct member_change change = { .kind = MEMBER_NO_CHANGE };

	if (!member)
		return change;
	change.kind = kind;
	change.member = *member;
	change.reason = reason;
	return change;
}

/**
 * Whether the replacement is promoted before the dead voter is removed.
 *
 * A voter that is partitioned or paused comes back. If it is removed, and
 * another voter is lost before the removal is committed, the members that have
 * the change lack a quorum under it, and the one that comes back can't be
 * elected with its shorter log: no leader can ever be elected, although no more
 * disks were lost than the group tolerates. If the replacement is promoted
 * first, the returning voter completes the larger quorum.
 *
 * If the dead voter's folder is known to be gone, it can't come back, and the
 * smaller quorum leaves more room for a further loss.
 */
static bool repair_promotes_first(const struct repair_input *view,
				  const struct member *dead)
{
	int voters = members_voters(view->members);

	return !repair_is_superseded(view, dead) &&
	       voters <= view->policy->voters &&
	       repair_present_voters(view) + 1 >= members_quorum(voters + 1);
}

/**
 * The next change of the voters. If the dead voter may come back, its
 * replacement is promoted first; otherwise after its removal. Without a
 * replacement it is removed only if a smaller group tolerates more losses.
 */
static struct member_change repair_voters(const struct repair_input *view)
{
	struct member_change none = { .kind = MEMBER_NO_CHANGE };
	const struct member *dead = repair_dead_voter(view);
	int voters = members_voters(view->members);
	int living = repair_live_voters(view);
	int candidates;
	const struct member *candidate = repair_candidate(view, &candidates);
	bool smaller_is_better = voters > view->policy->voters ||
				 (!view->policy->keep_voters &&
				  (voters % 2 == 0 || voters - living >= 2));

	if (dead && candidate && repair_can_spare(view, dead) &&
	    repair_promotes_first(view, dead))
		return repair_step(MEMBER_PROMOTE, candidate,
				   "replaces an unreachable voter");
	if (dead && (candidate || smaller_is_better) &&
	    repair_can_spare(view, dead))
		return repair_step(MEMBER_REMOVE, dead, "dead voter");
	if (!dead && candidate && voters < view->policy->voters &&
	    (voters % 2 == 0 || candidates >= 2))
		return repair_step(MEMBER_PROMOTE, candidate,
				   "fewer voters than wanted");
	return none;
}

/** Move a voter from a zone with several to a zone without any. */
static struct member_change repair_spread(const struct repair_input *view)
{
	struct member_change none = { .kind = MEMBER_NO_CHANGE };
	int voters = members_voters(view->members);
	int candidates;
	const struct member *candidate = repair_candidate(view, &candidates);
	int crowd;
	const struct member *crowded = repair_crowded_zone_voter(view, &crowd);

	if (repair_dead_voter(view))
		return none;
	if (voters > view->policy->voters)
		return repair_step(MEMBER_DEMOTE, crowded,
				   "more voters than wanted");
	if (voters == view->policy->voters && candidate && crowd >= 2 &&
	    !repair_zone_voters(view, candidate->zone))
		return repair_step(MEMBER_PROMOTE, candidate,
				   "its zone has no voter");
	return none;
}

static struct member_change repair_learners(const struct repair_input *view)
{
	struct member_change none = { .kind = MEMBER_NO_CHANGE };
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];
		int64_t timeout_us = view->policy->learner_timeout_us;

		if (repair_is_superseded(view, member))
			timeout_us = view->policy->voter_timeout_us / 4;
		if (member->role == MEMBER_LEARNER &&
		    repair_is_unreachable(view, member->id, timeout_us))
			return repair_step(MEMBER_REMOVE, member,
					   "unreachable learner");
	}
	return none;
}

struct member_change member_repair(const struct member_policy *policy,
				   const struct members *members,
				   const struct member_health *health,
				   size_t n_health, uint64_t self,
				   int64_t now_us)
{
	struct repair_input view = { policy,   members, health,
				     n_health, self,	now_us };
	struct member_change change = repair_voters(&view);

	if (change.kind == MEMBER_NO_CHANGE)
		change = repair_spread(&view);
	if (change.kind == MEMBER_NO_CHANGE)
		change = repair_learners(&view);
	return change;
}
