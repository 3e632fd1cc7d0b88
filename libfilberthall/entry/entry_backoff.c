/*
 * What backend servers say in answers that binds this VM alone: to send them
 * nothing for a time, or nothing any more, as they are about to stop.
 */
#include <string.h>

#include "entry/entry_state.h"

/* The start that said it, or NULL if that is unknown or has been replaced. */
static struct registry_entry *find_start(struct entry *entry,
					 const struct entry_server *server)
{
	struct registry_entry *known =
		registry_find(&entry->registry, server->id);

	if (!known || known->registration.gone ||
	    known->registration.started_ms != server->started_ms)
		return NULL;
	return known;
}

void entry_report_retry_after(struct entry *entry,
			      const struct entry_server *server,
			      int64_t retry_after_us, int64_t now_us,
			      struct effects *effects)
{
	int64_t retry_at_us = now_us + retry_after_us;
	struct registry_entry *known;

	/* Another VM's refusal is no server's. */
	if (!server->id[0])
		return;
	entry->now_us = now_us;
	entry->effects = effects;
	known = find_start(entry, server);
	entry_log(entry, LOG_INFO, "server",
		  "event=retry-after server=%s address=%s after_ms=%lld "
		  "known=%d",
		  server->id, server->address,
		  (long long)(retry_after_us / 1000), known != NULL);
	if (!known || retry_at_us <= known->retry_at_us)
		return;
	known->retry_at_us = retry_at_us;
	fleet_set_retry_at(&entry->fleet, known->registration.address,
			   retry_at_us);
	router_backed_off(entry->router, known->registration.service, now_us,
			  effects);
}

void entry_report_leaving(struct entry *entry,
			  const struct entry_server *server, int64_t now_us,
			  struct effects *effects)
{
	struct registry_entry *known;

	entry->now_us = now_us;
	entry->effects = effects;
	known = find_start(entry, server);
	if (!known || known->told_leaving)
		return;
	known->told_leaving = true;
	entry_update_server(entry, known);
}
