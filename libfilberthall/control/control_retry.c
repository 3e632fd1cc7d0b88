/*
 * What processes of entry VMs have spent of the limit on retries. When one has
 * ended, the control VMs that heard of it tell the others, and the next process
 * of that VM. Nothing is kept on disk: an entry VM doesn't rely on a control VM
 * that has started since the window began.
 */
#include <string.h>

#include "control/control_state.h"

/* The process of that entry VM that has a link here, or NULL. */
static const struct feed_peer *running_process(const struct control *control,
					       const char *vm)
{
	struct feed_peer *peer;
	struct feed_peer *next;

	map_foreach(peer, next, &control->peers, node)
		if (peer->observer && !strcmp(peer->vm, vm))
			return peer;
	return NULL;
}

static void log_past(const struct retry_report *report,
		     const struct feed_peer *peer, struct effects *effects)
{
	control_log(effects, LOG_INFO, "retry",
		    "event=past vm=%s pool=%s process=%llx told=%llx",
		    report->vm, report->pool,
		    (unsigned long long)report->process,
		    (unsigned long long)peer->id);
}

void control_receive_retries(struct control *control, uint64_t id,
			     const struct retry_report *report, int64_t now_us,
			     struct effects *effects)
{
	struct feed_audience audience = { 0, now_us, effects };
	const struct feed_peer *running;

	if (!feed_peer_find(&control->peers, id) ||
	    !retry_history_merge(&control->retries, report, now_us))
		return;
	running = running_process(control, report->vm);
	if (!running || running->id == report->process)
		return;
	audience.peer = running->id;
	feed_send_retries(&audience, report);
	log_past(report, running, effects);
}

struct teller {
	const struct control *control;
	const struct feed_peer *peer;
	struct feed_audience audience;
};

/* A process that runs tells all control VMs itself. */
static void tell_ended(void *data, const struct retry_report *report)
{
	const struct teller *teller = data;

	if (feed_peer_find(&teller->control->peers, report->process))
		return;
	if (!teller->peer->observer) {
		feed_send_retries(&teller->audience, report);
	} else if (!strcmp(report->vm, teller->peer->vm)) {
		feed_send_retries(&teller->audience, report);
		log_past(report, teller->peer, teller->audience.effects);
	}
}

void control_tell_retries_to(const struct control *control,
			     const struct feed_peer *peer, int64_t now_us,
			     struct effects *effects)
{
	struct teller teller = { control, peer, { peer->id, now_us, effects } };

	retry_history_visit(&control->retries, now_us, tell_ended, &teller);
}

struct ended_process {
	struct control *control;
	uint64_t id;
	struct effects *effects;
};

static void tell_control_vms(void *data, const struct retry_report *report)
{
	const struct ended_process *ended = data;
	struct bytes body = { 0 };

	if (report->process != ended->id)
		return;
	feed_write_retries(&body, report);
	control_send(ended->control, TO_CONTROL, &body, ended->effects);
}

void control_process_ended(struct control *control, uint64_t id, int64_t now_us,
			   struct effects *effects)
{
	struct ended_process ended = { control, id, effects };

	retry_history_expire(&control->retries, now_us);
	retry_history_visit(&control->retries, now_us, tell_control_vms,
			    &ended);
}
