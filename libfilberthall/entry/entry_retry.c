/*
 * The limit on retries, which holds for all entry VMs together. Each uses an
 * equal part of the headroom, less what earlier processes of this VM have
 * spent.
 */
#include <stdio.h>
#include <string.h>

#include "entry/entry_state.h"

/*
 * A control VM without a link to some of the entry VMs reports too low a
 * number, so the largest one counts; without any report the last one is kept.
 */
static int64_t most_entry_vms(const struct entry *entry)
{
	struct feed_peer *peer;
	struct feed_peer *next;
	int64_t most = 0;

	map_foreach(peer, next, &entry->peers, node)
		if (peer->entry_vms > most)
			most = peer->entry_vms;
	return most;
}

/*
 * Control VMs that start again count the entry VMs as these come back, so a
 * lower number counts only after a window.
 */
static bool update_sharers(struct entry *entry)
{
	int64_t now_us = entry->now_us;
	int64_t before = entry->retry_vms;

	if (entry->entry_vms >= before) {
		entry->retry_vms = entry->entry_vms;
		entry->retry_vms_us = now_us;
	} else if (now_us - entry->retry_vms_us >=
		   entry->options.retry_window_us) {
		entry->retry_vms = entry->entry_vms;
	}
	return entry->retry_vms != before;
}

/*
 * A control VM that has started since the window began may not know what was
 * spent in it.
 */
static bool update_past_known(struct entry *entry,
			      const struct feed_state *state)
{
	int64_t age_us = entry->now_us - entry->started_us;
	int64_t window_us = entry->options.retry_window_us;

	if (entry->past_known ||
	    (age_us < window_us && state->known_us < age_us + window_us))
		return false;
	entry->past_known = true;
	return true;
}

static void apply(struct entry *entry)
{
	struct retry_limit limit = { entry->options.retry_share,
				     entry->options.retry_headroom,
				     entry->options.retry_window_us,
				     (int)entry->retry_vms,
				     !entry->past_known };

	router_limit_retries(entry->router, &limit);
}

void entry_share_retries(struct entry *entry, uint64_t id,
			 const struct feed_state *state)
{
	struct feed_peer *peer = feed_peer_find(&entry->peers, id);
	int64_t before = entry->retry_vms;
	int64_t most;
	bool changed;

	if (peer)
		peer->entry_vms = state->entry_vms;
	most = most_entry_vms(entry);
	if (most)
		entry->entry_vms = most;
	changed = update_sharers(entry);
	changed |= update_past_known(entry, state);
	if (!changed || !entry->retry_vms)
		return;
	entry_log(entry, LOG_INFO, "retry",
		  "event=shared entry_vms=%lld before=%lld past_known=%d",
		  (long long)entry->retry_vms, (long long)before,
		  entry->past_known);
	apply(entry);
}

static struct retry_report named_report(const struct entry *entry,
					const struct retry_report *report)
{
	struct retry_report named = *report;

	snprintf(named.vm, sizeof(named.vm), "%s", entry->vm);
	named.process = entry->options.self;
	return named;
}

void entry_tell_retries(void *data, const struct retry_report *report)
{
	struct entry *entry = data;
	struct retry_report named = named_report(entry, report);
	struct bytes body = { 0 };

	feed_write_retries(&body, &named);
	entry_send_all(entry, &body);
}

struct teller {
	const struct entry *entry;
	struct feed_audience audience;
};

static void tell(void *data, const struct retry_report *report)
{
	const struct teller *teller = data;
	struct retry_report named = named_report(teller->entry, report);

	feed_send_retries(&teller->audience, &named);
}

/** A control VM may have started again and know of none. */
void entry_tell_retries_to(struct entry *entry, uint64_t peer)
{
	struct teller teller = { entry,
				 { peer, entry->now_us, entry->effects } };

	router_visit_retries(entry->router, entry->now_us, tell, &teller);
}

void entry_handle_retries(struct entry *entry,
			  const struct retry_report *report)
{
	int64_t step_us = entry->options.retry_window_us / RETRY_STEPS;
	struct retry_window past;

	if (report->process == entry->options.self ||
	    strcmp(report->vm, entry->vm))
		return;
	retry_history_expire(&entry->past_retries, entry->now_us);
	if (!retry_history_merge(&entry->past_retries, report, entry->now_us))
		return;
	past = retry_history_sum(&entry->past_retries, report->pool, step_us);
	router_set_past_retries(entry->router, report->pool, &past,
				entry->now_us);
	entry_log(entry, LOG_INFO, "retry", "event=past pool=%s process=%llx",
		  report->pool, (unsigned long long)report->process);
}
