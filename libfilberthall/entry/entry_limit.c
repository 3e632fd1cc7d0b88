/*
 * Limits that backend servers in need name in their answers: requests a second
 * from all VMs together.
 */
#include "entry/entry_state.h"

void entry_report_limit(struct entry *entry, const char *address, double per_s,
			int64_t now_us, struct effects *effects)
{
	struct registry_entry *server =
		registry_find_address(&entry->registry, address);

	entry->now_us = now_us;
	entry->effects = effects;
	if (!server)
		return;
	server->limit.heard_us = now_us;
	if (server->limit.per_s == per_s)
		return;
	entry_log(entry, LOG_INFO, "server",
		  "event=limit server=%s address=%s per_s=%.3f before=%.3f",
		  server->registration.id, address, per_s, server->limit.per_s);
	server->limit.per_s = per_s;
}
