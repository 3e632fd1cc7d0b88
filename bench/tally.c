#include "bench/tally.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "base/result.h"
#include "fakes/json.h"

#define US_PER_MS 1000.0

struct tally_percentile {
	const char *name;
	double part;
};

static const struct tally_percentile tally_percentiles[] = {
	{ "p50", 0.5 },	    { "p90", 0.9 }, { "p95", 0.95 }, { "p99", 0.99 },
	{ "p99.9", 0.999 }, { "max", 1 },   { NULL, 0 },
};

struct tally *tally_new(const struct profile_class *class)
{
	struct tally *tally = xcalloc(1, sizeof(*tally));

	tally->class = class;
	list_init(&tally->codes);
	return tally;
}

void tally_free(struct tally *tally)
{
	struct tally_code *code;
	struct tally_code *tmp;

	list_foreach_safe(code, tmp, &tally->codes, node)
		free(code);
	free(tally);
}

void tally_add_code(struct tally *tally, int64_t number)
{
	struct tally_code *code;

	list_foreach(code, &tally->codes, node) {
		if (code->code != number)
			continue;
		code->count++;
		return;
	}
	code = xcalloc(1, sizeof(*code));
	code->code = number;
	code->count = 1;
	list_append(&tally->codes, &code->node);
}

int64_t tally_bad(const struct tally *tally)
{
	return tally->verdicts[ANSWER_LOST] + tally->verdicts[ANSWER_TORN] +
	       tally->verdicts[ANSWER_DOUBLED] +
	       tally->verdicts[ANSWER_CROSSED];
}

static void tally_print_times(const char *name,
			      const struct histogram *histogram)
{
	const struct tally_percentile *at = tally_percentiles;

	if (!histogram->count)
		return;
	printf("  %-12s", name);
	for (; at->name; at++)
		printf(" %s %.2f", at->name,
		       (double)histogram_at(histogram, at->part) / US_PER_MS);
	printf(" ms\n");
}

static void tally_print_class(const struct tally *tally, double seconds)
{
	const struct tally_code *code;
	int verdict;

	printf("%s: %" PRId64 " sent, %.1f/s ok, %.1f tokens/s\n",
	       tally->class->name, tally->sent,
	       (double)tally->verdicts[ANSWER_OK] / seconds,
	       (double)tally->tokens / seconds);
	printf(" ");
	for (verdict = 0; verdict < ANSWER_VERDICTS; verdict++)
		printf(" %s %" PRId64,
		       answer_verdict_name((enum answer_verdict)verdict),
		       tally->verdicts[verdict]);
	printf(" attained %" PRId64 "\n", tally->attained);
	list_foreach(code, &tally->codes, node)
		printf("  refused %" PRId64 " %s: %" PRId64 "\n", code->code,
		       result_name((enum result)code->code), code->count);
	tally_print_times("first token", &tally->first_us);
	tally_print_times("token gap", &tally->gap_us);
	tally_print_times("whole", &tally->whole_us);
}

void tally_print(const struct list *tallies, const struct profile *profile,
		 double seconds)
{
	const struct profile_organisation *organisation;
	const struct tally *tally;

	list_foreach(tally, tallies, node)
		tally_print_class(tally, seconds);
	list_foreach(organisation, &profile->organisations, node)
		printf("%s: ok %" PRId64 ", not ok %" PRId64 "\n",
		       organisation->name, organisation->ok,
		       organisation->refused);
}

static json_t *tally_times_json(const struct histogram *histogram)
{
	const struct tally_percentile *at = tally_percentiles;
	json_t *json = json_object();

	for (; at->name; at++)
		json_object_set_new(json, at->name,
				    json_real((double)histogram_at(histogram,
								   at->part) /
					      US_PER_MS));
	json_object_set_new(json, "mean",
			    json_real(histogram_mean(histogram) / US_PER_MS));
	json_object_set_new(json, "count",
			    json_integer((json_int_t)histogram->count));
	return json;
}

static json_t *tally_codes_json(const struct tally *tally)
{
	json_t *json = json_object();
	const struct tally_code *code;

	list_foreach(code, &tally->codes, node) {
		cleanup(free_ptr) char *number =
			xstrfmt("%" PRId64, code->code);

		json_object_set_new(json, number, json_integer(code->count));
	}
	return json;
}

static json_t *tally_class_json(const struct tally *tally)
{
	json_t *json =
		json_pack("{s:s, s:I, s:I, s:I}", "name", tally->class->name,
			  "sent", (json_int_t)tally->sent, "attained",
			  (json_int_t)tally->attained, "tokens",
			  (json_int_t)tally->tokens);
	int verdict;

	for (verdict = 0; verdict < ANSWER_VERDICTS; verdict++)
		json_object_set_new(json,
				    answer_verdict_name(
					    (enum answer_verdict)verdict),
				    json_integer(tally->verdicts[verdict]));
	json_object_set_new(json, "codes", tally_codes_json(tally));
	json_object_set_new(json, "first_ms",
			    tally_times_json(&tally->first_us));
	json_object_set_new(json, "gap_ms", tally_times_json(&tally->gap_us));
	json_object_set_new(json, "whole_ms",
			    tally_times_json(&tally->whole_us));
	return json;
}

void tally_print_json(const struct list *tallies, const struct profile *profile,
		      double seconds)
{
	cleanup(json_free) json_t *json =
		json_pack("{s:f, s:[], s:{}}", "seconds", seconds, "classes",
			  "organisations");
	const struct profile_organisation *organisation;
	const struct tally *tally;

	list_foreach(tally, tallies, node)
		json_array_append_new(json_object_get(json, "classes"),
				      tally_class_json(tally));
	list_foreach(organisation, &profile->organisations, node)
		json_object_set_new(
			json_object_get(json, "organisations"),
			organisation->name,
			json_pack("{s:I, s:I}", "ok",
				  (json_int_t)organisation->ok, "not_ok",
				  (json_int_t)organisation->refused));
	json_dumpf(json, stdout, JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	printf("\n");
}
