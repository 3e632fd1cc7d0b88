#include "load/retry_history.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

struct retry_record {
	struct map_node node; /* by process and pool */
	struct retry_report report;
	int64_t offset_us; /* this VM's clock less the process's */
};

static uint64_t report_hash(const struct retry_report *report)
{
	return map_hash_text(report->pool) ^ report->process;
}

static bool record_match(const struct map_node *node, const void *key)
{
	const struct retry_report *kept =
		&container_of(node, struct retry_record, node)->report;
	const struct retry_report *wanted = key;

	return kept->process == wanted->process &&
	       !strcmp(kept->pool, wanted->pool);
}

void retry_history_init(struct retry_history *history)
{
	map_init(&history->records);
}

void retry_history_clear(struct retry_history *history)
{
	struct retry_record *record;
	struct retry_record *next;

	map_foreach(record, next, &history->records, node)
		free(record);
	map_clear(&history->records);
}

/* The least delayed report tells most exactly how the clocks differ. */
static void record_update(struct retry_record *record,
			  const struct retry_report *report, int64_t now_us)
{
	int64_t offset_us = now_us - report->age_us - report->made_us;

	if (!record->report.step_us || offset_us < record->offset_us)
		record->offset_us = offset_us;
	record->report = *report;
}

/* Several reports may be made at one time; they come in their order. */
static bool is_newer(const struct retry_report *report,
		     const struct retry_report *kept)
{
	if (report->made_us != kept->made_us)
		return report->made_us > kept->made_us;
	return memcmp(&report->window, &kept->window, sizeof(kept->window));
}

bool retry_history_merge(struct retry_history *history,
			 const struct retry_report *report, int64_t now_us)
{
	uint64_t hash = report_hash(report);
	struct map_node *node =
		map_find(&history->records, hash, record_match, report);
	struct retry_record *record;

	if (node) {
		record = container_of(node, struct retry_record, node);
		if (!is_newer(report, &record->report))
			return false;
	} else {
		record = xcalloc(1, sizeof(*record));
		map_insert(&history->records, &record->node, hash);
	}
	record_update(record, report, now_us);
	return true;
}

void retry_history_expire(struct retry_history *history, int64_t now_us)
{
	struct retry_record *record;
	struct retry_record *next;

	map_foreach(record, next, &history->records, node) {
		const struct retry_report *report = &record->report;
		int64_t steps = report->window.step + RETRY_STEPS + 2;

		if (now_us - record->offset_us < steps * report->step_us)
			continue;
		map_remove(&history->records, &record->node);
		free(record);
	}
}

void retry_history_visit(const struct retry_history *history, int64_t now_us,
			 retry_history_visitor *visit, void *data)
{
	struct retry_record *record;
	struct retry_record *next;

	map_foreach(record, next, &history->records, node) {
		struct retry_report report = record->report;

		report.age_us = now_us - record->offset_us - report.made_us;
		visit(data, &report);
	}
}

/*
 * A step of the process lies in two of this VM's. Its requests count in the
 * first one and its retries in the second, so that no window allows more.
 */
static void add_record(struct retry_window *sum, int64_t step_us,
		       const struct retry_record *record)
{
	const struct retry_report *report = &record->report;
	int64_t step;

	for (step = report->window.step - RETRY_STEPS;
	     step <= report->window.step; step++) {
		int64_t from_us = step * report->step_us + record->offset_us;
		int64_t until_us = from_us + report->step_us - 1;
		struct retry_counts counts =
			retry_window_at(&report->window, step);

		retry_window_add(sum, from_us / step_us,
				 (struct retry_counts){ counts.fresh, 0 });
		retry_window_add(sum, until_us / step_us,
				 (struct retry_counts){ 0, counts.retries });
	}
}

struct retry_window retry_history_sum(const struct retry_history *history,
				      const char *pool, int64_t step_us)
{
	struct retry_window sum = { 0 };
	struct retry_record *record;
	struct retry_record *next;

	map_foreach(record, next, &history->records, node)
		if (!strcmp(record->report.pool, pool))
			add_record(&sum, step_us, record);
	return sum;
}
