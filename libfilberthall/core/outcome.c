/*
 * Handles the end of a request: settles its claim, counts its usage and writes
 * its spans and metrics.
 */
#include <string.h>

#include "agree/rules.h"
#include "core/core_state.h"

/*
 * The claim's outcome is proposed for as long as a resend may arrive; without
 * it the resend finds "running" until the claim's owner is declared dead.
 */
#define OUTCOME_CLAIM_TIMEOUT_US INT64_C(600000000)

static void outcome_settle_claim(struct core *core,
				 const struct caller_request *request,
				 const struct router_outcome *outcome)
{
	struct claim_op op = { 0 };

	op.ticket = outcome->id;
	memcpy(op.id, request->claim_id, sizeof(op.id));
	op.verb = CLAIM_VERB_UNKNOWN;
	if (outcome->run == RUN_NOT) {
		op.verb = CLAIM_VERB_RELEASE;
	} else if (outcome->run == RUN_RAN && outcome->http_status) {
		op.verb = CLAIM_VERB_DONE;
		op.http_status = outcome->http_status;
		op.content_type = outcome->content_type;
		op.body = outcome->answer ? outcome->answer->data : NULL;
		op.body_len = outcome->answer ? outcome->answer->len : 0;
	}
	request_propose_claim(core, &op,
			      core->now_us + OUTCOME_CLAIM_TIMEOUT_US);
}

static void outcome_count_usage(struct core *core,
				const struct router_outcome *outcome)
{
	struct usage_counters add = { 0 };

	add.requests = outcome->run == RUN_RAN || outcome->output_tokens;
	add.prompt_tokens = add.requests ? outcome->prompt_tokens : 0;
	add.output_tokens = outcome->output_tokens;
	add.wasted_tokens = outcome->wasted_tokens;
	if (add.requests || add.wasted_tokens)
		usage_count(core->usage, outcome->organisation,
			    outcome->class_name, &add);
}

static void outcome_count_team(struct core *core,
			       const struct router_outcome *outcome)
{
	const struct class_rule *rule;

	rule = rules_class(agreed_settings(core->agreed), outcome->class_name);
	if (rule)
		demand_count_request(core->demand, rule->team,
				     outcome->attained);
}

void outcome_finished(void *data, const struct router_outcome *outcome)
{
	struct core *core = data;
	struct caller_request *request = caller_request_find(core, outcome->id);

	metrics_count(core->metrics, outcome);
	outcome_count_usage(core, outcome);
	outcome_count_team(core, outcome);
	if (!request)
		return;
	if (request->claim_id[0])
		outcome_settle_claim(core, request, outcome);
	answer_span(core, request, "edge", request->arrived_us, outcome->code,
		    outcome->address);
	caller_request_free(core, request);
}
