/*
 * An entry VM's process: the listeners for callers and for the balancer's
 * questions, relays to backend servers, and entry/entry.h in the middle.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "base/address.h"
#include "base/alloc.h"
#include "daemon/descriptors.h"
#include "daemon/role/entry_metrics.h"
#include "daemon/role/relay.h"
#include "daemon/role/role.h"

/*
 * A new connection stands within a few milliseconds; where the queue of a
 * server's listener is full, the opening packet is sent again after a second,
 * which is too late for most requests.
 */
#define CONNECT_MS 500

/* A server whose machine says nothing for so long is gone. */
#define SILENT_MS 2000

/* Kept connections to one server: more are in use at once only in bursts. */
#define IDLE_MOST 8

/* Of the balancer's questions. */
#define READY_HEADER_BYTES 8192
#define READY_BODY_BYTES 1024
#define READY_HEADER_MS 3000
#define READY_IDLE_MS 60000

/* The loop turns each 50 ms at least; after so long it has stood still. */
#define STILL_US INT64_C(500000)

/* What is left of the grace for closing and exiting once it is nearly over. */
#define STOP_MARGIN_MS 250

/* How often a stop looks whether the last answers are written. */
#define STOP_LOOK_S 0.02

struct entry_daemon {
	struct role role;
	struct entry *entry;
	struct http_server *callers;
	struct http_server *ready;
	struct http_client *client;
	struct relay_host host;
	struct map relays;
	struct list waiting; /* relays whose answer may not begin yet */
	uint64_t next_id;
	int64_t version; /* of the document whose limits hold */
	ev_timer tick;
	ev_check turn;
	int64_t turned_us;
	ev_timer close_idle;
	ev_timer last_answers;
	int64_t stop_us; /* latest end of a planned stop */
	struct effects effects;
	bool carrying_out;
};

struct relay_node {
	struct map_node node;	/* by id */
	struct list in_waiting; /* of the daemon, or alone */
	struct relay *relay;
};

static bool relay_match(const struct map_node *node, const void *key)
{
	return relay_id(container_of(node, struct relay_node, node)->relay) ==
	       *(const uint64_t *)key;
}

static struct relay_node *relay_find(struct entry_daemon *daemon, uint64_t id)
{
	struct map_node *node =
		map_find(&daemon->relays, map_hash(&id, sizeof(id)),
			 relay_match, &id);

	return node ? container_of(node, struct relay_node, node) : NULL;
}

static void relay_drop(struct entry_daemon *daemon, struct relay_node *node)
{
	map_remove(&daemon->relays, &node->node);
	list_remove(&node->in_waiting);
	relay_free(node->relay);
	free(node);
}

static void log_attempt(struct entry_daemon *daemon, const struct relay *relay,
			const struct effect_start_attempt *start)
{
	const struct registration *server =
		entry_server_at(daemon->entry, start->address);

	log_line(daemon->role.log, LOG_INFO, "attempt",
		 "event=sent request=%s attempt=%" PRId64
		 " server=%s start=%s version=%s new_connection=%d",
		 relay_name(relay), start->attempt, start->address,
		 server ? server->id : "unknown",
		 server ? server->version : "unknown", start->proven);
}

static void carry_out_relay(struct entry_daemon *daemon, uint64_t id,
			    struct effect *effect)
{
	struct relay_node *node = relay_find(daemon, id);

	if (!node)
		return;
	if (effect->kind == EFFECT_START_ATTEMPT) {
		log_attempt(daemon, node->relay, &effect->u.start);
		relay_start(node->relay, &effect->u.start, edge_now_us());
	} else if (effect->kind == EFFECT_CANCEL_ATTEMPT) {
		relay_cancel(node->relay, effect->u.cancel.attempt);
	} else {
		relay_answer(node->relay, &effect->u.answer);
	}
	if (relay_is_over(node->relay))
		relay_drop(daemon, node);
}

static void carry_out(struct entry_daemon *daemon, struct effect *effect)
{
	switch (effect->kind) {
	case EFFECT_ANSWER:
		carry_out_relay(daemon, effect->u.answer.id, effect);
		break;
	case EFFECT_START_ATTEMPT:
		carry_out_relay(daemon, effect->u.start.id, effect);
		break;
	case EFFECT_CANCEL_ATTEMPT:
		carry_out_relay(daemon, effect->u.cancel.id, effect);
		break;
	case EFFECT_DISTRUST:
		http_client_distrust(daemon->client,
				     effect->u.distrust.address);
		break;
	case EFFECT_PROBE:
		http_client_probe(daemon->client, effect->u.probe.address);
		break;
	case EFFECT_EXIT:
		ev_timer_start(daemon->role.ev, &daemon->last_answers);
		break;
	default:
		role_carry_out(&daemon->role, effect);
		break;
	}
	effect_free(effect);
}

/* What carrying out brings about is carried out in turn, not inside. */
static void carry_out_all(struct entry_daemon *daemon)
{
	struct effect *effect;

	if (daemon->carrying_out)
		return;
	daemon->carrying_out = true;
	while ((effect = effects_take(&daemon->effects)))
		carry_out(daemon, effect);
	daemon->carrying_out = false;
}

/* What follows is carried out as the event's tokens, or the end, are told. */
static enum entry_begin on_begins(void *data, uint64_t id, int64_t attempt)
{
	struct entry_daemon *daemon = data;
	struct relay_node *node = relay_find(daemon, id);
	enum entry_begin begin =
		entry_attempt_begins(daemon->entry, id, attempt, edge_now_us(),
				     &daemon->effects);

	if (node && begin == ENTRY_BEGIN_WAIT) {
		list_remove(&node->in_waiting);
		list_append(&daemon->waiting, &node->in_waiting);
	}
	return begin;
}

static int64_t on_paused(void *data, uint64_t id)
{
	struct entry_daemon *daemon = data;
	struct relay_node *node = relay_find(daemon, id);

	if (node) {
		list_remove(&node->in_waiting);
		list_append(&daemon->waiting, &node->in_waiting);
	}
	return edge_now_us();
}

/* Each that has to wait on is appended again. */
static void ask_again(struct entry_daemon *daemon)
{
	struct relay_node *node;
	int n = 0;

	list_foreach(node, &daemon->waiting, in_waiting)
		n++;
	for (; n && !list_empty(&daemon->waiting); n--) {
		node = list_first(&daemon->waiting, struct relay_node,
				  in_waiting);
		list_remove(&node->in_waiting);
		relay_ask_again(node->relay, edge_now_us());
	}
}

static void on_tokens(void *data, const struct event_attempt_tokens *tokens)
{
	struct entry_daemon *daemon = data;

	entry_attempt_tokens(daemon->entry, tokens, edge_now_us(),
			     &daemon->effects);
	carry_out_all(daemon);
}

static void on_ended(void *data, const struct event_attempt_ended *ended)
{
	struct entry_daemon *daemon = data;
	struct relay_node *node;

	entry_attempt_ended(daemon->entry, ended, edge_now_us(),
			    &daemon->effects);
	carry_out_all(daemon);
	if (daemon->carrying_out)
		return;
	node = relay_find(daemon, ended->id);
	if (node && relay_is_over(node->relay))
		relay_drop(daemon, node);
}

/* Only an answer that the server vouches for can end its limit. */
static void on_state(void *data, const struct entry_server *server,
		     const struct dialect_answer *answer)
{
	struct entry_daemon *daemon = data;
	const char *address = server->address;
	int64_t now_us = edge_now_us();

	if (answer->has_load)
		entry_report_load(daemon->entry, address, answer->running,
				  answer->waiting, answer->slots, now_us);
	if (answer->has_limit || answer->signed_off)
		entry_report_limit(daemon->entry, address,
				   answer->has_limit ? answer->limit_per_s
						     : SERVER_LIMIT_NONE,
				   now_us, &daemon->effects);
	if (answer->leaving)
		entry_report_leaving(daemon->entry, server, now_us,
				     &daemon->effects);
	if (answer->retry_after_us)
		entry_report_retry_after(daemon->entry, server,
					 answer->retry_after_us, now_us,
					 &daemon->effects);
	if (answer->has_reject_limit || answer->signed_off)
		entry_report_reject_limit(daemon->entry, address,
					  answer->has_reject_limit
						  ? answer->rejects_per_s
						  : REJECT_LIMIT_NONE,
					  now_us, &daemon->effects);
	carry_out_all(daemon);
}

static void on_request(void *data, struct http_exchange *exchange)
{
	struct entry_daemon *daemon = data;
	struct relay_node *node = xcalloc(1, sizeof(*node));
	uint64_t id = ++daemon->next_id;
	struct entry_request request;

	list_init(&node->in_waiting);
	node->relay = relay_new(&daemon->host, exchange, id);
	map_insert(&daemon->relays, &node->node, map_hash(&id, sizeof(id)));
	request = relay_request(node->relay);
	entry_submit(daemon->entry, &request, edge_now_us(), &daemon->effects);
	carry_out_all(daemon);
}

/* Nobody waits for the answer any more. */
static void on_relay_left(void *data, uint64_t id)
{
	struct entry_daemon *daemon = data;
	struct relay_node *node;

	entry_caller_left(daemon->entry, id, edge_now_us(), &daemon->effects);
	carry_out_all(daemon);
	node = relay_find(daemon, id);
	if (node && relay_is_over(node->relay) && !daemon->carrying_out)
		relay_drop(daemon, node);
}

static void on_left(void *data, struct http_exchange *exchange)
{
	struct relay *relay = http_exchange_user(exchange);

	if (!relay)
		return;
	relay_caller_left(relay);
	on_relay_left(data, relay_id(relay));
}

/* Callers are to be sent here. */
static bool is_ready(const struct entry_daemon *daemon)
{
	return entry_ready(daemon->entry, edge_now_us()) &&
	       !http_server_view(daemon->callers).full;
}

static void on_ready_request(void *data, struct http_exchange *exchange)
{
	struct entry_daemon *daemon = data;
	bool known = daemon->role.dialect->is_ready_call(
		http_exchange_head(exchange));
	bool ready = is_ready(daemon);

	http_exchange_answer(exchange,
			     !known  ? 404
			     : ready ? 200
				     : 503,
			     NULL, NULL);
}

/* What callers may send follows the document. */
static void follow_limits(struct entry_daemon *daemon)
{
	const struct document *document = entry_document(daemon->entry);
	struct http_limits limits;

	if (!document || document->version == daemon->version)
		return;
	daemon->version = document->version;
	limits.header_bytes = document->limits.header_bytes;
	limits.body_bytes = document->limits.body_bytes;
	limits.header_ms = document->limits.header_ms;
	limits.idle_ms = document->limits.idle_ms;
	http_server_set_limits(daemon->callers, &limits);
}

static void on_event(void *data, struct event *event)
{
	struct entry_daemon *daemon = data;
	int64_t now_us = edge_now_us();

	if (event->kind == EVENT_LINK_UP)
		entry_link_up(daemon->entry, &event->u.link_up, now_us,
			      &daemon->effects);
	else if (event->kind == EVENT_LINK_DOWN)
		entry_link_down(daemon->entry, event->u.link_down.peer, now_us,
				&daemon->effects);
	else if (event->kind == EVENT_LINK_MESSAGE)
		entry_link_message(daemon->entry, &event->u.link_message,
				   now_us, &daemon->effects);
	event_free(event);
	carry_out_all(daemon);
	follow_limits(daemon);
}

/* Before anything else of a turn of the loop. */
static void on_turn(struct ev_loop *ev, ev_check *check, int events)
{
	struct entry_daemon *daemon = check->data;
	int64_t now_us = edge_now_us();

	if (daemon->turned_us && now_us - daemon->turned_us >= STILL_US)
		entry_stood_still(daemon->entry, daemon->turned_us, now_us,
				  &daemon->effects);
	daemon->turned_us = now_us;
}

static void on_tick(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct entry_daemon *daemon = timer->data;
	int64_t now_us = edge_now_us();
	int64_t next_us;

	entry_tick(daemon->entry, now_us, &daemon->effects);
	carry_out_all(daemon);
	ask_again(daemon);
	now_us = edge_now_us();
	next_us = entry_next_tick(daemon->entry, now_us) - now_us;
	ev_timer_stop(ev, timer);
	ev_timer_set(timer, next_us > 1000 ? (double)next_us / 1e6 : 0.001, 0);
	ev_timer_start(ev, timer);
}

/* Callers who read slowly still get what has been handed over for them. */
static void on_last_answers(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct entry_daemon *daemon = timer->data;
	struct http_server_unwritten unwritten =
		http_server_unwritten(daemon->callers);

	if (unwritten.bytes && edge_now_us() < daemon->stop_us)
		return;
	log_line(daemon->role.log, unwritten.bytes ? LOG_WARN : LOG_INFO,
		 "daemon", "event=stopped cut_answers=%d cut_bytes=%zu",
		 unwritten.connections, unwritten.bytes);
	role_exit(&daemon->role);
}

static void on_close_idle(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct entry_daemon *daemon = timer->data;

	http_server_close_idle(daemon->callers);
}

static void on_stop(void *data)
{
	struct entry_daemon *daemon = data;
	int64_t grace_ms = daemon->role.boot->stop_grace_s * 1000;

	if (entry_stopping(daemon->entry))
		return;
	ev_timer_init(&daemon->close_idle, on_close_idle,
		      (double)ENTRY_STOP_BALANCED_US / 1e6, 0);
	daemon->close_idle.data = daemon;
	ev_timer_start(daemon->role.ev, &daemon->close_idle);

	http_server_wind_down(daemon->callers);
	daemon->stop_us = edge_now_us() + (grace_ms - STOP_MARGIN_MS) * 1000;
	entry_stop(daemon->entry, edge_now_us(),
		   (grace_ms - STOP_MARGIN_MS) * 1000, &daemon->effects);
	carry_out_all(daemon);
}

static void write_metrics(void *data, struct bytes *out)
{
	struct entry_daemon *daemon = data;
	struct entry_view view = entry_view(daemon->entry, edge_now_us());

	bytes_append_format(
		out,
		"filberthall_ready %d\nfilberthall_document_version %" PRId64
		"\nfilberthall_fresh_age_us %" PRId64
		"\nfilberthall_control_silence_us %" PRId64
		"\nfilberthall_control_vms %d\nfilberthall_servers %d\n"
		"filberthall_requests_open %" PRId64
		"\nfilberthall_requests_total %" PRId64
		"\nfilberthall_requests_refused_total %" PRId64
		"\nfilberthall_requests_held_total %" PRId64
		"\nfilberthall_requests_served_total %" PRId64
		"\nfilberthall_requests_failed_total %" PRId64
		"\nfilberthall_requests_passed_total %" PRId64
		"\nfilberthall_attempts_total %" PRId64
		"\nfilberthall_connections_opened_total %" PRId64 "\n",
		is_ready(daemon), view.version, view.staleness_us,
		view.silence_us, view.control_vms, view.servers, view.open,
		view.submitted, view.refused, view.held, view.served,
		view.failed, view.passed, view.attempts,
		http_client_opened(daemon->client));
	entry_metrics_documents(out, &view.documents);
	entry_metrics_histogram(out, "filberthall_first_ms",
				&view.time_to_first);
	entry_metrics_histogram(out, "filberthall_whole_ms", &view.total_time);
}

/*
 * What follows from it is carried out with the next tick: the client is in the
 * middle of a call.
 */
static void on_connection(void *data, const char *address, bool stands)
{
	struct entry_daemon *daemon = data;

	entry_report_connection(daemon->entry, address, stands, edge_now_us(),
				&daemon->effects);
	ev_feed_event(daemon->role.ev, &daemon->tick, EV_TIMER);
}

static bool on_no_descriptor(void *data)
{
	struct entry_daemon *daemon = data;

	return http_server_close_longest_idle(daemon->callers);
}

static void make_client(struct entry_daemon *daemon)
{
	struct http_client_options options = {
		.id_header = daemon->role.dialect->id_header,
		.connect_ms = CONNECT_MS,
		.silent_ms = SILENT_MS,
		.idle_most = IDLE_MOST,
	};

	daemon->client = http_client_new(&daemon->role.streams, &options);
	http_client_watch(daemon->client, on_connection, daemon);
	http_client_bound(daemon->client, descriptors_for_servers(),
			  on_no_descriptor, daemon);
	daemon->role.watch.client = daemon->client;
	daemon->host.dialect = daemon->role.dialect;
	daemon->host.client = daemon->client;
	daemon->host.entry = daemon->entry;
	daemon->host.begins = on_begins;
	daemon->host.tokens = on_tokens;
	daemon->host.ended = on_ended;
	daemon->host.paused = on_paused;
	daemon->host.left = on_relay_left;
	daemon->host.memory = &daemon->role.memory;
	daemon->host.state = on_state;
	daemon->host.data = daemon;
}

static enum result open_listeners(struct entry_daemon *daemon)
{
	const struct boot *boot = daemon->role.boot;
	struct http_limits ready = { READY_HEADER_BYTES, READY_BODY_BYTES,
				     READY_HEADER_MS, READY_IDLE_MS };
	struct document_limits limits = document_default_limits();
	struct http_limits callers = { limits.header_bytes, limits.body_bytes,
				       limits.header_ms, limits.idle_ms };
	struct http_server_hooks ready_hooks = { on_ready_request, NULL,
						 daemon };
	struct http_server_hooks hooks = { on_request, on_left, daemon };

	daemon->ready =
		http_server_start(&daemon->role.streams, boot->listen_ready,
				  &ready, &ready_hooks, daemon->role.handler);
	if (!daemon->ready)
		return RESULT_SETTING_VALUE;
	http_server_set_most(daemon->ready, descriptors_for_questions());
	watch_add_listener(&daemon->role.watch, "ready", daemon->ready);
	daemon->callers =
		http_server_start(&daemon->role.streams, boot->listen_callers,
				  &callers, &hooks, daemon->role.handler);
	if (!daemon->callers)
		return RESULT_SETTING_VALUE;
	http_server_set_most(daemon->callers, descriptors_for_requests());
	watch_add_listener(&daemon->role.watch, "callers", daemon->callers);
	return RESULT_OK;
}

static void on_reloaded(void *data, const struct boot *boot)
{
	struct entry_daemon *daemon = data;

	entry_set_regions(daemon->entry, &boot->regions);
}

/* Where other VMs can pass requests on to. */
static void tell_callers(struct entry_daemon *daemon)
{
	const struct boot *boot = daemon->role.boot;
	char *address =
		boot->reach_callers
			? xstrdup(boot->reach_callers)
			: address_reached(boot->listen_callers,
					  http_server_port(daemon->callers));

	if (address)
		entry_set_callers(daemon->entry, address);
	free(address);
}

static enum result open_all(struct entry_daemon *daemon)
{
	const struct boot *boot = daemon->role.boot;
	struct entry_options options = { 0 };
	enum result code;

	code = role_open(&daemon->role);
	if (code)
		return code;
	/* An observer is a new one at each start: it has nothing to keep. */
	if (getrandom(&options.self, sizeof(options.self), 0) !=
		    sizeof(options.self) ||
	    getrandom(&options.seed, sizeof(options.seed), 0) !=
		    sizeof(options.seed))
		return RESULT_DISK_FAILED;
	options.self |= 1;
	options.vm = boot->vm;
	options.zone = boot->zone;
	options.regions = &boot->regions;
	options.max_staleness_us = boot->fresh_ms * 1000;
	options.window_us = boot->window_s * 1000000;
	options.retry_share = boot->retry_share;
	options.announce_interval_us = boot->beat_ms * 1000;
	options.retry_window_us = boot->retry_window_s * 1000000;
	options.retry_headroom = (double)boot->retry_headroom;
	options.read_document = role_read_document;
	options.data = &daemon->role;
	daemon->entry = entry_new(&options, edge_now_us());
	make_client(daemon);
	code = role_open_links(&daemon->role, options.self, 1, true);
	if (!code)
		code = open_listeners(daemon);
	if (!code)
		tell_callers(daemon);
	return code;
}

static enum result publish(struct entry_daemon *daemon)
{
	const struct boot *boot = daemon->role.boot;
	struct role_listener listeners[] = {
		{ "callers", boot->listen_callers,
		  http_server_port(daemon->callers) },
		{ "ready", boot->listen_ready,
		  http_server_port(daemon->ready) },
	};

	return role_publish(&daemon->role, listeners,
			    sizeof(listeners) / sizeof(listeners[0]));
}

static void close_all(struct entry_daemon *daemon)
{
	struct relay_node *node;
	struct relay_node *next;

	http_server_stop(daemon->callers);
	http_server_stop(daemon->ready);
	map_foreach(node, next, &daemon->relays, node)
		relay_drop(daemon, node);
	map_clear(&daemon->relays);
	http_client_free(daemon->client);
	effects_clear(&daemon->effects);
	entry_free(daemon->entry);
	role_close(&daemon->role);
}

enum result entry_daemon_run(const struct boot *boot, const char *settings,
			     const struct dialect *dialect,
			     const struct error_handler *handler)
{
	struct entry_daemon daemon = { 0 };
	enum result code;

	daemon.role.boot = boot;
	daemon.role.settings = settings;
	daemon.role.dialect = dialect;
	daemon.role.handler = handler;
	daemon.role.take = on_event;
	daemon.role.stop = on_stop;
	daemon.role.reloaded = on_reloaded;
	daemon.role.write_metrics = write_metrics;
	daemon.role.data = &daemon;
	map_init(&daemon.relays);
	list_init(&daemon.waiting);
	effects_init(&daemon.effects);
	code = open_all(&daemon);
	if (!code) {
		ev_timer_init(&daemon.tick, on_tick, 0, 0);
		daemon.tick.data = &daemon;
		ev_check_init(&daemon.turn, on_turn);
		ev_set_priority(&daemon.turn, EV_MAXPRI);
		daemon.turn.data = &daemon;
		ev_check_start(daemon.role.ev, &daemon.turn);
		ev_timer_init(&daemon.last_answers, on_last_answers, 0,
			      STOP_LOOK_S);
		daemon.last_answers.data = &daemon;
		ev_timer_start(daemon.role.ev, &daemon.tick);
		log_line(daemon.role.log, LOG_INFO, "daemon",
			 "event=start role=entry callers=%s links=%s",
			 boot->listen_callers, boot->listen_links);
		code = publish(&daemon);
	}
	if (!code)
		role_run(&daemon.role);
	close_all(&daemon);
	return code;
}
