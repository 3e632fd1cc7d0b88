/*
 * What backend servers say of themselves in their answers: load, and limits.
 * Those in need name requests a second from all VMs together, which control VMs
 * tell to the other entry VMs.
 */
#include <math.h>

#include "entry/entry_state.h"

/* A limit that differs by less than this part isn't told to other VMs. */
#define CHANGE_TOLD 0.1

/*
 * Servers of a service name how many requests they can reject all at the same
 * time, in all their answers. An answer from before may come a little later.
 */
#define REJECTS_OVERTAKEN_US INT64_C(1000000)

/* Nor are changes of one server's limit told more often than this. */
#define TELL_US INT64_C(1000000)

static void apply(struct entry *entry, const struct registry_entry *server)
{
	fleet_set_limit(&entry->fleet, server->registration.address,
			server->limit.per_s);
	entry_log(entry, LOG_INFO, "server",
		  "event=limit server=%s address=%s per_s=%.3f heard_ms=%lld",
		  server->registration.id, server->registration.address,
		  server->limit.per_s,
		  (long long)((entry->now_us - server->limit.heard_us) / 1000));
}

static bool must_tell(const struct entry *entry,
		      const struct registry_entry *server)
{
	double per_s = server->limit.per_s;
	double told = server->limit_told;

	if ((per_s < 0) != (told < 0))
		return true;
	return per_s >= 0 && fabs(per_s - told) > CHANGE_TOLD * told &&
	       entry->now_us - server->limit_told_us >= TELL_US;
}

static void tell(struct entry *entry, struct registry_entry *server)
{
	struct bytes body = { 0 };

	feed_write_limit(&body, server, entry->now_us);
	entry_send_all(entry, &body);
	server->limit_told = server->limit.per_s;
	server->limit_told_us = entry->now_us;
}

void entry_report_limit(struct entry *entry, const char *address, double per_s,
			int64_t now_us, struct effects *effects)
{
	struct registry_entry *server =
		registry_find_address(&entry->registry, address);

	entry->now_us = now_us;
	entry->effects = effects;
	if (!server)
		return;
	if (registry_hear_limit(server, per_s, now_us))
		apply(entry, server);
	if (must_tell(entry, server))
		tell(entry, server);
}

void entry_handle_limit(struct entry *entry, const struct feed_limit *told)
{
	struct registry_entry *server =
		registry_find(&entry->registry, told->id);

	if (!server || server->registration.gone ||
	    server->registration.started_ms != told->started_ms ||
	    !registry_merge_limit(server, told->per_s,
				  entry->now_us - told->age_us))
		return;
	apply(entry, server);
	/* It comes from those whom this VM would tell. */
	server->limit_told = told->per_s;
}

/** A control VM may have started again and know of none. */
void entry_tell_limits_to(struct entry *entry, uint64_t peer)
{
	struct feed_audience audience = { peer, entry->now_us, entry->effects };

	feed_send_limits(&audience, &entry->registry);
}

void entry_report_reject_limit(struct entry *entry, const char *address,
			       double per_s, int64_t now_us,
			       struct effects *effects)
{
	const struct backend *backend = fleet_find(&entry->fleet, address);
	struct service_state *service;

	entry->now_us = now_us;
	entry->effects = effects;
	if (!backend)
		return;
	service = entry_service(entry, backend->service);
	if (per_s >= 0)
		service->rejects_heard_us = now_us;
	else if (now_us - service->rejects_heard_us < REJECTS_OVERTAKEN_US)
		return;
	if (per_s == service->rejects_per_s)
		return;
	service->rejects_per_s = per_s;
	entry_log(entry, LOG_INFO, "server",
		  "event=reject-limit service=%s per_s=%.3f", service->service,
		  per_s);
}

void entry_report_load(struct entry *entry, const char *address,
		       int64_t running, int64_t waiting, int64_t slots,
		       int64_t now_us)
{
	fleet_report_load(&entry->fleet, address, running, waiting, slots,
			  now_us);
}

static bool has_limit(const struct entry *entry)
{
	struct backend *backend;
	struct backend *next;

	map_foreach(backend, next, &entry->fleet.backends, node)
		if (backend->limited)
			return true;
	return false;
}

/** Limits are dealt out by what VMs lately got; without one, that is no news. */
void entry_tell_demand(struct entry *entry)
{
	int64_t requests = entry->totals.submitted - entry->demand_told;
	struct bytes body = { 0 };

	entry->demand_told = entry->totals.submitted;
	if (!has_limit(entry))
		return;
	feed_write_demand(&body, requests);
	entry_send_all(entry, &body);
}
