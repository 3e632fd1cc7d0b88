/*
 * Crashes of backend servers under requests, which all VMs count together. The
 * control VMs hear of each one and tell all entry VMs of the requests that are
 * held.
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
