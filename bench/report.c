#include "bench/report.h"

#include <jansson.h>
#include <stdlib.h>

static void text_class(FILE *out, const struct measure *measure, int i)
{
	const struct scenario_class *rule = &measure->scenario->classes[i];
	const struct measure_class *class = &measure->classes[i];
	double share = class->offered ? (double)class->attained /
						(double)class->offered
				      : 1;

	fprintf(out,
		"  %-14s %4d %8lld %8lld %8lld %6.3f %8lld %8lld %6lld %8lld "
		"%7.3f %7.3f %7.3f\n",
		rule->name, (int)rule->tier, (long long)class->offered,
		(long long)class->served, (long long)class->attained, share,
		(long long)class->refused, (long long)class->expired,
		(long long)class->cut, (long long)class->wasted_tokens,
		measure_first_token(measure, i, 0.5),
		measure_first_token(measure, i, 0.95),
		measure_first_token(measure, i, 0.99));
}

void report_text(FILE *out, const struct measure *measure,
		 const struct policy *policy, uint64_t seed)
{
	const char *worst;
	double share = measure_worst(measure, &worst);
	int i;

	fprintf(out, "%s under %s, seed %llu\n", measure->scenario->name,
		policy->name, (unsigned long long)seed);
	fprintf(out,
		"  %-14s %4s %8s %8s %8s %6s %8s %8s %6s %8s %7s %7s %7s\n",
		"class", "tier", "offered", "served", "attained", "share",
		"refused", "expired", "cut", "wasted", "p50_s", "p95_s",
		"p99_s");
	for (i = 0; i < measure->scenario->n_classes; i++)
		text_class(out, measure, i);
	fprintf(out,
		"  goodput %.0f tokens/s, wasted %.4f, worst organisation %s "
		"%.3f, gap of equals %.3f\n",
		measure_goodput(measure), measure_wasted_share(measure), worst,
		share, measure_gap(measure));
	fprintf(out,
		"  breaches: shed over lower %lld, false not-run %lld, run "
		"twice %lld, starved %lld\n\n",
		(long long)measure->shed_over_lower,
		(long long)measure->false_not_run,
		(long long)measure->run_twice, (long long)measure->starved);
}

static json_t *json_class(const struct measure *measure, int i)
{
	const struct measure_class *class = &measure->classes[i];

	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:f, s:f, s:f}",
			 "offered", (json_int_t) class->offered, "served",
			 (json_int_t) class->served, "attained",
			 (json_int_t) class->attained, "refused",
			 (json_int_t) class->refused, "expired",
			 (json_int_t) class->expired, "cut",
			 (json_int_t) class->cut, "wasted_tokens",
			 (json_int_t) class->wasted_tokens, "first_token_p50_s",
			 measure_first_token(measure, i, 0.5),
			 "first_token_p95_s",
			 measure_first_token(measure, i, 0.95),
			 "first_token_p99_s",
			 measure_first_token(measure, i, 0.99));
}

static json_t *json_breaches(const struct measure *measure)
{
	return json_pack("{s:I, s:I, s:I, s:I}", "shed_over_lower",
			 (json_int_t)measure->shed_over_lower, "false_not_run",
			 (json_int_t)measure->false_not_run, "run_twice",
			 (json_int_t)measure->run_twice, "starved",
			 (json_int_t)measure->starved);
}

void report_json(FILE *out, const struct measure *measure,
		 const struct policy *policy, uint64_t seed)
{
	const struct scenario *scenario = measure->scenario;
	json_t *organisations = json_object();
	json_t *classes = json_object();
	json_t *line;
	int i;

	for (i = 0; i < scenario->n_classes; i++)
		json_object_set_new(classes, scenario->classes[i].name,
				    json_class(measure, i));
	for (i = 0; i < scenario->n_organisations; i++)
		json_object_set_new(
			organisations, scenario->organisations[i].name,
			json_pack("{s:I, s:I}", "offered",
				  (json_int_t)measure->organisations[i].offered,
				  "attained",
				  (json_int_t)measure->organisations[i]
					  .attained));
	line = json_pack("{s:s, s:s, s:I, s:o, s:o, s:f, s:f, s:o}", "scenario",
			 scenario->name, "policy", policy->name, "seed",
			 (json_int_t)seed, "classes", classes, "organisations",
			 organisations, "goodput_tokens_per_s",
			 measure_goodput(measure), "wasted_share",
			 measure_wasted_share(measure), "breaches",
			 json_breaches(measure));
	json_dumpf(line, out, JSON_COMPACT | JSON_PRESERVE_ORDER);
	fputc('\n', out);
	json_decref(line);
}
