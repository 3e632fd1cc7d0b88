/*
 * Operators' changes that reach a control VM which doesn't lead are handed on
 * to the leader.
 *
 * Failure answered: a redirect is a second call, to one VM alone. Each call of
 * an operator may meet a VM that stands still, or lose its answer, and then the
 * operator waits out its time and goes round all VMs again. The redirect is
 * left for what can't be handed on.
 */
#include <stdlib.h>

#include "base/alloc.h"
#include "control/control_state.h"

/* The leader gives a change up sooner; this is for one that is gone. */
#define HANDED_US INT64_C(4000000)

static void free_handed(struct control_handed *handed)
{
	list_remove(&handed->node);
	free(handed);
}

void control_drop_handed(struct control *control)
{
	struct control_handed *handed;
	struct control_handed *next;

	list_foreach_safe(handed, next, &control->handed, node)
		free_handed(handed);
}

static void add_handed(struct control *control, uint64_t call, uint64_t leader,
		       int64_t version, int64_t now_us)
{
	struct control_handed *handed = xcalloc(1, sizeof(*handed));

	handed->call = call;
	handed->leader = leader;
	handed->version = version;
	handed->give_up_us = now_us + HANDED_US;
	list_append(&control->handed, &handed->node);
}

bool control_forward_evacuation(struct control *control, uint64_t call,
				const struct evacuation_order *order,
				int64_t now_us, struct effects *effects)
{
	uint64_t leader = raft_leader(control->raft);
	struct feed_peer *peer = feed_peer_find(&control->peers, leader);
	struct feed_evacuate evacuate = { call, *order };
	struct bytes body = { 0 };

	if (!peer || !peer->evacuations)
		return false;
	feed_write_evacuate(&body, &evacuate);
	feed_send(effects, leader, &body);
	bytes_clear(&body);
	add_handed(control, call, leader, 0, now_us);
	control_log(effects, LOG_INFO, "evacuation",
		    "event=forwarded call=%llu zone=%s evacuate=%d "
		    "leader=%llx term=%lld",
		    (unsigned long long)call, order->zone, order->evacuate,
		    (unsigned long long)leader,
		    (long long)raft_term(control->raft));
	return true;
}

bool control_hand_on(struct control *control, uint64_t call, int64_t version,
		     const struct bytes *text, int64_t now_us,
		     struct effects *effects)
{
	uint64_t leader = raft_leader(control->raft);
	struct feed_peer *peer = feed_peer_find(&control->peers, leader);
	struct feed_change change = { call, version, text->data, text->len };
	struct bytes body = { 0 };

	if (!peer || !peer->changes ||
	    (int64_t)text->len > control->options.hand_on_bytes)
		return false;
	feed_write_change(&body, &change);
	feed_send(effects, leader, &body);
	bytes_clear(&body);
	add_handed(control, call, leader, version, now_us);
	control_log(effects, LOG_INFO, "document",
		    "event=handed-on call=%llu version=%lld held=%lld "
		    "leader=%llx term=%lld",
		    (unsigned long long)call, (long long)version,
		    (long long)control->ledger.version,
		    (unsigned long long)leader,
		    (long long)raft_term(control->raft));
	return true;
}

static void end_handed(struct control *control, struct control_handed *handed,
		       enum result code, struct effects *effects)
{
	control_log(effects, LOG_INFO, "document",
		    "event=answered call=%llu version=%lld leader=%llx code=%s",
		    (unsigned long long)handed->call,
		    (long long)handed->version,
		    (unsigned long long)handed->leader, result_name(code));
	if (code == RESULT_NOT_LEADER)
		control_answer_elsewhere(control, handed->call, "change",
					 handed->version, effects);
	else
		control_answer(effects, handed->call, code, NULL);
	free_handed(handed);
}

void control_take_changed(struct control *control, uint64_t peer,
			  const struct feed_changed *changed,
			  struct effects *effects)
{
	struct control_handed *handed;
	struct control_handed *next;

	list_foreach_safe(handed, next, &control->handed, node)
		if (handed->call == changed->call && handed->leader == peer)
			end_handed(control, handed, (enum result)changed->code,
				   effects);
}

void control_lose_handed(struct control *control, uint64_t peer,
			 struct effects *effects)
{
	struct control_handed *handed;
	struct control_handed *next;

	list_foreach_safe(handed, next, &control->handed, node)
		if (handed->leader == peer)
			end_handed(control, handed, RESULT_NO_QUORUM, effects);
}

void control_expire_handed(struct control *control, int64_t now_us,
			   struct effects *effects)
{
	struct control_handed *handed;
	struct control_handed *next;

	list_foreach_safe(handed, next, &control->handed, node)
		if (now_us >= handed->give_up_us)
			end_handed(control, handed, RESULT_NO_QUORUM, effects);
}
