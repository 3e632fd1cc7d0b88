#include <stdlib.h>

#include "agree/raft_internal.h"
#include "base/alloc.h"

#define RAFT_REPAIR_US 500000
#define RAFT_PRESENT_HEARTBEATS 3
#define RAFT_CAUGHT_UP_ENTRIES 64
#define RAFT_FORGET_US 60000000

static bool raft_peer_match(const struct map_node *node, const void *key)
{
	return container_of(node, struct raft_peer, by_id)->id ==
	       *(const uint64_t *)key;
}

struct raft_peer *raft_peer_find(const struct raft *raft, uint64_t id)
{
	struct map_node *node =
		map_find(&raft->peers_by_id, map_hash(&id, sizeof(id)),
			 raft_peer_match, &id);

	return node ? container_of(node, struct raft_peer, by_id) : NULL;
}

/**
 * Whether the leader replicates to a peer: to voters, and to learners that may
 * replace one.
 */
bool raft_leader_replicates_to(const struct raft_peer *peer)
{
	return peer->is_member && (peer->is_voter || peer->has_disk);
}

struct raft_peer *raft_peer_get(struct raft *raft, uint64_t id, int64_t now_us)
{
	struct raft_peer *peer = raft_peer_find(raft, id);

	if (peer || id == raft->options.self.id || !id)
		return peer;
	peer = xcalloc(1, sizeof(*peer));
	peer->id = id;
	peer->next = raft_log_last(&raft->log) + 1;
	peer->probing = true;
	peer->sent_us = RAFT_NEVER;
	peer->last_answered_us = RAFT_NEVER;
	peer->last_acked_us = RAFT_NEVER;
	peer->last_contact_us = now_us;
	list_append(&raft->peers, &peer->node);
	map_insert(&raft->peers_by_id, &peer->by_id, map_hash(&id, sizeof(id)));
	return peer;
}

/**
 * Remove peers that have been neither linked nor members for RAFT_FORGET_US.
 */
static void raft_remove_stale_peers(struct raft *raft, int64_t now_us)
{
	struct raft_peer *peer;
	struct raft_peer *next;

	list_foreach_safe(peer, next, &raft->peers, node) {
		if (peer->up || peer->is_member ||
		    now_us - peer->last_contact_us < RAFT_FORGET_US)
			continue;
		list_remove(&peer->node);
		map_remove(&raft->peers_by_id, &peer->by_id);
		free(peer);
	}
}

/**
 * Request the links that a voter needs to the other voters and to learners with
 * a disk.
 */
static void raft_open_links(const struct raft *raft, struct effects *effects)
{
	bool voter = raft_is_voter(raft);
	size_t i;

	for (i = 0; i < raft->members.count; i++) {
		const struct member *member = &raft->members.items[i];
		const struct raft_peer *peer;
		struct effect *effect;

		if (member->id == raft->options.self.id || !voter ||
		    (member->role != MEMBER_VOTER && !member->disk))
			continue;
		peer = raft_peer_find(raft, member->id);
		if (peer && peer->up)
			continue;
		effect = effects_add(effects, EFFECT_LINK_OPEN);
		effect->u.link_open.peer = member->id;
		effect->u.link_open.name = xstrdup(member->vm);
		effect->u.link_open.address = xstrdup(member->address);
		effect->u.link_open.zone = xstrdup(member->zone);
	}
}

/**
 * Copy the roles from the membership to the peers, so that handling a message
 * needs no search.
 */
static void raft_update_peer_roles(struct raft *raft)
{
	struct raft_peer *peer;
	size_t i;

	list_foreach(peer, &raft->peers, node) {
		peer->is_member = false;
		peer->is_voter = false;
	}
	raft->voters = members_voters(&raft->members);
	raft->self_is_member = false;
	raft->self_is_voter = false;
	for (i = 0; i < raft->members.count; i++) {
		const struct member *member = &raft->members.items[i];
		bool votes = member->role == MEMBER_VOTER;

		if (member->id == raft->options.self.id) {
			raft->self_is_member = true;
			raft->self_is_voter = votes;
			continue;
		}
		peer = raft_peer_get(raft, member->id, raft->fresh_us);
		if (!peer)
			continue;
		peer->is_member = true;
		peer->is_voter = votes;
		peer->has_disk = member->disk;
	}
}

void raft_members_changed(struct raft *raft, struct effects *effects)
{
	struct raft_peer *peer;

	raft_update_peer_roles(raft);
	if (raft->role == RAFT_LEADER)
		list_foreach(peer, &raft->peers, node)
			peer->replicating = peer->downstream ||
					    raft_leader_replicates_to(peer);
	raft_open_links(raft, effects);
}

/** Use a new membership as soon as its entry is in the log. */
void raft_adopt_members(struct raft *raft, const struct raft_entry *entry,
			struct effects *effects)
{
	struct members members = { 0 };

	if (!members_decode(&members, entry->body.data + 1,
			    entry->body.len - 1)) {
		raft_emit_log(effects, LOG_ERROR,
			      "malformed membership entry ignored");
		return;
	}
	members_clear(&raft->members);
	raft->members = members;
	raft->members_index = entry->index;
	raft_members_changed(raft, effects);
}

/** After entries were removed, use the latest membership that is left. */
void raft_scan_members(struct raft *raft, struct effects *effects)
{
	int64_t i;

	for (i = raft_log_last(&raft->log); i >= raft->log.first; i--) {
		const struct raft_entry *entry = raft_log_at(&raft->log, i);

		if (entry->body.data[0] == RAFT_ENTRY_MEMBERS) {
			raft_adopt_members(raft, entry, effects);
			return;
		}
	}
	members_clear(&raft->members);
	raft->members = raft_snapshot_members(raft);
	raft->members_index = raft->snapshot_index;
	raft_members_changed(raft, effects);
}

/**
 * Whether the membership may be changed: one change at a time, and none before
 * an entry of the current term is committed. Otherwise two memberships whose
 * quorums don't overlap could both be in use.
 */
static bool raft_may_change(const struct raft *raft)
{
	if (raft->role != RAFT_LEADER || raft->transferring)
		return false;
	if (raft->options.mutant == RAFT_MUTANT_TWO_CHANGES)
		return true;
	return raft->members_index <= raft->commit &&
	       raft->first_own_index <= raft->commit;
}

static void raft_append_members(struct raft *raft,
				const struct members *members, int64_t now_us,
				struct effects *effects)
{
	struct bytes body = { 0 };

	members_encode(members, &body);
	raft_append_own(raft, RAFT_ENTRY_MEMBERS, body.data, body.len, effects);
	bytes_clear(&body);
	raft_replicate_all(raft, false, now_us, effects);
}

static void raft_apply_change(struct raft *raft,
			      const struct member_change *change,
			      int64_t now_us, struct effects *effects)
{
	struct members members = members_copy(&raft->members);

	members_change(&members, change);
	raft_emit_log(effects, LOG_INFO, "membership: %s %s (%llu): %s",
		      change->kind == MEMBER_PUT       ? "put"
		      : change->kind == MEMBER_PROMOTE ? "promote"
		      : change->kind == MEMBER_DEMOTE  ? "demote"
						       : "remove",
		      change->member.vm, (unsigned long long)change->member.id,
		      change->reason ? change->reason : "operator's request");
	raft_append_members(raft, &members, now_us, effects);
	members_clear(&members);
}

bool raft_health(const struct raft *raft, uint64_t id,
		 struct member_health *out)
{
	const struct raft_peer *peer = raft_peer_find(raft, id);

	if (!peer)
		return false;
	out->id = id;
	out->last_contact_us = peer->last_contact_us;
	out->applied = peer->applied;
	out->disk_failed = peer->disk_failed;
	out->caught_up = peer->replicating && !peer->disk_failed &&
			 peer->match &&
			 peer->match + RAFT_CAUGHT_UP_ENTRIES >= raft->commit;
	return true;
}

/**
 * Whether it answered something sent so recently that it has hardly died since.
 */
static bool raft_is_present(const struct raft *raft, uint64_t id,
			    int64_t now_us)
{
	const struct raft_peer *peer = raft_peer_find(raft, id);
	int64_t interval_us = raft->options.heartbeat_us;

	if (!peer)
		return false;
	if (!peer->is_voter)
		interval_us = raft->options.learner_heartbeat_us;
	return now_us - peer->last_answered_us <=
	       RAFT_PRESENT_HEARTBEATS * interval_us;
}

static void raft_repair(struct raft *raft, int64_t now_us,
			struct effects *effects)
{
	struct member_health *health =
		xcalloc(raft->members.count + 1, sizeof(*health));
	struct member_change change;
	size_t n = 0;
	size_t i;

	for (i = 0; i < raft->members.count; i++) {
		uint64_t id = raft->members.items[i].id;

		if (!raft_health(raft, id, &health[n]))
			continue;
		health[n++].present = raft_is_present(raft, id, now_us);
	}
	change = member_repair(&raft->options.policy, &raft->members, health, n,
			       raft->options.self.id, now_us);
	free(health);
	if (change.kind == MEMBER_NO_CHANGE)
		return;
	/* the next change follows as soon as this one is committed */
	raft->repair_at_us = now_us;
	raft_apply_change(raft, &change, now_us, effects);
}

/** Add all VMs that have asked to join by one entry. */
static void raft_append_joining(struct raft *raft, int64_t now_us,
				struct effects *effects)
{
	struct members members = members_copy(&raft->members);
	size_t i;

	for (i = 0; i < raft->joining.count && members.count < MEMBER_MAX;
	     i++) {
		struct member_change put = { .kind = MEMBER_PUT,
					     .member = raft->joining.items[i] };

		members_change(&members, &put);
	}
	members_clear(&raft->joining);
	raft_append_members(raft, &members, now_us, effects);
	members_clear(&members);
}

void raft_tick_members(struct raft *raft, int64_t now_us,
		       struct effects *effects)
{
	if (now_us < raft->repair_at_us && !raft->joining.count)
		return;
	if (now_us >= raft->repair_at_us)
		raft_remove_stale_peers(raft, now_us);
	if (!raft_may_change(raft))
		return;
	if (raft->joining.count) {
		raft_append_joining(raft, now_us, effects);
		return;
	}
	/* no repair while the quorum itself is uncertain */
	if (now_us - raft_quorum_us(raft, now_us) >
	    RAFT_PRESENT_HEARTBEATS * raft->options.heartbeat_us)
		return;
	raft->repair_at_us = now_us + RAFT_REPAIR_US;
	raft_repair(raft, now_us, effects);
}

static void raft_queue_join(struct raft *raft, const struct member *member)
{
	const struct member *known = members_find(&raft->members, member->id);
	struct member_change put = { .kind = MEMBER_PUT, .member = *member };

	if (!member->id || (known && known->incarnation > member->incarnation))
		return;
	if (known && member_same(known, member))
		return;
	if (raft->joining.count < MEMBER_MAX)
		members_change(&raft->joining, &put);
}

#define RAFT_JOIN_HOPS 4

void raft_on_join(struct raft *raft, const struct raft_message *message,
		  struct effects *effects)
{
	struct raft_message forwarded = {
		.kind = RAFT_JOIN,
		.term = raft->term,
		.offset = message->offset + 1,
		.data = message->data,
		.len = message->len,
	};
	struct raft_peer *next = raft_peer_find(raft, raft->leader);
	struct members asked = { 0 };

	if (raft->role == RAFT_LEADER) {
		if (members_decode(&asked, message->data, message->len) &&
		    asked.count == 1)
			raft_queue_join(raft, &asked.items[0]);
		members_clear(&asked);
		return;
	}
	if (!next || !next->up)
		next = raft_peer_find(raft, raft->upstream);
	if (next && next->up && message->offset < RAFT_JOIN_HOPS)
		raft_send(raft, next->id, &forwarded, effects);
}

/**
 * Number of voters other than `id` that answered within an election timeout.
 */
static int raft_live_voters(const struct raft *raft, uint64_t id,
			    int64_t now_us)
{
	int living = id != raft->options.self.id && raft_is_voter(raft);
	const struct raft_peer *peer;

	list_foreach(peer, &raft->peers, node)
		if (peer->id != id && peer->is_voter && !peer->disk_failed &&
		    now_us - peer->last_answered_us < raft->options.election_us)
			living++;
	return living;
}

/**
 * Whether a voter may be removed or demoted, dead or alive. Another voter may
 * just have died unnoticed, so the rest must tolerate one loss more than is
 * known; otherwise the change itself could stop the group for good.
 */
static bool raft_can_remove_voter(const struct raft *raft, uint64_t id,
				  int64_t now_us)
{
	int left = raft->voters - 1;
	int living = raft_live_voters(raft, id, now_us);

	if (left <= 1)
		return left == 1 && living == 1;
	return living - 1 >= members_quorum(left);
}

static enum result raft_check_promotion(const struct raft *raft,
					const struct member *member,
					int64_t now_us)
{
	const struct raft_peer *peer = raft_peer_find(raft, member->id);
	struct member_health health = { 0 };
	int voters = raft->voters + 1;

	raft_health(raft, member->id, &health);
	if (!member->disk || !health.caught_up ||
	    now_us - peer->last_answered_us >= raft->options.election_us)
		return RESULT_NOT_CAUGHT_UP;
	return raft_live_voters(raft, 0, now_us) + 1 >= members_quorum(voters)
		       ? RESULT_OK
		       : RESULT_NO_QUORUM;
}

static enum result raft_check_change(const struct raft *raft,
				     const struct member_change *change,
				     int64_t now_us)
{
	const struct member *member =
		members_find(&raft->members, change->member.id);

	if (change->kind == MEMBER_PUT)
		return RESULT_OK;
	if (!member)
		return RESULT_NOT_FOUND;
	if (change->kind == MEMBER_PROMOTE)
		return raft_check_promotion(raft, member, now_us);
	if (member->role == MEMBER_VOTER &&
	    !raft_can_remove_voter(raft, member->id, now_us))
		return RESULT_NO_QUORUM;
	return RESULT_OK;
}

enum result raft_change_member(struct raft *raft,
			       const struct member_change *change,
			       int64_t now_us, struct effects *effects)
{
	enum result code;

	if (raft->role != RAFT_LEADER)
		return RESULT_NOT_LEADER;
	if (!raft_may_change(raft))
		return RESULT_MEMBER_BUSY;
	code = raft_check_change(raft, change, now_us);
	if (code != RESULT_OK)
		return code;
	raft_apply_change(raft, change, now_us, effects);
	raft_finish(raft, now_us, effects);
	return RESULT_OK;
}

void raft_set_policy(struct raft *raft, const struct member_policy *policy)
{
	raft->options.policy = *policy;
}
