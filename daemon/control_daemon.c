/*
 * A control VM's process: the listener for operators and backend servers, the
 * log on the disk, calls to the platform, and control/control.h in the middle.
 */
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "control/control.h"
#include "daemon/http_client.h"
#include "daemon/role.h"
#include "daemon/wal.h"

/* Bounds of a call: a document of hundreds of routes is some 100 kB. */
#define CALL_HEADER_BYTES 16384
#define CALL_BODY_BYTES (4 * 1024 * 1024)
#define CALL_HEADER_MS 10000
#define CALL_IDLE_MS 15000

/*
 * How often a folder that has failed is opened again: a disk that was full for
 * seconds must not cost a voter for good.
 */
#define REOPEN_S 0.5

/* Of the platform's API; the call's own time-out ends it anyway. */
#define PLATFORM_CONNECT_MS 800
#define PLATFORM_SILENT_MS 2000

/* Segments of the log: small, as the disks are. */
#define SEGMENT_BYTES (INT64_C(4) * 1024 * 1024)

/* An operator's call that waits for the reducer. */
struct open_call {
	struct list node;
	uint64_t id;
	struct http_exchange *exchange; /* NULL once its caller has left */
};

/* A call to the platform that is under way. */
struct platform_call {
	struct list node;
	struct control_daemon *daemon;
	char *order_id;
	int status;
	struct http_call *call;
	ev_timer lease; /* nothing of it may be under way after the lease */
};

struct control_daemon {
	struct role role;
	struct control *control;
	struct wal *wal;
	struct http_server *server;
	struct http_client *platform;
	struct list calls;
	struct list platform_calls;
	uint64_t next_call;
	ev_timer tick;
	ev_timer reopen;
	struct effects effects;
	bool carrying_out;
	bool disk_failed;
	bool exiting;
};

static void carry_out_all(struct control_daemon *daemon);

static int64_t wall_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

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

static struct document *read_document(void *data, const char *text, size_t len)
{
	struct control_daemon *daemon = data;

	return daemon->role.dialect->read_document(text, len,
						   daemon->role.handler);
}

static struct control_options control_options_of(struct control_daemon *daemon)
{
	const struct boot *boot = daemon->role.boot;
	struct control_options options = {
		.self = wal_member_id(daemon->wal),
		.incarnation = wal_incarnation(daemon->wal),
		.vm = boot->vm,
		.zone = boot->zone,
		.address = boot->listen_links,
		.voters = (int)boot->voters,
		.tolerate = (int)boot->tolerate,
		.lease_us = boot->lease_ms * 1000,
		.window_us = boot->window_s * 1000000,
		.report = boot->platform != NULL,
		.read_document = read_document,
		.data = daemon,
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
	const char *first = NULL;
	int i;

	for (i = 0; i < boot->n_seeds; i++)
		if (!first || strcmp(boot->seeds[i], first) < 0)
			first = boot->seeds[i];
	return boot->bootstrap && first && boot->listen_operators &&
	       !strcmp(first, boot->listen_operators);
}

static enum result open_wal(struct control_daemon *daemon,
			    struct raft_saved *saved)
{
	struct wal_options options = wal_default_options();
	enum result code;
	sigset_t before;
	sigset_t all;

	options.folder = daemon->role.boot->data_folder;
	options.segment_bytes = SEGMENT_BYTES;
	options.errors = daemon->role.handler;
	options.synced = on_synced;
	options.failed = on_disk_failed;
	options.data = (void *)mailbox_sink(daemon->role.mailbox);
	code = wal_open(&options, saved, &daemon->wal);
	if (code)
		return code;
	sigfillset(&all);
	pthread_sigmask(SIG_BLOCK, &all, &before);
	code = wal_start(daemon->wal);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	return code;
}

/* From the folder as it is: at the start, and after the disk has failed. */
static enum result open_control(struct control_daemon *daemon)
{
	struct raft_saved saved = { 0 };
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
	raft_saved_clear(&saved);
	log_line(daemon->role.log, code ? LOG_ERROR : LOG_INFO, "daemon",
		 "event=open code=%s member=%" PRIx64 " start=%" PRId64
		 " founder=%d",
		 result_name(code), options.self, options.incarnation,
		 options.found);
	return code;
}

static void close_control(struct control_daemon *daemon)
{
	if (daemon->role.links)
		link_stop(daemon->role.links);
	daemon->role.links = NULL;
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

static struct open_call *call_find(struct control_daemon *daemon, uint64_t id)
{
	struct open_call *call;

	list_foreach(call, &daemon->calls, node)
		if (call->id == id)
			return call;
	return NULL;
}

static void answer(struct control_daemon *daemon,
		   struct http_exchange *exchange, enum result code,
		   const char *headers, const struct bytes *body)
{
	http_exchange_answer(exchange, result_http_status(code), headers, body);
}

/* Send the operator to the leader: its IP, and the port that we listen on. */
static void answer_elsewhere(struct control_daemon *daemon,
			     struct http_exchange *exchange,
			     const struct bytes *address)
{
	const struct http_head *head = http_exchange_head(exchange);
	cleanup(free_ptr) char *location = NULL;
	cleanup(free_ptr) char *leader =
		xmemdup(address->data ? address->data : "", address->len);
	char ip[64];
	int port;

	if (!boot_split_address(leader, ip, &port)) {
		answer(daemon, exchange, RESULT_NOT_LEADER, NULL, NULL);
		return;
	}
	location = xstrfmt("Location: http://%s:%d%s\r\n", ip,
			   http_server_port(daemon->server), head->target);
	http_exchange_answer(exchange, 307, location, NULL);
}

static void carry_out_answer(struct control_daemon *daemon,
			     const struct effect_admin_answer *told)
{
	struct open_call *call = call_find(daemon, told->id);

	if (!call)
		return;
	list_remove(&call->node);
	if (call->exchange && told->code == RESULT_NOT_LEADER)
		answer_elsewhere(daemon, call->exchange, &told->body);
	else if (call->exchange)
		answer(daemon, call->exchange, (enum result)told->code,
		       told->body.len ? "Content-Type: application/json\r\n"
				      : NULL,
		       &told->body);
	free(call);
}

static void platform_call_free(struct platform_call *call)
{
	ev_timer_stop(call->daemon->role.ev, &call->lease);
	list_remove(&call->node);
	free(call->order_id);
	free(call);
}

static void platform_done(struct platform_call *call, enum result code)
{
	struct control_daemon *daemon = call->daemon;

	if (daemon->control)
		control_platform_answer(daemon->control, call->order_id, code,
					edge_now_us(), &daemon->effects);
	platform_call_free(call);
	carry_out_all(daemon);
}

static void on_platform_head(void *data, const struct http_head *head)
{
	struct platform_call *call = data;

	call->status = head->status;
}

static void on_platform_body(void *data, const char *piece, size_t len)
{
}

static void on_platform_end(void *data, enum result code, bool sent)
{
	struct platform_call *call = data;

	call->call = NULL;
	if (!code)
		code = call->daemon->role.dialect->read_platform_status(
			call->status);
	platform_done(call, code);
}

static const struct http_call_hooks platform_hooks = { on_platform_head,
						       on_platform_body,
						       on_platform_end };

/*
 * The lease ends: bytes that still wait in this VM must not reach the platform
 * after its successor's, so the connection is dropped with them.
 */
static void on_lease_end(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct platform_call *call = timer->data;

	if (call->call)
		http_call_cancel(call->call);
	call->call = NULL;
	platform_done(call, RESULT_PLATFORM_UNKNOWN);
}

static void send_platform_call(struct control_daemon *daemon,
			       struct platform_call *call,
			       const struct effect_platform_call *order)
{
	const struct boot *boot = daemon->role.boot;
	struct http_call_request request = { 0 };
	struct bytes text = { 0 };
	int64_t left_us = order->until_us - edge_now_us();

	request.address = boot->platform;
	request.head = &text;
	request.fresh = true;
	request.timeout_ms = order->timeout_ms;
	ev_timer_init(&call->lease, on_lease_end,
		      left_us > 0 ? (double)left_us / 1e6 : 0, 0);
	call->lease.data = call;
	ev_timer_start(daemon->role.ev, &call->lease);
	if (left_us <= order->timeout_ms * 1000 ||
	    daemon->role.dialect->write_platform_call(order, boot->vm,
						      boot->platform, &text)) {
		ev_timer_stop(daemon->role.ev, &call->lease);
		ev_timer_set(&call->lease, 0, 0);
		ev_timer_start(daemon->role.ev, &call->lease);
	} else {
		call->call = http_call_start(daemon->platform, &request,
					     &platform_hooks, call);
	}
	bytes_clear(&text);
}

static void carry_out_platform(struct control_daemon *daemon,
			       const struct effect_platform_call *order)
{
	struct platform_call *call = xcalloc(1, sizeof(*call));

	call->daemon = daemon;
	call->order_id = xstrdup(order->order_id);
	list_append(&daemon->platform_calls, &call->node);
	send_platform_call(daemon, call, order);
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
		carry_out_answer(daemon, &effect->u.admin_answer);
		break;
	case EFFECT_PLATFORM_CALL:
		carry_out_platform(daemon, &effect->u.platform_call);
		break;
	case EFFECT_EXIT:
		daemon->exiting = true;
		role_exit(&daemon->role);
		break;
	default:
		role_carry_out(&daemon->role, effect);
		break;
	}
	effect_free(effect);
}

/* What carrying out brings about is carried out in turn, not inside. */
static void carry_out_all(struct control_daemon *daemon)
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
	carry_out_all(daemon);
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
	carry_out_all(daemon);
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
		carry_out_all(daemon);
	}
	event_free(event);
}

static void on_tick(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct control_daemon *daemon = timer->data;

	if (daemon->control)
		control_tick(daemon->control, wall_now_us(), edge_now_us(),
			     &daemon->effects);
	carry_out_all(daemon);
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
	carry_out_all(daemon);
}

static struct open_call *call_new(struct control_daemon *daemon,
				  struct http_exchange *exchange)
{
	struct open_call *call = xcalloc(1, sizeof(*call));

	call->id = ++daemon->next_call;
	call->exchange = exchange;
	http_exchange_set_user(exchange, call);
	list_append(&daemon->calls, &call->node);
	return call;
}

/* Keeps the words of a refusal for the answer and the log. */
static void keep_message(void *data, enum result code, const char *message)
{
	bytes_append_text(data, message);
}

static void put_document(struct control_daemon *daemon,
			 struct http_exchange *exchange)
{
	const struct bytes *body = http_exchange_body(exchange);
	struct bytes message = { 0 };
	struct error_handler handler = { keep_message, &message };
	struct document *document;
	struct open_call *call;

	document = daemon->role.dialect->read_document(body->data, body->len,
						       &handler);
	if (!document) {
		log_line(daemon->role.log, LOG_WARN, "document",
			 "event=invalid bytes=%zu reason=%s", body->len,
			 bytes_text(&message));
		http_exchange_answer(exchange, 400, NULL, &message);
		bytes_clear(&message);
		return;
	}
	call = call_new(daemon, exchange);
	control_put_document(daemon->control, call->id, document->version, body,
			     edge_now_us(), &daemon->effects);
	document_free(document);
	bytes_clear(&message);
}

static void get_document(struct control_daemon *daemon,
			 struct http_exchange *exchange)
{
	struct open_call *call = call_new(daemon, exchange);

	control_get_document(daemon->control, call->id, edge_now_us(),
			     &daemon->effects);
}

static void register_server(struct control_daemon *daemon, const char *server,
			    struct http_exchange *exchange)
{
	const struct bytes *body = http_exchange_body(exchange);
	struct bytes message = { 0 };
	struct error_handler handler = { keep_message, &message };
	struct registration told;
	enum result code;

	code = daemon->role.dialect->read_registration(server, body->data,
						       body->len, &told,
						       &handler);
	if (code) {
		log_line(daemon->role.log, LOG_WARN, "server",
			 "event=unreadable server=%s reason=%s", server,
			 bytes_text(&message));
	} else {
		control_register(daemon->control, &told, edge_now_us(),
				 &daemon->effects);
	}
	/* The entry VMs are told before the server reads that we know. */
	carry_out_all(daemon);
	answer(daemon, exchange, code, NULL, &message);
	bytes_clear(&message);
}

static void on_request(void *data, struct http_exchange *exchange)
{
	struct control_daemon *daemon = data;
	struct dialect_call call = { 0 };

	if (!daemon->control || daemon->disk_failed) {
		answer(daemon, exchange, RESULT_NO_QUORUM, NULL, NULL);
		return;
	}
	daemon->role.dialect->read_call(http_exchange_head(exchange), &call);
	switch (call.kind) {
	case CALL_PUT_DOCUMENT:
		put_document(daemon, exchange);
		break;
	case CALL_GET_DOCUMENT:
		get_document(daemon, exchange);
		break;
	case CALL_REGISTER:
		register_server(daemon, call.server, exchange);
		break;
	case CALL_UNREGISTER:
		control_unregister(daemon->control, call.server, edge_now_us(),
				   &daemon->effects);
		carry_out_all(daemon);
		answer(daemon, exchange, RESULT_OK, NULL, NULL);
		break;
	case CALL_UNKNOWN:
		answer(daemon, exchange, RESULT_NO_ROUTE, NULL, NULL);
		break;
	}
	carry_out_all(daemon);
}

static void on_left(void *data, struct http_exchange *exchange)
{
	struct open_call *call = http_exchange_user(exchange);

	if (call)
		call->exchange = NULL;
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
			    "\nfilberthall_disk_failed %d\n",
			    view.leader, view.in_charge, view.term, view.commit,
			    view.version, view.voters, view.members,
			    view.entry_vms, view.servers, view.reported,
			    daemon->disk_failed);
}

static enum result open_all(struct control_daemon *daemon)
{
	const struct boot *boot = daemon->role.boot;
	struct http_limits limits = { CALL_HEADER_BYTES, CALL_BODY_BYTES,
				      CALL_HEADER_MS, CALL_IDLE_MS };
	struct http_server_hooks hooks = { on_request, on_left, daemon };
	struct http_client_options platform = {
		.connect_ms = PLATFORM_CONNECT_MS,
		.silent_ms = PLATFORM_SILENT_MS,
	};
	enum result code;

	code = role_open(&daemon->role);
	if (code)
		return code;
	ev_timer_init(&daemon->reopen, on_reopen, REOPEN_S, REOPEN_S);
	daemon->reopen.data = daemon;
	daemon->platform = http_client_new(&daemon->role.streams, &platform);
	daemon->server =
		http_server_start(&daemon->role.streams, boot->listen_operators,
				  &limits, &hooks, daemon->role.handler);
	if (!daemon->server)
		return RESULT_SETTING_VALUE;
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
	struct platform_call *platform;
	struct platform_call *next_platform;
	struct open_call *call;
	struct open_call *next;

	http_server_stop(daemon->server);
	list_foreach_safe(call, next, &daemon->calls, node)
		free(call);
	list_foreach_safe(platform, next_platform, &daemon->platform_calls,
			  node)
		platform_call_free(platform);
	http_client_free(daemon->platform);
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
	list_init(&daemon.calls);
	list_init(&daemon.platform_calls);
	effects_init(&daemon.effects);
	code = open_all(&daemon);
	if (!code) {
		ev_timer_init(&daemon.tick, on_tick, 0,
			      (double)CONTROL_TICK_US / 1e6);
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
