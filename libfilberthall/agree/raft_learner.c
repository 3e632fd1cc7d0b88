#include <stdlib.h>
#include <string.h>

#include "agree/raft_internal.h"
#include "base/alloc.h"

/**
 * How a learner chooses the upstream that sends it entries.
 *
 * The load is 330 daemons. If the leader replicated to all of them, copying
 * would take up its core; with one fixed relay, its death would cut off all
 * learners behind it. So the learners of a zone form a tree, whose root gets
 * its entries from a voter. A learner that gets nothing fresh from its parent
 * subscribes to the next node up the tree, and at last to any voter. Small
 * groups use no tree: the leader replicates to all.
 */
#define RAFT_SILENT_HEARTBEATS 3
#define RAFT_FRESH_HEARTBEATS 12
#define RAFT_REPORT_HEARTBEATS 5

/** An upstream whose state is older than this is not used. */
int64_t raft_upstream_age_limit(const struct raft *raft)
{
	return RAFT_FRESH_HEARTBEATS * raft->options.learner_heartbeat_us;
}

/**
 * Whether to accept relayed entries from a peer. A voter accepts entries from
 * the leader only; one that was removed may need an upstream.
 */
bool raft_accepts_relayed(const struct raft *raft, const struct raft_peer *peer)
{
	return (!raft_is_voter(raft) || raft->removed) &&
	       peer->id == raft->upstream;
}

/**
 * Whether the group is too large for the leader to replicate to all members.
 */
static bool raft_uses_tree(const struct raft *raft)
{
	return raft->members.count > (size_t)raft->options.max_children + 1;
}

/**
 * Children of each node of the tree: half of what an upstream accepts, so that
 * it has room for learners whose own upstream is dead.
 */
static size_t raft_fanout(const struct raft *raft)
{
	return (size_t)raft->options.max_children / 2 + 1;
}

static uint64_t raft_any_voter(const struct raft *raft, int attempt)
{
	int voters = raft->voters;
	uint64_t self = raft->options.self.id;
	int wanted;
	size_t i;

	if (!voters)
		return 0;
	wanted = (int)((self + (uint64_t)attempt) % (uint64_t)voters);
	for (i = 0; i < raft->members.count; i++)
		if (raft->members.items[i].role == MEMBER_VOTER && !wanted--)
			return raft->members.items[i].id;
	return 0;
}

/**
 * Ids of the diskless learners of this zone, in membership order; `*own` gets
 * the position of this member.
 */
static size_t raft_zone_peers(const struct raft *raft, uint64_t *ids,
			      size_t *own)
{
	const char *zone = raft->options.self.zone;
	size_t n = 0;
	size_t i;

	for (i = 0; i < raft->members.count && n < MEMBER_MAX; i++) {
		const struct member *member = &raft->members.items[i];

		if (member->role != MEMBER_LEARNER || member->disk ||
		    strcmp(member->zone, zone) != 0)
			continue;
		if (member->id == raft->options.self.id)
			*own = n;
		ids[n++] = member->id;
	}
	return n;
}

static uint64_t raft_tree_upstream(const struct raft *raft, int attempt)
{
	uint64_t ids[MEMBER_MAX];
	size_t own = MEMBER_MAX;
	size_t n = raft_zone_peers(raft, ids, &own);
	size_t fan = raft_fanout(raft);

	if (own >= n)
		return raft_any_voter(raft, attempt);
	while (own > 0) {
		own = (own - 1) / fan;
		if (!attempt--)
			return ids[own];
	}
	return raft_any_voter(raft, attempt + 1);
}

/** For a VM that doesn't know the membership yet: any peer with a link. */
static uint64_t raft_any_peer(const struct raft *raft, int attempt)
{
	const struct raft_peer *peer;
	int up = 0;

	list_foreach(peer, &raft->peers, node)
		up += peer->up;
	if (!up)
		return 0;
	attempt %= up;
	list_foreach(peer, &raft->peers, node)
		if (peer->up && !attempt--)
			return peer->id;
	return 0;
}

static uint64_t raft_choose_upstream(const struct raft *raft)
{
	int attempt = raft->upstream_attempt;

	if (!raft->members.count)
		return raft_any_peer(raft, attempt);
	if (!raft->options.self.disk && raft_uses_tree(raft))
		return raft_tree_upstream(raft, attempt);
	if (!attempt && raft->leader)
		return raft->leader;
	return raft_any_voter(raft, attempt);
}

static void raft_request_link(const struct raft *raft, uint64_t id,
			      struct effects *effects)
{
	const struct member *member = members_find(&raft->members, id);
	struct effect *effect;

	if (!member)
		return;
	effect = effects_add(effects, EFFECT_LINK_OPEN);
	effect->u.link_open.peer = id;
	effect->u.link_open.name = xstrdup(member->vm);
	effect->u.link_open.address = xstrdup(member->address);
	effect->u.link_open.zone = xstrdup(member->zone);
}

/** Retries before the next upstream is tried: a requested link takes time. */
#define RAFT_LINK_ATTEMPTS 4

static void raft_subscribe(struct raft *raft, int64_t now_us,
			   struct effects *effects)
{
	struct raft_message message = {
		.kind = RAFT_SUBSCRIBE,
		.term = raft->term,
		.index = raft_log_last(&raft->log),
		.applied = raft->applied,
		.sent_us = now_us,
	};
	const struct raft_peer *peer;

	raft->upstream = raft_choose_upstream(raft);
	peer = raft_peer_find(raft, raft->upstream);
	if (peer && peer->up) {
		raft_send(raft, raft->upstream, &message, effects);
	} else {
		raft_request_link(raft, raft->upstream, effects);
		if (++raft->link_attempts < RAFT_LINK_ATTEMPTS)
			return;
	}
	raft->link_attempts = 0;
	raft->upstream_attempt++;
}

void raft_tick_learner(struct raft *raft, int64_t now_us,
		       struct effects *effects)
{
	int64_t interval_us = raft->options.learner_heartbeat_us;

	if (raft_is_voter(raft) && !raft->removed)
		return;
	if (now_us - raft->upstream_contact_us <
	    RAFT_SILENT_HEARTBEATS * interval_us) {
		raft->upstream_attempt = 0;
		return;
	}
	if (now_us < raft->subscribe_at_us)
		return;
	raft->subscribe_at_us = now_us + interval_us;
	raft_subscribe(raft, now_us, effects);
}

static int raft_count_downstreams(const struct raft *raft)
{
	const struct raft_peer *peer;
	int children = 0;

	list_foreach(peer, &raft->peers, node)
		children += peer->downstream;
	return children;
}

/**
 * Refuse a subscription. A VM that has just joined knows no other member yet,
 * so the reply carries the membership to choose from.
 */
static void raft_refuse_subscription(struct raft *raft, struct raft_peer *peer,
				     const struct raft_message *asked,
				     struct effects *effects)
{
	struct raft_message refused = { .kind = RAFT_SUBSCRIBE_REFUSED,
					.term = raft->term,
					.leader = raft->leader };
	struct bytes body = { 0 };

	if (!asked->index) {
		members_encode(&raft->members, &body);
		refused.data = body.data;
		refused.len = body.len;
	}
	raft_send(raft, peer->id, &refused, effects);
	bytes_clear(&body);
}

static bool raft_has_downstream_room(const struct raft *raft)
{
	int room = raft_uses_tree(raft) ? (int)raft_fanout(raft) + 2
					: raft->options.max_children;

	return raft_count_downstreams(raft) < room;
}

void raft_on_subscribe(struct raft *raft, struct raft_peer *peer,
		       const struct raft_message *message, int64_t now_us,
		       struct effects *effects)
{
	bool fresh =
		raft_fresh_us(raft, now_us) + raft_upstream_age_limit(raft) >
		now_us;

	if (!peer->downstream && (!fresh || !raft_has_downstream_room(raft))) {
		raft_refuse_subscription(raft, peer, message, effects);
		return;
	}
	if (peer->is_voter && raft->role != RAFT_LEADER)
		return;
	peer->downstream = true;
	peer->replicating = true;
	peer->probing = true;
	peer->n_inflight = 0;
	peer->snapshot_index = 0;
	peer->applied = message->applied;
	peer->peer_clock_us = message->sent_us;
	peer->next = (message->index < raft->commit ? message->index
						    : raft->commit) +
		     1;
	raft_replicate_to(raft, peer, true, now_us, effects);
}

/** A member without any entries uses the membership in the refusal. */
void raft_on_subscribe_refused(struct raft *raft, struct raft_peer *peer,
			       const struct raft_message *message,
			       struct effects *effects)
{
	size_t known = raft->members.count;
	struct members received = { 0 };

	if (peer->id != raft->upstream || raft_log_last(&raft->log) ||
	    !members_decode(&received, message->data, message->len))
		return;
	raft->leader = message->leader;
	members_clear(&raft->members);
	raft->members = received;
	raft_members_changed(raft, effects);
	if (received.count != known)
		raft->upstream_attempt = 0;
}

/** Whether this VM must ask the leader to be added or updated. */
static bool raft_must_join(const struct raft *raft)
{
	const struct member *self = &raft->options.self;
	const struct member *known = members_find(&raft->members, self->id);

	return !known || raft->removed || !member_same(known, self);
}

void raft_tick_join(struct raft *raft, int64_t now_us, struct effects *effects)
{
	struct raft_message message = { .kind = RAFT_JOIN };
	struct members own = { .items = &raft->options.self, .count = 1 };
	struct bytes body = { 0 };
	struct raft_peer *peer;

	if (now_us < raft->join_at_us || !raft_must_join(raft))
		return;
	raft->join_at_us = now_us + raft->options.election_us;
	members_encode(&own, &body);
	message.term = raft->term;
	message.data = body.data;
	message.len = body.len;
	peer = raft_peer_find(raft, raft->leader);
	if (!peer || !peer->up)
		peer = raft_peer_find(raft,
				      raft_any_peer(raft,
						    raft->upstream_attempt));
	if (raft->role == RAFT_LEADER)
		raft_on_join(raft, &message, effects);
	else if (peer)
		raft_send(raft, peer->id, &message, effects);
	bytes_clear(&body);
}

/**
 * Whether a downstream member's state should be reported to our upstream: when
 * it changed, and otherwise at intervals as a sign of life. Every report
 * travels up to the leader, and with hundreds of members the reports are most
 * of what it receives.
 */
static bool raft_report_due(const struct raft *raft,
			    const struct raft_peer *peer, int64_t now_us)
{
	int64_t interval_us = raft->options.learner_heartbeat_us;

	return (peer->downstream || peer->reported_by_child) &&
	       now_us - peer->last_contact_us < raft_upstream_age_limit(raft) &&
	       (peer->applied != peer->reported_applied ||
		now_us - peer->reported_us >=
			RAFT_REPORT_HEARTBEATS * interval_us);
}

/** Add the state of downstream learners to a message to our upstream. */
void raft_add_reports(struct raft *raft, struct raft_message *message,
		      int64_t now_us)
{
	struct raft_peer *peer;
	size_t n = 0;

	if (now_us < raft->report_at_us)
		return;
	list_foreach(peer, &raft->peers, node)
		n += raft_report_due(raft, peer, now_us);
	if (!n)
		return;
	raft->report_at_us = now_us + raft->options.learner_heartbeat_us;
	message->reports = xcalloc(n, sizeof(*message->reports));
	list_foreach(peer, &raft->peers, node) {
		struct raft_report *report;

		if (!raft_report_due(raft, peer, now_us))
			continue;
		report = &message->reports[message->n_reports++];
		report->id = peer->id;
		report->applied = peer->applied;
		report->age_ms = (now_us - peer->last_contact_us) / 1000;
		peer->reported_applied = peer->applied;
		peer->reported_us = now_us;
	}
}

void raft_apply_reports(struct raft *raft, const struct raft_message *message,
			int64_t now_us)
{
	size_t i;

	if (message->echo_us > now_us)
		return;
	for (i = 0; i < message->n_reports; i++) {
		const struct raft_report *report = &message->reports[i];
		struct raft_peer *peer;
		int64_t heard_us = message->echo_us - report->age_ms * 1000;

		peer = raft_peer_find(raft, report->id);
		if (!peer || !peer->is_member || peer->replicating ||
		    heard_us < peer->last_contact_us)
			continue;
		peer->reported_by_child = true;
		peer->last_contact_us = heard_us;
		peer->applied = report->applied;
	}
}
