/*
 * Usage windows and their reports. Counters are sent to a second VM and to the
 * leader within a second. The leader commits each window's figures to the log
 * and then reports them, only under a lease that outlasts the call.
 */
#include "agree/rules.h"
#include "core/core_state.h"

#define BILLING_MESSAGE_BYTES 16384
#define BILLING_PROPOSAL_TIMEOUT_US INT64_C(30000000)

static struct report_situation billing_report_situation(struct core *core,
							uint64_t *ids)
{
	const struct settings *settings = agreed_settings(core->agreed);
	const struct members *members = raft_members(core->raft);
	struct report_situation situation = { 0 };
	size_t i;

	for (i = 0; i < members->count; i++)
		ids[i] = members->items[i].id;
	situation.usage = core->usage;
	situation.windows = agreed_windows(core->agreed);
	situation.members = ids;
	situation.n_members = (int)members->count;
	situation.window_us =
		(int64_t)(1e6 *
			  rules_number(settings, "site/usage", "window_s"));
	situation.grace_us =
		(int64_t)(1e6 *
			  rules_number(settings, "site/usage", "grace_s"));
	situation.now_us = core->now_us;
	return situation;
}

static void billing_send_counters(struct core *core)
{
	struct peer *peer;
	struct peer *next;

	map_foreach(peer, next, &core->peers, node) {
		struct bytes body = { 0 };

		while (peer->up &&
		       usage_next_message(core->usage, peer->id, core->now_us,
					  BILLING_MESSAGE_BYTES, &body))
			peers_send(core, peer->id, LINK_USAGE, &body);
		bytes_clear(&body);
	}
}

/* Proposes the next window's figures, one window at a time. */
static void billing_propose_window(struct core *core,
				   const struct report_situation *situation)
{
	struct entry_head head;
	struct bytes entry = { 0 };
	json_t *rows;
	int64_t window;

	if (core->window_ticket && propose_find(core, core->window_ticket))
		return;
	window = report_due(core->report, situation);
	if (window < 0)
		return;
	rows = report_figures(situation, window);
	head = consensus_head(core);
	core->window_ticket = head.ticket;
	entry_window(&entry, &head, window, rows);
	json_decref(rows);
	propose_entry(core, head.ticket, &entry,
		      core->now_us + BILLING_PROPOSAL_TIMEOUT_US);
}

void billing_tick(struct core *core)
{
	const struct lease *lease = raft_lease(core->raft);
	struct report_situation situation;
	uint64_t ids[MEMBER_MAX];

	situation = billing_report_situation(core, ids);
	if (core->wall_us)
		usage_tick(core->usage, situation.window_us, core->wall_us,
			   core->now_us);
	billing_send_counters(core);
	if (!raft_is_leader(core->raft) ||
	    !raft_may_read(core->raft, core->now_us)) {
		report_reset(core->report);
		return;
	}
	if (!core->options.platform)
		return;
	billing_propose_window(core, &situation);
	if (lease_may_order(lease, REPORT_TIMEOUT_MS * 1000, core->now_us))
		report_tick(core->report, agreed_windows(core->agreed),
			    lease->term, lease_order_deadline(lease),
			    core->now_us, core->effects);
}

void billing_message(struct core *core, uint64_t peer, const struct bytes *body)
{
	struct bytes reply = { 0 };

	if (usage_receive(core->usage, peer, body, core->now_us, &reply))
		core_log(core, LOG_WARN, "usage",
			 "malformed usage message from member %llx",
			 (unsigned long long)peer);
	if (reply.len)
		peers_send(core, peer, LINK_USAGE, &reply);
	bytes_clear(&reply);
}

void billing_platform_answer(struct core *core,
			     const struct event_platform *platform)
{
	struct entry_head head;
	struct bytes entry = { 0 };
	bool accepted;
	int64_t window;

	if (!platform->order_id)
		return;
	window = report_answer(core->report, platform->order_id,
			       (enum result)platform->code, &accepted);
	if (window < 0)
		return;
	if (!accepted)
		core_log(core, LOG_ERROR, "usage",
			 "the platform refused the report of window %lld",
			 (long long)window);
	head = consensus_head(core);
	entry_window_settled(&entry, &head, window, accepted);
	propose_entry(core, head.ticket, &entry,
		      core->now_us + BILLING_PROPOSAL_TIMEOUT_US);
}
