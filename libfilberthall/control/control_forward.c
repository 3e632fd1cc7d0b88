/*
 * Forwards operators' changes from a control VM that doesn't lead to the
 * leader.
 *
 * Failure handled: a redirect needs a second call, to the leader alone. Each
 * call of an operator may reach a VM that doesn't respond, or lose its answer;
 * the operator then waits for its timeout and tries all VMs again. Only what
 * can't be forwarded is redirected.
 */
#include <stdlib.h>

#include "base/alloc.h"
#include "control/control_state.h"

/* For a leader that is gone; a live one answers before this. */
#define FORWARD_TIMEOUT_US INT64_C(4000000)

static void free_forwarded(struct control_forwarded *forwarded)
{
	list_remove(&forwarded->node);
	free(forwarded);
}

void control_clear_forwarded(struct control *control)
{
	struct control_forwarded *forwarded;
	struct control_forwarded *next;

	list_foreach_safe(forwarded, next, &control->forwarded, node)
		free_forwarded(forwarded);
}

static void add_forwarded(struct control *control, uint64_t call,
			  uint64_t leader, int64_t version, int64_t now_us)
{
	struct control_forwarded *forwarded = xcalloc(1, sizeof(*forwarded));

	forwarded->call = call;
	forwarded->leader = leader;
	forwarded->version = version;
	forwarded->expires_us = now_us + FORWARD_TIMEOUT_US;
	list_append(&control->forwarded, &forwarded->node);
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
	add_forwarded(control, call, leader, 0, now_us);
	control_log(effects, LOG_INFO, "evacuation",
		    "event=forwarded call=%llu zone=%s evacuate=%d "
		    "leader=%llx term=%lld",
		    (unsigned long long)call, order->zone, order->evacuate,
		    (unsigned long long)leader,
		    (long long)raft_term(control->raft));
	return true;
}

bool control_forward_document(struct control *control, uint64_t call,
			      int64_t version, const struct bytes *text,
			      int64_t now_us, struct effects *effects)
{
	uint64_t leader = raft_leader(control->raft);
	struct feed_peer *peer = feed_peer_find(&control->peers, leader);
	struct feed_change change = { call, version, text->data, text->len };
	struct bytes body = { 0 };

	if (!peer || !peer->changes ||
	    (int64_t)text->len > control->options.forward_bytes_max)
		return false;
	feed_write_change(&body, &change);
	feed_send(effects, leader, &body);
	bytes_clear(&body);
	add_forwarded(control, call, leader, version, now_us);
	control_log(effects, LOG_INFO, "document",
		    "event=handed-on call=%llu version=%lld held=%lld "
		    "leader=%llx term=%lld",
		    (unsigned long long)call, (long long)version,
		    (long long)control->ledger.version,
		    (unsigned long long)leader,
		    (long long)raft_term(control->raft));
	return true;
}

static void end_forwarded(struct control *control,
			  struct control_forwarded *forwarded, enum result code,
			  struct effects *effects)
{
	control_log(effects, LOG_INFO, "document",
		    "event=answered call=%llu version=%lld leader=%llx code=%s",
		    (unsigned long long)forwarded->call,
		    (long long)forwarded->version,
		    (unsigned long long)forwarded->leader, result_name(code));
	if (code == RESULT_NOT_LEADER)
		control_answer_elsewhere(control, forwarded->call, "change",
					 forwarded->version, effects);
	else
		control_answer(effects, forwarded->call, code, NULL);
	free_forwarded(forwarded);
}

void control_receive_change_result(struct control *control, uint64_t peer,
				   const struct feed_changed *changed,
				   struct effects *effects)
{
	struct control_forwarded *forwarded;
	struct control_forwarded *next;

	list_foreach_safe(forwarded, next, &control->forwarded, node)
		if (forwarded->call == changed->call &&
		    forwarded->leader == peer)
			end_forwarded(control, forwarded,
				      (enum result)changed->code, effects);
}

void control_forwarded_lost(struct control *control, uint64_t peer,
			    struct effects *effects)
{
	struct control_forwarded *forwarded;
	struct control_forwarded *next;

	list_foreach_safe(forwarded, next, &control->forwarded, node)
		if (forwarded->leader == peer)
			end_forwarded(control, forwarded, RESULT_NO_QUORUM,
				      effects);
}

void control_expire_forwarded(struct control *control, int64_t now_us,
			      struct effects *effects)
{
	struct control_forwarded *forwarded;
	struct control_forwarded *next;

	list_foreach_safe(forwarded, next, &control->forwarded, node)
		if (now_us >= forwarded->expires_us)
			end_forwarded(control, forwarded, RESULT_NO_QUORUM,
				      effects);
}
