#include "daemon/daemon.h"

#include <errno.h>
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

#include "base/alloc.h"
#include "base/cleanup.h"
#include "core/core.h"
#include "daemon/core_thread.h"
#include "daemon/disk/file.h"
#include "daemon/http/http_in.h"
#include "daemon/http/http_out.h"
#include "daemon/link/link.h"
#include "daemon/log.h"
#include "daemon/secrets.h"
#include "daemon/trace.h"
#include "daemon/disk/wal.h"

/* Everything a daemon is made of, in the order in which it is started. */
struct daemon {
	const struct boot *boot;
	const struct error_handler *handler;
	struct log *log;
	struct trace *trace;
	struct secrets secrets;
	struct raft_persistent_state saved;
	struct wal *wal;
	uint64_t member_id;
	int64_t incarnation;
	struct core_thread *core_thread;
	struct memory memory;
	struct exchange_table exchanges;
	struct edge_counters counters;
	struct http_in *in;
	struct http_out *out;
	struct link_hub *links;
	FILE *recording;
	pthread_t signals;
	bool signals_started;
};

static void daemon_post(struct daemon *daemon, struct event *event)
{
	const struct edge_sink *sink = core_thread_sink(daemon->core_thread);

	sink->post(sink->data, event);
}

static void daemon_synced(void *data, int64_t ticket)
{
	struct event *event = event_new(EVENT_DISK_SYNCED);

	event->u.synced.ticket = ticket;
	daemon_post(data, event);
}

static void daemon_disk_failed(void *data, enum result code,
			       const char *message)
{
	struct daemon *daemon = data;
	struct event *event = event_new(EVENT_DISK_FAILED);

	log_line(daemon->log, LOG_ERROR, "disk", "%s", message);
	event->u.disk_failed.code = code;
	daemon_post(daemon, event);
}

static enum result daemon_open_wal(struct daemon *daemon)
{
	struct wal_options options = wal_default_options();
	enum result code;

	if (!daemon->boot->data_folder) {
		/* Without a disk each start is a new member. */
		daemon->incarnation = 1;
		if (getrandom(&daemon->member_id, sizeof(daemon->member_id),
			      0) != sizeof(daemon->member_id))
			return RESULT_DISK_FAILED;
		daemon->member_id |= 1;
		return RESULT_OK;
	}
	options.folder = daemon->boot->data_folder;
	options.ops = file_ops_system();
	options.errors = daemon->handler;
	options.synced = daemon_synced;
	options.failed = daemon_disk_failed;
	options.data = daemon;
	code = wal_open(&options, &daemon->saved, &daemon->wal);
	if (code)
		return code;
	daemon->member_id = wal_member_id(daemon->wal);
	daemon->incarnation = wal_incarnation(daemon->wal);
	return wal_start(daemon->wal);
}

static enum result daemon_open_http(struct daemon *daemon)
{
	const struct boot *boot = daemon->boot;
	struct http_in_options in = { 0 };
	struct http_out_options out = { 0 };

	in.address[HTTP_CALLERS] = boot->listen_callers;
	in.address[HTTP_BACKENDS] = boot->listen_backends;
	in.address[HTTP_OPERATORS] = boot->listen_operators;
	if (boot->tls_certificate) {
		in.certificate = bytes_text(&daemon->secrets.certificate);
		in.private_key = bytes_text(&daemon->secrets.private_key);
	}
	in.header_bytes = boot->header_bytes;
	in.body_bytes = boot->body_bytes;
	in.connections = boot->connections;
	in.idle_s = boot->idle_s;
	in.key_secret = daemon->secrets.key_secret.data;
	in.key_secret_len = daemon->secrets.key_secret.len;
	in.vm = boot->vm;
	in.incarnation = daemon->incarnation;
	in.exchanges = &daemon->exchanges;
	in.sink = core_thread_sink(daemon->core_thread);
	in.counters = &daemon->counters;
	out.vm = boot->vm;
	out.incarnation = daemon->incarnation;
	out.platform = boot->platform;
	out.exchanges = &daemon->exchanges;
	out.sink = in.sink;
	out.counters = &daemon->counters;
	daemon->out = http_out_start(&out, daemon->handler);
	if (!daemon->out)
		return RESULT_SETTING_VALUE;
	daemon->in = http_in_start(&in, daemon->handler);
	return daemon->in ? RESULT_OK : RESULT_SETTING_VALUE;
}

static enum result daemon_open_links(struct daemon *daemon)
{
	const struct boot *boot = daemon->boot;
	struct link_options options = { 0 };

	options.listen = boot->listen_links;
	options.site = boot->site;
	options.vm = boot->vm;
	options.zone = boot->zone;
	options.self = daemon->member_id;
	options.incarnation = daemon->incarnation;
	options.secret = daemon->secrets.link_secret.data;
	options.secret_len = daemon->secrets.link_secret.len;
	options.seeds = (const char *const *)boot->peers;
	options.n_seeds = boot->n_peers;
	options.sink = core_thread_sink(daemon->core_thread);
	options.counters = &daemon->counters;
	daemon->links = link_start(&options, daemon->handler);
	return daemon->links ? RESULT_OK : RESULT_SETTING_VALUE;
}

/* The address really bound: the IP of the settings, the system's port. */
static char *daemon_bound(const char *listen, int port)
{
	char ip[64];
	int asked;

	if (!boot_split_address(listen, ip, &asked))
		return xstrdup(listen);
	return xstrfmt("%s:%d", ip, port);
}

static enum result daemon_publish(struct daemon *daemon)
{
	const struct boot *boot = daemon->boot;
	const char *names[] = { "callers", "backends", "operators", "links" };
	const char *listen[] = { boot->listen_callers, boot->listen_backends,
				 boot->listen_operators, boot->listen_links };
	int ports[4];
	struct bytes text = { 0 };
	enum result code = RESULT_OK;
	int i;

	for (i = 0; i < 3; i++)
		ports[i] = http_in_port(daemon->in, (enum http_door)i);
	ports[3] = link_port(daemon->links);
	for (i = 0; i < 4; i++) {
		cleanup(free_ptr) char *bound =
			daemon_bound(listen[i], ports[i]);

		bytes_append_format(&text, "%s: %s\n", names[i], bound);
		log_line(daemon->log, LOG_INFO, "daemon",
			 "listens for %s at %s", names[i], bound);
	}
	if (boot->publish)
		code = file_publish(boot->publish, bytes_text(&text),
				    daemon->handler);
	bytes_clear(&text);
	return code;
}

static void daemon_carry_out(void *data, struct effect *effect)
{
	struct daemon *daemon = data;

	switch (effect->kind) {
	case EFFECT_ANSWER:
		http_in_answer(daemon->in, &effect->u.answer);
		break;
	case EFFECT_START_ATTEMPT:
		http_out_start_attempt(daemon->out, &effect->u.start);
		break;
	case EFFECT_CANCEL_ATTEMPT:
		http_out_cancel_attempt(daemon->out, &effect->u.cancel);
		break;
	case EFFECT_DISTRUST:
		http_out_distrust(daemon->out, &effect->u.distrust);
		break;
	case EFFECT_SEND:
		link_send(daemon->links, &effect->u.send);
		break;
	case EFFECT_LINK_OPEN:
		link_open(daemon->links, &effect->u.link_open);
		break;
	case EFFECT_LINK_CLOSE:
		link_close(daemon->links, &effect->u.link_close);
		break;
	case EFFECT_LOG_APPEND:
	case EFFECT_LOG_TRUNCATE:
	case EFFECT_HARD_STATE:
	case EFFECT_SNAPSHOT:
	case EFFECT_LOG_SYNC:
		if (!daemon->wal)
			break;
		wal_put(daemon->wal, effect);
		return; /* the disk thread frees it */
	case EFFECT_ADMIN_ANSWER:
		http_in_admin_answer(daemon->in, &effect->u.admin_answer);
		break;
	case EFFECT_READ_DOCUMENT: /* of control VMs alone */
	case EFFECT_PROBE:	   /* of entry VMs alone */
		break;
	case EFFECT_PLATFORM_CALL:
		http_out_platform_call(daemon->out, &effect->u.platform_call);
		break;
	case EFFECT_ENGINE_ORDER:
		http_out_engine_order(daemon->out, &effect->u.engine_order);
		break;
	case EFFECT_PUBLISH:
		http_in_publish(daemon->in, &effect->u.publish);
		break;
	case EFFECT_SPAN:
		trace_span(daemon->trace, &effect->u.span);
		break;
	case EFFECT_LOG:
		log_effect(daemon->log, &effect->u.log);
		break;
	case EFFECT_EXIT:
	case EFFECT_KINDS:
		break;
	}
	effect_free(effect);
}

static void *daemon_wait_signals(void *data)
{
	struct daemon *daemon = data;
	sigset_t set;
	int signal;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGUSR1); /* ends this thread at the exit */
	while (!sigwait(&set, &signal) && signal != SIGUSR1) {
		struct event *event = event_new(EVENT_STOP);

		event->u.stop.grace_ms = daemon->boot->stop_grace_s * 1000;
		daemon_post(daemon, event);
	}
	return NULL;
}

/* Before any other thread is started, so that all inherit the mask. */
static enum result daemon_start_signals(struct daemon *daemon)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGUSR1);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (pthread_create(&daemon->signals, NULL, daemon_wait_signals, daemon))
		return error_report(daemon->handler, RESULT_DISK_FAILED,
				    "no thread can be started");
	daemon->signals_started = true;
	return RESULT_OK;
}

static enum result daemon_make_core(struct daemon *daemon, struct core **core,
				    struct effects *effects)
{
	const struct boot *boot = daemon->boot;
	cleanup(free_ptr) char *address =
		daemon_bound(boot->listen_links, link_port(daemon->links));
	struct core_options options = { 0 };
	int64_t now_us = edge_now_us();
	enum result code;

	options.self = daemon->member_id;
	options.incarnation = daemon->incarnation;
	if (getrandom(&options.seed, sizeof(options.seed), 0) !=
	    sizeof(options.seed))
		return RESULT_DISK_FAILED;
	options.vm = boot->vm;
	options.zone = boot->zone;
	options.address = address;
	options.disk = boot->data_folder;
	options.platform = boot->platform;
	options.bootstrap = boot->bootstrap;
	options.seed_values = daemon->secrets.seed_values;
	options.seed_key_hash = daemon->secrets.seed_key_hash[0]
					? daemon->secrets.seed_key_hash
					: NULL;
	if (daemon->recording) {
		struct bytes line = { 0 };

		core_write_start(&line, &options, &daemon->saved, now_us);
		fwrite(line.data, 1, line.len, daemon->recording);
		bytes_clear(&line);
	}
	code = core_new(core, &options, &daemon->saved, now_us, effects);
	raft_persistent_state_clear(&daemon->saved);
	if (code)
		error_report(daemon->handler, code,
			     "%s: the log makes no sense; this VM must not "
			     "vote. Replace it with an empty folder",
			     boot->data_folder);
	return code;
}

static int64_t daemon_epoch_us(void)
{
	return edge_wall_us() - edge_now_us();
}

static enum result daemon_open(struct daemon *daemon, const char *recording)
{
	const struct boot *boot = daemon->boot;
	enum result code;

	code = secrets_load(&daemon->secrets, boot, daemon->handler);
	if (!code)
		code = log_open(&daemon->log, boot->log_file, boot->vm,
				boot->log_level, daemon->handler);
	if (!code)
		code = trace_open(&daemon->trace, boot->trace_file, boot->vm,
				  daemon_epoch_us(), daemon->handler);
	if (!code && recording) {
		daemon->recording = fopen(recording, "we");
		if (!daemon->recording)
			code = error_report(daemon->handler,
					    RESULT_SETTING_VALUE, "%s: %s",
					    recording, strerror(errno));
	}
	if (!code)
		code = daemon_start_signals(daemon);
	if (!code)
		code = daemon_open_wal(daemon);
	if (!code)
		code = daemon_open_http(daemon);
	if (!code)
		code = daemon_open_links(daemon);
	return code;
}

/* Edges first, so that nobody posts to a core that is gone. */
static void daemon_close(struct daemon *daemon)
{
	if (daemon->in)
		http_in_stop(daemon->in);
	if (daemon->out)
		http_out_stop(daemon->out);
	if (daemon->links)
		link_stop(daemon->links);
	if (daemon->wal)
		wal_close(daemon->wal);
	if (daemon->signals_started) {
		pthread_kill(daemon->signals, SIGUSR1);
		pthread_join(daemon->signals, NULL);
	}
	core_thread_free(daemon->core_thread);
	exchange_table_clear(&daemon->exchanges);
	raft_persistent_state_clear(&daemon->saved);
	if (daemon->recording)
		fclose(daemon->recording);
	trace_close(daemon->trace);
	log_close(daemon->log);
	secrets_clear(&daemon->secrets);
}

enum result daemon_run(const struct boot *boot, const char *recording,
		       const struct error_handler *handler)
{
	struct daemon daemon = { 0 };
	struct core_thread_options options = { 0 };
	struct effects effects;
	enum result code;

	daemon.boot = boot;
	daemon.handler = handler;
	daemon.core_thread = core_thread_new();
	memory_init(&daemon.memory, boot->memory_mb);
	exchange_table_init(&daemon.exchanges, &daemon.memory);
	effects_init(&effects);
	code = daemon_open(&daemon, recording);
	if (!code)
		code = daemon_make_core(&daemon, &options.core, &effects);
	if (!code)
		code = daemon_publish(&daemon);
	options.recording = daemon.recording;
	options.carry_out = daemon_carry_out;
	options.data = &daemon;
	if (!code)
		core_thread_run(daemon.core_thread, &options, &effects);
	else
		core_free(options.core);
	effects_clear(&effects);
	daemon_close(&daemon);
	return code;
}

enum result daemon_check(const struct boot *boot,
			 const struct error_handler *handler)
{
	struct secrets secrets = { 0 };
	struct bytes link_secret = { 0 };
	enum result code = RESULT_OK;

	/* Entry and control VMs have the links' secret alone, if any. */
	if (boot->role == BOOT_ROLE_ALL)
		code = secrets_load(&secrets, boot, handler);
	else if (boot->link_secret_file)
		code = file_read(&link_secret, boot->link_secret_file,
				 SECRETS_MOST, handler);
	secrets_clear(&secrets);
	bytes_clear(&link_secret);
	return code;
}
