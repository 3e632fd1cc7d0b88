#include "agree/member.h"

#include <string.h>

/** What the decisions below look at together. */
struct repair_view {
	const struct member_policy *policy;
	const struct members *members;
	const struct member_health *health;
	size_t n_health;
	uint64_t self;
	int64_t now_us;
};

static const struct member_health *repair_health(const struct repair_view *view,
						 uint64_t id)
{
	size_t i;

	for (i = 0; i < view->n_health; i++)
		if (view->health[i].id == id)
			return &view->health[i];
	return NULL;
}

static bool repair_silent(const struct repair_view *view, uint64_t id,
			  int64_t for_us)
{
	const struct member_health *health = repair_health(view, id);

	if (id == view->self)
		return false;
	return !health || view->now_us - health->last_contact_us >= for_us;
}

static bool repair_same_place(const struct member *a, const struct member *b)
{
	return !strcmp(a->vm, b->vm) ||
	       (a->address[0] && !strcmp(a->address, b->address));
}

/**
 * Whether another member of the same VM, or at the same address, lives: then
 * this one's folder is gone and it can't come back.
 */
static bool repair_superseded(const struct repair_view *view,
			      const struct member *member)
{
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *other = &view->members->items[i];

		if (other->id != member->id &&
		    repair_same_place(other, member) &&
		    !repair_silent(view, other->id,
				   view->policy->voter_timeout_us))
			return true;
	}
	return false;
}

static bool repair_dead(const struct repair_view *view,
			const struct member *member)
{
	const struct member_health *health = repair_health(view, member->id);
	int64_t patience_us = view->policy->voter_timeout_us;

	if (health && health->disk_failed)
		return true;
	if (repair_superseded(view, member))
		patience_us /= 4;
	return repair_silent(view, member->id, patience_us);
}

static int repair_living_voters(const struct repair_view *view)
{
	int living = 0;
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];

		if (member->role == MEMBER_VOTER && !repair_dead(view, member))
			living++;
	}
	return living;
}

/** Voters that were heard just now; any of the others may have died since. */
static int repair_present_voters(const struct repair_view *view)
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
			    !repair_dead(view, member));
	}
	return present;
}

/** Living voters in a zone. */
static int repair_zone_voters(const struct repair_view *view, const char *zone)
{
	int voters = 0;
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];

		if (member->role == MEMBER_VOTER &&
		    !strcmp(member->zone, zone) && !repair_dead(view, member))
			voters++;
	}
	return voters;
}

/**
 * Whether a member may become a voter now: with a disk, alive, and caught up.
 * One that isn't caught up would count towards the quorum without being able
 * to acknowledge anything, so a second loss would stop the group.
 */
static bool repair_can_vote(const struct repair_view *view,
			    const struct member *member)
{
	const struct member_health *health = repair_health(view, member->id);

	return member->role == MEMBER_LEARNER && member->disk && health &&
	       health->caught_up && health->present &&
	       !repair_dead(view, member);
}

/** The candidate whose zone has the fewest living voters, or NULL. */
static const struct member *repair_candidate(const struct repair_view *view,
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

/** Its process lives, so it may be a voter again once its disk works. */
static bool repair_may_recover(const struct repair_view *view,
			       const struct member *member)
{
	const struct member_health *health = repair_health(view, member->id);

	return health && health->disk_failed &&
	       !repair_silent(view, member->id, view->policy->voter_timeout_us);
}

/** How sure it is that a dead voter doesn't come back. */
static int repair_finality(const struct repair_view *view,
			   const struct member *dead)
{
	if (repair_may_recover(view, dead))
		return 0;
	return repair_superseded(view, dead) ? 2 : 1;
}

/** Rather one whose folder is gone than one that may be cut off or full. */
static const struct member *repair_dead_voter(const struct repair_view *view)
{
	const struct member *found = NULL;
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];

		if (member->role != MEMBER_VOTER || !repair_dead(view, member))
			continue;
		if (!found || repair_finality(view, member) >
				      repair_finality(view, found))
			found = member;
	}
	return found;
}

/**
 * Whether the group can commit without a dead voter, also if one that fell
 * silent just now is gone.
 *
 * One with a failed disk goes only while all others are there. A disk that
 * was full for seconds comes back, and its vote was what two lost ones left:
 * the change that removed it stood in two logs of the three that lived, could
 * not be committed, and kept each of them from being elected for ever.
 */
static bool repair_can_spare(const struct repair_view *view,
			     const struct member *dead)
{
	int voters = members_voters(view->members);
	int needed = repair_may_recover(view, dead)
			     ? voters - 1
			     : members_quorum(voters - 1);

	return repair_present_voters(view) >= needed;
}

/** The living voter, not ourselves, whose zone has the most voters. */
static const struct member *repair_crowded(const struct repair_view *view,
					   int *zone_voters)
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
 * Whether a replacement comes in before a dead voter goes.
 *
 * One that is cut off or stands still comes back. If it is removed and a
 * voter is lost before that is committed, those that have the change lack a
 * quorum by it, and the one that is back can't be elected by the shorter log:
 * nobody leads ever again, with no more disks lost than the group bears. With
 * the replacement in first, whoever comes back completes the larger quorum.
 * Where its folder is known to be gone nothing can come back, and the smaller
 * quorum is what a further loss leaves more room in.
 */
static bool repair_adds_first(const struct repair_view *view,
			      const struct member *dead)
{
	int voters = members_voters(view->members);

	return !repair_superseded(view, dead) &&
	       voters <= view->policy->voters &&
	       repair_present_voters(view) + 1 >= members_quorum(voters + 1);
}

/**
 * Its replacement comes in first where a dead voter may come back, and next
 * where it can't. Without a replacement it goes only if a smaller group bears
 * more.
 */
static struct member_change repair_voters(const struct repair_view *view)
{
	struct member_change none = { .kind = MEMBER_NO_CHANGE };
	const struct member *dead = repair_dead_voter(view);
	int voters = members_voters(view->members);
	int living = repair_living_voters(view);
	int candidates;
	const struct member *candidate = repair_candidate(view, &candidates);
	bool smaller_is_better = voters > view->policy->voters ||
				 (!view->policy->keep_voters &&
				  (voters % 2 == 0 || voters - living >= 2));

	if (dead && candidate && repair_can_spare(view, dead) &&
	    repair_adds_first(view, dead))
		return repair_step(MEMBER_PROMOTE, candidate,
				   "in place of a silent voter");
	if (dead && (candidate || smaller_is_better) &&
	    repair_can_spare(view, dead))
		return repair_step(MEMBER_REMOVE, dead, "dead voter");
	if (!dead && candidate && voters < view->policy->voters &&
	    (voters % 2 == 0 || candidates >= 2))
		return repair_step(MEMBER_PROMOTE, candidate,
				   "fewer voters than wanted");
	return none;
}

/** Move a voter from a crowded zone to one without any. */
static struct member_change repair_spread(const struct repair_view *view)
{
	struct member_change none = { .kind = MEMBER_NO_CHANGE };
	int voters = members_voters(view->members);
	int candidates;
	const struct member *candidate = repair_candidate(view, &candidates);
	int crowd;
	const struct member *crowded = repair_crowded(view, &crowd);

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

static struct member_change repair_learners(const struct repair_view *view)
{
	struct member_change none = { .kind = MEMBER_NO_CHANGE };
	size_t i;

	for (i = 0; i < view->members->count; i++) {
		const struct member *member = &view->members->items[i];
		int64_t patience_us = view->policy->learner_timeout_us;

		if (repair_superseded(view, member))
			patience_us = view->policy->voter_timeout_us / 4;
		if (member->role == MEMBER_LEARNER &&
		    repair_silent(view, member->id, patience_us))
			return repair_step(MEMBER_REMOVE, member,
					   "silent learner");
	}
	return none;
}

struct member_change member_repair(const struct member_policy *policy,
				   const struct members *members,
				   const struct member_health *health,
				   size_t n_health, uint64_t self,
				   int64_t now_us)
{
	struct repair_view view = { policy,   members, health,
				    n_health, self,    now_us };
	struct member_change change = repair_voters(&view);

	if (change.kind == MEMBER_NO_CHANGE)
		change = repair_spread(&view);
	if (change.kind == MEMBER_NO_CHANGE)
		change = repair_learners(&view);
	return change;
}
