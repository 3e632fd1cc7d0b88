/*
 * Crashes of backend servers under requests, which all VMs count together.
 *
 * Entry VMs have no links to each other. Most requests under which a server
 * crashes are harmless, so entry VMs are told only of those that are held, as
 * of two crashes, and of parts of prompts only when these are suspect. Nothing is
 * kept on disk: entry VMs repeat what they know when a link comes up.
 */
#include "control/control_state.h"

void control_receive_crashes(struct control *control, uint64_t id,
			     const struct poison_report *told, int64_t now_us,
			     struct effects *effects)
{
	const struct feed_peer *peer = feed_peer_find(&control->peers, id);
	struct poison_report report = *told;
	struct bytes body = { 0 };

	poison_report_shift(&report, now_us);
	if (!peer || !poison_merge(&control->poison, &report, now_us))
		return;
	if (peer->observer) {
		feed_write_crashes(&body, &report, now_us);
		control_send(control, TO_CONTROL, &body, effects);
	}
	if (!poison_report(&control->poison, told->fingerprint, now_us,
			   &report) ||
	    report.n < 2)
		return;
	control_log(effects, LOG_WARN, "load",
		    "event=held fingerprint=%016llx servers=%d",
		    (unsigned long long)report.fingerprint, report.n);
	feed_write_crashes(&body, &report, now_us);
	control_send(control, TO_ENTRY, &body, effects);
}

struct part_audience {
	struct control *control;
	struct effects *effects;
};

static void tell_part(void *data, const struct part_report *report,
		      bool suspect)
{
	struct part_audience *audience = data;
	struct control *control = audience->control;
	struct bytes body = { 0 };

	feed_write_part(&body, report);
	control_send(control, TO_CONTROL, &body, audience->effects);
	if (!suspect)
		return;
	control_log(audience->effects, LOG_WARN, "load",
		    "event=suspect part=%016llx servers=%d",
		    (unsigned long long)report->part, report->n);
	feed_write_part(&body, report);
	control_send(control, TO_ENTRY, &body, audience->effects);
}

void control_tell_parts(struct control *control, int64_t now_us,
			struct effects *effects)
{
	struct part_audience audience = { control, effects };

	part_take_news(&control->parts, wall_time_us(&control->wall, now_us),
		       tell_part, &audience);
}

void control_receive_part(struct control *control, uint64_t id,
			  const struct part_report *told, int64_t now_us,
			  struct effects *effects)
{
	if (!feed_peer_find(&control->peers, id))
		return;
	part_merge(&control->parts, told, true,
		   wall_time_us(&control->wall, now_us));
	control_tell_parts(control, now_us, effects);
}

void control_tell_crashes_to(const struct control *control,
			     const struct feed_peer *peer, int64_t now_us,
			     struct effects *effects)
{
	struct feed_audience audience = { peer->id, now_us, effects };

	poison_visit(&control->poison, peer->observer ? 2 : 1, now_us,
		     feed_send_crashes, &audience);
	part_visit(&control->parts, peer->observer, feed_send_part, &audience);
}
