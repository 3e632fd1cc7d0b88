/*
 * Operators' orders that nothing more is sent to the backend servers of an
 * availability zone, and their withdrawal.
 *
 * Each order goes through the log, also one that changes nothing: a leader
 * that was cut off doesn't know which order came last, and would acknowledge
 * an evacuation that another leader has withdrawn.
 */
#include "control/control_state.h"

static void propose(struct control *control, struct control_caller caller,
		    const struct evacuation_order *order, int64_t now_us,
		    struct effects *effects)
{
	const struct control_proposal *proposal;
	struct bytes entry = { 0 };

	ledger_write_evacuation(&entry, order);
	proposal =
		control_propose(control, caller, NULL, &entry, now_us, effects);
	bytes_clear(&entry);
	if (!proposal)
		return;
	control_log(effects, LOG_INFO, "evacuation",
		    "event=proposed call=%llu zone=%s evacuate=%d "
		    "revision=%lld index=%lld term=%lld",
		    (unsigned long long)caller.call, order->zone,
		    order->evacuate, (long long)order->revision,
		    (long long)proposal->index, (long long)proposal->term);
	control_drain(control, now_us, effects);
}

void control_evacuate(struct control *control, uint64_t call, const char *zone,
		      bool evacuate, int64_t now_us, struct effects *effects)
{
	struct control_caller caller = { 0, call };
	struct evacuation_order order = {
		.evacuate = evacuate,
		.revision = control->ledger.evacuations.revision,
	};

	snprintf(order.zone, sizeof(order.zone), "%s", zone);
	if (raft_is_leader(control->raft)) {
		if (!control_refuse_few_disks(control, &caller, "evacuation",
					      effects))
			propose(control, caller, &order, now_us, effects);
		return;
	}
	if (!control_forward_evacuation(control, call, &order, now_us, effects))
		control_answer_elsewhere(control, call, "evacuation", 0,
					 effects);
}

/** An order that another control VM forwarded. It isn't forwarded again. */
void control_receive_evacuation(struct control *control, uint64_t id,
				const struct feed_evacuate *evacuate,
				int64_t now_us, struct effects *effects)
{
	const struct feed_peer *peer = feed_peer_find(&control->peers, id);
	struct control_caller caller = { id, evacuate->call };

	if (!peer || peer->observer)
		return;
	if (!raft_is_leader(control->raft))
		control_answer_change(&caller, RESULT_NOT_LEADER, effects);
	else if (!control_refuse_few_disks(control, &caller, "evacuation",
					   effects))
		propose(control, caller, &evacuate->order, now_us, effects);
}

/** The zones changed: the log line, and what entry VMs must know at once. */
void control_evacuations_changed(struct control *control,
				 struct effects *effects)
{
	const struct evacuation *zone;

	list_foreach(zone, &control->ledger.evacuations.zones, node)
		control_log(effects, LOG_INFO, "evacuation",
			    "event=in-force zone=%s evacuated=%d "
			    "changed_at=%lld revision=%lld",
			    zone->zone, zone->evacuated,
			    (long long)zone->revision,
			    (long long)control->ledger.evacuations.revision);
	control_send_evacuations(control, effects);
}
