#include "daemon/role/watch.h"

#include <inttypes.h>
#include <string.h>

#include "daemon/descriptors.h"
#include "daemon/edge.h"

#define LINE_S 5.0

/* While memory is wanted: how often room is made. */
#define ROOM_S 0.05

/* Whoever has held bytes for less may still be making progress. */
#define HELD_MS 1000

static void note_turn(int64_t *most_us, int64_t took_us)
{
	if (took_us > *most_us)
		*most_us = took_us;
}

static void on_woken(struct ev_loop *ev, ev_check *check, int events)
{
	struct watch *watch = check->data;

	watch->woken_us = edge_now_us();
}

static void on_sleeping(struct ev_loop *ev, ev_prepare *prepare, int events)
{
	struct watch *watch = prepare->data;

	if (watch->woken_us)
		note_turn(&watch->turn_most_us,
			  edge_now_us() - watch->woken_us);
	if (!ev_is_active(&watch->room) && memory_is_wanted(watch->memory))
		ev_timer_start(ev, &watch->room);
}

static bool close_one_held(struct watch *watch)
{
	int i;

	for (i = 0; i < watch->n_listeners; i++)
		if (http_server_close_longest_held(watch->listeners[i].server,
						   HELD_MS))
			return true;
	return false;
}

static void on_room(struct ev_loop *ev, ev_timer *timer, int events)
{
	struct watch *watch = timer->data;

	while (!memory_has_room(watch->memory) && close_one_held(watch))
		watch->closed++;
	if (!memory_is_wanted(watch->memory))
		ev_timer_stop(ev, timer);
}

static const char *error_name(int error)
{
	return error ? strerrorname_np(error) : "none";
}

static void write_listener(struct bytes *out, const char *name, int open,
			   const struct acceptor_view *view)
{
	bytes_append_format(out,
			    " %s_open=%d %s_accepted=%" PRId64
			    " %s_errors=%" PRId64 " %s_error=%s %s_queued=%d",
			    name, open, name, view->taken, name, view->failed,
			    name, error_name(view->error), name, view->queued);
}

static struct link_statistics read_links(struct watch *watch)
{
	struct link_statistics statistics = { 0 };

	if (watch->links)
		link_read_statistics(watch->links, &statistics);
	note_turn(&watch->link_turn_most_us, statistics.turn_most_us);
	return statistics;
}

int watch_sockets(const struct watch *watch)
{
	int sockets = watch->client ? http_client_open(watch->client) : 0;
	int i;

	if (watch->links)
		sockets += link_open_connections(watch->links);
	for (i = 0; i < watch->n_listeners; i++)
		sockets +=
			1 + http_server_view(watch->listeners[i].server).open;
	return sockets;
}

static int64_t refused_in_all(const struct memory_view *view)
{
	int64_t refused = 0;
	int use;

	for (use = 0; use < MEMORY_USES; use++)
		refused += view->refused[use];
	return refused;
}

/* Returns whether claims were refused since the last line. */
static bool write_memory(struct watch *watch, struct bytes *out)
{
	struct memory_view view = memory_view(watch->memory);
	int64_t refused = refused_in_all(&view);
	bool short_of = refused != watch->refused_told;

	bytes_append_format(out,
			    " memory_limit=%" PRId64 " memory_budget=%" PRId64
			    " memory_held=%" PRId64 " memory_most=%" PRId64
			    " memory_refused=%" PRId64
			    " memory_closed=%" PRId64,
			    view.limit, view.budget, view.held, view.most,
			    refused, watch->closed);
	watch->refused_told = refused;
	memory_begin_most(watch->memory);
	return short_of;
}

static void write_line(struct watch *watch)
{
	struct link_statistics links = read_links(watch);
	enum log_level level = LOG_INFO;
	struct bytes text = { 0 };
	int i;

	for (i = 0; i < watch->n_listeners; i++) {
		struct http_server_view view =
			http_server_view(watch->listeners[i].server);

		if (view.accepted.failed != watch->listeners[i].failed)
			level = LOG_WARN;
		watch->listeners[i].failed = view.accepted.failed;
		write_listener(&text, watch->listeners[i].name, view.open,
			       &view.accepted);
	}
	write_listener(&text, "links", links.open, &links.accepted);
	if (write_memory(watch, &text))
		level = LOG_WARN;
	watch->turn_told_us = watch->turn_most_us;
	watch->link_turn_told_us = watch->link_turn_most_us;
	log_line(watch->log, level, "daemon",
		 "event=sockets in_use=%d limit=%" PRId64
		 " servers_open=%d turn_most_us=%" PRId64
		 " link_turn_most_us=%" PRId64 "%s",
		 watch_sockets(watch), descriptors_limit(),
		 watch->client ? http_client_open(watch->client) : 0,
		 watch->turn_told_us, watch->link_turn_told_us,
		 bytes_text(&text));
	watch->turn_most_us = 0;
	watch->link_turn_most_us = 0;
	bytes_clear(&text);
}

static void on_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	write_line(timer->data);
}

void watch_start(struct watch *watch, struct ev_loop *ev, struct log *log)
{
	watch->ev = ev;
	watch->log = log;
	ev_check_init(&watch->woken, on_woken);
	ev_prepare_init(&watch->sleeping, on_sleeping);
	ev_timer_init(&watch->timer, on_timer, LINE_S, LINE_S);
	ev_timer_init(&watch->room, on_room, 0, ROOM_S);
	/* A turn is all that the loop does between two waits. */
	ev_set_priority(&watch->woken, EV_MAXPRI);
	ev_set_priority(&watch->sleeping, EV_MINPRI);
	watch->woken.data = watch;
	watch->sleeping.data = watch;
	watch->timer.data = watch;
	watch->room.data = watch;
	ev_check_start(ev, &watch->woken);
	ev_prepare_start(ev, &watch->sleeping);
	ev_timer_start(ev, &watch->timer);
}

void watch_stop(struct watch *watch)
{
	if (!watch->ev)
		return;
	ev_check_stop(watch->ev, &watch->woken);
	ev_prepare_stop(watch->ev, &watch->sleeping);
	ev_timer_stop(watch->ev, &watch->timer);
	ev_timer_stop(watch->ev, &watch->room);
}

void watch_add_listener(struct watch *watch, const char *name,
			struct http_server *server)
{
	watch->listeners[watch->n_listeners].name = name;
	watch->listeners[watch->n_listeners].server = server;
	watch->n_listeners++;
}

static void write_listener_metrics(struct bytes *out, const char *name,
				   int open, const struct acceptor_view *view)
{
	bytes_append_format(
		out,
		"filberthall_connections_open{listener=\"%s\"} %d\n"
		"filberthall_accepted_total{listener=\"%s\"} %" PRId64 "\n"
		"filberthall_accept_errors_total{listener=\"%s\"} %" PRId64 "\n"
		"filberthall_listen_queue{listener=\"%s\"} %d\n",
		name, open, name, view->taken, name, view->failed, name,
		view->queued);
}

void watch_write_metrics(struct watch *watch, struct bytes *out)
{
	struct link_statistics links = read_links(watch);
	int i;

	for (i = 0; i < watch->n_listeners; i++) {
		struct http_server_view view =
			http_server_view(watch->listeners[i].server);

		write_listener_metrics(out, watch->listeners[i].name, view.open,
				       &view.accepted);
	}
	write_listener_metrics(out, "links", links.open, &links.accepted);
	bytes_append_format(out,
			    "filberthall_server_connections %d\n"
			    "filberthall_sockets %d\n"
			    "filberthall_descriptor_limit %" PRId64 "\n"
			    "filberthall_turn_most_us %" PRId64 "\n"
			    "filberthall_link_turn_most_us %" PRId64 "\n",
			    watch->client ? http_client_open(watch->client) : 0,
			    watch_sockets(watch), descriptors_limit(),
			    watch->turn_told_us, watch->link_turn_told_us);
	memory_write_metrics(watch->memory, out);
	bytes_append_format(out,
			    "filberthall_memory_closed_total %" PRId64 "\n",
			    watch->closed);
}
