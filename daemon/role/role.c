#include "daemon/role/role.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "daemon/descriptors.h"
#include "daemon/disk/file.h"
#include "daemon/secrets.h"

/* How often the settings file is looked at; it may change without a signal. */
#define SETTINGS_S 1.0

/* Bounds of what a reader of metrics may send. */
#define METRICS_HEADER_BYTES 8192
#define METRICS_BODY_BYTES 1024
#define METRICS_HEADER_MS 3000
#define METRICS_IDLE_MS 60000

static void on_stop(struct ev_loop *ev, ev_signal *signal, int events)
{
	struct role *role = signal->data;

	role->stop(role->data);
}

/* Seeds are control VMs' operator addresses; their links have our port. */
static void add_seeds(struct role *role, const struct boot *boot)
{
	char address[96];
	char ip[64];
	int port;
	int i;

	for (i = 0; i < boot->n_seeds; i++) {
		if (!boot_split_address(boot->seeds[i], ip, &port))
			continue;
		snprintf(address, sizeof(address), "%s:%d", ip,
			 role->link_port);
		link_add_seed(role->links, address);
	}
}

/* The bytes of a message are the links' until it has been dealt with. */
static void on_event(void *data, struct event *event)
{
	struct role *role = data;
	size_t len = event->kind == EVENT_LINK_MESSAGE
			     ? event->u.link_message.body.len
			     : 0;

	role->take(role->data, event);
	if (len && role->links)
		link_taken(role->links, len);
}

static int64_t settings_mtime_us(const struct role *role)
{
	struct stat stat_buffer;

	if (stat(role->settings, &stat_buffer))
		return 0;
	return (int64_t)stat_buffer.st_mtim.tv_sec * 1000000 +
	       stat_buffer.st_mtim.tv_nsec / 1000 + stat_buffer.st_size;
}

static void follow_settings(struct role *role, const struct boot *boot)
{
	if (role->links)
		add_seeds(role, boot);
	if (role->reloaded)
		role->reloaded(role->data, boot);
}

/*
 * Seeds and regions may change while a daemon runs; all else holds. What
 * couldn't be read is read again.
 */
static void reload(struct role *role)
{
	int64_t mtime_us = settings_mtime_us(role);
	struct boot boot;
	enum result code;

	code = boot_load(&boot, role->settings, role->handler);
	log_line(role->log, code ? LOG_WARN : LOG_INFO, "daemon",
		 "event=reload code=%s seeds=%d", result_name(code),
		 boot.n_seeds);
	role->settings_mtime_us = code ? -1 : mtime_us;
	if (!code)
		follow_settings(role, &boot);
	boot_clear(&boot);
}

static void check_settings(struct role *role)
{
	if (settings_mtime_us(role) != role->settings_mtime_us)
		reload(role);
}

static void on_hup(struct ev_loop *ev, ev_signal *signal, int events)
{
	reload(signal->data);
}

static void on_settings_timer(struct ev_loop *ev, ev_timer *timer, int events)
{
	check_settings(timer->data);
}

static void start_signal(struct role *role, ev_signal *signal, int number,
			 void (*take)(struct ev_loop *ev, ev_signal *signal,
				      int events))
{
	ev_signal_init(signal, take, number);
	signal->data = role;
	ev_signal_start(role->ev, signal);
}

static void metrics_request(void *data, struct http_exchange *exchange)
{
	struct role *role = data;
	struct bytes body = { 0 };

	role->write_metrics(role->data, &body);
	watch_write_metrics(&role->watch, &body);
	http_exchange_answer(exchange, 200,
			     "Content-Type: text/plain; version=0.0.4\r\n",
			     &body);
	bytes_clear(&body);
}

static enum result open_metrics(struct role *role)
{
	struct http_limits limits = { METRICS_HEADER_BYTES, METRICS_BODY_BYTES,
				      METRICS_HEADER_MS, METRICS_IDLE_MS };
	struct http_server_hooks hooks = { metrics_request, NULL, role };

	if (!role->boot->listen_metrics)
		return RESULT_OK;
	role->metrics =
		http_server_start(&role->streams, role->boot->listen_metrics,
				  &limits, &hooks, role->handler);
	if (!role->metrics)
		return RESULT_SETTING_VALUE;
	http_server_set_most(role->metrics, descriptors_for_questions());
	watch_add_listener(&role->watch, "metrics", role->metrics);
	return RESULT_OK;
}

enum result role_open(struct role *role)
{
	const struct boot *boot = role->boot;
	enum result code;

	code = log_open(&role->log, boot->log_file, boot->vm, boot->log_level,
			role->handler);
	if (code)
		return code;
	signal(SIGPIPE, SIG_IGN);
	role->ev = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV |
			       EVFLAG_NOINOTIFY | EVFLAG_NOTIMERFD);
	if (!role->ev)
		return error_report(role->handler, RESULT_SETTING_VALUE,
				    "no event loop can be had");
	memory_init(&role->memory, boot->memory_mb);
	stream_loop_init(&role->streams, role->ev);
	role->streams.memory = &role->memory;
	role->watch.memory = &role->memory;
	watch_start(&role->watch, role->ev, role->log);
	role->mailbox = mailbox_new(role->ev, on_event, role);
	start_signal(role, &role->on_term, SIGTERM, on_stop);
	start_signal(role, &role->on_int, SIGINT, on_stop);
	start_signal(role, &role->on_hup, SIGHUP, on_hup);
	role->settings_mtime_us = settings_mtime_us(role);
	ev_timer_init(&role->settings_timer, on_settings_timer, SETTINGS_S,
		      SETTINGS_S);
	role->settings_timer.data = role;
	ev_timer_start(role->ev, &role->settings_timer);
	return open_metrics(role);
}

void role_block_signals(sigset_t *before)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, before);
}

static char *read_secret(const struct role *role, size_t *len)
{
	FILE *file;
	char *secret;

	*len = 0;
	if (!role->boot->link_secret_file)
		return NULL;
	file = fopen(role->boot->link_secret_file, "re");
	if (!file)
		return NULL;
	secret = xcalloc(1, SECRETS_MOST);
	*len = fread(secret, 1, SECRETS_MOST, file);
	fclose(file);
	return secret;
}

enum result role_open_links(struct role *role, uint64_t self,
			    uint64_t incarnation, bool observer)
{
	const struct boot *boot = role->boot;
	struct link_options options = { 0 };
	cleanup(free_ptr) char *secret = NULL;
	sigset_t before;

	secret = read_secret(role, &options.secret_len);
	if (boot->link_secret_file && !secret)
		return error_report(role->handler, RESULT_SETTING_VALUE,
				    "%s can't be read", boot->link_secret_file);
	options.listen = boot->listen_links;
	options.address = boot->reach_links;
	options.site = boot->site;
	options.vm = boot->vm;
	options.zone = boot->zone;
	options.self = self;
	options.incarnation = incarnation;
	options.secret = secret;
	options.observer = observer;
	options.sink = mailbox_sink(role->mailbox);
	options.counters = &role->counters;
	options.memory = &role->memory;
	role_block_signals(&before);
	role->links = link_start(&options, role->handler);
	pthread_sigmask(SIG_SETMASK, &before, NULL);
	if (!role->links)
		return RESULT_SETTING_VALUE;
	role->watch.links = role->links;
	role->link_port = link_port(role->links);
	add_seeds(role, boot);
	return RESULT_OK;
}

void role_close_links(struct role *role)
{
	if (role->links)
		link_stop(role->links);
	role->links = NULL;
	role->watch.links = NULL;
}

static void add_listener(struct bytes *text, const char *name,
			 const char *address, int port)
{
	bytes_append_format(text, "%s: %.*s:%d\n", name,
			    (int)strcspn(address, ":"), address, port);
}

enum result role_publish(struct role *role,
			 const struct role_listener *listeners, size_t n)
{
	struct bytes text = { 0 };
	enum result code = RESULT_OK;
	size_t i;

	if (!role->boot->publish)
		return RESULT_OK;
	for (i = 0; i < n; i++)
		add_listener(&text, listeners[i].name, listeners[i].address,
			     listeners[i].port);
	if (role->links)
		add_listener(&text, "links", role->boot->listen_links,
			     role->link_port);
	code = file_publish(role->boot->publish, bytes_text(&text),
			    role->handler);
	bytes_clear(&text);
	return code;
}

void role_carry_out(struct role *role, struct effect *effect)
{
	switch (effect->kind) {
	case EFFECT_SEND:
		link_send(role->links, &effect->u.send);
		break;
	case EFFECT_LINK_OPEN:
		link_open(role->links, &effect->u.link_open);
		break;
	case EFFECT_LINK_CLOSE:
		link_close(role->links, &effect->u.link_close);
		break;
	case EFFECT_LOG:
		log_effect(role->log, &effect->u.log);
		break;
	default:
		break;
	}
}

struct document *role_read_document(void *data, const char *text, size_t len)
{
	struct role *role = data;

	return role->dialect->read_document(text, len, role->handler);
}

void role_run(struct role *role)
{
	ev_run(role->ev, 0);
}

void role_exit(struct role *role)
{
	ev_break(role->ev, EVBREAK_ALL);
}

void role_close(struct role *role)
{
	role_close_links(role);
	watch_stop(&role->watch);
	http_server_stop(role->metrics);
	mailbox_free(role->mailbox);
	if (role->ev) {
		stream_loop_clear(&role->streams);
		ev_loop_destroy(role->ev);
	}
	log_close(role->log);
}
