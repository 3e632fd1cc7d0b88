/*
 * A control VM's process: the log on the disk, events and effects, with
 * control/control.h in the middle. The calls of operators and backend servers
 * are in control_calls.c, those to the platform in control_orders.c.
 */
#include <inttypes.h>
#include <signal.h>
#include <string.h>
#include <sys/random.h>

#include "base/alloc.h"
#include "daemon/role/control_daemon_state.h"
#include "daemon/disk/wal.h"

/*
 * How often a folder that has failed is opened again: a disk that was full for
 * seconds must not cost a voter for good.
 */
#define REOPEN_S 0.5

/* Until then it is looked at so often whether the folder can be opened. */
#define CLOSED_TICK_US INT64_C(50000)

/* Segments of the log: small, as the disks are. */
#define SEGMENT_BYTES (INT64_C(4) * 1024 * 1024)

/*
 * Longer documents are redirected to the leader: reading one from a link and
 * compressing it for the log blocks the loop for about an election timeout.
 */
#define FORWARD_BYTES_MAX (1000 * 1024)

/* On the disk thread. */
static void on_synced(void *data, int64_t ticket)
{
	const struct edge_sink *sink = data;
	struct event *event = event_new(EVENT_DISK_SYNCED);

	event->u.synced.ticket = ticket;
	sink->post(sink->data, event);
}

/* On the disk thread. */
static void on_disk_failed(void *data, enum result code, const char *message)
{
	const struct edge_sink *sink = data;
	struct event *event = event_new(EVENT_DISK_FAILED);

	event->u.disk_failed.code = code;
	sink->post(sink->data, event);
}

/* As many as bear the loss of `tolerate` disks, whatever else is wanted. */
static int voters_wanted(const struct boot *boot)
{
	int64_t needed = 2 * boot->tolerate + 1;

	return (int)(boot->voters > needed ? boot->voters : needed);
}

static struct control_options control_options_of(struct control_daemon *daemon)
{
	const struct boot *boot = daemon->role.boot;
	struct control_options options = {
		.self = wal_member_id(daemon->wal),
		.incarnation = wal_incarnation(daemon->wal),
		.vm = boot->vm,
		.zone = boot->zone,
		.address = boot->reach_links ? boot->reach_links
					     : boot->listen_links,
		.voters = voters_wanted(boot),
		.tolerate = (int)boot->tolerate,
		.lease_us = boot->lease_ms * 1000,
		.election_us = boot->election_ms * 1000,
		.window_us = boot->window_s * 1000000,
		.due_us = boot->due_s * 1000000,
		.beat_us = boot->beat_ms * 1000,
		.retry_window_us = boot->retry_window_s * 1000000,
		.report = boot->platform != NULL,
		.forward_bytes_max = FORWARD_BYTES_MAX,
	};

	if (getrandom(&options.seed, sizeof(options.seed), 0) < 0)
		options.seed = options.self;
	return options;
}

/*
 * The seed with the lowest address founds the group, so that no two do. All
 * daemons are told the same seeds at a site's first start.
 */
static bool is_founder(const struct boot *boot)
{
	const char *own = boot->reach_operators ? boot->reach_operators
						: boot->listen_operators;
	const char *first = NULL;
	int i;

	for (i = 0; i < boot->n_seeds; i++)
		if (!first || strcmp(boot->seeds[i], first) < 0)
			first = boot->seeds[i];
	return boot->bootstrap && first && own && !strcmp(first, own);
}

static enum result open_wal(struct control_daemon *daemon,
			    struct raft_persistent_state *saved)
{
	struct wal_options options = wal_default_options();
	enum result code;
	sigset_t before;

	options.folder = daemon->role.boot->data_folder;
	options.segment_bytes = SEGMENT_BYTES;
	options.errors = daemon->role.handler;
	options.synced = on_synced;
	options.failed = on_disk_failed;
	options.data = (void *)mailbox_sink(daemon->role.mailbox);
	code = wal_open(&options, saved, &daemon->wal);
	if (code)
		return code;
	role_block_signals(&before);
	code = wal_start(daemon->wal);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return code;
}

/* From the folder as it is: at the start, and after the disk has failed. */
static enum result open_control(struct control_daemon *daemon)
{
	struct raft_persistent_state saved = { 0 };
	struct control_options options;
	enum result code;

	code = open_wal(daemon, &saved);
	if (code)
		return code;
	options = control_options_of(daemon);
	options.found = is_founder(daemon->role.boot);
	code = role_open_links(&daemon->role, options.self,
			       (uint64_t)options.incarnation, false);
	if (!code)
		code = control_new(&daemon->control, &options, &saved,
				   edge_now_us(), &daemon->effects);
	raft_persistent_state_clear(&saved);
	log_line(daemon->role.log, code ? LOG_ERROR : LOG_INFO, "daemon",
		 "event=open code=%s member=%" PRIx64 " start=%" PRId64
		 " founder=%d",
		 result_name(code), options.self, options.incarnation,
		 options.found);
	return code;
}

static void close_control(struct control_daemon *daemon)
{
	role_close_links(&daemon->role);
	control_free(daemon->control);
	daemon->control = NULL;
	wal_close(daemon->wal);
	daemon->wal = NULL;
	/*
	 * A sync of the old log that is still on its way must not count for
	 * the new one, whose tickets begin anew.
	 */
	if (daemon->role.mailbox)
		mailbox_drop(daemon->role.mailbox);
	effects_clear(&daemon->effects);
}

static void carry_out(struct control_daemon *daemon, struct effect *effect)
{
	switch (effect->kind) {
	case EFFECT_LOG_APPEND:
	case EFFECT_LOG_TRUNCATE:
	case EFFECT_HARD_STATE:
	case EFFECT_SNAPSHOT:
	case EFFECT_LOG_SYNC:
		wal_put(daemon->wal, effect);
		return; /* the disk thread frees it */
	case EFFECT_ADMIN_ANSWER:
		control_calls_answer(daemon, &effect->u.admin_answer);
		break;
	case EFFECT_READ_DOCUMENT:
		reader_put_version(daemon->reader,
				   effect->u.read_document.version,
				   &effect->u.read_document.text);
		break;
	case EFFECT_PLATFORM_CALL:
		control_orders_send(daemon, &effect->u.platform_call);
		break;
	case EFFECT_EXIT:
		role_exit(&daemon->role);
		break;
	default:
		role_carry_out(&daemon->role, effect);
		break;
	}
	effect_free(effect);
}

/* What carrying out brings about is carried out in turn, not inside. */
void control_daemon_carry_out(struct control_daemon *daemon)
{
	struct effect *effect;

	if (daemon->carrying_out || !daemon->control)
		return;
	daemon->carrying_out = true;
	while ((effect = effects_take(&daemon->effects)))
		carry_out(daemon, effect);
	daemon->carrying_out = false;
}

static void on_reopen(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct control_daemon *daemon = timer->data;

	close_control(daemon);
	if (open_control(daemon)) {
		close_control(daemon);
		return;
	}
	ev_timer_stop(ev, timer);
	daemon->disk_failed = false;
	control_daemon_carry_out(daemon);
}

static void disk_failed(struct control_daemon *daemon, enum result code)
{
	if (daemon->disk_failed)
		return;
	daemon->disk_failed = true;
	log_line(daemon->role.log, LOG_ERROR, "disk", "event=failed code=%s",
		 result_name(code));
	if (daemon->control)
		control_disk_failed(daemon->control, code, edge_now_us(),
				    &daemon->effects);
	control_daemon_carry_out(daemon);
	ev_timer_stop(daemon->role.ev, &daemon->reopen);
	ev_timer_set(&daemon->reopen, REOPEN_S, REOPEN_S);
	ev_timer_start(daemon->role.ev, &daemon->reopen);
}

static void on_event(void *data, struct event *event)
{
	struct control_daemon *daemon = data;
	struct control *control = daemon->control;
	int64_t now_us = edge_now_us();

	if (event->kind == EVENT_DISK_FAILED) {
		disk_failed(daemon, (enum result)event->u.disk_failed.code);
	} else if (control) {
		if (event->kind == EVENT_LINK_UP)
			control_link_up(control, &event->u.link_up, now_us,
					&daemon->effects);
		else if (event->kind == EVENT_LINK_DOWN)
			control_link_down(control, event->u.link_down.peer,
					  now_us, &daemon->effects);
		else if (event->kind == EVENT_LINK_MESSAGE)
			control_link_message(control, &event->u.link_message,
					     now_us, &daemon->effects);
		else if (event->kind == EVENT_DISK_SYNCED &&
			 !daemon->disk_failed)
			control_synced(control, event->u.synced.ticket, now_us,
				       &daemon->effects);
		control_daemon_carry_out(daemon);
	}
	event_free(event);
}

static void on_tick(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct control_daemon *daemon = timer->data;

	int64_t now_us = edge_now_us();
	int64_t wait_us = CLOSED_TICK_US;

	if (daemon->control) {
		control_tick(daemon->control, edge_wall_us(), now_us,
			     &daemon->effects);
		wait_us = control_next_tick(daemon->control, now_us) - now_us;
	}
	control_daemon_carry_out(daemon);
	ev_timer_set(timer, (double)wait_us / 1e6, 0);
	ev_timer_start(ev, timer);
}

static void on_stop(void *data)
{
	struct control_daemon *daemon = data;

	http_server_wind_down(daemon->server);
	if (!daemon->control) {
		role_exit(&daemon->role);
		return;
	}
	control_stop(daemon->control, edge_now_us(), &daemon->effects);
	control_daemon_carry_out(daemon);
}

static void write_metrics(void *data, struct bytes *out)
{
	struct control_daemon *daemon = data;
	struct control_view view = { 0 };

	if (daemon->control)
		view = control_view(daemon->control, edge_now_us());
	bytes_append_format(out,
			    "filberthall_leader %d\nfilberthall_in_charge %d\n"
			    "filberthall_term %" PRId64
			    "\nfilberthall_commit %" PRId64
			    "\nfilberthall_document_version %" PRId64
			    "\nfilberthall_voters %d\nfilberthall_members %d\n"
			    "filberthall_entry_vms %d\nfilberthall_servers %d\n"
			    "filberthall_windows_reported_total %" PRId64
			    "\nfilberthall_server_lists_total %" PRId64
			    "\nfilberthall_zones_evacuated %d\n"
			    "filberthall_evacuation_changes_total %" PRId64
			    "\nfilberthall_disk_failed %d\n",
			    view.leader, view.in_charge, view.term, view.commit,
			    view.version, view.voters, view.members,
			    view.entry_vms, view.servers, view.reported,
			    view.lists, view.evacuated, view.evacuation_changes,
			    daemon->disk_failed);
}

static enum result open_all(struct control_daemon *daemon)
{
	enum result code;

	code = role_open(&daemon->role);
	if (code)
		return code;
	ev_timer_init(&daemon->reopen, on_reopen, REOPEN_S, REOPEN_S);
	daemon->reopen.data = daemon;
	control_orders_open(daemon);
	code = control_calls_open(daemon);
	if (code)
		return code;
	code = open_control(daemon);
	/* A disk that is full or fails is a state, not an end. */
	if (code == RESULT_DISK_FULL || code == RESULT_DISK_FAILED) {
		close_control(daemon);
		disk_failed(daemon, code);
		return RESULT_OK;
	}
	return code;
}

static enum result publish(struct control_daemon *daemon)
{
	const struct boot *boot = daemon->role.boot;
	struct role_listener listener = { "operators", boot->listen_operators,
					  http_server_port(daemon->server) };

	return role_publish(&daemon->role, &listener, 1);
}

static void close_all(struct control_daemon *daemon)
{
	control_calls_close(daemon);
	control_orders_close(daemon);
	close_control(daemon);
	role_close(&daemon->role);
}

enum result control_daemon_run(const struct boot *boot, const char *settings,
			       const struct dialect *dialect,
			       const struct error_handler *handler)
{
	struct control_daemon daemon = { 0 };
	enum result code;

	daemon.role.boot = boot;
	daemon.role.settings = settings;
	daemon.role.dialect = dialect;
	daemon.role.handler = handler;
	daemon.role.take = on_event;
	daemon.role.stop = on_stop;
	daemon.role.write_metrics = write_metrics;
	daemon.role.data = &daemon;
	effects_init(&daemon.effects);
	code = open_all(&daemon);
	if (!code) {
		ev_timer_init(&daemon.tick, on_tick, 0, 0);
		daemon.tick.data = &daemon;
		ev_timer_start(daemon.role.ev, &daemon.tick);
		log_line(daemon.role.log, LOG_INFO, "daemon",
			 "event=start role=control operators=%s links=%s",
			 boot->listen_operators, boot->listen_links);
		code = publish(&daemon);
	}
	if (!code)
		role_run(&daemon.role);
	close_all(&daemon);
	return code;
}
