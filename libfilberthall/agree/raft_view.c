#include "agree/raft_internal.h"

/** Queries that don't change the state. */

#define RAFT_MILLION 1000000

uint64_t raft_self(const struct raft *raft)
{
	return raft->options.self.id;
}

enum raft_role raft_role(const struct raft *raft)
{
	return raft->role;
}

bool raft_is_leader(const struct raft *raft)
{
	return raft->role == RAFT_LEADER;
}

bool raft_is_voter(const struct raft *raft)
{
	return raft->self_is_voter;
}

bool raft_disk_has_failed(const struct raft *raft)
{
	return raft->disk_failed;
}

int64_t raft_term(const struct raft *raft)
{
	return raft->term;
}

uint64_t raft_leader(const struct raft *raft)
{
	return raft->leader;
}

int64_t raft_last_index(const struct raft *raft)
{
	return raft_log_last(&raft->log);
}

int64_t raft_commit_index(const struct raft *raft)
{
	return raft->commit;
}

int64_t raft_applied_index(const struct raft *raft)
{
	return raft->applied;
}

const struct members *raft_members(const struct raft *raft)
{
	return &raft->members;
}

int64_t raft_members_index(const struct raft *raft)
{
	return raft->members_index;
}

const struct lease *raft_lease(const struct raft *raft)
{
	return &raft->lease;
}

const struct raft_counters *raft_counters(const struct raft *raft)
{
	return &raft->counters;
}

/**
 * How long a quorum's answer allows lease reads. Voters wait election_us on
 * their clocks before they elect another leader. Our clock may be slow and
 * theirs fast, so the time is shortened for the worst case.
 */
static int64_t raft_read_lease_us(const struct raft *raft)
{
	int64_t drift_ppm = raft->options.drift_ppm;

	if (raft->options.mutant == RAFT_MUTANT_LEASE_WITHOUT_DRIFT)
		return raft->options.election_us;
	return raft->options.election_us * (RAFT_MILLION - drift_ppm) /
	       (RAFT_MILLION + drift_ppm);
}

bool raft_may_read(const struct raft *raft, int64_t now_us)
{
	return raft->role == RAFT_LEADER && !raft->transferring &&
	       raft->commit >= raft->first_own_index &&
	       raft->applied == raft->commit &&
	       now_us - raft_quorum_us(raft, now_us) < raft_read_lease_us(raft);
}

int64_t raft_fresh_us(const struct raft *raft, int64_t now_us)
{
	int64_t fresh_us = raft->fresh_us;

	if (raft->role == RAFT_LEADER && !raft->transferring &&
	    raft->commit >= raft->first_own_index &&
	    raft_quorum_us(raft, now_us) > fresh_us)
		fresh_us = raft_quorum_us(raft, now_us);
	return fresh_us < now_us ? fresh_us : now_us;
}

int64_t raft_election_us(const struct raft *raft)
{
	if (raft->role == RAFT_LEADER || !raft_can_vote(raft))
		return INT64_MAX;
	return raft->election_at_us;
}

size_t raft_applied_on(const struct raft *raft, int64_t index, size_t *members)
{
	const struct raft_peer *peer;
	size_t applied = raft->applied >= index;

	*members = raft->members.count;
	list_foreach(peer, &raft->peers, node)
		if (peer->is_member && peer->applied >= index)
			applied++;
	return applied;
}
