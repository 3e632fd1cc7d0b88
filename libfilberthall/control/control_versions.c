/*
 * Which software versions the servers of a service have or lately had.
 *
 * Failure handled: a service's servers are replaced by those of another version
 * around a loss of all processes. Each control VM that starts again hears of
 * the new version alone, and streams of the old one would go on at it. So the
 * versions are in the log, too.
 */
#include "control/control_state.h"

/* A commit takes less; what is still missing is proposed again. */
#define PROPOSE_US INT64_C(200000)

/* After so many announcements each server has been heard, also in small sites. */
#define BEATS_HEARD 3
#define HEARD_LEAST_US INT64_C(3000000)

struct visit {
	struct control *control;
	int64_t now_us;
	struct effects *effects;
};

static void propose(struct visit *visit, uint64_t service, uint64_t version,
		    bool serves)
{
	struct control *control = visit->control;
	struct bytes entry = { 0 };
	int64_t index;
	int64_t term;
	enum result code;

	ledger_write_version(&entry, service, version, serves);
	code = raft_propose(control->raft, entry.data, entry.len, visit->now_us,
			    visit->effects, &index, &term);
	bytes_clear(&entry);
	control->versions_us = visit->now_us;
	control_log(visit->effects, code ? LOG_WARN : LOG_INFO, "version",
		    "event=proposed service=%llx version=%llx serves=%d "
		    "code=%s",
		    (unsigned long long)service, (unsigned long long)version,
		    serves, result_name(code));
}

static void record(void *data, uint64_t service, uint64_t version)
{
	struct visit *visit = data;

	if (!ledger_has_version(&visit->control->ledger, service, version))
		propose(visit, service, version, true);
}

/* The leader records what the log lacks, and what no server has had lately. */
void control_versions_tick(struct control *control, int64_t now_us,
			   struct effects *effects)
{
	struct visit visit = { control, now_us, effects };
	const struct ledger_version *recorded;

	if (!raft_is_leader(control->raft) ||
	    now_us - control->versions_us < PROPOSE_US)
		return;
	registry_visit_versions(&control->registry, record, &visit);
	if (now_us - control->heard_since_us < REGISTRY_TOMBSTONE_US)
		return;
	list_foreach(recorded, &control->ledger.versions, node)
		if (!registry_has_version(&control->registry, recorded->service,
					  recorded->version))
			propose(&visit, recorded->service, recorded->version,
				false);
}

/* A control VM that has just started may not have heard all servers. */
static bool has_heard_servers(const struct control *control, int64_t now_us)
{
	int64_t wait_us = BEATS_HEARD * control->options.beat_us;

	if (wait_us < HEARD_LEAST_US)
		wait_us = HEARD_LEAST_US;
	return now_us - control->heard_since_us >= wait_us;
}

/* Nor does it know what is in the log before a leader has told it. */
static bool knows_log(const struct control *control, int64_t now_us)
{
	return raft_fresh_us(control->raft, now_us) > control->heard_since_us;
}

bool control_versions_differ(const struct control *control, uint64_t service,
			     int64_t now_us)
{
	struct registry_versions known =
		registry_versions(&control->registry, service);
	const struct ledger_version *recorded;

	if (known.differ || !has_heard_servers(control, now_us) ||
	    !knows_log(control, now_us))
		return true;
	list_foreach(recorded, &control->ledger.versions, node) {
		if (recorded->service != service)
			continue;
		if (known.version && known.version != recorded->version)
			return true;
		known.version = recorded->version;
	}
	return false;
}
