/*
 * Crashes of backend servers under requests, and under parts of prompts, which
 * all VMs count together. The control VMs hear of each one and tell all entry
 * VMs of the requests that are held and of the parts that may be.
 */
#include "entry/entry_state.h"

void entry_tell_crash(void *data, const struct poison_report *report)
{
	struct entry *entry = data;
	struct bytes body = { 0 };

	feed_write_crashes(&body, report, entry->now_us);
	entry_send_all(entry, &body);
}

/** A control VM may have started again and know of none. */
void entry_tell_crashes_to(struct entry *entry, uint64_t peer)
{
	struct feed_audience audience = { peer, entry->now_us, entry->effects };

	router_visit_crashes(entry->router, entry->now_us, feed_send_crashes,
			     &audience);
	router_visit_parts(entry->router, feed_send_part, &audience);
}

void entry_handle_crashes(struct entry *entry, const struct poison_report *told)
{
	struct poison_report report = *told;

	poison_report_shift(&report, entry->now_us);
	if (!router_merge_crashes(entry->router, &report, entry->now_us))
		return;
	entry_log(entry, LOG_INFO, "load",
		  "event=crashes fingerprint=%016llx servers=%d",
		  (unsigned long long)report.fingerprint, report.n);
}

static void tell_part(void *data, const struct part_report *report,
		      bool suspect)
{
	struct entry *entry = data;
	struct bytes body = { 0 };

	(void)suspect;
	feed_write_part(&body, report);
	entry_send_all(entry, &body);
}

void entry_tell_parts(struct entry *entry)
{
	router_take_part_news(entry->router, entry->now_us, tell_part, entry);
}

void entry_handle_part(struct entry *entry, const struct part_report *told)
{
	bool news = router_merge_part(entry->router, told, entry->now_us);
	int64_t now_us = wall_time_us(&entry->wall, entry->now_us);

	entry_tell_parts(entry);
	if (!news)
		return;
	entry_log(entry, LOG_INFO, "load",
		  "event=part part=%016llx servers=%d sound_ms=%lld",
		  (unsigned long long)told->part, told->n,
		  told->sound_us == PART_NEVER
			  ? -1
			  : (long long)((now_us - told->sound_us) / 1000));
}
