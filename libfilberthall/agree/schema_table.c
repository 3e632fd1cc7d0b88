#include "agree/schema_table.h"

#include <stddef.h>

#include "core/rule.h"

#define INT_FIELD(field, low, high, standard, text)                        \
	{                                                                  \
		.name = field, .kind = VALUE_INT, .min = low, .max = high, \
		.default_value = standard, .purpose = text                 \
	}
#define REAL_FIELD(field, low, high, standard, text)                        \
	{                                                                   \
		.name = field, .kind = VALUE_REAL, .min = low, .max = high, \
		.default_value = standard, .purpose = text                  \
	}
#define BOOL_FIELD(field, standard, text)                                     \
	{                                                                     \
		.name = field, .kind = VALUE_BOOL, .default_value = standard, \
		.purpose = text                                               \
	}
#define NAME_FIELD(field, text)                                    \
	{                                                          \
		.name = field, .kind = VALUE_NAME, .purpose = text \
	}
#define END_FIELD            \
	{                    \
		.name = NULL \
	}

static const struct schema_field class_fields[] = {
	{ .name = "tier",
	  .kind = VALUE_INT,
	  .max = RULE_TIERS - 1,
	  .required = true,
	  .purpose = "0 is the highest; never shed for a lower one" },
	INT_FIELD("first_token_ms", 0, 3600000, 0,
		  "target until the first token, 0 for none"),
	INT_FIELD("inter_token_ms", 0, 60000, 0,
		  "target between two tokens, 0 for none"),
	INT_FIELD("deadline_ms", 1, 3600000, 60000,
		  "whole answer, from arrival"),
	REAL_FIELD("min_share", 0, 0.5, 0,
		   "part of dispatches guaranteed; 0.5 at most over all"),
	INT_FIELD("queue_bound", 1, 1000000, 1000,
		  "requests waiting on one VM at most"),
	BOOL_FIELD("idempotent", 1, "may be retried and hedged"),
	BOOL_FIELD("reclaimable", 0, "may run on cheap backend servers"),
	END_FIELD,
};

static const struct schema_field organisation_fields[] = {
	INT_FIELD("max_concurrent", 0, 1000000, 0,
		  "requests at once over all VMs, 0 for no limit"),
	INT_FIELD("requests_per_min", 0, 100000000, 0,
		  "requests a minute over all VMs, 0 for no limit"),
	INT_FIELD("tokens_per_min", 0, 10000000000.0, 0,
		  "tokens a minute over all VMs, 0 for no limit"),
	REAL_FIELD("burst_s", 0.1, 3600, 10,
		   "seconds' worth of the rates at once"),
	END_FIELD,
};

static const struct schema_field route_fields[] = {
	{ .name = "method",
	  .kind = VALUE_TEXT,
	  .min = 1,
	  .max = 15,
	  .required = true,
	  .purpose = "HTTP method, * for any" },
	{ .name = "prefix",
	  .kind = VALUE_TEXT,
	  .max = RULE_PATH_SIZE - 1,
	  .required = true,
	  .purpose = "of the path below the service" },
	{ .name = "idempotency",
	  .kind = VALUE_CHOICE,
	  .choices = "safe, required, body, none",
	  .required = true,
	  .purpose = "how a repeat is told apart" },
	NAME_FIELD("class", "class where the caller names none"),
	END_FIELD,
};

static const struct schema_field service_fields[] = {
	{ .name = "routes",
	  .kind = VALUE_LIST,
	  .min = 1,
	  .max = RULE_ROUTES,
	  .required = true,
	  .item = route_fields,
	  .purpose = "the first one that matches holds" },
	END_FIELD,
};

static const struct schema_field budget_fields[] = {
	REAL_FIELD("per_hour", 0, 1000000, 0,
		   "spend on backend servers an hour, 0 for no limit"),
	END_FIELD,
};

static const struct schema_field cluster_fields[] = {
	INT_FIELD("voters", 1, 7, 3, "voters wanted; an odd number"),
	INT_FIELD("repair_after_s", 1, 86400, 30,
		  "silence after which a voter is replaced"),
	INT_FIELD("learner_gone_after_s", 1, 86400, 300,
		  "silence after which a learner is removed"),
	END_FIELD,
};

static const struct schema_field usage_fields[] = {
	INT_FIELD("window_s", 1, 86400, 3600, "length of a usage window"),
	INT_FIELD("grace_s", 0, 3600, 30,
		  "wait after a window's end for silent daemons"),
	END_FIELD,
};

static const struct schema_field keys_fields[] = {
	INT_FIELD("stale_ms", 200, 60000, 2000,
		  "a daemon that has been cut off for longer admits nothing"),
	END_FIELD,
};

static const struct schema_field claims_fields[] = {
	INT_FIELD("keep_s", 60, 604800, 86400, "how long a claim is kept"),
	INT_FIELD("max_claims", 1, 10000000, 100000, "claims kept at most"),
	INT_FIELD("max_bytes", 0, 1073741824, 16777216, "kept answers in all"),
	INT_FIELD("answer_bytes", 0, 1048576, 65536, "one kept answer"),
	END_FIELD,
};

static const struct schema_field policy_fields[] = {
	INT_FIELD("drain_s", 1, 86400, 600, "deadline of a drain"),
	{ .name = "at_deadline",
	  .kind = VALUE_CHOICE,
	  .choices = "wait, cut",
	  .purpose = "what happens to streams at a drain's deadline; wait "
		     "is the default" },
	REAL_FIELD("utilisation", 0.1, 0.95, 0.7,
		   "part of its slots that a backend server is planned for"),
	REAL_FIELD("spare", 0, 2, 0.15, "capacity beyond the demand"),
	INT_FIELD("start_s", 1, 3600, 90, "a backend server's start-up time"),
	INT_FIELD("shrink_after_s", 1, 86400, 1200,
		  "less must have sufficed for this long before a stop"),
	BOOL_FIELD("survive_zone", 1,
		   "tier 0 must fit without any one availability zone"),
	END_FIELD,
};

static const struct schema_field zone_fields[] = {
	INT_FIELD("max", 0, 100000, 1000, "backend servers at most"),
	INT_FIELD("cheap_max", 0, 100000, 1000, "of them cheap ones"),
	BOOL_FIELD("evacuated", 0, "its backend servers get no new requests"),
	END_FIELD,
};

static const struct schema_field model_fields[] = {
	INT_FIELD("min", 0, 100000, 1, "backend servers at least"),
	INT_FIELD("max", 0, 100000, 1000, "backend servers at most"),
	REAL_FIELD("cheap_share", 0, 1, 1,
		   "part of the reclaimable work's servers that may be cheap"),
	NAME_FIELD("team", "whose budget pays"),
	END_FIELD,
};

const struct schema_row schema_rows[] = {
	{ "team/*/class/*", class_fields,
	  "A class of requests: its tier and its targets." },
	{ "team/*/organisation/*", organisation_fields,
	  "An organisation and its limits." },
	{ "team/*/service/*", service_fields,
	  "A plain service behind the router." },
	{ "team/*/budget", budget_fields, "What a team may spend." },
	{ "site/cluster", cluster_fields, "Who holds the agreed state." },
	{ "site/usage", usage_fields, "Usage windows." },
	{ "site/keys", keys_fields, "How long a withdrawn key may live on." },
	{ "site/claims", claims_fields,
	  "Claims of requests that may not be repeated." },
	{ "site/fleet/policy", policy_fields,
	  "How many backend servers, and how they stop." },
	{ "site/fleet/zone/*", zone_fields, "Bounds of a zone." },
	{ "site/fleet/model/*", model_fields, "Bounds of a model's servers." },
	{ "site/fleet/service/*", model_fields,
	  "Bounds of a plain service's servers." },
	{ NULL, NULL, NULL },
};
