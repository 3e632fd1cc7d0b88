/*
 * Limits that backend servers in need name in their answers to entry VMs, told
 * to the other VMs. Nothing is kept on disk: entry VMs repeat what they know
 * when a link comes up.
 */
#include "control/control_state.h"

static void tell(struct control *control, enum audience audience,
		 const struct registry_entry *server, int64_t now_us,
		 struct effects *effects)
{
	struct bytes body = { 0 };

	feed_write_limit(&body, server, now_us);
	control_send(control, audience, &body, effects);
}

void control_receive_limit(struct control *control, uint64_t id,
			   const struct feed_limit *told, int64_t now_us,
			   struct effects *effects)
{
	const struct feed_peer *peer = feed_peer_find(&control->peers, id);
	struct registry_entry *server =
		registry_find(&control->registry, told->id);

	if (!peer || !server ||
	    server->registration.started_ms != told->started_ms ||
	    !registry_merge_limit(server, told->per_s, now_us - told->age_us))
		return;
	control_log(effects, LOG_INFO, "server",
		    "event=limit server=%s per_s=%.3f", told->id, told->per_s);
	tell(control, TO_ENTRY, server, now_us, effects);
	if (peer->observer)
		tell(control, TO_CONTROL, server, now_us, effects);
}

/** After the registrations: a limit of an unknown server says nothing. */
void control_tell_limits_to(const struct control *control,
			    const struct feed_peer *peer, int64_t now_us,
			    struct effects *effects)
{
	struct feed_audience audience = { peer->id, now_us, effects };

	feed_send_limits(&audience, &control->registry);
}
