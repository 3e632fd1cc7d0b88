#include "core/metrics.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

/*
 * Organisations with fewer requests are left out: the fraction would be mostly
 * noise.
 */
#define METRICS_WORST_MIN_REQUESTS 20

/* Bucket bounds of the time to first token, in microseconds. */
static const int64_t metrics_bounds[METRICS_FIRST_TOKEN_BUCKETS] = {
	10000,	25000,	 50000,	  100000,  200000,   350000,
	560000, 1000000, 2000000, 5000000, 10000000, 30000000
};

struct metrics *metrics_new(void)
{
	struct metrics *metrics = xcalloc(1, sizeof(*metrics));

	map_init(&metrics->classes);
	map_init(&metrics->organisations);
	return metrics;
}

void metrics_free(struct metrics *metrics)
{
	struct metrics_organisation *organisation;
	struct metrics_organisation *next_organisation;
	struct metrics_class *class;
	struct metrics_class *next_class;

	if (!metrics)
		return;
	map_foreach(class, next_class, &metrics->classes, node)
		free(class);
	map_foreach(organisation, next_organisation, &metrics->organisations,
		    node)
		free(organisation);
	map_clear(&metrics->classes);
	map_clear(&metrics->organisations);
	free(metrics);
}

static bool metrics_match_class(const struct map_node *node, const void *key)
{
	return !strcmp(container_of(node, struct metrics_class, node)->name,
		       key);
}

static bool metrics_match_organisation(const struct map_node *node,
				       const void *key)
{
	return !strcmp(
		container_of(node, struct metrics_organisation, node)->name,
		key);
}

const struct metrics_class *metrics_class(const struct metrics *metrics,
					  const char *name)
{
	struct map_node *node;

	node = map_find(&metrics->classes, map_hash_text(name),
			metrics_match_class, name);
	return node ? container_of(node, struct metrics_class, node) : NULL;
}

static struct metrics_class *metrics_get_class(struct metrics *metrics,
					       const char *name)
{
	struct metrics_class *class;

	class = (struct metrics_class *)metrics_class(metrics, name);
	if (class)
		return class;
	class = xcalloc(1, sizeof(*class));
	strncpy(class->name, name, sizeof(class->name) - 1);
	map_insert(&metrics->classes, &class->node, map_hash_text(name));
	return class;
}

static struct metrics_organisation *
metrics_get_organisation(struct metrics *metrics, const char *name)
{
	uint64_t hash = map_hash_text(name);
	struct metrics_organisation *organisation;
	struct map_node *node;

	node = map_find(&metrics->organisations, hash,
			metrics_match_organisation, name);
	if (node)
		return container_of(node, struct metrics_organisation, node);
	organisation = xcalloc(1, sizeof(*organisation));
	strncpy(organisation->name, name, sizeof(organisation->name) - 1);
	map_insert(&metrics->organisations, &organisation->node, hash);
	return organisation;
}

static void metrics_count_code(struct metrics *metrics, enum result code)
{
	int i;

	for (i = 0; i < metrics->n_codes; i++)
		if (metrics->codes[i].code == code)
			break;
	if (i == METRICS_CODES)
		return;
	if (i == metrics->n_codes)
		metrics->codes[metrics->n_codes++].code = code;
	metrics->codes[i].count++;
}

static void metrics_count_first_token(struct metrics_class *class,
				      int64_t first_token_us)
{
	int i;

	for (i = 0; i < METRICS_FIRST_TOKEN_BUCKETS; i++)
		if (first_token_us <= metrics_bounds[i])
			break;
	class->first_token[i]++;
	class->first_token_sum_us += first_token_us;
}

static void metrics_count_result(struct metrics_class *class,
				 const struct router_outcome *outcome)
{
	if (outcome->code == RESULT_OK)
		class->served++;
	else if (outcome->code == RESULT_EXPIRED)
		class->expired++;
	else if (outcome->run == RUN_NOT)
		class->refused++;
	else
		class->cut++;
}

void metrics_count(struct metrics *metrics,
		   const struct router_outcome *outcome)
{
	struct metrics_organisation *organisation;
	struct metrics_class *class;

	class = metrics_get_class(metrics, outcome->class_name);
	organisation = metrics_get_organisation(metrics, outcome->organisation);
	class->tier = outcome->tier;
	class->offered++;
	organisation->offered++;
	if (outcome->attained) {
		class->attained++;
		class->goodput_tokens += outcome->output_tokens;
		organisation->attained++;
	}
	metrics_count_result(class, outcome);
	class->output_tokens += outcome->output_tokens;
	class->wasted_tokens += outcome->wasted_tokens;
	if (outcome->first_token_us)
		metrics_count_first_token(class, outcome->first_token_us -
							 outcome->arrived_us);
	metrics_count_code(metrics, outcome->code);
}

void metrics_count_refusal(struct metrics *metrics, const char *class_name,
			   const char *organisation, enum result code)
{
	metrics_count_code(metrics, code);
	if (class_name) {
		struct metrics_class *class;

		class = metrics_get_class(metrics, class_name);
		class->offered++;
		class->refused++;
	}
	if (organisation)
		metrics_get_organisation(metrics, organisation)->offered++;
}

static double
metrics_attained_fraction(const struct metrics_organisation *organisation)
{
	return (double)organisation->attained / (double)organisation->offered;
}

const struct metrics_organisation *
metrics_worst_organisation(const struct metrics *metrics)
{
	const struct metrics_organisation *worst = NULL;
	struct metrics_organisation *organisation;
	struct metrics_organisation *next;

	map_foreach(organisation, next, &metrics->organisations, node) {
		if (organisation->offered < METRICS_WORST_MIN_REQUESTS)
			continue;
		if (!worst || metrics_attained_fraction(organisation) <
				      metrics_attained_fraction(worst))
			worst = organisation;
	}
	return worst;
}

static void metrics_write_row(struct bytes *out, const char *name,
			      const struct metrics_class *class, int64_t value)
{
	bytes_append_format(out,
			    "filberthall_%s{class=\"%s\",tier=\"%d\"} %" PRId64
			    "\n",
			    name, class->name, class->tier, value);
}

struct metrics_column {
	const char *name;
	size_t offset;
};

static const struct metrics_column metrics_columns[] = {
	{ "offered_total", offsetof(struct metrics_class, offered) },
	{ "served_total", offsetof(struct metrics_class, served) },
	{ "attained_total", offsetof(struct metrics_class, attained) },
	{ "refused_total", offsetof(struct metrics_class, refused) },
	{ "expired_total", offsetof(struct metrics_class, expired) },
	{ "cut_total", offsetof(struct metrics_class, cut) },
	{ "output_tokens_total",
	  offsetof(struct metrics_class, output_tokens) },
	{ "goodput_tokens_total",
	  offsetof(struct metrics_class, goodput_tokens) },
	{ "wasted_tokens_total",
	  offsetof(struct metrics_class, wasted_tokens) },
};

static void metrics_write_classes(const struct metrics *metrics,
				  struct bytes *out)
{
	struct metrics_class *class;
	struct metrics_class *next;
	size_t i;

	for (i = 0; i < sizeof(metrics_columns) / sizeof(metrics_columns[0]);
	     i++) {
		const struct metrics_column *column = &metrics_columns[i];

		bytes_append_format(out, "# TYPE filberthall_%s counter\n",
				    column->name);
		map_foreach(class, next, &metrics->classes, node)
			metrics_write_row(
				out, column->name, class,
				*(const int64_t *)((const char *)class +
						   column->offset));
	}
}

static void metrics_write_histogram(const struct metrics_class *class,
				    struct bytes *out)
{
	static const char name[] = "filberthall_first_token_seconds";
	int64_t sum = 0;
	int i;

	for (i = 0; i < METRICS_FIRST_TOKEN_BUCKETS; i++) {
		sum += class->first_token[i];
		bytes_append_format(out,
				    "%s_bucket{class=\"%s\",le=\"%g\"} %" PRId64
				    "\n",
				    name, class->name,
				    (double)metrics_bounds[i] / 1e6, sum);
	}
	sum += class->first_token[METRICS_FIRST_TOKEN_BUCKETS];
	bytes_append_format(out,
			    "%s_bucket{class=\"%s\",le=\"+Inf\"} %" PRId64
			    "\n%s_sum{class=\"%s\"} %g\n"
			    "%s_count{class=\"%s\"} %" PRId64 "\n",
			    name, class->name, sum, name, class->name,
			    (double)class->first_token_sum_us / 1e6, name,
			    class->name, sum);
}

void metrics_write(const struct metrics *metrics, struct bytes *out)
{
	const struct metrics_organisation *worst =
		metrics_worst_organisation(metrics);
	struct metrics_class *class;
	struct metrics_class *next;
	int i;

	metrics_write_classes(metrics, out);
	bytes_append_text(out, "# TYPE filberthall_first_token_seconds "
			       "histogram\n");
	map_foreach(class, next, &metrics->classes, node)
		metrics_write_histogram(class, out);
	bytes_append_text(out, "# TYPE filberthall_results_total counter\n");
	for (i = 0; i < metrics->n_codes; i++)
		bytes_append_format(out,
				    "filberthall_results_total{code=\"%d\","
				    "name=\"%s\"} %" PRId64 "\n",
				    metrics->codes[i].code,
				    result_name(metrics->codes[i].code),
				    metrics->codes[i].count);
	if (worst)
		bytes_append_format(
			out,
			"# TYPE filberthall_worst_organisation_attained gauge\n"
			"filberthall_worst_organisation_attained"
			"{organisation=\"%s\"} %g\n",
			worst->name, metrics_attained_fraction(worst));
}
