/*
 * The limit on retries, which holds for all entry VMs together. Each uses an
 * equal part of the headroom.
 */
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

static void apply(struct entry *entry)
{
	struct retry_limit limit = { entry->options.retry_share,
				     entry->options.retry_headroom,
				     entry->options.retry_window_us,
				     (int)entry->retry_vms };

	router_limit_retries(entry->router, &limit);
}

void entry_share_retries(struct entry *entry, uint64_t id,
			 const struct feed_state *state)
{
	struct feed_peer *peer = feed_peer_find(&entry->peers, id);
	int64_t before = entry->retry_vms;
	int64_t most;

	if (peer)
		peer->entry_vms = state->entry_vms;
	most = most_entry_vms(entry);
	if (most)
		entry->entry_vms = most;
	if (!update_sharers(entry))
		return;
	entry_log(entry, LOG_INFO, "retry",
		  "event=shared entry_vms=%lld before=%lld",
		  (long long)entry->retry_vms, (long long)before);
	apply(entry);
}
