#include "bench/policy.h"

#include <stddef.h>
#include <string.h>

/* A mechanism that is switched off for the ablation. */
struct ablation {
	const char *name;
	const char *about;
	size_t offset;
};

#define ABLATION(feature, name)                                   \
	{                                                         \
		"no-" name, "full without " name,                 \
			offsetof(struct router_features, feature) \
	}

static const struct ablation ablations[] = {
	ABLATION(tiers, "tiers"),
	ABLATION(min_shares, "min-shares"),
	ABLATION(fairness, "fairness"),
	ABLATION(early_refusal, "early-refusal"),
	ABLATION(length_estimate, "length-estimate"),
	ABLATION(two_choices, "two-choices"),
	ABLATION(prefix_affinity, "prefix-affinity"),
	ABLATION(stragglers, "stragglers"),
	ABLATION(retry_budget, "retry-budget"),
	ABLATION(hedging, "hedging"),
	ABLATION(poison, "poison"),
	ABLATION(preemption, "preemption"),
};

static const struct policy baselines[] = {
	{ .name = "full", .about = "all mechanisms" },
	{ .name = "central", .about = "one router for all", .central = true },
	{ .name = "independent", .about = "full without shares" },
	{ .name = "strict", .about = "tiers and nothing else" },
	{ .name = "least-outstanding",
	  .about = "no queue, least outstanding, no tiers",
	  .kind = POLICY_LEAST },
	{ .name = "fifo",
	  .about = "no queue, round robin, no tiers",
	  .kind = POLICY_FIFO },
};

#define N_BASELINES ((int)(sizeof(baselines) / sizeof(*baselines)))
#define N_ABLATIONS ((int)(sizeof(ablations) / sizeof(*ablations)))

bool policy_at(int n, struct policy *policy)
{
	const struct ablation *ablation;

	if (n < N_BASELINES) {
		*policy = baselines[n];
		policy->features = router_features_all();
		if (!strcmp(policy->name, "independent"))
			policy->features.shares = false;
		if (!strcmp(policy->name, "strict"))
			policy->features =
				(struct router_features){ .tiers = true };
		return true;
	}
	if (n >= N_BASELINES + N_ABLATIONS)
		return false;
	ablation = &ablations[n - N_BASELINES];
	*policy = (struct policy){ .name = ablation->name,
				   .about = ablation->about,
				   .features = router_features_all() };
	*(bool *)((char *)&policy->features + ablation->offset) = false;
	return true;
}

bool policy_find(const char *name, struct policy *policy)
{
	int i;

	for (i = 0; policy_at(i, policy); i++)
		if (!strcmp(policy->name, name))
			return true;
	return false;
}
