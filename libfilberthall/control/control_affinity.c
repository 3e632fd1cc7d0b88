/*
 * Where streams were begun, for the entry VMs that their callers come back to.
 *
 * Entry VMs tell all control VMs to which they have a link. Where some links
 * are cut the VM that is asked may not be one that was told, so it asks the
 * others, and the entry VM asks again. Nothing is kept on disk: entry VMs
 * repeat what they know when a link comes up.
 */
#include "control/control_state.h"

void control_receive_affinities(struct control *control,
				const struct feed_message *message,
				int64_t now_us)
{
	size_t i;

	for (i = 0; i < message->n_affinities; i++) {
		struct affinity affinity = message->affinities[i];

		affinity.expires_us += now_us;
		affinities_note(&control->affinities, &affinity, now_us);
	}
}

static void ask_others(struct control *control,
		       const struct feed_affinity_ask *ask,
		       struct effects *effects)
{
	struct feed_affinity_ask forwarded = *ask;
	struct bytes body = { 0 };

	forwarded.forward = false;
	feed_write_affinity_ask(&body, &forwarded);
	control_send(control, TO_CONTROL, &body, effects);
}

static bool any_versions_differ(const struct control *control,
				const struct feed_affinity_ask *ask,
				int64_t now_us)
{
	int i;

	for (i = 0; i < ask->n_services; i++)
		if (control_versions_differ(control, ask->services[i], now_us))
			return true;
	return false;
}

void control_answer_affinity(struct control *control, uint64_t id,
			     const struct feed_affinity_ask *ask,
			     int64_t now_us, struct effects *effects)
{
	const struct feed_peer *peer = feed_peer_find(&control->peers, id);
	const struct affinity *known =
		affinities_find(&control->affinities, &ask->key, now_us);
	struct feed_affinity_none none = {
		.key = ask->key,
		.versions_differ = any_versions_differ(control, ask, now_us),
		.voters = members_voters(raft_members(control->raft)),
		.votes = raft_is_voter(control->raft),
	};
	struct bytes body = { 0 };

	if (!peer || (!known && !peer->observer))
		return;
	if (known)
		feed_write_affinities(&body, known, 1, now_us);
	else
		feed_write_affinity_none(&body, &none);
	feed_send(effects, id, &body);
	bytes_clear(&body);
	if (!known && ask->forward)
		ask_others(control, ask, effects);
}
