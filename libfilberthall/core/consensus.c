/*
 * Applies committed log entries to the replicated state and passes each change
 * on to the modules that it concerns.
 */
#include <stdlib.h>
#include <string.h>

#include "agree/rules.h"
#include "base/alloc.h"
#include "core/core_state.h"

/* Timeout of the proposal of a new site's first settings. */
#define CONSENSUS_SEED_TIMEOUT_US INT64_C(60000000)

/*
 * A daemon without contact for this long is considered dead, and the outcome
 * of its claims unknown. This is longer than an election and a lease together,
 * and shorter than callers wait for the answer of a resend. If the daemon is
 * alive after all, its next claim is refused once and it takes a new owner
 * number.
 */
#define CONSENSUS_OWNER_TIMEOUT_US INT64_C(10000000)

#define CONSENSUS_EXPIRE_PROPOSAL_TIMEOUT_US INT64_C(1000000)

struct entry_head consensus_head(struct core *core)
{
	struct entry_head head = { 0 };

	head.origin = core->options.self;
	head.incarnation = core->options.incarnation;
	head.ticket = ++core->next_ticket;
	head.time_us = core->wall_us;
	return head;
}

bool consensus_is_fresh(const struct core *core)
{
	double stale_ms = rules_number(agreed_settings(core->agreed),
				       "site/keys", "stale_ms");

	return (double)(core->now_us -
			raft_fresh_us(core->raft, core->now_us)) <=
	       stale_ms * 1000;
}

static void consensus_apply_change(struct core *core,
				   const struct change *change)
{
	const struct settings *settings = agreed_settings(core->agreed);
	const struct organisation_rule *organisation;
	const struct class_rule *class;

	switch (change->kind) {
	case CHANGE_CLASS:
		class = rules_class(settings, change->name);
		if (class)
			router_set_class(core->router, class, core->now_us,
					 core->effects);
		else
			router_remove_class(core->router, change->name,
					    core->now_us, core->effects);
		break;
	case CHANGE_ORGANISATION:
		organisation = rules_organisation(settings, change->name);
		if (organisation)
			router_set_organisation(core->router, organisation,
						core->now_us);
		else
			router_remove_organisation(core->router, change->name,
						   core->now_us, core->effects);
		break;
	case CHANGE_KEY:
		if (change->removed)
			request_withdraw_key(core, change->name);
		break;
	case CHANGE_CLAIM:
		request_claim_changed(core, change->name);
		break;
	case CHANGE_SITE:
		evacuate_read_settings(core);
		break;
	case CHANGE_SERVICE:
	case CHANGE_BUDGET:
	case CHANGE_WINDOW:
	case CHANGE_ORDER:
		break;
	}
}

static bool consensus_is_own(const struct core *core,
			     const struct apply_result *applied)
{
	return applied->origin == core->options.self &&
	       (applied->incarnation == (uint64_t)core->options.incarnation ||
		applied->incarnation == core->claim_owner);
}

static void consensus_settle_own(struct core *core,
				 const struct apply_result *applied)
{
	struct proposal *proposal;
	size_t i;

	for (i = 0; i < applied->n_claims; i++) {
		const struct claim_outcome *outcome = &applied->claims[i];

		/*
		 * The other daemons considered this one dead. Claims under its
		 * old owner number stay closed; a new number has the same
		 * effect as a restart, and nothing is sent twice.
		 */
		if (outcome->code == RESULT_CONFLICT &&
		    outcome->verb == CLAIM_VERB_OPEN &&
		    applied->incarnation == core->claim_owner)
			core->claim_owner++;
		request_claim_outcome(core, outcome);
	}
	proposal = propose_find(core, applied->ticket);
	if (!proposal)
		return;
	if (proposal->admin_id)
		operator_applied(core, proposal, applied);
	propose_free(proposal);
}

static void consensus_apply(struct core *core,
			    const struct raft_committed *committed)
{
	struct apply_result applied = { 0 };
	struct change *change;

	agreed_apply(core->agreed, committed->data, committed->len,
		     committed->index, &applied);
	if (applied.code == RESULT_MESSAGE_MALFORMED)
		core_log(core, LOG_ERROR, "consensus",
			 "malformed log entry %lld ignored",
			 (long long)committed->index);
	list_foreach(change, &applied.changes, node)
		consensus_apply_change(core, change);
	if (consensus_is_own(core, &applied))
		consensus_settle_own(core, &applied);
	apply_result_clear(&applied);
}

static void consensus_set_class(void *data, const struct class_rule *rule)
{
	struct core *core = data;

	router_set_class(core->router, rule, core->now_us, core->effects);
}

static void consensus_set_organisation(void *data,
				       const struct organisation_rule *rule)
{
	struct core *core = data;

	router_set_organisation(core->router, rule, core->now_us);
}

/* Names that existed before a snapshot replaced the state. */
struct consensus_names {
	char **names;
	size_t n;
};

static void consensus_names_add(struct consensus_names *names, const char *name)
{
	names->names =
		xrealloc(names->names, (names->n + 1) * sizeof(*names->names));
	names->names[names->n++] = xstrdup(name);
}

static void consensus_add_class(void *data, const struct class_rule *rule)
{
	consensus_names_add(data, rule->name);
}

static void consensus_add_organisation(void *data,
				       const struct organisation_rule *rule)
{
	consensus_names_add(data, rule->name);
}

static void consensus_add_key(void *data, const struct key *key)
{
	consensus_names_add(data, key->id);
}

static void consensus_names_clear(struct consensus_names *names)
{
	size_t i;

	for (i = 0; i < names->n; i++)
		free(names->names[i]);
	free(names->names);
}

static void
consensus_remove_missing(struct core *core,
			 const struct consensus_names *classes,
			 const struct consensus_names *organisations,
			 const struct consensus_names *keys)
{
	const struct settings *settings = agreed_settings(core->agreed);
	size_t i;

	for (i = 0; i < classes->n; i++)
		if (!rules_class(settings, classes->names[i]))
			router_remove_class(core->router, classes->names[i],
					    core->now_us, core->effects);
	for (i = 0; i < organisations->n; i++)
		if (!rules_organisation(settings, organisations->names[i]))
			router_remove_organisation(core->router,
						   organisations->names[i],
						   core->now_us, core->effects);
	for (i = 0; i < keys->n; i++)
		if (!keys_find_id(agreed_keys(core->agreed), keys->names[i]))
			request_withdraw_key(core, keys->names[i]);
}

/*
 * A daemon that was disconnected for long gets a snapshot in place of the
 * entries it missed. What those entries removed is removed here too; otherwise
 * streams of a key withdrawn meanwhile would continue.
 */
static void consensus_install_snapshot(struct core *core,
				       const struct raft_committed *committed)
{
	const struct settings *settings = agreed_settings(core->agreed);
	struct consensus_names classes = { 0 };
	struct consensus_names organisations = { 0 };
	struct consensus_names keys = { 0 };

	rules_visit_classes(settings, consensus_add_class, &classes);
	rules_visit_organisations(settings, consensus_add_organisation,
				  &organisations);
	keys_visit(agreed_keys(core->agreed), consensus_add_key, &keys);
	if (agreed_restore(core->agreed, committed->data, committed->len)) {
		core_log(core, LOG_ERROR, "consensus",
			 "malformed snapshot at index %lld ignored",
			 (long long)committed->index);
	} else {
		settings = agreed_settings(core->agreed);
		rules_visit_classes(settings, consensus_set_class, core);
		rules_visit_organisations(settings, consensus_set_organisation,
					  core);
		consensus_remove_missing(core, &classes, &organisations, &keys);
		evacuate_read_settings(core);
	}
	request_claim_changed(core, NULL);
	consensus_names_clear(&classes);
	consensus_names_clear(&organisations);
	consensus_names_clear(&keys);
}

void consensus_apply_committed(struct core *core)
{
	struct raft_committed committed;

	while (raft_next_committed(core->raft, &committed)) {
		if (committed.kind == RAFT_COMMITTED_COMMAND)
			consensus_apply(core, &committed);
		else if (committed.kind == RAFT_COMMITTED_SNAPSHOT)
			consensus_install_snapshot(core, &committed);
	}
	if (raft_needs_snapshot(core->raft)) {
		struct bytes state = { 0 };

		agreed_snapshot(core->agreed, &state);
		raft_set_snapshot(core->raft, raft_applied_index(core->raft),
				  state.data, state.len, core->now_us,
				  core->effects);
		bytes_clear(&state);
	}
}

static void consensus_seed(struct core *core)
{
	const struct core_options *options = &core->options;
	struct entry_head head;
	struct bytes entry = { 0 };
	json_t *values;

	if (core->seeded || !options->seed_key_hash)
		return;
	core->seeded = true;
	if (keys_count(agreed_keys(core->agreed)) ||
	    settings_count(agreed_settings(core->agreed)))
		return;
	values = json_loadb(options->seed_values.data, options->seed_values.len,
			    0, NULL);
	if (!values)
		values = json_object();
	head = consensus_head(core);
	entry_seed(&entry, &head, values, "first-operator",
		   options->seed_key_hash);
	json_decref(values);
	propose_entry(core, head.ticket, &entry,
		      core->now_us + CONSENSUS_SEED_TIMEOUT_US);
}

static bool consensus_is_unreachable(const struct core *core,
				     const struct member *member)
{
	struct member_health health;

	return member->id != core->options.self &&
	       raft_health(core->raft, member->id, &health) &&
	       core->now_us - health.last_contact_us >=
		       CONSENSUS_OWNER_TIMEOUT_US;
}

/*
 * On the leader: closes the claims of unreachable owners as unknown, so that
 * a caller's resend is answered "unknown" instead of "running" indefinitely.
 */
static void consensus_expire_claim_owners(struct core *core)
{
	const struct members *members = raft_members(core->raft);
	size_t i;

	for (i = 0; i < members->count; i++) {
		struct claim_owner owner = { members->items[i].id, 0 };
		struct entry_head head;
		struct bytes entry = { 0 };

		if (!consensus_is_unreachable(core, &members->items[i]))
			continue;
		owner.incarnation =
			claims_latest_owner(agreed_claims(core->agreed),
					    owner.member);
		if (!owner.incarnation)
			continue;
		core_log(core, LOG_WARN, "consensus",
			 "%s is unreachable: its open claims become unknown",
			 members->items[i].vm);
		head = consensus_head(core);
		entry_owner_gone(&entry, &head, &owner);
		propose_entry(core, head.ticket, &entry,
			      core->now_us +
				      CONSENSUS_EXPIRE_PROPOSAL_TIMEOUT_US);
	}
}

/*
 * Passes the membership settings to Raft, for the leader's replacement of
 * voters.
 */
static void consensus_set_policy(struct core *core)
{
	const struct settings *settings = agreed_settings(core->agreed);
	struct member_policy policy = { 0 };

	policy.voters = (int)rules_number(settings, "site/cluster", "voters");
	policy.voter_timeout_us =
		(int64_t)(1e6 * rules_number(settings, "site/cluster",
					     "repair_after_s"));
	policy.learner_timeout_us =
		(int64_t)(1e6 * rules_number(settings, "site/cluster",
					     "learner_gone_after_s"));
	raft_set_policy(core->raft, &policy);
}

void consensus_start(struct core *core)
{
	rules_visit_classes(agreed_settings(core->agreed), consensus_set_class,
			    core);
	rules_visit_organisations(agreed_settings(core->agreed),
				  consensus_set_organisation, core);
}

void consensus_tick(struct core *core)
{
	bool leader;

	raft_tick(core->raft, core->now_us, core->effects);
	leader = raft_is_leader(core->raft);
	if (leader != core->leader)
		core_log(core, LOG_INFO, "consensus", "%s in term %lld",
			 leader ? "leader" : "no longer leader",
			 (long long)raft_term(core->raft));
	core->leader = leader;
	if (leader && raft_may_read(core->raft, core->now_us))
		consensus_seed(core);
	propose_retry(core);
}

void consensus_slow_tick(struct core *core)
{
	consensus_set_policy(core);
	if (raft_is_leader(core->raft))
		consensus_expire_claim_owners(core);
}
