#include "control/control.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "control/control_state.h"

/*
 * Log bytes that call for a snapshot, and entries kept behind one. Each change
 * is a whole document, and hundreds of them would fill memory and the disk.
 */
#define SNAPSHOT_BYTES (INT64_C(2) * 1024 * 1024)
#define SNAPSHOT_KEPT 16

/* Heartbeats in an election timeout: so many less one may be lost. */
#define HEARTBEATS 6

/* Interval of the checks for heartbeats, polls and duties. */
#define TICK_US INT64_C(50000)

/*
 * Silence after which a voter is replaced, if another VM can take its place.
 * A new VM is expected to count four seconds after its start.
 */
#define REPLACE_US INT64_C(3000000)

/* Silence after which a VM that doesn't vote is forgotten. */
#define DROP_US INT64_C(30000000)

/* Longest wait of a planned stop for the transfer of leadership. */
#define STOP_US INT64_C(1500000)

void control_log(struct effects *effects, enum log_level level,
		 const char *module, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	effects_add_log(effects, level, module, format, args);
	va_end(args);
}

static struct raft_options raft_options_of(const struct control *control)
{
	const struct control_options *options = &control->options;
	struct raft_options raft = raft_default_options();
	struct member *self = &raft.self;

	self->id = options->self;
	self->incarnation = options->incarnation;
	self->disk = true;
	name_shorten(self->vm, control->vm);
	name_shorten(self->zone, control->zone);
	snprintf(self->address, sizeof(self->address), "%s", control->address);
	raft.seed = options->seed;
	raft.heartbeat_us = options->election_us / HEARTBEATS;
	raft.election_us = options->election_us;
	raft.snapshot_bytes = SNAPSHOT_BYTES;
	raft.keep_entries = SNAPSHOT_KEPT;
	raft.policy.voters = options->voters;
	raft.policy.keep_voters = true;
	raft.policy.voter_timeout_us = REPLACE_US;
	raft.policy.learner_timeout_us = DROP_US;
	raft.lease.duration_us = options->lease_us;
	/* The usual margin is for the usual lease: a sixth of a shorter one. */
	if (raft.lease.margin_us > options->lease_us / 6)
		raft.lease.margin_us = options->lease_us / 6;
	return raft;
}

enum result control_new(struct control **out,
			const struct control_options *options,
			const struct raft_persistent_state *saved,
			int64_t now_us, struct effects *effects)
{
	struct control *control = xcalloc(1, sizeof(*control));
	struct raft_options raft;
	enum result code;

	control->options = *options;
	control->vm = xstrdup(options->vm);
	control->zone = xstrdup(options->zone);
	control->address = xstrdup(options->address);
	ledger_init(&control->ledger);
	registry_init(&control->registry, options->beat_us, now_us);
	begun_init(&control->begun);
	roster_init(&control->roster);
	poison_init(&control->poison);
	part_watch_init(&control->parts);
	list_init(&control->unserved);
	retry_history_init(&control->retries);
	affinities_init(&control->affinities, CONTROL_AFFINITIES_MOST);
	control->retries_since_us = now_us;
	control->heard_since_us = now_us;
	control->versions_us = INT64_MIN / 2;
	map_init(&control->peers);
	list_init(&control->proposals);
	list_init(&control->forwarded);
	list_init(&control->reports);
	list_init(&control->sizes);
	raft = raft_options_of(control);
	control->raft = raft_new(&raft, now_us);
	control->announced_index = -1;
	code = raft_restore(control->raft, saved);
	if (code) {
		control_free(control);
		return code;
	}
	if (options->found && !saved->term && !saved->n_entries &&
	    !saved->snapshot_index) {
		control_log(effects, LOG_INFO, "group",
			    "event=found vm=%s address=%s", control->vm,
			    control->address);
		raft_bootstrap(control->raft, now_us, effects);
		/* Nobody has served a request before. */
		control->retries_since_us = INT64_MIN / 2;
	}
	*out = control;
	control_drain(control, now_us, effects);
	return RESULT_OK;
}

void control_free(struct control *control)
{
	struct control_proposal *proposal;
	struct control_proposal *next_proposal;

	if (!control)
		return;
	list_foreach_safe(proposal, next_proposal, &control->proposals, node)
		control_free_proposal(proposal);
	control_clear_forwarded(control);
	feed_peers_clear(&control->peers);
	control_drop_reports(control);
	control_drop_sizes(control);
	document_free(control->document);
	raft_free(control->raft);
	ledger_clear(&control->ledger);
	bytes_clear(&control->packed);
	bytes_clear(&control->news);
	registry_clear(&control->registry);
	begun_clear(&control->begun);
	roster_clear(&control->roster);
	poison_clear(&control->poison);
	part_watch_clear(&control->parts);
	control_free_unserved(control);
	retry_history_clear(&control->retries);
	affinities_clear(&control->affinities);
	members_clear(&control->announced);
	free(control->vm);
	free(control->zone);
	free(control->address);
	free(control);
}

/* Returns the outcome for the callers of the entry. */
static enum result apply_command(struct control *control,
				 const struct raft_committed *committed,
				 int64_t now_us, struct effects *effects)
{
	enum ledger_change change =
		ledger_apply(&control->ledger, committed->data, committed->len);

	if (change == LEDGER_DOCUMENT) {
		control_log(effects, LOG_INFO, "document",
			    "event=in-force version=%lld index=%lld term=%lld",
			    (long long)control->ledger.version,
			    (long long)committed->index,
			    (long long)committed->term);
		control_new_document(control,
				     control_proposed_document(control,
							       committed->index,
							       committed->term),
				     effects);
		control_send_version(control, now_us, effects);
	}
	if (change == LEDGER_WINDOW)
		control_window_applied(control);
	if (change == LEDGER_COUNTED)
		control->window_pending = 0;
	if (change == LEDGER_EVACUATION)
		control_evacuations_changed(control, effects);
	if (change == LEDGER_REFUSED)
		control_log(effects, LOG_WARN, "evacuation",
			    "event=refused index=%lld reason=overtaken-or-"
			    "too-many-zones",
			    (long long)committed->index);
	return change == LEDGER_REFUSED ? RESULT_NO_QUORUM : RESULT_OK;
}

static void apply_snapshot(struct control *control,
			   const struct raft_committed *committed,
			   int64_t now_us, struct effects *effects)
{
	if (!ledger_load(&control->ledger, committed->data, committed->len))
		control_log(effects, LOG_ERROR, "group",
			    "event=snapshot-unreadable index=%lld",
			    (long long)committed->index);
	control_log(effects, LOG_INFO, "document",
		    "event=in-force version=%lld index=%lld by=snapshot",
		    (long long)control->ledger.version,
		    (long long)committed->index);
	control_new_document(control, NULL, effects);
	control_send_version(control, now_us, effects);
	control_evacuations_changed(control, effects);
}

static void take_snapshot(struct control *control, int64_t now_us,
			  struct effects *effects)
{
	struct bytes state = { 0 };

	ledger_save(&control->ledger, &state);
	raft_set_snapshot(control->raft, raft_applied_index(control->raft),
			  state.data, state.len, now_us, effects);
	bytes_clear(&state);
}

static void note_roles(struct control *control, int64_t now_us,
		       struct effects *effects)
{
	bool leader = raft_is_leader(control->raft);
	bool in_charge = lease_valid(raft_lease(control->raft), now_us);

	if (leader != control->leader)
		control_log(effects, LOG_INFO, "group",
			    "event=%s term=%lld commit=%lld voters=%d",
			    leader ? "leader" : "no-leader",
			    (long long)raft_term(control->raft),
			    (long long)raft_commit_index(control->raft),
			    members_voters(raft_members(control->raft)));
	if (in_charge != control->in_charge) {
		control_log(effects, LOG_INFO, "duty",
			    "event=%s term=%lld until_ms=%lld",
			    in_charge ? "in-charge" : "not-in-charge",
			    (long long)raft_term(control->raft),
			    (long long)((raft_lease(control->raft)->expires_us -
					 now_us) /
					1000));
		control_drop_reports(control);
		control_drop_sizes(control);
		control->repeated = false;
		control->window_pending = 0;
	}
	control->leader = leader;
	control->in_charge = in_charge;
}

void control_drain(struct control *control, int64_t now_us,
		   struct effects *effects)
{
	struct raft_committed committed;
	enum result outcome;

	while (raft_next_committed(control->raft, &committed)) {
		outcome = RESULT_OK;
		if (committed.kind == RAFT_COMMITTED_COMMAND)
			outcome = apply_command(control, &committed, now_us,
						effects);
		else if (committed.kind == RAFT_COMMITTED_SNAPSHOT)
			apply_snapshot(control, &committed, now_us, effects);
		control_proposals_applied(control, committed.index,
					  committed.term, outcome, effects);
	}
	if (raft_needs_snapshot(control->raft))
		take_snapshot(control, now_us, effects);
	if (control->announced_index != raft_members_index(control->raft))
		control_send_members(control, effects);
	note_roles(control, now_us, effects);
}

static void check_stop(struct control *control, int64_t now_us,
		       struct effects *effects)
{
	if (!control->stop_by_us || control->exited)
		return;
	if (now_us < control->stop_by_us && !raft_transfer_done(control->raft))
		return;
	control->exited = true;
	effects_add(effects, EFFECT_EXIT);
}

/* This VM's estimate of the wall clock, which it also sends the others. */
static int64_t own_wall_us(struct control *control, int64_t wall_us,
			   int64_t now_us, struct effects *effects)
{
	bool stepping = control->own_wall.stepping;
	int64_t agreed_us = wall_others_us(&control->wall, now_us);
	int64_t believed_us =
		stepout_time_us(&control->own_wall, wall_us, agreed_us, now_us);

	if (control->own_wall.stepping != stepping)
		control_log(effects, LOG_WARN, "clock",
			    "event=%s wall_us=%lld believed_us=%lld "
			    "others_us=%lld",
			    stepping ? "step-over" : "step", (long long)wall_us,
			    (long long)believed_us, (long long)agreed_us);
	return believed_us;
}

void control_tick(struct control *control, int64_t wall_us, int64_t now_us,
		  struct effects *effects)
{
	wall_us = own_wall_us(control, wall_us, now_us, effects);
	wall_note(&control->wall, 0, wall_us, now_us);
	raft_tick(control->raft, now_us, effects);
	control_drain(control, now_us, effects);
	control_expire_proposals(control, now_us, effects);
	control_expire_forwarded(control, now_us, effects);
	control_feed_tick(control, wall_us, now_us, effects);
	control_tell_parts(control, now_us, effects);
	control_servers_tick(control, now_us, effects);
	control_versions_tick(control, now_us, effects);
	control_duty_tick(control, now_us, effects);
	control_fleet_tick(control, now_us, effects);
	control_drain(control, now_us, effects);
	check_stop(control, now_us, effects);
}

/*
 * Urgent news doesn't wait for a tick. Elections neither: the random
 * waits of VMs that were started together would all end at a few ticks, and
 * candidates that begin together take each other's votes.
 */
int64_t control_next_tick(const struct control *control, int64_t now_us)
{
	int64_t at_us = raft_election_us(control->raft);
	int64_t news_us = control_news_us(control);

	if (news_us < at_us)
		at_us = news_us;
	if (at_us <= now_us || at_us > now_us + TICK_US)
		return now_us + TICK_US;
	return at_us;
}

void control_link_up(struct control *control, const struct event_link_up *up,
		     int64_t now_us, struct effects *effects)
{
	struct feed_peer *peer =
		feed_peer_up(&control->peers, up->peer, up->observer);

	snprintf(peer->vm, sizeof(peer->vm), "%s", up->name);
	snprintf(peer->links, sizeof(peer->links), "%s",
		 up->address ? up->address : "");
	peer->zone = map_hash_text(up->zone);
	control_log(effects, LOG_INFO, "link", "event=up vm=%s zone=%s role=%s",
		    up->name, up->zone, up->observer ? "entry" : "control");
	if (!peer->observer) {
		raft_peer_up(control->raft, up->peer, now_us, effects);
		control_drain(control, now_us, effects);
	} else {
		roster_up(&control->roster, up->name, up->peer, now_us);
	}
	control_number_entry_vms(control);
	control_welcome(control, peer, now_us, effects);
}

void control_link_down(struct control *control, uint64_t id, int64_t now_us,
		       struct effects *effects)
{
	struct feed_peer *peer = feed_peer_find(&control->peers, id);

	if (!peer)
		return;
	control_log(effects, LOG_INFO, "link", "event=down peer=%llx role=%s",
		    (unsigned long long)id,
		    peer->observer ? "entry" : "control");
	if (!peer->observer) {
		raft_peer_down(control->raft, id, now_us, effects);
		control_forwarded_lost(control, id, effects);
		control_drain(control, now_us, effects);
	} else {
		roster_down(&control->roster, id, now_us);
		control_process_ended(control, id, now_us, effects);
	}
	feed_peer_down(&control->peers, peer);
	control_number_entry_vms(control);
}

void control_link_message(struct control *control,
			  const struct event_link_message *message,
			  int64_t now_us, struct effects *effects)
{
	struct feed_peer *peer = feed_peer_find(&control->peers, message->peer);

	if (!peer)
		return;
	if (message->channel == LINK_FEED) {
		control_feed_message(control, message->peer, &message->body,
				     now_us, effects);
	} else if (message->channel == LINK_RAFT && !peer->observer) {
		raft_message(control->raft, message->peer, message->body.data,
			     message->body.len, now_us, effects);
		control_drain(control, now_us, effects);
	}
}

void control_synced(struct control *control, int64_t ticket, int64_t now_us,
		    struct effects *effects)
{
	raft_synced(control->raft, ticket, now_us, effects);
	control_drain(control, now_us, effects);
}

void control_disk_failed(struct control *control, enum result code,
			 int64_t now_us, struct effects *effects)
{
	raft_disk_failed(control->raft, code, now_us, effects);
	control_drain(control, now_us, effects);
}

void control_stop(struct control *control, int64_t now_us,
		  struct effects *effects)
{
	if (control->stop_by_us)
		return;
	control_log(effects, LOG_INFO, "daemon", "event=stop leader=%d",
		    raft_is_leader(control->raft));
	control->stop_by_us = now_us + STOP_US;
	raft_transfer(control->raft, now_us, effects);
	control_drain(control, now_us, effects);
	check_stop(control, now_us, effects);
}

struct control_view control_view(const struct control *control, int64_t now_us)
{
	const struct raft *raft = control->raft;
	const struct members *members = raft_members(raft);
	struct control_view view = {
		.leader = raft_is_leader(raft),
		.in_charge = lease_valid(raft_lease(raft), now_us),
		.term = raft_term(raft),
		.commit = raft_commit_index(raft),
		.version = control->ledger.version,
		.voters = members_voters(members),
		.members = (int)members->count,
		.entry_vms = control->entry_vms,
		.servers = registry_count_usable(&control->registry),
		.reported = control->reported,
		.lists = control->lists,
		.evacuated =
			(int)evacuations_count(&control->ledger.evacuations),
		.evacuation_changes = control->ledger.evacuations.revision,
	};

	return view;
}
